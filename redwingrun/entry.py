"""The daemon ``redwingrun-entry``: serves callers and runs requests on minions."""

from __future__ import annotations

import asyncio
import secrets
from collections import OrderedDict
from typing import Any

from attrs import define, field
from grpclib.server import Stream
from tornado.web import Application

from redwingrun.audit import AuditTrail
from redwingrun.basehandlers import NotFoundHandler, common_routes
from redwingrun.callerhandlers import caller_routes
from redwingrun.config import Settings
from redwingrun.coordination.ledger import Attempt, BodyMismatch, Ledger
from redwingrun.coordination.verdict import Answer, Failure, Verdict, not_run
from redwingrun.daemon import daemon_main
from redwingrun.httpclient import digest
from redwingrun.membership import ENTRY
from redwingrun.minions import HttpMinionClient
from redwingrun.node import Node
from redwingrun.objects import MINIONS, Workload
from redwingrun.operatorhandlers import operator_routes
from redwingrun.peer_pb2 import News
from redwingrun.peerservice import PeerService
from redwingrun.requests import Request
from redwingrun.retries import RetryBudget
from redwingrun.router import Outcome, Router
from redwingrun.runtimes import RunTimes
from redwingrun.taskclient import TaskClient

ATTEMPT_TOKEN_BYTES = 12
MAX_TRACES = 2000
MAX_STEPS_PER_TRACE = 20
FIRST_LEDGER_POLL_S = 0.1
MAX_LEDGER_POLL_S = 1.0


@define
class RequestTrace:
    """The steps of one request, shown by ``redwingrun explain``."""

    team: str
    steps: list[str] = field(factory=list)

    def add(self, step: str) -> None:
        """Add a step, unless the trace is full."""
        if len(self.steps) < MAX_STEPS_PER_TRACE:
            self.steps.append(step)


