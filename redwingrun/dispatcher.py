"""Routes one pool's quick requests to minions with a free slot, here or at a peer.

A request is bound to a minion only when a slot is free; until then it waits in a
queue of the entry process that received it. The dispatcher does no input or output:
it receives events and returns the actions that the router carries out.
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
# A peer's minion must be more than this many times as fast as a free local one to be
# worth the hop.
MIN_PEER_SPEED_RATIO = 1.3
# Weight of the newest interval between two starts in their moving average.
START_INTERVAL_WEIGHT = 0.1
# With fewer starts the average is unreliable, and no request is rejected for its
# expected waiting time.
MIN_STARTS_TO_PREDICT = 50


@frozen
class Send:
    """Send a request to a minion that this process owns."""

    request: Request
    minion: str


@frozen
class Forward:
    """Forward a request to a peer that reported a free slot."""

    request: Request
    member_id: str


@frozen
class Reject:
    """Report to the caller that the request did not run."""

    request: Request
    failure: Failure


@frozen
class SendNews:
    """Send the load of this process to a peer.

    It is not sent when a call to that peer was in flight within the last
    ``news_interval_s``.
    """

    member_id: str


Action = Send | Forward | Reject | SendNews


@frozen
class PoolLoad:
    """One member's load in a pool, as it is sent to the other members.

    :param free_short: free slots for short requests, ejected minions' slots included.
    :param free_long: the same for long requests.
    :param waiting_short: queued short requests.
    :param waiting_long: queued long requests.
    :param speed: relative speed of the fastest minion that has a free slot and is not
        ejected, 0 when there is none.
    """

    free_short: int = 0
    free_long: int = 0
    waiting_short: int = 0
    waiting_long: int = 0
    speed: float = 1.0


@define
class Minion:
    """State of one minion in the process that owns it.

    :param epoch: ownership epoch of the minion's shard.
    :param request_by_id: requests that hold a slot, by request id.
    :param long_count: how many of them are long.
    :param unattributed_busy: slots that requests of an earlier owner may still hold.
    :param leaving: whether the minion must get no new requests.
    """

    upstream: Upstream
    epoch: int
    request_by_id: dict[str, Request] = field(factory=dict)
    long_count: int = 0
    unattributed_busy: int = 0
    leaving: bool = False
    speed: Speed = field(factory=Speed)

    @property
    def name(self) -> str:
        """The minion's name."""
        return self.upstream.name

    def free_slots(self) -> int:
        """Return the number of slots that are certainly free."""
        return max(
            0, self.upstream.slots - len(self.request_by_id) - self.unattributed_busy
        )

    def free_slots_for(self, long: bool, long_share: float) -> int:
        """Return the number of free slots that a request may use.

        :param long: whether the request is long.
        :param long_share: share of the slots that long requests may use.
        """
        free_slots = self.free_slots()
        if not long:
            return free_slots
        long_limit = int(self.upstream.slots * long_share)
        return max(0, min(free_slots, long_limit - self.long_count))


@define
class _Peer:
    """The load that a peer reported last.

    :param free_short: reported free slots, less the requests forwarded since.
    :param free_long: the same for long requests.
    """

    load: PoolLoad
    received_s: float
    free_short: int
    free_long: int

    def free_slots(self, long: bool) -> int:
        return self.free_long if long else self.free_short

    def use_slot(self, long: bool) -> None:
        self.free_short = max(0, self.free_short - 1)
        self.free_long = max(0, self.free_long - (1 if long else 0))

    def waiting_count(self) -> int:
        return self.load.waiting_short + self.load.waiting_long


