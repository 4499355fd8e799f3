"""Randomized model test of configuration updates: races, lost replies, outages."""

from __future__ import annotations

import asyncio
import json
import random

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from redwingrun.configtask import ConfigTask
from redwingrun.coordination import follower as follower_module
from redwingrun.coordination.follower import (
    AuditRow,
    Follower,
    ObjectStoreUnavailable,
    PublishConflict,
    Published,
    Publisher,
    digest_of,
)
from redwingrun.coordination.table import TableUnavailable, TableUnknown
from redwingrun.logs import Log
from redwingrun.objectcheck import objects_from_text
from redwingrun.peer_pb2 import ConfigReply, News
from tests.helpers import (
    OK,
    TABLE_MODES,
    FakeNetwork,
    FakeObjectStore,
    FakePeers,
    FakeProcess,
    FakeTable,
    Rows,
    VirtualLoop,
    close_loop,
    run_state_machine,
    settings_for,
)

HOSTS = st.integers(0, 2)
CONVERGENCE_S = 9.0
SETTINGS = settings(
    max_examples=150,
    stateful_step_count=25,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.generate],
)


class ConfigMachine(RuleBasedStateMachine):
    """Three hosts that follow the configuration, and operators that publish on any."""

    def __init__(self):
        super().__init__()
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        random.seed(2)
        self.rows = Rows()
        self.objects: dict[str, bytes] = {}
        self.network = FakeNetwork()
        self.processes: list[FakeProcess] = []
        self.tasks: list[ConfigTask] = []
        self.highest_seen: list[int] = [0, 0, 0]
        self.digest_by_number: dict[int, str] = {0: ""}
        self.refused_digests: set[str] = set()
        self.digest_by_published_number: dict[int, str] = {}
        self.content_count = 0
        self.publications: list[asyncio.Task] = []
        self.invariants_hold = True
        for host in range(3):
            self.processes.append(FakeProcess(f"host-{host}"))
            self.tasks.append(self._follow(host))

    def teardown(self):
        try:
            if self.invariants_hold:
                self._heal_and_compare()
        finally:
            close_loop(self.loop)

    def _follow(self, host: int) -> ConfigTask:
        address = f"address-{host}"
        process = self.processes[host]
        addresses = [f"address-{other}" for other in range(3) if other != host]
        task = ConfigTask(
            settings_for(config_poll_s=1.0, table_timeout_s=0.5),
            FakeTable(self.rows, process),
            FakeObjectStore(self.objects, process),
            FakePeers(self.network, process, address),
            Log("test", "quiet"),
            lambda: addresses,
            lambda: self._news(host),
            lambda: None,
        )
        self.network.process_by_address[address] = process
        self.network.handler_by_address[address] = lambda method, message: self._peer(
            host, method, message
        )
        self.loop.create_task(task.run())
        return task

    def _news(self, host: int) -> News:
        row = self.tasks[host].follower.active_version
        return News(config_number=row.number, config_digest=row.digest)

    def _peer(self, host: int, method: str, message):
        if method == "Tell":
            return self._news(host)
        content = self.tasks[host].content
        same = digest_of(content) == message.digest
        return ConfigReply(content=content if same else b"")

    def _content(self) -> bytes:
        self.content_count += 1
        teams = {"teams": {f"team-{self.content_count}": {}}}
        return objects_from_text("objects", json.dumps(teams)).content()

    async def _publish(self, host: int, behind: int) -> None:
        process = self.processes[host]
        publisher = Publisher(
            FakeTable(self.rows, process), FakeObjectStore(self.objects, process)
        )
        based_on = max(0, self.tasks[host].follower.active_version.number - behind)
        content = self._content()
        audit = AuditRow(
            "publish",
            f"operator-{self.content_count}",
            str(self.content_count),
            "",
            based_on,
        )
        try:
            result = await publisher.publish(
                content, based_on, audit, f"token-{self.content_count}"
            )
        except (TableUnavailable, ObjectStoreUnavailable):
            self.refused_digests.add(digest_of(content))
            return
        except TableUnknown:
            return
        if isinstance(result, PublishConflict):
            self.refused_digests.add(digest_of(content))
        if isinstance(result, Published):
            assert result.row.number not in self.digest_by_published_number, (
                "two operators published the same version"
            )
            self.digest_by_published_number[result.row.number] = result.row.digest

    def _advance(self, seconds: float) -> None:
        async def advance():
            for _ in range(max(1, int(seconds / 0.1))):
                await asyncio.sleep(min(seconds, 0.1))
                self._check()

        try:
            self.loop.run_until_complete(advance())
        except AssertionError:
            self.invariants_hold = False
            raise

    def _check(self) -> None:
        for task in self.publications:
            if task.done() and task.exception():
                raise task.exception()
        for host, task in enumerate(self.tasks):
            row = task.follower.active_version
            assert row.number >= self.highest_seen[host], (
                "the version of a host decreased"
            )
            self.highest_seen[host] = row.number
            known = self.digest_by_number.setdefault(row.number, row.digest)
            assert known == row.digest, "hosts have different contents of one version"
            assert row.number == 0 or digest_of(task.content) == row.digest
            assert row.digest not in self.refused_digests, (
                "a refused publication is active"
            )

    @rule(
        host=HOSTS,
        behind=st.sampled_from([0, 0, 0, 1]),
        seconds=st.sampled_from([0.02, 0.1, 2.0]),
    )
    def publish(self, host, behind, seconds):
        self.publications.append(self.loop.create_task(self._publish(host, behind)))
        self._advance(seconds)

    @rule(
        host=HOSTS,
        mode=st.sampled_from([OK, *TABLE_MODES]),
        seconds=st.sampled_from([0.1, 4]),
    )
    def table(self, host, mode, seconds):
        self.processes[host].table_mode = mode
        self._advance(seconds)

    @rule(host=HOSTS, seconds=st.sampled_from([1.0, 6.0]))
    def pause(self, host, seconds):
        self.processes[host].resumed.clear()
        self._advance(seconds)
        self.processes[host].resumed.set()

    @rule(host=HOSTS, other=HOSTS)
    def stale_news(self, host, other):
        """An older message of a peer arrives late or twice."""
        number = max(0, self.tasks[other].follower.active_version.number - 1)
        news = News(
            config_number=number, config_digest=self.digest_by_number.get(number, "")
        )
        self.loop.create_task(self.tasks[host].receive_news(news, f"address-{other}"))
        self._advance(0.2)

    @rule(one=HOSTS, other=HOSTS)
    def cut(self, one, other):
        self.network.cut.add((f"address-{one}", f"address-{other}"))

    @rule()
    def mend(self):
        self.network.cut.clear()

    def _heal_and_compare(self) -> None:
        """All hosts reach the newest version within CONVERGENCE_S of the last fault."""
        self.network.cut.clear()
        for process in self.processes:
            process.table_mode = OK
            process.resumed.set()
        self._advance(CONVERGENCE_S)
        numbers = {task.follower.active_version.number for task in self.tasks}
        assert len(numbers) == 1, f"versions {numbers} are active"
        assert numbers.pop() >= max(self.digest_by_published_number, default=0), (
            "a published version is lost"
        )


