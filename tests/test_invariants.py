"""Invariants of a cell of real processes, in one fault scenario at a time.

The cell is under load meanwhile. The invariants are listed in :mod:`lab.load`.
"""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable

import pytest

from lab.cell import Cell, Layout
from lab.load import (
    ACTIVATION_TIMEOUT_S,
    DEADLINE_S,
    LoadGenerator,
    find_violations,
    wait_for_tasks,
)

WARM_UP_S = 1.5
# Longer than the lease term of 2 s and the task lease term of 3 s of the lab.
FREEZE_S = 5.0
# Six lease terms.
OUTAGE_S = 12.0


async def _version(cell: Cell) -> int:
    return (await cell.call_as_operator("GET", "/v1/config")).json()["version"]


async def _is_active_on_all_hosts(cell: Cell, version: int) -> bool:
    for host in cell.hosts:
        if host.process_by_daemon["entry"].poll() is not None:
            continue
        reply = await cell.call("GET", host.url + "/readyz", timeout_s=2.0)
        if reply.status == 0 or reply.json()["config_version"] < version:
            return False
    return True


async def no_fault(cell: Cell, load: LoadGenerator) -> None:
    await asyncio.sleep(2.0)


async def process_killed(cell: Cell, load: LoadGenerator) -> None:
    cell.kill(cell.hosts[2])
    await asyncio.sleep(5.0)


