"""HTTP handlers for clients: submit, query and cancel jobs, and count waiting ones."""

from __future__ import annotations

import re
from collections.abc import Callable

import orjson
from attrs import field, frozen
from tornado.web import Application, RequestHandler

from redwingrun.coordination.clock import Clock
from redwingrun.coordination.verdict import Failure, Verdict
from redwingrun.jobs.accounts import ClientAccount
from redwingrun.jobs.backlog import submission_bytes
from redwingrun.jobs.jobstore import TABLE_REJECTS
from redwingrun.jobs.member import Member
from redwingrun.jobs.progress import JobState
from redwingrun.jobs.retryafter import RetryAfter
from redwingrun.jobs.spec import (
    BadJobError,
    QueueAddress,
    QueueSet,
    Submission,
    encode_submission,
)
from redwingrun.logs import Log
from redwingrun.metrics import Metrics
from redwingrun.platform.jobdecoder import decode_job

JOB_ID_PATTERN = re.compile(r"[0-9a-fA-F]{16}\Z")
DEFAULT_DEADLINE_MS = 3000
# A request whose client waits for longer is answered by then.
MAX_DEADLINE_MS = 60_000
MS_PER_S = 1000
# The client's deadline starts when it sends the request. The reply is sent this long
# before the deadline, so that it arrives before it.
REPLY_MARGIN_S = 0.15
KEY_SCHEME = "bearer"
STATE_NAMES = {
    JobState.QUEUED: "queued",
    JobState.RUNNING: "running",
    JobState.COMPLETED: "completed",
    JobState.FAILED: "failed",
    JobState.CANCELLED: "cancelled",
}


@frozen
class ApiDependencies:
    """What the handlers use.

    :param config_deadline_s: age from which on the configuration may be older than one
        that hosts must use.
    :param retry_after: computes when clients that are refused should come again.
    """

    member: Member
    clock: Clock
    unix_ms: Callable[[], int]
    log: Log
    metrics: Metrics
    config_deadline_s: float
    retry_after: RetryAfter = field(factory=RetryAfter)


class _Handler(RequestHandler):
    """Base of the handlers: replies with JSON.

    While the member is not ready, replies close the connection so that clients
    reconnect elsewhere.
    """

    def initialize(self, parts: ApiDependencies) -> None:
        """Store what the handler uses; called by tornado."""
        self.dependencies = parts

    def reply(self, status: int, data: dict[str, object]) -> None:
        """Send a JSON reply."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        if not self.dependencies.member.is_ready:
            self.set_header("Connection", "close")
        self.finish(orjson.dumps(data))

    def _set_retry_after(self) -> None:
        """Tell the client when to come again, by the age of the table's outage."""
        outage_s = self.dependencies.member.table_outage_s()
        wait_s = self.dependencies.retry_after.seconds(outage_s)
        self.set_header("Retry-After", str(wait_s))

    def compute_etag(self) -> None:
        """Send no ETag: replies must not be cached."""

    def reply_failure(self, failure: Failure, job_id: str) -> None:
        """Reply with a failure: 503 if the request did not run, 504 if it may have.

        413 if it never will run.
        """
        if failure.reason == TABLE_REJECTS:
            status = 413
        elif failure.verdict is Verdict.NOT_RUN:
            self._set_retry_after()
            status = 503
        else:
            status = 504
        self.dependencies.metrics.count("refusals_total", reason=failure.reason)
        self.dependencies.log.event(
            "refused",
            job=job_id,
            method=self.request.method,
            status=status,
            reason=failure.reason,
            detail=failure.detail,
        )
        self.reply(status, {"error": failure.reason})


class ReadyHandler(_Handler):
    """Readiness: whether the platform should send clients here."""

    def get(self) -> None:
        """Reply 200 if the member is ready and 503 if it is not."""
        self.reply(200 if self.dependencies.member.is_ready else 503, {})


