"""A job as its client described it: steps of tasks that wait for other steps."""

from __future__ import annotations

from typing import Any

import orjson
from attrs import asdict, field, fields_dict, frozen

from redwingrun.errors import RedwingrunError

MAX_STEPS = 100
MAX_TASKS_A_JOB = 10_000
MAX_PAYLOAD_BYTES = 4_000
MAX_OCCURRENCES = 10_000
MAX_QUANTITY = 10**12


class BadJobError(RedwingrunError):
    """A job description that can't be accepted; the text says why."""


@frozen
class TaskSize:
    """What one task needs.

    :param cpu_milli: thousandths of a core.
    :param memory_mb: megabytes of memory.
    :param gpus: whole accelerators.
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    gpus: int = 0


@frozen
class StepSpec:
    """One step: some tasks of the same kind.

    :param estimate_ms: the client's rough estimate of a task's duration.
    :param after: positions of earlier steps that must be done first.
    :param checkpointed: whether a task can resume from a checkpoint.
    :param gang: whether the tasks work only together.
    :param same_rack: whether the tasks should share a rack.
    :param required_label: label that a worker must have; empty for any.
    :param data_rack: rack where the input lies; empty for anywhere.
    :param max_per_worker: most tasks of the step on one worker; 0 for no limit.
    :param speculative: whether copies of a task may run at the same time.
    :param lasting: whether the tasks run until the job is cancelled.
    :param image: what the tasks run; tasks of one image behave alike.
    :param target_ms: bound on the tail latency of a lasting task; 0 for none.
    :param filler: whether the tasks use only what others leave of the processor.
    :param may_miss: most lasting tasks that we may take away at the same time.
    """

    tasks: int
    size: TaskSize = TaskSize()
    estimate_ms: float = 0
    after: tuple[int, ...] = ()
    checkpointed: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    target_ms: float = 0
    filler: bool = False
    may_miss: int = 0


@frozen
class JobSpec:
    """A whole job.

    :param payload: opaque text that each task is started with.
    :param occurrences: how often the steps run; 0 for once, at once.
    :param first_due_ms: Unix time of the first occurrence.
    :param period_ms: time between two occurrences.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    occurrences: int = 0
    first_due_ms: int = 0
    period_ms: int = 0

    @property
    def is_scheduled(self) -> bool:
        """Whether the job has due times."""
        return self.occurrences > 0


@frozen
class Submission:
    """A job with the queue that it was handed to, as it is stored.

    :param accepted_ms: Unix time of the acceptance.
    """

    queue: str
    spec: JobSpec
    accepted_ms: int = 0


@frozen(cache_hash=True)
class StepId:
    """Names a step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int

    def task(self, index: int) -> TaskId:
        """Return the name of one of the step's tasks."""
        return TaskId(self.job, self.occurrence, self.step, index)


@frozen(cache_hash=True)
class TaskId:
    """Names a task of one occurrence of a job."""

    job: str
    occurrence: int
    step: int
    index: int

    @property
    def step_id(self) -> StepId:
        """The step that the task belongs to."""
        return StepId(self.job, self.occurrence, self.step)


@frozen(cache_hash=True)
class RunId:
    """Names one start of a task; runs of a task count from 1 and only grow."""

    task: TaskId
    run: int


def check_job(spec: JobSpec) -> None:
    """Check what the types don't.

    :raises BadJobError: with the first fault found.
    """
    if len(spec.payload.encode()) > MAX_PAYLOAD_BYTES:
        raise BadJobError(f"the payload is over {MAX_PAYLOAD_BYTES} bytes")
    if not 1 <= len(spec.steps) <= MAX_STEPS:
        raise BadJobError(f"a job has 1 to {MAX_STEPS} steps")
    if sum(step.tasks for step in spec.steps) > MAX_TASKS_A_JOB:
        raise BadJobError(f"a job has at most {MAX_TASKS_A_JOB} tasks")
    if not 0 <= spec.occurrences <= MAX_OCCURRENCES:
        raise BadJobError(f"a job has at most {MAX_OCCURRENCES} occurrences")
    if spec.first_due_ms < 0 or spec.period_ms < 0:
        raise BadJobError("a due time or period is negative")
    for position, step in enumerate(spec.steps):
        _check_step(position, step)


