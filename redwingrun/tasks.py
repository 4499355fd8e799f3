"""A task of a worker pool: its row in the table, its state and its members' states."""

from __future__ import annotations

import asyncio
from enum import Enum

from attrs import define, evolve, field, frozen

from redwingrun.coordination.statechart import StateChart
from redwingrun.objects import Resources

TASKS_PREFIX = "tasks/"
CHART = StateChart.load("redwingrun", "task")
QUEUED = "queued"
PLACED = "placed"
RUNNING = "running"
CHECKPOINTING = "checkpointing"
STOPPING = "stopping"
SUCCEEDED = "succeeded"
CANCELLED = "cancelled"
# Placements after which a restartable task that fails is not restarted; one that is
# lost always is.
MAX_ATTEMPTS = 3


@frozen
class TaskRow:
    """The part of a task that is stored in the table.

    A member is one of the ``count`` parts of a task, which start together; it is not
    a member of the cluster. A gang is one task with several members, so that all
    members are placed, and written, in one step or not at all.

    :param digest: digest of the body; a task id stands for one body only.
    :param order: sequence number of the submission in the pool.
    :param run_s: expected run time in seconds.
    :param cores: size of one member, as are ``memory_gb`` and ``accelerators``.
    :param count: number of members.
    :param restartable: whether it may be started again after it was started once.
    :param attempt: number of placements.
    :param workers: names of the members' workers in the current attempt.
    :param incarnations: incarnations of these workers' processes.
    :param checkpoints: the members' last checkpoints; empty before the first one.
    :param detail: why it has the current state, as text.
    :param body: base64 text.
    :param result: result of the first member as base64 text; empty before the task
        has succeeded.
    """

    task_id: str
    pool: str
    workload: str
    team: str
    digest: str
    order: int
    run_s: float = 1.0
    cores: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0
    count: int = 1
    urgent: bool = False
    restartable: bool = False
    service: bool = False
    state: str = QUEUED
    attempt: int = 0
    workers: list[str] = field(factory=list)
    incarnations: list[str] = field(factory=list)
    checkpoints: list[str] = field(factory=list)
    detail: str = ""
    body: str = ""
    result: str = ""

    @property
    def key(self) -> str:
        """The key of the row in the table."""
        return f"{TASKS_PREFIX}{self.pool}/{self.task_id}"

    @property
    def size(self) -> Resources:
        """The resources of one member."""
        return Resources(
            cores=self.cores, memory_gb=self.memory_gb, accelerators=self.accelerators
        )


@frozen
class MemberKey:
    """Identifies one member of one attempt of a task on a worker."""

    task_id: str
    attempt: int
    index: int


class EndReason(Enum):
    """How a member ended.

    ``NOT_RUN`` is certain; ``LOST`` means that it may have run.
    """

    OK = "ok"
    FAILED = "failed"
    NOT_RUN = "not run"
    STOPPED = "stopped"
    LOST = "lost"


@define
class Task:
    """A task in the memory of its pool's owner.

    Members are named by their index from 0.

    :param version: version of its row as last written. Each write is conditional on
        it, so that a delayed write can't restore an older state.
    :param live: members that may be running.
    :param starting: members that are placed and whose start was not answered yet;
        their leases are not renewed.
    :param confirmed: members that their worker has reported as running.
    :param ends: how members ended, by index.
    :param results: base64 results of members, by index.
    :param over_size_reports: consecutive reports in which a member used more than
        its size, by index.
    :param excluded_workers: workers where the task failed; they are used again only
        when no other one fits.
    :param write_lock: held during a write of the row.
    :param end_is_stored: whether the table holds the task's final state.
    :param stop_all: whether to stop the live members because another one ended
        without success.
    """

    row: TaskRow
    version: int = 0
    live: set[int] = field(factory=set)
    starting: set[int] = field(factory=set)
    confirmed: set[int] = field(factory=set)
    ends: dict[int, EndReason] = field(factory=dict)
    results: dict[int, str] = field(factory=dict)
    over_size_reports: dict[int, int] = field(factory=dict)
    excluded_workers: set[str] = field(factory=set)
    write_lock: asyncio.Lock = field(factory=asyncio.Lock)
    queued_s: float = 0.0
    end_is_stored: bool = False
    stop_all: bool = False

    @property
    def task_id(self) -> str:
        """The task's id."""
        return self.row.task_id

    @property
    def state(self) -> str:
        """The state, as named in the state chart."""
        return self.row.state

    @property
    def ended(self) -> bool:
        """Whether the state is final."""
        return CHART.is_final(self.row.state)

    def key(self, index: int) -> MemberKey:
        """Return the key of a member in the current attempt."""
        return MemberKey(self.task_id, self.row.attempt, index)

    def apply_event(self, event: str, detail: str = "") -> None:
        """Change the state according to the state chart.

        :param detail: the reason as text; the previous one is kept when empty.
        :raises ChartError: if the chart does not allow the event in this state.
        """
        state = CHART.next_state(self.row.state, event)
        self.row = evolve(self.row, state=state, detail=detail or self.row.detail)

    def place(self, workers: list[str], incarnations: list[str]) -> None:
        """Start a new attempt on these workers, one for each member."""
        self.apply_event("place")
        self.row = evolve(
            self.row,
            attempt=self.row.attempt + 1,
            workers=list(workers),
            incarnations=list(incarnations),
            detail="",
        )
        self.live = set(range(self.row.count))
        self.starting = set(self.live)
        self.confirmed = set()
        self.ends = {}
        self.results = {}
        self.over_size_reports = {}
        self.stop_all = False

    def adopt(self) -> None:
        """Take over the attempt that an earlier owner of the pool started."""
        self.live = set(range(self.row.count))

    def confirm(self, index: int) -> None:
        """Record that a worker runs a member; the task runs once all members do."""
        self.confirmed.add(index)
        if self.state == PLACED and len(self.confirmed) == self.row.count:
            self.apply_event("started")

    def end_of_missing(self, index: int) -> EndReason:
        """Return how a member that its worker does not list has ended.

        A worker lists all members that it has run until it is told to forget them,
        so an unlisted member did not run, unless it was reported as running before.
        """
        return EndReason.LOST if index in self.confirmed else EndReason.NOT_RUN

    def record_member_end(self, index: int, end: EndReason, result: str = "") -> None:
        """Record a member's end; unless it is ``OK``, the other members are stopped."""
        self.live.discard(index)
        self.starting.discard(index)
        self.ends[index] = end
        if result:
            self.results[index] = result
        if end is not EndReason.OK and self.live:
            self.stop_all = True

    def end_event(self) -> str:
        """Return the event of the state chart that follows from the members' ends."""
        ends = set(self.ends.values())
        if ends == {EndReason.OK}:
            return "succeed"
        if ends == {EndReason.NOT_RUN}:
            return "not_run"
        if self.state in (STOPPING, CHECKPOINTING) and ends <= {
            EndReason.STOPPED,
            EndReason.OK,
            EndReason.NOT_RUN,
        }:
            return "stopped"
        may_restart = self.row.restartable and self.row.attempt < MAX_ATTEMPTS
        if EndReason.FAILED in ends:
            return "fail_restartable" if may_restart else "fail"
        return "lose_restartable" if self.row.restartable else "lose"

    def finish(self, detail: str) -> None:
        """Change the state after all members ended: a final one, or queued again."""
        event = self.end_event()
        results = [self.results.get(index, "") for index in range(self.row.count)]
        self.apply_event(event, detail)
        if self.row.state == SUCCEEDED:
            self.row = evolve(self.row, result=results[0])
        self.stop_all = False
