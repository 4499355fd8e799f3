"""HTTP handlers of both daemons: authentication, errors, health and metrics."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

import orjson
from tornado.web import HTTPError, RequestHandler

from redwingrun import __version__
from redwingrun.auth import Identity
from redwingrun.coordination.verdict import Failure, Verdict
from redwingrun.httpclient import VERDICT_HEADER

if TYPE_CHECKING:
    from redwingrun.node import Node

ID_PATTERN = re.compile(r"[A-Za-z0-9._:@-]{1,128}\Z")
JSON_TYPE = "application/json"

STATUS_BY_REASON = {
    "bad-request": 400,
    "invalid": 400,
    "unauthorized": 401,
    "forbidden": 403,
    "not-found": 404,
    "method": 405,
    "key-reused": 409,
    "lost-race": 409,
    "too-large": 413,
    "never-fits": 422,
    "over-quota": 422,
    "cancelled": 409,
    "too-many-calls": 503,
    "queue-full": 429,
    "too-busy": 429,
}
NOT_RUN_STATUS = 503
MAY_HAVE_RUN_STATUS = 504


def status_of(failure: Failure) -> int:
    """Return the HTTP status for a failure: 504 if the request may have run."""
    if failure.verdict is Verdict.MAY_HAVE_RUN:
        return MAY_HAVE_RUN_STATUS
    return STATUS_BY_REASON.get(failure.reason, NOT_RUN_STATUS)


class Handler(RequestHandler):
    """Base of all handlers. The body of every error contains the verdict."""

    def initialize(self, node: Node) -> None:
        """Store the daemon that the handler belongs to; called by tornado."""
        self.node = node

    def prepare(self) -> None:
        """Count the call as in flight, and refuse it if there are too many."""
        if self.node.calls.enter() > self.node.settings.max_calls:
            raise HTTPError(
                503, f"{self.node.settings.max_calls} calls are already in flight"
            )
        if not self.node.ready:
            # Callers should not keep connections to a daemon that is not ready or
            # is stopping.
            self.set_header("Connection", "close")

    def on_finish(self) -> None:
        """Count the call as finished; its response has been handed to the server."""
        self.node.calls.leave()

    def identity(self) -> Identity:
        """Return the identity of the caller's token.

        :raises HTTPError: 401 without a valid token.
        """
        identity = self.node.tokens.identify(
            self.request.headers.get("Authorization", "")
        )
        if identity is None:
            raise HTTPError(401, "the Authorization header must contain a valid token")
        return identity

    def operator(self) -> Identity:
        """Return the identity of the operator who calls.

        :raises HTTPError: 401 without a valid token, 403 with a caller's token.
        """
        identity = self.identity()
        if not identity.is_operator:
            raise HTTPError(403, "only operators may do this")
        return identity

    def checked_id(self, value: str, what: str) -> str:
        """Return an id from a request if it is well formed.

        :param what: what the id is, for the error message.
        :raises HTTPError: 400 if it is not well formed.
        """
        if not ID_PATTERN.match(value):
            raise HTTPError(400, f"{what} must be 1 to 128 letters, digits or ._:@-")
        return value

    def json_body(self) -> dict[str, Any]:
        """Return the decoded body, empty if there is none.

        :raises HTTPError: 400 if it is not a JSON object.
        """
        try:
            data = orjson.loads(self.request.body or b"{}")
        except orjson.JSONDecodeError as error:
            raise HTTPError(400, f"the body is not JSON: {error}") from error
        if not isinstance(data, dict):
            raise HTTPError(400, "the body must be a JSON object")
        return data

    def send_json(self, data: Any, status: int = 200) -> None:
        """Send a JSON response."""
        self.set_status(status)
        self.set_header("Content-Type", JSON_TYPE)
        self.finish(orjson.dumps(data))

    def send_failure(self, failure: Failure, **more: Any) -> None:
        """Send a failure with its verdict.

        :param more: further fields of the body.
        """
        self.set_header(VERDICT_HEADER, failure.verdict.value)
        data = {
            "verdict": failure.verdict.value,
            "reason": failure.reason,
            "detail": failure.detail,
        }
        self.send_json({**data, **more}, status_of(failure))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send the response for an exception.

        The verdict of an `HTTPError` is *not run*, because handlers raise one only
        before they pass a request on. Any other exception is an internal error, with
        the verdict *may have run*.
        """
        error = kwargs.get("exc_info", (None, None, None))[1]
        detail = self._reason
        if isinstance(error, HTTPError) and error.log_message:
            detail = error.log_message
        is_internal = status_code >= 500 and not isinstance(error, HTTPError)
        verdict = Verdict.MAY_HAVE_RUN if is_internal else Verdict.NOT_RUN
        self.set_header(VERDICT_HEADER, verdict.value)
        reason_by_status = {
            status: reason for reason, status in reversed(STATUS_BY_REASON.items())
        }
        reason = reason_by_status.get(status_code, f"status-{status_code}")
        self.send_json(
            {"verdict": verdict.value, "reason": reason, "detail": detail}, status_code
        )

    def log_exception(self, *exc_info: Any) -> None:
        """Log internal errors, but not errors of callers."""
        if not isinstance(exc_info[1], HTTPError):
            self.node.metrics.count("handler_faults_total")
            self.node.log.fault(
                "handler-failed", path=self.request.path, error=repr(exc_info[1])
            )

    def set_default_headers(self) -> None:
        """Set the Server header without the versions of libraries."""
        self.set_header("Server", f"redwingrun/{__version__}")


class NotFoundHandler(Handler):
    """Any path without a handler of its own."""

    def prepare(self) -> None:
        """Refuse the request with 404."""
        super().prepare()
        raise HTTPError(404, f"there is no {self.request.path} here")


class HealthHandler(Handler):
    """Liveness of the process."""

    def get(self) -> None:
        """Send 200 without any check."""
        self.send_json({"alive": True})


class ReadyHandler(Handler):
    """Readiness: whether the load balancer should send work here."""

    def get(self) -> None:
        """Send 200 if the daemon is ready and 503 if it is not."""
        node = self.node
        data = {
            "ready": node.ready,
            "member": node.membership.member_id,
            "config_version": node.follower.active_version.number,
        }
        self.send_json(data, 200 if node.ready else NOT_RUN_STATUS)


class MetricsHandler(Handler):
    """Metrics of the process."""

    def get(self) -> None:
        """Send all metrics in Prometheus text format."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self.node.metrics.text())


class DebugHandler(Handler):
    """Internal state of the process, for troubleshooting by operators."""

    def get(self) -> None:
        """Send the state of membership, configuration and the daemon's own work."""
        self.operator()
        node = self.node
        self.send_json(
            {
                "daemon": f"{node.kind}@{node.settings.host}",
                "version": __version__,
                "member": node.membership.member_id,
                "lease_valid": node.membership.is_valid(),
                "owned": node.membership.owned(),
                "members": sorted(row.member_id for row in node.other_members()),
                "config_version": node.follower.active_version.number,
                "leaving_hosts": sorted(node.leaving_hosts),
                "drained": sorted(node.drained),
                **node.debug(),
            }
        )


def common_routes(node: Node) -> list[tuple[str, type[Handler], dict[str, Any]]]:
    """Return the routes that both daemons serve."""
    return [
        (r"/healthz", HealthHandler, {"node": node}),
        (r"/readyz", ReadyHandler, {"node": node}),
        (r"/metrics", MetricsHandler, {"node": node}),
        (r"/v1/debug", DebugHandler, {"node": node}),
    ]
