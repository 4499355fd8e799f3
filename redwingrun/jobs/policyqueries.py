"""Plans queries to the placement policy: which workers they name, and how many."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping

from attrs import define, frozen

from redwingrun.jobs.job import Job
from redwingrun.jobs.placement import Placer, StepView, may_run, reserved_size
from redwingrun.jobs.spec import TaskSize
from redwingrun.jobs.workerpool import PolicyQuery, Worker

# A step's first query names this many workers if so many are eligible, so that the
# placer has a choice.
MIN_WORKERS_NAMED = 30
# A step that needs more workers sends several queries at the same time, through
# different proxies.
MAX_WORKERS_PER_QUERY = 30
MAX_QUERIES_PER_STEP = 3
MAX_WORKERS_NAMED = MAX_QUERIES_PER_STEP * MAX_WORKERS_PER_QUERY
# The policy handles the queries of one proxy one after the other: a query that takes
# longer than this would delay short queries behind it.
LONG_QUERY_S = 0.2
# Number of proxies that send only short queries, if there are more.
SHORT_QUERY_PROXIES = 2
# Work beyond the rate of its client account uses at most this share of the proxies, and
# of those for long queries, so that work within its rate finds some free.
BEYOND_RATE_SHARE = 0.5
# Room is sought for this many times the waiting tasks: the policy may allow fewer
# workers than expected, and other steps may take the room first.
ROOM_FACTOR = 1.5
# Weight of the newest answer in the average share of workers that are allowed, and the
# share assumed before the first one.
SHARE_WEIGHT = 0.2
INITIAL_ALLOWED_SHARE = 0.5


@frozen
class _Pledge:
    """Resources that a pending query will probably take on each worker it names."""

    cpu_milli: int
    memory_mb: int


@define
class _AllowedShare:
    """The average share of the workers in a query that the policy allows."""

    value: float = INITIAL_ALLOWED_SHARE

    def record(self, share: float) -> None:
        self.value += SHARE_WEIGHT * (share - self.value)


class PolicyQueryPlanner:
    """Chooses the workers that queries to the placement policy name.

    The answer to a query takes much longer than a plan. Steps that became ready in the
    same moment would all name the same workers, the best ones, and find them full when
    the answers come. So what the pending queries will probably place is taken into
    account: workers that few of them name are named first.

    :ivar proxy_count: number of members that can send queries.
    """

    def __init__(self, placer: Placer):
        self._placer = placer
        self._long_queries = 0
        self._queries_beyond_rate: set[PolicyQuery] = set()
        self._pledge_by_query: dict[PolicyQuery, _Pledge] = {}
        self._pledged_cpu_by_worker: Counter[str] = Counter()
        self._pledged_memory_by_worker: Counter[str] = Counter()
        self._share_by_queue: dict[str, _AllowedShare] = {}
        self.proxy_count = 1

    def plan(
        self,
        view: StepView,
        job: Job,
        waiting: list[int],
        workers: Mapping[str, Worker],
        now_s: float,
    ) -> list[PolicyQuery]:
        """Return the queries that a step sends now, none while others are pending.

        Fewer are returned if they are long and the proxies for long queries are busy,
        or if the job is beyond its account's rate and others like it use its share.

        :param waiting: indexes of the tasks that have no worker.
        :param workers: the workers that may be given new runs, by id.
        """
        policy_cache = view.policy_cache
        if policy_cache.pending or now_s < policy_cache.retry_at_s:
            return []
        if job.is_beyond_rate and not self._may_query_beyond_rate():
            return []
        named = self._workers_to_name(view, job, waiting, workers, now_s)
        queries = []
        for worker_ids in _split_evenly([worker.worker_id for worker in named]):
            expected_s = job.queue.policy_answer_s(len(worker_ids))
            is_long = expected_s > LONG_QUERY_S
            if is_long and not self._may_send_long_query(job):
                break
            if job.is_beyond_rate and not self._may_query_beyond_rate():
                break
            query = PolicyQuery(view.step_id, worker_ids, expected_s)
            self._long_queries += is_long
            if job.is_beyond_rate:
                self._queries_beyond_rate.add(query)
            self._pledge(query, reserved_size(view.step), len(waiting) / len(named))
            policy_cache.pending.update(worker_ids)
            queries.append(query)
        return queries

    def query_ended(self, query: PolicyQuery) -> None:
        """Record that a query is answered or has failed."""
        self._long_queries -= query.expected_answer_s > LONG_QUERY_S
        self._queries_beyond_rate.discard(query)
        pledge = self._pledge_by_query.pop(query, None)
        if pledge is not None:
            self._add_pledge(query, pledge, -1)

    def record_answer(self, queue: str, named: int, allowed: int) -> None:
        """Record how many of the workers in a query the policy allowed."""
        share = self._share_by_queue.setdefault(queue, _AllowedShare())
        share.record(allowed / named)

    def _may_send_long_query(self, job: Job) -> bool:
        # The other proxies stay free for short queries; see policyproxies.py.
        most = max(1, self.proxy_count - SHORT_QUERY_PROXIES)
        if job.is_beyond_rate:
            most = max(1, int(most * BEYOND_RATE_SHARE))
        return self._long_queries < most

    def _may_query_beyond_rate(self) -> bool:
        most = max(1, int(self.proxy_count * BEYOND_RATE_SHARE))
        return len(self._queries_beyond_rate) < most

    def _workers_to_name(
        self,
        view: StepView,
        job: Job,
        waiting: list[int],
        workers: Mapping[str, Worker],
        now_s: float,
    ) -> list[Worker]:
        """Return the workers to query the policy about, best first.

        There are at least ``MIN_WORKERS_NAMED`` if possible, and more if that is not
        expected to give room for all waiting tasks.
        """
        policy_cache = view.policy_cache
        size = reserved_size(view.step)
        eligible = _eligible(view, job, waiting, workers, now_s)
        ranked = self._placer.rank(view, eligible, now_s, self._pledged_share)
        share = self._share_by_queue.get(job.queue.name, _AllowedShare()).value
        room = 0.0
        for count, worker in enumerate(ranked[:MAX_WORKERS_NAMED], start=1):
            is_known = worker.worker_id in policy_cache.allowed
            room += (1.0 if is_known else share) * self._room_for(view, worker, size)
            if count >= MIN_WORKERS_NAMED and room >= ROOM_FACTOR * len(waiting):
                return ranked[:count]
        return ranked[:MAX_WORKERS_NAMED]

    def _room_for(self, view: StepView, worker: Worker, size: TaskSize) -> int:
        """Return how many tasks of a step a worker has room for, less the pledges."""
        capacity = worker.info.capacity
        worker_id = worker.worker_id
        if worker_id in view.reclaimable:
            return view.reclaimable[worker_id]
        cpu = capacity.cpu_milli - worker.cpu_used
        memory = capacity.memory_mb - worker.memory_used
        rooms = [
            _quotient(cpu - self._pledged_cpu_by_worker[worker_id], size.cpu_milli),
            _quotient(
                memory - self._pledged_memory_by_worker[worker_id], size.memory_mb
            ),
            _quotient(capacity.gpus - worker.gpus_used, size.gpus),
        ]
        if view.step.max_per_worker:
            running = worker.tasks_by_step.get(view.step_id, 0)
            rooms.append(view.step.max_per_worker - running)
        return max(0, int(min(rooms)))

    def _pledged_share(self, worker: Worker) -> float:
        """Return the pledged fraction of processor or memory, whichever is higher."""
        if worker.worker_id not in self._pledged_cpu_by_worker:
            return 0.0
        capacity = worker.info.capacity
        return max(
            self._pledged_cpu_by_worker[worker.worker_id] / max(1, capacity.cpu_milli),
            self._pledged_memory_by_worker[worker.worker_id]
            / max(1, capacity.memory_mb),
        )

    def _pledge(self, query: PolicyQuery, size: TaskSize, tasks: float) -> None:
        """Record what a query will probably place on each worker that it names.

        :param tasks: expected number of tasks a worker.
        """
        pledge = _Pledge(round(size.cpu_milli * tasks), round(size.memory_mb * tasks))
        self._pledge_by_query[query] = pledge
        self._add_pledge(query, pledge, 1)

    def _add_pledge(self, query: PolicyQuery, pledge: _Pledge, sign: int) -> None:
        for worker_id in query.worker_ids:
            self._pledged_cpu_by_worker[worker_id] += sign * pledge.cpu_milli
            self._pledged_memory_by_worker[worker_id] += sign * pledge.memory_mb


def _eligible(
    view: StepView,
    job: Job,
    waiting: list[int],
    workers: Mapping[str, Worker],
    now_s: float,
) -> list[Worker]:
    """Return the workers that a query of the step may name.

    They could take a task now but have no valid ticket; a refused worker is not queried
    again. If none could take one now, of tasks that need a large part of a worker, they
    are those that could when empty and were not queried yet: room is held on the
    allowed ones then. Without any of these, they are the full workers on which room
    could be made for an urgent step.
    """
    policy_cache = view.policy_cache
    size = reserved_size(view.step)
    excluded = frozenset.intersection(*(view.excluded(index) for index in waiting))
    usable = [
        worker
        for worker in workers.values()
        if may_run(view.step, policy_cache, worker)
        and worker.worker_id not in excluded
        and not worker.is_room_held_from(job.job_id, view.priority, now_s)
    ]
    with_room = [worker for worker in usable if worker.fits(size)]
    if with_room or not view.is_large:
        without_ticket = [
            worker
            for worker in with_room
            if policy_cache.valid_ticket(worker.worker_id, worker.info.born_ms, now_s)
            is None
        ]
        return without_ticket or [
            worker for worker in usable if worker.worker_id in view.reclaimable
        ]
    return [
        worker
        for worker in usable
        if worker.can_hold(size) and worker.worker_id not in policy_cache.allowed
    ]


def _quotient(free: float, size: float) -> float:
    """Return how many tasks fit by one resource, infinite if they use none of it."""
    return free // size if size else math.inf


def _split_evenly(worker_ids: list[str]) -> list[tuple[str, ...]]:
    """Split workers into as few queries as possible, each with some of the best."""
    count = math.ceil(len(worker_ids) / MAX_WORKERS_PER_QUERY)
    return [tuple(worker_ids[position::count]) for position in range(count)]
