"""The follower of the configuration, on the platform's table behind a slow link."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Callable

import orjson
import pytest
from attrs import define

from redwingrun.jobs.configfreshness import ConfigFreshness
from redwingrun.jobs.queuefollower import QueueFollower
from redwingrun.logs import Log
from redwingrun.metrics import Metrics
from redwingrun.platform.jsonclient import JsonClient
from redwingrun.platform.queues import PlatformQueues
from redwingrun.platform.table import PlatformTable
from tests.helpers import LoopClock, VirtualLoop, close_loop
from tests.platform.fakestore import FakeStore
from tests.platform.slowlink import SlowLinkClient

BYTES_PER_MBIT = 125_000
SLOW_LINK = 10 * BYTES_PER_MBIT
HALF_SLOW_LINK = 5 * BYTES_PER_MBIT
SLOWEST_LINK = 2 * BYTES_PER_MBIT
# The platform's bound from the acknowledgement of a version to its use by all members
# that reach the store.
CONFIGURATION_DEADLINE_S = 3.0
SMALL_READ_INTERVAL_S = 0.45


@define
class Follower:
    """A follower with its link, and the operator who publishes versions."""

    loop: VirtualLoop
    store: FakeStore
    link: SlowLinkClient
    table: PlatformTable
    follower: QueueFollower
    routes: int
    published: int = 0

    def publish(self) -> None:
        """Write the next version of the configuration."""
        self.published += 1
        write_configuration(self.store, self.published, self.routes)

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def publish_storm(self, count: int, gap_s: float) -> None:
        """Publish versions in quick succession."""
        for _ in range(count):
            self.publish()
            self.run(gap_s)

    @property
    def version(self) -> int:
        """The version in force; 0 if there is none."""
        return self.follower.queues.version if self.follower.queues else 0


def write_configuration(store: FakeStore, version: int, routes: int) -> None:
    """Write a configuration as the operator does, about 180 bytes for each route."""
    value = {
        "version": version,
        "routes": [
            {
                "name": f"r-{number:06d}",
                "hostname": "hura70.example",
                "pathPrefix": f"/{number:08d}/",
                "kind": "safe",
                "timeoutMs": 1000,
                "sloMs": 1000,
                "priority": 0,
                "backend": "kaba98a",
                "attempts": 2,
                "stretch": 2.0,
            }
            for number in range(routes)
        ],
        "services": [{"name": "kaba98a"}],
    }
    encoded = base64.b64encode(orjson.dumps(value)).decode()
    row = {"table": "op", "part": "", "key": "config", "value": encoded}
    store.transact({"expectedRev": [], "writes": [row], "remove": []})


async def read_small_row(table: PlatformTable) -> None:
    """Poll a small row, as each member polls the owner's."""
    while True:
        await table.read("owner/s0/owner")
        await asyncio.sleep(SMALL_READ_INTERVAL_S)


@pytest.fixture
def make_follower():
    """Return a function that starts a follower with the first version in force."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)

    def start(bytes_per_s: float, routes: int) -> Follower:
        store = FakeStore()
        link = SlowLinkClient(store, bytes_per_s)
        clock = LoopClock(loop)
        table = PlatformTable(JsonClient(link, "store:1", clock), Metrics())
        log = Log("test", "quiet")
        follower = QueueFollower(
            PlatformQueues(table, log),
            clock,
            log,
            Metrics(),
            lambda queues: None,
            ConfigFreshness(clock, log, None),
        )
        made = Follower(loop, store, link, table, follower, routes)
        made.publish()
        loop.create_task(follower.run())
        return made

    yield start
    close_loop(loop)


# Guards against a member that missed versions and asks for all of them at once, in an
# answer that never arrives within the read's timeout: it kept the old configuration.
def test_member_that_missed_many_versions_has_the_newest_within_the_deadline(
    make_follower: Callable[..., Follower],
):
    """The store refuses the member while 40 versions are published."""
    member = make_follower(SLOW_LINK, routes=400)
    member.run(2.0)
    assert member.version == 1
    member.link.is_refused = True
    member.publish_storm(40, 0.2)
    member.link.is_refused = False
    member.run(CONFIGURATION_DEADLINE_S)
    assert member.version == 41


# Guards against the same in a member that the store serves all the time: each answer
# holds the versions that came while the one before was on its way.
def test_storm_that_outruns_the_link_leaves_the_newest_within_the_deadline(
    make_follower: Callable[..., Follower],
):
    """Versions come twice as fast as the link carries them."""
    member = make_follower(SLOW_LINK, routes=400)
    member.run(2.0)
    member.publish_storm(100, 0.04)
    member.run(CONFIGURATION_DEADLINE_S)
    assert member.version == 101


# Guards against a timeout learned from small answers and applied to a large one.
def test_answer_that_takes_longer_than_other_reads_arrives(
    make_follower: Callable[..., Follower],
):
    """One version takes 1.3 s on the link; a small row is polled meanwhile."""
    member = make_follower(SLOWEST_LINK, routes=1300)
    poll = member.loop.create_task(read_small_row(member.table))
    member.run(10.0)
    assert member.version == 1
    member.publish()
    member.run(10.0)
    poll.cancel()
    assert member.version == 2


# Guards against a read that is ended while its answer is still arriving, and begun
# anew: members kept version 14 for up to 7.7 s after version 18 was acknowledged.
@pytest.mark.parametrize("waited_s", [0.1, 0.3, 0.5, 0.7, 0.9])
def test_large_version_is_in_force_within_the_deadline_on_a_slow_link(
    make_follower: Callable[..., Follower], waited_s: float
):
    """Versions get larger; the last ones take 1.6 s on the link, and come in pairs.

    :param waited_s: roughly how long the follower has waited for a change.
    """
    member = make_follower(HALF_SLOW_LINK, routes=0)
    poll = member.loop.create_task(read_small_row(member.table))
    for _ in range(3):
        member.run(20.0 + waited_s)
        member.routes += 1400
        for _ in range(2):
            member.publish()
            member.run(CONFIGURATION_DEADLINE_S)
            assert member.version == member.published
    poll.cancel()


# Guards against a timeout that was raised for large answers and then waits for a store
# that does not answer at all: the member's next read came 8 s later.
def test_silent_store_is_asked_again_soon(make_follower: Callable[..., Follower]):
    """The store gives no answer for 7 s, and a version is published meanwhile."""
    member = make_follower(SLOW_LINK, routes=400)
    member.run(2.0)
    member.link.is_silent = True
    member.run(1.5)
    member.publish()
    member.run(5.5)
    member.link.is_silent = False
    member.run(CONFIGURATION_DEADLINE_S)
    assert member.version == 2


def test_configuration_that_does_not_change_is_not_read_again(
    make_follower: Callable[..., Follower],
):
    """Only the first read carries the configuration."""
    member = make_follower(SLOW_LINK, routes=400)
    member.run(2.0)
    received = member.link.received_bytes
    member.run(10.0)
    assert member.version == 1
    assert member.link.received_bytes - received < 2000
