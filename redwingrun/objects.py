"""The operators' objects, workloads, policies, pools and teams, checked together."""

from __future__ import annotations

from functools import cached_property

import orjson
from attrs import asdict, field, frozen

from redwingrun.checkedfields import (
    checked_field,
    flag,
    integer,
    mapping,
    number,
    one_of,
    text,
    text_list,
)

QUICK = "quick"
BATCH = "batch"
SERVICE = "service"
MINIONS = "minions"
WORKERS = "workers"
MAX_CORES = 100_000
MAX_MEMORY_GB = 1_000_000
MAX_ACCELERATORS = 10_000
MAX_GANG = 10_000
YEAR_S = 366 * 86400


@frozen(kw_only=True)
class Resources:
    """Cores, memory and accelerators: what is asked for or what there is."""

    cores: float = checked_field("processor cores", number(0, MAX_CORES), 0.0)
    memory_gb: float = checked_field("memory in GB", number(0, MAX_MEMORY_GB), 0.0)
    accelerators: float = checked_field("accelerators", integer(0, MAX_ACCELERATORS), 0)

    def fits(self, other: Resources) -> bool:
        """Tell whether this size fits into ``other``."""
        return (
            self.cores <= other.cores
            and self.memory_gb <= other.memory_gb
            and self.accelerators <= other.accelerators
        )

    def plus(self, other: Resources, times: float = 1) -> Resources:
        """Return the sum with ``times`` the other size."""
        return Resources(
            cores=self.cores + times * other.cores,
            memory_gb=self.memory_gb + times * other.memory_gb,
            accelerators=self.accelerators + times * other.accelerators,
        )

    def excess(self, limit: Resources) -> str:
        """Name the first dimension that exceeds a limit, empty when none does."""
        for name, value in asdict(self).items():
            if value > getattr(limit, name):
                return f"{name} {value:g} of at most {getattr(limit, name):g}"
        return ""


@frozen(kw_only=True)
class Workload:
    """One kind of work that callers may ask for."""

    name: str = field(default="", metadata={"help": "", "check": text()})
    kind: str = checked_field("quick, batch or service", one_of(QUICK, BATCH, SERVICE))
    pool: str = checked_field("name of the pool that it runs in", text())
    policy: str = checked_field("name of its policy", text())
    teams: list = checked_field("names of the teams that may ask for it", text_list())
    idempotent: bool = checked_field(
        "whether running it twice does no harm", flag(), True
    )
    run_s: float = checked_field(
        "declared run time in seconds", number(0.0001, YEAR_S), 1.0
    )
    size: dict = checked_field(
        "cores, memory_gb and accelerators of a task", mapping(), {}
    )
    count: int = checked_field(
        "tasks that start together or not at all", integer(1, MAX_GANG), 1
    )

    @property
    def task_size(self) -> Resources:
        """The size of one task."""
        return Resources(**self.size)


@frozen(kw_only=True)
class Policy:
    """How a workload is treated."""

    name: str = field(default="", metadata={"help": "", "check": text()})
    priority: int = checked_field("higher goes first", integer(0, 100), 50)
    deadline_s: float = checked_field(
        "longest time from arrival to answer", number(0.001, YEAR_S), 5.0
    )
    long: bool = checked_field(
        "keep it from the slots kept free for short work", flag(), False
    )
    urgent: bool = checked_field("may take the place of batch work", flag(), False)
    restart: str = checked_field(
        "never, or checkpoint", one_of("never", "checkpoint"), "never"
    )
    spread: str = checked_field(
        "what copies are spread over", one_of("none", "rack", "data_centre"), "none"
    )