@define
class Dispatcher:
    """The routing of one pool in one entry process.

    :param queue_limit: maximum number of queued requests, short and long together.
    :param news_max_age_s: age above which the free slots that a peer reported are not
        used.
    :param long_share: share of each minion's slots that long requests may use.
    """

    pool: str
    queue_limit: int
    news_max_age_s: float
    long_share: float = 0.75
    chooser: Chooser = field(factory=FastestFree)
    ejector: Ejector = field(factory=Ejector)
    _minion_by_name: dict[str, Minion] = field(factory=dict)
    _short_queue: FairQueue = field(factory=FairQueue)
    _long_queue: FairQueue = field(factory=FairQueue)
    _peer_by_id: dict[str, _Peer] = field(factory=dict)
    # Whether a peer reported queued requests, and free slots were not reported to it
    # since.
    _has_backlog_by_peer: dict[str, bool] = field(factory=dict)
    _start_interval_s: float = 0.0
    _start_count: int = 0
    _last_start_s: float = 0.0

    # Ownership

    def set_minions(self, minions: dict[str, Minion]) -> None:
        """Set the minions that this process owns now.

        A minion that it already owned under the same epoch keeps its state.
        """
        owned = {}
        for name, minion in minions.items():
            old = self._minion_by_name.get(name)
            same = old is not None and old.epoch == minion.epoch
            if same:
                old.upstream = minion.upstream
            owned[name] = old if same else minion
        self._minion_by_name = owned
        self.ejector.set_minions(set(owned))

    def minions(self) -> dict[str, Minion]:
        """Return the minions that this process owns, by name."""
        return self._minion_by_name

    def set_weights(self, weight_by_team: dict[str, float], long_share: float) -> None:
        """Set the weights of the teams and the pool's share for long requests."""
        self._short_queue.weight_by_team = weight_by_team
        self._long_queue.weight_by_team = weight_by_team
        self.long_share = long_share

    # Requests

    def submit(self, request: Request, now_s: float) -> list[Action]:
        """Start, queue or reject a request that a caller sent to this process."""
        action = self._assign(request, now_s)
        if action is not None:
            return [action]
        rejection = self._rejection(request, now_s)
        if rejection is not None:
            return [Reject(request, rejection)]
        return self._enqueue(request)

    def _enqueue(self, request: Request) -> list[Action]:
        queue = self._queue(request.long)
        actions: list[Action] = []
        if self.waiting_count() >= self.queue_limit:
            evicted = queue.evict_for(request.team)
            if evicted is None:
                return [Reject(request, self._queue_full_failure())]
            actions.append(Reject(evicted, self._queue_full_failure()))
        if not self.waiting_count():
            # Report to the peers that a queue has formed here, without waiting for the
            # next periodic message.
            actions.extend(SendNews(peer) for peer in self._peer_by_id)
        queue.push(request)
        return actions

    def _queue_full_failure(self) -> Failure:
        return not_run(
            "queue-full",
            f"the queue of pool {self.pool} is full with {self.queue_limit} requests",
        )

    def admit(self, request: Request, now_s: float) -> Send | None:
        """Start a peer's request if a slot is free; it is never queued here."""
        return self._start_locally(request, now_s)

    def requeue(self, request: Request, now_s: float) -> list[Action]:
        """Start a request that a peer declined, or the retry of a failed one.

        When it can't start now it is put at the front of its queue; when it would
        miss its deadline it is rejected.
        """
        if request.misses_deadline(now_s):
            return [Reject(request, _deadline_failure())]
        action = self._assign(request, now_s)
        if action is not None:
            return [action]
        self._queue(request.long).push_front(request)
        return []

    def cancel(self, request: Request) -> bool:
        """Remove a request from its queue; return whether it was queued."""
        return self._queue(request.long).remove(request)

    def complete_request(
        self,
        minion_name: str,
        request: Request,
        run_s: float | None,
        ok: bool,
        now_s: float,
    ) -> list[Action]:
        """Record the outcome of a request at a minion, and free its slot.

        The minion has answered, perhaps with an error, or the request certainly did
        not run. Queued requests are started on the free slots.

        :param minion_name: the minion that it was sent to.
        :param run_s: measured run time, ``None`` when it is not to be recorded.
        :param ok: whether the minion answered without a failure.
        """
        minion = self._minion_by_name.get(minion_name)
        self.ejector.record(minion_name, ok, now_s)
        if minion is not None and run_s is not None:
            minion.speed.record(run_s, request.estimate_s)
        return self.release_slot(minion_name, request, now_s)

    def release_slot(
        self, minion_name: str, request: Request, now_s: float
    ) -> list[Action]:
        """Free a request's slot without recording an outcome for its minion."""
        minion = self._minion_by_name.get(minion_name)
        if minion is None or minion.request_by_id.pop(request.request_id, None) is None:
            return []
        minion.long_count -= 1 if request.long else 0
        return self.fill(now_s)

    def record_failure(self, minion_name: str, now_s: float) -> None:
        """Record a failure without freeing the slot: the request may be running."""
        self.ejector.record(minion_name, False, now_s)

    def fill(self, now_s: float) -> list[Action]:
        """Start queued requests; with none left, report free slots to a peer."""
        actions: list[Action] = []
        for queue in (self._short_queue, self._long_queue):
            actions.extend(self._start_queued(queue, now_s))
        if not self.waiting_count() and self._total_free_slots(long=False):
            actions.extend(self._report_free_slots())
        return actions

    def expire(self, now_s: float) -> list[Action]:
        """Reject the queued requests that would miss their deadline."""
        expired = self._short_queue.expire(now_s) + self._long_queue.expire(now_s)
        return [Reject(request, _deadline_failure()) for request in expired]

    def remove_all(self) -> list[Request]:
        """Remove and return all queued requests."""
        removed = []
        for queue in (self._short_queue, self._long_queue):
            while (request := queue.pop()) is not None:
                removed.append(request)
        return removed

    # Load of this process and its peers

    def load(self) -> PoolLoad:
        """Return the load to send to the peers."""
        # At time 0 no probe is due, so the speed of an ejected minion does not count.
        best = max((item.speed for item in self._candidates(False, 0.0)), default=0.0)
        return PoolLoad(
            free_short=self._total_free_slots(long=False),
            free_long=self._total_free_slots(long=True),
            waiting_short=len(self._short_queue),
            waiting_long=len(self._long_queue),
            speed=best,
        )

    def receive_load(
        self, member_id: str, load: PoolLoad, now_s: float
    ) -> list[Action]:
        """Record a peer's load, and start queued requests here or at a peer.

        When no request is queued here but some are at this peer, report the load here
        to the peer with the most queued requests.
        """
        self._peer_by_id[member_id] = _Peer(
            load, now_s, load.free_short, load.free_long
        )
        self._has_backlog_by_peer[member_id] = bool(
            load.waiting_short or load.waiting_long
        )
        if not self.waiting_count():
            return (
                self._report_free_slots()
                if self._has_backlog_by_peer[member_id]
                else []
            )
        return self.fill(now_s)

    def mark_peer_full(self, member_id: str) -> None:
        """Treat a peer as having no free slot until it reports its load again."""
        peer = self._peer_by_id.get(member_id)
        if peer is not None:
            peer.free_short = 0
            peer.free_long = 0

    def retain_peers(self, member_ids: set[str]) -> None:
        """Drop the state of all peers but these."""
        self._peer_by_id = {
            key: peer for key, peer in self._peer_by_id.items() if key in member_ids
        }
        self._has_backlog_by_peer = {
            key: flag
            for key, flag in self._has_backlog_by_peer.items()
            if key in member_ids
        }

    def waiting_count(self) -> int:
        """Return the number of queued requests."""
        return len(self._short_queue) + len(self._long_queue)

    # Helpers

    def _queue(self, long: bool) -> FairQueue:
        return self._long_queue if long else self._short_queue

    def _assign(self, request: Request, now_s: float) -> Action | None:
        """Bind a request to a free slot here or at a peer; return how to start it.

        Return ``None`` when it has to be queued.
        """
        queue = self._queue(request.long)
        if len(queue) and request.attempts == 0:
            # A new request must not overtake the queued ones.
            return None
        peer_id = self._faster_peer(request, now_s)
        if peer_id is None:
            send = self._start_locally(request, now_s)
            if send is not None:
                return send
            peer_id = self._free_peer(request, now_s)
        if peer_id is None:
            return None
        return self._forward(request, peer_id, now_s)

    def _forward(self, request: Request, peer_id: str, now_s: float) -> Forward:
        self._peer_by_id[peer_id].use_slot(request.long)
        self._record_start(now_s)
        return Forward(request, peer_id)

    def _start_locally(self, request: Request, now_s: float) -> Send | None:
        candidates = self._candidates(request.long, now_s)
        if not candidates:
            return None
        chosen = self.chooser.choose(candidates)
        minion = self._minion_by_name[chosen.name]
        minion.request_by_id[request.request_id] = request
        minion.long_count += 1 if request.long else 0
        self.ejector.record_sent(chosen.name)
        if not request.peer_id:
            self._record_start(now_s)
        return Send(request, chosen.name)

    def _candidates(self, long: bool, now_s: float) -> list[Candidate]:
        candidates = []
        for minion in self._minion_by_name.values():
            if minion.leaving or not minion.free_slots_for(long, self.long_share):
                continue
            if not self.ejector.usable(minion.name, now_s):
                continue
            busy = minion.upstream.slots - minion.free_slots()
            candidates.append(
                Candidate(minion.name, busy, minion.upstream.slots, minion.speed.value)
            )
        return candidates

    def _total_free_slots(self, long: bool) -> int:
        return sum(
            minion.free_slots_for(long, self.long_share)
            for minion in self._minion_by_name.values()
            if not minion.leaving
        )

    def _free_peers(self, long: bool, now_s: float) -> list[tuple[float, str]]:
        """Return speed and id of the peers whose fresh load has a free slot."""
        return [
            (peer.load.speed, member_id)
            for member_id, peer in self._peer_by_id.items()
            if peer.free_slots(long) and now_s - peer.received_s <= self.news_max_age_s
        ]

    def _free_peer(self, request: Request, now_s: float) -> str | None:
        peers = self._free_peers(request.long, now_s)
        return max(peers)[1] if peers else None

    def _faster_peer(self, request: Request, now_s: float) -> str | None:
        """Return a peer that is worth the hop although a local slot is free.

        Return ``None`` when there is no such peer, or no local slot is free.
        """
        peers = self._free_peers(request.long, now_s)
        if not peers:
            return None
        speed, member_id = max(peers)
        local_speed = max(
            (item.speed for item in self._candidates(request.long, now_s)), default=0.0
        )
        return (
            member_id
            if local_speed and speed > local_speed * MIN_PEER_SPEED_RATIO
            else None
        )

    def _start_queued(self, queue: FairQueue, now_s: float) -> list[Action]:
        actions: list[Action] = []
        while len(queue):
            request = queue.pop()
            if request.misses_deadline(now_s):
                actions.append(Reject(request, _deadline_failure()))
                continue
            action = self._start_locally(request, now_s)
            if action is None:
                peer_id = self._free_peer(request, now_s)
                if peer_id is None:
                    queue.push_front(request)
                    break
                action = self._forward(request, peer_id, now_s)
            actions.append(action)
        return actions

    def _report_free_slots(self) -> list[Action]:
        """Report the free slots here to the peer with the most queued requests."""
        peer_ids = [key for key, waits in self._has_backlog_by_peer.items() if waits]
        if not peer_ids:
            return []
        # Only one peer: all of them would forward a request to the same free slot.
        chosen = max(peer_ids, key=lambda key: self._peer_by_id[key].waiting_count())
        self._has_backlog_by_peer[chosen] = False
        return [SendNews(chosen)]

    def _rejection(self, request: Request, now_s: float) -> Failure | None:
        """Return why a request is rejected on arrival, ``None`` when it may queue."""
        if request.misses_deadline(now_s):
            return _deadline_failure()
        wait_s = self.expected_wait_s(request)
        if now_s + wait_s + request.p99_estimate_s > request.deadline_s:
            return not_run("too-busy", f"expected waiting time is {wait_s:.3f} s")
        return None

    def expected_wait_s(self, request: Request) -> float:
        """Return the expected waiting time of a request that is queued now."""
        if self._start_count < MIN_STARTS_TO_PREDICT:
            return 0.0
        queue = self._queue(request.long)
        ahead = queue.waiting_count(request.team) / queue.share_of(request.team)
        return min(ahead, self.waiting_count()) * self._start_interval_s

    def _record_start(self, now_s: float) -> None:
        # Intervals count only while requests are queued: how long an empty queue
        # stays idle says nothing about how fast a full one drains.
        if self.waiting_count() and self._start_count:
            interval_s = now_s - self._last_start_s
            self._start_interval_s += START_INTERVAL_WEIGHT * (
                interval_s - self._start_interval_s
            )
        self._start_count += 1
        self._last_start_s = now_s


def _deadline_failure() -> Failure:
    return not_run("deadline", "can't be answered before the deadline")
