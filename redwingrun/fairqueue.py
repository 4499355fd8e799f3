"""A queue of requests that is fair between teams and aware of deadlines."""

from __future__ import annotations

import heapq
import itertools
from collections import deque

from attrs import define, field

from redwingrun.requests import Request


@define
class _TeamRequests:
    """One team's queued requests in order of arrival.

    :param finish_tag: virtual time at which the request that was popped last would
        end; the next one may start then.
    """

    requests: deque[Request] = field(factory=deque)
    finish_tag: float = 0.0


@define
class FairQueue:
    """Start-time fair queueing over weighted teams.

    A team's next request is tagged with the virtual time at which its weight
    lets it start; the smallest tag goes first. A team that had nothing queued
    starts no earlier than the current virtual time, so that it can't accumulate
    credit while idle.

    :param weight_by_team: weights; a team that is not listed has weight 1.
    """

    weight_by_team: dict[str, float] = field(factory=dict)
    _queue_by_team: dict[str, _TeamRequests] = field(factory=dict)
    _heap: list[tuple[float, int, str]] = field(factory=list)
    _virtual_time: float = 0.0
    _sequence: itertools.count = field(factory=itertools.count)
    _length: int = 0
    _cost_s: float = 0.0

    def __len__(self) -> int:
        return self._length

    @property
    def cost_s(self) -> float:
        """The sum of the estimated run times of all queued requests, in seconds."""
        return self._cost_s

    def push(self, request: Request) -> None:
        """Add a request behind the other requests of its team."""
        queue = self._queue_by_team.setdefault(request.team, _TeamRequests())
        queue.requests.append(request)
        self._count_added(request)
        if len(queue.requests) == 1:
            self._activate(request.team, queue)

    def push_front(self, request: Request) -> None:
        """Put a request before the others of its team.

        It was popped, or was started without being queued.
        """
        queue = self._queue_by_team.setdefault(request.team, _TeamRequests())
        queue.requests.appendleft(request)
        self._count_added(request)
        if len(queue.requests) == 1:
            # Refund the charge that pop() makes for a start. A request that was
            # started without being queued gets the refund, too.
            queue.finish_tag -= self._charge(request)
            self._activate(request.team, queue)

    def pop(self) -> Request | None:
        """Remove and return the next request, ``None`` when the queue is empty."""
        while self._heap:
            tag, _, team = heapq.heappop(self._heap)
            queue = self._queue_by_team[team]
            if not queue.requests:
                continue
            request = queue.requests.popleft()
            self._count_removed(request)
            self._virtual_time = max(self._virtual_time, tag)
            queue.finish_tag = tag + self._charge(request)
            if queue.requests:
                heapq.heappush(
                    self._heap, (queue.finish_tag, next(self._sequence), team)
                )
            return request
        return None

    def remove(self, request: Request) -> bool:
        """Remove one request; return whether it was queued."""
        queue = self._queue_by_team.get(request.team)
        if queue is None or request not in queue.requests:
            return False
        queue.requests.remove(request)
        self._count_removed(request)
        if not queue.requests:
            self._deactivate(request.team)
        return True

    def expire(self, now_s: float) -> list[Request]:
        """Remove and return the requests that would miss their deadline."""
        expired = []
        for team, queue in self._queue_by_team.items():
            late = [item for item in queue.requests if item.misses_deadline(now_s)]
            if not late:
                continue
            expired.extend(late)
            queue.requests = deque(item for item in queue.requests if item not in late)
            for item in late:
                self._count_removed(item)
            if not queue.requests:
                self._deactivate(team)
        return expired

    def share_of(self, team: str) -> float:
        """Return a team's share of the service, from 0 to 1.

        The service is divided by weight among this team and those with queued
        requests.
        """
        teams = {
            name for name, queue in self._queue_by_team.items() if queue.requests
        } | {team}
        total = sum(self.weight_by_team.get(name, 1.0) for name in teams)
        return self.weight_by_team.get(team, 1.0) / total

    def evict_for(self, team: str) -> Request | None:
        """Remove a request to make room for one of a team, and return it.

        It is the newest request of the team with the most queued requests relative to
        its weight. Return ``None`` when no other team has more than ``team`` would
        have with one more.
        """
        largest = max(
            (name for name, queue in self._queue_by_team.items() if queue.requests),
            key=self._length_by_weight,
            default=team,
        )
        if largest == team or self._length_by_weight(largest) <= self._length_by_weight(
            team, 1
        ):
            return None
        request = self._queue_by_team[largest].requests[-1]
        self.remove(request)
        return request

    def _length_by_weight(self, team: str, more: int = 0) -> float:
        return (self.waiting_count(team) + more) / self.weight_by_team.get(team, 1.0)

    def waiting_count(self, team: str) -> int:
        """Return the number of a team's queued requests."""
        queue = self._queue_by_team.get(team)
        return len(queue.requests) if queue else 0

    def _activate(self, team: str, queue: _TeamRequests) -> None:
        queue.finish_tag = max(self._virtual_time, queue.finish_tag)
        heapq.heappush(self._heap, (queue.finish_tag, next(self._sequence), team))

    def _deactivate(self, team: str) -> None:
        self._heap = [item for item in self._heap if item[2] != team]
        heapq.heapify(self._heap)

    def _charge(self, request: Request) -> float:
        return request.estimate_s / self.weight_by_team.get(request.team, 1.0)

    def _count_added(self, request: Request) -> None:
        self._length += 1
        self._cost_s += request.estimate_s

    def _count_removed(self, request: Request) -> None:
        self._length -= 1
        self._cost_s = max(0.0, self._cost_s - request.estimate_s)
