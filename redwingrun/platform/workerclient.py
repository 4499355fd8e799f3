"""Calls to minions."""

from __future__ import annotations

from collections.abc import Sequence
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
from redwingrun.platform.jsonclient import JSON_HEADERS, Answer, decoded
from redwingrun.platform.jsonfields import BadFieldError, items, number, whole

# An order is sent again to the same minion: one that got lost costs this much.
ORDER_TIMEOUT_S = 0.35
HOLD_SLACK_S = 0.8
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


def task_name(task: TaskId) -> str:
    """Return a task's name on the wire."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.index}"


def read_task_name(name: str) -> TaskId:
    """Read a task's name.

    :raises ValueError: when it is not one.
    """
    job, occurrence, step, index = name.split(".")
    return TaskId(job, int(occurrence), int(step), int(index))


class PlatformWorkers(WorkerPort):
    """Orders and holds over HTTP."""

    def __init__(self, client: HttpClient):
        self._client = client

    async def start(
        self, target: WorkerAddress, order: StartOrder, fence: int, deadline_ms: float
    ) -> Result[float, WorkerFault]:
        """Start a run."""
        plain: dict[str, Any] = {
            "taskId": task_name(order.run_id.task),
            "runId": order.run_id.run,
            "spec": order.payload,
            "deadlineMs": int(deadline_ms),
            "fence": fence,
        }
        if order.checkpoint:
            plain["checkpoint"] = order.checkpoint
        if order.ticket:
            plain["ticket"] = order.ticket
        return await self._order(target, "/-/run-start", plain)

    async def stop(
        self, target: WorkerAddress, order: StopOrder, fence: int
    ) -> Result[float, WorkerFault]:
        """Stop a run."""
        run_id = order.run_id
        plain = {"taskId": task_name(run_id.task), "runId": run_id.run, "fence": fence}
        return await self._order(target, "/-/run-stop", plain)

    async def pace(
        self, target: WorkerAddress, run_id: RunId, percent: int, fence: int
    ) -> Result[float, WorkerFault]:
        """Let a run work at a share of its speed."""
        plain = {
            "taskId": task_name(run_id.task),
            "runId": run_id.run,
            "pct": percent,
            "fence": fence,
        }
        return await self._order(target, "/-/pace", plain)

    async def heartbeat(
        self, target: WorkerAddress, call: Heartbeat
    ) -> Result[WorkerReport, WorkerFault]:
        """Renew leases and return the minion's lists."""
        plain: dict[str, Any] = {"fence": call.fence, "lastSeen": call.acked_end_number}
        if call.deadline_ms is not None:
            plain["deadlineMs"] = int(call.deadline_ms)
        if call.wait_s:
            plain["waitMs"] = int(call.wait_s * MS_PER_S)
        answer = await self._send(target, "/-/hold", plain, call.wait_s + HOLD_SLACK_S)
        if answer.is_error():
            return answer
        try:
            return Ok(decode_report(answer.ok.body))
        except (ValueError, TypeError, IndexError) as error:
            return Error(WorkerFault(may_have_run("damaged", repr(error))))

    async def _order(
        self, target: WorkerAddress, path: str, plain: dict[str, Any]
    ) -> Result[float, WorkerFault]:
        answer = await self._send(target, path, plain, ORDER_TIMEOUT_S)
        return answer.map(lambda found: found.body.get("clockMs", 0))

    async def _send(
        self, target: WorkerAddress, path: str, plain: dict[str, Any], timeout_s: float
    ) -> Result[Answer, WorkerFault]:
        headers = {**JSON_HEADERS, "X-Expect-Instance": target.worker_id}
        url = f"http://{target.address}{path}"
        body = orjson.dumps(plain)
        call = HttpCall("POST", url, timeout_s, body, headers, CONNECT_TIMEOUT_S)
        reply = await self._client.send(call)
        if reply.is_error():
            failure = reply.error
            dead = failure.reason == "connection-refused"
            return Error(WorkerFault(failure, dead=dead))
        answer = decoded(reply.ok.status, reply.ok.body)
        if answer.is_error():
            return Error(WorkerFault(answer.error))
        if answer.ok.status == OK_STATUS:
            return answer
        return Error(_refused(answer.ok))


def _refused(answer: Answer) -> WorkerFault:
    reason = str(answer.body.get("reason", ""))
    clock_ms = answer.body.get("clockMs")
    if answer.status == CONFLICT_STATUS:
        refusal = REFUSAL_BY_REASON.get(reason, Refusal.BAD_ORDER)
    else:
        refusal = REFUSAL_BY_STATUS.get(answer.status)
    text = f"status {answer.status} {reason}"
    if refusal is None:
        return WorkerFault(may_have_run(f"status-{answer.status}", text))
    return WorkerFault(not_run(refusal.value, text), refusal, clock_ms=clock_ms)


def decode_report(plain: dict[str, Any]) -> WorkerReport:
    """Read a minion's lists.

    :raises ValueError: when they can't be read.
    """
    if "clockMs" not in plain:
        raise BadFieldError("the answer has no clock")
    return WorkerReport(
        clock_ms=number(plain, "clockMs"),
        running=tuple(_sighting(row) for row in items(plain, "running")),
        ends=tuple(_end(row) for row in items(plain, "finished")),
        born_ms=whole(plain, "born"),
    )


def _sighting(row: Sequence[Any]) -> RunStatus:
    name, run, checkpoint, percent = row[:4]
    metric_value = row[4] if len(row) > 4 else 0
    run_id = RunId(read_task_name(name), run)
    return RunStatus(run_id, checkpoint or "", percent, metric_value or 0)


def _end(row: Sequence[Any]) -> RunEnd:
    count, name, run, how, checkpoint = row[:5]
    run_id = RunId(read_task_name(name), run)
    return RunEnd(count, run_id, EndKind(how), checkpoint or "")
