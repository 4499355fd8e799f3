"""Calls to workers from the owner of their pool, and the HTTP client for them."""

from __future__ import annotations

from abc import ABC, abstractmethod

import orjson
from attrs import asdict, field, frozen
from expression import Error, Ok, Result

from redwingrun.coordination.verdict import Failure, may_have_run
from redwingrun.httpclient import HttpCall, HttpClient, failure_from_status
from redwingrun.objects import Resources
from redwingrun.tasks import MemberKey

# Status with which a worker refuses a call for another incarnation.
OTHER_INCARNATION_STATUS = 410


@frozen
class Grant:
    """A lease grant; each call to a worker has one.

    :param incarnation: the run of the worker's process that the call is for; another
        run refuses it.
    :param epoch: ownership epoch of the pool's shard, a fencing token: the worker
        refuses an older one than it has received.
    :param not_after_s: end of the lease, in seconds on the worker's clock.
    """

    incarnation: str
    epoch: int
    not_after_s: float


@frozen
class StartCall:
    """Start one member of a task.

    :param run_s: expected run time in seconds.
    :param body: base64 text.
    :param checkpoint: the checkpoint to resume from, empty without one.
    """

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
    """Renew the leases of a worker's members, control them and get their states.

    :param keep: members whose lease to renew. If the worker does not know one, it
        refuses its start from then on, in case that call is still on its way.
    :param stop: members to stop.
    :param checkpoint: members to stop with a checkpoint.
    :param throttle: members to limit to their size.
    :param forget: ended members whose result is stored in the table.
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
    """The state of one member on a worker.

    :param ended: empty while it runs, then ``ok``, ``failed``, ``stopped`` or
        ``lapsed`` (its lease expired).
    :param result: base64 text.
    :param usage: used resources, from a measurement that may be older than the report.
    """

    member: MemberKey
    ended: str = ""
    result: str = ""
    checkpoint: str = ""
    usage: Resources = field(factory=Resources)


@frozen
class WorkerReport:
    """A worker's answer to each call.

    :param clock_s: the worker's monotonic clock at the time of the answer.
    :param members: all members that the worker has not been told to forget.
    :param leaving: whether the worker asks to get no more tasks.
    """

    incarnation: str
    clock_s: float
    members: dict[MemberKey, MemberReport]
    leaving: bool = False


class WorkerClient(ABC):
    """Calls workers to start, renew and stop members of tasks."""

    @abstractmethod
    async def start(
        self, call: StartCall, timeout_s: float
    ) -> Result[WorkerReport, Failure]:
        """Start a member; after a *not run* failure it will certainly never run."""

    @abstractmethod
    async def sync(
        self, call: SyncCall, timeout_s: float
    ) -> Result[WorkerReport, Failure]:
        """Renew leases and get the members' states.

        A grant with an empty incarnation only asks which incarnation answers.
        """


class HttpWorkerClient(WorkerClient):
    """The HTTP client; ``docs/INTERFACES.md`` describes the protocol."""

    def __init__(self, client: HttpClient):
        self._client = client

    async def start(
        self, call: StartCall, timeout_s: float
    ) -> Result[WorkerReport, Failure]:
        """Start a member; see :meth:`WorkerClient.start`."""
        return await self._post(f"{call.address}/start", call, timeout_s)

    async def sync(
        self, call: SyncCall, timeout_s: float
    ) -> Result[WorkerReport, Failure]:
        """Renew leases and get states; see :meth:`WorkerClient.sync`."""
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
            return Error(
                may_have_run("damaged", f"the worker's answer is malformed: {error!r}")
            )


def parse_report(content: dict) -> WorkerReport:
    """Return the report that an answer's JSON object holds.

    :raises KeyError, TypeError, ValueError: if it is malformed.
    """
    members = {}
    for item in content["members"]:
        member = MemberKey(**item["member"])
        members[member] = MemberReport(
            member=member,
            ended=item["ended"],
            result=item["result"],
            checkpoint=item["checkpoint"],
            usage=Resources(**item["usage"]),
        )
    return WorkerReport(
        content["incarnation"], content["clock_s"], members, content["leaving"]
    )
