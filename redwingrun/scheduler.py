"""Places one pool's tasks on workers: priorities, quotas, gangs, preemption, packing.

The scheduler does no input or output: it receives events and returns decisions
that the pool's owner carries out.
"""

from __future__ import annotations

import heapq

from attrs import asdict, define, field, frozen

from redwingrun.gangs import GangReservations
from redwingrun.objects import ObjectSet, Resources, Team, Upstream
from redwingrun.packing import BestFit, Packer, WorkerResources, fitting_workers
from redwingrun.tasks import CHECKPOINTING, RUNNING, Task
from redwingrun.teamqueue import Shape, TeamQueue

QUARANTINE_FAILURES = 3
FIRST_QUARANTINE_S = 10.0
MAX_QUARANTINE_S = 600.0
DEFAULT_PRIORITY = 50
REFRESH_INTERVAL_S = 0.5
# Added to the sum of all workers' cores, so that this divisor is never zero.
MIN_TOTAL_CORES = 1e-9


@frozen
class Placement:
    """Start a task on these workers, one for each member."""

    task: Task
    workers: tuple[str, ...]


@define
class Worker:
    """State of one worker in the process that owns the pool.

    :param incarnation: identifies the run of the worker's process; empty while it is
        not known.
    :param leaving: whether the worker must get no new tasks.
    :param failures: failed tasks and starts that count towards the next quarantine.
    :param quarantine_s: length of the next quarantine.
    :param tasks: number of members that hold resources here, by task id.
    """

    upstream: Upstream
    resources: WorkerResources
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
        """Return whether new tasks may be placed here."""
        ready = self.reachable and not self.leaving
        return ready and now_s >= self.quarantined_until_s


