"""Job descriptions as submitted by clients, and the configuration of queues."""

from __future__ import annotations

from typing import Any

import orjson
from attrs import asdict, field, fields_dict, frozen

from redwingrun.errors import RedwingrunError
from redwingrun.jobs.accounts import AccountDirectory
from redwingrun.jobs.tasksize import TaskSize

MAX_STEPS = 100
MAX_TASKS_PER_JOB = 10_000
MAX_PAYLOAD_BYTES = 4_000
MAX_OCCURRENCES = 10_000
MAX_QUANTITY = 10**12
MS_PER_S = 1000


class BadJobError(RedwingrunError):
    """An invalid job description; the text says why."""


@frozen
class StepSpec:
    """A step of a job: tasks of the same kind.

    The fields are stored under their names.

    :param tasks: number of tasks.
    :param estimate_ms: the client's rough estimate of a task's run time.
    :param after: positions of the earlier steps that must be done first.
    :param checkpointed: whether a task can resume from a checkpoint.
    :param gang: whether the tasks can only work while all of them run.
    :param same_rack: whether the tasks should share a rack.
    :param required_label: label that a worker must have; empty for none.
    :param data_rack: rack that holds the input; empty if any rack is as good.
    :param max_per_worker: maximum number of the step's tasks on one worker; 0 for no
        limit.
    :param speculative: whether copies of a task may run at the same time.
    :param lasting: whether the tasks run until the job is cancelled.
    :param image: what the tasks run; tasks of one image behave alike.
    :param target_ms: upper bound on the tail latency of a lasting task, which serves
        requests; 0 for none.
    :param filler: whether the tasks use only processor time that others leave.
    :param may_miss: maximum number of lasting tasks that may be stopped for a move at
        the same time.
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
    """The description of a job.

    :param payload: opaque text that is passed to each task.
    :param occurrences: how many times all steps run; 0 for once, immediately.
    :param first_due_ms: Unix time of the first occurrence.
    :param period_ms: time from one occurrence to the next.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    occurrences: int = 0
    first_due_ms: int = 0
    period_ms: int = 0

    @property
    def is_scheduled(self) -> bool:
        """Whether the job runs at scheduled times."""
        return self.occurrences > 0


@frozen
class Submission:
    """A job as it was submitted to a queue and stored.

    :param accepted_ms: Unix time at which it was accepted.
    :param account: name of the client account that submitted it; empty for none.
    """

    queue: str
    spec: JobSpec
    accepted_ms: int = 0
    account: str = ""


@frozen(cache_hash=True)
class StepId:
    """Identifies a step in one occurrence of a job."""

    job: str
    occurrence: int
    step: int

    def task(self, index: int) -> TaskId:
        """Return the id of one of the step's tasks."""
        return TaskId(self.job, self.occurrence, self.step, index)


@frozen(cache_hash=True)
class TaskId:
    """Identifies a task in one occurrence of a job."""

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
    """Identifies a run of a task; the run numbers of a task rise from 1."""

    task: TaskId
    run: int


def check_job(spec: JobSpec) -> None:
    """Check the limits on a job.

    :raises BadJobError: with the first violation.
    """
    if len(spec.payload.encode()) > MAX_PAYLOAD_BYTES:
        raise BadJobError(f"payload exceeds the limit of {MAX_PAYLOAD_BYTES} bytes")
    check_step_count(len(spec.steps))
    if sum(step.tasks for step in spec.steps) > MAX_TASKS_PER_JOB:
        raise BadJobError(f"a job must have at most {MAX_TASKS_PER_JOB} tasks")
    if not 0 <= spec.occurrences <= MAX_OCCURRENCES:
        raise BadJobError(f"a job must have 0 to {MAX_OCCURRENCES} occurrences")
    if spec.first_due_ms < 0 or spec.period_ms < 0:
        raise BadJobError("the first due time and the period must not be negative")
    for position, step in enumerate(spec.steps):
        _check_step(position, step)


