"""A member of a slice: serves clients, and owns the slice when its turn comes."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Coroutine
from typing import Any

from expression import Result

from redwingrun.coordination.table import (
    HistoryTruncated,
    Row,
    TableUnavailable,
    TableUnknown,
)
from redwingrun.coordination.verdict import Failure
from redwingrun.jobs.cancellation import cancel_all
from redwingrun.jobs.claimorder import ClaimOrder
from redwingrun.jobs.jobservice import JobService
from redwingrun.jobs.jobstore import JobStore
from redwingrun.jobs.memberconfig import MemberDependencies, MemberSettings
from redwingrun.jobs.memberport import MemberPort
from redwingrun.jobs.memberregistry import MemberRegistry
from redwingrun.jobs.ownerwatch import GONE_LOOK_S, SILENCE_READS, OwnerWatch
from redwingrun.jobs.partitionwriter import owner_key
from redwingrun.jobs.peerlist import MemberRow, PeerList
from redwingrun.jobs.policyproxies import PolicyProxy
from redwingrun.jobs.ports import (
    PolicyAnswer,
)
from redwingrun.jobs.sliceowner import OwnerDependencies, SliceOwner
from redwingrun.jobs.slicewriter import SliceWriter
from redwingrun.jobs.spec import QueueSet
from redwingrun.jobs.workerpool import PolicyQuery

# Without any answer for so long, and some reading times more, the table is away.
TABLE_IS_AWAY_S = 0.7
AWAY_READS = 3
# An owner that could store nothing for so long looks for a peer that can.
HAND_OVER_S = 0.65
MIND_S = 0.2
OWN_LOOK_S = 0.8
# A peer that has read the owner's row within this time reaches the table.
TABLE_IS_NEAR_S = 0.7
# An owner on a slow host hands over once it has owned the slice for so long, and
# tries again after a while.
SETTLED_S = 3.0
NEXT_MOVE_S = 60.0
QUEUES_WAIT_S = 1.0
RETRY_S = 0.2
MEMBERS_S = 3.0


class Member(MemberPort):
    """One process of the slice.

    :param settings: who it is.
    :param parts: the outside.
    """

    def __init__(self, settings: MemberSettings, parts: MemberDependencies):
        self._settings = settings
        self._parts = parts
        self._log = parts.log
        self.queues: QueueSet | None = None
        self.intake = JobStore(
            parts.table, settings.slice_name, parts.clock, self.table_is_away
        )
        self.jobs = JobService(self.intake, parts.peers, self, parts.clock, parts.log)
        self._owner: SliceOwner | None = None
        self._watch = OwnerWatch()
        self._look_now = asyncio.Event()
        self._followed = ""
        self._leaving = False
        self._left = asyncio.Event()
        self._peers = PeerList(settings.row())
        self._next_move_s = -math.inf
        # The owner's row as it was when no process listened at its address.
        self._gone_row: Row | None = None
        self._is_looking = False
        self._table_heard_s = 0.0
        self._owner_row_read_s = -math.inf
        self._tasks: list[asyncio.Task[Any]] = []
        self._side_tasks: set[asyncio.Task[Any]] = set()
        self._order = ClaimOrder(settings.name, self._peers)

    @property
    def is_ready(self) -> bool:
        """Whether clients should be sent here."""
        return self.queues is not None and not self._leaving

    @property
    def is_owner(self) -> bool:
        """Whether this member owns the slice."""
        return self._owner is not None

    def table_is_away(self) -> bool:
        """Tell whether the table has answered nothing here for some time."""
        silent_s = self._parts.clock.now() - self._table_heard_s
        return silent_s > TABLE_IS_AWAY_S + AWAY_READS * self._watch.read_s

    def owner_row_age_s(self) -> float:
        """Return how long the owner's row could not be read here."""
        return self._parts.clock.now() - self._owner_row_read_s

    def peer_addresses(self) -> list[str]:
        """Return where the other members can be reached."""
        return self._peers.addresses()

    def waiting_count(self, queue: str) -> int | None:
        """Return how many of a queue's jobs have not begun; ``None`` if unknown."""
        return self._watch.waiting_count(queue, self._parts.clock.now())

    def start(self) -> None:
        """Begin to follow the table."""
        loop = asyncio.get_running_loop()
        for work in (self._follow_queues(), self._join(), self._watch_owner()):
            task = loop.create_task(work)
            task.add_done_callback(self._task_ended)
            self._tasks.append(task)

    def _task_ended(self, task: asyncio.Task[Any]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._log.fault("member-task-failed", why=repr(task.exception()))

    async def leave(self) -> None:
        """Hand the slice over and stop claiming."""
        self._leaving = True
        owner = self._owner
        if owner is not None:
            await self._pass_on(owner, next(iter(self._peers.fastest_first()), None))

    async def _pass_on(self, owner: SliceOwner, successor: MemberRow | None) -> None:
        """Give the slice up and ask a peer to claim it."""
        owner.give_up(successor.name if successor else "")
        await self._left.wait()
        if successor is not None:
            await self._parts.peers.look(successor.address, claim=True)

    async def close(self) -> None:
        """End everything that still runs."""
        await cancel_all([*self._tasks, *self._side_tasks])
        await self._parts.peers.close()

    # Configuration.

    async def _follow_queues(self) -> None:
        position: int | None = None
        while True:
            try:
                source = self._parts.queues
                if position is None:
                    change = await source.load()
                else:
                    change = await source.changes(position, QUEUES_WAIT_S)
            except HistoryTruncated:
                position = None
                continue
            except (TableUnavailable, TableUnknown) as error:
                self._log.event("queues-unread", why=str(error))
                await asyncio.sleep(RETRY_S)
                continue
            position = change.position
            self._table_heard_s = self._parts.clock.now()
            if change.queues is not None:
                self._take_queues(change.queues)
            elif self.queues is None:
                position = None
                await asyncio.sleep(RETRY_S)

    def _take_queues(self, queues: QueueSet) -> None:
        if self.queues is not None and queues.version <= self.queues.version:
            return
        self._log.event(
            "queues-in-force",
            version=queues.version,
            before=self.queues.version if self.queues else 0,
            queues=len(queues.queue_by_name),
        )
        if self.queues is None:
            # Nothing could be claimed before.
            self._look_now.set()
        self.queues = queues
        if self._owner is not None:
            self._owner.set_queues(queues)

    # Peers.

    async def _join(self) -> None:
        """Make this member known and keep the list of the others."""
        parts = self._parts
        joining = MemberRegistry(parts.table, self._settings.slice_name, parts.log)
        await parts.peers.open(self, await joining.secret())
        await joining.register(self._settings.row())
        while True:
            with contextlib.suppress(TableUnavailable, TableUnknown):
                self._take_members(await joining.members())
            await asyncio.sleep(MEMBERS_S)

    def _take_members(self, rows: tuple[Row, ...]) -> None:
        self._peers.take(rows)
        if self._owner is not None:
            self._set_lanes(self._owner)

    def _set_lanes(self, owner: SliceOwner) -> None:
        owner.proxies.set_peers(self._peers.addresses())
        owner.engine.set_policy_proxy_count(len(owner.proxies.proxies))

    def announce(self, job_id: str, submission: str) -> None:
        """Tell the owner what was just stored; it would hear of it anyway.

        :param submission: of a job that was accepted; empty for a cancellation.
        """
        if self._owner is not None:
            self._owner.hear(job_id, submission)
            return
        owner = self._watch.owner
        if owner is None or not owner.address:
            return
        work = self._parts.peers.tell(owner.address, job_id, submission)
        self._spawn(work)

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run something on the side until this member closes."""
        task = asyncio.get_running_loop().create_task(work)
        self._side_tasks.add(task)
        task.add_done_callback(self._side_task_ended)

    def _side_task_ended(self, task: asyncio.Task[Any]) -> None:
        self._side_tasks.discard(task)
        self._task_ended(task)

    def hear(self, job_id: str, submission: str) -> None:
        """Take news from a peer, if this member owns the slice."""
        if self._owner is not None:
            self._owner.hear(job_id, submission)

    def poll_owner_row(self, hands_over: str = "") -> None:
        """Read the owner's row at once.

        :param hands_over: the owner that asks to be followed.
        """
        self._followed = hands_over or self._followed
        self._look_now.set()

    async def query_policy(
        self, proxy: PolicyProxy, order: PolicyQuery, timeout_s: float
    ) -> Result[PolicyAnswer, Failure]:
        """Put a question to the policy, from here or from a peer."""
        step = order.step_id
        if not proxy.address:
            return await self._parts.policy.query_policy(
                step, order.worker_ids, timeout_s
            )
        return await self._parts.peers.query_policy(proxy.address, order, timeout_s)

    async def ask_here(self, order: PolicyQuery, timeout_s: float) -> Any:
        """Put a peer's question to the policy."""
        return await self._parts.policy.query_policy(
            order.step_id, order.worker_ids, timeout_s
        )

    # Ownership.

    async def _watch_owner(self) -> None:
        while not self._leaving:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._look_now.wait(), self._pause_s())
            self._look_now.clear()
            if self.queues is None:
                continue
            asked_s = self._parts.clock.now()
            try:
                row = await self._parts.table.read(owner_key(self._settings.slice_name))
            except (TableUnavailable, TableUnknown) as error:
                self._log.detail("owner-unread", why=str(error))
                self._watch.miss()
                continue
            now_s = self._parts.clock.now()
            self._table_heard_s = now_s
            self._owner_row_read_s = now_s
            self._watch.see(row, now_s - asked_s, now_s)
            claims = self._watch.still_s >= self._claim_after_s()
            if (claims or self._owner_is_gone()) and not self._leaving:
                await self._claim()

    def _pause_s(self) -> float:
        """Return how long to wait with the next look at the owner's row."""
        return self._watch.pause_s(
            self._claim_after_s(), GONE_LOOK_S + self._order.look_later_s()
        )

    def _claim_after_s(self) -> float:
        name, stagger_s = self._settings.name, self._order.stagger_s()
        return self._watch.claim_after_s(name, self._followed, stagger_s)

    def _owner_is_gone(self) -> bool:
        """Tell whether the owner's process has certainly ended, as far as is known.

        A look for it goes on meanwhile: an owner whose host is frozen or cut off
        does not answer, and the claim must not wait for that.
        """
        if self._gone_row is not None and self._gone_row == self._watch.row:
            return True
        address = self._watch.address_to_look_at(self._order.look_later_s())
        if address and not self._is_looking:
            self._is_looking = True
            self._spawn(self._look_for_owner(address, self._watch.row))
        return False

    async def _look_for_owner(self, address: str, row: Row | None) -> None:
        try:
            if await self._parts.peers.is_gone(address):
                self._gone_row = row
                self._look_now.set()
        finally:
            self._is_looking = False

    async def _claim(self) -> None:
        settings = self._settings
        try:
            journal = await SliceWriter.claim(
                self._parts.table,
                settings.slice_name,
                settings.name,
                settings.address,
                self._watch.row,
                self._log,
            )
        except (TableUnavailable, TableUnknown) as error:
            self._log.event("claim-failed", why=str(error))
            return
        if journal is None:
            return
        before = self._watch.owner
        self._log.event(
            "claimed",
            fence=journal.fence,
            before=before.member if before else "",
            still_s=round(self._watch.still_s, 3),
        )
        self._parts.metrics.count("claims_total")
        await self._own(journal)

    async def _own(self, journal: SliceWriter) -> None:
        parts = self._parts
        owner = SliceOwner(
            journal,
            OwnerDependencies(
                parts.table,
                parts.workers,
                parts.registry,
                self.query_policy,
                parts.clock,
                parts.unix_ms,
                parts.log,
                parts.metrics,
                self._settings.engine,
            ),
            self.queues,
        )
        self._owner = owner
        self._followed = ""
        self._left.clear()
        self._set_lanes(owner)
        observer = asyncio.get_running_loop().create_task(self._mind(owner, journal))
        try:
            why = await owner.run()
            self._log.event("ownership-ended", fence=journal.fence, why=why)
        finally:
            observer.cancel()
            self._owner = None
            self._watch.begin_anew()
            self._left.set()

    async def _mind(self, owner: SliceOwner, journal: SliceWriter) -> None:
        """Keep the counts current, and step down where a peer would serve better."""
        settled_s = self._parts.clock.now() + SETTLED_S
        while True:
            self._watch.owner = journal.row
            self._watch.changed_s = self._parts.clock.now() - owner.silent_s()
            if self._parts.clock.now() >= max(settled_s, self._next_move_s):
                await self._move_to_faster(owner)
            if owner.silent_s() > HAND_OVER_S + SILENCE_READS * self._watch.read_s:
                near = await self._first_near_table(self._peers.fastest_first())
                if near and not await self._owner_row_is_near():
                    await self._hand_over(owner, near.address)
                    return
            await asyncio.sleep(MIND_S)

    async def _move_to_faster(self, owner: SliceOwner) -> None:
        """Pass the slice on to a peer on a clearly faster host, if one answers."""
        faster = self._peers.faster()
        if not faster or self._leaving or owner.silent_s() > HAND_OVER_S:
            return
        self._next_move_s = self._parts.clock.now() + NEXT_MOVE_S
        peer = await self._first_near_table(faster)
        if peer is None:
            return
        self._log.event("owner-moves", to=peer.name, speed=peer.speed)
        self._spawn(self._pass_on(owner, peer))

    async def _owner_row_is_near(self) -> bool:
        """Tell whether the owner's row can be read here."""
        key = owner_key(self._settings.slice_name)
        try:
            async with asyncio.timeout(OWN_LOOK_S):
                await self._parts.table.read(key)
        except (TableUnavailable, TableUnknown, TimeoutError):
            return False
        return True

    async def _first_near_table(self, rows: list[MemberRow]) -> MemberRow | None:
        """Return the first of some peers that has just read the owner's row."""
        peers = self._parts.peers
        ages = await asyncio.gather(
            *(peers.look(row.address, claim=False) for row in rows)
        )
        for row, age_s in zip(rows, ages, strict=True):
            if age_s is not None and age_s < TABLE_IS_NEAR_S:
                return row
        return None

    async def _hand_over(self, owner: SliceOwner, address: str) -> None:
        """Let a peer follow that reaches the table while this member does not."""
        name = self._settings.name
        await self._parts.peers.look(address, claim=True, hands_over=name)
        owner.lose_ownership("peers reach the table and this member does not")
