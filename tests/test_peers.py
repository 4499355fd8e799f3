"""Calls between daemons over connections that fail."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from lab.cell import free_ports
from redwingrun.jobs.jobpeer_grpc import JobPeerBase, JobPeerStub
from redwingrun.jobs.jobpeer_pb2 import LookReply, LookRequest
from redwingrun.peers import PeerClient, PeerServer
from tests.silentproxy import SilentProxy

SECRET = "a-secret-of-the-tests"


class _Service(JobPeerBase):
    """Answers probes; those that ask for a claim only once ``release`` is set."""

    def __init__(self) -> None:
        self.release = asyncio.Event()

    async def Look(self, stream: Any) -> None:  # noqa: N802
        request = await stream.recv_message()
        if request.claim:
            await self.release.wait()
        await stream.send_message(LookReply(owner_row_age_s=1.5))

    async def Ask(self, stream: Any) -> None:  # noqa: N802
        raise NotImplementedError

    Relay = Ask
    Tell = Ask
    Config = Ask


def run_with_peer(
    scenario: Callable[
        [PeerClient, str, SilentProxy, _Service], Coroutine[Any, Any, None]
    ],
) -> None:
    """Run a scenario with a client of a peer behind a proxy."""

    async def run() -> None:
        port, proxy_port = free_ports(2)
        service = _Service()
        server, proxy = PeerServer(service, SECRET), SilentProxy(proxy_port, port)
        await server.start("127.0.0.1", port)
        await proxy.start()
        client = PeerClient(SECRET, JobPeerStub)
        try:
            await scenario(client, f"127.0.0.1:{proxy_port}", proxy, service)
        finally:
            client.close()
            await proxy.stop()
            await server.stop()

    asyncio.run(run())


# Guards against calls that go to a silent connection for ever: the owner's policy
# queries through its peers all timed out, and no task was placed any more.
def test_call_after_a_timeout_does_not_use_the_silent_connection():
    """A connection goes silent without a reset, while new ones work."""

    async def scenario(
        client: PeerClient, address: str, proxy: SilentProxy, service: _Service
    ) -> None:
        assert (await client.call(address, "Look", LookRequest(), 10.0)).is_ok()
        proxy.silence()
        assert (await client.call(address, "Look", LookRequest(), 0.3)).is_error()
        assert (await client.call(address, "Look", LookRequest(), 10.0)).is_ok()

    run_with_peer(scenario)


def test_call_in_progress_survives_the_timeout_of_another():
    """A timeout alone does not show that the connection is silent."""

    async def scenario(
        client: PeerClient, address: str, proxy: SilentProxy, service: _Service
    ) -> None:
        slow_request = LookRequest(claim=True)
        slow = asyncio.create_task(client.call(address, "Look", slow_request, 20.0))
        assert (await client.call(address, "Look", slow_request, 0.3)).is_error()
        service.release.set()
        assert (await slow).is_ok()

    run_with_peer(scenario)
