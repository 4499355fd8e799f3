"""Calls about tasks from an entry to the placer that owns their pool."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from attrs import asdict, frozen

from redwingrun.auth import Identity
from redwingrun.coordination.verdict import Failure, Verdict, not_run
from redwingrun.httpclient import digest
from redwingrun.membership import PLACER
from redwingrun.node import Node
from redwingrun.objects import Workload
from redwingrun.peer_pb2 import SubmitTask, TaskQuery, TaskReply

MAX_RETRY_TIME_S = 12.0
CALL_TIMEOUT_S = 3.0
RETRY_INTERVAL_S = 0.25
# Reasons of transient failures: the pool gets a new owner, or its owner is reachable
# again.
TRANSIENT_REASONS = frozenset(
    {
        "not-owner",
        "no-owner",
        "not-connected",
        "connection-refused",
        "peer-lost",
        "timeout",
    }
)


@frozen
class TaskView:
    """The state of a task as its pool's owner reports it.

    :param worker: names of its workers, separated by commas.
    :param detail: why it has this state, as text.
    :param body: the result; empty before the task has succeeded.
    :param notes: lines of an explanation; empty unless it was requested.
    """

    task_id: str
    state: str
    worker: str
    detail: str
    body: bytes
    notes: list[str]

    def as_dict(self) -> dict[str, Any]:
        """Return what callers see; the result is not part of it."""
        fields = asdict(self)
        del fields["body"]
        return fields


class TaskClient:
    """Calls the owner of a pool, and retries while it has none or can't be reached.

    A submission is idempotent by its task id, so it is retried also when an earlier
    attempt may have been accepted.
    """

    def __init__(self, node: Node):
        self._node = node

    async def submit(
        self,
        workload: Workload,
        team: str,
        task_id: str,
        body: bytes,
        run_s: float,
        urgent: bool,
    ) -> TaskView | Failure:
        """Submit a task.

        :param run_s: expected run time in seconds.
        """
        message = SubmitTask(
            task_id=task_id,
            workload=workload.name,
            team=team,
            body=body,
            digest=digest(body),
            urgent=urgent,
            run_s=run_s,
        )
        return await self._retry_transient(
            lambda: self._call(workload.pool, "Submit", message)
        )

    async def query_task(
        self, task_id: str, identity: Identity, cancel: bool, explain: bool
    ) -> TaskView | Failure:
        """Return a task's state.

        :param cancel: whether to cancel the task first.
        :param explain: whether to add an explanation.
        """
        pool = task_id.partition(":")[0]
        query = TaskQuery(
            task_id=task_id,
            pool=pool,
            team=identity.team,
            operator=identity.is_operator,
            cancel=cancel,
            explain=explain,
        )
        if pool not in self._node.objects.pools:
            return not_run("not-found", f"there is no task {task_id}")
        return await self._retry_transient(lambda: self._call(pool, "Task", query))

    async def _retry_transient(
        self, call: Callable[[], Awaitable[TaskView | Failure]]
    ) -> TaskView | Failure:
        """Repeat a call whose failure is transient.

        No attempt starts later than ``MAX_RETRY_TIME_S`` after the first.
        """
        deadline_s = self._node.clock.now() + MAX_RETRY_TIME_S
        unknown: Failure | None = None
        while True:
            reply = await call()
            transient = isinstance(reply, Failure) and reply.reason in TRANSIENT_REASONS
            if not transient:
                return reply
            if reply.verdict is Verdict.MAY_HAVE_RUN:
                unknown = reply
            if self._node.clock.now() + RETRY_INTERVAL_S > deadline_s:
                # If any attempt may have run, "not run" of a later one would be wrong.
                return unknown or reply
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _call(self, pool: str, method: str, message: Any) -> TaskView | Failure:
        owner = self._node.membership.owner_of(PLACER, pool)
        if owner is None:
            return not_run("no-owner", f"no host owns pool {pool} now")
        result = await self._node.peers.call(
            owner.peer_address, method, message, CALL_TIMEOUT_S
        )
        if result.is_error():
            return result.error
        reply: TaskReply = result.ok
        if reply.verdict != Verdict.ANSWERED.value:
            return Failure(Verdict(reply.verdict), reply.reason, reply.detail)
        return _view_from(reply)


def _view_from(reply: TaskReply) -> TaskView:
    return TaskView(
        task_id=reply.task_id,
        state=reply.state,
        worker=reply.worker,
        detail=reply.detail,
        body=reply.body,
        notes=list(reply.notes),
    )
