"""Tests of when a client's request is relayed to a peer."""

from __future__ import annotations

import asyncio

import pytest
from expression import Error, Ok

from redwingrun.coordination.verdict import Verdict, may_have_run, not_run
from redwingrun.jobs.backlog import (
    BACKLOG_FULL,
    BacklogGate,
    BacklogReport,
    BacklogSource,
)
from redwingrun.jobs.jobservice import RELAY_TIMEOUT_S, JobService
from redwingrun.jobs.peercalls import PeerCalls
from redwingrun.jobs.peerhealth import PeerHealth
from redwingrun.jobs.peerlinks import (
    LIVENESS_TIMEOUT_S,
    Liveness,
    PeerFailure,
    RelayAnswer,
)
from redwingrun.jobs.progress import JobState
from redwingrun.logs import Log
from tests.helpers import LoopClock, VirtualLoop, close_loop

TIMEOUT_S = 2.85
JOB_BYTES = 5_000
PEERS = [f"p{number}" for number in range(1, 8)]
# The longest that a request may wait for one peer that is lost.
ONE_LOST_PEER_S = RELAY_TIMEOUT_S


class StubMember:
    """A member whose table is unavailable or not."""

    def __init__(self) -> None:
        self.is_unavailable = False

    def table_is_unavailable(self) -> bool:
        """Return what the test has set."""
        return self.is_unavailable

    def notify_owner(self, job_id: str, submission: str) -> None:
        """Do nothing."""


class StubStore:
    """A job store whose calls take some time, and time out at their deadline."""

    def __init__(self, clock: LoopClock) -> None:
        self.needed_s = 0.01
        self.existing: set[str] = set()
        self._clock = clock

    async def submit(self, job_id: str, submission: str, timeout_s: float):
        """Store a job, unless that takes too long."""
        await asyncio.sleep(min(self.needed_s, timeout_s))
        if self.needed_s > timeout_s:
            return Error(may_have_run("table-away"))
        is_new = job_id not in self.existing
        self.existing.add(job_id)
        return Ok(is_new)

    async def exists(self, job_id: str, timeout_s: float):
        """Return whether a job is stored, unless that takes too long."""
        if self.needed_s > timeout_s:
            return Error(not_run("table-away"))
        return Ok(job_id in self.existing)


class StubPeers:
    """Peers that serve every request, but for those that are lost, and count them."""

    def __init__(self) -> None:
        self.relayed = 0
        self.lost: set[str] = set()

    async def relay(self, address: str, call, timeout_s: float):
        """Serve a relayed request."""
        self.relayed += 1
        if address in self.lost:
            await asyncio.sleep(timeout_s)
            return Error(PeerFailure.of(may_have_run("timeout")))
        return Ok(RelayAnswer(True, JobState.QUEUED))

    async def liveness(self, address: str) -> Liveness:
        """Answer a probe."""
        if address in self.lost:
            await asyncio.sleep(LIVENESS_TIMEOUT_S)
            return Liveness.SILENT
        return Liveness.ANSWERS


class StubRoom(BacklogSource):
    """The owner's room for jobs, not limited unless a test limits it."""

    room_bytes: int | None = None

    def backlog_report(self) -> BacklogReport:
        return BacklogReport(self.room_bytes)


class Setup:
    """A job service between stubs, in virtual time."""

    def __init__(self) -> None:
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        clock = LoopClock(self.loop)
        self.member = StubMember()
        self.room = StubRoom()
        self.store = StubStore(clock)
        self.peers = StubPeers()
        log = Log("test", "quiet")
        self.health = PeerHealth("m0", clock)
        self.health.set_peers(PEERS)
        calls = PeerCalls(self.peers, self.health, log, self.loop.create_task)
        self.service = JobService(
            self.store, calls, self.member, clock, log, BacklogGate(self.room)
        )

    def submit(self):
        """Submit a job; return the result and how long it took."""
        started_s = self.loop.time()
        result = self.loop.run_until_complete(
            self.service.submit("0" * 16, "{}", TIMEOUT_S, JOB_BYTES)
        )
        return result, self.loop.time() - started_s


