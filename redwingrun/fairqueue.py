"""Queues of waiting requests: bounded, fair between teams, aware of deadlines."""

from __future__ import annotations

import heapq
import itertools
from collections import deque

from attrs import define, field

from redwingrun.requests import Request


@define
class _Lane:
    """What one team has waiting, in order of arrival."""

    requests: deque[Request] = field(factory=deque)
    finish_tag: float = 0.0


@define
class FairQueue:
    """Start-time fair queueing over teams, weighted by their shares.

    A team's next request is tagged with the virtual time at which its share
    lets it start; the smallest tag goes first. A team that was idle starts at
    the present virtual time: it can't save up service.

    :param share_by_team: weights; a team without one weighs 1.
    """

    share_by_team: dict[str, float] = field(factory=dict)
    _lane_by_team: dict[str, _Lane] = field(factory=dict)
    _heap: list[tuple[float, int, str]] = field(factory=list)
    _virtual: float = 0.0
    _order: itertools.count = field(factory=itertools.count)
    _length: int = 0
    _cost_s: float = 0.0

    def __len__(self) -> int:
        return self._length

    @property
    def cost_s(self) -> float:
        """Estimated run time of everything that waits, in seconds."""
        return self._cost_s

    def push(self, request: Request) -> None:
        """Add a request behind its team's others."""
        lane = self._lane_by_team.setdefault(request.team, _Lane())
        lane.requests.append(request)
        self._added(request)
        if len(lane.requests) == 1:
            self._enter(request.team, lane)

    def push_back(self, request: Request) -> None:
        """Return a request that was taken, to the head of its team's lane."""
        lane = self._lane_by_team.setdefault(request.team, _Lane())
        lane.requests.appendleft(request)
        self._added(request)
        if len(lane.requests) == 1:
            # Its start was charged when it was taken: give the charge back.
            lane.finish_tag -= self._charge(request)
            self._enter(request.team, lane)

    def pop(self) -> Request | None:
        """Take the request whose team is due."""
        while self._heap:
            tag, _, team = heapq.heappop(self._heap)
            lane = self._lane_by_team[team]
            if not lane.requests:
                continue
            request = lane.requests.popleft()
            self._removed(request)
            self._virtual = max(self._virtual, tag)
            lane.finish_tag = tag + self._charge(request)
            if lane.requests:
                heapq.heappush(self._heap, (lane.finish_tag, next(self._order), team))
            return request
        return None

    def remove(self, request: Request) -> bool:
        """Take out one request, such as a cancelled one."""
        lane = self._lane_by_team.get(request.team)
        if lane is None or request not in lane.requests:
            return False
        lane.requests.remove(request)
        self._removed(request)
        if not lane.requests:
            self._leave(request.team)
        return True

    def expire(self, now_s: float) -> list[Request]:
        """Take out what can't be answered by its deadline any more."""
        late = []
        for team, lane in self._lane_by_team.items():
            hopeless = [item for item in lane.requests if item.hopeless(now_s)]
            if not hopeless:
                continue
            late.extend(hopeless)
            lane.requests = deque(
                item for item in lane.requests if item not in hopeless
            )
            for item in hopeless:
                self._removed(item)
            if not lane.requests:
                self._leave(team)
        return late

    def share_of(self, team: str) -> float:
        """Return a team's part of the service among those that wait and itself."""
        teams = {name for name, lane in self._lane_by_team.items() if lane.requests} | {
            team
        }
        total = sum(self.share_by_team.get(name, 1.0) for name in teams)
        return self.share_by_team.get(team, 1.0) / total

    def evict_for(self, team: str) -> Request | None:
        """Make room for a team: take out the newest request of the team that is
        farthest above its share, ``None`` when that is the team itself."""
        longest = max(
            (name for name, lane in self._lane_by_team.items() if lane.requests),
            key=self._over_share,
            default=team,
        )
        if longest == team or self._over_share(longest) <= self._over_share(team, 1):
            return None
        request = self._lane_by_team[longest].requests[-1]
        self.remove(request)
        return request

    def _over_share(self, team: str, more: int = 0) -> float:
        return (self.waiting(team) + more) / self.share_by_team.get(team, 1.0)

    def waiting(self, team: str) -> int:
        """Return how many requests of a team wait."""
        lane = self._lane_by_team.get(team)
        return len(lane.requests) if lane else 0

    def _enter(self, team: str, lane: _Lane) -> None:
        lane.finish_tag = max(self._virtual, lane.finish_tag)
        heapq.heappush(self._heap, (lane.finish_tag, next(self._order), team))

    def _leave(self, team: str) -> None:
        self._heap = [item for item in self._heap if item[2] != team]
        heapq.heapify(self._heap)

    def _charge(self, request: Request) -> float:
        return request.estimate_s / self.share_by_team.get(request.team, 1.0)

    def _added(self, request: Request) -> None:
        self._length += 1
        self._cost_s += request.estimate_s

    def _removed(self, request: Request) -> None:
        self._length -= 1
        self._cost_s = max(0.0, self._cost_s - request.estimate_s)
