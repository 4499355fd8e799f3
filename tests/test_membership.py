"""The membership task in virtual time: cases that the search found."""

from __future__ import annotations

import asyncio

from redwingrun.coordination.codec import encode
from redwingrun.coordination.members import MemberRow
from redwingrun.coordination.table import Transaction, Write
from redwingrun.membership import ENTRY
from tests.test_ownership_model import OwnershipMachine


def _dead_row(index: int) -> MemberRow:
    name = f"dead-{index}"
    return MemberRow(
        name,
        ENTRY,
        name,
        "hoan-kiem",
        "address-slow",
        "",
        roster=[name, f"gone-{index}", "slow"],
    )


def test_a_member_renews_in_time_however_many_dead_ones_there_are_to_expel():
    """Asking after 40 dead members held up the renewal until the lease lapsed."""
    machine = OwnershipMachine()
    rows = [_dead_row(index) for index in range(40)]
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
