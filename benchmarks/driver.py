"""Simulates the routing of short requests by the product, an ideal and a baseline.

The product's dispatchers run unchanged, in virtual time.
"""

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
# The run time that the workloads declare.
DECLARED_RUN_S = 0.05
# Later than the end of every benchmark: 40 s of arrivals, and 120 s to answer them.
PERIODIC_EVENTS_END_S = 200.0


@frozen
class Deployment:
    """The size and the load of one deployment of the product.

    :param hop_s: one-way network delay between data centres.
    :param teams: the teams that send requests; one listed twice sends twice as much.
    :param mean_run_s: mean run time of a request on a minion of speed 1.
    :param deadline_s: deadline of a short request after its arrival.
    """

    name: str
    hop_s: float
    teams: tuple[str, ...]
    entries: int = 8
    minions: int = 24
    mean_run_s: float = 0.05
    deadline_s: float = 5.0


HANOI = Deployment("Hanoi", 0.0015, ("setters",))
NORTE = Deployment("Norte", 0.0005, ("faro", "brena", "nordes"), deadline_s=3.0)


def speeds(deployment: Deployment) -> list[float]:
    """Return the speeds of the minions, spread evenly from 0.4 to 1.6 around 1."""
    step = 1.2 / (deployment.minions - 1)
    return [
        0.4 + step * ((index * 7) % deployment.minions)
        for index in range(deployment.minions)
    ]


def capacity_per_s(deployment: Deployment, mean_run_s: float) -> float:
    """Return how many requests of a mean run time all slots serve per second."""
    return sum(speeds(deployment)) * SLOTS / mean_run_s


