"""A search of publishing and following: races, lost answers, gossip, outages."""

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
IN_FORCE_S = 9.0
SEARCH = settings(
    max_examples=150,
    stateful_step_count=25,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.generate],
)


class ConfigMachine(RuleBasedStateMachine):
    """Three hosts that follow, and operators that publish through any of them."""

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
        self.seen: list[int] = [0, 0, 0]
        self.digest_by_number: dict[int, str] = {0: ""}
        self.refused: set[str] = set()
        self.published: dict[int, str] = {}
        self.made = 0
        self.publications: list[asyncio.Task] = []
        self.sound = True
        for host in range(3):
            self.processes.append(FakeProcess(f"host-{host}"))
            self.tasks.append(self._follow(host))

    def teardown(self):
        try:
            if self.sound:
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
        self.made += 1
        teams = {"teams": {f"team-{self.made}": {}}}
        return objects_from_text("objects", json.dumps(teams)).content()

    async def _publish(self, host: int, behind: int) -> None:
        process = self.processes[host]
        publisher = Publisher(
            FakeTable(self.rows, process), FakeObjectStore(self.objects, process)
        )
        based_on = max(0, self.tasks[host].follower.active_version.number - behind)
        content = self._content()
        audit = AuditRow(
            "publish", f"operator-{self.made}", str(self.made), "", based_on
        )
        try:
            result = await publisher.publish(
                content, based_on, audit, f"token-{self.made}"
            )
        except (TableUnavailable, ObjectStoreUnavailable):
            self.refused.add(digest_of(content))
            return
        except TableUnknown:
            return
        if isinstance(result, PublishConflict):
            self.refused.add(digest_of(content))
        if isinstance(result, Published):
            assert result.row.number not in self.published, (
                "two operators won one version"
            )
            self.published[result.row.number] = result.row.digest

    def _advance(self, seconds: float) -> None:
        async def advance():
            for _ in range(max(1, int(seconds / 0.1))):
                await asyncio.sleep(min(seconds, 0.1))
                self._check()

        try:
            self.loop.run_until_complete(advance())
        except AssertionError:
            self.sound = False
            raise

    def _check(self) -> None:
        for task in self.publications:
            if task.done() and task.exception():
                raise task.exception()
        for host, task in enumerate(self.tasks):
            row = task.follower.active_version
            assert row.number >= self.seen[host], "a host went back"
            self.seen[host] = row.number
            known = self.digest_by_number.setdefault(row.number, row.digest)
            assert known == row.digest, "one version has two contents"
            assert row.number == 0 or digest_of(task.content) == row.digest
            assert row.digest not in self.refused, "a refused publication is in force"

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
        self.processes[host].paused.clear()
        self._advance(seconds)
        self.processes[host].paused.set()

    @rule(host=HOSTS, other=HOSTS)
    def stale_news(self, host, other):
        """A peer's older news comes late, or a second time."""
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
        """Within the stated time after all faults, all have the newest version."""
        self.network.cut.clear()
        for process in self.processes:
            process.table_mode = OK
            process.paused.set()
        self._advance(IN_FORCE_S)
        numbers = {task.follower.active_version.number for task in self.tasks}
        assert len(numbers) == 1, f"versions {numbers} are in force"
        assert numbers.pop() >= max(self.published, default=0), (
            "a published version is lost"
        )


def test_a_publication_that_takes_effect_late_is_not_told_as_a_lost_race():
    """The search found it: the version row was read before the late effect."""
    machine = ConfigMachine()
    machine.publish.hypothesis_stateful_rule.function(
        machine, host=0, behind=0, seconds=0.02
    )
    machine.processes[0].table_mode = "late"
    machine._advance(5.0)
    machine._heal_and_compare()
    machine.teardown()


def test_a_version_is_never_lost_forked_or_taken_back():
    run_state_machine(ConfigMachine, SEARCH)


def _accept_anything(self, row, content):
    self.active_version = row
    return True


def _hear_anything(self, row):
    self.wanted = row
    return row.number != self.active_version.number


async def _commit_blindly(self, row, stored, audit):
    from attrs import evolve

    class Blind(FakeTable):
        def __init__(self, table):
            self._table = table

        async def read(self, key):
            return await self._table.read(key)

        async def transact(_, transaction):  # noqa: N805
            return await self.table.transact(evolve(transaction, conditions=()))

    return await ORIGINAL_COMMIT(
        type(self)(Blind(self.table), self.store), row, stored, audit
    )


async def _settle_says_no(table, key, value):
    return None


ORIGINAL_COMMIT = Publisher._commit
MUTANTS = {
    "an older version is taken": [
        (Follower, "accept", _accept_anything),
        (Follower, "receive_version", _hear_anything),
    ],
    "the version row is written blindly": [(Publisher, "_commit", _commit_blindly)],
    "a lost answer counts as a lost race": [
        (follower_module, "confirm_write", _settle_says_no)
    ],
}


@pytest.mark.parametrize("name", MUTANTS)
def test_the_search_finds_the_fault_when_a_rule_is_taken_out(name, monkeypatch):
    for owner, attribute, replacement in MUTANTS[name]:
        monkeypatch.setattr(owner, attribute, replacement)
    wanted = settings(SEARCH, max_examples=600, print_blob=False)
    with pytest.raises(AssertionError):
        run_state_machine(ConfigMachine, wanted)
