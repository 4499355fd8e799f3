"""Placement of one pool's tasks: queues, quotas, gangs, urgency and packing.

The scheduler does no input or output: it takes events and returns decisions
that the placer daemon carries out.
"""

from __future__ import annotations

import heapq

from attrs import asdict, define, field, frozen

from redwingrun.gangs import GangBook
from redwingrun.objects import ObjectSet, Resources, Team, Upstream
from redwingrun.packing import BestFit, Packer, Room, fitting
from redwingrun.tasks import CHECKPOINTING, RUNNING, Task
from redwingrun.teamqueue import Lane, Shape

QUARANTINE_FAILURES = 3
FIRST_QUARANTINE_S = 10.0
LONGEST_QUARANTINE_S = 600.0
DEFAULT_PRIORITY = 50
REFRESH_INTERVAL_S = 0.5
# In place of no capacity at all, to divide by.
TINY_CORES = 1e-9


@frozen
class Placement:
    """Start a task on these workers, one for each member."""

    task: Task
    workers: tuple[str, ...]


@define
class Worker:
    """What the pool's owner knows of one worker.

    :param incarnation: of its process; empty until it was heard.
    :param leaving: gets no new work.
    """

    upstream: Upstream
    resources: Room
    incarnation: str = ""
    reachable: bool = False
    leaving: bool = False
    failures: int = 0
    quarantined_until_s: float = 0.0
    quarantine_s: float = FIRST_QUARANTINE_S
    tasks: dict[str, int] = field(factory=dict)

    @property
    def name(self) -> str:
        """The worker's name."""
        return self.upstream.name

    def usable(self, now_s: float) -> bool:
        """Tell whether new work may be placed here."""
        ready = self.reachable and not self.leaving
        return ready and now_s >= self.quarantined_until_s


def worker_of(upstream: Upstream) -> Worker:
    """Return a worker with nothing reserved."""
    resources = Room(
        name=upstream.name,
        rack=upstream.rack,
        data_centre=upstream.data_centre,
        cores=upstream.cores,
        memory_gb=upstream.memory_gb,
        accelerators=upstream.accelerators,
        free_cores=upstream.cores,
        free_memory_gb=upstream.memory_gb,
        free_accelerators=upstream.accelerators,
    )
    return Worker(upstream, resources)