async def process_frozen_past_its_lease(cell: Cell, load: LoadGenerator) -> None:
    cell.send_signal(cell.hosts[2], signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    cell.send_signal(cell.hosts[2], signal.SIGCONT)
    await asyncio.sleep(3.0)


async def cut_from_the_table(cell: Cell, load: LoadGenerator) -> None:
    await cell.set_faults("platform", {"mode": "cut", "sender": "entry-2/"})
    await asyncio.sleep(5.0)
    await cell.set_faults("platform")
    await asyncio.sleep(2.0)


async def cut_from_upstreams(cell: Cell, load: LoadGenerator) -> None:
    for kind in ("minions", "workers"):
        await cell.set_faults(kind, {"mode": "cut", "sender": "entry-2/"})
    await asyncio.sleep(5.0)
    for kind in ("minions", "workers"):
        await cell.set_faults(kind)
    await asyncio.sleep(2.0)


async def cut_from_peers(cell: Cell, load: LoadGenerator) -> None:
    """Peers' calls to the third host are dropped; its own calls to peers are not."""
    for relay, _ in cell.hosts[2].relay_by_daemon.values():
        relay.drop_requests = relay.drop_answers = True
    await asyncio.sleep(5.0)
    for relay, _ in cell.hosts[2].relay_by_daemon.values():
        relay.drop_requests = relay.drop_answers = False
    await asyncio.sleep(2.0)


async def cut_one_way(cell: Cell, load: LoadGenerator) -> None:
    """Calls from peers reach the third host, but its answers to them are dropped."""
    for relay, _ in cell.hosts[2].relay_by_daemon.values():
        relay.drop_answers = True
    await asyncio.sleep(5.0)
    for relay, _ in cell.hosts[2].relay_by_daemon.values():
        relay.drop_answers = False
    await asyncio.sleep(2.0)


async def table_down(cell: Cell, load: LoadGenerator) -> None:
    await cell.set_faults("platform", {"mode": "down", "name": "table"})
    before = len(load.checks)
    await asyncio.sleep(OUTAGE_S)
    sent_meanwhile = load.checks[before:]
    await cell.set_faults("platform")
    await asyncio.sleep(DEADLINE_S)
    # More than 80% of the checks sent during the outage must be answered.
    answered = sum(1 for sent in sent_meanwhile if sent.status == 200)
    outcomes = Counter((sent.status, sent.verdict) for sent in sent_meanwhile)
    assert answered > 0.8 * len(sent_meanwhile), outcomes


async def table_slow(cell: Cell, load: LoadGenerator) -> None:
    await cell.set_faults("platform", {"mode": "slow", "seconds": 0.4, "name": "table"})
    await asyncio.sleep(6.0)
    await cell.set_faults("platform")


async def table_effect_without_answer(cell: Cell, load: LoadGenerator) -> None:
    fault = {"mode": "effect_without_answer", "name": "table", "share": 0.3}
    await cell.set_faults("platform", fault)
    await asyncio.sleep(6.0)
    await cell.set_faults("platform")


async def minion_effect_without_answer(cell: Cell, load: LoadGenerator) -> None:
    await cell.set_faults("minions", {"mode": "effect_without_answer", "share": 0.2})
    await asyncio.sleep(4.0)
    await cell.set_faults("minions")


async def worker_effect_without_answer(cell: Cell, load: LoadGenerator) -> None:
    await cell.set_faults("workers", {"mode": "effect_without_answer", "share": 0.3})
    await asyncio.sleep(5.0)
    await cell.set_faults("workers")


async def operators_racing(cell: Cell, load: LoadGenerator) -> None:
    """Of four concurrent publications based on one version, exactly one succeeds."""
    version = await _version(cell)
    for _ in range(3):
        base = {"based_on": version, "sources": cell.sources(), "reason": "a race"}
        bodies = [json.loads(json.dumps(base)) for _ in range(4)]
        for index, body in enumerate(bodies):
            extra = {"teams": {f"visitors-{version}-{index}": {}}}
            body["sources"]["extra.jsonc"] = json.dumps(extra)
        replies = await asyncio.gather(
            *[
                cell.call_as_operator(
                    "POST", "/v1/config", body, host=cell.hosts[index % 3]
                )
                for index, body in enumerate(bodies)
            ]
        )
        assert sorted(reply.status for reply in replies) == [200, 409, 409, 409]
        version = next(
            reply.json()["version"] for reply in replies if reply.status == 200
        )
        details = [reply.json()["detail"] for reply in replies if reply.status == 409]
        assert all("was published by lan" in detail for detail in details)
    drains = [
        cell.call_as_operator(method, "/v1/drains/routeboard-m0")
        for method in ("PUT", "DELETE")
    ]
    await asyncio.gather(*drains)


async def everything_fails_on_some(cell: Cell, load: LoadGenerator) -> None:
    """All work on one worker and one minion fails."""
    await cell.set_faults("workers", {"mode": "fail", "name": "walls-w0"})
    await cell.set_faults("minions", {"mode": "fail", "name": "routeboard-m2"})
    await asyncio.sleep(5.0)
    await cell.set_faults("workers")
    await cell.set_faults("minions")


async def cancellation_wave(cell: Cell, load: LoadGenerator) -> None:
    """Forty gangs are cancelled right after they were submitted."""

    async def submit(index: int) -> str:
        reply = await cell.call_as_team(
            "head-setter",
            "POST",
            "/v1/tasks/city-re-plan",
            {"nonce": "wave", "work_s": 2.0},
            host=cell.hosts[index % 3],
            headers={"Idempotency-Key": f"wave-{index}"},
        )
        return reply.json()["task_id"]

    ids = await asyncio.gather(*[submit(index) for index in range(40)])
    replies = await asyncio.gather(
        *[
            cell.call_as_team("head-setter", "DELETE", f"/v1/task/{item}")
            for item in ids
        ]
    )
    assert all(reply.status == 200 for reply in replies)
    await asyncio.sleep(3.0)


async def planned_stop_and_replacement(cell: Cell, load: LoadGenerator) -> None:
    """A host is stopped by SIGTERM with requests in flight, and another joins."""
    host = cell.hosts[2]
    load.cuts_are_violations = True
    # So many slow requests that some are still in flight at the signal.
    load.send_slow(host, 12, 0.8)
    await asyncio.sleep(0.2)
    # A load balancer stops sending before the host stops listening, because the host is
    # no longer ready.
    load.excluded_hosts.add(host.name)
    cell.send_signal(host, signal.SIGTERM)
    codes = [
        await asyncio.to_thread(item.wait, 20)
        for item in host.process_by_daemon.values()
    ]
    assert codes == [0, 0]
    cell.add_host("entry-3", 2.0)
    await asyncio.sleep(4.0)


async def upstreams_leave(cell: Cell, load: LoadGenerator) -> None:
    # The two fastest minions: they are preferred, so they would get work if their
    # state were ignored.
    states = {
        "routeboard-m2": "leaving",
        "routeboard-m5": "leaving",
        "walls-w1": "leaving",
    }
    await cell.set_hosts(states)
    for name in ("routeboard-m2", "routeboard-m5"):
        await cell.upstream_call(name, "leave", {})
    await cell.upstream_call("walls-w1", "restart", {"leave": True})
    await asyncio.sleep(7.0)


async def table_down_and_kill(cell: Cell, load: LoadGenerator) -> None:
    await cell.set_faults("platform", {"mode": "down", "name": "table"})
    await asyncio.sleep(1.5)
    cell.kill(cell.hosts[2])
    await asyncio.sleep(5.0)
    await cell.set_faults("platform")
    await asyncio.sleep(5.0)


async def freeze_and_upstreams_cut(cell: Cell, load: LoadGenerator) -> None:
    await cell.set_faults("minions", {"mode": "cut", "sender": "entry-1/"})
    await process_frozen_past_its_lease(cell, load)
    await cell.set_faults("minions")


async def burst(cell: Cell, load: LoadGenerator) -> None:
    """Send 120 concurrent requests, for the 48 slots of the 6 minions."""
    body = {"nonce": "burst", "work_s": 0.4}
    calls = [
        cell.call_as_team(
            "setters", "POST", "/v1/run/grade-check", body, host=cell.hosts[index % 3]
        )
        for index in range(120)
    ]
    await asyncio.gather(*calls)


async def workers_miss_calls(cell: Cell, load: LoadGenerator) -> None:
    """Three workers are cut off for 2.5 s, less than the task lease term of 3 s.

    Their tasks keep running: if the scheduler started them elsewhere, they would run in
    two places.
    """
    for index in range(12):
        await cell.call_as_team(
            "head-setter",
            "POST",
            "/v1/tasks/re-plan",
            {"nonce": "long", "work_s": 6.0},
            headers={"Idempotency-Key": f"long-{index}"},
        )
    await asyncio.sleep(1.0)
    cuts = [{"mode": "cut", "name": f"walls-w{index}"} for index in range(3)]
    await cell.set_faults("workers", *cuts)
    await asyncio.sleep(2.5)
    await cell.set_faults("workers")
    await asyncio.sleep(1.0)


async def pool_changes(cell: Cell, load: LoadGenerator) -> None:
    """A minion is removed from a busy pool and added again, twice.

    Meanwhile the third host gets no calls from peers, and its entry does not reach the
    table, so it learns of each change late.
    """

    async def flood() -> None:
        while True:
            await burst(cell, load)

    floods = [asyncio.create_task(flood()) for _ in range(2)]
    upstreams = cell.pools["routeboard"]["upstreams"]
    for names in (sorted(upstreams)[1:], sorted(upstreams)) * 2:
        _set_peers_cut(cell, True)
        await cell.set_faults("platform", {"mode": "cut", "sender": "entry-2/"})
        cell.pools["routeboard"]["upstreams"] = {
            name: upstreams[name] for name in names
        }
        await cell.publish(await _version(cell), "the pool changes")
        await asyncio.sleep(2.0)
        _set_peers_cut(cell, False)
        await cell.set_faults("platform")
        await asyncio.sleep(2.5)
    for task in floods:
        task.cancel()
    await asyncio.sleep(1.0)


def _set_peers_cut(cell: Cell, cut: bool) -> None:
    """Drop the calls from peers to the third host and its answers, or stop dropping."""
    for relay, _ in cell.hosts[2].relay_by_daemon.values():
        relay.drop_requests = relay.drop_answers = cut


Fault = Callable[[Cell, LoadGenerator], Awaitable[None]]
FAULTS: list[Fault] = [
    no_fault,
    process_killed,
    process_frozen_past_its_lease,
    cut_from_the_table,
    cut_from_upstreams,
    cut_from_peers,
    cut_one_way,
    table_down,
    table_slow,
    table_effect_without_answer,
    minion_effect_without_answer,
    worker_effect_without_answer,
    operators_racing,
    everything_fails_on_some,
    cancellation_wave,
    planned_stop_and_replacement,
    upstreams_leave,
    burst,
    pool_changes,
    workers_miss_calls,
    table_down_and_kill,
    freeze_and_upstreams_cut,
]


async def run_scenario(fault: Fault, mutation: str = "") -> tuple[list[str], list[str]]:
    """Run a fault under load, then publish a version and wait until it is active.

    :param mutation: a name in `lab.mutations.MUTATIONS`, or empty.
    :return: the violations of invariants, and the ids of tasks that neither succeeded
        nor were cancelled. If the version does not become active, nothing else is
        checked.
    """
    relays = fault in (cut_from_peers, cut_one_way, pool_changes)
    async with Cell(Layout(norte=False, relays=relays, mutation=mutation)) as cell:
        load = LoadGenerator(cell, seed=FAULTS.index(fault) if fault in FAULTS else 0)
        load.start()
        await asyncio.sleep(WARM_UP_S)
        await fault(cell, load)
        await load.stop()
        version = await _version(cell)
        publication = {
            "based_on": version,
            "sources": cell.sources(),
            "reason": "after the fault",
        }
        started_s = time.monotonic()
        reply = await cell.call_as_operator("POST", "/v1/config", publication)
        assert reply.status == 200, reply
        published = reply.json()["version"]
        while not await _is_active_on_all_hosts(cell, published):
            if time.monotonic() - started_s > ACTIVATION_TIMEOUT_S:
                return [
                    f"8 not active on all hosts within {ACTIVATION_TIMEOUT_S} s:"
                    f" version {published}"
                ], []
            await asyncio.sleep(0.1)
        unfinished = await wait_for_tasks(load)
        violations = await find_violations(load)
        answered = sum(1 for sent in load.checks if sent.status == 200)
        assert answered > len(load.checks) / 3, (
            f"only {answered} of {len(load.checks)} checks answered"
        )
        return violations, unfinished


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_invariants_hold_and_tasks_end_under_a_fault(fault):
    """Guards against violations of the invariants of lab.load, and unfinished tasks.

    One of `FAULTS` is injected under load. Work must not be run twice, cut, sent to the
    wrong upstream or answered wrongly, and every accepted task must end afterwards.
    """
    violations, unfinished = asyncio.run(run_scenario(fault))
    assert violations == []
    assert unfinished == []


# For each mutation a fault that makes it visible, and the violation to be found.
MUTATION_CASES: dict[str, tuple[Fault, str]] = {
    "no_slot_limit": (burst, "1 overcommitted"),
    "early_grant_expiry": (workers_miss_calls, "2 ran in two places"),
    "crossed_answers": (no_fault, "3 wrong answer"),
    "every_failure_is_not_run": (minion_effect_without_answer, "4 reported not run"),
    "everything_is_idempotent": (minion_effect_without_answer, "5 ran 2 times"),
    "draining_ignored": (upstreams_leave, "6 work after leaving"),
    "stop_without_waiting": (planned_stop_and_replacement, "7 cut in flight"),
    "new_versions_ignored": (no_fault, "8 not active"),
}


@pytest.mark.parametrize("mutation", MUTATION_CASES)
def test_each_mutation_is_detected_as_a_violation(mutation):
    """Guards against checks that no longer detect anything.

    Without the code that keeps an invariant, its violation must be reported.
    """
    fault, expected = MUTATION_CASES[mutation]
    violations, _ = asyncio.run(run_scenario(fault, mutation))
    assert any(item.startswith(expected) for item in violations), violations
