"""The task that carries out routing: minions, peers, slots, retries and news."""

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
from redwingrun.gossip import NewsExchange, message_of, news_from
from redwingrun.httpclient import digest
from redwingrun.minions import MinionAnswer, MinionCall, MinionClient
from redwingrun.node import Node
from redwingrun.objects import MINIONS, Pool
from redwingrun.peer_pb2 import News, RunReply, RunRequest
from redwingrun.requests import Request
from redwingrun.retries import RetryBudget
from redwingrun.runtimes import RunTimes

BUSY = "busy"
SETTLE_INTERVAL_S = 0.2
SETTLE_TIMEOUT_S = 1.0
EXPIRE_INTERVAL_S = 0.01
# A peer gets a little more time than the work itself, to carry the answer back.
HOP_ALLOWANCE_S = 0.25

Outcome = Answer | Failure


@define
class _Route:
    """One pool's dispatcher and which shard each minion belongs to."""

    dispatcher: Dispatcher
    shard_by_minion: dict[str, str] = field(factory=dict)
    # Requests whose slot is held because their end is unknown, by minion.
    unsettled: dict[str, dict[str, Request]] = field(factory=dict)


class Router:
    """Owns the dispatchers and the sockets towards minions and peers."""

    def __init__(
        self,
        node: Node,
        minions: MinionClient,
        run_times: RunTimes,
        budget: RetryBudget,
    ):
        self._node = node
        self._settings: Settings = node.settings
        self._minions = minions
        self._run_times = run_times
        self._budget = budget
        self._route_by_pool: dict[str, _Route] = {}
        self._exchange = NewsExchange(node, self.receive_news)
        self.in_flight = 0
        self._ended = asyncio.Event()
        self._waits = asyncio.Event()

    # Ownership and objects

    def update(self) -> None:
        """Take changed ownership, members, objects or leaving hosts."""
        owned = self._node.membership.owned()
        pools = self._node.objects.pools.values()
        minion_pools = {pool.name: pool for pool in pools if pool.type == MINIONS}
        for pool in minion_pools.values():
            self._update_pool(pool, owned)
        for name in set(self._route_by_pool) - set(minion_pools):
            self._drop_pool(name)

    def _update_pool(self, pool: Pool, owned: dict[str, int]) -> None:
        route = self._route_by_pool.get(pool.name)
        if route is None:
            route = _Route(
                Dispatcher(
                    pool.name, self._settings.queue_limit, self._settings.news_max_age_s
                )
            )
            self._route_by_pool[pool.name] = route
        shares = {name: team.share for name, team in self._node.objects.teams.items()}
        route.dispatcher.set_shares(shares, pool.long_share)
        before = {name: item.epoch for name, item in route.dispatcher.minions().items()}
        route.dispatcher.set_minions(self._owned_minions(pool, owned, route))
        for name, minion in route.dispatcher.minions().items():
            minion.leaving = self._node.is_draining(name)
            if before.get(name) != minion.epoch:
                self._node.spawn(self._settle(route, minion), f"settle-{name}")
        route.dispatcher.keep_peers(self._exchange.peer_ids())
        self._act(route, route.dispatcher.fill(self._node.clock.now()))

    def _owned_minions(
        self, pool: Pool, owned: dict[str, int], route: _Route
    ) -> dict[str, Minion]:
        upstreams = pool.upstreams_by_name
        found = {}
        route.shard_by_minion = {}
        for shard, names in pool.shards().items():
            if shard not in owned:
                continue
            for name in names:
                # Until the minion says otherwise, an earlier owner's work fills it.
                slots = upstreams[name].slots
                found[name] = Minion(upstreams[name], owned[shard], foreign=slots)
                route.shard_by_minion[name] = shard
        return found

    def _drop_pool(self, name: str) -> None:
        route = self._route_by_pool.pop(name)
        for request in route.dispatcher.drain():
            self._resolve(request, not_run("pool-gone", f"pool {name} was removed"))

    # Requests from callers

    async def run(self, request: Request) -> Outcome:
        """Run a caller's request to its outcome."""
        route = self._route_by_pool.get(request.pool)
        if route is None:
            return not_run("no-pool", f"pool {request.pool} is not known here yet")
        request.waiter = asyncio.get_running_loop().create_future()
        self._budget.earned()
        self.in_flight += 1
        try:
            kind = "long" if request.long else "short"
            with self._node.metrics.timed("decision_seconds", cls=kind):
                actions = route.dispatcher.submit(request, self._node.clock.now())
            self._act(route, actions)
            return await request.waiter
        finally:
            self._left()

    def _left(self) -> None:
        self.in_flight -= 1
        self._ended.set()

    async def wait_until_idle(self) -> None:
        """Wait until nothing is in flight."""
        while self.in_flight:
            self._ended.clear()
            await self._ended.wait()

    def cancel(self, request: Request) -> bool:
        """Cancel a request that still waits here; false when it was sent."""
        route = self._route_by_pool.get(request.pool)
        if route is None or not route.dispatcher.cancel(request):
            return False
        self._resolve(request, not_run("cancelled", "cancelled while it waited"))
        return True

    def refuse_waiting(self) -> None:
        """Refuse everything that waits; for a stop."""
        for route in self._route_by_pool.values():
            for request in route.dispatcher.drain():
                self._resolve(request, not_run("stopping", "this host is stopping"))

    def waiting(self) -> int:
        """Return how many requests wait here."""
        return sum(route.dispatcher.waiting() for route in self._route_by_pool.values())

    def ejected(self) -> list[str]:
        """Return the minions that are out for their failures."""
        found = []
        for route in self._route_by_pool.values():
            found.extend(route.dispatcher.ejector.ejected())
        return found

    async def expire(self) -> None:
        """Refuse in time what can't be answered in time, until cancelled."""
        while True:
            if not self.waiting():
                # Idle hosts must not wake a hundred times a second.
                self._waits.clear()
                await self._waits.wait()
            await asyncio.sleep(EXPIRE_INTERVAL_S)
            now_s = self._node.clock.now()
            for route in self._route_by_pool.values():
                if route.dispatcher.waiting():
                    self._act(route, route.dispatcher.expire(now_s))
                    # Ejections end by time alone, without an event.
                    self._act(route, route.dispatcher.fill(now_s))

    # Requests from peers

    async def run_for_peer(self, message: RunRequest) -> RunReply:
        """Run a peer's request if a slot is free now, else decline it."""
        objects = self._node.objects
        workload = objects.workloads.get(message.workload)
        route = self._route_by_pool.get(workload.pool) if workload else None
        if route is None:
            return self._reply(
                message.request_id, not_run(BUSY, "the pool is not known here")
            )
        if digest(message.body) != message.digest:
            return self._reply(message.request_id, not_run("damaged", "wrong digest"))
        request = self._request_of(message, workload.pool, workload.run_s)
        send = route.dispatcher.admit(request, self._node.clock.now())
        if send is None:
            return self._reply(message.request_id, not_run(BUSY, "no free slot"))
        self.in_flight += 1
        try:
            outcome = await self._send(route, send)
        finally:
            self._left()
        self._node.log.detail(
            "peer-request",
            request=message.request_id,
            minion=send.minion,
            verdict=outcome.verdict.value,
        )
        return self._reply(message.request_id, outcome)

    def _request_of(self, message: RunRequest, pool: str, declared_s: float) -> Request:
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
            once=message.once,
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

    def _act(self, route: _Route, actions: list[Action]) -> None:
        if route.dispatcher.waiting():
            self._waits.set()
        for action in actions:
            if isinstance(action, Send):
                self._node.spawn(self._send_own(route, action), "send")
            elif isinstance(action, Forward):
                self._node.spawn(self._forward(route, action), "forward")
            elif isinstance(action, Reject):
                self._resolve(action.request, action.failure)
            elif isinstance(action, SendNews):
                self._exchange.tell_soon(action.member_id)

    async def _send_own(self, route: _Route, action: Send) -> None:
        outcome = await self._send(route, action)
        self._settled(route, action.request, outcome)

    async def _send(self, route: _Route, action: Send) -> Outcome:
        """Send to a minion of ours and free or hold its slot."""
        request = action.request
        dispatcher = route.dispatcher
        minion = dispatcher.minions().get(action.minion)
        shard = route.shard_by_minion.get(action.minion, "")
        started_s = self._node.clock.now()
        waited_s = started_s - request.arrived_s
        if minion is None or not self._node.membership.owns(shard, minion.epoch):
            # Nothing was sent; the slot belongs to whoever owns the shard now.
            self._act(route, dispatcher.released(action.minion, request, started_s))
            return not_run("not-owner", f"this host no longer owns {action.minion}")
        result = await self._call(minion, request, started_s)
        now_s = self._node.clock.now()
        self._hop(request, now_s - started_s, "minion")
        if result.is_ok():
            run_s = now_s - started_s
            self._learn(request, run_s)
            minion.leaving = minion.leaving or result.ok.leaving
            done = dispatcher.complete_request(
                action.minion, request, run_s, True, now_s
            )
            self._act(route, done)
            return Answer(result.ok.body, action.minion, waited_s)
        return self._send_failed(route, minion, request, result.error)

    async def _call(
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

    def _send_failed(
        self, route: _Route, minion: Minion, request: Request, failure: Failure
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
            done = route.dispatcher.complete_request(name, request, None, False, now_s)
            self._act(route, done)
        else:
            route.dispatcher.failed(name, now_s)
            route.unsettled.setdefault(name, {})[request.request_id] = request
            self._node.spawn(self._settle(route, minion), f"settle-{name}")
        return Failure(failure.verdict, failure.reason, failure.detail, upstream=name)

    def _hop(self, request: Request, seconds: float, to: str) -> None:
        kind = "long" if request.long else "short"
        self._node.metrics.seconds("hop_seconds", seconds, to=to, cls=kind)

    def _learn(self, request: Request, run_s: float) -> None:
        workload = self._node.objects.workloads.get(request.workload)
        if workload is not None:
            self._run_times.for_workload(request.workload, workload.run_s).record(run_s)

    async def _forward(self, route: _Route, action: Forward) -> None:
        request = action.request
        peer = self._node.membership.members("entry").get(action.member_id)
        outcome: Outcome = not_run(BUSY, "the peer is gone")
        if peer is not None:
            outcome = await self._forward_to(peer.peer_address, request)
        if isinstance(outcome, Failure) and outcome.reason in (BUSY, "not-owner"):
            route.dispatcher.mark_peer_full(action.member_id)
            self._return(route, request)
            return
        if isinstance(outcome, Failure) and outcome.verdict is Verdict.NOT_RUN:
            route.dispatcher.mark_peer_full(action.member_id)
        self._settled(route, request, outcome)

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
            once=request.once,
            news=self._node.news(),
        )
        result = await self._node.peers.call(
            address, "Run", message, remaining_s + HOP_ALLOWANCE_S
        )
        ended_s = self._node.clock.now()
        self._hop(request, ended_s - started_s, "peer")
        if result.is_error():
            return result.error
        self.receive_news(result.ok.news)
        return _outcome_of(result.ok, request, started_s - request.arrived_s)

    def _return(self, route: _Route, request: Request) -> None:
        """Place a request again that nobody counts as an attempt."""
        self._node.metrics.count("declined_total")
        self._act(route, route.dispatcher.requeue(request, self._node.clock.now()))

    def _settled(self, route: _Route, request: Request, outcome: Outcome) -> None:
        """Answer the caller, or try again when that is safe and affordable."""
        if isinstance(outcome, Failure) and self._may_retry(request, outcome):
            self._node.metrics.count("retries_total")
            again = request.next_attempt(outcome.verdict is Verdict.MAY_HAVE_RUN)
            self._act(route, route.dispatcher.requeue(again, self._node.clock.now()))
            return
        self._resolve(request, outcome)

    def _may_retry(self, request: Request, failure: Failure) -> bool:
        safe = failure.verdict is Verdict.NOT_RUN or not request.once
        if not safe or request.attempts + 1 >= MAX_ATTEMPTS:
            return False
        if request.hopeless(self._node.clock.now()):
            return False
        return self._budget.spend()

    def _resolve(self, request: Request, outcome: Outcome) -> None:
        if request.may_have_run and outcome.verdict is Verdict.NOT_RUN:
            # The last try did not run, but an earlier one may have.
            outcome = may_have_run(
                outcome.reason, f"an earlier try is unknown; {outcome.detail}"
            )
        if request.waiter is not None and not request.waiter.done():
            request.waiter.set_result(outcome)

    # Slots whose holder is unknown

    async def _settle(self, route: _Route, minion: Minion) -> None:
        """Ask the minion until no slot is held by work that we can't see."""
        while route.dispatcher.minions().get(minion.name) is minion:
            shard = route.shard_by_minion.get(minion.name, "")
            if not self._node.membership.owns(shard, minion.epoch):
                return
            held = dict(route.unsettled.get(minion.name, {}))
            result = await self._minions.settle(
                minion.upstream.address, minion.epoch, sorted(held), SETTLE_TIMEOUT_S
            )
            if result.is_ok() and self._take_report(route, minion, held, result.ok):
                return
            await asyncio.sleep(SETTLE_INTERVAL_S)

    def _take_report(
        self,
        route: _Route,
        minion: Minion,
        held: dict[str, Request],
        running: frozenset[str],
    ) -> bool:
        now_s = self._node.clock.now()
        unsettled = route.unsettled.get(minion.name, {})
        for request_id, request in held.items():
            if request_id not in running and unsettled.pop(request_id, None):
                self._act(route, route.dispatcher.released(minion.name, request, now_s))
        # Ours are counted already; whatever else runs is an earlier owner's.
        minion.foreign = len(running - set(minion.busy))
        self._act(route, route.dispatcher.fill(now_s))
        return not minion.foreign and not unsettled

    # News

    def receive_news(self, news: News) -> None:
        """Take a peer's news; older ones than the last are void."""
        if not self._exchange.is_new(news):
            return
        now_s = self._node.clock.now()
        for item in news.pools:
            route = self._route_by_pool.get(item.pool)
            if route is not None:
                told = news_from(item)
                self._act(
                    route, route.dispatcher.receive_news(news.member_id, told, now_s)
                )
        if news.config_number > self._node.follower.active_version.number:
            self._node.spawn(self._node.config.receive_news(news), "config")

    async def tell_all(self) -> None:
        """Tell every peer now and then, until cancelled."""
        await self._exchange.tell_all()

    def add_news(self, news: News) -> None:
        """Add what we tell of each pool."""
        for name, route in self._route_by_pool.items():
            news.pools.append(message_of(name, route.dispatcher.news()))


def _outcome_of(reply: RunReply, request: Request, waited_s: float) -> Outcome:
    if reply.request_id != request.request_id:
        return may_have_run("crossed", "the answer is for another request")
    if reply.verdict == Verdict.ANSWERED.value:
        if digest(reply.body) != reply.digest:
            return may_have_run("damaged", "the answer does not match its digest")
        return Answer(reply.body, reply.upstream, waited_s)
    return Failure(
        Verdict(reply.verdict), reply.reason, reply.detail, upstream=reply.upstream
    )
