"""HTTP calls to minions, which are the workers of the jobs package."""

from __future__ import annotations

from typing import Any

import orjson
from expression import Error, Ok, Result

from redwingrun.coordination.verdict import may_have_run, not_run
from redwingrun.httpclient import HttpCall, HttpClient
from redwingrun.jobs.ports import Heartbeat, WorkerAddress, WorkerFault, WorkerPort
from redwingrun.jobs.spec import RunId, TaskId
from redwingrun.jobs.workerpool import (
    EndKind,
    Refusal,
    RunEnd,
    RunStatus,
    StartOrder,
    StopOrder,
    WorkerReport,
)
from redwingrun.platform.jsonclient import JSON_HEADERS, JsonReply, decode_reply
from redwingrun.platform.jsonfields import (
    BadFieldError,
    checked_integer,
    checked_number,
    checked_string,
    get_integer,
    get_list,
    get_number,
)

# An order without a reply is sent again to the same minion, so this is the delay
# that a lost order causes.
ORDER_TIMEOUT_S = 0.35
# Added to the time that a minion may wait before it replies to a heartbeat.
HEARTBEAT_TIMEOUT_MARGIN_S = 0.8
CONNECT_TIMEOUT_S = 0.4
MS_PER_S = 1000
OK_STATUS = 200
REFUSAL_BY_REASON = {
    "fence": Refusal.STALE_FENCE,
    "old": Refusal.STALE_RUN,
    "late": Refusal.LEASE_EXPIRED,
    "room": Refusal.NO_ROOM,
    "ticket": Refusal.TICKET,
}
REFUSAL_BY_STATUS = {
    400: Refusal.BAD_ORDER,
    421: Refusal.OTHER_INCARNATION,
    429: Refusal.UNHEALTHY,
    503: Refusal.UNHEALTHY,
}
CONFLICT_STATUS = 409
# A minion lists at most so many ends in a report, those with the lowest numbers.
MAX_LISTED_ENDS = 500


