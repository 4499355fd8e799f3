"""An entry's calls about tasks to the placer that owns their pool."""

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

LONGEST_WAIT_S = 12.0
CALL_TIMEOUT_S = 3.0
PAUSE_S = 0.25
# Answers that another owner, or the same one a little later, may better.
PASSING_REASONS = frozenset(
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
    """What the owner of a pool tells of one of its tasks.

    :param body: the result, once it has succeeded.
    :param notes: why it waits, or what happened; only when asked for.
    """

    task_id: str
    state: str
    worker: str
    detail: str
    body: bytes
    notes: list[str]

    def as_dict(self) -> dict[str, Any]:
        """Return what callers see of it; the result is asked for by itself."""
        shown = asdict(self)
        del shown["body"]
        return shown


class TaskClient:
    """Finds the owner of a pool and asks it, again while ownership moves.

    A task's id makes its submission idempotent, so it may be sent again also
    when an earlier try may have been taken.
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
        """Submit a task."""
        message = SubmitTask(
            task_id=task_id,
            workload=workload.name,
            team=team,
            body=body,
            digest=digest(body),
            urgent=urgent,
            run_s=run_s,
        )
        return await self._until_settled(
            lambda: self._call(workload.pool, "Submit", message)
        )

    async def query_task(
        self, task_id: str, identity: Identity, cancel: bool, explain: bool
    ) -> TaskView | Failure:
        """Ask for, cancel or explain a task."""
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
        return await self._until_settled(lambda: self._call(pool, "Task", query))

    async def _until_settled(
        self, call: Callable[[], Awaitable[TaskView | Failure]]
    ) -> TaskView | Failure:
        ends_s = self._node.clock.now() + LONGEST_WAIT_S
        unsettled: Failure | None = None
        while True:
            reply = await call()
            passing = isinstance(reply, Failure) and reply.reason in PASSING_REASONS
            if not passing:
                return reply
            if reply.verdict is Verdict.MAY_HAVE_RUN:
                unsettled = reply
            if self._node.clock.now() + PAUSE_S > ends_s:
                # One try that may have been taken outweighs later ones that were not.
                return unsettled or reply
            await asyncio.sleep(PAUSE_S)

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
        return _view_of(reply)


def _view_of(reply: TaskReply) -> TaskView:
    return TaskView(
        task_id=reply.task_id,
        state=reply.state,
        worker=reply.worker,
        detail=reply.detail,
        body=reply.body,
        notes=list(reply.notes),
    )
