"""The operators' objects, workloads, policies, pools and teams, checked together."""

from __future__ import annotations

from functools import cached_property
from pathlib import Path
from typing import Any

import orjson
from attrs import asdict, evolve, field, frozen

from redwingrun.errors import Fault, InvalidInput
from redwingrun.fields import (
    Problem,
    build,
    checked,
    flag,
    mapping,
    nearest,
    number,
    one_of,
    text,
    text_list,
    whole,
)
from redwingrun.jsonfile import JsonFile, parse_json, read_json_file

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
class Size:
    """Cores, memory and accelerators: what is asked for or what there is."""

    cores: float = checked("processor cores", number(0, MAX_CORES), 0.0)
    memory_gb: float = checked("memory in GB", number(0, MAX_MEMORY_GB), 0.0)
    accelerators: float = checked("accelerators", whole(0, MAX_ACCELERATORS), 0)

    def fits(self, other: Size) -> bool:
        """Tell whether this size fits into ``other``."""
        return (
            self.cores <= other.cores
            and self.memory_gb <= other.memory_gb
            and self.accelerators <= other.accelerators
        )

    def plus(self, other: Size, times: float = 1) -> Size:
        """Return the sum with ``times`` the other size."""
        return Size(
            cores=self.cores + times * other.cores,
            memory_gb=self.memory_gb + times * other.memory_gb,
            accelerators=self.accelerators + times * other.accelerators,
        )

    def excess(self, limit: Size) -> str:
        """Name the first dimension that exceeds a limit, empty when none does."""
        for name, value in asdict(self).items():
            if value > getattr(limit, name):
                return f"{name} {value:g} of at most {getattr(limit, name):g}"
        return ""


@frozen(kw_only=True)
class Workload:
    """One kind of work that callers may ask for."""

    name: str = field(default="", metadata={"help": "", "check": text()})
    kind: str = checked("quick, batch or service", one_of(QUICK, BATCH, SERVICE))
    pool: str = checked("name of the pool that it runs in", text())
    policy: str = checked("name of its policy", text())
    teams: list = checked("names of the teams that may ask for it", text_list())
    idempotent: bool = checked("whether running it twice does no harm", flag(), True)
    run_s: float = checked("declared run time in seconds", number(0.0001, YEAR_S), 1.0)
    size: dict = checked("cores, memory_gb and accelerators of a task", mapping(), {})
    count: int = checked(
        "tasks that start together or not at all", whole(1, MAX_GANG), 1
    )

    @property
    def task_size(self) -> Size:
        """The size of one task."""
        return Size(**self.size)


@frozen(kw_only=True)
class Policy:
    """How a workload is treated."""

    name: str = field(default="", metadata={"help": "", "check": text()})
    priority: int = checked("higher goes first", whole(0, 100), 50)
    deadline_s: float = checked(
        "longest time from arrival to answer", number(0.001, YEAR_S), 5.0
    )
    long: bool = checked(
        "keep it from the slots kept free for short work", flag(), False
    )
    urgent: bool = checked("may take the place of batch work", flag(), False)
    restart: str = checked(
        "never, or checkpoint", one_of("never", "checkpoint"), "never"
    )
    spread: str = checked(
        "what copies are spread over", one_of("none", "rack", "data_centre"), "none"
    )


@frozen(kw_only=True)
class Upstream:
    """One minion or worker of a pool."""

    name: str = field(default="", metadata={"help": "", "check": text()})
    address: str = checked("http://IP:port", text())
    data_centre: str = checked("name of its data centre", text())
    rack: str = checked("name of its rack", text(), "")
    slots: int = checked("requests that a minion serves at once", whole(1, 10000), 8)
    cores: float = checked("processor cores of a worker", number(0, MAX_CORES), 0.0)
    memory_gb: float = checked(
        "memory of a worker in GB", number(0, MAX_MEMORY_GB), 0.0
    )
    accelerators: int = checked(
        "accelerators of a worker", whole(0, MAX_ACCELERATORS), 0
    )

    @property
    def capacity(self) -> Size:
        """What a worker has."""
        return Size(
            cores=self.cores, memory_gb=self.memory_gb, accelerators=self.accelerators
        )