def encode_task_id(task: TaskId) -> str:
    """Return a task's id as it is sent to minions."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.index}"


def decode_task_id(text: str) -> TaskId:
    """Parse a task's id as minions send it.

    :raises ValueError: if the text is not a task's id.
    """
    job, occurrence, step, index = text.split(".")
    return TaskId(job, int(occurrence), int(step), int(index))


class PlatformWorkerClient(WorkerPort):
    """Sends orders and heartbeats to minions over HTTP."""

    def __init__(self, client: HttpClient):
        self._client = client

    async def start(
        self, target: WorkerAddress, order: StartOrder, fence: int, deadline_ms: float
    ) -> Result[float, WorkerFault]:
        """Start a run.

        :param deadline_ms: end of the run's lease on the minion's clock.
        :return: the minion's clock in ms.
        """
        data: dict[str, Any] = {
            "taskId": encode_task_id(order.run_id.task),
            "runId": order.run_id.run,
            "spec": order.payload,
            "deadlineMs": int(deadline_ms),
            "fence": fence,
        }
        if order.checkpoint:
            data["checkpoint"] = order.checkpoint
        if order.ticket:
            data["ticket"] = order.ticket
        return await self._send_order(target, "/-/run-start", data)

    async def stop(
        self, target: WorkerAddress, order: StopOrder, fence: int
    ) -> Result[float, WorkerFault]:
        """Stop a run.

        :return: the minion's clock in ms.
        """
        run_id = order.run_id
        data = {
            "taskId": encode_task_id(run_id.task),
            "runId": run_id.run,
            "fence": fence,
        }
        return await self._send_order(target, "/-/run-stop", data)

    async def pace(
        self, target: WorkerAddress, run_id: RunId, percent: int, fence: int
    ) -> Result[float, WorkerFault]:
        """Limit a run to a percentage of its full speed.

        :return: the minion's clock in ms.
        """
        data = {
            "taskId": encode_task_id(run_id.task),
            "runId": run_id.run,
            "pct": percent,
            "fence": fence,
        }
        return await self._send_order(target, "/-/pace", data)

    async def heartbeat(
        self, target: WorkerAddress, call: Heartbeat
    ) -> Result[WorkerReport, WorkerFault]:
        """Renew the lease of all runs on a minion and return its report."""
        data: dict[str, Any] = {"fence": call.fence, "lastSeen": call.acked_end_number}
        if call.deadline_ms is not None:
            data["deadlineMs"] = int(call.deadline_ms)
        if call.wait_s:
            data["waitMs"] = int(call.wait_s * MS_PER_S)
        reply = await self._send(
            target, "/-/hold", data, call.wait_s + HEARTBEAT_TIMEOUT_MARGIN_S
        )
        if reply.is_error():
            return reply
        try:
            return Ok(decode_report(reply.ok.body))
        except ValueError as error:
            return Error(WorkerFault(may_have_run("damaged", repr(error))))

    async def _send_order(
        self, target: WorkerAddress, path: str, data: dict[str, Any]
    ) -> Result[float, WorkerFault]:
        reply = await self._send(target, path, data, ORDER_TIMEOUT_S)
        return reply.map(lambda accepted: accepted.body.get("clockMs", 0))

    async def _send(
        self, target: WorkerAddress, path: str, data: dict[str, Any], timeout_s: float
    ) -> Result[JsonReply, WorkerFault]:
        headers = {**JSON_HEADERS, "X-Expect-Instance": target.worker_id}
        url = f"http://{target.address}{path}"
        body = orjson.dumps(data)
        call = HttpCall("POST", url, timeout_s, body, headers, CONNECT_TIMEOUT_S)
        http_reply = await self._client.send(call)
        if http_reply.is_error():
            return Error(WorkerFault(http_reply.error))
        reply = decode_reply(http_reply.ok.status, http_reply.ok.body)
        if reply.is_error():
            return Error(WorkerFault(reply.error))
        if reply.ok.status == OK_STATUS:
            return reply
        return Error(_fault_of(reply.ok))


def _fault_of(reply: JsonReply) -> WorkerFault:
    """Return the fault that an error status stands for.

    A status that is not a known refusal *may have run*.
    """
    reason = str(reply.body.get("reason", ""))
    clock_ms = reply.body.get("clockMs")
    if reply.status == CONFLICT_STATUS:
        refusal = REFUSAL_BY_REASON.get(reason, Refusal.BAD_ORDER)
    else:
        refusal = REFUSAL_BY_STATUS.get(reply.status)
    detail = f"status {reply.status} {reason}"
    if refusal is None:
        return WorkerFault(may_have_run(f"status-{reply.status}", detail))
    return WorkerFault(not_run(refusal.value, detail), refusal, clock_ms=clock_ms)


def decode_report(data: dict[str, Any]) -> WorkerReport:
    """Decode a minion's report of its running and ended runs.

    :raises ValueError: if a field is missing or has the wrong type.
    """
    if "clockMs" not in data:
        raise BadFieldError("the report has no clockMs")
    ends = sorted(
        (_decode_end(row) for row in get_list(data, "finished")),
        key=lambda end: end.number,
    )
    return WorkerReport(
        clock_ms=get_number(data, "clockMs"),
        running=tuple(_decode_status(row) for row in get_list(data, "running")),
        ends=tuple(ends),
        born_ms=get_integer(data, "born"),
        lists_all_ends=len(ends) < MAX_LISTED_ENDS,
    )


def _decode_status(row: Any) -> RunStatus:
    task_id, run, checkpoint, percent = _columns(row, 4)
    metric_value = row[4] if len(row) > 4 else 0
    return RunStatus(
        _decode_run_id(task_id, run),
        checked_string("" if checkpoint is None else checkpoint, "the checkpoint"),
        checked_number(percent, "the percentage"),
        checked_number(0 if metric_value is None else metric_value, "the metric"),
    )


def _decode_end(row: Any) -> RunEnd:
    number, task_id, run, kind, checkpoint = _columns(row, 5)
    return RunEnd(
        checked_integer(number, "the end's number"),
        _decode_run_id(task_id, run),
        EndKind(checked_string(kind, "the kind of end")),
        checked_string("" if checkpoint is None else checkpoint, "the checkpoint"),
    )


def _columns(row: Any, count: int) -> list[Any]:
    """Return the first columns of a row.

    :raises BadFieldError: if it is not a list or has fewer columns.
    """
    if not isinstance(row, list) or len(row) < count:
        raise BadFieldError(f"a row of the report must be a list of {count} or more")
    return row[:count]


def _decode_run_id(task_id: Any, run: Any) -> RunId:
    task = decode_task_id(checked_string(task_id, "the task's id"))
    return RunId(task, checked_integer(run, "the run's number"))
