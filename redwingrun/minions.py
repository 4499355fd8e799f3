"""What the owner of a minion asks of it, and how over HTTP."""

from __future__ import annotations

from abc import ABC, abstractmethod

import orjson
from attrs import frozen
from expression import Error, Ok, Result

from redwingrun.coordination.verdict import Failure, may_have_run
from redwingrun.httpclient import (
    DIGEST_HEADER,
    REQUEST_ID_HEADER,
    HttpCall,
    HttpClient,
    failure_from_status,
)

EPOCH_HEADER = "X-Epoch"
LEAVING_HEADER = "X-Leaving"


@frozen
class MinionCall:
    """One request to a minion.

    :param epoch: of the shard; a minion refuses an older one than it has seen.
    :param timeout_s: longest time to the whole answer.
    """

    address: str
    request_id: str
    workload: str
    body: bytes
    epoch: int
    timeout_s: float


@frozen
class MinionAnswer:
    """A whole answer.

    :param leaving: the minion asks for no more work.
    """

    body: bytes
    leaving: bool


class MinionClient(ABC):
    """Runs requests on minions and settles what became of them."""

    @abstractmethod
    async def run(self, call: MinionCall) -> Result[MinionAnswer, Failure]:
        """Run a request; a failure's verdict says whether it may have run."""

    @abstractmethod
    async def settle(
        self, address: str, epoch: int, request_ids: list[str], timeout_s: float
    ) -> Result[frozenset[str], Failure]:
        """Return the ids of all requests that run on the minion now.

        From then on the minion refuses older epochs, and refuses the named
        requests if they were still under way to it.
        """


class HttpMinionClient(MinionClient):
    """Minions over HTTP; see ``docs/INTERFACES.md`` for the protocol."""

    def __init__(self, client: HttpClient, connect_timeout_s: float):
        self._client = client
        self._connect_timeout_s = connect_timeout_s

    async def run(self, call: MinionCall) -> Result[MinionAnswer, Failure]:
        """Run a request."""
        headers = {
            REQUEST_ID_HEADER: call.request_id,
            EPOCH_HEADER: str(call.epoch),
            "X-Workload": call.workload,
        }
        result = await self._client.send(
            HttpCall(
                "POST",
                f"{call.address}/run",
                call.timeout_s,
                call.body,
                headers,
                self._connect_timeout_s,
            )
        )
        if result.is_error():
            return Error(result.error)
        reply = result.ok
        failure = failure_from_status(reply)
        if failure is not None:
            return Error(failure)
        if reply.headers.get(REQUEST_ID_HEADER) != call.request_id:
            return Error(may_have_run("crossed", "the answer is for another request"))
        if DIGEST_HEADER not in reply.headers:
            return Error(may_have_run("damaged", "the answer has no digest"))
        return Ok(MinionAnswer(reply.body, LEAVING_HEADER in reply.headers))

    async def settle(
        self, address: str, epoch: int, request_ids: list[str], timeout_s: float
    ) -> Result[frozenset[str], Failure]:
        """Return what runs on the minion now, and fence what is older."""
        body = orjson.dumps({"epoch": epoch, "request_ids": request_ids})
        call = HttpCall("POST", f"{address}/settle", timeout_s, body)
        result = await self._client.send(call)
        if result.is_error():
            return Error(result.error)
        failure = failure_from_status(result.ok)
        if failure is not None:
            return Error(failure)
        return Ok(frozenset(orjson.loads(result.ok.body)["running"]))
