"""Waiting, head-of-line blocking, crest and retries, on equal arrivals."""

from __future__ import annotations

import random
from collections.abc import Callable

from benchmarks.driver import (
    HANOI,
    NORTE,
    BoundAtOnce,
    CentralQueue,
    Entries,
    Mix,
    User,
    Work,
    arrivals,
    capacity_per_s,
    percentile,
    summary,
)
from benchmarks.rows import Report, Row
from redwingrun.choosers import (
    Chooser,
    FastestFree,
    LeastConnections,
    RandomChoice,
    ReferenceLevel,
    RoundRobin,
    TwoChoices,
)

MS = 1000.0
LOADS = (0.5, 0.8, 0.95)
WAIT_BOUND_BY_LOAD = {0.8: 0.2, 0.95: 1.0}
TIME_IN_SYSTEM_BOUND = 1.25
HEAD_OF_LINE_BOUND = 1.5
LONG_THROUGHPUT_BOUND = 0.9
CREST_GOODPUT_BOUND = 0.95
FAIR_BOUND = 0.05
RECOVER_S = 2.0
AMPLIFICATION_BOUND = 1.1
CREST_FROM_S, CREST_TO_S = 5.0, 15.0


def choosers(seed: int) -> dict[str, Callable[[], Chooser]]:
    """Return every way of choosing a minion, by name."""
    return {
        "fastest free (ships)": FastestFree,
        "reference level": ReferenceLevel,
        "least connections": LeastConnections,
        "two choices": lambda: TwoChoices(random.Random(seed)),
        "random": lambda: RandomChoice(random.Random(seed)),
        "round robin": RoundRobin,
    }


def waiting(report: Report, user: User) -> None:
    """Compare waiting and time in system with the ideal and with baselines."""
    section = f"waiting, {user.name}"
    for load in LOADS:
        mix = Mix(load, seconds=10.0)
        ideal = summary(CentralQueue(user).run(arrivals(user, mix)))
        ours = summary(Entries(user).run(arrivals(user, mix)))
        ideal_p99 = percentile(ideal.waits_s, 0.99)
        p99 = percentile(ours.waits_s, 0.99)
        added = (p99 - ideal_p99) / user.mean_s
        name = f"{load:.0%} load:"
        report.add(
            section,
            Row(f"{name} waiting p50", percentile(ours.waits_s, 0.5) * MS, "ms"),
            Row(
                f"{name} waiting p99",
                p99 * MS,
                "ms",
                note=f"ideal {ideal_p99 * MS:.1f} ms",
            ),
            Row(f"{name} p99 over ideal", added, "runs", WAIT_BOUND_BY_LOAD.get(load)),
        )
        ratio = percentile(ours.totals_s, 0.99) / percentile(ideal.totals_s, 0.99)
        bound = TIME_IN_SYSTEM_BOUND if load == 0.8 else None
        report.add(
            section, Row(f"{name} p99 time in system / ideal", ratio, "x", bound)
        )


def ways(report: Report, user: User) -> None:
    """Compare the ways of choosing a minion, late and bound at once."""
    section = f"ways of choosing at 80%, {user.name}: p99 time in system / ideal"
    mix = Mix(0.8, seconds=8.0)
    ideal = percentile(
        summary(CentralQueue(user).run(arrivals(user, mix))).totals_s, 0.99
    )
    for name, make in choosers(1).items():
        works = Entries(user, chooser=make).run(arrivals(user, mix))
        late = percentile(summary(works).totals_s, 0.99) / ideal
        report.add(section, Row(f"late binding, {name}", late, "x"))
    for name in ("least connections", "two choices", "random", "round robin"):
        chooser = choosers(1)[name]()
        works = BoundAtOnce(user, chooser).run(arrivals(user, mix))
        bound = percentile(summary(works).totals_s, 0.99) / ideal
        report.add(section, Row(f"bound at once, {name}", bound, "x"))


def head_of_line(report: Report, user: User) -> None:
    """Short work beside work a hundred times longer, against the same without it."""
    section = f"head of line, {user.name}"
    mix = Mix(0.8, seconds=40.0, long_share=0.1)
    mixed = Entries(user).run(arrivals(user, mix))
    alone = [work for work in arrivals(user, mix) if not work.long]
    alone = Entries(user).run(alone)
    free = Entries(user, long_share=1.0).run(arrivals(user, mix))
    short, without = summary(mixed), summary(alone)
    ratio = percentile(short.totals_s, 0.99) / percentile(without.totals_s, 0.99)
    end_s = mix.seconds
    done = [_long_work_done(works, end_s) for works in (mixed, free)]
    report.add(
        section,
        Row("short p99 waiting", percentile(short.waits_s, 0.99) * MS, "ms"),
        Row("short p99 time in system / without long", ratio, "x", HEAD_OF_LINE_BOUND),
        Row(
            "long work done / unrestricted",
            done[0] / done[1],
            "x",
            LONG_THROUGHPUT_BOUND,
            at_least=True,
        ),
    )


