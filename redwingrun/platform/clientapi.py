"""What clients of the platform call: submit, ask, cancel, count."""

from __future__ import annotations

import re
from collections.abc import Callable

import orjson
from attrs import frozen
from tornado.web import Application, RequestHandler

from redwingrun.coordination.clock import Clock
from redwingrun.coordination.verdict import Failure, Verdict
from redwingrun.jobs.member import Member
from redwingrun.jobs.progress import JobState
from redwingrun.jobs.spec import (
    BadJobError,
    QueueAddress,
    Submission,
    encode_submission,
)
from redwingrun.logs import Log
from redwingrun.metrics import Metrics
from redwingrun.platform.jobdecoder import decode_job

JOB_ID = re.compile(r"[0-9a-fA-F]{16}\Z")
DEFAULT_DEADLINE_MS = 3000
MS_PER_S = 1000
# The client's deadline counts from its sending: leave it time to read the answer.
REPLY_MARGIN_S = 0.15
RETRY_AFTER_S = "1"
WORD_BY_STATE = {
    JobState.QUEUED: "queued",
    JobState.RUNNING: "running",
    JobState.COMPLETED: "completed",
    JobState.FAILED: "failed",
    JobState.CANCELLED: "cancelled",
}


@frozen
class FrontParts:
    """What the handlers work with."""

    member: Member
    clock: Clock
    unix_ms: Callable[[], int]
    log: Log
    metrics: Metrics


class _Handler(RequestHandler):
    """Answers with JSON; a member that leaves keeps no connection."""

    def initialize(self, parts: FrontParts) -> None:
        """Take what the handler works with."""
        self.parts = parts

    def reply(self, status: int, plain: dict[str, object]) -> None:
        """Send an answer."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        if not self.parts.member.is_ready:
            self.set_header("Connection", "close")
        self.finish(orjson.dumps(plain))

    def compute_etag(self) -> None:
        """Answers are never cached."""

    def refuse(self, failure: Failure, job_id: str) -> None:
        """Tell that the request was not served, and whether it may have run."""
        if failure.verdict is Verdict.NOT_RUN:
            self.set_header("Retry-After", RETRY_AFTER_S)
            status = 503
        else:
            status = 504
        self.parts.metrics.count("refusals_total", reason=failure.reason)
        self.parts.log.event(
            "refused",
            job=job_id,
            method=self.request.method,
            status=status,
            reason=failure.reason,
            detail=failure.detail,
        )
        self.reply(status, {"error": failure.reason})


class ReadyHandler(_Handler):
    """Whether the platform should send clients here."""

    def get(self) -> None:
        """Answer 200 while clients are welcome."""
        self.reply(200 if self.parts.member.is_ready else 503, {})


class MetricsHandler(_Handler):
    """Counters and latencies as text."""

    def get(self) -> None:
        """Answer with all figures."""
        self.set_header("Content-Type", "text/plain")
        self.finish(self.parts.metrics.text())


class JobHandler(_Handler):
    """Jobs and queues by host and path."""

    def prepare(self) -> None:
        """Find the queue, or refuse."""
        queues = self.parts.member.queues
        self.address: QueueAddress | None = None
        if queues is None:
            self.set_header("Retry-After", RETRY_AFTER_S)
            self.reply(503, {"error": "no configuration yet"})
            return
        host = self.request.host.partition(":")[0]
        self.address = queues.find(host, self.request.path)
        if self.address is None:
            self.reply(404, {"error": "no such queue"})
        elif len(self.request.body) > queues.limits.body_bytes:
            self.reply(413, {"error": "the body is too large"})

    def _job_id(self) -> str | None:
        """Return the job's id in the path; answers 400 when it is not one."""
        rest = self.request.path[len(self.address.path_prefix) :].strip("/")
        if JOB_ID.match(rest):
            return rest
        self.reply(400, {"error": "a job's id has 16 hexadecimal digits"})
        return None

    def _timeout_s(self) -> float:
        text = self.request.headers.get("X-Deadline-Ms", "")
        deadline_ms = int(text) if text.isdigit() else DEFAULT_DEADLINE_MS
        spent_s = self.request.request_time()
        return max(0.1, deadline_ms / MS_PER_S - REPLY_MARGIN_S - spent_s)

    async def post(self) -> None:
        """Accept a job: 200 once it is stored."""
        job_id = self._job_id()
        if job_id is None:
            return
        try:
            spec = decode_job(self.request.body)
        except BadJobError as error:
            self.reply(400, {"error": str(error)})
            return
        submission = Submission(self.address.queue, spec, self.parts.unix_ms())
        started_s = self.parts.clock.now()
        result = await self.parts.member.jobs.submit(
            job_id, encode_submission(submission), self._timeout_s()
        )
        if result.is_error():
            self.refuse(result.error, job_id)
            return
        self.parts.metrics.seconds("accept_s", self.parts.clock.now() - started_s)
        self.parts.log.event(
            "accepted",
            job=job_id,
            queue=submission.queue,
            took_s=round(self.parts.clock.now() - started_s, 4),
            queues_version=self.parts.member.queues.version,
        )
        self.reply(200, {})

    async def delete(self) -> None:
        """Cancel a job."""
        job_id = self._job_id()
        if job_id is None:
            return
        result = await self.parts.member.jobs.cancel(job_id, self._timeout_s())
        if result.is_error():
            self.refuse(result.error, job_id)
            return
        self.parts.log.event("cancel", job=job_id, known=result.ok)
        self.reply(200 if result.ok else 410, {})

    async def get(self) -> None:
        """Tell a job's state, or how many of the queue's jobs have not begun."""
        if self.request.path == self.address.path_prefix:
            self._count()
            return
        job_id = self._job_id()
        if job_id is None:
            return
        result = await self.parts.member.jobs.state(job_id, self._timeout_s())
        if result.is_error():
            self.refuse(result.error, job_id)
        elif result.ok is None:
            self.reply(410, {"error": "no such job"})
        else:
            self.reply(200, {"state": WORD_BY_STATE[result.ok]})

    def _count(self) -> None:
        waiting_count = self.parts.member.waiting_count(self.address.queue)
        if waiting_count is None:
            self.set_header("Retry-After", RETRY_AFTER_S)
            self.reply(503, {"error": "the count is not known yet"})
        else:
            self.reply(200, {"pending": waiting_count})


def front_application(parts: FrontParts) -> Application:
    """Return the application of the address for clients."""
    return Application([(r"/.*", JobHandler, {"parts": parts})], log_function=_quiet)


def ready_application(parts: FrontParts) -> Application:
    """Return the application of the address for the platform's checks."""
    return Application(
        [
            (r"/-/readyz", ReadyHandler, {"parts": parts}),
            (r"/metrics", MetricsHandler, {"parts": parts}),
        ],
        log_function=_quiet,
    )


def _quiet(handler: RequestHandler) -> None:
    """Log nothing: decisions are logged where they are made."""
