"""The objects that operators configure: workloads, policies, pools and teams."""

from __future__ import annotations

from functools import cached_property

import orjson
from attrs import asdict, field, frozen

from redwingrun.checkedfields import (
    boolean,
    checked_field,
    integer,
    json_object,
    number,
    one_of,
    string,
    string_list,
)

QUICK = "quick"
BATCH = "batch"
SERVICE = "service"
MINIONS = "minions"
WORKERS = "workers"
MAX_CORES = 100_000
MAX_MEMORY_GB = 1_000_000
MAX_ACCELERATORS = 10_000
MAX_GANG_TASKS = 10_000
YEAR_S = 366 * 86400


@frozen(kw_only=True)
class Resources:
    """Cores, memory and accelerators, as a requirement or as a capacity."""

    cores: float = checked_field("processor cores", number(0, MAX_CORES), 0.0)
    memory_gb: float = checked_field("memory in GB", number(0, MAX_MEMORY_GB), 0.0)
    accelerators: float = checked_field("accelerators", integer(0, MAX_ACCELERATORS), 0)

    def fits_in(self, capacity: Resources) -> bool:
        """Return whether ``capacity`` has at least this much of each resource."""
        return (
            self.cores <= capacity.cores
            and self.memory_gb <= capacity.memory_gb
            and self.accelerators <= capacity.accelerators
        )

    def plus(self, other: Resources, times: float = 1) -> Resources:
        """Return the sum of this and ``times`` times the other resources."""
        return Resources(
            cores=self.cores + times * other.cores,
            memory_gb=self.memory_gb + times * other.memory_gb,
            accelerators=self.accelerators + times * other.accelerators,
        )

    def excess(self, limit: Resources) -> str:
        """Describe the first resource that exceeds a limit, empty if none does."""
        for name, value in asdict(self).items():
            if value > getattr(limit, name):
                return f"{name} {value:g} of at most {getattr(limit, name):g}"
        return ""


@frozen(kw_only=True)
class Workload:
    """One kind of work that callers may submit."""

    name: str = field(default="", metadata={"help": "", "check": string()})
    kind: str = checked_field("quick, batch or service", one_of(QUICK, BATCH, SERVICE))
    pool: str = checked_field("name of the pool that it runs in", string())
    policy: str = checked_field("name of its policy", string())
    teams: list = checked_field("names of the teams that may submit it", string_list())
    idempotent: bool = checked_field(
        "whether it is safe to run it more than once", boolean(), True
    )
    run_s: float = checked_field(
        "declared run time in seconds", number(0.0001, YEAR_S), 1.0
    )
    size: dict = checked_field(
        "cores, memory_gb and accelerators of a task", json_object(), {}
    )
    count: int = checked_field(
        "tasks that start together or not at all", integer(1, MAX_GANG_TASKS), 1
    )

    @property
    def task_resources(self) -> Resources:
        """The resources that one task needs."""
        return Resources(**self.size)


@frozen(kw_only=True)
class Policy:
    """How requests or tasks of a workload are scheduled."""

    name: str = field(default="", metadata={"help": "", "check": string()})
    priority: int = checked_field(
        "work of a higher priority goes first", integer(0, 100), 50
    )
    deadline_s: float = checked_field(
        "longest time from arrival to answer in seconds", number(0.001, YEAR_S), 5.0
    )
    long: bool = checked_field(
        "keep it out of the slots reserved for short work", boolean(), False
    )
    urgent: bool = checked_field("may preempt batch work", boolean(), False)
    restart: str = checked_field(
        "never, or checkpoint", one_of("never", "checkpoint"), "never"
    )
    spread: str = checked_field(
        "what the copies of a service are spread over",
        one_of("none", "rack", "data_centre"),
        "none",
    )


@frozen(kw_only=True)
class Upstream:
    """One minion or worker of a pool."""

    name: str = field(default="", metadata={"help": "", "check": string()})
    address: str = checked_field("http://IP:port", string())
    data_centre: str = checked_field("name of its data centre", string())
    rack: str = checked_field("name of its rack", string(), "")
    slots: int = checked_field(
        "requests that a minion serves at the same time", integer(1, 10000), 8
    )
    cores: float = checked_field(
        "processor cores of a worker", number(0, MAX_CORES), 0.0
    )
    memory_gb: float = checked_field(
        "memory of a worker in GB", number(0, MAX_MEMORY_GB), 0.0
    )
    accelerators: int = checked_field(
        "accelerators of a worker", integer(0, MAX_ACCELERATORS), 0
    )

    @property
    def capacity(self) -> Resources:
        """The resources that a worker has."""
        return Resources(
            cores=self.cores, memory_gb=self.memory_gb, accelerators=self.accelerators
        )


