"""What clients are told about queues, by the configuration in force and its age."""

from __future__ import annotations

import asyncio

import pytest
from attrs import define, evolve
from expression import Error, Result
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from redwingrun.coordination.clock import MonotonicClock
from redwingrun.coordination.verdict import Failure, not_run
from redwingrun.httpclient import HttpCall, HttpClient, HttpReply
from redwingrun.jobs.accounts import AccountDirectory, ClientAccount, key_digest
from redwingrun.jobs.jobstore import TABLE_UNAVAILABLE
from redwingrun.jobs.progress import JobState
from redwingrun.jobs.spec import Queue, QueueAddress, QueueSet
from redwingrun.logs import Log
from redwingrun.metrics import Metrics
from redwingrun.platform.clientapi import (
    DEFAULT_DEADLINE_MS,
    MAX_DEADLINE_MS,
    ApiDependencies,
    client_application,
    decode_deadline_ms,
)

HOST = "hura70.example"
DEADLINE_S = 2.0


class _TableAway:
    """A service that can't reach the table, itself or through a peer."""

    async def state(
        self, job_id: str, timeout_s: float
    ) -> Result[JobState | None, Failure]:
        return Error(not_run(TABLE_UNAVAILABLE))


@define
class _Member:
    """A member with one queue, which three jobs wait in."""

    age_s: float = 0.0
    has_fresh_config: bool = True
    is_ready: bool = True
    outage_s: float = 0.0
    waiting: int | None = 3
    queues: QueueSet | None = QueueSet(
        7, {"q": Queue("q", "p")}, {HOST: (QueueAddress(HOST, "/known/", "q"),)}
    )

    def queues_age_s(self) -> float:
        return self.age_s

    def accepts_keys(self) -> bool:
        return self.has_fresh_config

    def table_outage_s(self) -> float:
        return self.outage_s

    def waiting_count(self, queue: str) -> int | None:
        return self.waiting

    @property
    def jobs(self) -> _TableAway:
        return _TableAway()


def get(member: _Member, path: str, **headers: str) -> HttpReply:
    """Return the member's answer to a client."""

    async def run() -> HttpReply:
        dependencies = ApiDependencies(
            member,
            MonotonicClock(),
            lambda: 0,
            Log("test", "quiet"),
            Metrics(),
            DEADLINE_S,
        )
        server = HTTPServer(client_application(dependencies))
        socket, port = bind_unused_port()
        server.add_socket(socket)
        client = HttpClient("")
        url = f"http://127.0.0.1:{port}{path}"
        try:
            return (
                await client.send(
                    HttpCall("GET", url, 10.0, None, {"Host": HOST, **headers})
                )
            ).ok
        finally:
            client.close()
            server.stop()
            await server.close_all_connections()

    return asyncio.run(run())


def test_unknown_queue_is_not_found_while_the_configuration_is_confirmed():
    """404 is final: the client does not come again."""
    assert get(_Member(age_s=1.0), "/new/").status == 404


# Guards against a final answer that only an older configuration allows: the queue may
# have been added since, and another host may serve it.
@pytest.mark.parametrize("age_s", [DEADLINE_S + 0.1, 60.0])
def test_unknown_queue_is_refused_while_the_configuration_may_be_older(age_s: float):
    """The client is told to come again."""
    reply = get(_Member(age_s), "/new/")
    assert reply.status == 503
    assert reply.headers["Retry-After"]


def test_known_queue_is_served_while_the_configuration_may_be_older():
    """Refusing it would cost clients more than a queue that was just removed."""
    reply = get(_Member(age_s=60.0), "/known/")
    assert (reply.status, reply.body) == (200, b'{"pending":3}')


def test_every_queue_is_refused_without_a_configuration():
    """A host that has just started does not know any queue."""
    assert get(_Member(queues=None), "/known/").status == 503