def _long_work_done(works: list[Work], end_s: float) -> float:
    return sum(
        work.work_s for work in works if work.long and 0 <= work.ended_s <= end_s
    )


def _crest_rate(now_s: float) -> float:
    if not CREST_FROM_S <= now_s < CREST_TO_S + 1:
        return 1.0
    up = min(1.0, now_s - CREST_FROM_S)
    down = min(1.0, CREST_TO_S + 1 - now_s)
    return 1.0 + 5.0 * min(up, down)


def crest(report: Report, user: User) -> None:
    """Load from 0.5 to 3 times the capacity within a second, for ten seconds."""
    section = f"crest, {user.name}"
    mix = Mix(0.5, seconds=25.0, rate=_crest_rate)
    works = Entries(user).run(arrivals(user, mix))
    inside = [work for work in works if CREST_FROM_S + 2 <= work.ended_s <= CREST_TO_S]
    span_s = CREST_TO_S - CREST_FROM_S - 2
    useful = [work for work in inside if work.total_s <= user.deadline_s]
    capacity = capacity_per_s(user, user.mean_s)
    totals = sorted(work.total_s for work in inside)
    after = [
        work.waited_s for work in works if work.arrived_s >= CREST_TO_S + 1 + RECOVER_S
    ]
    before = [work.waited_s for work in works if 2 <= work.arrived_s < CREST_FROM_S]
    normal = percentile(sorted(before), 0.99) + 0.2 * user.mean_s
    report.add(
        section,
        Row(
            "useful answers / capacity",
            len(useful) / (capacity * span_s),
            "x",
            CREST_GOODPUT_BOUND,
            at_least=True,
        ),
        Row(
            "p99 of the admitted / deadline",
            percentile(totals, 0.99) / user.deadline_s,
            "x",
            1,
        ),
        Row(
            "waiting p99 2 s after / before + 0.2 runs",
            percentile(sorted(after), 0.99) / normal,
            "x",
            1,
        ),
    )
    if len(user.teams) > 1:
        report.add(
            section,
            Row("farthest from a fair share", _unfairness(user, inside), "", 0.05),
        )


def _unfairness(user: User, works: list[Work]) -> float:
    total = sum(work.work_s for work in works)
    fair = 1 / len(user.teams)
    shares = [
        sum(work.work_s for work in works if work.team == team) / total
        for team in user.teams
    ]
    return max(abs(share - fair) / fair for share in shares)


def uneven_crest(report: Report, user: User) -> None:
    """One team asks for six times as much as each of the others, in overload."""
    section = f"crest, {user.name}"
    crowded = User(
        user.name,
        user.hop_s,
        (user.teams[0],) * 6 + user.teams[1:],
        deadline_s=user.deadline_s,
    )
    works = Entries(crowded).run(arrivals(crowded, Mix(3.0, seconds=10.0)))
    inside = [work for work in works if 3.0 <= work.ended_s <= 10.0]
    report.add(
        section,
        Row(
            "farthest from fair, one team asks 6 fold",
            _unfairness(user, inside),
            "",
            FAIR_BOUND,
        ),
    )


def failing_third(report: Report, user: User) -> None:
    """A third of the minions fail everything they get."""
    section = f"failing minions, {user.name}"
    entries = Entries(user)
    entries.failing = {f"m{index}" for index in range(0, user.minions, 3)}
    works = entries.run(arrivals(user, Mix(0.5, seconds=10.0)))
    report.add(
        section,
        Row(
            "attempts / requests",
            entries.attempts / len(works),
            "x",
            AMPLIFICATION_BOUND,
        ),
        Row(
            "refused or failed / requests",
            sum(w.refused for w in works) / len(works),
            "",
        ),
    )


def run(report: Report) -> None:
    """Run every comparison for both users."""
    for user in (HANOI, NORTE):
        waiting(report, user)
        head_of_line(report, user)
        crest(report, user)
        if len(user.teams) > 1:
            uneven_crest(report, user)
        failing_third(report, user)
    ways(report, HANOI)
