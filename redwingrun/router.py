"""Runs quick requests: carries out the dispatchers' actions over the network."""

from __future__ import annotations

import asyncio

from attrs import define, field
from expression import Result

from redwingrun.config import Settings
from redwingrun.coordination.verdict import (
    Answer,
    Failure,
    Verdict,
    may_have_run,
    not_run,
)
from redwingrun.dispatcher import (
    MAX_ATTEMPTS,
    Action,
    Dispatcher,
    Forward,
    Minion,
    Reject,
    Send,
    SendNews,
)
from redwingrun.gossip import LoadGossip, load_from_message, message_from_load
from redwingrun.httpclient import digest
from redwingrun.minions import MinionAnswer, MinionCall, MinionClient
from redwingrun.node import Node
from redwingrun.objects import MINIONS, Pool
from redwingrun.peer_pb2 import News, RunReply, RunRequest
from redwingrun.requests import Request
from redwingrun.retries import RetryBudget
from redwingrun.runtimes import RunTimes

# Failure reason of a request that a peer declined. It is started or queued again
# here, and this does not count as an attempt.
BUSY = "busy"
SETTLE_INTERVAL_S = 0.2
SETTLE_TIMEOUT_S = 1.0
EXPIRE_INTERVAL_S = 0.01
# Added to the timeout of a forwarded request, for the hop that its answer takes.
HOP_ALLOWANCE_S = 0.25

Outcome = Answer | Failure


@define
class _PoolState:
    """The state of one pool's routing.

    :param shard_by_minion: shard of each owned minion.
    :param unsettled: by minion, the requests that hold a slot because it is unknown
        whether they still run.
    """

    dispatcher: Dispatcher
    shard_by_minion: dict[str, str] = field(factory=dict)
    unsettled: dict[str, dict[str, Request]] = field(factory=dict)


