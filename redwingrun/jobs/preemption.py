"""Makes room for urgent steps by stopping checkpointed runs of less urgent queues."""

from __future__ import annotations

import heapq
import math
from collections.abc import Mapping, Sequence

from attrs import define, evolve, frozen

from redwingrun.jobs.candidates import Candidates
from redwingrun.jobs.job import Job
from redwingrun.jobs.placement import StepView, may_run, reserved_size
from redwingrun.jobs.preemptionbudget import PreemptionBudget
from redwingrun.jobs.remainingtime import remaining_s
from redwingrun.jobs.roompromises import RoomPromise, RoomPromises
from redwingrun.jobs.slicestate import SliceState
from redwingrun.jobs.spec import JobSpec, RunId, StepId, TaskId
from redwingrun.jobs.speeds import SpeedModel
from redwingrun.jobs.tasksize import TaskSize, sum_sizes, tasks_that_fit
from redwingrun.jobs.workerpool import Run, RunPhase, Worker

MS_PER_S = 1000
# The reason of these stops in the log.
PREEMPTED = "preempted"
# From the end of a stopped run until a task starts in its room: the worker's report,
# the write to the table, and the start.
STOP_MARGIN_S = 0.2
# Room that has come free is held for this time. The policy may have to be queried again
# before a task starts there.
ROOM_WAIT_S = 0.5
# A preempted task is not preempted again for this time, longer than a burst of urgent
# work lasts.
PREEMPT_AGAIN_S = 10.0
# A step for which no run can be stopped looks for one again after this time.
RETRY_S = 0.1
# The runs to stop are chosen on at most this many workers, those with the most recently
# started or saved runs. Comparing all of 176 workers took an owner 13 ms for each step.
MAX_WORKERS_COMPARED = 32
# The forecast for the runs of a worker is kept for this time while none starts or ends;
# reports are not more frequent.
RUNS_VALID_S = 0.2
# A job that ends later than this many times its objective has no value to the client.
USEFUL_OBJECTIVES = 3


@define
class _Shortage:
    """A step that has found no room.

    :param since_s: monotonic time at which it first found none.
    :param useful_until_s: monotonic time after which a start is too late to be of use.
    :param retry_at_s: monotonic time from which runs to stop are looked for again.
    """

    since_s: float
    useful_until_s: float
    retry_at_s: float = -math.inf


@frozen
class _Victim:
    """A run that may be stopped.

    :param priority: the priority of its queue.
    :param unsaved_s: time since its start or its last checkpoint, whichever is later.
    """

    run: Run
    priority: int
    unsaved_s: float


@frozen
class _WorkerRuns:
    """The runs of a worker that free room, or could.

    :param stopping: of the runs being stopped, the monotonic time from which the stop
        is late, and the size.
    :param ending: of runs that end soon by themselves, the expected monotonic time of
        the end, and the size.
    :param victims: those that may be stopped, of all priorities.
    :param made_s: monotonic time at which this was computed.
    :param run_ids: all runs of the worker.
    """

    stopping: tuple[tuple[float, TaskSize], ...]
    ending: tuple[tuple[float, TaskSize], ...]
    victims: tuple[_Victim, ...]
    made_s: float
    run_ids: frozenset[RunId]

    def is_valid(self, worker: Worker, now_s: float) -> bool:
        """Return whether the worker still has the same runs, and this is recent."""
        is_recent = now_s - self.made_s < RUNS_VALID_S
        return is_recent and self.run_ids == worker.run_by_id.keys()


@define
class _Offer:
    """Room that a worker can give to a step.

    :param promised: number of the step's tasks for which its room is chosen.
    :param victims: the runs that may be stopped, in this order.
    :param tasks_by_stops: tasks for which it has room, by the number of stops.
    :param stops: how many of ``victims`` are chosen to be stopped.
    """

    worker: Worker
    promised: int
    victims: list[_Victim]
    tasks_by_stops: list[int]
    stops: int = 0

    def next_stops(self, need: int) -> tuple[float, float, int] | None:
        """Return the further stops that make the most room, ``None`` if none does.

        :param need: number of tasks that still need room.
        :return: stops per task and mean unsaved time in seconds, both lower for a
            better choice, and the number of stops on the worker with these.
        """
        best = None
        gained = self.tasks_by_stops[self.stops]
        unsaved_s = 0.0
        for stops in range(self.stops + 1, len(self.tasks_by_stops)):
            unsaved_s += self.victims[stops - 1].unsaved_s
            tasks = min(need, self.tasks_by_stops[stops] - gained)
            added = stops - self.stops
            if tasks > 0:
                key = (added / tasks, unsaved_s / added, stops)
                best = key if best is None else min(best, key)
        return best


