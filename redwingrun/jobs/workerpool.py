"""The workers of a pool slice as their owner knows them: room, runs and leases."""

from __future__ import annotations

from enum import Enum

from attrs import define, field, frozen

from redwingrun.jobs.spec import RunId, StepId, TaskSize

# A judgement of a worker's speed is worth so long; its reports bring newer ones.
SLOW_FACTOR_VALID_S = 2.0


@frozen
class WorkerInfo:
    """A worker as its registration describes it.

    :param worker_id: names one worker; a reborn one may keep it.
    :param address: IP and port.
    :param kind: workers of a kind are alike in speed.
    :param born_ms: Unix time at which this life of the worker began; 0 if unknown.
    :param draining: whether it will leave soon.
    :param leaves_in_ms: least time until it leaves; 0 if it doesn't say.
    """

    worker_id: str
    address: str
    pool: str
    zone: str = ""
    kind: str = ""
    rack: str = ""
    labels: frozenset[str] = frozenset()
    capacity: TaskSize = TaskSize()
    born_ms: int = 0
    draining: bool = False
    leaves_in_ms: float = 0


class RunPhase(Enum):
    """What is known of a run on a worker."""

    ORDERED = "ordered"  # the start may have been sent, no answer yet
    ALIVE = "alive"  # the worker said that it has the run
    STOPPING = "stopping"  # a stop is under way


@define
class Run:
    """A run that takes room on a worker.

    :param size: the room it takes.
    :param answered_s: steady time of the worker's answer to a start or stop; a
        list of runs asked for later names the run if it is there.
    """

    run_id: RunId
    worker_id: str
    size: TaskSize
    ordered_s: float
    phase: RunPhase = RunPhase.ORDERED
    answered_s: float | None = None
    percent: float = 0
    percent_changed_s: float = 0
    metric_value: float = 0
    pace_percent: int = 100
    is_filler: bool = False
    target_ms: float = 0


@define
class Worker:
    """A worker, what runs on it, and how long that may run unseen.

    :param adopted: whether it has answered under this owner's fence.
    :param last_report_s: steady time of its last answer.
    :param lease_expiry_s: steady time at which all its runs have certainly expired.
    :param avoid_until_s: steady time until which nothing new is placed there.
    :param last_paced_s: steady time of the last change of pace there.
    :param listed: whether it is registered now.
    :param slow_factor: how many times as long as it should its work took lately.
    :param slow_factor_updated_s: steady time of that judgement.
    :param last_end_number: number of the last end that was taken in.
    """

    info: WorkerInfo
    is_registered: bool = True
    has_reported: bool = False
    last_end_number: int = 0
    last_report_s: float = 0
    lease_expiry_s: float = 0
    avoid_until_s: float = 0
    last_paced_s: float = 0
    slow_factor: float = 1.0
    slow_factor_updated_s: float = 0
    run_by_id: dict[RunId, Run] = field(factory=dict)
    cpu_used: int = 0
    memory_used: int = 0
    gpus_used: int = 0
    tasks_by_step: dict[StepId, int] = field(factory=dict)

    @property
    def worker_id(self) -> str:
        """The worker's name."""
        return self.info.worker_id

    def slowdown(self, now_s: float) -> float:
        """Return how many times as long as usual the worker takes, as last judged."""
        return (
            self.slow_factor
            if now_s - self.slow_factor_updated_s < SLOW_FACTOR_VALID_S
            else 1.0
        )

    def fits(self, size: TaskSize) -> bool:
        """Tell whether a task of this size can start without passing the capacity."""
        capacity = self.info.capacity
        return (
            self.cpu_used + size.cpu_milli <= capacity.cpu_milli
            and self.memory_used + size.memory_mb <= capacity.memory_mb
            and self.gpus_used + size.gpus <= capacity.gpus
        )

    def add(self, run: Run) -> None:
        """Reserve a run's room."""
        if run.run_id in self.run_by_id:
            return
        self.run_by_id[run.run_id] = run
        self._reserve(run, 1)

    def remove(self, run_id: RunId) -> Run | None:
        """Free the room of a run that has certainly ended."""
        run = self.run_by_id.pop(run_id, None)
        if run is not None:
            self._reserve(run, -1)
        return run

    def _reserve(self, run: Run, sign: int) -> None:
        self.cpu_used += sign * run.size.cpu_milli
        self.memory_used += sign * run.size.memory_mb
        self.gpus_used += sign * run.size.gpus
        step_id = run.run_id.task.step_id
        count = self.tasks_by_step.get(step_id, 0) + sign
        if count:
            self.tasks_by_step[step_id] = count
        else:
            self.tasks_by_step.pop(step_id, None)

    @property
    def free_share(self) -> float:
        """Free part of the scarcer of processor and memory, 0 to 1."""
        capacity = self.info.capacity
        cpu = 1 - self.cpu_used / capacity.cpu_milli if capacity.cpu_milli else 0
        memory = 1 - self.memory_used / capacity.memory_mb if capacity.memory_mb else 0
        return min(cpu, memory)


@frozen
class RunStatus:
    """A run that a worker lists as running.

    :param figure: tail latency in ms of a task that serves, else cpu in use.
    """

    run_id: RunId
    checkpoint: str
    percent: float
    metric_value: float = 0


class EndKind(Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    GANG_MEMBER_ENDED = "broken"  # another member of its gang ended
    GANG_INCOMPLETE = "alone"  # the other members of its gang didn't come


@frozen
class RunEnd:
    """An end that a worker keeps until it is acknowledged.

    :param number: counts the ends of one life of the worker.
    """

    number: int
    run_id: RunId
    kind: EndKind
    checkpoint: str


@frozen
class WorkerReport:
    """A worker's lists of runs.

    :param clock_ms: the worker's steady clock.
    :param born_ms: Unix time at which this life began; 0 if it doesn't say.
    """

    clock_ms: float
    running: tuple[RunStatus, ...]
    ends: tuple[RunEnd, ...]
    born_ms: int = 0
    draining: bool | None = None


class Refusal(Enum):
    """Why a worker did not start a run; it has done nothing."""

    STALE_FENCE = "fence"  # it has seen the fence of a newer owner
    STALE_RUN = "old"  # this or a later run was stopped or ended there
    LEASE_EXPIRED = "late"  # the lease had already ended
    NO_ROOM = "no-room"
    TICKET = "ticket"  # the policy's permission is missing or expired
    UNHEALTHY = "unhealthy"
    BAD_ORDER = "bad-order"
    OTHER_INCARNATION = "other-life"  # the worker there is not the one named
    NOT_SENT = "not-sent"


@frozen
class StartOrder:
    """Start a run on a worker."""

    run_id: RunId
    worker_id: str
    payload: str
    checkpoint: str = ""
    ticket: str = ""


@frozen
class StopOrder:
    """Stop a run on a worker.

    :param why: for the log.
    """

    run_id: RunId
    worker_id: str
    why: str = ""


@frozen
class PaceOrder:
    """Let a run work at a share of its speed.

    :param percent: 0 to 100.
    """

    run_id: RunId
    worker_id: str
    percent: int


@frozen
class PolicyQuery:
    """Ask the placement policy which workers may run a step.

    :param expected_answer_s: about how long the answer takes.
    """

    step_id: StepId
    worker_ids: tuple[str, ...]
    expected_answer_s: float
