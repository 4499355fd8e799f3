"""Routing of short requests: late binding, pushes to peers, and news of free slots.

The dispatcher does no input or output: it takes events and returns the actions
that the entry daemon carries out. One dispatcher serves one pool of minions.
"""

from __future__ import annotations

from attrs import define, field, frozen

from redwingrun.choosers import Candidate, Chooser, FastestFree
from redwingrun.coordination.verdict import Failure, not_run
from redwingrun.ejection import Ejector
from redwingrun.fairqueue import FairQueue
from redwingrun.objects import Upstream
from redwingrun.requests import Request
from redwingrun.runtimes import Speed

MAX_ATTEMPTS = 3
# A peer's minion must be this much faster than a free one here to be worth the hop.
REMOTE_SPEED_GAIN = 1.3
RATE_WEIGHT = 0.1
# Until starts were seen, nothing is refused for its expected waiting time.
MIN_RATE_SAMPLES = 50


@frozen
class Send:
    """Send a request to one of our minions now."""

    request: Request
    minion: str


@frozen
class Forward:
    """Hand a request to a peer that is known to have a free slot."""

    request: Request
    member_id: str


@frozen
class Reject:
    """Tell the caller that the request did not run."""

    request: Request
    failure: Failure


@frozen
class SendNews:
    """Send our news to a peer now."""

    member_id: str


Action = Send | Forward | Reject | SendNews


@frozen
class PoolNews:
    """What one member tells others about a pool.

    :param speed: of its fastest free minion.
    """

    free_short: int = 0
    free_long: int = 0
    waiting_short: int = 0
    waiting_long: int = 0
    speed: float = 1.0


@define
class Minion:
    """What the owner knows of one minion.

    :param busy: the requests that hold a slot, by id.
    :param long_busy: how many of them are long.
    :param foreign: slots that an earlier owner's work may still hold.
    """

    upstream: Upstream
    epoch: int
    busy: dict[str, Request] = field(factory=dict)
    long_busy: int = 0
    foreign: int = 0
    leaving: bool = False
    speed: Speed = field(factory=Speed)

    @property
    def name(self) -> str:
        """The minion's name."""
        return self.upstream.name

    def free_slots(self) -> int:
        """Return the slots that are certainly free."""
        return max(0, self.upstream.slots - len(self.busy) - self.foreign)

    def free_for(self, long: bool, long_share: float) -> int:
        """Return the free slots that a class of work may take."""
        free_slots = self.free_slots()
        if not long:
            return free_slots
        cap = int(self.upstream.slots * long_share)
        return max(0, min(free_slots, cap - self.long_busy))


@define
class _Peer:
    news: PoolNews
    heard_s: float
    free_short: int
    free_long: int

    def free_slots(self, long: bool) -> int:
        return self.free_long if long else self.free_short

    def take(self, long: bool) -> None:
        self.free_short = max(0, self.free_short - 1)
        self.free_long = max(0, self.free_long - (1 if long else 0))

    def waiting(self) -> int:
        return self.news.waiting_short + self.news.waiting_long


