"""Waiting time, head-of-line blocking, overload and retries of short requests.

All variants are simulated with the same arrivals.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from benchmarks.driver import (
    HANOI,
    NORTE,
    Arrival,
    CentralQueue,
    Deployment,
    EarlyBinding,
    LoadProfile,
    SimulatedEntries,
    capacity_per_s,
    generate_arrivals,
    percentile,
    summarize,
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

MS_PER_S = 1000.0
LOADS = (0.5, 0.8, 0.95)
# How far the p99 waiting time may exceed the ideal, in mean run times, by load.
WAIT_BOUND_BY_LOAD = {0.8: 0.2, 0.95: 1.0}
TIME_IN_SYSTEM_BOUND = 1.25
HEAD_OF_LINE_BOUND = 1.5
LONG_THROUGHPUT_BOUND = 0.9
SPIKE_GOODPUT_BOUND = 0.95
UNFAIRNESS_BOUND = 0.05
RECOVERY_S = 2.0
AMPLIFICATION_BOUND = 1.1
# The load rises within 1 s of the start, and falls within 1 s of the end.
SPIKE_START_S, SPIKE_END_S = 5.0, 15.0


def chooser_factories(seed: int) -> dict[str, Callable[[], Chooser]]:
    """Return the choosers by name; the product uses the one that ``ships``."""
    return {
        "fastest free (ships)": FastestFree,
        "reference level": ReferenceLevel,
        "least connections": LeastConnections,
        "two choices": lambda: TwoChoices(random.Random(seed)),
        "random": lambda: RandomChoice(random.Random(seed)),
        "round robin": RoundRobin,
    }


def compare_waiting(report: Report, deployment: Deployment) -> None:
    """Compare waiting time and time in system with the ideal, at several loads."""
    section = f"waiting time, {deployment.name}"
    for load in LOADS:
        profile = LoadProfile(load, duration_s=10.0)
        ideal = summarize(
            CentralQueue(deployment).run(generate_arrivals(deployment, profile))
        )
        actual = summarize(
            SimulatedEntries(deployment).run(generate_arrivals(deployment, profile))
        )
        ideal_p99 = percentile(ideal.waits_s, 0.99)
        p99 = percentile(actual.waits_s, 0.99)
        excess_runs = (p99 - ideal_p99) / deployment.mean_run_s
        name = f"{load:.0%} load:"
        report.add(
            section,
            Row(
                f"{name} waiting p50", percentile(actual.waits_s, 0.5) * MS_PER_S, "ms"
            ),
            Row(
                f"{name} waiting p99",
                p99 * MS_PER_S,
                "ms",
                note=f"ideal {ideal_p99 * MS_PER_S:.1f} ms",
            ),
            Row(
                f"{name} waiting p99 above ideal / mean run time",
                excess_runs,
                "runs",
                WAIT_BOUND_BY_LOAD.get(load),
            ),
        )
        ratio = percentile(actual.times_in_system_s, 0.99) / percentile(
            ideal.times_in_system_s, 0.99
        )
        bound = TIME_IN_SYSTEM_BOUND if load == 0.8 else None
        report.add(
            section, Row(f"{name} p99 time in system / ideal", ratio, "x", bound)
        )


def compare_choosers(report: Report, deployment: Deployment) -> None:
    """Compare choosers that choose when a slot is free, or on arrival."""
    section = f"choosers at 80% load, {deployment.name}: p99 time in system / ideal"
    profile = LoadProfile(0.8, duration_s=8.0)
    ideal = percentile(
        summarize(
            CentralQueue(deployment).run(generate_arrivals(deployment, profile))
        ).times_in_system_s,
        0.99,
    )
    for name, make_chooser in chooser_factories(1).items():
        arrivals = SimulatedEntries(deployment, chooser=make_chooser).run(
            generate_arrivals(deployment, profile)
        )
        ratio = percentile(summarize(arrivals).times_in_system_s, 0.99) / ideal
        report.add(section, Row(f"late binding, {name}", ratio, "x"))
    for name in ("least connections", "two choices", "random", "round robin"):
        chooser = chooser_factories(1)[name]()
        arrivals = EarlyBinding(deployment, chooser).run(
            generate_arrivals(deployment, profile)
        )
        ratio = percentile(summarize(arrivals).times_in_system_s, 0.99) / ideal
        report.add(section, Row(f"early binding, {name}", ratio, "x"))


def measure_head_of_line_blocking(report: Report, deployment: Deployment) -> None:
    """Measure short requests with and without long ones, which take 100 times as long.

    Also compare the long work done with that of a run without a limit on the slots for
    long requests.
    """
    section = f"head-of-line blocking, {deployment.name}"
    profile = LoadProfile(0.8, duration_s=40.0, long_share=0.1)
    mixed = SimulatedEntries(deployment).run(generate_arrivals(deployment, profile))
    short_only = [
        arrival
        for arrival in generate_arrivals(deployment, profile)
        if not arrival.long
    ]
    short_only = SimulatedEntries(deployment).run(short_only)
    unrestricted = SimulatedEntries(deployment, long_share=1.0).run(
        generate_arrivals(deployment, profile)
    )
    short, short_alone = summarize(mixed), summarize(short_only)
    ratio = percentile(short.times_in_system_s, 0.99) / percentile(
        short_alone.times_in_system_s, 0.99
    )
    end_s = profile.duration_s
    done_s = [_long_work_done_s(arrivals, end_s) for arrivals in (mixed, unrestricted)]
    report.add(
        section,
        Row("short p99 waiting", percentile(short.waits_s, 0.99) * MS_PER_S, "ms"),
        Row("short p99 time in system / without long", ratio, "x", HEAD_OF_LINE_BOUND),
        Row(
            "long work done / unrestricted",
            done_s[0] / done_s[1],
            "x",
            LONG_THROUGHPUT_BOUND,
            at_least=True,
        ),
    )


def _long_work_done_s(arrivals: list[Arrival], end_s: float) -> float:
    return sum(
        arrival.work_s
        for arrival in arrivals
        if arrival.long and 0 <= arrival.ended_s <= end_s
    )


def _spike_rate_factor(now_s: float) -> float:
    """Return 6 during the spike and 1 outside, with linear ramps of 1 s."""
    if not SPIKE_START_S <= now_s < SPIKE_END_S + 1:
        return 1.0
    up = min(1.0, now_s - SPIKE_START_S)
    down = min(1.0, SPIKE_END_S + 1 - now_s)
    return 1.0 + 5.0 * min(up, down)


def measure_load_spike(report: Report, deployment: Deployment) -> None:
    """Measure a spike to 3 times the capacity for 10 s, in a load of half of it."""
    section = f"load spike, {deployment.name}"
    profile = LoadProfile(0.5, duration_s=25.0, rate_factor=_spike_rate_factor)
    arrivals = SimulatedEntries(deployment).run(generate_arrivals(deployment, profile))
    during = [
        arrival
        for arrival in arrivals
        if SPIKE_START_S + 2 <= arrival.ended_s <= SPIKE_END_S
    ]
    span_s = SPIKE_END_S - SPIKE_START_S - 2
    before_deadline = [
        arrival
        for arrival in during
        if arrival.time_in_system_s <= deployment.deadline_s
    ]
    capacity = capacity_per_s(deployment, deployment.mean_run_s)
    totals = sorted(arrival.time_in_system_s for arrival in during)
    after = [
        arrival.waited_s
        for arrival in arrivals
        if arrival.arrived_s >= SPIKE_END_S + 1 + RECOVERY_S
    ]
    before = [
        arrival.waited_s
        for arrival in arrivals
        if 2 <= arrival.arrived_s < SPIKE_START_S
    ]
    normal = percentile(sorted(before), 0.99) + 0.2 * deployment.mean_run_s
    report.add(
        section,
        Row(
            "answers before their deadline / capacity",
            len(before_deadline) / (capacity * span_s),
            "x",
            SPIKE_GOODPUT_BOUND,
            at_least=True,
        ),
        Row(
            "p99 time in system / deadline",
            percentile(totals, 0.99) / deployment.deadline_s,
            "x",
            1,
        ),
        Row(
            "waiting p99 2 s after / (before + 0.2 mean run times)",
            percentile(sorted(after), 0.99) / normal,
            "x",
            1,
        ),
    )
    if len(deployment.teams) > 1:
        report.add(
            section,
            Row(
                "largest deviation from a fair share",
                _unfairness(deployment, during),
                "",
                UNFAIRNESS_BOUND,
            ),
        )


def _unfairness(deployment: Deployment, arrivals: list[Arrival]) -> float:
    """Return the largest relative deviation of a team's work from an equal share."""
    total = sum(arrival.work_s for arrival in arrivals)
    fair = 1 / len(deployment.teams)
    shares = [
        sum(arrival.work_s for arrival in arrivals if arrival.team == team) / total
        for team in deployment.teams
    ]
    return max(abs(share - fair) / fair for share in shares)


