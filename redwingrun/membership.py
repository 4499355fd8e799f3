"""The task that keeps this process a member, and owner of its shards."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Awaitable, Callable

from redwingrun.config import Settings
from redwingrun.coordination.clock import Clock
from redwingrun.coordination.codec import decode
from redwingrun.coordination.members import (
    MEMBERS_PREFIX,
    ExtensionPromises,
    FailureDetector,
    MemberLease,
    MemberRow,
    Renewal,
    Suspect,
)
from redwingrun.coordination.shards import SHARDS_PREFIX, ShardMap, ShardRow
from redwingrun.coordination.table import (
    Committed,
    Condition,
    Row,
    Table,
    TableUnavailable,
    TableUnknown,
    Transaction,
    Write,
)
from redwingrun.logs import Log
from redwingrun.metrics import Metrics
from redwingrun.peer_pb2 import PromiseReply, PromiseRequest
from redwingrun.peers import PeerClient

ENTRY = "entry"
PLACER = "placer"
ID_BYTES = 6
EXPELLED_AT_ONCE = 16


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
        self.promises = ExtensionPromises(self._lease_settings)
        self.shards: list[str] = []
        self.config_version = 0
        self.leaving = False
        self._other_members: dict[str, MemberRow] = {}
        self._owners: dict[str, ShardMap] = {}
        self._wake = asyncio.Event()
        self._own_ids: set[str] = set()
        self._lapsed_keys: list[str] = []
        self._start_over()

    def _start_over(self) -> None:
        row = MemberRow(
            member_id=f"{self._settings.host}-{self._new_token()}",
            kind=self._kind,
            host=self._settings.host,
            data_centre=self._settings.data_centre,
            peer_address=_peer_address(self._settings),
            http_address=f"http://{self._settings.listen_ip}:{self._settings.http_port}",
            weight=self._settings.weight,
        )
        self._own_ids.add(row.member_id)
        self._lease = MemberLease(self._lease_settings, row)
        self._watch = FailureDetector(self._lease_settings)
        self._book = ShardMap(self._kind)

    @staticmethod
    def _new_token() -> str:
        return secrets.token_hex(ID_BYTES)

    # What others ask

    @property
    def member_id(self) -> str:
        """The id of this run as a member; a new one after a lapse."""
        return self._lease.row.member_id

    def is_valid(self) -> bool:
        """Tell whether this process may act as an owner now."""
        return self._lease.is_valid(self._clock.now())

    def owned(self) -> dict[str, int]:
        """Return the epoch of each shard owned now; empty without a lease."""
        return self._book.owned(self.member_id) if self.is_valid() else {}

    def owns(self, shard: str, epoch: int) -> bool:
        """Tell whether this process owns a shard under an epoch right now."""
        return self.owned().get(shard) == epoch

    def fence(self, shard: str) -> Condition:
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

    # What peers ask

    def promise(self, request: PromiseRequest) -> PromiseReply:
        """Promise not to expel a peer, if the question is for this run of us."""
        addressed = request.to_member_id in self._own_ids
        if addressed:
            self.promises.promise(request.for_member_id, self._clock.now())
        return self._promise_reply(addressed)

    def promised(self, request: PromiseRequest) -> PromiseReply:
        """Tell whether a promise to a member stands."""
        holds = self.promises.holds(request.for_member_id, self._clock.now())
        return self._promise_reply(holds)

    def _promise_reply(self, promised: bool) -> PromiseReply:
        # The promise book outlives a lapse, but not a restart: this run speaks
        # for all ids it has had, and for nobody else's.
        return PromiseReply(
            member_id=self.member_id,
            promised=promised,
            speaks_for=sorted(self._own_ids),
        )

    # The life of a member

    async def run(self) -> None:
        """Stay a member until cancelled."""
        # The renewal has a task of its own: nothing that this process does for
        # others may hold it up.
        tasks = [
            asyncio.create_task(self._keep_renewed()),
            asyncio.create_task(self._keep_extended()),
        ]
        try:
            while True:
                await self._step()
                self._on_change()
                await self._pause()
        finally:
            for task in tasks:
                task.cancel()

    async def _pause(self) -> None:
        self._wake.clear()
        try:
            await asyncio.wait_for(self._wake.wait(), self._settings.lease_renew_s)
        except TimeoutError:
            return

    async def _keep_renewed(self) -> None:
        while True:
            first = self._lease.version is None
            await self._try(self._renew)
            self._rejoin_if_lapsed()
            if first and self.is_valid():
                # The shards can be claimed at once.
                self.wake()
            await asyncio.sleep(self._settings.lease_renew_s)

    async def _try(self, work: Callable[[], Awaitable[None]]) -> None:
        try:
            await work()
            self._metrics.gauge("table_reachable", 1)
        except (TableUnavailable, TableUnknown) as error:
            self._metrics.gauge("table_reachable", 0)
            self._log.detail("table-unreachable", error=str(error))

    async def _clear_lapsed(self) -> None:
        """Delete the rows of our own lapsed ids: nobody needs to wait for them."""
        while self._lapsed_keys:
            await self._table.transact(
                Transaction((), (Write(self._lapsed_keys[0], None),))
            )
            self._lapsed_keys.pop(0)

    async def _step(self) -> None:
        await self._try(self._clear_lapsed)
        await self._try(self._look)
        await self._try(self._expel)
        await self._try(self._move_shards)

    def _rejoin_if_lapsed(self) -> None:
        if self._lease.version is None or self.is_valid():
            return
        self._log.event("lease-lapsed", member=self.member_id)
        self._metrics.count("lease_lapses_total")
        self._lapsed_keys.append(self._lease.row.key)
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
            row
            for row in members
            if row.key.startswith(f"{MEMBERS_PREFIX}{self._kind}/")
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
            self._owners.setdefault(kind, ShardMap(kind)).observe(tuple(found))

    # Expulsion

    async def _expel(self) -> None:
        suspects = self._watch.suspects(self._clock.now())
        others = [item for item in suspects if item.row.member_id != self.member_id]
        if not others or not self.is_valid():
            return
        # All at once, and a bounded number: each may wait for a witness.
        others = others[:EXPELLED_AT_ONCE]
        allowed = await asyncio.gather(*[self._may_expel(item) for item in others])
        for suspect, may in zip(others, allowed, strict=True):
            if may and self.is_valid():
                result = await self._table.transact(self._watch.expulsion(suspect))
                expelled = isinstance(result, Committed)
                self._log.event("expel", member=suspect.row.member_id, done=expelled)

    async def _may_expel(self, suspect: Suspect) -> bool:
        member_id = suspect.row.member_id
        if self.promises.holds(member_id, self._clock.now()):
            return False
        witnesses = self._watch.witnesses(suspect, self._own_ids)
        if not witnesses or self._watch.past_any_extension(suspect):
            return True
        return await self._a_witness_allows(suspect, witnesses)

    async def _a_witness_allows(
        self, suspect: Suspect, witnesses: frozenset[str]
    ) -> bool:
        """Ask the live members until one speaks for a witness."""
        suspects = {
            item.row.member_id for item in self._watch.suspects(self._clock.now())
        }
        request = PromiseRequest(for_member_id=suspect.row.member_id)
        for member_id, row in sorted(self._watch.members().items()):
            if member_id in suspects or member_id in self._own_ids:
                continue
            result = await self._peers.call(
                row.peer_address, "Promised", request, self._settings.table_timeout_s
            )
            # An answer of another run of that process says nothing.
            if result.is_ok() and witnesses & set(result.ok.speaks_for):
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
        request = PromiseRequest(
            for_member_id=self.member_id, to_member_id=peer.member_id
        )
        timeout_s = self._lease_settings.margin_s
        result = await self._peers.call(
            peer.peer_address, "Promise", request, timeout_s
        )
        speaks = result.is_ok() and peer.member_id in result.ok.speaks_for
        return speaks and result.ok.promised

    # Shards

    async def _move_shards(self) -> None:
        if not self.is_valid():
            return
        members = self._live_members()
        steps = self._book.releases(self.member_id, self.shards, members, self.leaving)
        if not self.leaving:
            steps += self._book.claims(self.member_id, self.shards, members)
        for row, change in steps:
            result = await self._table.transact(change)
            if isinstance(result, Committed):
                self._book.took(row, result.version)
                self._log.event(
                    "shard", shard=row.shard, owner=row.owner, epoch=result.version
                )

    def _live_members(self) -> dict[str, MemberRow]:
        members = self._watch.members()
        own = self._lease.row
        # Our own row may be missing from a scan that is older than it.
        return {**members, own.member_id: own}

    async def leave(self) -> None:
        """Give up all shards and the lease, as far as the table allows.

        Call it after :meth:`run` was cancelled.
        """
        self.leaving = True
        for work in (self._renew, self._look, self._move_shards):
            await self._try(work)
        self._on_change()
        if self._lease.version is None or not self.is_valid() or self.owned():
            return
        row_gone = Transaction((), (Write(self._lease.row.key, None),))
        await self._try(lambda: self._table.transact(row_gone))

    def rows(self) -> list[MemberRow]:
        """Return all members of both kinds seen last."""
        return [*self._watch.members().values(), *self._other_members.values()]


def _peer_address(settings: Settings) -> str:
    port = settings.peer_advertise_port or settings.peer_port
    return f"{settings.listen_ip}:{port}"
