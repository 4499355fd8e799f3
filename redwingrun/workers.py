"""What the owner of a pool asks of its workers, and how over HTTP."""

from __future__ import annotations

from abc import ABC, abstractmethod

import orjson
from attrs import asdict, field, frozen
from expression import Error, Ok, Result

from redwingrun.coordination.verdict import Failure, may_have_run
from redwingrun.httpclient import HttpCall, HttpClient, failure_from_status
from redwingrun.objects import Resources
from redwingrun.tasks import MemberKey

INCARNATION_STATUS = 410


@frozen
class Grant:
    """What every call to a worker carries.

    :param incarnation: the run of the worker's process that is meant.
    :param epoch: of the pool's shard; a worker refuses an older one.
    :param not_after_s: on the worker's clock, the end of what is granted.
    """

    incarnation: str
    epoch: int
    not_after_s: float


@frozen
class StartCall:
    """Start one member of a task."""

    address: str
    grant: Grant
    member: MemberKey
    workload: str
    size: Resources
    run_s: float
    service: bool
    body: str
    checkpoint: str = ""


@frozen
class SyncCall:
    """Renew, stop and ask about the tasks of one worker.

    :param keep: members to renew; one that the worker does not know is refused
        by it from then on, should its start still be under way.
    :param forget: ended members whose result is kept elsewhere now.
    """

    address: str
    grant: Grant
    keep: list[MemberKey] = field(factory=list)
    stop: list[MemberKey] = field(factory=list)
    checkpoint: list[MemberKey] = field(factory=list)
    throttle: list[MemberKey] = field(factory=list)
    forget: list[MemberKey] = field(factory=list)


@frozen
class MemberReport:
    """What a worker says of one member.

    :param ended: empty while it runs, else ``ok``, ``failed`` or ``stopped``.
    :param usage: lags behind.
    """

    member: MemberKey
    ended: str = ""
    result: str = ""
    checkpoint: str = ""
    usage: Resources = field(factory=Resources)


@frozen
class WorkerReport:
    """A worker's answer.

    :param clock_s: the worker's monotonic clock when it answered.
    """

    incarnation: str
    clock_s: float
    members: dict[MemberKey, MemberReport]
    leaving: bool = False


class WorkerClient(ABC):
    """Starts, renews and stops tasks on workers."""

    @abstractmethod
    async def start(
        self, call: StartCall, timeout_s: float
    ) -> Result[WorkerReport, Failure]:
        """Start a member; *not run* means that it does not and will not run."""

    @abstractmethod
    async def sync(
        self, call: SyncCall, timeout_s: float
    ) -> Result[WorkerReport, Failure]:
        """Renew and ask. An empty incarnation only asks who is there."""


class HttpWorkerClient(WorkerClient):
    """Workers over HTTP; see ``docs/INTERFACES.md`` for the protocol."""

    def __init__(self, client: HttpClient):
        self._client = client

    async def start(
        self, call: StartCall, timeout_s: float
    ) -> Result[WorkerReport, Failure]:
        """Start a member."""
        return await self._post(f"{call.address}/start", call, timeout_s)

    async def sync(
        self, call: SyncCall, timeout_s: float
    ) -> Result[WorkerReport, Failure]:
        """Renew and ask."""
        return await self._post(f"{call.address}/sync", call, timeout_s)

    async def _post(
        self, url: str, call: StartCall | SyncCall, timeout_s: float
    ) -> Result[WorkerReport, Failure]:
        body = orjson.dumps(asdict(call))
        result = await self._client.send(HttpCall("POST", url, timeout_s, body))
        if result.is_error():
            return Error(result.error)
        failure = failure_from_status(result.ok)
        if failure is not None:
            return Error(failure)
        try:
            return Ok(parse_report(orjson.loads(result.ok.body)))
        except (KeyError, TypeError, ValueError) as error:
            return Error(may_have_run("damaged", f"the worker's answer: {error!r}"))


def parse_report(plain: dict) -> WorkerReport:
    members = {}
    for item in plain["members"]:
        member = MemberKey(**item["member"])
        members[member] = MemberReport(
            member=member,
            ended=item["ended"],
            result=item["result"],
            checkpoint=item["checkpoint"],
            usage=Resources(**item["usage"]),
        )
    return WorkerReport(
        plain["incarnation"], plain["clock_s"], members, plain["leaving"]
    )
