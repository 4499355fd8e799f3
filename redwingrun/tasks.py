"""A task: its row in the table, its state, and what is known of its members."""

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
MAX_ATTEMPTS = 3


@frozen
class TaskRow:
    """What the table keeps of a task.

    A gang is one task with several members, so it is placed, and its row
    written, whole or not at all.

    :param digest: of the body; a task id means one body.
    :param attempt: grows with each placement.
    :param workers: name of each member's worker, for the present attempt.
    :param incarnations: run of each of those workers' processes.
    :param order: grows with each submission to the pool.
    :param restartable: may be started again after it was started once.
    :param body: base64 text; ``result`` too, once there is one.
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
        """The key of the row."""
        return f"{TASKS_PREFIX}{self.pool}/{self.task_id}"

    @property
    def size(self) -> Resources:
        """The size of one member."""
        return Resources(
            cores=self.cores, memory_gb=self.memory_gb, accelerators=self.accelerators
        )


@frozen
class MemberKey:
    """One member of one attempt of a task, as workers know it."""

    task_id: str
    attempt: int
    index: int


class EndReason(Enum):
    """How a member ended."""

    OK = "ok"
    FAILED = "failed"
    NOT_RUN = "not run"
    STOPPED = "stopped"
    LOST = "lost"


@define
class Task:
    """A task in the memory of its pool's owner.

    :param version: of its row as last written; each write expects it, so that a
        write that takes effect late can't bring an older state back.
    :param live: members that may be running, by index.
    :param starting: members whose start call is under way.
    :param confirmed: members that their worker said to be running.
    :param ends: how members ended, by index.
    :param excess: how often a member was seen over its size, by index.
    """

    row: TaskRow
    version: int = 0
    live: set[int] = field(factory=set)
    starting: set[int] = field(factory=set)
    confirmed: set[int] = field(factory=set)
    ends: dict[int, EndReason] = field(factory=dict)
    results: dict[int, str] = field(factory=dict)
    excess: dict[int, int] = field(factory=dict)
    avoid: set[str] = field(factory=set)
    writing: asyncio.Lock = field(factory=asyncio.Lock)
    queued_s: float = 0.0
    stop_all: bool = False

    @property
    def task_id(self) -> str:
        """The task's id."""
        return self.row.task_id

    @property
    def state(self) -> str:
        """The state, one of the chart's."""
        return self.row.state

    @property
    def ended(self) -> bool:
        """Whether nothing more can happen to it."""
        return CHART.is_final(self.row.state)

    def key(self, index: int) -> MemberKey:
        """Return the key of a member in the present attempt."""
        return MemberKey(self.task_id, self.row.attempt, index)

    def happen(self, event: str, detail: str = "") -> None:
        """Change the state as the chart says.

        :raises ChartError: when the event may not happen now.
        """
        state = CHART.next_state(self.row.state, event)
        self.row = evolve(self.row, state=state, detail=detail or self.row.detail)

    def place(self, workers: list[str], incarnations: list[str]) -> None:
        """Begin a new attempt on these workers."""
        self.happen("place")
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
        self.excess = {}
        self.stop_all = False

    def adopt(self) -> None:
        """Take over an attempt that an earlier owner placed."""
        self.live = set(range(self.row.count))

    def confirm(self, index: int) -> None:
        """Note that a worker runs a member; the task runs once all of them do."""
        self.confirmed.add(index)
        if self.state == PLACED and len(self.confirmed) == self.row.count:
            self.happen("started")

    def missing(self, index: int) -> EndReason:
        """Return the end of a member that its worker does not know.

        A worker keeps the ends of what it ran until it is told to forget them,
        so what it never ran is all that it does not know.
        """
        return EndReason.LOST if index in self.confirmed else EndReason.NOT_RUN

    def record_member_end(self, index: int, end: EndReason, result: str = "") -> None:
        """Note a member's end; the others of a gang are stopped unless it went well."""
        self.live.discard(index)
        self.starting.discard(index)
        self.ends[index] = end
        if result:
            self.results[index] = result
        if end is not EndReason.OK and self.live:
            self.stop_all = True

    def event(self) -> str:
        """Return the event that follows from the ends of all members."""
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
        again = self.row.restartable and self.row.attempt < MAX_ATTEMPTS
        if EndReason.FAILED in ends:
            return "fail_restartable" if again else "fail"
        return "lose_restartable" if self.row.restartable else "lose"

    def finish(self, detail: str) -> None:
        """Take the end of all members: a final state, or the queue again."""
        event = self.event()
        results = [self.results.get(index, "") for index in range(self.row.count)]
        self.happen(event, detail)
        if self.row.state == SUCCEEDED:
            self.row = evolve(self.row, result=results[0])
        self.stop_all = False
