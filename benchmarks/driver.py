"""Drives the shipping dispatchers in virtual time, beside baselines."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable

from attrs import define, field, frozen

from redwingrun.choosers import Candidate, Chooser, FastestFree
from redwingrun.dispatcher import (
    Action,
    Dispatcher,
    Forward,
    Minion,
    Reject,
    Send,
    SendNews,
)
from redwingrun.objects import Upstream
from redwingrun.requests import Request
from redwingrun.runtimes import RunTimes

SLOTS = 8
DECLARED_S = 0.05


@frozen
class User:
    """One user's sizes of today.

    :param hop_s: one way between data centres.
    """

    name: str
    hop_s: float
    teams: tuple[str, ...]
    owners: int = 8
    minions: int = 24
    mean_s: float = 0.05
    deadline_s: float = 5.0


HANOI = User("Hanoi", 0.0015, ("setters",))
NORTE = User("Norte", 0.0005, ("faro", "brena", "nordes"), deadline_s=3.0)


def speeds(user: User) -> list[float]:
    """Return the minions' speeds, spread 4:1 evenly around a mean of 1."""
    step = 1.2 / (user.minions - 1)
    return [0.4 + step * ((index * 7) % user.minions) for index in range(user.minions)]


def capacity_per_s(user: User, mean_s: float) -> float:
    """Return how many requests a second all slots can serve."""
    return sum(speeds(user)) * SLOTS / mean_s


@define
class Work:
    """One arrival, the same for every way of routing.

    :param work_s: its run time on a minion of speed 1.
    """

    arrived_s: float
    work_s: float
    team: str
    long: bool = False
    started_s: float = -1.0
    ended_s: float = -1.0
    refused: bool = False

    @property
    def waited_s(self) -> float:
        """Return the time from arrival to the start on a minion."""
        return self.started_s - self.arrived_s

    @property
    def total_s(self) -> float:
        """Return the time in the system."""
        return self.ended_s - self.arrived_s


@frozen
class Mix:
    """Where arrivals come from.

    :param load: share of the capacity.
    :param long_share: of arrivals; they take ``long_factor`` times as long.
    """

    load: float
    seconds: float = 20.0
    long_share: float = 0.0
    long_factor: float = 100.0
    seed: int = 1
    rate: Callable[[float], float] | None = None


def arrivals(user: User, mix: Mix) -> list[Work]:
    """Return Poisson arrivals with exponential run times."""
    source = random.Random(mix.seed)
    mean_s = user.mean_s * (1 + mix.long_share * (mix.long_factor - 1))
    base = mix.load * capacity_per_s(user, mean_s)
    found = []
    now_s = 0.0
    while now_s < mix.seconds:
        rate = base * (mix.rate(now_s) if mix.rate else 1.0)
        now_s += source.expovariate(rate)
        long = source.random() < mix.long_share
        work_s = source.expovariate(1 / user.mean_s) * (mix.long_factor if long else 1)
        found.append(Work(now_s, work_s, source.choice(user.teams), long))
    return found


class Timeline:
    """Virtual time and what is to happen in it."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._order = itertools.count()

    def after(self, delay_s: float, act: Callable[..., None], *args: object) -> None:
        """Let something happen after a delay."""
        event = (self.now_s + delay_s, next(self._order), act, args)
        heapq.heappush(self._events, event)

    def run(self, until_s: float = float("inf")) -> None:
        """Let everything happen in order, up to a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, act, args = heapq.heappop(self._events)
            act(*args)


