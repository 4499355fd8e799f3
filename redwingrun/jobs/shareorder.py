"""The order in which steps of client accounts are placed when they compete.

Work within the committed rate of its account comes first. While room is short, accounts
below their share come before those above it: dominant resource fairness with weights
(Ghodsi and others, 2011).
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Collection, Iterable
from enum import IntEnum

from attrs import define, evolve, field, frozen

from redwingrun.jobs.accounts import AccountDirectory, ClientAccount
from redwingrun.jobs.accountusage import AccountUsage
from redwingrun.jobs.candidates import is_usable
from redwingrun.jobs.job import Job
from redwingrun.jobs.slicestate import ReadyStep, SliceState
from redwingrun.jobs.spec import StepId, TaskSize
from redwingrun.jobs.workerpool import Worker

# In any interval of RATE_WINDOW_S an account may submit its weight in jobs per second,
# a tenth more, and RATE_BURST_JOBS.
RATE_WINDOW_S = 5
RATE_TOLERANCE = 0.1
RATE_BURST_JOBS = 20
# Jobs are counted by intervals of this length, so that memory is bounded.
BUCKET_MS = 100
BUCKETS_PER_WINDOW = RATE_WINDOW_S * 1000 // BUCKET_MS
# Counts are kept for two windows, for jobs that arrive after later ones.
BUCKETS_KEPT = 2 * BUCKETS_PER_WINDOW
# Each call removes at most this many idle accounts, so that its time is bounded.
MAX_IDLE_REMOVED = 2
# Room counts as short for this long after a step has found none. A plan that leaves no
# step without room may fall between two that do.
SHORT_ROOM_S = 1.0
# The usable workers are found at this interval, not in each plan.
CAPACITY_INTERVAL_S = 0.25
# A lower weight counts as this, so that no share is 0.
MIN_WEIGHT = 0.001
# Of the starts that may be in flight, this many are reserved for work within its rate.
STARTS_KEPT_FREE = 50


class ShareRank(IntEnum):
    """What an account uses, compared with its share; lower ranks come first.

    ``BELOW_HALF`` lets an account with little running precede the overdue work of large
    accounts that are just below their shares.
    """

    BELOW_HALF = 0
    BELOW = 1
    ABOVE = 2


@frozen
class RateChange:
    """An account begins or ceases to exceed its rate.

    :param jobs_per_s: the rate of the account, its weight.
    """

    account: str
    exceeds: bool
    jobs_per_s: float


@define
class _AcceptedJobs:
    """The jobs of an account that count as within its rate, by time of acceptance.

    :ivar newest: the newest bucket with a job. Buckets are numbered by Unix time, in
        units of ``BUCKET_MS``.
    :ivar count_by_bucket: number of jobs.
    """

    newest: int = 0
    count_by_bucket: dict[int, int] = field(factory=dict)

    def highest_count(self, bucket: int) -> int:
        """Return the highest count of all windows that contain a bucket."""
        last_end = max(bucket, min(self.newest, bucket + BUCKETS_PER_WINDOW - 1))
        return max(self._count(end) for end in range(bucket, last_end + 1))

    def add(self, bucket: int) -> None:
        """Count a job, and forget those of long ago."""
        self.count_by_bucket[bucket] = self.count_by_bucket.get(bucket, 0) + 1
        if bucket <= self.newest:
            return
        self.newest = bucket
        if len(self.count_by_bucket) > BUCKETS_KEPT:
            oldest = bucket - BUCKETS_KEPT
            self.count_by_bucket = {
                key: count
                for key, count in self.count_by_bucket.items()
                if key > oldest
            }

    def _count(self, end: int) -> int:
        """Return the number of jobs in the window that ends with a bucket."""
        begin = end - BUCKETS_PER_WINDOW
        return sum(
            count for key, count in self.count_by_bucket.items() if begin < key <= end
        )


class JobRates:
    """Decides for each job, once, whether it is within its account's rate.

    A job is within the rate if, with it, no interval of ``RATE_WINDOW_S`` contains
    more jobs within the rate than the account may submit in such an interval. So an
    account that never submits more is never marked, in whatever order its jobs are
    read, and one that does keeps its rate: only the excess is marked.
    """

    def __init__(self) -> None:
        self._accounts = AccountDirectory()
        # Least recently used first.
        self._jobs_by_account: OrderedDict[str, _AcceptedJobs] = OrderedDict()
        # When a job was last marked, in buckets; the longest ago is first.
        self._marked_by_account: OrderedDict[str, int] = OrderedDict()
        self._changes: list[RateChange] = []

    def set_accounts(self, accounts: AccountDirectory) -> None:
        """Apply the rates of a newer configuration; decisions made are kept."""
        self._accounts = accounts

    def is_within(self, account: str, accepted_ms: int, unix_ms: int) -> bool:
        """Return whether a new job is within its account's rate, and count it.

        :param account: empty for none; such a job is within.
        :param accepted_ms: Unix time at which the job was accepted.
        :param unix_ms: current Unix time. A later time of acceptance, by a clock that
            runs ahead, counts as this.
        """
        if not account:
            return True
        now = unix_ms // BUCKET_MS
        bucket = min(accepted_ms // BUCKET_MS, now)
        jobs = self._jobs_by_account.setdefault(account, _AcceptedJobs())
        self._jobs_by_account.move_to_end(account)
        self._remove_idle(bucket)
        if jobs.highest_count(bucket) + 1 <= self._most_jobs(account):
            jobs.add(bucket)
            return True
        self._mark(account, now)
        return False

    def pop_changes(self, unix_ms: int) -> tuple[RateChange, ...]:
        """Return the accounts that began or ceased to exceed their rate.

        One has ceased when none of its jobs was marked during a window.
        """
        oldest = unix_ms // BUCKET_MS - BUCKETS_PER_WINDOW
        while self._marked_by_account:
            account, marked = next(iter(self._marked_by_account.items()))
            if marked > oldest:
                break
            del self._marked_by_account[account]
            self._note_change(account, exceeds=False)
        changes, self._changes = tuple(self._changes), []
        return changes

    def _most_jobs(self, account: str) -> float:
        """Return how many jobs an account may submit during a window."""
        weight = find_account(self._accounts, account).weight
        return weight * RATE_WINDOW_S * (1 + RATE_TOLERANCE) + RATE_BURST_JOBS

    def _mark(self, account: str, bucket: int) -> None:
        if account not in self._marked_by_account:
            self._note_change(account, exceeds=True)
        self._marked_by_account[account] = bucket
        self._marked_by_account.move_to_end(account)

    def _note_change(self, account: str, exceeds: bool) -> None:
        weight = find_account(self._accounts, account).weight
        self._changes.append(RateChange(account, exceeds, weight))

    def _remove_idle(self, bucket: int) -> None:
        """Forget accounts without jobs for long before a bucket, a few at a time."""
        for _ in range(MAX_IDLE_REMOVED):
            account, jobs = next(iter(self._jobs_by_account.items()))
            if len(self._jobs_by_account) == 1 or jobs.newest > bucket - BUCKETS_KEPT:
                return
            del self._jobs_by_account[account]


@define
class Resources:
    """Amounts of each resource, summed over runs, steps or workers."""

    cpu_milli: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def add(self, size: TaskSize, count: int = 1) -> None:
        """Add the resources of some tasks or workers of one size."""
        self.cpu_milli += size.cpu_milli * count
        self.memory_mb += size.memory_mb * count
        self.gpus += size.gpus * count

    def share_of(self, total: Resources) -> float:
        """Return the share of the resource of which this is the largest share."""
        return max(
            self.cpu_milli / max(1, total.cpu_milli),
            self.memory_mb / max(1, total.memory_mb),
            self.gpus / max(1, total.gpus),
        )


@define
class _Demand:
    """What an account uses, and what it would use with all its ready steps.

    :param use: the resources in use.
    :param wanted: those and what the ready steps need.
    """

    weight: float
    use: Resources
    wanted: Resources


class ShareOrder:
    """Orders ready steps when the configuration has client accounts.

    The order is decided at the start of a plan and kept for all of it. Each account's
    steps count as placed in turn, so that an account just below its share does not take
    all the room that is free in this plan.
    """

    def __init__(self, state: SliceState):
        self._state = state
        self._accounts = AccountDirectory()
        self._rates = JobRates()
        self._undecided: list[Job] = []
        self._rank_by_step: dict[StepId, ShareRank] = {}
        self._short_until_s = -math.inf
        self._usable: list[Worker] = []
        self._capacity = Resources()
        self._free_share = 0.0
        self._capacity_summed_s = -math.inf

    @property
    def is_needed(self) -> bool:
        """Whether there are accounts."""
        return not self._accounts.is_empty

    def set_accounts(self, accounts: AccountDirectory) -> None:
        """Apply the weights of a newer configuration."""
        self._accounts = accounts
        self._rates.set_accounts(accounts)

    def add_job(self, job: Job) -> None:
        """Have the next plan decide whether a new job is within its account's rate.

        A new owner reads many jobs before its first plan; they are decided in the order
        of their acceptance.
        """
        if self.is_needed and job.submission.account:
            self._undecided.append(job)

    def pop_rate_changes(self) -> tuple[RateChange, ...]:
        """Return the accounts that began or ceased to exceed their rate."""
        return self._rates.pop_changes(self._state.unix_ms)

    def sort(self, ready_steps: Iterable[ReadyStep], now_s: float) -> list[ReadyStep]:
        """Return the ready steps in the order in which a plan schedules them."""
        self._decide_rates()
        steps = sorted(ready_steps, key=_key_without_shares)
        for step in steps:
            if step.lacks_room:
                self._short_until_s = now_s + SHORT_ROOM_S
                step.lacks_room = False
        self._rank_by_step = {}
        if now_s >= self._short_until_s:
            return steps
        self._sum_capacity(now_s)
        self._rank_by_step = self._rank(steps)
        return sorted(steps, key=self.key)

    def key(self, ready_step: ReadyStep) -> tuple[bool, int, ShareRank, float]:
        """Return the sort key of a step in the current plan.

        Work without an account counts as that of an account below its share.
        """
        beyond_rate, priority, due_s = _key_without_shares(ready_step)
        rank = self._rank_by_step.get(ready_step.step_id, ShareRank.BELOW)
        return beyond_rate, priority, rank, due_s

    def max_starts(self, ready_step: ReadyStep, max_starts: int) -> int:
        """Return how many starts a plan may have for a step to be scheduled.

        Work beyond its rate leaves some free, so that work within its rate does not
        wait for the answers to its starts.
        """
        if not ready_step.job.is_beyond_rate:
            return max_starts
        return max_starts - STARTS_KEPT_FREE

    def _decide_rates(self) -> None:
        undecided, self._undecided = self._undecided, []
        undecided.sort(key=lambda job: (job.submission.accepted_ms, job.job_id))
        for job in undecided:
            submission = job.submission
            job.is_beyond_rate = not self._rates.is_within(
                submission.account, submission.accepted_ms, self._state.unix_ms
            )

    def _sum_capacity(self, now_s: float) -> None:
        """Sum the capacity of the usable workers, and what is free of it.

        The free capacity is summed in each plan, like what the accounts use. In an
        older sum, the room of a run that has started since would still count as free.
        """
        if now_s - self._capacity_summed_s >= CAPACITY_INTERVAL_S:
            self._capacity_summed_s = now_s
            self._usable = [
                worker
                for worker in self._state.worker_by_id.values()
                if worker.is_registered and is_usable(worker, now_s)
            ]
            self._capacity = Resources()
            for worker in self._usable:
                self._capacity.add(worker.info.capacity)
        used = Resources(
            sum(worker.cpu_used for worker in self._usable),
            sum(worker.memory_used for worker in self._usable),
            sum(worker.gpus_used for worker in self._usable),
        )
        self._free_share = max(0.0, 1 - used.share_of(self._capacity))

    def _rank(self, steps: list[ReadyStep]) -> dict[StepId, ShareRank]:
        """Return the rank of each step, its account's earlier ones being placed.

        :param steps: the ready steps in the order in which an account's are placed.
        """
        demand_by_account = self._find_demands(steps)
        level = _fair_level(
            demand_by_account.values(), self._capacity, self._free_share
        )
        rank_by_step = {}
        above: set[str] = set()
        for ready_step in steps:
            account = ready_step.job.submission.account
            demand = demand_by_account.get(account)
            if demand is None:
                continue
            if account in above:
                rank_by_step[ready_step.step_id] = ShareRank.ABOVE
                continue
            share = demand.use.share_of(self._capacity)
            rank = _rank_of(share, level * demand.weight)
            rank_by_step[ready_step.step_id] = rank
            if rank is ShareRank.ABOVE:
                # The account's later steps only add to what it uses.
                above.add(account)
            step = ready_step.job.step(ready_step.step_id)
            demand.use.add(step.size, step.tasks)
        return rank_by_step

    def _find_demands(self, steps: list[ReadyStep]) -> dict[str, _Demand]:
        """Return the demands of the accounts that have ready steps.

        Those at their cap have none: what they can't use is left to others.
        """
        usage = self._state.account_usage
        demand_by_account: dict[str, _Demand] = {}
        capped: set[str] = set()
        for ready_step in steps:
            account = ready_step.job.submission.account
            if not account or account in capped:
                continue
            step = ready_step.job.step(ready_step.step_id)
            demand = demand_by_account.get(account)
            if demand is None:
                if not usage.room_for(account, step.size):
                    capped.add(account)
                    continue
                weight = find_account(self._accounts, account).weight
                used = _used(usage, account)
                demand = _Demand(max(weight, MIN_WEIGHT), used, evolve(used))
                demand_by_account[account] = demand
            demand.wanted.add(step.size, step.tasks)
        return demand_by_account


def find_account(accounts: AccountDirectory, name: str) -> ClientAccount:
    """Return an account; one that the configuration no longer has gets the defaults."""
    return accounts.find_by_name(name) or ClientAccount(name)


def _key_without_shares(ready_step: ReadyStep) -> tuple[bool, int, float]:
    job = ready_step.job
    return job.is_beyond_rate, job.queue.priority, job.due_s


def _rank_of(share: float, fair_share: float) -> ShareRank:
    if share >= fair_share:
        return ShareRank.ABOVE
    return ShareRank.BELOW if share >= fair_share / 2 else ShareRank.BELOW_HALF


def _used(usage: AccountUsage, account: str) -> Resources:
    used = usage.usage(account)
    return Resources(used.cpu_milli, used.memory_mb, used.gpus)


def _fair_level(
    demands: Collection[_Demand], capacity: Resources, free_share: float
) -> float:
    """Return the share of the capacity for each unit of weight.

    What accounts with a low demand leave is divided between the others. The level is
    infinite if there is enough for all.
    """
    wanted = [(demand.wanted.share_of(capacity), demand.weight) for demand in demands]
    wanted.sort(key=lambda item: item[0] / item[1])
    used = sum(demand.use.share_of(capacity) for demand in demands)
    available = used + free_share
    weights = sum(weight for _, weight in wanted)
    for share, weight in wanted:
        if share * weights > available * weight:
            return available / weights
        available -= share
        weights -= weight
    return math.inf