class Router:
    """Owns the dispatchers of all pools and the calls to minions and peers."""

    def __init__(
        self,
        node: Node,
        minions: MinionClient,
        run_times: RunTimes,
        retry_budget: RetryBudget,
    ):
        self._node = node
        self._settings: Settings = node.settings
        self._minions = minions
        self._run_times = run_times
        self._retry_budget = retry_budget
        self._state_by_pool: dict[str, _PoolState] = {}
        self._gossip = LoadGossip(node, self.receive_news)
        self.in_flight = 0
        self._request_ended = asyncio.Event()
        self._request_queued = asyncio.Event()

    # Ownership and objects

    def update(self) -> None:
        """Apply changed ownership, members, objects, drains or leaving hosts."""
        owned = self._node.membership.owned()
        pools = self._node.objects.pools.values()
        minion_pools = {pool.name: pool for pool in pools if pool.type == MINIONS}
        for pool in minion_pools.values():
            self._update_pool(pool, owned)
        for name in set(self._state_by_pool) - set(minion_pools):
            self._remove_pool(name)

    def _update_pool(self, pool: Pool, owned: dict[str, int]) -> None:
        state = self._state_by_pool.get(pool.name)
        if state is None:
            state = _PoolState(
                Dispatcher(
                    pool.name, self._settings.queue_limit, self._settings.news_max_age_s
                )
            )
            self._state_by_pool[pool.name] = state
        weights = {name: team.share for name, team in self._node.objects.teams.items()}
        state.dispatcher.set_weights(weights, pool.long_share)
        old_epochs = {
            name: item.epoch for name, item in state.dispatcher.minions().items()
        }
        state.dispatcher.set_minions(self._owned_minions(pool, owned, state))
        for name, minion in state.dispatcher.minions().items():
            minion.leaving = self._node.is_draining(name)
            if old_epochs.get(name) != minion.epoch:
                self._node.spawn(self._settle(state, minion), f"settle-{name}")
        state.dispatcher.retain_peers(self._gossip.peer_ids())
        self._carry_out(state, state.dispatcher.fill(self._node.clock.now()))

    def _owned_minions(
        self, pool: Pool, owned: dict[str, int], state: _PoolState
    ) -> dict[str, Minion]:
        upstreams = pool.upstreams_by_name
        minions = {}
        state.shard_by_minion = {}
        for shard, names in pool.shards().items():
            if shard not in owned:
                continue
            for name in names:
                # Requests of an earlier owner may hold all slots until the minion
                # reports what it runs.
                slots = upstreams[name].slots
                minions[name] = Minion(
                    upstreams[name], owned[shard], unattributed_busy=slots
                )
                state.shard_by_minion[name] = shard
        return minions

    def _remove_pool(self, name: str) -> None:
        state = self._state_by_pool.pop(name)
        for request in state.dispatcher.remove_all():
            self._resolve(request, not_run("pool-gone", f"pool {name} was removed"))

    # Requests from callers

    async def run(self, request: Request) -> Outcome:
        """Run a caller's request and return its outcome."""
        state = self._state_by_pool.get(request.pool)
        if state is None:
            return not_run("no-pool", f"this host does not know pool {request.pool}")
        request.waiter = asyncio.get_running_loop().create_future()
        self._retry_budget.record_request()
        self.in_flight += 1
        try:
            kind = "long" if request.long else "short"
            with self._node.metrics.timed("decision_seconds", cls=kind):
                actions = state.dispatcher.submit(request, self._node.clock.now())
            self._carry_out(state, actions)
            return await request.waiter
        finally:
            self._count_request_end()

    def _count_request_end(self) -> None:
        self.in_flight -= 1
        self._request_ended.set()

    async def wait_until_idle(self) -> None:
        """Wait until no request is in flight."""
        while self.in_flight:
            self._request_ended.clear()
            await self._request_ended.wait()

    def cancel(self, request: Request) -> bool:
        """Cancel a queued request; return whether it was still queued here."""
        state = self._state_by_pool.get(request.pool)
        if state is None or not state.dispatcher.cancel(request):
            return False
        self._resolve(request, not_run("cancelled", "cancelled while it was queued"))
        return True

    def reject_queued(self) -> None:
        """Reject all queued requests because this process stops."""
        for state in self._state_by_pool.values():
            for request in state.dispatcher.remove_all():
                self._resolve(
                    request, not_run("stopping", "the entry on this host is stopping")
                )

    def waiting_count(self) -> int:
        """Return the number of queued requests."""
        return sum(
            state.dispatcher.waiting_count() for state in self._state_by_pool.values()
        )

    def ejected(self) -> list[str]:
        """Return the names of the ejected minions."""
        names = []
        for state in self._state_by_pool.values():
            names.extend(state.dispatcher.ejector.ejected())
        return names

    async def expire(self) -> None:
        """Periodically reject queued requests that would miss their deadline.

        Also start queued requests on slots that became free without an event. This
        runs until it is cancelled.
        """
        while True:
            if not self.waiting_count():
                # An idle process must not wake up every EXPIRE_INTERVAL_S.
                self._request_queued.clear()
                await self._request_queued.wait()
            await asyncio.sleep(EXPIRE_INTERVAL_S)
            now_s = self._node.clock.now()
            for state in self._state_by_pool.values():
                if state.dispatcher.waiting_count():
                    self._carry_out(state, state.dispatcher.expire(now_s))
                    # No event reports that the next probe of an ejected minion is
                    # due: poll for its free slots.
                    self._carry_out(state, state.dispatcher.fill(now_s))

    # Requests from peers

    async def run_for_peer(self, message: RunRequest) -> RunReply:
        """Run a peer's request if a slot is free now, otherwise decline it."""
        objects = self._node.objects
        workload = objects.workloads.get(message.workload)
        state = self._state_by_pool.get(workload.pool) if workload else None
        if state is None:
            return self._reply(
                message.request_id,
                not_run(
                    BUSY,
                    f"workload {message.workload} or its pool is unknown on this host",
                ),
            )
        if digest(message.body) != message.digest:
            return self._reply(
                message.request_id,
                not_run("damaged", "the body does not match its digest"),
            )
        request = self._request_from(message, workload.pool, workload.run_s)
        send = state.dispatcher.admit(request, self._node.clock.now())
        if send is None:
            return self._reply(message.request_id, not_run(BUSY, "no free slot"))
        self.in_flight += 1
        try:
            outcome = await self._send(state, send)
        finally:
            self._count_request_end()
        self._node.log.detail(
            "peer-request",
            request=message.request_id,
            minion=send.minion,
            verdict=outcome.verdict.value,
        )
        return self._reply(message.request_id, outcome)

    def _request_from(
        self, message: RunRequest, pool: str, declared_s: float
    ) -> Request:
        now_s = self._node.clock.now()
        run_time = self._run_times.for_workload(message.workload, declared_s)
        return Request(
            request_id=message.request_id,
            workload=message.workload,
            team=message.team,
            pool=pool,
            arrived_s=now_s,
            deadline_s=now_s + message.deadline_s,
            estimate_s=run_time.mean_s,
            long=message.long_work,
            at_most_once=message.once,
            body=message.body,
            digest=message.digest,
            peer_id=message.news.member_id or "peer",
        )

    def _reply(self, request_id: str, outcome: Outcome) -> RunReply:
        reply = RunReply(
            request_id=request_id, verdict=outcome.verdict.value, news=self._node.news()
        )
        if isinstance(outcome, Answer):
            reply.body = outcome.body
            reply.digest = digest(outcome.body)
            reply.upstream = outcome.upstream
        else:
            reply.reason = outcome.reason
            reply.detail = outcome.detail
            reply.upstream = outcome.upstream
        return reply

    # Actions

    def _carry_out(self, state: _PoolState, actions: list[Action]) -> None:
        if state.dispatcher.waiting_count():
            self._request_queued.set()
        for action in actions:
            if isinstance(action, Send):
                self._node.spawn(self._send_own(state, action), "send")
            elif isinstance(action, Forward):
                self._node.spawn(self._forward(state, action), "forward")
            elif isinstance(action, Reject):
                self._resolve(action.request, action.failure)
            elif isinstance(action, SendNews):
                self._gossip.send_if_due(action.member_id)

    async def _send_own(self, state: _PoolState, action: Send) -> None:
        outcome = await self._send(state, action)
        self._retry_or_resolve(state, action.request, outcome)

    async def _send(self, state: _PoolState, action: Send) -> Outcome:
        """Send a request to an owned minion and return the outcome.

        Its slot is freed, unless the request may still be running.
        """
        request = action.request
        dispatcher = state.dispatcher
        minion = dispatcher.minions().get(action.minion)
        shard = state.shard_by_minion.get(action.minion, "")
        started_s = self._node.clock.now()
        waited_s = started_s - request.arrived_s
        if minion is None or not self._node.membership.owns(shard, minion.epoch):
            # Only the shard's current owner may send to the minion, so nothing was
            # sent.
            self._carry_out(
                state, dispatcher.release_slot(action.minion, request, started_s)
            )
            return not_run("not-owner", f"this host no longer owns {action.minion}")
        result = await self._call_minion(minion, request, started_s)
        now_s = self._node.clock.now()
        self._record_hop(request, now_s - started_s, "minion")
        if result.is_ok():
            run_s = now_s - started_s
            self._record_run_time(request, run_s)
            minion.leaving = minion.leaving or result.ok.leaving
            actions = dispatcher.complete_request(
                action.minion, request, run_s, True, now_s
            )
            self._carry_out(state, actions)
            return Answer(result.ok.body, action.minion, waited_s)
        return self._handle_failure(state, minion, request, result.error)

    async def _call_minion(
        self, minion: Minion, request: Request, now_s: float
    ) -> Result[MinionAnswer, Failure]:
        return await self._minions.run(
            MinionCall(
                address=minion.upstream.address,
                request_id=request.request_id,
                workload=request.workload,
                body=request.body,
                epoch=minion.epoch,
                timeout_s=max(0.001, request.deadline_s - now_s),
            )
        )

    def _handle_failure(
        self, state: _PoolState, minion: Minion, request: Request, failure: Failure
    ) -> Failure:
        now_s = self._node.clock.now()
        name = minion.name
        self._node.metrics.count("minion_failures_total", reason=failure.reason)
        self._node.log.event(
            "minion-failure",
            request=request.request_id,
            minion=name,
            reason=failure.reason,
        )
        answered = failure.reason.startswith("status-")
        if failure.verdict is Verdict.NOT_RUN or answered:
            actions = state.dispatcher.complete_request(
                name, request, None, False, now_s
            )
            self._carry_out(state, actions)
        else:
            state.dispatcher.record_failure(name, now_s)
            state.unsettled.setdefault(name, {})[request.request_id] = request
            self._node.spawn(self._settle(state, minion), f"settle-{name}")
        return Failure(failure.verdict, failure.reason, failure.detail, upstream=name)

    def _record_hop(self, request: Request, seconds: float, to: str) -> None:
        kind = "long" if request.long else "short"
        self._node.metrics.seconds("hop_seconds", seconds, to=to, cls=kind)

    def _record_run_time(self, request: Request, run_s: float) -> None:
        workload = self._node.objects.workloads.get(request.workload)
        if workload is not None:
            self._run_times.for_workload(request.workload, workload.run_s).record(run_s)

    async def _forward(self, state: _PoolState, action: Forward) -> None:
        request = action.request
        peer = self._node.membership.members("entry").get(action.member_id)
        outcome: Outcome = not_run(BUSY, "the peer is no longer a member")
        if peer is not None:
            outcome = await self._forward_to(peer.peer_address, request)
        if isinstance(outcome, Failure) and outcome.reason in (BUSY, "not-owner"):
            state.dispatcher.mark_peer_full(action.member_id)
            self._requeue_declined(state, request)
            return
        if isinstance(outcome, Failure) and outcome.verdict is Verdict.NOT_RUN:
            state.dispatcher.mark_peer_full(action.member_id)
        self._retry_or_resolve(state, request, outcome)

    async def _forward_to(self, address: str, request: Request) -> Outcome:
        started_s = self._node.clock.now()
        remaining_s = request.deadline_s - started_s
        message = RunRequest(
            request_id=request.request_id,
            workload=request.workload,
            team=request.team,
            long_work=request.long,
            deadline_s=remaining_s,
            body=request.body,
            digest=request.digest,
            once=request.at_most_once,
            news=self._node.news(),
        )
        result = await self._node.peers.call(
            address, "Run", message, remaining_s + HOP_ALLOWANCE_S
        )
        ended_s = self._node.clock.now()
        self._record_hop(request, ended_s - started_s, "peer")
        if result.is_error():
            return result.error
        self.receive_news(result.ok.news)
        return _outcome_from(result.ok, request, started_s - request.arrived_s)

    def _requeue_declined(self, state: _PoolState, request: Request) -> None:
        """Start a request that a peer declined, or queue it again.

        This does not count as an attempt.
        """
        self._node.metrics.count("declined_total")
        self._carry_out(
            state, state.dispatcher.requeue(request, self._node.clock.now())
        )

    def _retry_or_resolve(
        self, state: _PoolState, request: Request, outcome: Outcome
    ) -> None:
        """Retry a failed request if that is allowed, otherwise answer the caller."""
        if isinstance(outcome, Failure) and self._take_retry(request, outcome):
            self._node.metrics.count("retries_total")
            retry = request.next_attempt(outcome.verdict is Verdict.MAY_HAVE_RUN)
            self._carry_out(
                state, state.dispatcher.requeue(retry, self._node.clock.now())
            )
            return
        self._resolve(request, outcome)

    def _take_retry(self, request: Request, failure: Failure) -> bool:
        """Return whether to retry a failed request.

        If so, the retry is taken from the budget.
        """
        safe = failure.verdict is Verdict.NOT_RUN or not request.at_most_once
        if not safe or request.attempts + 1 >= MAX_ATTEMPTS:
            return False
        if request.misses_deadline(self._node.clock.now()):
            return False
        return self._retry_budget.spend()

    def _resolve(self, request: Request, outcome: Outcome) -> None:
        if request.may_have_run and outcome.verdict is Verdict.NOT_RUN:
            # The last attempt did not run, but an earlier one may have.
            outcome = may_have_run(
                outcome.reason,
                f"the outcome of an earlier attempt is unknown; {outcome.detail}",
            )
        if request.waiter is not None and not request.waiter.done():
            request.waiter.set_result(outcome)

    # Slots held by requests that may still run

    async def _settle(self, state: _PoolState, minion: Minion) -> None:
        """Ask a minion every ``SETTLE_INTERVAL_S`` which requests it runs.

        Ends when each busy slot belongs to a request that this process waits for, or
        when this process no longer owns the minion.
        """
        while state.dispatcher.minions().get(minion.name) is minion:
            shard = state.shard_by_minion.get(minion.name, "")
            if not self._node.membership.owns(shard, minion.epoch):
                return
            held = dict(state.unsettled.get(minion.name, {}))
            result = await self._minions.settle(
                minion.upstream.address, minion.epoch, sorted(held), SETTLE_TIMEOUT_S
            )
            if result.is_ok() and self._apply_running(state, minion, held, result.ok):
                return
            await asyncio.sleep(SETTLE_INTERVAL_S)

    def _apply_running(
        self,
        state: _PoolState,
        minion: Minion,
        held: dict[str, Request],
        running: frozenset[str],
    ) -> bool:
        """Free the slots of the unsettled requests that no longer run.

        Return whether each busy slot now belongs to a request that this process
        waits for.

        :param held: the unsettled requests that the minion was asked about.
        :param running: ids of all requests that run on the minion.
        """
        now_s = self._node.clock.now()
        unsettled = state.unsettled.get(minion.name, {})
        for request_id, request in held.items():
            if request_id not in running and unsettled.pop(request_id, None):
                self._carry_out(
                    state, state.dispatcher.release_slot(minion.name, request, now_s)
                )
        # This process's own requests hold a slot already. The others were sent by an
        # earlier owner, or ended while the report was on its way.
        minion.unattributed_busy = len(running - set(minion.request_by_id))
        self._carry_out(state, state.dispatcher.fill(now_s))
        return not minion.unattributed_busy and not unsettled

    # Load gossip

    def receive_news(self, news: News) -> None:
        """Apply a peer's load, and fetch its configuration when that is newer.

        A message that is older than the last one of that peer is ignored.
        """
        if not self._gossip.record_if_newer(news):
            return
        now_s = self._node.clock.now()
        for item in news.pools:
            state = self._state_by_pool.get(item.pool)
            if state is not None:
                load = load_from_message(item)
                self._carry_out(
                    state, state.dispatcher.receive_load(news.member_id, load, now_s)
                )
        if news.config_number > self._node.follower.active_version.number:
            self._node.spawn(self._node.config.receive_news(news), "config")

    async def run_gossip(self) -> None:
        """Send the load to every peer each half ``news_max_age_s``, until cancelled."""
        await self._gossip.run()

    def add_pool_loads(self, news: News) -> None:
        """Add the load of each pool to a message for peers."""
        for name, state in self._state_by_pool.items():
            news.pools.append(message_from_load(name, state.dispatcher.load()))


def _outcome_from(reply: RunReply, request: Request, waited_s: float) -> Outcome:
    if reply.request_id != request.request_id:
        return may_have_run("crossed", "the answer is for another request")
    if reply.verdict == Verdict.ANSWERED.value:
        if digest(reply.body) != reply.digest:
            return may_have_run("damaged", "the answer does not match its digest")
        return Answer(reply.body, reply.upstream, waited_s)
    return Failure(
        Verdict(reply.verdict), reply.reason, reply.detail, upstream=reply.upstream
    )