def measure_uneven_overload(report: Report, deployment: Deployment) -> None:
    """Measure fairness in overload when one team sends 6 times as much as others."""
    section = f"load spike, {deployment.name}"
    uneven = Deployment(
        deployment.name,
        deployment.hop_s,
        (deployment.teams[0],) * 6 + deployment.teams[1:],
        deadline_s=deployment.deadline_s,
    )
    arrivals = SimulatedEntries(uneven).run(
        generate_arrivals(uneven, LoadProfile(3.0, duration_s=10.0))
    )
    during = [arrival for arrival in arrivals if 3.0 <= arrival.ended_s <= 10.0]
    report.add(
        section,
        Row(
            "largest deviation, one team sends 6 times as much",
            _unfairness(deployment, during),
            "",
            UNFAIRNESS_BOUND,
        ),
    )


def measure_failing_minions(report: Report, deployment: Deployment) -> None:
    """Measure retries and failures when a third of the minions fail every request."""
    section = f"failing minions, {deployment.name}"
    entries = SimulatedEntries(deployment)
    entries.failing_minions = {f"m{index}" for index in range(0, deployment.minions, 3)}
    arrivals = entries.run(
        generate_arrivals(deployment, LoadProfile(0.5, duration_s=10.0))
    )
    report.add(
        section,
        Row(
            "attempts / requests",
            entries.attempts / len(arrivals),
            "x",
            AMPLIFICATION_BOUND,
        ),
        Row(
            "refused or failed / requests",
            sum(arrival.refused for arrival in arrivals) / len(arrivals),
            "",
        ),
    )


def run(report: Report) -> None:
    """Run all routing benchmarks for both deployments."""
    for deployment in (HANOI, NORTE):
        compare_waiting(report, deployment)
        measure_head_of_line_blocking(report, deployment)
        measure_load_spike(report, deployment)
        if len(deployment.teams) > 1:
            measure_uneven_overload(report, deployment)
        measure_failing_minions(report, deployment)
    compare_choosers(report, HANOI)