def new_worker(upstream: Upstream) -> Worker:
    """Return a worker on which nothing is reserved."""
    resources = WorkerResources(
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
    """Decides which queued task starts on which workers.

    Urgent tasks go first, then higher priorities. Within one priority the teams
    are ordered by dominant resource fairness: the team with the smallest dominant
    share, divided by its weight, goes next.

    :param examined: number of tasks examined since the start; tests check the cost
        of a decision by it.
    """

    packer: Packer = field(factory=BestFit)
    worker_by_name: dict[str, Worker] = field(factory=dict)
    objects: ObjectSet = field(factory=ObjectSet)
    examined: int = 0
    # By (urgent, priority), then by team.
    _queues_by_level: dict[tuple[bool, int], dict[str, TeamQueue]] = field(factory=dict)
    _used_by_team: dict[str, Resources] = field(factory=dict)
    _gangs: GangReservations = field(factory=GangReservations)
    _usable_workers: list[WorkerResources] = field(factory=list)
    # Shapes that did not fit. Emptied when resources or quota are released, and with
    # each refresh of the usable workers.
    _unplaceable: set[Shape] = field(factory=set)
    _next_refresh_s: float = float("-inf")
    _total_capacity: Resources = field(factory=lambda: Resources(cores=MIN_TOTAL_CORES))
    # Number of placed members, by (workload, rack or data centre).
    _copies_by_domain: dict[tuple[str, str], int] = field(factory=dict)

    # Workers

    def set_workers(self, upstreams: dict[str, Upstream], leaving: set[str]) -> None:
        """Set the pool's workers.

        A removed worker stays, as leaving, as long as it has tasks; the first call
        after that deletes it.
        """
        for name, upstream in upstreams.items():
            if name not in self.worker_by_name:
                self.worker_by_name[name] = new_worker(upstream)
            else:
                worker = self.worker_by_name[name]
                worker.resources.resize(upstream.capacity)
                worker.upstream = upstream
        for name, worker in list(self.worker_by_name.items()):
            worker.leaving = name not in upstreams or name in leaving
            if name not in upstreams and not worker.tasks:
                del self.worker_by_name[name]
        self._total_capacity = Resources(cores=MIN_TOTAL_CORES)
        for worker in self.worker_by_name.values():
            self._total_capacity = self._total_capacity.plus(worker.upstream.capacity)
        self.workers_changed()

    def retry_unplaceable(self) -> None:
        """Make the next :meth:`place` examine all shapes again."""
        self._unplaceable.clear()

    def record_task_failure(self, name: str, now_s: float) -> bool:
        """Record a failed task or start; return whether its worker is quarantined."""
        worker = self.worker_by_name.get(name)
        if worker is None:
            return False
        worker.failures += 1
        if worker.failures < QUARANTINE_FAILURES:
            return False
        worker.quarantined_until_s = now_s + worker.quarantine_s
        worker.quarantine_s = min(2 * worker.quarantine_s, MAX_QUARANTINE_S)
        # After the quarantine a single failure starts the next one.
        worker.failures = QUARANTINE_FAILURES - 1
        self.workers_changed()
        return True

    def record_task_success(self, name: str) -> None:
        """Record a task that succeeded: earlier failures no longer count."""
        worker = self.worker_by_name.get(name)
        if worker is not None:
            worker.failures = 0
            worker.quarantine_s = FIRST_QUARANTINE_S

    # Tasks

    def enqueue(self, task: Task, now_s: float) -> None:
        """Queue a task in the order of submission within its team."""
        task.queued_s = now_s
        queues = self._queues_by_level.setdefault(self._level(task), {})
        queues.setdefault(task.row.team, TeamQueue()).add(task)

    def _level(self, task: Task) -> tuple[bool, int]:
        return task.row.urgent, self._priority(task)

    def _priority(self, task: Task) -> int:
        workload = self.objects.workloads.get(task.row.workload)
        policy = self.objects.policies.get(workload.policy) if workload else None
        return policy.priority if policy else DEFAULT_PRIORITY

    def reserve(self, task: Task, workers: tuple[str, ...]) -> None:
        """Reserve the resources and the quota of a placed task."""
        for name in workers:
            worker = self.worker_by_name.get(name)
            if worker is not None:
                worker.resources.reserve(task.row.size)
                worker.tasks[task.task_id] = worker.tasks.get(task.task_id, 0) + 1
                self._count_copy(task, worker, 1)
        self._count_usage(task, 1)

    def release_member(self, task: Task, index: int) -> None:
        """Release the resources of one member; call it once for each."""
        worker = self.worker_by_name.get(task.row.workers[index])
        if worker is None or task.task_id not in worker.tasks:
            return
        worker.resources.reserve(task.row.size, -1)
        self.retry_unplaceable()
        worker.tasks[task.task_id] -= 1
        self._count_copy(task, worker, -1)
        if not worker.tasks[task.task_id]:
            del worker.tasks[task.task_id]

    def release_quota(self, task: Task) -> None:
        """Release the quota of a task of which no member runs any more."""
        self._count_usage(task, -1)
        self.retry_unplaceable()

    def _count_usage(self, task: Task, sign: int) -> None:
        for team in self.objects.team_and_ancestors(task.row.team) or [task.row.team]:
            used = self._used_by_team.get(team, Resources())
            self._used_by_team[team] = used.plus(task.row.size, sign * task.row.count)

    def _count_copy(self, task: Task, worker: Worker, sign: int) -> None:
        for domain in (worker.upstream.rack, worker.upstream.data_centre):
            key = (task.row.workload, domain)
            self._copies_by_domain[key] = self._copies_by_domain.get(key, 0) + sign

    def used(self, team: str) -> Resources:
        """Return the resources that a team and its descendants use."""
        return self._used_by_team.get(team, Resources())

    # Decisions

    def place(self, now_s: float) -> list[Placement]:
        """Return the tasks to start now; their resources are reserved already."""
        placements: list[Placement] = []
        if now_s >= self._next_refresh_s:
            # No event reports the end of a gang reservation or a quarantine: poll for
            # it.
            self._next_refresh_s = now_s + REFRESH_INTERVAL_S
            self.retry_unplaceable()
            self._usable_workers = self._find_usable_workers(now_s)
            if self._gangs.active():
                self._gangs.update(self.queued_tasks(), self._usable_workers, now_s)
        workers = self._usable_workers
        if not workers:
            return placements
        for level in sorted(self._queues_by_level, reverse=True):
            self._place_level(self._queues_by_level[level], workers, now_s, placements)
        return placements

    def _find_usable_workers(self, now_s: float) -> list[WorkerResources]:
        return [
            item.resources
            for item in self.worker_by_name.values()
            if item.usable(now_s)
        ]

    def workers_changed(self) -> None:
        """Make the next :meth:`place` check again which workers are usable."""
        self._next_refresh_s = float("-inf")

    def _place_level(
        self,
        queues: dict[str, TeamQueue],
        workers: list[WorkerResources],
        now_s: float,
        placements: list[Placement],
    ) -> None:
        teams = [(self._weighted_dominant_share(team), team) for team in queues]
        heapq.heapify(teams)
        while teams:
            _, team = heapq.heappop(teams)
            placement = self._place_next(queues[team], workers, now_s)
            if placement is not None:
                placements.append(placement)
                heapq.heappush(teams, (self._weighted_dominant_share(team), team))

    def _place_next(
        self, queue: TeamQueue, workers: list[WorkerResources], now_s: float
    ) -> Placement | None:
        for _, shape in queue.heads(self._unplaceable):
            placement = self._try_place(queue.head(shape), workers, now_s)
            if placement is not None:
                queue.pop(shape)
                return placement
            # No task of this shape fits before something is released.
            self._unplaceable.add(shape)
        return None

    def _try_place(
        self, task: Task, workers: list[WorkerResources], now_s: float
    ) -> Placement | None:
        self.examined += 1
        if self._quota_excess(task):
            return None
        names = self._choose_workers(
            task, self._gangs.available_workers(task, workers, now_s)
        )
        if names is None:
            if task.row.count > 1:
                self._gangs.record_waiting(task, now_s)
            return None
        self._gangs.record_placed(task)
        self.reserve(task, names)
        return Placement(task, names)

    def _choose_workers(
        self, task: Task, workers: list[WorkerResources]
    ) -> tuple[str, ...] | None:
        """Return a worker's name for each member, ``None`` when not all members fit."""
        size = task.row.size
        chosen: list[WorkerResources] = []
        for _ in range(task.row.count):
            fitting = fitting_workers(size, workers)
            # A worker where the task failed is used only when no other one fits.
            fitting = [
                worker for worker in fitting if worker.name not in task.excluded_workers
            ] or fitting
            if not fitting:
                break
            worker = self.packer.choose(
                size, self._spread_candidates(task, fitting, chosen)
            )
            worker.reserve(size)
            chosen.append(worker)
        for worker in chosen:
            # Reserved above only to choose the other members; reserve() makes the
            # reservations that stay.
            worker.reserve(size, -1)
        if len(chosen) < task.row.count:
            return None
        return tuple(worker.name for worker in chosen)

    def _spread_candidates(
        self,
        task: Task,
        workers: list[WorkerResources],
        chosen: list[WorkerResources],
    ) -> list[WorkerResources]:
        """Return the workers that the policy's ``spread`` allows.

        These are the ones whose rack or data centre has the fewest members of the
        workload, or all of them without a spread.

        :param chosen: workers of the members that are placed already.
        """
        workload = self.objects.workloads.get(task.row.workload)
        policy = self.objects.policies.get(workload.policy) if workload else None
        if policy is None or policy.spread == "none":
            return workers

        def copies(worker: WorkerResources) -> int:
            domain = getattr(worker, policy.spread)
            own = sum(1 for other in chosen if getattr(other, policy.spread) == domain)
            return own + self._copies_by_domain.get((task.row.workload, domain), 0)

        fewest = min(copies(worker) for worker in workers)
        return [worker for worker in workers if copies(worker) == fewest]

    def _weighted_dominant_share(self, team: str) -> float:
        """Return a team's dominant share of the pool, divided by its weight."""
        used = asdict(self.used(team))
        total = self._total_capacity
        dominant = max(
            used[name] / getattr(total, name)
            for name in used
            if getattr(total, name) > 0
        )
        known = self.objects.teams.get(team)
        return dominant / (known.share if known else 1.0)

    def _quota_excess(self, task: Task) -> str:
        """Return which quota a start would exceed, empty when none."""
        for name in self.objects.team_and_ancestors(task.row.team):
            team: Team = self.objects.teams[name]
            needed = self.used(name).plus(task.row.size, task.row.count)
            excess = needed.excess(team.quota_resources)
            if excess:
                return f"quota of team {name}: {excess}"
        return ""

    def queued_tasks(self) -> list[Task]:
        """Return all queued tasks."""
        tasks = []
        for queues in self._queues_by_level.values():
            for queue in queues.values():
                tasks.extend(queue.queued_tasks())
        return tasks

    # Preemption

    def preemptions(self, tasks: dict[str, Task], now_s: float) -> list[Task]:
        """Return running tasks to checkpoint so that queued urgent tasks fit.

        Only restartable tasks that are not urgent are chosen. Each urgent task gets
        room for one member, on one worker.

        :param tasks: all tasks of the pool, by task id.
        """
        victims: list[Task] = []
        # Room that is promised to urgent tasks, by worker.
        promised: dict[str, Resources] = {}
        for (urgent, _), queues in self._queues_by_level.items():
            urgent_tasks = (
                [task for queue in queues.values() for task in queue.queued_tasks()]
                if urgent
                else []
            )
            for task in urgent_tasks:
                if not self._quota_excess(task):
                    chosen = {victim.task_id for victim in victims}
                    victims += self._victims(task, tasks, chosen, promised, now_s)
        return victims

    def _victims(
        self,
        urgent: Task,
        tasks: dict[str, Task],
        chosen: set[str],
        promised: dict[str, Resources],
        now_s: float,
    ) -> list[Task]:
        """Return the victims on the usable worker where the fewest suffice.

        Empty when they suffice on no worker, or when one has room without victims.

        :param chosen: ids of the victims of other urgent tasks.
        :param promised: room on workers that other urgent tasks will use; the room for
            this one is added.
        """
        best: tuple[Worker, list[Task]] | None = None
        for worker in self.worker_by_name.values():
            if not worker.usable(now_s):
                continue
            room = promised.get(worker.name, Resources())
            victims = self._victims_on(worker, urgent, tasks, chosen, room)
            if victims is not None and (best is None or len(victims) < len(best[1])):
                best = worker, victims
        if best is None:
            return []
        worker, victims = best
        room = promised.get(worker.name, Resources())
        promised[worker.name] = room.plus(urgent.row.size)
        return victims

    def _victims_on(
        self,
        worker: Worker,
        urgent: Task,
        tasks: dict[str, Task],
        chosen: set[str],
        promised: Resources,
    ) -> list[Task] | None:
        """Return the victims on one worker, ``None`` when they would not suffice."""
        resources = worker.resources
        free = Resources(
            cores=resources.free_cores,
            memory_gb=resources.free_memory_gb,
            accelerators=resources.free_accelerators,
        ).plus(promised, -1)
        victims: list[Task] = []
        placed = [tasks[task_id] for task_id in worker.tasks if task_id in tasks]
        for task in placed:
            if task.state == CHECKPOINTING or task.task_id in chosen:
                # Its resources will be released anyway.
                free = free.plus(task.row.size, worker.tasks[task.task_id])
        for task in sorted(placed, key=lambda item: -item.row.cores):
            if urgent.row.size.fits_in(free):
                break
            is_victim = task.state == RUNNING and task.task_id not in chosen
            if is_victim and task.row.restartable and not task.row.urgent:
                victims.append(task)
                free = free.plus(task.row.size, worker.tasks[task.task_id])
        return victims if urgent.row.size.fits_in(free) else None

    # Explanations

    def explain(self, task: Task, now_s: float) -> list[str]:
        """Return lines that say why a queued task waits."""
        excess = self._quota_excess(task)
        if excess:
            return [f"waits for the {excess}"]
        usable = [item for item in self.worker_by_name.values() if item.usable(now_s)]
        lines = self._explain_workers(now_s)
        if not usable:
            return ["no worker accepts new tasks now", *lines]
        size = task.row.size
        fitting = sum(1 for item in usable if item.resources.fits_now(size))
        lines.insert(
            0, f"{fitting} of {len(usable)} usable workers have room for one member now"
        )
        if task.row.count > 1:
            lines.append(f"all {task.row.count} members must start together")
        lines.extend(self._gangs.explain(task, now_s))
        return lines

    def _explain_workers(self, now_s: float) -> list[str]:
        lines = []
        for worker in self.worker_by_name.values():
            if not worker.reachable:
                lines.append(f"worker {worker.name} does not answer")
            elif worker.leaving:
                lines.append(f"worker {worker.name} is leaving")
            elif not worker.usable(now_s):
                left_s = worker.quarantined_until_s - now_s
                lines.append(
                    f"worker {worker.name} is quarantined after failed tasks"
                    f" for {left_s:.0f} s more"
                )
        return lines

    def queued_count(self) -> int:
        """Return the number of queued tasks."""
        return len(self.queued_tasks())