class Preemptor:
    """Stops less urgent runs for urgent steps that have found no room.

    Among the runs of a worker that free room for the same number of tasks, those of the
    least urgent queue are stopped first, then those that have started or saved a
    checkpoint most recently. Between workers, the fewest stops for a task decide, then
    the time since these starts or checkpoints. A stop saves a checkpoint unless it
    takes too long; the work since the last one is lost then.

    :param speed_model: read only.
    :param stop_timeout_s: how long a stop takes at most.
    """

    def __init__(
        self, state: SliceState, speed_model: SpeedModel, stop_timeout_s: float
    ):
        self._state = state
        self._speed_model = speed_model
        self._room_after_s = stop_timeout_s + STOP_MARGIN_S
        self._budget = PreemptionBudget(state)
        self._promises = RoomPromises()
        self._shortage_by_step: dict[StepId, _Shortage] = {}
        self._preempted_s_by_task: dict[TaskId, float] = {}
        # When a run was first seen to be stopping, by any reason.
        self._stopping_since_s: dict[RunId, float] = {}
        self._candidates: Candidates | None = None
        self._runs_by_worker: dict[str, _WorkerRuns] = {}

    def task_placed(self, step_id: StepId, worker: Worker) -> None:
        """Record that a task was placed; end a hold that is not needed any more."""
        promise = self._promises.find(step_id, worker.worker_id)
        if promise is not None:
            self._reduce(promise, promise.tasks - 1)

    def make_room(
        self,
        view: StepView,
        job: Job,
        waiting: Sequence[int],
        candidates: Candidates,
        now_s: float,
    ) -> StepView:
        """Stop runs so that tasks of an urgent step get room, if that is worth it.

        Nothing is stopped for tasks that get room sooner by themselves.

        :param waiting: indexes of the tasks that have found no room.
        :return: the step, with the workers that the policy should be asked about.
        """
        self._begin_plan(candidates, now_s)
        workers = candidates.in_pool(job.queue.pool)
        shortage = self._shortage(view, job, now_s)
        need = len(waiting) - self._keep_backed_promises(
            view, len(waiting), workers, shortage, now_s
        )
        is_late = now_s + self._room_after_s > shortage.useful_until_s
        if need <= 0 or is_late or now_s < shortage.retry_at_s:
            return view
        capacity = candidates.total_capacity(job.queue.pool)
        if not self._budget.allows(job.queue.pool, capacity, ()):
            return view
        shortage.retry_at_s = now_s + RETRY_S
        excluded = frozenset.intersection(*(view.excluded(index) for index in waiting))
        usable = [
            worker
            for worker in workers.values()
            if worker.worker_id not in excluded and _is_usable(view, worker, now_s)
        ]
        chosen = self._choose_without_stops(view, usable, need, shortage, now_s)
        missing = need - sum(offer.promised for offer in chosen)
        if missing:
            pool = job.queue.pool
            offers = self._stop_offers(view, usable, chosen, shortage, now_s)
            self._choose_stops(offers, missing, pool, capacity)
            by_worker = {offer.worker.worker_id: offer for offer in chosen + offers}
            chosen = [offer for offer in by_worker.values() if offer.promised]
        need -= sum(offer.promised for offer in chosen)
        if not view.step.gang or need <= 0:
            for offer in chosen:
                self._carry_out(view, offer, job.queue.pool, capacity, now_s)
        if need <= 0 or view.policy_cache is None:
            return view
        return evolve(
            view, reclaimable=self._reclaimable(view, usable, shortage, now_s)
        )

    # State that is kept between plans.

    def _begin_plan(self, candidates: Candidates, now_s: float) -> None:
        """Remove what is out of date, at the first call in a plan."""
        if candidates is self._candidates:
            return
        self._candidates = candidates
        self._budget.update(now_s)
        self._preempted_s_by_task = {
            task_id: preempted_s
            for task_id, preempted_s in self._preempted_s_by_task.items()
            if now_s - preempted_s < PREEMPT_AGAIN_S
        }
        self._runs_by_worker = {
            worker_id: runs
            for worker_id, runs in self._runs_by_worker.items()
            if now_s - runs.made_s < RUNS_VALID_S
        }
        self._stopping_since_s = {
            run_id: since_s
            for run_id, since_s in self._stopping_since_s.items()
            if run_id.task in self._state.live_runs
        }
        for step_id in self._promises.step_ids():
            is_waiting = self._is_waiting(step_id)
            for promise in self._promises.of_step(step_id):
                if not is_waiting or now_s >= promise.until_s:
                    self._reduce(promise, 0)
        for step_id in list(self._shortage_by_step):
            if not self._is_waiting(step_id):
                del self._shortage_by_step[step_id]

    def _reduce(self, promise: RoomPromise, tasks: int) -> None:
        """Lower a promise to a number of tasks; end the hold that the last one had."""
        self._promises.reduce(promise, tasks)
        worker = self._state.worker_by_id.get(promise.worker_id)
        if worker is None or self._promises.is_promised(promise.worker_id):
            return
        if worker.room_held_by_job == promise.step_id.job:
            worker.room_held_until_s = 0

    def _is_waiting(self, step_id: StepId) -> bool:
        """Return whether a step has tasks that wait for a worker."""
        ready_step = self._state.ready_step_by_id.get(step_id)
        return ready_step is not None and any(
            step_id.task(index) not in self._state.live_runs
            for index in ready_step.job.waiting_indexes(step_id)
        )

    def _shortage(self, view: StepView, job: Job, now_s: float) -> _Shortage:
        """Return since when a step has found no room, and how long it may wait."""
        known = self._shortage_by_step.get(view.step_id)
        if known is None:
            useful_until_s = self._useful_until_s(job, view.step_id, now_s)
            known = _Shortage(now_s, useful_until_s)
            self._shortage_by_step[view.step_id] = known
        return known

    def _useful_until_s(self, job: Job, step_id: StepId, now_s: float) -> float:
        """Return the latest start of a step at which its job still counts a little."""
        spec, queue = job.spec, job.queue
        if job.step(step_id).lasting:
            return math.inf
        path_ms = _paths_ms(spec)
        objective_s = (queue.stretch * max(path_ms) + queue.slack_ms) / MS_PER_S
        began_s = job.due_s - objective_s
        if spec.is_scheduled:
            due_ms = spec.first_due_ms + step_id.occurrence * spec.period_ms
            began_s = now_s + (due_ms - self._state.unix_ms) / MS_PER_S
        left_s = path_ms[step_id.step] / MS_PER_S
        return began_s + USEFUL_OBJECTIVES * objective_s - left_s

    def _keep_backed_promises(
        self,
        view: StepView,
        waiting: int,
        workers: Mapping[str, Worker],
        shortage: _Shortage,
        now_s: float,
    ) -> int:
        """Reduce a step's promises to what is needed and still expected to come free.

        Other urgent steps may have taken the room, or a stop may take too long.

        :param waiting: number of tasks that have found no room.
        :return: the number of tasks for which room is promised.
        """
        for promise in self._promises.of_step(view.step_id):
            worker = workers.get(promise.worker_id)
            tasks = 0
            if worker is not None and _is_usable(view, worker, now_s):
                tasks = self._tasks_without_stops(view, worker, shortage, now_s)
            self._reduce(promise, min(tasks, waiting))
            waiting -= promise.tasks
        return self._promises.tasks_of(view.step_id)

    # What frees room on a worker.

    def _runs(self, worker: Worker, now_s: float) -> _WorkerRuns:
        """Return the runs that free room on a worker."""
        known = self._runs_by_worker.get(worker.worker_id)
        if known is None or not known.is_valid(worker, now_s):
            known = self._sort_runs(worker, now_s)
            self._runs_by_worker[worker.worker_id] = known
        return known

    def _sort_runs(self, worker: Worker, now_s: float) -> _WorkerRuns:
        """Compute which runs are stopping, end soon or may be stopped."""
        stopping, ending, victims = [], [], []
        for run in worker.run_by_id.values():
            if run.phase is RunPhase.STOPPING:
                since_s = self._stopping_since_s.setdefault(run.run_id, now_s)
                stopping.append((since_s + self._room_after_s, run.size))
                continue
            job = self._state.job_by_id.get(run.run_id.task.job)
            if job is None or run.phase is not RunPhase.ALIVE:
                continue
            left_s = remaining_s(run, job, worker, self._speed_model, now_s)
            if left_s <= self._room_after_s:
                ending.append((now_s + left_s, run.size))
            elif self._may_stop(run, job):
                victims.append(_Victim(run, job.queue.priority, _unsaved_s(run, now_s)))
        return _WorkerRuns(
            tuple(stopping),
            tuple(ending),
            tuple(victims),
            now_s,
            frozenset(worker.run_by_id),
        )

    def _may_stop(self, run: Run, job: Job) -> bool:
        """Return whether a run loses little by a stop; its priority is not checked."""
        step = job.step(run.run_id.task.step_id)
        return (
            step.checkpointed
            and not step.gang
            and not step.lasting
            and not run.is_filler
            and not job.is_final
            and run.run_id.task not in self._preempted_s_by_task
        )

    def _tasks_without_stops(
        self, view: StepView, worker: Worker, shortage: _Shortage, now_s: float
    ) -> int:
        """Return for how many tasks a worker has room, or soon has by itself."""
        return _tasks_in(view, worker, self._room(view, worker, shortage, now_s))

    def _room(
        self, view: StepView, worker: Worker, shortage: _Shortage, now_s: float
    ) -> TaskSize:
        """Return the room on a worker without another stop, not promised to others.

        Ends count that are expected before a stop would have made room if it had been
        issued when the step found none. After that time they count no more: the
        forecast was wrong.
        """
        info = worker.info
        capacity = info.capacity
        runs = self._runs(worker, now_s)
        until_s = shortage.since_s + self._room_after_s
        freed = [size for late_s, size in runs.stopping if now_s < late_s]
        if now_s <= until_s:
            freed += [size for end_s, size in runs.ending if end_s <= until_s]
        others = self._promises.promised_to_others(worker.worker_id, view.step_id)
        free = TaskSize(
            capacity.cpu_milli - worker.cpu_used - others.cpu_milli,
            capacity.memory_mb - worker.memory_used - others.memory_mb,
            capacity.gpus - worker.gpus_used - others.gpus,
        )
        return sum_sizes((free, *freed))

    # The choice of runs to stop.

    def _offer(
        self,
        view: StepView,
        worker: Worker,
        shortage: _Shortage,
        now_s: float,
        may_stop: bool = True,
    ) -> _Offer:
        """Return what a worker can give to a step, in addition to its promises.

        :param may_stop: whether runs may be stopped there.
        """
        room = self._room(view, worker, shortage, now_s)
        own = self._promises.tasks_on(view.step_id, worker.worker_id)
        victims = [
            victim
            for victim in self._runs(worker, now_s).victims
            if victim.priority > view.priority
            and may_stop
            and victim.run.phase is RunPhase.ALIVE
        ]
        victims.sort(
            key=lambda victim: (
                -_tasks_in(view, worker, sum_sizes((room, victim.run.size))),
                -victim.priority,
                victim.unsaved_s,
            )
        )
        tasks = [max(0, _tasks_in(view, worker, room) - own)]
        for victim in victims:
            room = sum_sizes((room, victim.run.size))
            tasks.append(max(0, _tasks_in(view, worker, room) - own))
        return _Offer(worker, 0, victims, tasks)

    def _choose_without_stops(
        self,
        view: StepView,
        usable: list[Worker],
        need: int,
        shortage: _Shortage,
        now_s: float,
    ) -> list[_Offer]:
        """Return the workers that have room, or soon have by themselves.

        Of one that has room and that the policy was not asked about, the answer is
        awaited.
        """
        size = reserved_size(view.step)
        chosen = []
        for worker in usable:
            runs = self._runs(worker, now_s)
            has_room = worker.fits(size)
            is_known = _is_allowed(view, worker) and (runs.stopping or runs.ending)
            if need <= 0 or not (has_room or is_known):
                continue
            offer = self._offer(view, worker, shortage, now_s, may_stop=False)
            offer.promised = min(need, offer.tasks_by_stops[0])
            if offer.promised:
                need -= offer.promised
                chosen.append(offer)
        return chosen

    def _stop_offers(
        self,
        view: StepView,
        usable: list[Worker],
        chosen: list[_Offer],
        shortage: _Shortage,
        now_s: float,
    ) -> list[_Offer]:
        """Return offers of workers on which runs may be stopped.

        :param chosen: the offers that are used without a stop.
        """
        by_unsaved_s = []
        for worker in usable:
            runs = self._runs(worker, now_s)
            if runs.victims and _is_allowed(view, worker):
                unsaved_s = min(victim.unsaved_s for victim in runs.victims)
                by_unsaved_s.append((unsaved_s, worker.worker_id, worker))
        promised = {offer.worker.worker_id: offer.promised for offer in chosen}
        offers = []
        for _, worker_id, worker in heapq.nsmallest(MAX_WORKERS_COMPARED, by_unsaved_s):
            offer = self._offer(view, worker, shortage, now_s)
            offer.promised = promised.get(worker_id, 0)
            offers.append(offer)
        return offers

    def _choose_stops(
        self, offers: list[_Offer], need: int, pool: str, capacity: TaskSize
    ) -> None:
        """Raise the stops and tasks of offers until there is room for all tasks."""
        chosen: list[_Victim] = []
        while need > 0:
            choices = [(offer.next_stops(need), offer) for offer in offers]
            choices = [item for item in choices if item[0] is not None]
            if not choices:
                return
            (_, _, stops), offer = min(choices, key=lambda item: item[0])
            added = offer.victims[offer.stops : stops]
            runs = [victim.run for victim in chosen + added]
            if not self._budget.allows(pool, capacity, runs):
                return
            chosen += added
            before = offer.tasks_by_stops[offer.stops]
            tasks = min(need, offer.tasks_by_stops[stops] - before)
            offer.stops = stops
            offer.promised += tasks
            need -= tasks

    def _carry_out(
        self,
        view: StepView,
        offer: _Offer,
        pool: str,
        capacity: TaskSize,
        now_s: float,
    ) -> None:
        """Stop the runs of an offer, and hold its room for the step.

        Less urgent work may not use the room. Other urgent work may: the order of due
        times decides between urgent steps.
        """
        worker, job_id = offer.worker, view.step_id.job
        for victim in offer.victims[: offer.stops]:
            run_id = victim.run.run_id
            self._budget.record(pool, capacity, victim.run, now_s)
            self._preempted_s_by_task[run_id.task] = now_s
            self._state.stop(run_id, worker, PREEMPTED, for_job=job_id)
        self._runs_by_worker.pop(worker.worker_id, None)
        until_s = now_s + self._room_after_s + ROOM_WAIT_S
        worker.hold_room(job_id, view.priority + 1, until_s)
        size = reserved_size(view.step)
        self._promises.add(
            RoomPromise(view.step_id, worker.worker_id, size, offer.promised, until_s)
        )

    def _reclaimable(
        self,
        view: StepView,
        usable: list[Worker],
        shortage: _Shortage,
        now_s: float,
    ) -> dict[str, int]:
        """Return the workers not known to be allowed that could give room.

        :return: by worker id, the number of tasks that it could have room for.
        """
        size = reserved_size(view.step)
        reclaimable = {}
        for worker in usable:
            if not _is_allowed(view, worker) and not worker.fits(size):
                offer = self._offer(view, worker, shortage, now_s)
                if offer.tasks_by_stops[-1]:
                    reclaimable[worker.worker_id] = offer.tasks_by_stops[-1]
        if reclaimable:
            shortage.retry_at_s = now_s
        return reclaimable


