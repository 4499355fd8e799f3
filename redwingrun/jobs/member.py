"""A member of a slice: serves clients, and owns the slice after a successful claim."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Callable, Coroutine
from typing import Any

from expression import Result

from redwingrun.coordination.table import Row, TableUnavailable, TableUnknown
from redwingrun.coordination.verdict import Failure
from redwingrun.jobs.backlog import (
    UNKNOWN_OWNER_REPORT_S,
    BacklogGate,
    BacklogReport,
    BacklogSource,
)
from redwingrun.jobs.cancellation import cancel_all
from redwingrun.jobs.claimorder import ClaimOrder
from redwingrun.jobs.configanswer import ConfigAnswer
from redwingrun.jobs.configfreshness import ConfigFreshness
from redwingrun.jobs.jobservice import JobService
from redwingrun.jobs.jobstore import JobStore
from redwingrun.jobs.memberconfig import MemberDependencies, MemberSettings
from redwingrun.jobs.memberport import MemberPort
from redwingrun.jobs.memberregistry import MemberRegistry
from redwingrun.jobs.ownerbase import OwnerDependencies
from redwingrun.jobs.ownerprobe import OwnerProbe
from redwingrun.jobs.ownerwatch import FAILURE_TIMEOUT_READS, PROBE_AFTER_S, OwnerWatch
from redwingrun.jobs.partitionwriter import owner_key
from redwingrun.jobs.peercalls import PeerCalls
from redwingrun.jobs.peerconfig import PeerConfigReader
from redwingrun.jobs.peerdirectory import PeerDirectory
from redwingrun.jobs.peerhealth import PeerHealth
from redwingrun.jobs.peerlinks import Liveness
from redwingrun.jobs.peerlist import MemberRow, PeerList
from redwingrun.jobs.policyproxies import PolicyProxies, PolicyProxy
from redwingrun.jobs.policysender import PolicySender
from redwingrun.jobs.ports import PolicyAnswer
from redwingrun.jobs.queuefollower import QueueFollower
from redwingrun.jobs.sliceowner import SliceOwner
from redwingrun.jobs.slicewriter import SliceWriter
from redwingrun.jobs.spec import QueueSet
from redwingrun.jobs.workerpool import PolicyQuery

# The table counts as unavailable when it has not answered for this time plus
# TABLE_UNAVAILABLE_READS average read times, because a slow table is not unavailable.
TABLE_UNAVAILABLE_AFTER_S = 0.7
TABLE_UNAVAILABLE_READS = 3
# An owner looks for a peer that reaches the table when its last commit is older than
# this plus FAILURE_TIMEOUT_READS average read times.
HAND_OVER_AFTER_S = 0.65
MONITOR_INTERVAL_S = 0.2
OWNER_ROW_TIMEOUT_S = 0.8
# A peer reaches the table if it has read the owner's row within this time.
TABLE_ACCESS_MAX_AGE_S = 0.7
# An owner on a slow host hands the slice over to a faster one, but not earlier than
# this after its claim; HAND_OVER_RETRY_INTERVAL_S is the time between two attempts.
MIN_OWNERSHIP_S = 3.0
HAND_OVER_RETRY_INTERVAL_S = 60.0
MAX_SUCCESSORS_ASKED = 16
# Longest time that a leaving member spends on removing its row.
UNREGISTER_TIMEOUT_S = 0.5
TASK_RESTART_INTERVAL_S = 1.0


class Member(MemberPort, BacklogSource):
    """One of the processes that share a slice; at most one of them owns it.

    :param settings: the member's name, address and slice.
    :param dependencies: the table, workers, policy and peers that the member uses.
    :ivar job_store: stores and reads jobs through the table only.
    :ivar jobs: serves clients' requests through the table or a peer.
    """

    def __init__(self, settings: MemberSettings, dependencies: MemberDependencies):
        self._settings = settings
        self._dependencies = dependencies
        self._log = dependencies.log
        self._created_s = dependencies.clock.now()
        self._freshness = ConfigFreshness(
            dependencies.clock, dependencies.log, settings.revocation_timeout_s
        )
        self._queue_follower = QueueFollower(
            dependencies.queues,
            dependencies.clock,
            dependencies.log,
            dependencies.metrics,
            self._queues_changed,
            self._freshness,
        )
        self._has_queues = False
        self._member_registry = MemberRegistry(
            dependencies.table, settings.slice_name, dependencies.log
        )
        self._has_joined = False
        self.job_store = JobStore(
            dependencies.table,
            settings.slice_name,
            dependencies.clock,
            self.table_is_unavailable,
        )
        self._peer_health = PeerHealth(settings.name, dependencies.clock)
        self._peer_calls = PeerCalls(
            dependencies.peers, self._peer_health, dependencies.log, self._spawn
        )
        self._peer_config = PeerConfigReader(
            self._peer_calls,
            self._queue_follower,
            self._freshness,
            dependencies.clock,
            dependencies.log,
            settings.name,
        )
        self._policy_proxies = PolicyProxies(self._peer_health)
        self.jobs = JobService(
            self.job_store,
            self._peer_calls,
            self,
            dependencies.clock,
            dependencies.log,
            BacklogGate(self),
        )
        self._owner: SliceOwner | None = None
        self._watch = OwnerWatch()
        self._poll_now = asyncio.Event()
        self._handover_from = ""
        self._leaving = False
        self._ownership_over = asyncio.Event()
        self._peers = PeerList(settings.row())
        self._next_hand_over_at_s = -math.inf
        self._owner_probe = OwnerProbe(
            self._peer_calls, self._spawn, self._poll_now.set
        )
        self._owner_row_read_s = -math.inf
        # The owner's row that this member last tried to replace by its claim, and the
        # last time at which it owned the slice.
        self._claimed_row: Row | None = None
        self._owned_s = -math.inf
        self._tasks: list[asyncio.Task[Any]] = []
        self._background_tasks: set[asyncio.Task[Any]] = set()
        self._directory = PeerDirectory(
            self._member_registry,
            settings.row(),
            self._peers,
            self._peer_calls,
            dependencies.clock,
            dependencies.log,
            self._peers_changed,
        )
        self._claim_order = ClaimOrder(settings.name, self._peers, self._peer_health)

    @property
    def queues(self) -> QueueSet | None:
        """The configuration in force; ``None`` until it has been read."""
        return self._queue_follower.queues

    def queues_age_s(self) -> float:
        """Return the seconds since the configuration was last read or confirmed."""
        return min(self._queue_follower.age_s(), self._freshness.age_s())

    def accepts_keys(self) -> bool:
        """Return whether the configuration is fresh enough to decide about keys."""
        return self._freshness.is_fresh()

    def config_answer(self, known_version: int) -> ConfigAnswer:
        """Return what this member knows of the configuration."""
        follower = self._queue_follower
        encoded = follower.encoded if follower.version > known_version else ""
        return ConfigAnswer(follower.version, self._freshness.age_s(), encoded)

    @property
    def is_ready(self) -> bool:
        """Whether clients should be sent here."""
        return self.queues is not None and not self._leaving

    @property
    def is_owner(self) -> bool:
        """Whether this member owns the slice."""
        return self._owner is not None

    def table_is_unavailable(self) -> bool:
        """Return whether the table's last answer to this member is too old.

        The limit is ``TABLE_UNAVAILABLE_AFTER_S`` plus ``TABLE_UNAVAILABLE_READS``
        average read times. Only reads of the owner's row and of the configuration of
        queues count, and the commits of an owner, which does not read its row.
        """
        return (
            self._dependencies.clock.now() - self._table_answered_s()
            > TABLE_UNAVAILABLE_AFTER_S
            + TABLE_UNAVAILABLE_READS * self._watch.average_read_s
        )

    def table_outage_s(self) -> float:
        """Return the seconds since the table's last answer, 0 while it is available.

        Before the first answer they count from the creation of this member.
        """
        if not self.table_is_unavailable():
            return 0.0
        since_s = max(self._created_s, self._table_answered_s())
        return self._dependencies.clock.now() - since_s

    def _table_answered_s(self) -> float:
        """Return the monotonic time of the table's last answer to this member."""
        answered_s = max(self._owner_row_read_s, self._queue_follower.answered_s)
        if self._owner is None:
            return answered_s
        now_s = self._dependencies.clock.now()
        return max(answered_s, now_s - self._owner.since_commit_s())

    def owner_row_age_s(self) -> float:
        """Return the seconds since this member last read the owner's row.

        It is zero while the member owns the slice or may have claimed it, although it
        does not read the row then. A former owner counts on it that no peer with an old
        read has claimed the slice.
        """
        if self._owner is not None or self._may_have_claimed():
            return 0.0
        read_s = max(self._owner_row_read_s, self._owned_s)
        return self._dependencies.clock.now() - read_s

    def _may_have_claimed(self) -> bool:
        """Return whether a claim was sent that may still take effect."""
        return self._claimed_row is not None and self._claimed_row == self._watch.row

    def peer_addresses(self) -> list[str]:
        """Return the addresses of the other members."""
        return self._peers.addresses()

    def waiting_count(self, queue: str) -> int | None:
        """Return how many of a queue's jobs have not started; ``None`` if unknown."""
        return self._watch.waiting_count(queue, self._dependencies.clock.now())

    def backlog_report(self) -> BacklogReport:
        """Return what this member knows of the owner's room for jobs."""
        if self._owner is not None and self._owner.has_loaded:
            return BacklogReport(self._owner.engine.backlog_room_bytes())
        owner = self._watch.owner
        if owner is not None and owner.backlog_room_bytes is not None:
            return BacklogReport(owner.backlog_room_bytes, self._watch.changed_s)
        # The next owner is likely to have as much memory as this host.
        max_bytes = self._settings.engine.max_backlog_bytes
        now_s = self._dependencies.clock.now()
        return BacklogReport(max_bytes, -1.0 - now_s // UNKNOWN_OWNER_REPORT_S)

    def start(self) -> None:
        """Start the tasks that follow the configuration, the peers and the owner."""
        loop = asyncio.get_running_loop()
        for work in (
            self._queue_follower.run,
            self._peer_config.run,
            self._join,
            self._directory.renew,
            self._remove_lost_members,
            self._watch_owner,
        ):
            self._tasks.append(loop.create_task(self._run_until_done(work)))

    async def _run_until_done(
        self, work: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Run a coroutine, and start it again if it ends by an exception.

        Without its tasks a member would go on serving clients with what it knew last.
        """
        while True:
            try:
                return await work()
            except Exception as error:
                self._log.fault("member-task-failed", why=repr(error))
                await asyncio.sleep(TASK_RESTART_INTERVAL_S)

    def _task_ended(self, task: asyncio.Task[Any]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._log.fault("member-task-failed", why=repr(task.exception()))

    async def leave(self) -> None:
        """Stop claiming, and release an owned slice to the peer on the fastest host.

        Peers are told that this member leaves, so that they send it no more calls.
        """
        self._leaving = True
        owner = self._owner
        if owner is not None:
            peers = self._peers.fastest_first()
            await self._release_to(owner, await self._first_with_table_access(peers))
        try:
            async with asyncio.timeout(UNREGISTER_TIMEOUT_S):
                await self._directory.unregister()
        except (TableUnavailable, TableUnknown, TimeoutError) as error:
            self._log.event("member-row-kept", why=str(error))

    async def _release_to(self, owner: SliceOwner, successor: MemberRow | None) -> None:
        """Release the slice and ask a peer to claim it.

        :param successor: ``None`` if any peer may claim the slice.
        """
        owner.release(successor.name if successor else "")
        await self._ownership_over.wait()
        if successor is not None:
            await self._peer_calls.ask_to_claim(successor.address)

    async def close(self) -> None:
        """Cancel all tasks of this member and close its connections to peers."""
        await cancel_all([*self._tasks, *self._background_tasks])
        await self._dependencies.peers.close()

    # Configuration.

    def _queues_changed(self, queues: QueueSet) -> None:
        """Tell the owner of a newer configuration; look at its row after the first."""
        if not self._has_queues:
            # Without a configuration this member could not claim the slice until now.
            self._has_queues = True
            self._poll_now.set()
        if self._owner is not None:
            self._owner.set_queues(queues)

    # Peers.

    async def _join(self) -> None:
        """Register this member, then keep the list of its peers up to date."""
        if not self._has_joined:
            secret = await self._member_registry.shared_secret()
            await self._dependencies.peers.open(self, secret)
            await self._directory.register()
            self._has_joined = True
        await self._directory.follow()

    async def _remove_lost_members(self) -> None:
        await self._directory.remove_lost(lambda: self.is_owner)

    def _peers_changed(self, addresses: list[str]) -> None:
        self._peer_health.set_peers(addresses)
        self._policy_proxies.set_peers(addresses)

    def notify_owner(self, job_id: str, submission: str) -> None:
        """Notify the owner of a stored job or cancellation, without waiting for it.

        The notification saves time only: the owner also reads the change from the
        table.

        :param submission: the accepted job's submission; empty for a cancellation.
        """
        if self._owner is not None:
            self._owner.receive_notification(job_id, submission)
            return
        owner = self._watch.owner
        if owner is None or not owner.address:
            return
        work = self._peer_calls.notify(owner.address, job_id, submission)
        self._spawn(work)

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine in the background until this member is closed."""
        task = asyncio.get_running_loop().create_task(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_task_ended)

    def _background_task_ended(self, task: asyncio.Task[Any]) -> None:
        self._background_tasks.discard(task)
        self._task_ended(task)

    def receive_notification(self, job_id: str, submission: str) -> None:
        """Pass a peer's notification on to the owner, if this member owns the slice.

        :param submission: the accepted job's submission; empty for a cancellation.
        """
        if self._owner is not None:
            self._owner.receive_notification(job_id, submission)

    def poll_owner_row(self, handover_from: str = "") -> None:
        """Read the owner's row now instead of at the next poll.

        :param handover_from: name of an owner that hands the slice over; this member
            may claim from it without waiting for the failure timeout.
        """
        self._handover_from = handover_from or self._handover_from
        self._poll_now.set()

    async def query_policy(
        self, proxy: PolicyProxy, query: PolicyQuery, timeout_s: float
    ) -> Result[PolicyAnswer, Failure]:
        """Query the placement policy from this member or through a peer.

        :param proxy: the member that sends the query to the policy.
        """
        step = query.step_id
        if not proxy.address:
            return await self._dependencies.policy.query_policy(
                step, query.worker_ids, timeout_s
            )
        return await self._peer_calls.query_policy(proxy.address, query, timeout_s)

    async def query_policy_locally(self, query: PolicyQuery, timeout_s: float) -> Any:
        """Send a peer's query to the placement policy."""
        return await self._dependencies.policy.query_policy(
            query.step_id, query.worker_ids, timeout_s
        )

    # Ownership.

    async def _watch_owner(self) -> None:
        """Poll the owner's row, and claim the slice when a claim is due.

        That is when the owner has failed, released the slice or hands it over, or when
        there is none.
        """
        while not self._leaving:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._poll_now.wait(), self._poll_delay_s())
            self._poll_now.clear()
            if self.queues is None:
                continue
            started_s = self._dependencies.clock.now()
            try:
                row = await self._dependencies.table.read(
                    owner_key(self._settings.slice_name)
                )
            except (TableUnavailable, TableUnknown) as error:
                self._log.detail("owner-unread", why=str(error))
                self._watch.record_failed_read()
                continue
            now_s = self._dependencies.clock.now()
            self._owner_row_read_s = now_s
            self._watch.record_read(row, now_s - started_s, now_s)
            claim_is_due = self._watch.unchanged_s >= self._claim_after_s()
            self._start_due_probe()
            if (
                claim_is_due
                or self._owner_probe.has_found(Liveness.ENDED, self._watch.row)
            ) and not self._leaving:
                await self._claim()

    def _poll_delay_s(self) -> float:
        """Return the seconds until the next read of the owner's row."""
        return self._watch.poll_delay_s(
            self._claim_after_s(), PROBE_AFTER_S + self._claim_order.probe_delay_s()
        )

    def _claim_after_s(self) -> float:
        """Return how long the owner's row must be unchanged before a claim."""
        name, claim_delay_s = self._settings.name, self._claim_order.claim_delay_s()
        is_silent = self._owner_probe.has_found(Liveness.SILENT, self._watch.row)
        return self._watch.claim_after_s(
            name, self._handover_from, claim_delay_s, is_silent
        )

    def _start_due_probe(self) -> None:
        address = self._watch.address_to_probe(self._claim_order.probe_delay_s())
        if address:
            self._owner_probe.start(address, self._watch.row)

    async def _claim(self) -> None:
        settings = self._settings
        self._claimed_row = self._watch.row
        try:
            writer = await SliceWriter.claim(
                self._dependencies.table,
                settings.slice_name,
                settings.name,
                settings.address,
                self._watch.row,
                self._log,
            )
        except (TableUnavailable, TableUnknown) as error:
            self._log.event("claim-failed", why=str(error))
            return
        if writer is None:
            return
        before = self._watch.owner
        self._log.event(
            "claimed",
            fence=writer.fence,
            before=before.member if before else "",
            still_s=round(self._watch.unchanged_s, 3),
        )
        self._dependencies.metrics.count("claims_total")
        await self._own(writer)

    async def _own(self, writer: SliceWriter) -> None:
        """Run the owner of the slice until its ownership ends."""
        dependencies = self._dependencies
        owner = SliceOwner(
            writer,
            OwnerDependencies(
                dependencies.table,
                dependencies.workers,
                dependencies.registry,
                self._policy_proxies,
                PolicySender(
                    self._policy_proxies,
                    self.query_policy,
                    dependencies.clock,
                    dependencies.log,
                ),
                dependencies.clock,
                dependencies.unix_ms,
                dependencies.log,
                dependencies.metrics,
                self._settings.engine,
            ),
            self.queues,
        )
        self._owner = owner
        self._handover_from = ""
        self._ownership_over.clear()
        monitor = asyncio.get_running_loop().create_task(
            self._monitor_ownership(owner, writer)
        )
        try:
            why = await owner.run()
            self._log.event("ownership-ended", fence=writer.fence, why=why)
        finally:
            monitor.cancel()
            self._owner = None
            self._owned_s = dependencies.clock.now()
            self._watch.reset()
            self._ownership_over.set()

    async def _monitor_ownership(self, owner: SliceOwner, writer: SliceWriter) -> None:
        """Update the watch's copy of the owner's row, and hand over to a better peer.

        The row is not polled while this member owns the slice. ``waiting_count`` reads
        the copy.

        A peer is better if its host is clearly faster, or if it reaches the table
        while this member does not.
        """
        earliest_hand_over_s = self._dependencies.clock.now() + MIN_OWNERSHIP_S
        while True:
            self._watch.owner = writer.row
            self._watch.changed_s = (
                self._dependencies.clock.now() - owner.since_commit_s()
            )
            if self._dependencies.clock.now() >= max(
                earliest_hand_over_s, self._next_hand_over_at_s
            ):
                await self._hand_over_to_faster(owner)
            if (
                owner.since_commit_s()
                > HAND_OVER_AFTER_S + FAILURE_TIMEOUT_READS * self._watch.average_read_s
            ):
                peers = self._peers.fastest_first()
                probed_s = self._dependencies.clock.now()
                ages = await self._peer_calls.owner_row_ages(
                    peers, TABLE_ACCESS_MAX_AGE_S
                )
                if self._directory.has_read:
                    owner.note_owner_row_ages(ages, probed_s)
                peer = _first_with_table_access(peers, ages)
                if peer and not await self._can_read_owner_row():
                    await self._hand_over_without_table(owner, peer.address)
                    return
            await asyncio.sleep(MONITOR_INTERVAL_S)

    async def _hand_over_to_faster(self, owner: SliceOwner) -> None:
        """Release the slice to a clearly faster host that reaches the table."""
        faster = self._peers.faster()
        if not faster or self._leaving or owner.since_commit_s() > HAND_OVER_AFTER_S:
            return
        self._next_hand_over_at_s = (
            self._dependencies.clock.now() + HAND_OVER_RETRY_INTERVAL_S
        )
        peer = await self._first_with_table_access(faster)
        if peer is None:
            return
        self._log.event("owner-moves", to=peer.name, speed=peer.speed)
        self._spawn(self._release_to(owner, peer))

    async def _can_read_owner_row(self) -> bool:
        """Return whether the owner's row can be read within ``OWNER_ROW_TIMEOUT_S``."""
        key = owner_key(self._settings.slice_name)
        try:
            async with asyncio.timeout(OWNER_ROW_TIMEOUT_S):
                await self._dependencies.table.read(key)
        except (TableUnavailable, TableUnknown, TimeoutError):
            return False
        return True

    async def _first_with_table_access(self, rows: list[MemberRow]) -> MemberRow | None:
        """Ask peers at the same time; return the first that reaches the table.

        :param rows: the peers, in order of preference. The first
            ``MAX_SUCCESSORS_ASKED`` of them that are not known to be silent are asked.
        """
        health = self._peer_health
        rows = [row for row in rows if not health.is_silent(row.address)]
        asked = rows[:MAX_SUCCESSORS_ASKED]
        ages = await self._peer_calls.owner_row_ages(asked, TABLE_ACCESS_MAX_AGE_S)
        return _first_with_table_access(asked, ages)

    async def _hand_over_without_table(self, owner: SliceOwner, address: str) -> None:
        """Ask a peer that reaches the table to claim the slice, then stop owning it.

        This member can't release the slice itself, since it does not reach the table.
        """
        name = self._settings.name
        await self._peer_calls.ask_to_claim(address, handover_from=name)
        owner.lose_ownership("a peer reaches the table and this member does not")


def _first_with_table_access(
    rows: list[MemberRow], ages: list[float | None]
) -> MemberRow | None:
    """Return the first peer that reaches the table.

    Such a peer has read the owner's row within ``TABLE_ACCESS_MAX_AGE_S``.

    :param rows: the peers, in order of preference.
    """
    for row, age_s in zip(rows, ages, strict=True):
        if age_s is not None and age_s < TABLE_ACCESS_MAX_AGE_S:
            return row
    return None
