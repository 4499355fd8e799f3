"""Membership in virtual time: regressions found by the randomized model test."""

from __future__ import annotations

import asyncio

from redwingrun.coordination.codec import encode
from redwingrun.coordination.members import MemberRow
from redwingrun.coordination.table import Transaction, Write
from redwingrun.membership import ENTRY
from tests.test_ownership_model import OwnershipMachine


def _failed_member_row(index: int) -> MemberRow:
    member_id = f"dead-{index}"
    return MemberRow(
        member_id,
        ENTRY,
        member_id,
        "hoan-kiem",
        "address-slow",
        "",
        roster=[member_id, f"gone-{index}", "slow"],
    )


def test_expulsion_of_many_members_does_not_delay_renewal():
    """Querying a witness about 40 failed members must not delay the renewal.

    The renewal once waited for these queries until the lease expired.
    """
    machine = OwnershipMachine()
    rows = [_failed_member_row(index) for index in range(40)]
    rows.append(
        MemberRow(
            "slow", ENTRY, "slow", "hoan-kiem", "address-slow", "", roster=["slow"]
        )
    )
    writes = tuple(Write(row.key, encode(row)) for row in rows)
    machine.rows.apply(Transaction((), writes))
    machine.network.handler_by_address["address-slow"] = lambda method, message: None
    machine.network.process_by_address["address-slow"] = machine.by_host[0].process
    for host in machine.by_host:
        machine.network.cut.add((f"address-{host}", "address-slow"))
    before = [running.membership.member_id for running in machine.by_host.values()]
    machine.loop.run_until_complete(asyncio.sleep(20.0))
    after = [running.membership.member_id for running in machine.by_host.values()]
    assert after == before
    machine.invariants_hold = False
    machine.teardown()