@frozen(kw_only=True)
class Upstream:
    """One minion or worker of a pool."""

    name: str = field(default="", metadata={"help": "", "check": text()})
    address: str = checked_field("http://IP:port", text())
    data_centre: str = checked_field("name of its data centre", text())
    rack: str = checked_field("name of its rack", text(), "")
    slots: int = checked_field(
        "requests that a minion serves at once", integer(1, 10000), 8
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
        """What a worker has."""
        return Resources(
            cores=self.cores, memory_gb=self.memory_gb, accelerators=self.accelerators
        )


@frozen(kw_only=True)
class Pool:
    """Minions or workers that a user's work runs on."""

    name: str = field(default="", metadata={"help": "", "check": text()})
    type: str = checked_field("minions or workers", one_of(MINIONS, WORKERS))
    upstreams: dict = checked_field("its minions or workers by name", mapping())
    long_share: float = checked_field(
        "share of slots open to long work", number(0, 1), 0.75
    )

    @cached_property
    def upstreams_by_name(self) -> dict[str, Upstream]:
        """The minions or workers; made once, every workload's check reads them."""
        return {
            name: Upstream(name=name, **plain) for name, plain in self.upstreams.items()
        }

    def shards(self) -> dict[str, list[str]]:
        """Return the names of the upstreams of each shard.

        Each minion is a shard of its own, so that a change of the pool never
        moves a minion from one shard to another. Workers are one shard, so that
        a gang is placed by one owner.
        """
        names = sorted(self.upstreams)
        if self.type == WORKERS:
            return {self.name: names}
        return {name: [name] for name in names}


@frozen(kw_only=True)
class Team:
    """A group of callers, with a share of the minions and a quota of the workers."""

    name: str = field(default="", metadata={"help": "", "check": text()})
    share: float = checked_field("weight against other teams", number(0.001, 1000), 1.0)
    quota: dict = checked_field(
        "cores, memory_gb and accelerators at once", mapping(), {}
    )
    parent: str = checked_field(
        "team whose quota holds this one too", text(empty=True), ""
    )

    @property
    def quota_size(self) -> Resources:
        """What the team may hold at once; unlimited in what is not named."""
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
        """Return the canonical text, equal for equal sets."""
        return orjson.dumps(asdict(self), option=orjson.OPT_SORT_KEYS)

    @classmethod
    def from_content(cls, content: bytes) -> ObjectSet:
        """Return the set from its canonical text."""
        plain = orjson.loads(content)
        sections = {
            section: {
                name: kind(**item) for name, item in plain.get(section, {}).items()
            }
            for section, kind in KIND_BY_SECTION.items()
        }
        return cls(**sections)

    def team_and_ancestors(self, team: str) -> list[str]:
        """Return a team and its parents, nearest first."""
        names: list[str] = []
        while team in self.teams and team not in names:
            names.append(team)
            team = self.teams[team].parent
        return names


KIND_BY_SECTION: dict[str, type] = {
    "workloads": Workload,
    "policies": Policy,
    "pools": Pool,
    "teams": Team,
}


def moved_workers(before: ObjectSet, after: ObjectSet) -> list[str]:
    """Return the workers that another pool would take over at once.

    Two owners would work on them until both have heard of it: a worker leaves
    its pool in one version and joins another in a later one.
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
    """Say why no worker of a pool can ever run a workload, empty when one can."""
    size = workload.task_size
    workers = pool.upstreams_by_name.values()
    if not workers:
        return f"pool {pool.name} has no workers"
    if not any(size.fits(worker.capacity) for worker in workers):
        return (
            f"no worker of {pool.name} is large enough: {_closest(size, list(workers))}"
        )
    left = workload.count
    for worker in workers:
        left -= _copies(size, worker.capacity, left)
        if left <= 0:
            return ""
    return f"{workload.count} tasks at once do not fit into {pool.name}"


def _closest(size: Resources, workers: list[Upstream]) -> str:
    shortfalls = [size.excess(worker.capacity) for worker in workers]
    most = Resources(
        cores=max(worker.cores for worker in workers),
        memory_gb=max(worker.memory_gb for worker in workers),
        accelerators=max(worker.accelerators for worker in workers),
    )
    return size.excess(most) or f"the nearest lacks {shortfalls[0]}"


def _copies(size: Resources, capacity: Resources, most: int) -> int:
    count = most
    for name, value in asdict(size).items():
        if value > 0:
            count = min(count, int(getattr(capacity, name) / value))
    return count
