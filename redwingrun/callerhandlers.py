"""HTTP handlers for callers: quick requests, tasks, results and cancellation."""

from __future__ import annotations

import math
import secrets
from typing import TYPE_CHECKING, Any

from tornado.web import HTTPError

from redwingrun.auth import Identity
from redwingrun.basehandlers import Handler
from redwingrun.coordination.ledger import BodyMismatch
from redwingrun.coordination.verdict import Answer, Failure, Verdict, not_run
from redwingrun.httpclient import (
    DIGEST_HEADER,
    REQUEST_ID_HEADER,
    VERDICT_HEADER,
    digest,
)
from redwingrun.objects import QUICK, Workload
from redwingrun.requests import Request
from redwingrun.taskclient import TaskView

if TYPE_CHECKING:
    from redwingrun.entry import Entry

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
DEADLINE_HEADER = "X-Deadline-S"
URGENT_HEADER = "X-Urgent"
RUN_TIME_HEADER = "X-Run-S"
ID_BYTES = 8
MAX_DEADLINE_S = 3600.0
MAX_RUN_S = 366 * 86400.0


class CallerHandler(Handler):
    """Base of the handlers for callers."""

    node: Entry

    def workload(self, name: str, team: str) -> Workload:
        """Return a workload that a team may submit.

        :raises HTTPError: 404 if there is no such workload, 403 if the team may not
            submit it.
        """
        workload = self.node.objects.workloads.get(name)
        if workload is None:
            raise HTTPError(404, f"there is no workload {name!r}")
        if team not in workload.teams:
            raise HTTPError(403, f"team {team!r} may not submit workload {name!r}")
        return workload

    def caller(self) -> Identity:
        """Return the identity of the caller.

        :raises HTTPError: 401 without a valid token, 403 with an operator's token.
        """
        identity = self.identity()
        if identity.is_operator:
            raise HTTPError(
                403, "work must be submitted with a caller's token, not an operator's"
            )
        return identity

    def seconds_header(self, name: str, default: float, limit: float) -> float:
        """Return a header's value in seconds, the default if the header is missing.

        :param limit: largest value allowed.
        :raises HTTPError: 400 if it is not a number above 0 and up to the limit.
        """
        text = self.request.headers.get(name)
        if text is None:
            return default
        try:
            value = float(text)
        except ValueError as error:
            raise HTTPError(400, f"{name}: {text!r} is not a number") from error
        if not math.isfinite(value) or not 0 < value <= limit:
            raise HTTPError(400, f"{name}: {text} is outside 0 to {limit:g} seconds")
        return value

    def idempotency_key(self) -> str:
        """Return the idempotency key, empty if the request has none.

        :raises HTTPError: 400 if it is not well formed.
        """
        key = self.request.headers.get(IDEMPOTENCY_KEY_HEADER, "")
        return self.checked_id(key, IDEMPOTENCY_KEY_HEADER) if key else ""

    def send_answer(self, answer: Answer, request_id: str) -> None:
        """Send an answer's body with its digest and verdict."""
        self.set_header("Content-Type", "application/octet-stream")
        self.set_header(VERDICT_HEADER, answer.verdict.value)
        self.set_header(REQUEST_ID_HEADER, request_id)
        self.set_header(DIGEST_HEADER, digest(answer.body))
        self.set_header("X-Upstream", answer.upstream)
        self.set_header("X-Waited-S", f"{answer.waited_s:.6f}")
        self.finish(answer.body)


class RunHandler(CallerHandler):
    """Quick requests, whose answer is the response."""

    running: Request | None = None

    async def post(self, name: str) -> None:
        """Run a request on a minion and send its answer."""
        caller = self.caller()
        workload = self.workload(name, caller.team)
        if workload.kind != QUICK:
            raise HTTPError(
                400, f"{name} is {workload.kind} work: submit it to /v1/tasks/{name}"
            )
        policy = self.node.objects.policies[workload.policy]
        deadline_s = self.seconds_header(
            DEADLINE_HEADER, policy.deadline_s, MAX_DEADLINE_S
        )
        key = self.idempotency_key()
        if not workload.idempotent and not key:
            raise HTTPError(
                400,
                f"{name} runs at most once: send an {IDEMPOTENCY_KEY_HEADER} header",
            )
        caller_id = self.request.headers.get(REQUEST_ID_HEADER, "")
        request_id = self.checked_id(caller_id, REQUEST_ID_HEADER) if caller_id else ""
        # Answers are matched by this id, so it must be unique; the caller's may repeat.
        request_id = f"{request_id or 'r'}.{secrets.token_hex(ID_BYTES)}"
        self.running = self.node.new_request(
            workload, caller.team, self.request.body, request_id, deadline_s
        )
        self.set_header(REQUEST_ID_HEADER, request_id)
        if key and not workload.idempotent:
            outcome = await self.node.run_once(self.running, key)
        else:
            outcome = await self.node.run_request(self.running)
        self._send_outcome(outcome, request_id)

    def _send_outcome(
        self, outcome: Answer | Failure | BodyMismatch, request_id: str
    ) -> None:
        if isinstance(outcome, BodyMismatch):
            outcome = not_run(
                "key-reused",
                f"this {IDEMPOTENCY_KEY_HEADER} was already used with another body",
            )
        if isinstance(outcome, Answer):
            self.send_answer(outcome, request_id)
        else:
            self.send_failure(outcome, request_id=request_id)

    def on_connection_close(self) -> None:
        """Cancel the request, if it still waits, because its caller disconnected."""
        if self.running is not None:
            self.node.router.cancel(self.running)