@define
class Arrival:
    """A request that arrives from a caller, and its outcome.

    Times are virtual.

    :param arrived_s: when it arrived at an entry.
    :param work_s: its run time on a minion of speed 1.
    :param started_s: when it started on a minion; negative before.
    :param ended_s: when its answer reached the entry; negative before.
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
        """The time from its arrival to its start on a minion."""
        return self.started_s - self.arrived_s

    @property
    def time_in_system_s(self) -> float:
        """The time from its arrival to its answer."""
        return self.ended_s - self.arrived_s


@frozen
class LoadProfile:
    """The parameters of generated arrivals.

    :param load: offered load as a share of the capacity.
    :param long_share: share of arrivals that take ``long_factor`` times as long.
    :param rate_factor: factor on the rate of arrivals, by virtual time.
    """

    load: float
    duration_s: float = 20.0
    long_share: float = 0.0
    long_factor: float = 100.0
    seed: int = 1
    rate_factor: Callable[[float], float] | None = None


def generate_arrivals(deployment: Deployment, profile: LoadProfile) -> list[Arrival]:
    """Return Poisson arrivals with exponentially distributed run times."""
    rng = random.Random(profile.seed)
    mean_run_s = deployment.mean_run_s * (
        1 + profile.long_share * (profile.long_factor - 1)
    )
    base_rate = profile.load * capacity_per_s(deployment, mean_run_s)
    generated = []
    now_s = 0.0
    while now_s < profile.duration_s:
        rate = base_rate * (profile.rate_factor(now_s) if profile.rate_factor else 1.0)
        now_s += rng.expovariate(rate)
        long = rng.random() < profile.long_share
        work_s = rng.expovariate(1 / deployment.mean_run_s) * (
            profile.long_factor if long else 1
        )
        generated.append(Arrival(now_s, work_s, rng.choice(deployment.teams), long))
    return generated


class Simulator:
    """A discrete-event simulator: virtual time and the events scheduled in it."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._order = itertools.count()

    def schedule(
        self, delay_s: float, callback: Callable[..., None], *args: object
    ) -> None:
        """Call a function after a delay in virtual time."""
        event = (self.now_s + delay_s, next(self._order), callback, args)
        heapq.heappush(self._events, event)

    def run(self, until_s: float = float("inf")) -> None:
        """Process the events in order of time, up to a virtual time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, callback, args = heapq.heappop(self._events)
            callback(*args)


class SimulatedEntries:
    """The entries of a deployment: the product's dispatchers and the network.

    The network delays each message by the deployment's ``hop_s``.

    :param long_share: the share of a minion's slots that long requests may use.
    :param long_is_declared: whether dispatchers know which requests are long.
    """

    def __init__(
        self,
        deployment: Deployment,
        chooser: Callable[[], Chooser] = FastestFree,
        news_interval_s: float = 0.02,
        news_max_age_s: float = 3.0,
        long_share: float = 0.75,
        queue_limit: int = 500,
        long_is_declared: bool = True,
    ):
        self.deployment = deployment
        self.simulator = Simulator()
        self._news_interval_s = news_interval_s
        self._news_max_age_s = news_max_age_s
        self._run_times = RunTimes()
        self._long_is_declared = long_is_declared
        self.speed_by_minion: dict[str, float] = {}
        self.dispatcher_by_id: dict[str, Dispatcher] = {}
        self.messages = 0
        self.news_messages = 0
        self.failing_minions: set[str] = set()
        self.attempts = 0
        self._news_sent_s: dict[tuple[str, str], float] = {}
        self._scheduled_news: set[tuple[str, str]] = set()
        self._rng = random.Random(5)
        for index in range(deployment.entries):
            dispatcher = Dispatcher(
                "pool", queue_limit, news_max_age_s, chooser=chooser()
            )
            dispatcher.set_weights({}, long_share)
            self.dispatcher_by_id[f"e{index}"] = dispatcher
        self._assign_minions()
        for name in self.dispatcher_by_id:
            self._refresh_news(name)
            self.simulator.schedule(0.01, self._expire_waiting, name)

    def _assign_minions(self) -> None:
        owned: dict[str, dict[str, Minion]] = {
            name: {} for name in self.dispatcher_by_id
        }
        names = list(self.dispatcher_by_id)
        for index, speed in enumerate(speeds(self.deployment)):
            name = f"m{index}"
            self.speed_by_minion[name] = speed
            upstream = Upstream(name=name, address="", data_centre="")
            owned[names[index % len(names)]][name] = Minion(upstream, 1)
        for name, minions in owned.items():
            self.dispatcher_by_id[name].set_minions(minions)

    def run(self, arrivals: list[Arrival]) -> list[Arrival]:
        """Route all arrivals, each from a random entry, and return them."""
        names = list(self.dispatcher_by_id)
        for index, arrival in enumerate(arrivals):
            entry = self._rng.choice(names)
            self.simulator.schedule(
                arrival.arrived_s, self._arrive, entry, arrival, str(index)
            )
        self.simulator.run(arrivals[-1].arrived_s + 120.0)
        return arrivals

    def _arrive(self, entry: str, arrival: Arrival, name: str) -> None:
        now_s = self.simulator.now_s
        workload = f"{'long' if arrival.long else 'short'}"
        run_time = self._run_times.for_workload(workload, DECLARED_RUN_S)
        request = Request(
            request_id=name,
            workload=workload,
            team=arrival.team,
            pool="pool",
            arrived_s=now_s,
            deadline_s=now_s + (600.0 if arrival.long else self.deployment.deadline_s),
            estimate_s=run_time.mean_s,
            p99_estimate_s=run_time.p99_s if run_time.is_measured else 0.0,
            long=arrival.long and self._long_is_declared,
        )
        request.body = arrival  # type: ignore[assignment]
        self._apply(entry, self.dispatcher_by_id[entry].submit(request, now_s))

    def _apply(self, entry: str, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._start_run(entry, entry, action)
            elif isinstance(action, Forward):
                self.messages += 1
                self.simulator.schedule(
                    self.deployment.hop_s,
                    self._receive_forward,
                    entry,
                    action.member_id,
                    action.request,
                )
            elif isinstance(action, Reject):
                action.request.body.refused = True
            elif isinstance(action, SendNews):
                self._schedule_news(entry, action.member_id)

    def _receive_forward(self, entry: str, peer: str, request: Request) -> None:
        request.peer_id = entry
        send = self.dispatcher_by_id[peer].admit(request, self.simulator.now_s)
        if send is None:
            self.messages += 1
            self.simulator.schedule(
                self.deployment.hop_s, self._receive_refusal, entry, peer, request
            )
            return
        self._start_run(entry, peer, send)

    def _receive_refusal(self, entry: str, peer: str, request: Request) -> None:
        request.peer_id = ""
        dispatcher = self.dispatcher_by_id[entry]
        dispatcher.mark_peer_full(peer)
        self._apply(entry, dispatcher.requeue(request, self.simulator.now_s))

    def _start_run(self, origin: str, owner: str, send: Send) -> None:
        arrival = send.request.body
        arrival.started_s = self.simulator.now_s
        self.attempts += 1
        run_s = arrival.work_s / self.speed_by_minion[send.minion]
        if send.minion in self.failing_minions:
            run_s = 0.001
        self.simulator.schedule(run_s, self._complete_run, origin, owner, send, run_s)

    def _complete_run(self, origin: str, owner: str, send: Send, run_s: float) -> None:
        now_s = self.simulator.now_s
        ok = send.minion not in self.failing_minions
        request = send.request
        if ok:
            request.body.ended_s = now_s + (
                0.0 if origin == owner else self.deployment.hop_s
            )
            self._run_times.for_workload(request.workload, DECLARED_RUN_S).record(run_s)
        dispatcher = self.dispatcher_by_id[owner]
        actions = dispatcher.complete_request(
            send.minion, request, run_s if ok else None, ok, now_s
        )
        self._apply(owner, actions)
        if origin != owner:
            # The answer carries the load news of the entry that owns the minion.
            self.messages += 1
            self.simulator.schedule(
                self.deployment.hop_s,
                self._receive_news,
                origin,
                owner,
                dispatcher.load(),
            )
        if not ok:
            request.attempts += 1
            if request.attempts < 3:
                self._apply(
                    origin, self.dispatcher_by_id[origin].requeue(request, now_s)
                )
            else:
                request.body.refused = True

    def _schedule_news(self, entry: str, peer: str) -> None:
        link = (entry, peer)
        if link in self._scheduled_news:
            return
        now_s = self.simulator.now_s
        wait_s = max(
            0.0, self._news_sent_s.get(link, -1.0) + self._news_interval_s - now_s
        )
        self._scheduled_news.add(link)
        self.simulator.schedule(wait_s, self._send_news, entry, peer)

    def _send_news(self, entry: str, peer: str) -> None:
        self._scheduled_news.discard((entry, peer))
        self._news_sent_s[entry, peer] = self.simulator.now_s
        self.news_messages += 1
        news = self.dispatcher_by_id[entry].load()
        self.simulator.schedule(
            self.deployment.hop_s, self._receive_news, peer, entry, news
        )

    def _receive_news(self, entry: str, peer: str, news: object) -> None:
        dispatcher = self.dispatcher_by_id[entry]
        self._apply(entry, dispatcher.receive_load(peer, news, self.simulator.now_s))

    def _refresh_news(self, entry: str) -> None:
        for peer in self.dispatcher_by_id:
            if peer != entry:
                self._schedule_news(entry, peer)
        if self.simulator.now_s < PERIODIC_EVENTS_END_S:
            self.simulator.schedule(self._news_max_age_s / 2, self._refresh_news, entry)

    def _expire_waiting(self, entry: str) -> None:
        dispatcher = self.dispatcher_by_id[entry]
        if dispatcher.waiting_count():
            now_s = self.simulator.now_s
            self._apply(entry, dispatcher.expire(now_s))
            self._apply(entry, dispatcher.fill(now_s))
        if self.simulator.now_s < PERIODIC_EVENTS_END_S:
            self.simulator.schedule(0.01, self._expire_waiting, entry)


class CentralQueue:
    """The ideal: one queue that knows the state of all slots without any delay."""

    def __init__(self, deployment: Deployment, long_share: float = 1.0):
        self.simulator = Simulator()
        self._slots: list[tuple[float, int]] = []
        for index, speed in enumerate(speeds(deployment)):
            self._slots.extend((-speed, index * SLOTS + slot) for slot in range(SLOTS))
        heapq.heapify(self._slots)
        self._queue: deque[Arrival] = deque()
        self._long_queue: deque[Arrival] = deque()
        self._long_running = 0
        self._max_long_running = int(len(self._slots) * long_share)

    def run(self, arrivals: list[Arrival]) -> list[Arrival]:
        """Serve arrivals in order, each on the fastest free slot, and return them."""
        for arrival in arrivals:
            self.simulator.schedule(arrival.arrived_s, self._arrive, arrival)
        self.simulator.run()
        return arrivals

    def _arrive(self, arrival: Arrival) -> None:
        (self._long_queue if arrival.long else self._queue).append(arrival)
        self._serve()

    def _serve(self) -> None:
        while self._slots:
            arrival = self._next_arrival()
            if arrival is None:
                return
            negative_speed, slot = heapq.heappop(self._slots)
            self._long_running += 1 if arrival.long else 0
            arrival.started_s = self.simulator.now_s
            run_s = arrival.work_s / -negative_speed
            self.simulator.schedule(
                run_s, self._complete, arrival, negative_speed, slot
            )

    def _next_arrival(self) -> Arrival | None:
        long_is_allowed = (
            self._long_queue and self._long_running < self._max_long_running
        )
        if long_is_allowed and not self._queue:
            return self._long_queue.popleft()
        if (
            self._queue
            and long_is_allowed
            and self._long_queue[0].arrived_s < self._queue[0].arrived_s
        ):
            return self._long_queue.popleft()
        return self._queue.popleft() if self._queue else None

    def _complete(self, arrival: Arrival, negative_speed: float, slot: int) -> None:
        self._long_running -= 1 if arrival.long else 0
        arrival.ended_s = self.simulator.now_s
        heapq.heappush(self._slots, (negative_speed, slot))
        self._serve()


class EarlyBinding:
    """A baseline: each request joins the queue of one minion on its arrival."""

    def __init__(self, deployment: Deployment, chooser: Chooser):
        self.simulator = Simulator()
        self._chooser = chooser
        self._speeds = speeds(deployment)
        self._busy = [0] * len(self._speeds)
        self._queues: list[deque[Arrival]] = [deque() for _ in self._speeds]

    def run(self, arrivals: list[Arrival]) -> list[Arrival]:
        """Serve all arrivals and return them."""
        for arrival in arrivals:
            self.simulator.schedule(arrival.arrived_s, self._arrive, arrival)
        self.simulator.run()
        return arrivals

    def _arrive(self, arrival: Arrival) -> None:
        candidates = [
            Candidate(
                f"{index:03d}", self._busy[index] + len(self._queues[index]), SLOTS, 1.0
            )
            for index in range(len(self._speeds))
        ]
        index = int(self._chooser.choose(candidates).name)
        if self._busy[index] < SLOTS:
            self._start_run(index, arrival)
        else:
            self._queues[index].append(arrival)

    def _start_run(self, index: int, arrival: Arrival) -> None:
        self._busy[index] += 1
        arrival.started_s = self.simulator.now_s
        self.simulator.schedule(
            arrival.work_s / self._speeds[index], self._complete, index, arrival
        )

    def _complete(self, index: int, arrival: Arrival) -> None:
        self._busy[index] -= 1
        arrival.ended_s = self.simulator.now_s
        if self._queues[index]:
            self._start_run(index, self._queues[index].popleft())


@define
class Summary:
    """The outcome of one simulation, for either its short or its long requests.

    :param waits_s: sorted waiting times of the answered requests.
    :param times_in_system_s: sorted times from arrival to answer.
    """

    waits_s: list[float] = field(factory=list)
    times_in_system_s: list[float] = field(factory=list)
    answered: int = 0
    refused: int = 0


def summarize(
    arrivals: list[Arrival], warm_up_s: float = 2.0, long: bool = False
) -> Summary:
    """Return the outcome for requests that arrived after the warm-up."""
    counted = [
        arrival
        for arrival in arrivals
        if arrival.arrived_s >= warm_up_s and arrival.long == long
    ]
    answered = [arrival for arrival in counted if arrival.ended_s >= 0]
    return Summary(
        waits_s=sorted(arrival.waited_s for arrival in answered),
        times_in_system_s=sorted(arrival.time_in_system_s for arrival in answered),
        answered=len(answered),
        refused=sum(1 for arrival in counted if arrival.refused),
    )


def percentile(values: list[float], share: float) -> float:
    """Return a quantile of sorted values; infinite if there are none.

    :param share: 0.99 for the 99th percentile.
    """
    if not values:
        return float("inf")
    return values[min(len(values) - 1, int(len(values) * share))]