@pytest.fixture
def setup():
    """Return a job service between stubs."""
    made = Setup()
    yield made
    close_loop(made.loop)


def test_a_request_waits_for_a_slow_table_instead_of_a_peer(setup: Setup):
    """A peer would send it to the same table a second time, and answer no sooner."""
    setup.store.needed_s = 2.0
    result, took_s = setup.submit()
    assert result.is_ok()
    assert took_s == pytest.approx(2.0)
    assert setup.peers.relayed == 0


def test_a_request_goes_to_a_peer_if_the_table_does_not_answer_this_member(
    setup: Setup,
):
    """The table may be reached from other hosts."""
    setup.store.needed_s = 60.0
    setup.loop.call_later(0.9, setattr, setup.member, "is_unavailable", True)
    result, took_s = setup.submit()
    assert result.is_ok()
    assert took_s < 1.3
    assert setup.peers.relayed == 1


def test_a_table_that_falls_silent_later_is_noticed(setup: Setup):
    """The request has waited for longer than its share already."""
    setup.store.needed_s = 60.0
    setup.loop.call_later(1.8, setattr, setup.member, "is_unavailable", True)
    result, took_s = setup.submit()
    assert result.is_ok()
    assert took_s < 2.1


def test_a_request_that_ran_out_of_time_is_not_said_not_to_have_run(setup: Setup):
    """The table may still carry it out."""
    setup.store.needed_s = 60.0
    result, _ = setup.submit()
    assert result.error.verdict is Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize("living", PEERS)
@pytest.mark.parametrize("heard", [True, False])
def test_a_request_waits_for_one_lost_peer_at_most(
    setup: Setup, heard: bool, living: str
):
    """It went to two peers at random, and failed if both were lost."""
    setup.member.is_unavailable = True
    setup.peers.lost = set(PEERS) - {living}
    for peer in PEERS if heard else []:
        setup.health.answered(peer)
    result, took_s = setup.submit()
    assert result.is_ok()
    assert took_s < ONE_LOST_PEER_S + 0.1


def test_lost_peers_are_not_tried_again(setup: Setup):
    """The failure of one request is known to the next one."""
    setup.member.is_unavailable = True
    setup.peers.lost = set(PEERS[:6])
    setup.submit()
    setup.loop.run_until_complete(asyncio.sleep(1.0))
    for _ in range(20):
        result, took_s = setup.submit()
        assert result.is_ok()
        assert took_s < 0.1


def test_a_request_fails_soon_if_all_peers_are_lost(setup: Setup):
    """Nobody can serve it, so that the client should come again later."""
    setup.member.is_unavailable = True
    setup.peers.lost = set(PEERS)
    result, took_s = setup.submit()
    assert result.error.verdict is Verdict.NOT_RUN
    assert took_s < ONE_LOST_PEER_S


def test_a_job_without_room_is_refused_and_not_stored(setup: Setup):
    """Guards against an owner that runs out of memory by the jobs that it accepted."""
    setup.room.room_bytes = JOB_BYTES
    result, _ = setup.submit()
    assert result.error.verdict is Verdict.NOT_RUN
    assert result.error.reason == BACKLOG_FULL
    assert not setup.store.existing


def test_an_accepted_job_that_is_submitted_again_is_not_refused(setup: Setup):
    """Clients repeat a request that got no answer; 503 would say that it never runs."""
    assert setup.submit()[0].is_ok()
    setup.room.room_bytes = 0
    assert setup.submit()[0].is_ok()


def test_a_job_without_room_may_have_run_if_the_table_does_not_say(setup: Setup):
    """An earlier submission of it may be stored."""
    setup.room.room_bytes = 0
    setup.store.needed_s = 60.0
    result, _ = setup.submit()
    assert result.error.verdict is Verdict.MAY_HAVE_RUN
