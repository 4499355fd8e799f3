"""The task that keeps this process a member, and owner of its shards."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable

from attrs import evolve

from redwingrun.config import Settings
from redwingrun.coordination.clock import Clock
from redwingrun.coordination.codec import decode
from redwingrun.coordination.members import (
    MEMBERS_PREFIX,
    MemberLease,
    MemberRow,
    MemberWatch,
    PromiseBook,
    Renewal,
    Suspect,
)
from redwingrun.coordination.shards import SHARDS_PREFIX, ShardBook, ShardRow
from redwingrun.coordination.table import (
    Committed,
    Row,
    Table,
    TableUnavailable,
    TableUnknown,
    Transaction,
    Write,
)
from redwingrun.logs import Log
from redwingrun.metrics import Metrics
from redwingrun.peer_pb2 import PromiseRequest
from redwingrun.peers import PeerClient

ENTRY = "entry"
PLACER = "placer"
ID_BYTES = 6


class Membership:
    """Renews the lease, expels the dead, claims and releases shards.

    ``on_change`` is called whenever the owned shards or the members may have
    changed. Ask :meth:`owns` directly before each send.
    """

    def __init__(
        self,
        settings: Settings,
        kind: str,
        table: Table,
        peers: PeerClient,
        clock: Clock,
        log: Log,
        metrics: Metrics,
        on_change: Callable[[], None],
    ):
        self._settings = settings
        self._kind = kind
        self._table = table
        self._peers = peers
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._on_change = on_change
        self._lease_settings = settings.lease()
        self.promises = PromiseBook(self._lease_settings)
        self.shards: list[str] = []
        self.config_version = 0
        self.leaving = False
        self._other_members: dict[str, MemberRow] = {}
        self._owners: dict[str, ShardBook] = {}
        self._wake = asyncio.Event()
        self._start_over()

    def _start_over(self) -> None:
        row = MemberRow(
            member_id=f"{self._settings.host}-{secrets.token_hex(ID_BYTES)}",
            kind=self._kind,
            host=self._settings.host,
            data_centre=self._settings.data_centre,
            peer_address=f"{self._settings.listen_ip}:{self._settings.peer_port}",
            http_address=f"http://{self._settings.listen_ip}:{self._settings.http_port}",
            weight=self._settings.weight,
        )
        self._lease = MemberLease(self._lease_settings, row)
        self._watch = MemberWatch(self._lease_settings)
        self._book = ShardBook(self._kind)

    # What others ask

    @property
    def member_id(self) -> str:
        """The id of this run as a member; a new one after a lapse."""
        return self._lease.row.member_id

    def valid(self) -> bool:
        """Tell whether this process may act as an owner now."""
        return self._lease.valid(self._clock.now())

    def owned(self) -> dict[str, int]:
        """Return the epoch of each shard owned now; empty without a lease."""
        return self._book.owned(self.member_id) if self.valid() else {}

    def owns(self, shard: str, epoch: int) -> bool:
        """Tell whether this process owns a shard under an epoch right now."""
        return self.owned().get(shard) == epoch

    def fence(self, shard: str) -> object:
        """Return the condition that fences a write about a shard."""
        return self._book.fence(shard)

    def members(self, kind: str) -> dict[str, MemberRow]:
        """Return the members of a kind seen last, by id."""
        if kind == self._kind:
            return self._watch.members()
        return self._other_members

    def owner_of(self, kind: str, shard: str) -> MemberRow | None:
        """Return the member that owns a shard, as far as is known."""
        book = self._book if kind == self._kind else self._owners.get(kind)
        if book is None:
            return None
        return self.members(kind).get(book.owner(shard))

    def wake(self) -> None:
        """Look at the shards at once."""
        self._wake.set()

    # The life of a member

    async def run(self) -> None:
        """Stay a member until cancelled."""
        extender = asyncio.create_task(self._keep_extended())
        try:
            while True:
                await self._step()
                self._on_change()
                await self._pause()
        finally:
            extender.cancel()

    async def _pause(self) -> None:
        self._wake.clear()
        try:
            await asyncio.wait_for(self._wake.wait(), self._settings.lease_renew_s)
        except TimeoutError:
            return

    async def _step(self) -> None:
        try:
            await self._renew()
            await self._look()
            await self._expel()
            await self._move_shards()
            self._metrics.gauge("table_reachable", 1)
        except (TableUnavailable, TableUnknown) as error:
            self._metrics.gauge("table_reachable", 0)
            self._log.detail("table-unreachable", error=str(error))
        self._rejoin_if_lapsed()

    def _rejoin_if_lapsed(self) -> None:
        if self._lease.version is None or self.valid():
            return
        self._log.event("lease-lapsed", member=self.member_id)
        self._metrics.count("lease_lapses_total")
        self._start_over()

    async def _renew(self) -> None:
        renewal = self._lease.renewal(
            self._clock.now(),
            self._watch.roster() | {self.member_id},
            leaving=self.leaving,
            config_version=self.config_version,
        )
        try:
            result = await self._table.transact(renewal.transaction)
        except TableUnknown:
            await self._settle(renewal)
            return
        if isinstance(result, Committed):
            self._lease.renewed(renewal, result.version, self._clock.now())
            return
        await self._settle(renewal)

    async def _settle(self, renewal: Renewal) -> None:
        stored = await self._table.read(renewal.row.key)
        if stored is None:
            if self._lease.version is not None:
                self._lease.refused()
            return
        if decode(MemberRow, stored.value).token == renewal.row.token:
            self._lease.renewed(renewal, stored.version, self._clock.now())
            return
        # An earlier renewal took effect late. Only we write this row.
        self._lease.version = stored.version

    async def _look(self) -> None:
        members = await self._table.scan(MEMBERS_PREFIX)
        seen_s = self._clock.now()
        shards = await self._table.scan(SHARDS_PREFIX)
        mine = tuple(
            row for row in members if row.key.startswith(f"{MEMBERS_PREFIX}{self._kind}/")
        )
        self._watch.observe(mine, seen_s)
        others = [decode(MemberRow, row.value) for row in members if row not in mine]
        self._other_members = {row.member_id: row for row in others}
        self._sort_shards(shards)

    def _sort_shards(self, rows: tuple[Row, ...]) -> None:
        by_kind: dict[str, list[Row]] = {}
        for row in rows:
            by_kind.setdefault(decode(ShardRow, row.value).kind, []).append(row)
        self._book.observe(tuple(by_kind.pop(self._kind, [])))
        for kind, found in by_kind.items():
            self._owners.setdefault(kind, ShardBook(kind)).observe(tuple(found))

    # Expulsion

    async def _expel(self) -> None:
        for suspect in self._watch.suspects(self._clock.now()):
            if suspect.row.member_id == self.member_id or not self.valid():
                continue
            if await self._may_expel(suspect):
                result = await self._table.transact(self._watch.expulsion(suspect))
                expelled = isinstance(result, Committed)
                self._log.event("expel", member=suspect.row.member_id, done=expelled)

    async def _may_expel(self, suspect: Suspect) -> bool:
        member_id = suspect.row.member_id
        if self.promises.holds(member_id, self._clock.now()):
            return False
        witnesses = self._watch.witnesses(suspect, self.member_id)
        if not witnesses or self._watch.past_any_extension(suspect):
            return True
        members = self._watch.members()
        for witness_id in witnesses:
            witness = members.get(witness_id)
            if witness is None:
                continue
            request = PromiseRequest(for_member_id=member_id, to_member_id=witness_id)
            timeout_s = self._settings.table_timeout_s
            result = await self._peers.call(witness.peer_address, "Promised", request, timeout_s)
            # An answer of another run of that process says nothing.
            if result.is_ok() and result.ok.member_id == witness_id:
                return not result.ok.promised
        return False

    # Extension in outages

    async def _keep_extended(self) -> None:
        while True:
            await asyncio.sleep(self._settings.lease_margin_s / 4)
            if self._lease.wants_extension(self._clock.now()):
                await self._extend()

    async def _extend(self) -> None:
        lease = self._lease
        started_s = self._clock.now()
        members = self._watch.members()
        needed = sorted(lease.promisers())
        if not needed or any(member_id not in members for member_id in needed):
            return
        promised = await asyncio.gather(
            *[self._ask_promise(members[member_id]) for member_id in needed]
        )
        got = frozenset(name for name, yes in zip(needed, promised, strict=True) if yes)
        done = lease.extended(started_s, got, self._clock.now())
        self._metrics.count("lease_extensions_total", done=str(done).lower())

    async def _ask_promise(self, peer: MemberRow) -> bool:
        request = PromiseRequest(for_member_id=self.member_id, to_member_id=peer.member_id)
        timeout_s = self._lease_settings.margin_s
        result = await self._peers.call(peer.peer_address, "Promise", request, timeout_s)
        return result.is_ok() and result.ok.promised and result.ok.member_id == peer.member_id

    # Shards

    async def _move_shards(self) -> None:
        if not self.valid():
            return
        members = self._live_members()
        steps = self._book.releases(self.member_id, self.shards, members, self.leaving)
        if not self.leaving:
            steps += self._book.claims(self.member_id, self.shards, members)
        for row, change in steps:
            result = await self._table.transact(change)
            if isinstance(result, Committed):
                self._book.took(row, result.version)
                self._log.event("shard", shard=row.shard, owner=row.owner, epoch=row.epoch)

    def _live_members(self) -> dict[str, MemberRow]:
        members = self._watch.members()
        own = self._lease.row
        # Our own row may be missing from a scan that is older than it.
        return {**members, own.member_id: own}

    async def leave(self) -> None:
        """Give up all shards and the lease, as far as the table allows."""
        self.leaving = True
        await self._step()
        self._on_change()
        if self._lease.version is None or not self.valid() or self.owned():
            return
        key = self._lease.row.key
        try:
            await self._table.transact(Transaction((), (Write(key, None),)))
        except (TableUnavailable, TableUnknown) as error:
            self._log.event("leave-unsettled", error=str(error))

    def rows(self) -> list[MemberRow]:
        """Return all members of both kinds seen last."""
        return [
            evolve(row) for row in [*self._watch.members().values(), *self._other_members.values()]
        ]