class MetricsHandler(_Handler):
    """Metrics in Prometheus text format."""

    def get(self) -> None:
        """Reply with all metrics."""
        metrics = self.dependencies.metrics
        metrics.gauge("queues_age_seconds", self.dependencies.member.queues_age_s())
        self.set_header("Content-Type", "text/plain")
        self.finish(metrics.text())


class JobHandler(_Handler):
    """Jobs of the queue that the request's host and path name."""

    def prepare(self) -> None:
        """Find the queue, or reply with an error.

        503 without a configuration, 404 for an unknown queue (503 while the
        configuration may be old), 401 for an unknown key (503 while the configuration
        may be old), 413 for a body over the limit.
        """
        queues = self.dependencies.member.queues
        self.address: QueueAddress | None = None
        self.account: ClientAccount | None = None
        if queues is None:
            self._set_retry_after()
            self.reply(503, {"error": "no configuration is loaded yet"})
            return
        host = self.request.host.partition(":")[0]
        self.address = queues.find(host, self.request.path)
        if self.address is None:
            self._reply_unknown_queue(host)
        elif queues.queue_by_name[self.address.queue].requires_key and (
            not self._accept_key(queues)
        ):
            return
        elif len(self.request.body) > queues.limits.body_bytes:
            self.reply(413, {"error": "the body is too large"})

    def _accept_key(self, queues: QueueSet) -> bool:
        """Find the account of the request's key, or reply with an error.

        A key that is known may have been revoked since, and one that is unknown may
        have been added, if the configuration may be old.

        :return: whether the key was accepted.
        """
        member = self.dependencies.member
        self.account = queues.accounts.find_by_key(self._key())
        if not member.accepts_keys():
            self._refuse_key(503, "configuration-too-old")
        elif self.account is not None:
            return True
        elif member.queues_age_s() > self.dependencies.config_deadline_s:
            self._refuse_key(503, "unknown-key-in-old-configuration")
        else:
            self.set_header("WWW-Authenticate", "Bearer")
            self._refuse_key(401, "unknown-key")
        return False

    def _key(self) -> str:
        """Return the key in the ``Authorization`` header, empty if there is none."""
        scheme, _, key = self.request.headers.get("Authorization", "").partition(" ")
        return key.strip() if scheme.lower() == KEY_SCHEME else ""

    def _refuse_key(self, status: int, reason: str) -> None:
        """Reply that a request is not served because of its key; it has not run."""
        if status == 503:
            self._set_retry_after()
        self.dependencies.metrics.count("refusals_total", reason=reason)
        self._log_lookup(
            "refused",
            method=self.request.method,
            path=self.request.path,
            status=status,
            reason=reason,
            account=self.account.name if self.account else "",
        )
        self.reply(status, {"error": reason})

    def _reply_unknown_queue(self, host: str) -> None:
        """Reply 404, or 503 if the queue may have been added meanwhile."""
        self._log_lookup("unknown-queue", host=host, path=self.request.path)
        age_s = self.dependencies.member.queues_age_s()
        if age_s <= self.dependencies.config_deadline_s:
            self.reply(404, {"error": "no such queue"})
            return
        self._set_retry_after()
        self.reply(503, {"error": "no such queue in a configuration that may be old"})

    def _log_lookup(self, what: str, **fields: object) -> None:
        """Log a decision with the configuration that it rests on, and its age."""
        member = self.dependencies.member
        self.dependencies.log.event(
            what,
            **fields,
            queues_version=member.queues.version,
            queues_age_s=round(member.queues_age_s(), 3),
        )

    def _job_id(self) -> str | None:
        """Return the job's id in the path, or reply 400 and return ``None``."""
        job_id = self.request.path[len(self.address.path_prefix) :].strip("/")
        if JOB_ID_PATTERN.match(job_id):
            return job_id
        self.reply(400, {"error": "a job's id must have 16 hexadecimal digits"})
        return None

    def _timeout_s(self) -> float:
        """Return the time left until the reply must be sent, at least 0.1 s."""
        deadline_ms = decode_deadline_ms(self.request.headers.get("X-Deadline-Ms", ""))
        elapsed_s = self.request.request_time()
        return max(0.1, deadline_ms / MS_PER_S - REPLY_MARGIN_S - elapsed_s)

    async def post(self) -> None:
        """Submit a job: reply 200 once it is stored."""
        job_id = self._job_id()
        if job_id is None:
            return
        try:
            spec = decode_job(self.request.body)
        except BadJobError as error:
            self.reply(400, {"error": str(error)})
            return
        submission = Submission(
            self.address.queue,
            spec,
            self.dependencies.unix_ms(),
            self.account.name if self.account else "",
        )
        started_s = self.dependencies.clock.now()
        result = await self.dependencies.member.jobs.submit(
            job_id,
            encode_submission(submission),
            self._timeout_s(),
            submission_bytes(spec),
        )
        if result.is_error():
            self.reply_failure(result.error, job_id)
            return
        self.dependencies.metrics.seconds(
            "accept_s", self.dependencies.clock.now() - started_s
        )
        self._log_lookup(
            "accepted",
            job=job_id,
            queue=submission.queue,
            account=submission.account,
            took_s=round(self.dependencies.clock.now() - started_s, 4),
        )
        self.reply(200, {})

    async def delete(self) -> None:
        """Cancel a job: reply 200, or 410 if it is not known."""
        job_id = self._job_id()
        if job_id is None:
            return
        result = await self.dependencies.member.jobs.cancel(job_id, self._timeout_s())
        if result.is_error():
            self.reply_failure(result.error, job_id)
            return
        self.dependencies.log.event("cancel", job=job_id, known=result.ok)
        self.reply(200 if result.ok else 410, {})

    async def get(self) -> None:
        """Reply with a job's state, or the number of the queue's waiting jobs.

        The path of the queue itself asks for the number; 410 for an unknown job.
        """
        if self.request.path == self.address.path_prefix:
            self._reply_waiting_count()
            return
        job_id = self._job_id()
        if job_id is None:
            return
        result = await self.dependencies.member.jobs.state(job_id, self._timeout_s())
        if result.is_error():
            self.reply_failure(result.error, job_id)
        elif result.ok is None:
            self.reply(410, {"error": "no such job"})
        else:
            self.reply(200, {"state": STATE_NAMES[result.ok]})

    def _reply_waiting_count(self) -> None:
        waiting_count = self.dependencies.member.waiting_count(self.address.queue)
        if waiting_count is None:
            self._set_retry_after()
            self.reply(503, {"error": "the number of waiting jobs is not known yet"})
        else:
            self._log_lookup("counted", queue=self.address.queue, count=waiting_count)
            self.reply(200, {"pending": waiting_count})


def decode_deadline_ms(text: str) -> int:
    """Return how long a client waits, the default if it does not say."""
    if not (text.isascii() and text.isdigit()):
        return DEFAULT_DEADLINE_MS
    if len(text.lstrip("0")) > len(str(MAX_DEADLINE_MS)):
        return MAX_DEADLINE_MS
    return min(int(text), MAX_DEADLINE_MS)


def client_application(parts: ApiDependencies) -> Application:
    """Return the application that serves clients."""
    return Application(
        [(r"/.*", JobHandler, {"parts": parts})], log_function=_skip_access_log
    )


def ready_application(parts: ApiDependencies) -> Application:
    """Return the application that serves readiness checks and metrics."""
    return Application(
        [
            (r"/-/readyz", ReadyHandler, {"parts": parts}),
            (r"/metrics", MetricsHandler, {"parts": parts}),
        ],
        log_function=_skip_access_log,
    )


def _skip_access_log(handler: RequestHandler) -> None:
    """Log nothing: the handlers log what they accept and refuse."""
