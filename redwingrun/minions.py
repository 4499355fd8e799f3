"""Calls to a minion from its owner, and the HTTP client for them."""

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

    :param epoch: ownership epoch of the shard, a fencing token: the minion refuses
        calls with an older epoch than it has received.
    :param timeout_s: seconds until the whole answer must have been received.
    """

    address: str
    request_id: str
    workload: str
    body: bytes
    epoch: int
    timeout_s: float


@frozen
class MinionAnswer:
    """A complete answer.

    :param leaving: whether the minion asks to get no more requests.
    """

    body: bytes
    leaving: bool


class MinionClient(ABC):
    """Runs requests on minions and finds out which of them still run."""

    @abstractmethod
    async def run(self, call: MinionCall) -> Result[MinionAnswer, Failure]:
        """Run a request; a failure's verdict says whether it may have run."""

    @abstractmethod
    async def settle(
        self, address: str, epoch: int, request_ids: list[str], timeout_s: float
    ) -> Result[frozenset[str], Failure]:
        """Return the ids of all requests that run on the minion now.

        From then on the minion refuses calls with an older epoch. It also refuses
        the given requests that do not run now, should they arrive later: a given
        request that is not in the result has ended or will never start.
        """


class HttpMinionClient(MinionClient):
    """The HTTP client; ``docs/INTERFACES.md`` describes the protocol."""

    def __init__(self, client: HttpClient, connect_timeout_s: float):
        self._client = client
        self._connect_timeout_s = connect_timeout_s

    async def run(self, call: MinionCall) -> Result[MinionAnswer, Failure]:
        """Run a request; see :meth:`MinionClient.run`."""
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
        """Return the running requests; see :meth:`MinionClient.settle`."""
        body = orjson.dumps({"epoch": epoch, "request_ids": request_ids})
        call = HttpCall("POST", f"{address}/settle", timeout_s, body)
        result = await self._client.send(call)
        if result.is_error():
            return Error(result.error)
        failure = failure_from_status(result.ok)
        if failure is not None:
            return Error(failure)
        return Ok(frozenset(orjson.loads(result.ok.body)["running"]))
