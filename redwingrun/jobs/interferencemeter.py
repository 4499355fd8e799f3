"""Measures runs beside their neighbours, for the model of interference.

Serving tasks are measured by their tail latency about once per second, and other tasks
once by their progress. Measurements are compared within batches that are alike apart
from the neighbours: those of a step, which share the error of its estimate, and those
of a serving image on one kind of worker within a few seconds, which share its load.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Hashable, Mapping

from attrs import define, field

from redwingrun.jobs.interference import LearnedInterference, Sample
from redwingrun.jobs.slicestate import SliceState
from redwingrun.jobs.spec import RunId
from redwingrun.jobs.speeds import SpeedModel
from redwingrun.jobs.workerpool import Run, RunPhase, Worker

COMPLETE_PERCENT = 100
# A neighbour that is paused is neither there nor away; it counts with this pace.
MIN_PACE_PERCENT = 1
# A serving task is measured over this time.
MIN_SERVING_S = 1.0
# Another task is measured when it is done, or after this time.
MAX_PROGRESS_S = 8.0
# The times of a start and of a report are known only to some tens of milliseconds.
MIN_PROGRESS_S = 0.3
# Progress is reported in whole percent, so a shorter way would be measured badly.
MIN_PROGRESS_PERCENT = 5
# After a longer gap between reports it is not known which neighbours were there.
MAX_REPORT_GAP_S = 3.0
# A worker that is slower than this is taken for broken, and not measured: all its runs
# are late, whatever their neighbours.
MAX_SLOW_FACTOR = 3.0
# Batches are compared when they have this many samples or are this old.
MAX_BATCH_SAMPLES = 64
SERVING_BATCH_S = 10.0
STEP_BATCH_S = 30.0
MAX_BATCHES = 100
# Bound on the images whose presence on a worker is recorded.
MAX_IMAGES = 64
# Bounds on the samples, and so on the owner's work: on average, and for a short time.
MAX_SAMPLES_PER_S = 100
MAX_BURST_SAMPLES = 50


@define
class _Segment:
    """The part of a run that is being measured.

    :ivar percent: progress at its start.
    :ivar dose_s_by_image: what the worker had recorded at its start.
    :ivar log_ms: sum of the logarithms of the tail latencies reported since.
    :ivar figures: how many these are.
    """

    started_s: float
    percent: float
    dose_s_by_image: Mapping[str, float]
    log_ms: float = 0.0
    figures: int = 0


@define
class _Presence:
    """Which images a worker has had, and the runs that are measured beside them.

    :ivar dose_s_by_image: seconds at full pace.
    :ivar dose_by_image: shares of full pace by the last report.
    """

    reported_s: float
    dose_s_by_image: dict[str, float] = field(factory=dict)
    dose_by_image: dict[str, float] = field(factory=dict)
    segment_by_run: dict[RunId, _Segment] = field(factory=dict)
    measured_runs: set[RunId] = field(factory=set)

    def update(self, dose_by_image: dict[str, float], now_s: float) -> None:
        """Record the images of a report.

        One that has come or gone was there for half the time since the last report.
        """
        passed_s = now_s - self.reported_s
        for image in self.dose_by_image.keys() | dose_by_image.keys():
            before = self.dose_by_image.get(image)
            dose = before if before is not None else dose_by_image[image]
            if before is None or image not in dose_by_image:
                dose /= 2
            total_s = self.dose_s_by_image.get(image, 0.0)
            self.dose_s_by_image[image] = total_s + dose * passed_s
        self.reported_s = now_s
        self.dose_by_image = dose_by_image

    def doses(self, segment: _Segment, image: str, now_s: float) -> dict[str, float]:
        """Return the average dose of each neighbour of a run during a segment.

        The effect of further tasks of its own image is not learned: the tasks of one
        step are placed alike, so there is little to compare with.
        """
        length_s = now_s - segment.started_s
        since_report_s = now_s - self.reported_s
        doses = {}
        for other, total_s in self.dose_s_by_image.items():
            dose_s = total_s - segment.dose_s_by_image.get(other, 0.0)
            dose_s += since_report_s * self.dose_by_image.get(other, 0.0)
            if dose_s > 0 and other != image:
                doses[other] = dose_s / length_s
        return doses


@define
class _Batch:
    started_s: float
    samples: list[Sample] = field(factory=list)


class InterferenceMeter:
    """Passes measurements of runs to the model.

    :param model: learns from the measurements.
    :param speed_model: read only.
    """

    def __init__(
        self, state: SliceState, model: LearnedInterference, speed_model: SpeedModel
    ):
        self._state = state
        self._model = model
        self._speed_model = speed_model
        self._presence_by_worker: dict[str, _Presence] = {}
        self._batch_by_group: OrderedDict[Hashable, _Batch] = OrderedDict()
        # How many samples may be taken before the bound is reached, as of a monotonic
        # time. While it is not positive no batch begins, but each one is completed: a
        # part of a step's tasks leaves too little to compare.
        self._allowance = float(MAX_BURST_SAMPLES)
        self._allowance_s = 0.0

    def report_applied(self, worker: Worker, now_s: float) -> None:
        """Measure the runs of a worker by its newest report.

        Called before the report changes the pace of fillers: its figures were measured
        beside the former pace.
        """
        presence = self._presence_by_worker.get(worker.worker_id)
        if presence is None or not _is_continued(presence, now_s):
            presence = _Presence(now_s)
            self._presence_by_worker[worker.worker_id] = presence
            self._remove_unknown_workers()
        if worker.recent_slow_factor(now_s) >= MAX_SLOW_FACTOR:
            presence.segment_by_run.clear()
        presence.update(_dose_by_image(worker), now_s)
        at_report: dict[str, float] | None = None
        for run_id, run in worker.run_by_id.items():
            if run.phase is not RunPhase.ALIVE or run.is_filler or not run.image:
                continue
            if run_id in presence.measured_runs:
                continue
            segment = presence.segment_by_run.get(run_id)
            if segment is not None:
                self._update_segment(worker, presence, run, segment, now_s)
            if run_id not in presence.segment_by_run:
                # Runs that begin with the same report share one copy.
                at_report = at_report or dict(presence.dose_s_by_image)
                segment = _Segment(now_s, run.percent, at_report)
                presence.segment_by_run[run_id] = segment
        _remove_ended_runs(presence, worker)

    def run_done(self, worker: Worker, run: Run, now_s: float) -> None:
        """Measure a run that is done, unless it was measured before."""
        presence = self._presence_by_worker.get(worker.worker_id)
        if presence is None or run.target_ms:
            return
        segment = presence.segment_by_run.pop(run.run_id, None)
        if segment is not None:
            self._measure_progress(
                worker, presence, run, segment, COMPLETE_PERCENT, now_s
            )

    def _update_segment(
        self,
        worker: Worker,
        presence: _Presence,
        run: Run,
        segment: _Segment,
        now_s: float,
    ) -> None:
        """Add a report's figures to a run's segment, and measure it when it is over."""
        length_s = now_s - segment.started_s
        if run.target_ms:
            if run.metric_value > 0:
                segment.log_ms += math.log(run.metric_value)
                segment.figures += 1
            if length_s >= MIN_SERVING_S:
                del presence.segment_by_run[run.run_id]
                self._measure_serving(worker, presence, run, segment, now_s)
        elif length_s >= MAX_PROGRESS_S and run.percent < COMPLETE_PERCENT:
            del presence.segment_by_run[run.run_id]
            presence.measured_runs.add(run.run_id)
            self._measure_progress(worker, presence, run, segment, run.percent, now_s)

    def _measure_serving(
        self,
        worker: Worker,
        presence: _Presence,
        run: Run,
        segment: _Segment,
        now_s: float,
    ) -> None:
        if not segment.figures:
            return
        sample = self._sample(
            worker, presence, run, segment, segment.log_ms / segment.figures, now_s
        )
        self._add(("serving", run.image, worker.info.kind), sample, now_s)

    def _measure_progress(
        self,
        worker: Worker,
        presence: _Presence,
        run: Run,
        segment: _Segment,
        percent: float,
        now_s: float,
    ) -> None:
        job = self._state.job_by_id.get(run.run_id.task.job)
        if job is None:
            return
        step_id = run.run_id.task.step_id
        step = job.step(step_id)
        progress = percent - segment.percent
        length_s = now_s - segment.started_s
        # A gang is as fast as its slowest task, and lasting tasks have no end.
        if step.gang or step.lasting or progress < MIN_PROGRESS_PERCENT:
            return
        if length_s < MIN_PROGRESS_S:
            return
        log_time = math.log(length_s / progress)
        sample = self._sample(worker, presence, run, segment, log_time, now_s)
        self._add(step_id, sample, now_s)

    def _sample(
        self,
        worker: Worker,
        presence: _Presence,
        run: Run,
        segment: _Segment,
        log_time: float,
        now_s: float,
    ) -> Sample:
        """Return a measurement, corrected by the known speed of the worker."""
        info = worker.info
        slowness = self._speed_model.slowness(info.worker_id, info.kind)
        return Sample(
            run.image,
            presence.doses(segment, run.image, now_s),
            info.worker_id,
            log_time - math.log(slowness),
        )

    def _add(self, group: Hashable, sample: Sample, now_s: float) -> None:
        """Add a sample to its batch; have the oldest batches that are over compared."""
        self._renew_allowance(now_s)
        if group not in self._batch_by_group and self._allowance > 0:
            self._batch_by_group[group] = _Batch(now_s)
        batch = self._batch_by_group.get(group)
        if batch is not None:
            self._allowance -= 1
            batch.samples.append(sample)
            if len(batch.samples) >= MAX_BATCH_SAMPLES:
                self._compare(group, now_s)
        while self._batch_by_group:
            oldest, batch = next(iter(self._batch_by_group.items()))
            max_s = SERVING_BATCH_S if isinstance(oldest, tuple) else STEP_BATCH_S
            is_over = now_s - batch.started_s >= max_s
            if not is_over and len(self._batch_by_group) <= MAX_BATCHES:
                return
            self._compare(oldest, now_s)

    def _compare(self, group: Hashable, now_s: float) -> None:
        self._model.learn(self._batch_by_group.pop(group).samples, now_s)

    def _renew_allowance(self, now_s: float) -> None:
        gained = (now_s - self._allowance_s) * MAX_SAMPLES_PER_S
        self._allowance = min(MAX_BURST_SAMPLES, self._allowance + max(0.0, gained))
        self._allowance_s = max(self._allowance_s, now_s)

    def _remove_unknown_workers(self) -> None:
        known = self._state.worker_by_id
        for worker_id in self._presence_by_worker.keys() - known.keys():
            del self._presence_by_worker[worker_id]


def _is_continued(presence: _Presence, now_s: float) -> bool:
    """Return whether a new report continues what is recorded of a worker."""
    return (
        now_s - presence.reported_s <= MAX_REPORT_GAP_S
        and len(presence.dose_s_by_image) <= MAX_IMAGES
    )


def _dose_by_image(worker: Worker) -> dict[str, float]:
    """Return the share of full pace at which each image runs on a worker.

    Tasks without an image need not be alike, and are not learned about.
    """
    pace_by_image: dict[str, int] = {}
    for run in worker.run_by_id.values():
        if run.image and run.phase in (RunPhase.ALIVE, RunPhase.STOPPING):
            pace = max(run.pace_percent, MIN_PACE_PERCENT)
            pace_by_image[run.image] = max(pace, pace_by_image.get(run.image, 0))
    return {image: pace / COMPLETE_PERCENT for image, pace in pace_by_image.items()}


def _remove_ended_runs(presence: _Presence, worker: Worker) -> None:
    runs = worker.run_by_id
    for run_id in presence.segment_by_run.keys() - runs.keys():
        del presence.segment_by_run[run_id]
    presence.measured_runs &= runs.keys()
