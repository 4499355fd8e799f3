"""HTTP handlers that both daemons share: identity, errors with a verdict, health."""

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
    """Return the HTTP status that goes with a failure."""
    if failure.verdict is Verdict.MAY_HAVE_RUN:
        return MAY_HAVE_RUN_STATUS
    return STATUS_BY_REASON.get(failure.reason, NOT_RUN_STATUS)


class Handler(RequestHandler):
    """Base of all handlers; every error's body carries the verdict."""

    def initialize(self, node: Node) -> None:
        """Take the daemon that the handler serves."""
        self.node = node

    def prepare(self) -> None:
        """Count the call as being served."""
        if self.node.calls.enter() > self.node.settings.max_calls:
            raise HTTPError(
                503, f"{self.node.settings.max_calls} calls are served already"
            )
        if not self.node.ready:
            # While it stops or is not ready, no caller should keep a connection.
            self.set_header("Connection", "close")

    def on_finish(self) -> None:
        """Count the call as served: its answer is on its way."""
        self.node.calls.leave()

    def identity(self) -> Identity:
        """Return who calls.

        :raises HTTPError: 401 for a stranger.
        """
        found = self.node.tokens.identify(self.request.headers.get("Authorization", ""))
        if found is None:
            raise HTTPError(401, "a valid token is needed in the Authorization header")
        return found

    def operator(self) -> Identity:
        """Return the operator that calls.

        :raises HTTPError: 401 for a stranger, 403 for a caller.
        """
        found = self.identity()
        if not found.is_operator:
            raise HTTPError(403, "only operators may do this")
        return found

    def checked_id(self, value: str, what: str) -> str:
        """Return an id that a caller sent, if it is well formed.

        :raises HTTPError: 400 otherwise.
        """
        if not ID_PATTERN.match(value):
            raise HTTPError(400, f"{what} must be 1 to 128 letters, digits or ._:@-")
        return value

    def json_body(self) -> dict[str, Any]:
        """Return the body as a JSON object.

        :raises HTTPError: 400 when it is not one.
        """
        try:
            plain = orjson.loads(self.request.body or b"{}")
        except orjson.JSONDecodeError as error:
            raise HTTPError(400, f"the body is not JSON: {error}") from error
        if not isinstance(plain, dict):
            raise HTTPError(400, "the body must be a JSON object")
        return plain

    def send_json(self, plain: Any, status: int = 200) -> None:
        """Answer with JSON."""
        self.set_status(status)
        self.set_header("Content-Type", JSON_TYPE)
        self.finish(orjson.dumps(plain))

    def send_failure(self, failure: Failure, **more: Any) -> None:
        """Answer with a failure and its verdict."""
        self.set_header(VERDICT_HEADER, failure.verdict.value)
        plain = {
            "verdict": failure.verdict.value,
            "reason": failure.reason,
            "detail": failure.detail,
        }
        self.send_json({**plain, **more}, status_of(failure))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer an error that was raised, with the verdict *not run*.

        Handlers raise only before they hand a request on; an error of our own
        after that is *may have run*.
        """
        error = kwargs.get("exc_info", (None, None, None))[1]
        detail = self._reason
        if isinstance(error, HTTPError) and error.log_message:
            detail = error.log_message
        own_fault = status_code >= 500 and not isinstance(error, HTTPError)
        verdict = Verdict.MAY_HAVE_RUN if own_fault else Verdict.NOT_RUN
        self.set_header(VERDICT_HEADER, verdict.value)
        reasons = {
            status: reason for reason, status in reversed(STATUS_BY_REASON.items())
        }
        reason = reasons.get(status_code, f"status-{status_code}")
        self.send_json(
            {"verdict": verdict.value, "reason": reason, "detail": detail}, status_code
        )

    def log_exception(self, *exc_info: Any) -> None:
        """Log our own faults, not the callers' ones."""
        if not isinstance(exc_info[1], HTTPError):
            self.node.metrics.count("handler_faults_total")
            self.node.log.fault(
                "handler-failed", path=self.request.path, error=repr(exc_info[1])
            )

    def set_default_headers(self) -> None:
        """Name the program, without its parts' versions."""
        self.set_header("Server", f"redwingrun/{__version__}")


class NotFoundHandler(Handler):
    """Whatever has no other handler."""

    def prepare(self) -> None:
        """Answer 404."""
        super().prepare()
        raise HTTPError(404, f"there is no {self.request.path} here")


class HealthHandler(Handler):
    """Whether the process lives."""

    def get(self) -> None:
        """Answer at once."""
        self.send_json({"alive": True})


class ReadyHandler(Handler):
    """Whether the balancer should send work here."""

    def get(self) -> None:
        """Answer 200 when ready, 503 when not."""
        node = self.node
        plain = {
            "ready": node.ready,
            "member": node.membership.member_id,
            "config_version": node.follower.active_version.number,
        }
        self.send_json(plain, 200 if node.ready else NOT_RUN_STATUS)


class MetricsHandler(Handler):
    """The figures of the process."""

    def get(self) -> None:
        """Answer in Prometheus text format."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self.node.metrics.text())


class DebugHandler(Handler):
    """What the process holds, for operators looking for a fault."""

    def get(self) -> None:
        """Answer with the state of membership, configuration and tasks."""
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