class Entry(Node):
    """Runs callers' quick requests and submits their tasks to the pools' owners."""

    kind = ENTRY

    def __init__(self, settings: Settings):
        self.run_times = RunTimes()
        self.retry_budget = RetryBudget(settings.retry_share)
        self._trace_by_id: OrderedDict[str, RequestTrace] = OrderedDict()
        self._request_by_id: dict[str, Request] = {}
        super().__init__(settings)
        minions = HttpMinionClient(self.http, settings.connect_timeout_s)
        self.router = Router(self, minions, self.run_times, self.retry_budget)
        self.ledger = Ledger(self.table, self.writer)
        self.task_client = TaskClient(self)
        self.audit = AuditTrail(self.table)

    def application(self) -> Application:
        """Return the HTTP application; also start the router's background tasks."""
        self.spawn(self.router.expire(), "expire")
        self.spawn(self.router.run_gossip(), "tell-all")
        routes = common_routes(self) + caller_routes(self) + operator_routes(self)
        return Application(
            routes,
            default_handler_class=NotFoundHandler,
            default_handler_args={"node": self},
            log_function=self._log_request,
        )

    def _log_request(self, handler: Any) -> None:
        self.metrics.count("http_requests_total", status=str(handler.get_status()))

    def service(self) -> PeerService:
        """Return the service that peers call."""
        return EntryService(self)

    def on_change(self) -> None:
        """Apply changed ownership, members, objects, drains or leaving hosts."""
        pools = [pool for pool in self.objects.pools.values() if pool.type == MINIONS]
        self.membership.shards = [name for pool in pools for name in pool.shards()]
        self.router.update()

    def add_pool_loads(self, news: News) -> None:
        """Add the load of each pool to a message for peers."""
        self.router.add_pool_loads(news)

    async def finish(self) -> None:
        """Reject the queued requests and wait for those in flight."""
        self.router.reject_queued()
        await self.router.wait_until_idle()

    def debug(self) -> dict[str, Any]:
        """Return this daemon's part of the debug page."""
        return {
            "waiting": self.router.waiting_count(),
            "in_flight": self.router.in_flight,
            "ejected": self.router.ejected(),
            "retries": self.retry_budget.retries,
        }

    # Requests

    def new_request(
        self,
        workload: Workload,
        team: str,
        body: bytes,
        request_id: str,
        deadline_s: float,
    ) -> Request:
        """Return a new request.

        :param deadline_s: seconds from now.
        """
        now_s = self.clock.now()
        policy = self.objects.policies[workload.policy]
        run_time = self.run_times.for_workload(workload.name, workload.run_s)
        long_by_run_time = self.run_times.is_long(workload.name, workload.run_s)
        return Request(
            request_id=request_id,
            workload=workload.name,
            team=team,
            pool=workload.pool,
            arrived_s=now_s,
            deadline_s=now_s + deadline_s,
            estimate_s=run_time.mean_s,
            p99_estimate_s=run_time.p99_s if run_time.is_measured else 0.0,
            long=policy.long or long_by_run_time,
            at_most_once=not workload.idempotent,
            body=body,
            digest=digest(body),
        )

    async def run_request(self, request: Request) -> Outcome:
        """Run a request and return its outcome.

        The request is idempotent, or its idempotency key is claimed already.
        """
        trace = self._get_or_add_trace(request.request_id, request.team)
        if not self.ready:
            return not_run(
                "not-ready",
                "the entry on this host is stopping, or has no lease or configuration",
            )
        self._request_by_id[request.request_id] = request
        try:
            outcome = await self.router.run(request)
        finally:
            self._request_by_id.pop(request.request_id, None)
        self._record_outcome(request, trace, outcome)
        return outcome

    def _record_outcome(
        self, request: Request, trace: RequestTrace, outcome: Outcome
    ) -> None:
        total_s = self.clock.now() - request.arrived_s
        kind = "long" if request.long else "short"
        self.metrics.count(
            "requests_total", verdict=outcome.verdict.value, workload=request.workload
        )
        if isinstance(outcome, Answer):
            self.metrics.seconds("waiting_seconds", outcome.waited_s, cls=kind)
            self.metrics.seconds("answer_seconds", total_s, cls=kind)
            trace.add(
                f"answered by {outcome.upstream} after waiting {outcome.waited_s:.4f} s"
            )
        else:
            trace.add(f"{outcome.verdict.value}: {outcome.reason}: {outcome.detail}")
        self.log.detail(
            "request",
            request=request.request_id,
            team=request.team,
            workload=request.workload,
            verdict=outcome.verdict.value,
            upstream=outcome.upstream,
            seconds=round(total_s, 6),
        )

    async def run_once(
        self, request: Request, idempotency_key: str
    ) -> Outcome | BodyMismatch:
        """Run a request that must run at most once.

        Return what is known of the key when it can't be claimed: the stored answer, a
        failure, or a :class:`BodyMismatch` when it was used with another body.
        """
        token = secrets.token_hex(ATTEMPT_TOKEN_BYTES)
        claim = await self._claim(request, idempotency_key, token)
        if not isinstance(claim, Attempt):
            return claim
        outcome = await self.run_request(request)
        if not await self.ledger.finish(claim, outcome):
            self.log.fault("ledger-unfinished", request=request.request_id)
        return outcome

    async def _claim(
        self, request: Request, idempotency_key: str, token: str
    ) -> Attempt | Outcome | BodyMismatch:
        """Claim the key, or wait for the outcome of an attempt that holds it.

        The wait ends at the request's deadline.
        """
        pause_s = FIRST_LEDGER_POLL_S
        while True:
            claim = await self.ledger.begin(
                request.team, idempotency_key, request.digest, token
            )
            pending = (
                isinstance(claim, Failure) and claim.verdict is Verdict.MAY_HAVE_RUN
            )
            late = self.clock.now() + pause_s > request.deadline_s
            if not pending or late:
                return claim
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_LEDGER_POLL_S)

    async def stored_outcome(self, team: str, idempotency_key: str) -> Outcome:
        """Return the outcome that is stored for a team's idempotency key."""
        return await self.ledger.stored_outcome(team, idempotency_key)

    def cancel_request(self, request_id: str, team: str) -> bool | None:
        """Cancel a queued request; return whether it was still queued.

        Return ``None`` when the team has no such request in flight on this host.
        """
        request = self._request_by_id.get(request_id)
        if request is None or request.team != team:
            return None
        return self.router.cancel(request)

    def _get_or_add_trace(self, request_id: str, team: str) -> RequestTrace:
        """Return the trace of a request; a new one may evict the oldest."""
        trace = self._trace_by_id.get(request_id)
        if trace is None:
            trace = RequestTrace(team)
            self._trace_by_id[request_id] = trace
            if len(self._trace_by_id) > MAX_TRACES:
                self._trace_by_id.popitem(last=False)
        return trace

    def find_trace(self, request_id: str) -> RequestTrace | None:
        """Return the trace of a request, ``None`` when there is none."""
        return self._trace_by_id.get(request_id)


class EntryService(PeerService):
    """The calls of peers that an entry serves."""

    def __init__(self, entry: Entry):
        super().__init__(entry.membership, entry.config, entry.news)
        self._router = entry.router

    def receive_news(self, news: News) -> None:
        """Apply a peer's load."""
        self._router.receive_news(news)

    async def Run(self, stream: Stream) -> None:  # noqa: N802
        """Run a peer's request on a minion of this host, if a slot is free."""
        message = await stream.recv_message()
        self._router.receive_news(message.news)
        await stream.send_message(await self._router.run_for_peer(message))


def main() -> None:
    """Run the daemon from the command line."""
    daemon_main("redwingrun-entry", Entry)