@frozen(kw_only=True)
class Pool:
    """A set of minions or workers that run workloads."""

    name: str = field(default="", metadata={"help": "", "check": string()})
    type: str = checked_field("minions or workers", one_of(MINIONS, WORKERS))
    upstreams: dict = checked_field("its minions or workers by name", json_object())
    long_share: float = checked_field(
        "share of the slots that long work may use", number(0, 1), 0.75
    )

    @cached_property
    def upstreams_by_name(self) -> dict[str, Upstream]:
        """The minions or workers by name.

        Cached because the check of each workload reads them.
        """
        return {
            name: Upstream(name=name, **data) for name, data in self.upstreams.items()
        }

    def shards(self) -> dict[str, list[str]]:
        """Return the names of the upstreams of each shard.

        Each minion is a shard of its own, so a change of the pool never moves a
        minion to another shard. All workers of a pool are one shard, so that one
        owner places a whole gang.
        """
        names = sorted(self.upstreams)
        if self.type == WORKERS:
            return {self.name: names}
        return {name: [name] for name in names}


@frozen(kw_only=True)
class Team:
    """A group of callers with a share of the minions and a quota on the workers."""

    name: str = field(default="", metadata={"help": "", "check": string()})
    share: float = checked_field(
        "weight relative to other teams", number(0.001, 1000), 1.0
    )
    quota: dict = checked_field(
        "most cores, memory_gb and accelerators in use", json_object(), {}
    )
    parent: str = checked_field(
        "team whose quota also applies to this one", string(empty=True), ""
    )

    @property
    def quota_resources(self) -> Resources:
        """The most resources that the team may use at the same time.

        A resource that the quota does not name is not limited.
        """
        limits = {
            "cores": MAX_CORES,
            "memory_gb": MAX_MEMORY_GB,
            "accelerators": MAX_ACCELERATORS,
        }
        return Resources(**{**limits, **self.quota})


@frozen(kw_only=True)
class ObjectSet:
    """All objects of one configuration, checked together."""

    workloads: dict[str, Workload] = field(factory=dict)
    policies: dict[str, Policy] = field(factory=dict)
    pools: dict[str, Pool] = field(factory=dict)
    teams: dict[str, Team] = field(factory=dict)

    def content(self) -> bytes:
        """Return the canonical JSON, which is equal for equal sets."""
        return orjson.dumps(asdict(self), option=orjson.OPT_SORT_KEYS)

    @classmethod
    def from_content(cls, content: bytes) -> ObjectSet:
        """Return the set that a canonical JSON describes."""
        data = orjson.loads(content)
        sections = {
            section: {
                name: object_class(**item)
                for name, item in data.get(section, {}).items()
            }
            for section, object_class in CLASS_BY_SECTION.items()
        }
        return cls(**sections)

    def team_and_ancestors(self, team: str) -> list[str]:
        """Return a team and its ancestors, nearest first; empty if it is unknown."""
        names: list[str] = []
        while team in self.teams and team not in names:
            names.append(team)
            team = self.teams[team].parent
        return names


CLASS_BY_SECTION: dict[str, type] = {
    "workloads": Workload,
    "policies": Policy,
    "pools": Pool,
    "teams": Team,
}


def workers_changing_pool(before: ObjectSet, after: ObjectSet) -> list[str]:
    """Return the workers that change pools from one set to the next.

    This is not allowed: until both pools' owners have the new version, both would
    place tasks on the worker. It has to leave its pool in one version and join the
    other pool in a later version.
    """
    pool_by_worker = {
        name: pool.name
        for pool in before.pools.values()
        if pool.type == WORKERS
        for name in pool.upstreams
    }
    return [
        name
        for pool in after.pools.values()
        for name in pool.upstreams
        if pool_by_worker.get(name, pool.name) != pool.name
    ]


def never_fits_reason(workload: Workload, pool: Pool) -> str:
    """Return why a pool can never run a workload, empty if it can."""
    size = workload.task_resources
    workers = pool.upstreams_by_name.values()
    if not workers:
        return f"pool {pool.name} has no workers"
    if not any(size.fits_in(worker.capacity) for worker in workers):
        return (
            f"no worker of {pool.name} is large enough:"
            f" {_shortfall(size, list(workers))}"
        )
    unplaced = workload.count
    for worker in workers:
        unplaced -= _max_tasks(size, worker.capacity, unplaced)
        if unplaced <= 0:
            return ""
    return f"{workload.count} tasks do not fit into {pool.name} at the same time"


def _shortfall(size: Resources, workers: list[Upstream]) -> str:
    """Describe a resource that all workers lack, else what the first worker lacks."""
    shortfalls = [size.excess(worker.capacity) for worker in workers]
    largest = Resources(
        cores=max(worker.cores for worker in workers),
        memory_gb=max(worker.memory_gb for worker in workers),
        accelerators=max(worker.accelerators for worker in workers),
    )
    return size.excess(largest) or (
        f"for example, {workers[0].name} is too small: {shortfalls[0]}"
    )


def _max_tasks(size: Resources, capacity: Resources, limit: int) -> int:
    """Return how many tasks of a size fit into a capacity, at most ``limit``."""
    count = limit
    for name, value in asdict(size).items():
        if value > 0:
            count = min(count, int(getattr(capacity, name) / value))
    return count