def _is_usable(view: StepView, worker: Worker, now_s: float) -> bool:
    """Return whether a worker could run the step if it had room."""
    job_id = view.step_id.job
    return (
        may_run(view.step, view.policy_cache, worker)
        and worker.can_hold(reserved_size(view.step))
        and not worker.is_held_from(job_id, now_s)
        and not worker.is_room_held_from(job_id, view.priority, now_s)
    )


def _is_allowed(view: StepView, worker: Worker) -> bool:
    """Return whether the policy is known to allow a worker; its ticket may expire."""
    cache = view.policy_cache
    return cache is None or worker.worker_id in cache.allowed


def _unsaved_s(run: Run, now_s: float) -> float:
    """Return the time since a run started or last saved a checkpoint."""
    started_s = -math.inf if run.started_s is None else run.started_s
    return now_s - max(started_s, run.saved_s)


def _paths_ms(spec: JobSpec) -> list[float]:
    """Return the longest chain of estimates that begins with each step, in ms."""
    paths_ms = [step.estimate_ms for step in spec.steps]
    for position in reversed(range(len(spec.steps))):
        step = spec.steps[position]
        for other in step.after:
            path_ms = spec.steps[other].estimate_ms + paths_ms[position]
            paths_ms[other] = max(paths_ms[other], path_ms)
    return paths_ms


def _tasks_in(view: StepView, worker: Worker, room: TaskSize) -> int:
    """Return how many tasks of a step fit into some room on a worker."""
    step = view.step
    tasks = min(step.tasks, tasks_that_fit(room, reserved_size(step)))
    if step.max_per_worker:
        running = worker.tasks_by_step.get(view.step_id, 0)
        tasks = min(tasks, step.max_per_worker - running)
    return max(0, tasks)