def _check_step(position: int, step: StepSpec) -> None:
    if step.tasks < 1:
        raise BadJobError(f"step {position} has no task")
    if any(not 0 <= other < position for other in step.after):
        raise BadJobError(f"step {position} waits for a step that is not before it")
    quantities = (
        step.size.cpu_milli,
        step.size.memory_mb,
        step.size.gpus,
        step.estimate_ms,
        step.max_per_worker,
        step.target_ms,
        step.may_miss,
    )
    if any(not 0 <= quantity <= MAX_QUANTITY for quantity in quantities):
        raise BadJobError(f"step {position} has a quantity out of range")


def encode_submission(submission: Submission) -> str:
    """Return a submission as its row holds it; default values are left out."""
    spec = submission.spec
    encoded = {
        "queue": submission.queue,
        "accepted_ms": submission.accepted_ms,
        "payload": spec.payload,
        "steps": [_encode_step(step) for step in spec.steps],
    }
    if spec.is_scheduled:
        encoded["occurrences"] = spec.occurrences
        encoded["first_due_ms"] = spec.first_due_ms
        encoded["period_ms"] = spec.period_ms
    return orjson.dumps(encoded).decode()


def decode_submission(text: str) -> Submission:
    """Read a row written by :func:`encode_submission`."""
    encoded = orjson.loads(text)
    spec = JobSpec(
        encoded["payload"],
        tuple(_decode_step(item) for item in encoded["steps"]),
        encoded.get("occurrences", 0),
        encoded.get("first_due_ms", 0),
        encoded.get("period_ms", 0),
    )
    return Submission(encoded["queue"], spec, encoded["accepted_ms"])


_STEP_FIELDS = fields_dict(StepSpec)


def _encode_step(step: StepSpec) -> dict[str, Any]:
    encoded = asdict(step)
    size = encoded.pop("size")
    kept = {
        name: value
        for name, value in encoded.items()
        if value != _STEP_FIELDS[name].default
    }
    return kept | {name: value for name, value in size.items() if value}


def _decode_step(encoded: dict[str, Any]) -> StepSpec:
    size = TaskSize(
        encoded.pop("cpu_milli", 0), encoded.pop("memory_mb", 0), encoded.pop("gpus", 0)
    )
    encoded["after"] = tuple(encoded.get("after", ()))
    return StepSpec(size=size, **encoded)


@frozen
class Queue:
    """What the configuration says of a queue.

    :param pool: the pool whose workers run its tasks.
    :param priority: 0 comes first.
    :param attempts: runs of a task that may fail before the job has failed.
    :param stretch: the objective, in times of the job's longest chain of work.
    :param slack_ms: what the objective adds to that.
    :param gated: whether a placement policy names the workers.
    :param policy_call_ms: what the policy needs for a call.
    :param policy_per_worker_ms: what it needs more for each worker named.
    """

    name: str
    pool: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    slack_ms: float = 0.0
    uses_policy: bool = False
    policy_call_ms: float = 0.0
    policy_per_worker_ms: float = 0.0


@frozen
class QueueAddress:
    """Where clients reach a queue.

    :param path_prefix: what the path begins with; the longest one counts.
    """

    host: str
    path_prefix: str
    queue: str


@frozen
class RequestLimits:
    """Bounds on what clients send."""

    body_bytes: int = 262_144
    header_bytes: int = 16_384


@frozen
class QueueSet:
    """The queues and pools of one version of the configuration.

    :param enforces_capacity_by_pool: whether a pool's workers refuse what doesn't fit.
    """

    version: int
    queue_by_name: dict[str, Queue] = field(factory=dict)
    addresses_by_host: dict[str, tuple[QueueAddress, ...]] = field(factory=dict)
    limits: RequestLimits = RequestLimits()
    enforces_capacity_by_pool: dict[str, bool] = field(factory=dict)

    def find(self, host: str, path: str) -> QueueAddress | None:
        """Return the address with the longest prefix that a path begins with."""
        fitting = (
            address
            for address in self.addresses_by_host.get(host, ())
            if path.startswith(address.path_prefix)
        )
        return max(fitting, key=lambda item: len(item.path_prefix), default=None)
