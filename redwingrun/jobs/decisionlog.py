"""The log lines of a slice owner's decisions about runs and jobs."""

from __future__ import annotations

import math
from collections.abc import Iterable, Set

from redwingrun.coordination.clock import Clock
from redwingrun.jobs.crashes import CrashReport
from redwingrun.jobs.engine import Engine
from redwingrun.jobs.evidence import EndedRun
from redwingrun.jobs.ports import WorkerFault
from redwingrun.jobs.shareorder import RateChange
from redwingrun.jobs.spec import RunId, StepId, TaskId
from redwingrun.jobs.workerpool import (
    EndKind,
    StartOrder,
    StopOrder,
    Worker,
    WorkerReport,
)
from redwingrun.logs import Log
from redwingrun.metrics import Metrics

# The number of the first run of a task.
FIRST_RUN = 1
# A line names at most so many tasks, so that its length is bounded.
MAX_LOGGED_SUSPECTS = 20
# Metrics show the use of so many accounts, and so many are logged at a time.
MAX_ACCOUNTS_SHOWN = 20
ACCOUNTS_INTERVAL_S = 1.0
# Bounds the lines about pairs of images.
PAIR_LINES_INTERVAL_S = 1.0
MAX_PAIR_LINES = 5
# At most so many lines a second about accounts and their rates.
MAX_RATE_LINES_PER_S = 20


