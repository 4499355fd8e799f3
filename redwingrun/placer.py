"""The daemon ``redwingrun-placer``: pools of workers, tasks and their leases."""

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
    """Keeps the pools that this process owns."""

    kind = PLACER

    def __init__(self, settings: Settings):
        self.keeper_by_pool: dict[str, PoolOwner] = {}
        self._epoch_by_pool: dict[str, int] = {}
        super().__init__(settings)
        self._workers = HttpWorkerClient(self.http)

    def application(self) -> Application:
        """Return the HTTP surface."""
        return Application(
            common_routes(self),
            default_handler_class=NotFoundHandler,
            default_handler_args={"node": self},
            log_function=lambda handler: None,
        )

    def service(self) -> PeerService:
        """Return what peers may call."""
        return PlacerService(self)

    def on_change(self) -> None:
        """Take changed ownership, members, objects or leaving hosts."""
        pools = [pool for pool in self.objects.pools.values() if pool.type == WORKERS]
        self.membership.shards = [name for pool in pools for name in pool.shards()]
        owned = self.membership.owned()
        for pool, epoch in owned.items():
            if self._epoch_by_pool.get(pool) != epoch:
                self._take(pool, epoch)
        for pool in set(self.keeper_by_pool) - set(owned):
            self.keeper_by_pool.pop(pool).closed = True
            self._epoch_by_pool.pop(pool)
        for owner in self.keeper_by_pool.values():
            owner.update()

    def _take(self, pool: str, epoch: int) -> None:
        old = self.keeper_by_pool.get(pool)
        if old is not None:
            old.closed = True
        owner = PoolOwner(self, pool, epoch, self._workers)
        self.keeper_by_pool[pool] = owner
        self._epoch_by_pool[pool] = epoch
        self.spawn(owner.run(), f"pool-{pool}")

    def add_pool_loads(self, news: News) -> None:
        """Tell nothing of pools: tasks are not pushed between placers."""

    async def finish(self) -> None:
        """Nothing is in flight that the next owner would not find."""

    def debug(self) -> dict[str, Any]:
        """Return what the debug page shows besides the common part."""
        return {
            pool: {
                "loaded": owner.loaded,
                "tasks": len(owner.task_by_id),
                "queued": owner.scheduler.queued(),
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
            for pool, owner in self.keeper_by_pool.items()
        }

    # Calls of entries

    def _keeper(self, pool: str) -> PoolOwner | None:
        owner = self.keeper_by_pool.get(pool)
        if owner is None or not owner.loaded or not owner.owns():
            return None
        return owner

    async def submit(self, message: SubmitTask) -> TaskReply:
        """Keep a task."""
        workload = self.objects.workloads.get(message.workload)
        owner = self._keeper(workload.pool) if workload else None
        if owner is None:
            return _failed(not_run("not-owner", "this host does not own the pool"))
        if digest(message.body) != message.digest:
            return _failed(not_run("damaged", "the body does not match its digest"))
        found = await owner.submit(message, workload)
        return _failed(found) if isinstance(found, Failure) else _view(found)

    async def query_task(self, query: TaskQuery) -> TaskReply:
        """Tell of a task, or cancel or explain it."""
        owner = self._keeper(query.pool)
        if owner is None:
            return _failed(not_run("not-owner", "this host does not own the pool"))
        task = owner.task_by_id.get(query.task_id)
        if task is None or not (query.operator or task.row.team == query.team):
            return _failed(not_run("not-found", f"there is no task {query.task_id}"))
        if query.cancel:
            failure = await owner.cancel(task)
            if failure is not None:
                return _failed(failure)
        reply = _view(task)
        if query.explain:
            reply.notes.extend(self._notes(owner, task))
        return reply

    def _notes(self, owner: PoolOwner, task: Task) -> list[str]:
        if task.state == QUEUED:
            return owner.scheduler.explain(task, self.clock.now())
        workers = ", ".join(task.row.workers) or "no worker"
        notes = [f"attempt {task.row.attempt} on {workers}"]
        if task.row.detail:
            notes.append(task.row.detail)
        return notes


def _failed(failure: Failure) -> TaskReply:
    return TaskReply(
        verdict=failure.verdict.value, reason=failure.reason, detail=failure.detail
    )


def _view(task: Task) -> TaskReply:
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
    """What a placer answers to its peers."""

    _node: Placer

    async def Submit(self, stream: Stream) -> None:  # noqa: N802
        """Take a task."""
        await stream.send_message(await self._node.submit(await stream.recv_message()))

    async def Task(self, stream: Stream) -> None:  # noqa: N802
        """Tell of a task, or cancel or explain it."""
        await stream.send_message(
            await self._node.query_task(await stream.recv_message())
        )


def main() -> None:
    """Run the daemon from the command line."""
    daemon_main("redwingrun-placer", Placer)