@define
class Scheduler:
    """Decides which queued task starts where.

    :param examined: tasks looked at since the start, for tests of the cost.
    """

    packer: Packer = field(factory=BestFit)
    worker_by_name: dict[str, Worker] = field(factory=dict)
    objects: ObjectSet = field(factory=ObjectSet)
    examined: int = 0
    _lane_by_level: dict[tuple[bool, int], dict[str, Lane]] = field(factory=dict)
    _used_by_team: dict[str, Resources] = field(factory=dict)
    _gangs: GangBook = field(factory=GangBook)
    _rooms: list[Room] = field(factory=list)
    _misfits: set[Shape] = field(factory=set)
    _refresh_s: float = float("-inf")
    _total: Resources = field(factory=lambda: Resources(cores=TINY_CORES))
    _placed_by_domain: dict[tuple[str, str], int] = field(factory=dict)

    # Workers

    def set_workers(self, upstreams: dict[str, Upstream], leaving: set[str]) -> None:
        """Take the pool's workers; one with tasks stays until they are gone."""
        for name, upstream in upstreams.items():
            if name not in self.worker_by_name:
                self.worker_by_name[name] = worker_of(upstream)
            else:
                worker = self.worker_by_name[name]
                worker.resources.resize(upstream.capacity)
                worker.upstream = upstream
        for name, worker in list(self.worker_by_name.items()):
            worker.leaving = name not in upstreams or name in leaving
            if name not in upstreams and not worker.tasks:
                del self.worker_by_name[name]
        self._total = Resources(cores=TINY_CORES)
        for worker in self.worker_by_name.values():
            self._total = self._total.plus(worker.upstream.capacity)
        self.workers_changed()

    def refresh(self) -> None:
        """Try again what did not fit: room or quota may have become free."""
        self._misfits.clear()

    def worker_failed(self, name: str, now_s: float) -> bool:
        """Note a failure; tell whether the worker is quarantined now."""
        worker = self.worker_by_name.get(name)
        if worker is None:
            return False
        worker.failures += 1
        if worker.failures < QUARANTINE_FAILURES:
            return False
        worker.quarantined_until_s = now_s + worker.quarantine_s
        worker.quarantine_s = min(2 * worker.quarantine_s, LONGEST_QUARANTINE_S)
        # One more failure after the pause is enough for the next one.
        worker.failures = QUARANTINE_FAILURES - 1
        self.workers_changed()
        return True

    def worker_succeeded(self, name: str) -> None:
        """Note a success: earlier failures no longer count."""
        worker = self.worker_by_name.get(name)
        if worker is not None:
            worker.failures = 0
            worker.quarantine_s = FIRST_QUARANTINE_S

    # Tasks

    def enqueue(self, task: Task, now_s: float) -> None:
        """Queue a task in the order of submission within its team."""
        task.queued_s = now_s
        lanes = self._lane_by_level.setdefault(self._level(task), {})
        lanes.setdefault(task.row.team, Lane()).add(task)

    def _level(self, task: Task) -> tuple[bool, int]:
        return task.row.urgent, self._priority(task)

    def _priority(self, task: Task) -> int:
        workload = self.objects.workloads.get(task.row.workload)
        policy = self.objects.policies.get(workload.policy) if workload else None
        return policy.priority if policy else DEFAULT_PRIORITY

    def reserve(self, task: Task, workers: tuple[str, ...]) -> None:
        """Hold the room and the quota of a placed task."""
        for name in workers:
            worker = self.worker_by_name.get(name)
            if worker is not None:
                worker.resources.take(task.row.size)
                worker.tasks[task.task_id] = worker.tasks.get(task.task_id, 0) + 1
                self._count_domain(task, worker, 1)
        self._use(task, 1)

    def release_member(self, task: Task, index: int) -> None:
        """Give back the room of one member; call once for each."""
        worker = self.worker_by_name.get(task.row.workers[index])
        if worker is None or task.task_id not in worker.tasks:
            return
        worker.resources.take(task.row.size, -1)
        self.refresh()
        worker.tasks[task.task_id] -= 1
        self._count_domain(task, worker, -1)
        if not worker.tasks[task.task_id]:
            del worker.tasks[task.task_id]

    def release_quota(self, task: Task) -> None:
        """Give back the quota of a task none of whose members runs."""
        self._use(task, -1)
        self.refresh()

    def _use(self, task: Task, sign: int) -> None:
        for team in self.objects.team_and_ancestors(task.row.team) or [task.row.team]:
            used = self._used_by_team.get(team, Resources())
            self._used_by_team[team] = used.plus(task.row.size, sign * task.row.count)

    def _count_domain(self, task: Task, worker: Worker, sign: int) -> None:
        for domain in (worker.upstream.rack, worker.upstream.data_centre):
            key = (task.row.workload, domain)
            self._placed_by_domain[key] = self._placed_by_domain.get(key, 0) + sign

    def used(self, team: str) -> Resources:
        """Return what a team and its children hold now."""
        return self._used_by_team.get(team, Resources())

    # Decisions

    def place(self, now_s: float) -> list[Placement]:
        """Return what to start now, with its room already reserved."""
        placements: list[Placement] = []
        if now_s >= self._refresh_s:
            # Holds and quarantines end by time alone.
            self._refresh_s = now_s + REFRESH_INTERVAL_S
            self.refresh()
            self._rooms = self._usable_rooms(now_s)
            if self._gangs.any_waits():
                self._gangs.update(self._waiting(), self._rooms, now_s)
        rooms = self._rooms
        if not rooms:
            return placements
        for level in sorted(self._lane_by_level, reverse=True):
            self._place_level(self._lane_by_level[level], rooms, now_s, placements)
        return placements

    def _usable_rooms(self, now_s: float) -> list[Room]:
        return [
            item.resources
            for item in self.worker_by_name.values()
            if item.usable(now_s)
        ]

    def workers_changed(self) -> None:
        """Look again at which workers take work; call it when one's state changed."""
        self._refresh_s = float("-inf")

    def _place_level(
        self,
        lanes: dict[str, Lane],
        rooms: list[Room],
        now_s: float,
        placements: list[Placement],
    ) -> None:
        turns = [(self._team_load(team), team) for team in lanes]
        heapq.heapify(turns)
        while turns:
            _, team = heapq.heappop(turns)
            placement = self._place_one(lanes[team], rooms, now_s)
            if placement is not None:
                placements.append(placement)
                heapq.heappush(turns, (self._team_load(team), team))

    def _place_one(
        self, lane: Lane, rooms: list[Room], now_s: float
    ) -> Placement | None:
        for _, shape in lane.heads(self._misfits):
            found = self._try(lane.head(shape), rooms, now_s)
            if found is not None:
                lane.take(shape)
                return found
            # It will not fit either until something is released.
            self._misfits.add(shape)
        return None

    def _try(self, task: Task, rooms: list[Room], now_s: float) -> Placement | None:
        self.examined += 1
        if self._over_quota(task):
            return None
        workers = self._choose(task, self._gangs.open_rooms(task, rooms, now_s))
        if workers is None:
            if task.row.count > 1:
                self._gangs.waits(task, now_s)
            return None
        self._gangs.started(task)
        self.reserve(task, workers)
        return Placement(task, workers)

    def _choose(self, task: Task, rooms: list[Room]) -> tuple[str, ...] | None:
        size = task.row.size
        chosen: list[Room] = []
        for _ in range(task.row.count):
            found = fitting(size, rooms)
            # Where it failed it is tried again only when nothing else has room.
            found = [
                resources for resources in found if resources.name not in task.avoid
            ] or found
            if not found:
                break
            resources = self.packer.choose(size, self._spread(task, found, chosen))
            resources.take(size)
            chosen.append(resources)
        for resources in chosen:
            # Taken only to see the next member's choice; reserve() holds it.
            resources.take(size, -1)
        if len(chosen) < task.row.count:
            return None
        return tuple(resources.name for resources in chosen)

    def _spread(self, task: Task, rooms: list[Room], chosen: list[Room]) -> list[Room]:
        workload = self.objects.workloads.get(task.row.workload)
        policy = self.objects.policies.get(workload.policy) if workload else None
        if policy is None or policy.spread == "none":
            return rooms

        def copies(resources: Room) -> int:
            domain = getattr(resources, policy.spread)
            near = sum(1 for other in chosen if getattr(other, policy.spread) == domain)
            return near + self._placed_by_domain.get((task.row.workload, domain), 0)

        fewest = min(copies(resources) for resources in rooms)
        return [resources for resources in rooms if copies(resources) == fewest]

    def _team_load(self, team: str) -> float:
        """Return a team's dominant use against its share."""
        used = asdict(self.used(team))
        total = self._total
        dominant = max(
            used[name] / getattr(total, name)
            for name in used
            if getattr(total, name) > 0
        )
        known = self.objects.teams.get(team)
        return dominant / (known.share if known else 1.0)

    def _over_quota(self, task: Task) -> str:
        for name in self.objects.team_and_ancestors(task.row.team):
            team: Team = self.objects.teams[name]
            wanted = self.used(name).plus(task.row.size, task.row.count)
            excess = wanted.excess(team.quota_size)
            if excess:
                return f"quota of team {name}: {excess}"
        return ""

    def _waiting(self) -> list[Task]:
        found = []
        for lanes in self._lane_by_level.values():
            for lane in lanes.values():
                found.extend(lane.tasks())
        return found

    # Urgent work

    def preemptions(self, tasks: dict[str, Task], now_s: float) -> list[Task]:
        """Return batch tasks to checkpoint so that waiting urgent work fits."""
        victims: list[Task] = []
        for (urgent, _), lanes in self._lane_by_level.items():
            waiting = (
                [task for lane in lanes.values() for task in lane.tasks()]
                if urgent
                else []
            )
            for task in waiting:
                if not self._over_quota(task):
                    victims.extend(self._victims(task, tasks, now_s))
        return victims

    def _victims(
        self, urgent: Task, tasks: dict[str, Task], now_s: float
    ) -> list[Task]:
        best: list[Task] | None = None
        for worker in self.worker_by_name.values():
            if not worker.usable(now_s):
                continue
            found = self._victims_on(worker, urgent, tasks)
            if found is not None and (best is None or len(found) < len(best)):
                best = found
        return best or []

    def _victims_on(
        self, worker: Worker, urgent: Task, tasks: dict[str, Task]
    ) -> list[Task] | None:
        resources = worker.resources
        free = Resources(
            cores=resources.free_cores,
            memory_gb=resources.free_memory_gb,
            accelerators=resources.free_accelerators,
        )
        found: list[Task] = []
        held = [tasks[task_id] for task_id in worker.tasks if task_id in tasks]
        for task in held:
            if task.state == CHECKPOINTING:
                # Its room comes free anyway.
                free = free.plus(task.row.size, worker.tasks[task.task_id])
        for task in sorted(held, key=lambda item: -item.row.cores):
            if urgent.row.size.fits(free):
                break
            if task.state == RUNNING and task.row.restartable and not task.row.urgent:
                found.append(task)
                free = free.plus(task.row.size, worker.tasks[task.task_id])
        return found if urgent.row.size.fits(free) else None

    # Explanations

    def explain(self, task: Task, now_s: float) -> list[str]:
        """Say why a queued task waits."""
        over = self._over_quota(task)
        if over:
            return [f"waits for the {over}"]
        usable = [item for item in self.worker_by_name.values() if item.usable(now_s)]
        notes = self._worker_notes(now_s)
        if not usable:
            return ["no worker takes work now", *notes]
        size = task.row.size
        fitting = sum(1 for item in usable if item.resources.holds(size))
        notes.insert(
            0, f"{fitting} of {len(usable)} workers have room for one member now"
        )
        if task.row.count > 1:
            notes.append(f"all {task.row.count} members must start together")
        notes.extend(self._gangs.notes(task, now_s))
        return notes

    def _worker_notes(self, now_s: float) -> list[str]:
        notes = []
        for worker in self.worker_by_name.values():
            if not worker.reachable:
                notes.append(f"worker {worker.name} gives no answer")
            elif worker.leaving:
                notes.append(f"worker {worker.name} is leaving")
            elif not worker.usable(now_s):
                pause_s = worker.quarantined_until_s - now_s
                notes.append(
                    f"worker {worker.name} fails its tasks; tried in {pause_s:.0f} s"
                )
        return notes

    def queued(self) -> int:
        """Return how many tasks wait."""
        return len(self._waiting())