KEY = "key-of-the-copy-desk"
WITH_ACCOUNTS = QueueSet(
    7,
    {
        "closed": Queue("closed", "p", requires_key=True),
        "open": Queue("open", "p"),
    },
    {
        HOST: (
            QueueAddress(HOST, "/closed/", "closed"),
            QueueAddress(HOST, "/open/", "open"),
        )
    },
    accounts=AccountDirectory(
        [ClientAccount("copy-desk", key_digests=frozenset([key_digest(KEY)]))]
    ),
)


def status_with_key(
    authorization: str | None,
    path: str = "/closed/",
    age_s: float = 0.0,
    has_fresh_config: bool = True,
) -> int:
    """Return the status of a request that carries an ``Authorization`` header."""
    member = _Member(age_s, has_fresh_config, queues=WITH_ACCOUNTS)
    headers = {} if authorization is None else {"Authorization": authorization}
    return get(member, path, **headers).status


@pytest.mark.parametrize("scheme", ["Bearer", "bearer", "BEARER"])
def test_known_key_is_accepted(scheme: str):
    """The scheme's name is case-insensitive."""
    assert status_with_key(f"{scheme} {KEY}") == 200


@pytest.mark.parametrize(
    "authorization", [None, "", KEY, "Bearer", "Bearer other", f"Basic {KEY}"]
)
def test_unknown_or_missing_key_is_refused(authorization: str | None):
    """Guards against requests that run without a key of a client account."""
    assert status_with_key(authorization) == 401


def test_public_queue_needs_no_key():
    """A key that is sent all the same is not looked at."""
    assert status_with_key(None, "/open/") == 200
    assert status_with_key("Bearer other", "/open/", has_fresh_config=False) == 200


def test_unknown_key_is_refused_for_now_while_the_configuration_may_be_older():
    """Guards against a final answer although a newer version may hold the key."""
    assert status_with_key("Bearer other", age_s=DEADLINE_S + 0.1) == 503


def test_known_key_is_refused_for_now_without_a_fresh_configuration():
    """Guards against a key that works on although it may have been revoked."""
    assert status_with_key(f"Bearer {KEY}", has_fresh_config=False) == 503


REFUSALS = {
    "no configuration": (_Member(queues=None), "/known/"),
    "unknown queue": (_Member(age_s=60.0), "/new/"),
    "key not checked": (
        _Member(has_fresh_config=False, queues=WITH_ACCOUNTS),
        "/closed/",
    ),
    "table away": (_Member(), "/known/0123456789abcdef"),
    "waiting jobs not known": (_Member(waiting=None), "/known/"),
}


@pytest.mark.parametrize("cause", REFUSALS)
def test_refused_clients_come_again_by_the_age_of_the_outage(cause: str):
    """Guards against clients that use up their retries while the table is away."""
    member, path = REFUSALS[cause]
    waits_by_outage_s = {0.0: {"1"}, 4.0: {"2", "3"}, 60.0: {"2", "3"}}
    for outage_s, waits in waits_by_outage_s.items():
        reply = get(evolve(member, outage_s=outage_s), path)
        assert reply.status == 503
        assert reply.headers["Retry-After"] in waits


# Guards against a client that keeps a request running for as long as it likes, or that
# causes an internal error.
@pytest.mark.parametrize(
    ("text", "timeout_s"),
    [
        ("1200", 1.2),
        ("", DEFAULT_DEADLINE_MS / 1000),
        ("soon", DEFAULT_DEADLINE_MS / 1000),
        ("\u00b2", DEFAULT_DEADLINE_MS / 1000),
        ("-5", DEFAULT_DEADLINE_MS / 1000),
        ("000000001200", 1.2),
        ("60001", MAX_DEADLINE_MS / 1000),
        ("9" * 5000, MAX_DEADLINE_MS / 1000),
    ],
)
def test_a_deadline_is_bounded(text: str, timeout_s: float):
    assert decode_deadline_ms(text) / 1000 == timeout_s