def check_step_count(count: int) -> None:
    """Check the number of a job's steps, which needs none of them decoded.

    :raises BadJobError: if there are none or too many.
    """
    if not 1 <= count <= MAX_STEPS:
        raise BadJobError(f"a job must have 1 to {MAX_STEPS} steps")


def _check_step(position: int, step: StepSpec) -> None:
    if step.tasks < 1:
        raise BadJobError(f"step {position} must have at least 1 task")
    if any(not 0 <= other < position for other in step.after):
        raise BadJobError(f"step {position} may only depend on earlier steps")
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
        raise BadJobError(f"step {position} has a quantity outside 0 to {MAX_QUANTITY}")


def encode_submission(submission: Submission) -> str:
    """Return the value of a submission's row; default values are omitted."""
    spec = submission.spec
    encoded = {
        "queue": submission.queue,
        "accepted_ms": submission.accepted_ms,
        "payload": spec.payload,
        "steps": [_encode_step(step) for step in spec.steps],
    }
    if submission.account:
        encoded["account"] = submission.account
    if spec.is_scheduled:
        encoded["occurrences"] = spec.occurrences
        encoded["first_due_ms"] = spec.first_due_ms
        encoded["period_ms"] = spec.period_ms
    return orjson.dumps(encoded).decode()


def decode_submission(text: str) -> Submission:
    """Parse a value written by :func:`encode_submission`."""
    encoded = orjson.loads(text)
    spec = JobSpec(
        encoded["payload"],
        tuple(_decode_step(item) for item in encoded["steps"]),
        encoded.get("occurrences", 0),
        encoded.get("first_due_ms", 0),
        encoded.get("period_ms", 0),
    )
    return Submission(
        encoded["queue"], spec, encoded["accepted_ms"], encoded.get("account", "")
    )


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
    """The configuration of a queue.

    The objective for the time from acceptance to completion of a job is ``stretch``
    times the estimate of its critical path, plus ``slack_ms``.

    :param pool: the pool whose workers run its tasks.
    :param priority: 0 is scheduled first.
    :param attempts: number of failed runs of one task after which the job fails.
    :param uses_policy: whether the placement policy decides which workers may be used.
    :param policy_call_ms: time that the policy needs for a query.
    :param policy_per_worker_ms: additional time for each worker in the query.
    :param requires_key: whether requests need the key of a client account.
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
    requires_key: bool = False

    def policy_answer_s(self, workers: int) -> float:
        """Return how long the policy needs to answer a query, in seconds.

        :param workers: the number of workers in the query.
        """
        needed_ms = self.policy_call_ms + self.policy_per_worker_ms * workers
        return needed_ms / MS_PER_S


@frozen
class QueueAddress:
    """The host and path at which clients reach a queue.

    :param path_prefix: prefix of the request's path; the longest match is used.
    """

    host: str
    path_prefix: str
    queue: str


@frozen
class RequestLimits:
    """Limits on the size of clients' requests."""

    body_bytes: int = 262_144
    header_bytes: int = 16_384


@frozen
class QueueSet:
    """The queues and pools of one version of the configuration.

    :param enforces_capacity_by_pool: whether a pool's workers refuse runs that do not
        fit.
    :param accounts: the client accounts; empty if no queue requires a key.
    """

    version: int
    queue_by_name: dict[str, Queue] = field(factory=dict)
    addresses_by_host: dict[str, tuple[QueueAddress, ...]] = field(factory=dict)
    limits: RequestLimits = RequestLimits()
    enforces_capacity_by_pool: dict[str, bool] = field(factory=dict)
    accounts: AccountDirectory = field(factory=AccountDirectory)

    def find(self, host: str, path: str) -> QueueAddress | None:
        """Return the address on a host with the longest prefix of a path."""
        fitting = (
            address
            for address in self.addresses_by_host.get(host, ())
            if path.startswith(address.path_prefix)
        )
        return max(fitting, key=lambda item: len(item.path_prefix), default=None)