@define
class Dispatcher:
    """The routing of one pool in one entry process.

    :param queue_limit: requests that may wait here.
    :param news_max_age_s: age at which a peer's news is void.
    :param long_share: share of each minion's slots open to long work.
    """

    pool: str
    queue_limit: int
    news_max_age_s: float
    long_share: float = 0.75
    chooser: Chooser = field(factory=FastestFree)
    ejector: Ejector = field(factory=Ejector)
    _minion_by_name: dict[str, Minion] = field(factory=dict)
    _short: FairQueue = field(factory=FairQueue)
    _long: FairQueue = field(factory=FairQueue)
    _peer_by_id: dict[str, _Peer] = field(factory=dict)
    _hungry: dict[str, bool] = field(factory=dict)
    _drain_s: float = 0.0
    _starts: int = 0
    _last_start_s: float = 0.0

    # Ownership

    def set_minions(self, minions: dict[str, Minion]) -> None:
        """Take the minions that this process owns now.

        A minion that it owned before under the same epoch keeps its state.
        """
        kept = {}
        for name, minion in minions.items():
            old = self._minion_by_name.get(name)
            same = old is not None and old.epoch == minion.epoch
            if same:
                old.upstream = minion.upstream
            kept[name] = old if same else minion
        self._minion_by_name = kept
        self.ejector.keep_only(set(kept))

    def minions(self) -> dict[str, Minion]:
        """Return the minions owned now, by name."""
        return self._minion_by_name

    def set_shares(self, share_by_team: dict[str, float], long_share: float) -> None:
        """Take the weights of the teams and the long share of the pool."""
        self._short.share_by_team = share_by_team
        self._long.share_by_team = share_by_team
        self.long_share = long_share

    # Requests

    def submit(self, request: Request, now_s: float) -> list[Action]:
        """Take a request that arrived here from a caller."""
        action = self._place(request, now_s)
        if action is not None:
            return [action]
        refusal = self._refusal(request, now_s)
        if refusal is not None:
            return [Reject(request, refusal)]
        return self._enqueue(request)

    def _enqueue(self, request: Request) -> list[Action]:
        queue = self._queue(request.long)
        actions: list[Action] = []
        if self.waiting() >= self.queue_limit:
            evicted = queue.evict_for(request.team)
            if evicted is None:
                return [Reject(request, self._full())]
            actions.append(Reject(evicted, self._full()))
        if not self.waiting():
            # Owners learn on the edge that somebody waits here.
            actions.extend(SendNews(peer) for peer in self._peer_by_id)
        queue.push(request)
        return actions

    def _full(self) -> Failure:
        return not_run("queue-full", f"{self.queue_limit} requests wait already")

    def admit(self, request: Request, now_s: float) -> Send | None:
        """Take a peer's request if a slot is free now; it never waits here."""
        return self._send_here(request, now_s)

    def requeue(self, request: Request, now_s: float) -> list[Action]:
        """Take back a request that did not run at a peer or minion."""
        if request.hopeless(now_s):
            return [Reject(request, _too_late())]
        action = self._place(request, now_s)
        if action is not None:
            return [action]
        self._queue(request.long).push_back(request)
        return []

    def cancel(self, request: Request) -> bool:
        """Take a request out of the queue; false when it does not wait here."""
        return self._queue(request.long).remove(request)

    def complete_request(
        self, name: str, request: Request, run_s: float | None, ok: bool, now_s: float
    ) -> list[Action]:
        """Free a slot after an answer, or a certain *not run*.

        :param run_s: measured run time, ``None`` when there is none to learn from.
        """
        minion = self._minion_by_name.get(name)
        self.ejector.record(name, ok, now_s)
        if minion is not None and run_s is not None:
            minion.speed.record(run_s, request.estimate_s)
        return self.released(name, request, now_s)

    def released(self, name: str, request: Request, now_s: float) -> list[Action]:
        """Free a slot without an outcome to learn from."""
        minion = self._minion_by_name.get(name)
        if minion is None or minion.busy.pop(request.request_id, None) is None:
            return []
        minion.long_busy -= 1 if request.long else 0
        return self.fill(now_s)

    def failed(self, name: str, now_s: float) -> None:
        """Note a failure whose slot is still held: its work may be running."""
        self.ejector.record(name, False, now_s)

    def fill(self, now_s: float) -> list[Action]:
        """Give free slots to what waits: here first, then at hungry peers."""
        actions: list[Action] = []
        for queue in (self._short, self._long):
            actions.extend(self._fill_from(queue, now_s))
        if not self.waiting() and self._free(long=False):
            actions.extend(self._invite())
        return actions

    def expire(self, now_s: float) -> list[Action]:
        """Refuse what can't be answered in time any more."""
        late = self._short.expire(now_s) + self._long.expire(now_s)
        return [Reject(request, _too_late()) for request in late]

    def drain(self) -> list[Request]:
        """Take out everything that waits."""
        taken = []
        for queue in (self._short, self._long):
            while (request := queue.pop()) is not None:
                taken.append(request)
        return taken

    # News

    def news(self) -> PoolNews:
        """Return what to tell the peers."""
        best = max((item.speed for item in self._candidates(False, 0.0)), default=0.0)
        return PoolNews(
            free_short=self._free(long=False),
            free_long=self._free(long=True),
            waiting_short=len(self._short),
            waiting_long=len(self._long),
            speed=best,
        )

    def receive_news(
        self, member_id: str, news: PoolNews, now_s: float
    ) -> list[Action]:
        """Take a peer's news, and push what waits here to its free slots."""
        self._peer_by_id[member_id] = _Peer(
            news, now_s, news.free_short, news.free_long
        )
        self._hungry[member_id] = bool(news.waiting_short or news.waiting_long)
        if not self.waiting():
            return self._invite() if self._hungry[member_id] else []
        return self.fill(now_s)

    def mark_peer_full(self, member_id: str) -> None:
        """Note that a peer had no free slot after all."""
        peer = self._peer_by_id.get(member_id)
        if peer is not None:
            peer.free_short = 0
            peer.free_long = 0

    def keep_peers(self, member_ids: set[str]) -> None:
        """Forget peers that are gone."""
        self._peer_by_id = {
            key: peer for key, peer in self._peer_by_id.items() if key in member_ids
        }
        self._hungry = {
            key: flag for key, flag in self._hungry.items() if key in member_ids
        }

    def waiting(self) -> int:
        """Return how many requests wait here."""
        return len(self._short) + len(self._long)

    # Helpers

    def _queue(self, long: bool) -> FairQueue:
        return self._long if long else self._short

    def _place(self, request: Request, now_s: float) -> Action | None:
        queue = self._queue(request.long)
        if len(queue) and request.attempts == 0:
            # Nobody overtakes what waits already.
            return None
        peer_id = self._fast_peer(request, now_s)
        if peer_id is None:
            send = self._send_here(request, now_s)
            if send is not None:
                return send
            peer_id = self._free_peer(request, now_s)
        if peer_id is None:
            return None
        return self._forward(request, peer_id, now_s)

    def _forward(self, request: Request, peer_id: str, now_s: float) -> Forward:
        self._peer_by_id[peer_id].take(request.long)
        self._started(now_s)
        return Forward(request, peer_id)

    def _send_here(self, request: Request, now_s: float) -> Send | None:
        candidates = self._candidates(request.long, now_s)
        if not candidates:
            return None
        chosen = self.chooser.choose(candidates)
        minion = self._minion_by_name[chosen.name]
        minion.busy[request.request_id] = request
        minion.long_busy += 1 if request.long else 0
        self.ejector.sent(chosen.name)
        if not request.peer_id:
            self._started(now_s)
        return Send(request, chosen.name)

    def _candidates(self, long: bool, now_s: float) -> list[Candidate]:
        found = []
        for minion in self._minion_by_name.values():
            if minion.leaving or not minion.free_for(long, self.long_share):
                continue
            if not self.ejector.usable(minion.name, now_s):
                continue
            busy = minion.upstream.slots - minion.free_slots()
            found.append(
                Candidate(minion.name, busy, minion.upstream.slots, minion.speed.value)
            )
        return found

    def _free(self, long: bool) -> int:
        return sum(
            minion.free_for(long, self.long_share)
            for minion in self._minion_by_name.values()
            if not minion.leaving
        )

    def _fresh_peers(self, long: bool, now_s: float) -> list[tuple[float, str]]:
        return [
            (peer.news.speed, member_id)
            for member_id, peer in self._peer_by_id.items()
            if peer.free_slots(long) and now_s - peer.heard_s <= self.news_max_age_s
        ]

    def _free_peer(self, request: Request, now_s: float) -> str | None:
        fresh = self._fresh_peers(request.long, now_s)
        return max(fresh)[1] if fresh else None

    def _fast_peer(self, request: Request, now_s: float) -> str | None:
        fresh = self._fresh_peers(request.long, now_s)
        if not fresh:
            return None
        speed, member_id = max(fresh)
        here = max(
            (item.speed for item in self._candidates(request.long, now_s)), default=0.0
        )
        return member_id if here and speed > here * REMOTE_SPEED_GAIN else None

    def _fill_from(self, queue: FairQueue, now_s: float) -> list[Action]:
        actions: list[Action] = []
        while len(queue):
            request = queue.pop()
            if request.hopeless(now_s):
                actions.append(Reject(request, _too_late()))
                continue
            action = self._send_here(request, now_s)
            if action is None:
                peer_id = self._free_peer(request, now_s)
                if peer_id is None:
                    queue.push_back(request)
                    break
                action = self._forward(request, peer_id, now_s)
            actions.append(action)
        return actions

    def _invite(self) -> list[Action]:
        hungry = [key for key, waits in self._hungry.items() if waits]
        if not hungry:
            return []
        # One peer at a time: telling all would bring them all to one slot.
        chosen = max(hungry, key=lambda key: self._peer_by_id[key].waiting())
        self._hungry[chosen] = False
        return [SendNews(chosen)]

    def _refusal(self, request: Request, now_s: float) -> Failure | None:
        if request.hopeless(now_s):
            return _too_late()
        wait_s = self.expected_wait_s(request)
        if now_s + wait_s + request.p99_estimate_s > request.deadline_s:
            return not_run("too-busy", f"would wait about {wait_s:.3f} s")
        return None

    def expected_wait_s(self, request: Request) -> float:
        """Return how long a request would wait that joined its team's lane now."""
        if self._starts < MIN_RATE_SAMPLES:
            return 0.0
        queue = self._queue(request.long)
        ahead = queue.waiting(request.team) / queue.share_of(request.team)
        return min(ahead, self.waiting()) * self._drain_s

    def _started(self, now_s: float) -> None:
        # Time between starts, averaged only while somebody waits: an idle
        # stretch says nothing about how fast a queue drains.
        if self.waiting() and self._starts:
            gap_s = now_s - self._last_start_s
            self._drain_s += RATE_WEIGHT * (gap_s - self._drain_s)
        self._starts += 1
        self._last_start_s = now_s


def _too_late() -> Failure:
    return not_run("deadline", "no start in time to answer before the deadline")