class DecisionLog:
    """Writes the lines about starts, stops and ends of runs, and about ends of jobs."""

    def __init__(self, log: Log, engine: Engine, clock: Clock, metrics: Metrics):
        self._log = log
        self._engine = engine
        self._clock = clock
        self._metrics = metrics
        self._capped_accounts: frozenset[str] = frozenset()
        self._capped_since: frozenset[str] = frozenset()
        self._accounts_shown: Set[str] = frozenset()
        self._accounts_shown_s = -math.inf
        self._pairs_logged_s = -math.inf
        self._rate_lines = 0
        self._rate_lines_since_s = -math.inf

    def accounts(self, capped: frozenset[str]) -> None:
        """Log whose work begins or ceases to wait for a cap, and show what they use.

        A plan may end before it looks at all accounts, so the plans of an interval
        count together.

        :param capped: the client accounts whose work waits for their cap in one plan.
        """
        self._capped_since |= capped
        now_s = self._clock.now()
        if now_s - self._accounts_shown_s < ACCOUNTS_INTERVAL_S:
            return
        self._accounts_shown_s = now_s
        changed = sorted(self._capped_since ^ self._capped_accounts)
        for account in changed[:MAX_ACCOUNTS_SHOWN]:
            self._log_cap(account, is_at_cap=account in self._capped_since)
        self._capped_accounts, self._capped_since = self._capped_since, frozenset()
        self._show_usage()

    def _log_cap(self, account: str, is_at_cap: bool) -> None:
        used = self._engine.state.account_usage.usage(account)
        self._log.event(
            "account-at-cap" if is_at_cap else "account-below-cap",
            account=account,
            cpu_milli=used.cpu_milli,
            memory_mb=used.memory_mb,
            gpus=used.gpus,
            runs=used.runs,
        )

    def _show_usage(self) -> None:
        usage = self._engine.state.account_usage
        shown = dict(usage.largest(MAX_ACCOUNTS_SHOWN))
        for account in self._accounts_shown - shown.keys():
            self._metrics.remove_gauge("account_cpu_milli", account=account)
            self._metrics.remove_gauge("account_runs", account=account)
        for account, used in shown.items():
            self._metrics.gauge("account_cpu_milli", used.cpu_milli, account=account)
            self._metrics.gauge("account_runs", used.runs, account=account)
        self._accounts_shown = shown.keys()

    def interference(self) -> None:
        """Log which pairs of images begin or cease to be known as bad.

        At most ``MAX_PAIR_LINES`` every ``PAIR_LINES_INTERVAL_S``; later ones wait.
        """
        learned = self._engine.learned_interference
        now_s = self._clock.now()
        if learned is None or now_s - self._pairs_logged_s < PAIR_LINES_INTERVAL_S:
            return
        self._pairs_logged_s = now_s
        for change in learned.pop_changes(MAX_PAIR_LINES):
            self._log.event(
                "interference-known" if change.is_bad else "interference-ceased",
                victim=change.victim,
                neighbour=change.neighbour,
                slowdown=round(change.slowdown, 2),
            )
        self._metrics.gauge("interfering_pairs", learned.known_pairs)

    def rates(self, changes: tuple[RateChange, ...]) -> None:
        """Log which accounts begin or cease to exceed their rate.

        All are counted, also those that are not logged.
        """
        if not changes:
            return
        now_s = self._clock.now()
        if now_s - self._rate_lines_since_s >= 1:
            self._rate_lines_since_s, self._rate_lines = now_s, 0
        for change in changes:
            if change.exceeds:
                self._metrics.count("accounts_beyond_rate_total")
            if self._rate_lines < MAX_RATE_LINES_PER_S:
                self._rate_lines += 1
                self._log.event(
                    "account-beyond-rate" if change.exceeds else "account-within-rate",
                    account=change.account,
                    jobs_per_s=change.jobs_per_s,
                )

    def starts(self, orders: tuple[StartOrder, ...], fence: int) -> None:
        """Log which tasks start on which workers, one line for each step.

        A task that ran before gets a line of its own.
        """
        orders_by_step: dict[StepId, list[StartOrder]] = {}
        for order in orders:
            orders_by_step.setdefault(order.run_id.task.step_id, []).append(order)
        for step_id, step_orders in orders_by_step.items():
            job = self._engine.job_by_id[step_id.job]
            account_fields: dict[str, object] = {}
            if job.submission.account:
                account_fields["beyond_rate"] = job.is_beyond_rate
            self._log.event(
                "start",
                job=step_id.job,
                step=f"{step_id.occurrence}.{step_id.step}",
                due_in_s=round(job.due_s - self._clock.now(), 3),
                fence=fence,
                runs=[
                    f"{order.run_id.task.index}/{order.run_id.run}@{order.worker_id}"
                    for order in step_orders
                ],
                **account_fields,
            )
        for order in orders:
            ended = self._engine.pop_ended_run(order.run_id.task)
            if order.run_id.run > FIRST_RUN:
                self._restart(order, ended)

    def _restart(self, order: StartOrder, ended: EndedRun | None) -> None:
        """Log what ended the run before, and how old that evidence is.

        Of a run that ended under a former owner only the stored state is known.
        """
        fields: dict[str, object] = {"evidence": "stored-by-former-owner"}
        if ended is not None:
            age_s = self._clock.now() - ended.evidence.seen_s
            fields = {
                "before_run": ended.run_id.run,
                "before_worker": ended.worker_id,
                "evidence": ended.evidence.name,
                "evidence_age_s": round(age_s, 3),
                "lease_left_s": round(ended.lease_left_s, 3),
            }
        self._log.event(
            "restart",
            **_run_fields(order.run_id),
            worker=order.worker_id,
            **fields,
        )

    def stop(self, order: StopOrder) -> None:
        """Log that a run is told to stop, why, and for which job if it is preempted."""
        fields = {"for_job": order.for_job} if order.for_job else {}
        if order.for_job:
            self._metrics.count("preempted_total")
        self._log.event(
            "stop",
            **_run_fields(order.run_id),
            worker=order.worker_id,
            why=order.why,
            **fields,
        )

    def order_failed(
        self, what: str, run_id: RunId, worker_id: str, fault: WorkerFault
    ) -> None:
        """Log an order that a worker refused or did not answer.

        :param what: name of the log event.
        """
        self._log.event(
            what,
            **_run_fields(run_id),
            worker=worker_id,
            reason=fault.refusal.value if fault.refusal else fault.failure.reason,
            verdict=fault.failure.verdict.value,
        )

    def finished_jobs(self, job_ids: Iterable[str]) -> None:
        """Log those of some jobs whose final state has just been stored."""
        for job_id in sorted(job_ids):
            job = self._engine.job_by_id[job_id]
            if job.is_final:
                self._log.event(
                    "job-ended",
                    job=job_id,
                    state=job.progress.state.name.lower(),
                    before_due_s=round(job.due_s - self._clock.now(), 3),
                )

    def abnormal_ends(self, worker: Worker, report: WorkerReport) -> None:
        """Log the new ends of runs that were not successful."""
        for end in report.ends:
            if end.number > worker.last_end_number and end.kind is not EndKind.DONE:
                self._log.event(
                    "run-ended",
                    **_run_fields(end.run_id),
                    worker=worker.worker_id,
                    how=end.kind.value,
                    number=end.number,
                )

    def crash(self, worker_id: str, crash: CrashReport) -> None:
        """Log the tasks that are suspected of a crash, or given up because of it."""
        if crash.suspects:
            self._log.event(
                "crash-suspected",
                worker=worker_id,
                tasks=[
                    f"{task.job}.{task_name(task)}"
                    for task in crash.suspects[:MAX_LOGGED_SUSPECTS]
                ],
                count=len(crash.suspects),
            )
        for given_up in crash.given_up:
            self._metrics.count("tasks_given_up_total")
            self._log.event(
                "task-given-up",
                job=given_up.task_id.job,
                task=task_name(given_up.task_id),
                worker=worker_id,
                crashes=given_up.crashes,
                suspected=given_up.suspected,
                alone=given_up.alone,
            )


def task_name(task: TaskId) -> str:
    """Return the name of a task within its job, as log lines have it."""
    return f"{task.occurrence}.{task.step}.{task.index}"


def _run_fields(run_id: RunId) -> dict[str, object]:
    task = run_id.task
    return {"job": task.job, "task": task_name(task), "run": run_id.run}