def test_late_publication_is_not_reported_as_conflict():
    """A publication is not refused while its delayed write may still take effect."""
    machine = ConfigMachine()
    machine.publish.hypothesis_stateful_rule.function(
        machine, host=0, behind=0, seconds=0.02
    )
    machine.processes[0].table_mode = "late"
    machine._advance(5.0)
    machine._heal_and_compare()
    machine.teardown()


def test_versions_are_never_lost_forked_or_reverted():
    run_state_machine(ConfigMachine, SETTINGS)


def _accept_anything(self, row, content):
    self.active_version = row
    return True


def _receive_anything(self, row):
    self.latest_version = row
    return row.number != self.active_version.number


async def _commit_unconditionally(self, row, stored, audit):
    from attrs import evolve

    class UnconditionalTable(FakeTable):
        def __init__(self, table):
            self._table = table

        async def read(self, key):
            return await self._table.read(key)

        async def transact(_, transaction):  # noqa: N805
            return await self.table.transact(evolve(transaction, conditions=()))

    return await ORIGINAL_COMMIT(
        type(self)(UnconditionalTable(self.table), self.store), row, stored, audit
    )


async def _never_confirm(table, key, value):
    return None


ORIGINAL_COMMIT = Publisher._commit
MUTANTS = {
    "an older version is accepted": [
        (Follower, "accept", _accept_anything),
        (Follower, "receive_version", _receive_anything),
    ],
    "the version row is written without a condition": [
        (Publisher, "_commit", _commit_unconditionally)
    ],
    "an unknown outcome counts as a conflict": [
        (follower_module, "confirm_write", _never_confirm)
    ],
}


@pytest.mark.parametrize("name", MUTANTS)
def test_model_detects_removed_safeguard(name, monkeypatch):
    for owner, attribute, replacement in MUTANTS[name]:
        monkeypatch.setattr(owner, attribute, replacement)
    more_examples = settings(SETTINGS, max_examples=600, print_blob=False)
    with pytest.raises(AssertionError):
        run_state_machine(ConfigMachine, more_examples)