class Entries:
    """The entries of one user: shipping dispatchers, joined by delayed messages."""

    def __init__(
        self,
        user: User,
        chooser: Callable[[], Chooser] = FastestFree,
        news_interval_s: float = 0.02,
        news_max_age_s: float = 3.0,
        long_share: float = 0.75,
        queue_limit: int = 500,
        all_long_known: bool = True,
    ):
        self.user = user
        self.timeline = Timeline()
        self._news_interval_s = news_interval_s
        self._news_max_age_s = news_max_age_s
        self._run_times = RunTimes()
        self._all_long_known = all_long_known
        self.speed_by_minion: dict[str, float] = {}
        self.dispatcher_by_id: dict[str, Dispatcher] = {}
        self.messages = 0
        self.news_messages = 0
        self.failing: set[str] = set()
        self.attempts = 0
        self._told_s: dict[tuple[str, str], float] = {}
        self._pending: set[tuple[str, str]] = set()
        self._source = random.Random(5)
        for index in range(user.owners):
            dispatcher = Dispatcher(
                "pool", queue_limit, news_max_age_s, chooser=chooser()
            )
            dispatcher.set_weights({}, long_share)
            self.dispatcher_by_id[f"e{index}"] = dispatcher
        self._share_minions()
        for name in self.dispatcher_by_id:
            self._tell_all(name)
            self.timeline.after(0.01, self._expire, name)

    def _share_minions(self) -> None:
        owned: dict[str, dict[str, Minion]] = {
            name: {} for name in self.dispatcher_by_id
        }
        names = list(self.dispatcher_by_id)
        for index, speed in enumerate(speeds(self.user)):
            name = f"m{index}"
            self.speed_by_minion[name] = speed
            upstream = Upstream(name=name, address="", data_centre="")
            owned[names[index % len(names)]][name] = Minion(upstream, 1)
        for name, minions in owned.items():
            self.dispatcher_by_id[name].set_minions(minions)

    def run(self, works: list[Work]) -> list[Work]:
        """Route all arrivals and return them."""
        names = list(self.dispatcher_by_id)
        for index, work in enumerate(works):
            entry = self._source.choice(names)
            self.timeline.after(work.arrived_s, self._arrive, entry, work, str(index))
        self.timeline.run(works[-1].arrived_s + 120.0)
        return works

    def _arrive(self, entry: str, work: Work, name: str) -> None:
        now_s = self.timeline.now_s
        workload = f"{'long' if work.long else 'short'}"
        run_time = self._run_times.for_workload(workload, DECLARED_S)
        request = Request(
            request_id=name,
            workload=workload,
            team=work.team,
            pool="pool",
            arrived_s=now_s,
            deadline_s=now_s + (600.0 if work.long else self.user.deadline_s),
            estimate_s=run_time.mean_s,
            p99_estimate_s=run_time.p99_s if run_time.is_measured else 0.0,
            long=work.long and self._all_long_known,
        )
        request.body = work  # type: ignore[assignment]
        self._act(entry, self.dispatcher_by_id[entry].submit(request, now_s))

    def _act(self, entry: str, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._begin(entry, entry, action)
            elif isinstance(action, Forward):
                self.messages += 1
                self.timeline.after(
                    self.user.hop_s,
                    self._forwarded,
                    entry,
                    action.member_id,
                    action.request,
                )
            elif isinstance(action, Reject):
                action.request.body.refused = True
            elif isinstance(action, SendNews):
                self._tell(entry, action.member_id)

    def _forwarded(self, entry: str, peer: str, request: Request) -> None:
        request.peer_id = entry
        send = self.dispatcher_by_id[peer].admit(request, self.timeline.now_s)
        if send is None:
            self.messages += 1
            self.timeline.after(self.user.hop_s, self._declined, entry, peer, request)
            return
        self._begin(entry, peer, send)

    def _declined(self, entry: str, peer: str, request: Request) -> None:
        request.peer_id = ""
        dispatcher = self.dispatcher_by_id[entry]
        dispatcher.mark_peer_full(peer)
        self._act(entry, dispatcher.requeue(request, self.timeline.now_s))

    def _begin(self, origin: str, owner: str, send: Send) -> None:
        work = send.request.body
        work.started_s = self.timeline.now_s
        self.attempts += 1
        run_s = work.work_s / self.speed_by_minion[send.minion]
        if send.minion in self.failing:
            run_s = 0.001
        self.timeline.after(run_s, self._finished, origin, owner, send, run_s)

    def _finished(self, origin: str, owner: str, send: Send, run_s: float) -> None:
        now_s = self.timeline.now_s
        ok = send.minion not in self.failing
        request = send.request
        if ok:
            request.body.ended_s = now_s + (0.0 if origin == owner else self.user.hop_s)
            self._run_times.for_workload(request.workload, DECLARED_S).record(run_s)
        dispatcher = self.dispatcher_by_id[owner]
        done = dispatcher.complete_request(
            send.minion, request, run_s if ok else None, ok, now_s
        )
        self._act(owner, done)
        if origin != owner:
            # The answer carries the owner's news.
            self.messages += 1
            self.timeline.after(
                self.user.hop_s, self._heard, origin, owner, dispatcher.load()
            )
        if not ok:
            request.attempts += 1
            if request.attempts < 3:
                self._act(origin, self.dispatcher_by_id[origin].requeue(request, now_s))
            else:
                request.body.refused = True

    def _tell(self, entry: str, peer: str) -> None:
        link = (entry, peer)
        if link in self._pending:
            return
        now_s = self.timeline.now_s
        wait_s = max(0.0, self._told_s.get(link, -1.0) + self._news_interval_s - now_s)
        self._pending.add(link)
        self.timeline.after(wait_s, self._tell_now, entry, peer)

    def _tell_now(self, entry: str, peer: str) -> None:
        self._pending.discard((entry, peer))
        self._told_s[entry, peer] = self.timeline.now_s
        self.news_messages += 1
        news = self.dispatcher_by_id[entry].load()
        self.timeline.after(self.user.hop_s, self._heard, peer, entry, news)

    def _heard(self, entry: str, peer: str, news: object) -> None:
        dispatcher = self.dispatcher_by_id[entry]
        self._act(entry, dispatcher.receive_load(peer, news, self.timeline.now_s))

    def _tell_all(self, entry: str) -> None:
        for peer in self.dispatcher_by_id:
            if peer != entry:
                self._tell(entry, peer)
        if self.timeline.now_s < 200.0:
            self.timeline.after(self._news_max_age_s / 2, self._tell_all, entry)

    def _expire(self, entry: str) -> None:
        dispatcher = self.dispatcher_by_id[entry]
        if dispatcher.waiting_count():
            now_s = self.timeline.now_s
            self._act(entry, dispatcher.expire(now_s))
            self._act(entry, dispatcher.fill(now_s))
        if self.timeline.now_s < 200.0:
            self.timeline.after(0.01, self._expire, entry)


class CentralQueue:
    """The ideal: one queue that sees every slot at once, without any hop."""

    def __init__(self, user: User, long_share: float = 1.0):
        self.timeline = Timeline()
        self._slots: list[tuple[float, int]] = []
        for index, speed in enumerate(speeds(user)):
            self._slots.extend((-speed, index * SLOTS + slot) for slot in range(SLOTS))
        heapq.heapify(self._slots)
        self._queue: deque[Work] = deque()
        self._long_queue: deque[Work] = deque()
        self._long_running = 0
        self._long_cap = int(len(self._slots) * long_share)

    def run(self, works: list[Work]) -> list[Work]:
        """Serve all arrivals, first come first served; the fastest free slot first."""
        for work in works:
            self.timeline.after(work.arrived_s, self._arrive, work)
        self.timeline.run()
        return works

    def _arrive(self, work: Work) -> None:
        (self._long_queue if work.long else self._queue).append(work)
        self._serve()

    def _serve(self) -> None:
        while self._slots:
            work = self._next()
            if work is None:
                return
            negative, slot = heapq.heappop(self._slots)
            self._long_running += 1 if work.long else 0
            work.started_s = self.timeline.now_s
            run_s = work.work_s / -negative
            self.timeline.after(run_s, self._done, work, negative, slot)

    def _next(self) -> Work | None:
        long_open = self._long_queue and self._long_running < self._long_cap
        if long_open and not self._queue:
            return self._long_queue.popleft()
        if (
            self._queue
            and long_open
            and self._long_queue[0].arrived_s < self._queue[0].arrived_s
        ):
            return self._long_queue.popleft()
        return self._queue.popleft() if self._queue else None

    def _done(self, work: Work, negative: float, slot: int) -> None:
        self._long_running -= 1 if work.long else 0
        work.ended_s = self.timeline.now_s
        heapq.heappush(self._slots, (negative, slot))
        self._serve()


class BoundAtOnce:
    """A baseline: each request is bound to a minion on arrival and waits behind it."""

    def __init__(self, user: User, chooser: Chooser):
        self.timeline = Timeline()
        self._chooser = chooser
        self._speeds = speeds(user)
        self._busy = [0] * len(self._speeds)
        self._queues: list[deque[Work]] = [deque() for _ in self._speeds]

    def run(self, works: list[Work]) -> list[Work]:
        """Serve all arrivals."""
        for work in works:
            self.timeline.after(work.arrived_s, self._arrive, work)
        self.timeline.run()
        return works

    def _arrive(self, work: Work) -> None:
        candidates = [
            Candidate(
                f"{index:03d}", self._busy[index] + len(self._queues[index]), SLOTS, 1.0
            )
            for index in range(len(self._speeds))
        ]
        index = int(self._chooser.choose(candidates).name)
        if self._busy[index] < SLOTS:
            self._begin(index, work)
        else:
            self._queues[index].append(work)

    def _begin(self, index: int, work: Work) -> None:
        self._busy[index] += 1
        work.started_s = self.timeline.now_s
        self.timeline.after(work.work_s / self._speeds[index], self._done, index, work)

    def _done(self, index: int, work: Work) -> None:
        self._busy[index] -= 1
        work.ended_s = self.timeline.now_s
        if self._queues[index]:
            self._begin(index, self._queues[index].popleft())


@define
class Summary:
    """Percentiles of one run; short work only unless told."""

    waits_s: list[float] = field(factory=list)
    totals_s: list[float] = field(factory=list)
    answered: int = 0
    refused: int = 0


def summary(works: list[Work], warm_s: float = 2.0, long: bool = False) -> Summary:
    """Return the sorted waits and totals after the warm-up."""
    counted = [work for work in works if work.arrived_s >= warm_s and work.long == long]
    done = [work for work in counted if work.ended_s >= 0]
    return Summary(
        waits_s=sorted(work.waited_s for work in done),
        totals_s=sorted(work.total_s for work in done),
        answered=len(done),
        refused=sum(1 for work in counted if work.refused),
    )


def percentile(values: list[float], share: float) -> float:
    """Return a percentile of sorted values, infinite without any."""
    if not values:
        return float("inf")
    return values[min(len(values) - 1, int(len(values) * share))]