@frozen(kw_only=True)
class Pool:
    """Minions or workers that a user's work runs on."""

    name: str = field(default="", metadata={"help": "", "check": text()})
    type: str = checked("minions or workers", one_of(MINIONS, WORKERS))
    upstreams: dict = checked("its minions or workers by name", mapping())
    long_share: float = checked("share of slots open to long work", number(0, 1), 0.75)

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
    share: float = checked("weight against other teams", number(0.001, 1000), 1.0)
    quota: dict = checked("cores, memory_gb and accelerators at once", mapping(), {})
    parent: str = checked("team whose quota holds this one too", text(empty=True), "")

    @property
    def quota_size(self) -> Size:
        """What the team may hold at once; unlimited in what is not named."""
        limits = {
            "cores": MAX_CORES,
            "memory_gb": MAX_MEMORY_GB,
            "accelerators": MAX_ACCELERATORS,
        }
        return Size(**{**limits, **self.quota})


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

    def lineage(self, team: str) -> list[str]:
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


def load_objects(paths: list[Path]) -> ObjectSet:
    """Read object files and check the whole set.

    :raises InvalidInput: names every fault of every file.
    """
    files: list[JsonFile] = []
    faults: list[Fault] = []
    for path in paths:
        try:
            files.append(read_json_file(path))
        except InvalidInput as error:
            faults.extend(error.faults)
    return check_objects(files, faults)


def objects_from_text(name: str, source: str) -> ObjectSet:
    """Check objects from text; ``name`` stands for the file."""
    return check_objects([parse_json(name, source)], [])


def check_objects(files: list[JsonFile], faults: list[Fault]) -> ObjectSet:
    """Return the checked set of several files.

    :raises InvalidInput: names every fault.
    """
    reader = _Reader(faults)
    for source in files:
        reader.take(source)
    objects = ObjectSet(**reader.by_section)
    reader.check_references(objects)
    if reader.faults:
        raise InvalidInput(reader.faults)
    return objects


