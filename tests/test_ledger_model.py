"""Randomized model test of the ledger: lost replies, late writes, racing attempts."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from redwingrun.coordination import ledger as ledger_module
from redwingrun.coordination.ledger import Attempt, BodyMismatch, Ledger, LedgerRow
from redwingrun.coordination.verdict import (
    Answer,
    Failure,
    Verdict,
    may_have_run,
    not_run,
)
from tests.helpers import (
    OK,
    TABLE_MODES,
    FakeProcess,
    FakeTable,
    Rows,
    VirtualLoop,
    close_loop,
    run_state_machine,
)

TEAM = "setters"
KEY = "order-1"
HOSTS = st.integers(0, 2)
SETTINGS = settings(
    max_examples=300,
    stateful_step_count=25,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.generate],
)


class LedgerMachine(RuleBasedStateMachine):
    """Three hosts that claim the same key, concurrently and one after another."""

    def __init__(self):
        super().__init__()
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.rows = Rows()
        self.processes = [FakeProcess(f"host-{index}") for index in range(3)]
        self.ledgers = []
        for process in self.processes:
            table = FakeTable(self.rows, process)
            self.ledgers.append(Ledger(table, table))
        self.run_count = 0
        self.first_answer: bytes | None = None
        self.ran_digest = ""
        self.token_count = 0
        self.tasks: list[asyncio.Task] = []

    def teardown(self):
        close_loop(self.loop)

    async def _attempt(
        self, host: int, ending: str, work_s: float, digest: str
    ) -> None:
        self.token_count += 1
        ledger = self.ledgers[host]
        found = await ledger.begin(TEAM, KEY, digest, f"token-{self.token_count}")
        if isinstance(found, Answer):
            assert digest == self.ran_digest, (
                "another body got the answer of the first one"
            )
            assert found.body == self.first_answer, (
                "the answer differs from the first one"
            )
        if isinstance(found, Failure) and found.verdict is Verdict.NOT_RUN:
            return
        if isinstance(found, Attempt):
            await self._send(host, found, ending, work_s, digest)

    async def _send(self, host, attempt, ending, work_s, digest) -> None:
        # Like the router, wait out a pause of the process before the request is sent.
        await self.processes[host].wait_until_resumed()
        outcome: Answer | Failure = not_run("busy")
        if ending != "not run":
            self.run_count += 1
            self.ran_digest = digest
            assert self.run_count <= 1, "the request ran twice"
            await asyncio.sleep(work_s)
            body = f"answer {self.run_count}".encode()
            self.first_answer = self.first_answer or body
            outcome = Answer(body) if ending == "answered" else may_have_run("timeout")
        await self.ledgers[host].finish(attempt, outcome)

    @rule(
        host=HOSTS,
        ending=st.sampled_from(["answered", "not run", "may have run"]),
        work_s=st.sampled_from([0.1, 2.0]),
        digest=st.sampled_from(["body", "body", "body", "other"]),
        wait=st.booleans(),
    )
    def attempt(self, host, ending, work_s, digest, wait):
        task = self.loop.create_task(self._attempt(host, ending, work_s, digest))
        if wait:
            self.loop.run_until_complete(asyncio.wait([task], timeout=5))
        else:
            self.loop.run_until_complete(asyncio.sleep(0.05))
        self.tasks.append(task)
        self._raise(task)

    def _raise(self, task) -> None:
        if task.done() and not task.cancelled() and task.exception():
            raise task.exception()

    @rule(host=HOSTS, mode=st.sampled_from((OK, *TABLE_MODES)))
    def table(self, host, mode):
        self.processes[host].table_mode = mode

    @rule(host=HOSTS)
    def pause_or_resume(self, host):
        resumed = self.processes[host].resumed
        if resumed.is_set():
            resumed.clear()
        else:
            resumed.set()

    @rule(seconds=st.sampled_from([0.02, 0.6, 4.0]))
    def advance(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))
        for task in self.tasks:
            self._raise(task)


def test_key_runs_at_most_once_with_one_answer():
    run_state_machine(LedgerMachine, SETTINGS)


async def _always_confirm(self, row):
    from redwingrun.coordination.table import Committed

    return Committed(0)


def _reopen_after_may_have_run(row, outcome):
    from attrs import evolve

    if isinstance(outcome, Answer):
        return ORIGINAL_FINISHED_ROW(row, outcome)
    return evolve(row, state="open")


async def _resolve_without_digest(self, claim, stored):
    from attrs import evolve

    row = ledger_module.decode(LedgerRow, stored.value)
    return await ORIGINAL_RESOLVE_EXISTING(
        self, evolve(claim, digest=row.digest), stored
    )


async def _resolve_started_as_open(self, claim, stored):
    from attrs import evolve

    from redwingrun.coordination.codec import encode

    row = ledger_module.decode(LedgerRow, stored.value)
    if row.state == "started":
        stored = evolve(stored, value=encode(evolve(row, state="open")))
    return await ORIGINAL_RESOLVE_EXISTING(self, claim, stored)


ORIGINAL_FINISHED_ROW = ledger_module._finished_row
ORIGINAL_RESOLVE_EXISTING = Ledger._resolve_existing
MUTANTS = {
    "an unconfirmed write counts as ours": (Ledger, "_confirm", _always_confirm),
    "may have run reopens the key": (
        ledger_module,
        "_finished_row",
        _reopen_after_may_have_run,
    ),
    "the digest is not compared": (
        Ledger,
        "_resolve_existing",
        _resolve_without_digest,
    ),
    "a started key is granted again": (
        Ledger,
        "_resolve_existing",
        _resolve_started_as_open,
    ),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_model_detects_removed_safeguard(name, monkeypatch):
    monkeypatch.setattr(*MUTANTS[name])
    more_examples = settings(SETTINGS, max_examples=2000, print_blob=False)
    with pytest.raises(AssertionError):
        run_state_machine(LedgerMachine, more_examples)


def test_other_body_with_same_key_is_refused():
    async def scenario():
        table = FakeTable(Rows(), FakeProcess("host"))
        ledger = Ledger(table, table)
        attempt = await ledger.begin(TEAM, KEY, "body", "token-1")
        await ledger.finish(attempt, Answer(b"done"))
        assert isinstance(
            await ledger.begin(TEAM, KEY, "other", "token-2"), BodyMismatch
        )

    asyncio.run(scenario())
