"""The daemon ``redwingrun-placer``: places tasks on the workers of its pools."""

from __future__ import annotations

import base64
from typing import Any

from grpclib.server import Stream
from tornado.web import Application

from redwingrun.basehandlers import NotFoundHandler, common_routes
from redwingrun.config import Settings
from redwingrun.coordination.verdict import Failure, Verdict, not_run
from redwingrun.daemon import daemon_main
from redwingrun.httpclient import digest
from redwingrun.membership import PLACER
from redwingrun.node import Node
from redwingrun.objects import WORKERS
from redwingrun.peer_pb2 import News, SubmitTask, TaskQuery, TaskReply
from redwingrun.peerservice import PeerService
from redwingrun.poolowner import PoolOwner
from redwingrun.tasks import QUEUED, SUCCEEDED, Task
from redwingrun.workers import HttpWorkerClient


class Placer(Node):
    """Runs a :class:`PoolOwner` for each pool that this process owns."""

    kind = PLACER

    def __init__(self, settings: Settings):
        self.owner_by_pool: dict[str, PoolOwner] = {}
        self._epoch_by_pool: dict[str, int] = {}
        super().__init__(settings)
        self._workers = HttpWorkerClient(self.http)

    def application(self) -> Application:
        """Return the HTTP application."""
        return Application(
            common_routes(self),
            default_handler_class=NotFoundHandler,
            default_handler_args={"node": self},
            log_function=lambda handler: None,
        )

    def service(self) -> PeerService:
        """Return the service that peers call."""
        return PlacerService(self)

    def on_change(self) -> None:
        """Apply changed ownership, members, objects, drains or leaving hosts."""
        pools = [pool for pool in self.objects.pools.values() if pool.type == WORKERS]
        self.membership.shards = [name for pool in pools for name in pool.shards()]
        owned = self.membership.owned()
        for pool, epoch in owned.items():
            if self._epoch_by_pool.get(pool) != epoch:
                self._start_owner(pool, epoch)
        for pool in set(self.owner_by_pool) - set(owned):
            self.owner_by_pool.pop(pool).closed = True
            self._epoch_by_pool.pop(pool)
        for owner in self.owner_by_pool.values():
            owner.update()

    def _start_owner(self, pool: str, epoch: int) -> None:
        old = self.owner_by_pool.get(pool)
        if old is not None:
            old.closed = True
        owner = PoolOwner(self, pool, epoch, self._workers)
        self.owner_by_pool[pool] = owner
        self._epoch_by_pool[pool] = epoch
        self.spawn(owner.run(), f"pool-{pool}")

    def add_pool_loads(self, news: News) -> None:
        """Add nothing: placers don't forward tasks to each other."""

    async def finish(self) -> None:
        """Wait for nothing: the next owner finds all tasks in the table."""

    def debug(self) -> dict[str, Any]:
        """Return this daemon's part of the debug page."""
        return {
            pool: {
                "loaded": owner.loaded,
                "tasks": len(owner.task_by_id),
                "queued": owner.scheduler.queued_count(),
                "workers": {
                    name: {
                        "reachable": worker.reachable,
                        "leaving": worker.leaving,
                        "failures": worker.failures,
                        "free_cores": worker.resources.free_cores,
                        "tasks": sorted(worker.tasks),
                    }
                    for name, worker in owner.scheduler.worker_by_name.items()
                },
            }
            for pool, owner in self.owner_by_pool.items()
        }

    # Calls of entries

    def _ready_owner(self, pool: str) -> PoolOwner | None:
        """Return a pool's owner; ``None`` when it is not here or has not loaded yet."""
        owner = self.owner_by_pool.get(pool)
        if owner is None or not owner.loaded or not owner.owns():
            return None
        return owner

    async def submit(self, message: SubmitTask) -> TaskReply:
        """Store a new task and return its state."""
        workload = self.objects.workloads.get(message.workload)
        owner = self._ready_owner(workload.pool) if workload else None
        if owner is None:
            return _failure_reply(
                not_run(
                    "not-owner",
                    f"this host does not own the pool of workload {message.workload},"
                    " or has not loaded it yet",
                )
            )
        if digest(message.body) != message.digest:
            return _failure_reply(
                not_run("damaged", "the body does not match its digest")
            )
        result = await owner.submit(message, workload)
        return (
            _failure_reply(result)
            if isinstance(result, Failure)
            else _task_reply(result)
        )

    async def query_task(self, query: TaskQuery) -> TaskReply:
        """Return a task's state; cancel it first or add an explanation if requested.

        Another team's task is reported as not found, except to operators.
        """
        owner = self._ready_owner(query.pool)
        if owner is None:
            return _failure_reply(
                not_run(
                    "not-owner",
                    f"this host does not own pool {query.pool},"
                    " or has not loaded it yet",
                )
            )
        task = owner.task_by_id.get(query.task_id)
        if task is None or not (query.operator or task.row.team == query.team):
            return _failure_reply(
                not_run("not-found", f"there is no task {query.task_id}")
            )
        if query.cancel:
            failure = await owner.cancel(task)
            if failure is not None:
                return _failure_reply(failure)
        reply = _task_reply(task)
        if query.explain:
            reply.notes.extend(self._explain(owner, task))
        return reply

    def _explain(self, owner: PoolOwner, task: Task) -> list[str]:
        if task.state == QUEUED:
            return owner.scheduler.explain(task, self.clock.now())
        workers = ", ".join(task.row.workers) or "no worker"
        notes = [f"attempt {task.row.attempt} on {workers}"]
        if task.row.detail:
            notes.append(task.row.detail)
        return notes


def _failure_reply(failure: Failure) -> TaskReply:
    return TaskReply(
        verdict=failure.verdict.value, reason=failure.reason, detail=failure.detail
    )


def _task_reply(task: Task) -> TaskReply:
    row = task.row
    body = base64.b64decode(row.result) if row.state == SUCCEEDED else b""
    return TaskReply(
        verdict=Verdict.ANSWERED.value,
        detail=row.detail,
        task_id=row.task_id,
        state=row.state,
        worker=", ".join(row.workers),
        body=body,
    )


class PlacerService(PeerService):
    """The calls of peers that a placer serves."""

    def __init__(self, placer: Placer):
        super().__init__(placer.membership, placer.config, placer.news)
        self._placer = placer

    async def Submit(self, stream: Stream) -> None:  # noqa: N802
        """Store a new task."""
        await stream.send_message(
            await self._placer.submit(await stream.recv_message())
        )

    async def Task(self, stream: Stream) -> None:  # noqa: N802
        """Return a task's state; cancel or explain it if requested."""
        await stream.send_message(
            await self._placer.query_task(await stream.recv_message())
        )


def main() -> None:
    """Run the daemon from the command line."""
    daemon_main("redwingrun-placer", Placer)