class RequestStatusHandler(CallerHandler):
    """One quick request by its id."""

    def get(self, request_id: str) -> None:
        """Send the trace of the request, for its team and for operators."""
        identity = self.identity()
        trace = self.node.find_trace(request_id)
        if trace is None or not (identity.is_operator or identity.team == trace.team):
            raise HTTPError(404, f"no request {request_id} is known on this host")
        self.send_json(
            {"request_id": request_id, "team": trace.team, "steps": trace.steps}
        )

    def delete(self, request_id: str) -> None:
        """Cancel the request if it still waits."""
        cancelled = self.node.cancel_request(request_id, self.caller().team)
        if cancelled is None:
            raise HTTPError(404, f"no request {request_id} is in flight on this host")
        verdict = Verdict.NOT_RUN if cancelled else Verdict.MAY_HAVE_RUN
        self.send_json({"request_id": request_id, "verdict": verdict.value})


class ResultHandler(CallerHandler):
    """The stored answer of a request that runs at most once."""

    async def get(self, key: str) -> None:
        """Send the stored answer; keys of other teams are not found."""
        caller = self.caller()
        outcome = await self.node.stored_outcome(caller.team, key)
        if isinstance(outcome, Answer):
            self.send_answer(outcome, "")
        else:
            self.send_failure(outcome)


class TasksHandler(CallerHandler):
    """Submission of tasks, which run on workers and are queried later."""

    async def post(self, name: str) -> None:
        """Submit a task; send 202 with its id and state."""
        caller = self.caller()
        workload = self.workload(name, caller.team)
        if workload.kind == QUICK:
            raise HTTPError(400, f"{name} is quick work: submit it to /v1/run/{name}")
        key = self.idempotency_key() or secrets.token_hex(ID_BYTES)
        run_s = self.seconds_header(RUN_TIME_HEADER, workload.run_s, MAX_RUN_S)
        urgent = self.request.headers.get(URGENT_HEADER, "") == "1"
        if urgent and not self.node.objects.policies[workload.policy].urgent:
            raise HTTPError(403, f"the policy of {name} does not allow urgent work")
        task_id = f"{workload.pool}:{caller.team}:{key}"
        reply = await self.node.task_client.submit(
            workload, caller.team, task_id, self.request.body, run_s, urgent
        )
        self._send(reply, 202)

    def _send(self, reply: TaskView | Failure, status: int = 200) -> None:
        if isinstance(reply, Failure):
            self.send_failure(reply)
        else:
            self.send_json(reply.as_dict(), status)


class TaskHandler(TasksHandler):
    """One task by its id."""

    async def get(self, task_id: str, part: str) -> None:
        """Send the task's state, its result, or why it waits."""
        reply = await self._query(task_id, explain=part == "/explain")
        if part == "/result" and not isinstance(reply, Failure):
            self._send_result(reply)
        else:
            self._send(reply)

    async def delete(self, task_id: str, part: str) -> None:
        """Cancel the task; record it in the audit trail if an operator does so."""
        if part:
            raise HTTPError(
                405, f"only a task can be cancelled: leave {part} out of the path"
            )
        reply = await self._query(task_id, cancel=True)
        identity = self.identity()
        if identity.is_operator and not isinstance(reply, Failure):
            await self.node.audit.record_action("cancel", identity.name, task_id)
        self._send(reply)

    async def _query(
        self, task_id: str, cancel: bool = False, explain: bool = False
    ) -> TaskView | Failure:
        return await self.node.task_client.query_task(
            task_id, self.identity(), cancel, explain
        )

    def _send_result(self, reply: TaskView) -> None:
        if reply.state != "succeeded":
            detail = f"the task is {reply.state}: {reply.detail}"
            self.send_failure(not_run("not-found", detail), state=reply.state)
            return
        self.send_answer(Answer(reply.body, reply.worker), reply.task_id)


def caller_routes(node: Entry) -> list[tuple[str, type[Handler], dict[str, Any]]]:
    """Return the routes of the handlers for callers."""
    settings = {"node": node}
    return [
        (r"/v1/run/([^/]+)", RunHandler, settings),
        (r"/v1/requests/([^/]+)", RequestStatusHandler, settings),
        (r"/v1/results/([^/]+)", ResultHandler, settings),
        (r"/v1/task/([^/]+)(|/result|/explain)", TaskHandler, settings),
        (r"/v1/tasks/([^/]+)", TasksHandler, settings),
    ]