class _Reader:
    """Gathers the objects of several files, and their faults."""

    def __init__(self, faults: list[Fault]):
        self.faults = list(faults)
        self.by_section: dict[str, dict[str, Any]] = {
            key: {} for key in KIND_BY_SECTION
        }
        self._file_by_object: dict[tuple[str, str], JsonFile] = {}

    def take(self, source: JsonFile) -> None:
        """Take the objects of one file."""
        for key in source.duplicate_keys:
            line = source.line_of(key)
            self.faults.append(
                Fault(source.name, line, key, "stands twice", "keep one")
            )
        for section, plain in source.value.items():
            if section not in KIND_BY_SECTION:
                problem = f"unknown section{nearest(section, KIND_BY_SECTION)}"
                fault = Fault(source.name, source.line_of(section), section, problem)
                self.faults.append(fault)
            elif not isinstance(plain, dict):
                fault = Fault(
                    source.name,
                    source.line_of(section),
                    section,
                    "must be an object by name",
                )
                self.faults.append(fault)
            else:
                self._take_section(source, section, plain)

    def _take_section(
        self, source: JsonFile, section: str, plain: dict[str, Any]
    ) -> None:
        for name, item in plain.items():
            where = (section, name)
            if where in self._file_by_object:
                other = self._file_by_object[where].name
                self._fault(
                    source, section, name, "", f"stands in {other} too", "keep one"
                )
                continue
            self._file_by_object[where] = source
            found, problems = build(KIND_BY_SECTION[section], item)
            self._problems(source, section, name, problems)
            if found is not None:
                self.by_section[section][name] = evolve(found, name=name)
                self._check_parts(source, section, name, found)

    def _check_parts(
        self, source: JsonFile, section: str, name: str, found: Any
    ) -> None:
        parts: list[tuple[str, Any, type]] = []
        if isinstance(found, Workload):
            parts.append(("size", found.size, Size))
        if isinstance(found, Team):
            parts.append(("quota", found.quota, Size))
        if isinstance(found, Pool):
            parts.extend((key, item, Upstream) for key, item in found.upstreams.items())
        valid = True
        for key, item, kind in parts:
            _, problems = build(kind, item)
            valid = valid and not problems
            self._problems(source, section, name, problems, key)
        if not valid:
            # References to it are fine, but nothing else of it can be checked.
            self.by_section[section].pop(name)

    def _problems(
        self,
        source: JsonFile,
        section: str,
        name: str,
        problems: list[Problem],
        part: str = "",
    ) -> None:
        for item in problems:
            path = ".".join(key for key in (part, item.name) if key)
            self._fault(source, section, name, path, item.problem, item.remedy)

    def _fault(
        self,
        source: JsonFile,
        section: str,
        name: str,
        path: str,
        problem: str,
        remedy: str,
    ) -> None:
        line = source.line_of(section, name, *[key for key in path.split(".") if key])
        subject = f"{section[:-1] if section != 'policies' else 'policy'} {name}"
        text_of = f"{path}: {problem}" if path else problem
        self.faults.append(Fault(source.name, line, subject, text_of, remedy))

    def check_references(self, objects: ObjectSet) -> None:
        """Check what spans several objects."""
        for workload in objects.workloads.values():
            self._check_workload(objects, workload)
        for team in objects.teams.values():
            self._check_team(objects, team)
        self._check_upstreams(objects)

    def _check_upstreams(self, objects: ObjectSet) -> None:
        """Each minion and worker stands once: its owner counts alone what it holds."""
        pool_by_name: dict[str, str] = {}
        name_by_address: dict[str, str] = {}
        for pool in objects.pools.values():
            for name, upstream in pool.upstreams_by_name.items():
                other = pool_by_name.setdefault(name, pool.name)
                if other != pool.name:
                    self._twice(pool, name, f"stands in pool {other} too")
                same = name_by_address.setdefault(upstream.address, name)
                if same != name:
                    self._twice(pool, name, f"has the address of {same} too")

    def _twice(self, pool: Pool, name: str, problem: str) -> None:
        source = self._file_by_object["pools", pool.name]
        self._fault(source, "pools", pool.name, name, problem, "keep one")

    def _check_workload(self, objects: ObjectSet, workload: Workload) -> None:
        self._reference("workloads", workload.name, "pool", workload.pool, "pools")
        self._reference(
            "workloads", workload.name, "policy", workload.policy, "policies"
        )
        for team in workload.teams:
            self._reference("workloads", workload.name, "teams", team, "teams")
        pool = objects.pools.get(workload.pool)
        if pool is None:
            return
        source = self._file_by_object["workloads", workload.name]
        needed = MINIONS if workload.kind == QUICK else WORKERS
        if pool.type != needed:
            problem = (
                f"{workload.kind} work needs a pool of {needed}, "
                f"{pool.name} has {pool.type}"
            )
            self._fault(
                source, "workloads", workload.name, "pool", problem, "name another"
            )
        elif pool.type == WORKERS:
            reason = never_runs(workload, pool)
            if reason:
                self._fault(
                    source,
                    "workloads",
                    workload.name,
                    "size",
                    reason,
                    "make it smaller",
                )

    def _check_team(self, objects: ObjectSet, team: Team) -> None:
        if not team.parent:
            return
        self._reference("teams", team.name, "parent", team.parent, "teams")
        seen = {team.name}
        parent = team.parent
        while parent in objects.teams:
            if parent in seen:
                source = self._file_by_object["teams", team.name]
                problem = f"its parents form a cycle through {parent}"
                self._fault(
                    source, "teams", team.name, "parent", problem, "cut the cycle"
                )
                return
            seen.add(parent)
            parent = objects.teams[parent].parent

    def _reference(
        self, section: str, name: str, path: str, target: str, kind: str
    ) -> None:
        known = [key for where, key in self._file_by_object if where == kind]
        if target in known:
            return
        source = self._file_by_object[section, name]
        singular = "policy" if kind == "policies" else kind[:-1]
        problem = f"there is no {singular} {target!r}{nearest(target, known)}"
        self._fault(source, section, name, path, problem, "define it or name another")


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


def never_runs(workload: Workload, pool: Pool) -> str:
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


def _closest(size: Size, workers: list[Upstream]) -> str:
    shortfalls = [size.excess(worker.capacity) for worker in workers]
    most = Size(
        cores=max(worker.cores for worker in workers),
        memory_gb=max(worker.memory_gb for worker in workers),
        accelerators=max(worker.accelerators for worker in workers),
    )
    return size.excess(most) or f"the nearest lacks {shortfalls[0]}"


def _copies(size: Size, capacity: Size, most: int) -> int:
    count = most
    for name, value in asdict(size).items():
        if value > 0:
            count = min(count, int(getattr(capacity, name) / value))
    return count
