"""Background tasks that keep this process a member and an owner of shards."""

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
MAX_EXPULSIONS_PER_STEP = 16


class Membership:
    """Renews the lease, expels failed members, and claims and releases shards.

    Check :meth:`owns` directly before each call that only a shard's owner may make:
    the lease may expire during any wait.

    :param kind: :data:`ENTRY` or :data:`PLACER`.
    :param on_change: called whenever the owned shards or the members may have
        changed.
    :ivar shards: all shards that should have an owner, set by the daemon.
    :ivar config_version: active configuration version, published in the member row.
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
        self._lease_settings = settings.lease_settings()
        self.promises = ExtensionPromises(self._lease_settings)
        self.shards: list[str] = []
        self.config_version = 0
        self.leaving = False
        self._other_members: dict[str, MemberRow] = {}
        self._other_shard_map_by_kind: dict[str, ShardMap] = {}
        self._wake = asyncio.Event()
        self._own_ids: set[str] = set()
        self._expired_keys: list[str] = []
        self._start_new_lease()

    def _start_new_lease(self) -> None:
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
        self._failure_detector = FailureDetector(self._lease_settings)
        self._shard_map = ShardMap(self._kind)

    @staticmethod
    def _new_token() -> str:
        return secrets.token_hex(ID_BYTES)

    # Queries

    @property
    def member_id(self) -> str:
        """The current member id; a new one is created after the lease expires."""
        return self._lease.row.member_id

    def is_valid(self) -> bool:
        """Return whether this process holds a valid lease and may act as an owner."""
        return self._lease.is_valid(self._clock.now())

    def owned(self) -> dict[str, int]:
        """Return the epochs of the owned shards; empty without a valid lease."""
        return self._shard_map.owned(self.member_id) if self.is_valid() else {}

    def owns(self, shard: str, epoch: int) -> bool:
        """Return whether this process now owns a shard in the given epoch."""
        return self.owned().get(shard) == epoch

    def fencing_condition(self, shard: str) -> Condition:
        """Return the condition that fences a write for a shard."""
        return self._shard_map.fencing_condition(shard)

    def members(self, kind: str) -> dict[str, MemberRow]:
        """Return the members of a kind in the last read, by id."""
        if kind == self._kind:
            return self._failure_detector.members()
        return self._other_members

    def owner_of(self, kind: str, shard: str) -> MemberRow | None:
        """Return the member that owns a shard, or ``None`` if it is not known."""
        shard_map = (
            self._shard_map
            if kind == self._kind
            else self._other_shard_map_by_kind.get(kind)
        )
        if shard_map is None:
            return None
        return self.members(kind).get(shard_map.owner(shard))

    def wake(self) -> None:
        """Start the next step now, without waiting for the renewal interval."""
        self._wake.set()

    # Requests of peers

    def promise(self, request: PromiseRequest) -> PromiseReply:
        """Promise not to expel a peer if the request is addressed to this process.

        A request to an earlier process on this host is refused.
        """
        is_addressee = request.to_member_id in self._own_ids
        if is_addressee:
            self.promises.promise(request.for_member_id, self._clock.now())
        return self._promise_reply(is_addressee)

    def promised(self, request: PromiseRequest) -> PromiseReply:
        """Report whether a promise to a member is in effect."""
        promised = self.promises.has_promised(request.for_member_id, self._clock.now())
        return self._promise_reply(promised)

    def _promise_reply(self, promised: bool) -> PromiseReply:
        # Promises survive an expired lease but not a restart of the process. This
        # process can therefore answer for all its own ids, and for no others.
        return PromiseReply(
            member_id=self.member_id,
            promised=promised,
            speaks_for=sorted(self._own_ids),
        )

    # Background tasks

    async def run(self) -> None:
        """Remain a member until cancelled."""
        # The lease is renewed and extended in separate tasks, so that neither waits
        # for the calls of a step.
        tasks = [
            asyncio.create_task(self._renew_forever()),
            asyncio.create_task(self._extend_forever()),
        ]
        try:
            while True:
                await self._step()
                self._on_change()
                await self._wait_for_next_step()
        finally:
            for task in tasks:
                task.cancel()

    async def _wait_for_next_step(self) -> None:
        self._wake.clear()
        try:
            await asyncio.wait_for(self._wake.wait(), self._settings.lease_renew_s)
        except TimeoutError:
            return

    async def _renew_forever(self) -> None:
        while True:
            is_new = self._lease.version is None
            await self._attempt(self._renew)
            self._rejoin_if_expired()
            if is_new and self.is_valid():
                # Claim shards now, not only after the renewal interval.
                self.wake()
            await asyncio.sleep(self._settings.lease_renew_s)

    async def _attempt(self, work: Callable[[], Awaitable[None]]) -> None:
        """Run one piece of work, and record whether the table was reachable."""
        try:
            await work()
            self._metrics.gauge("table_reachable", 1)
        except (TableUnavailable, TableUnknown) as error:
            self._metrics.gauge("table_reachable", 0)
            self._log.detail("table-unreachable", error=str(error))

    async def _delete_expired_rows(self) -> None:
        """Delete the rows of our own expired leases.

        Other members then need not wait to expel them.
        """
        while self._expired_keys:
            await self._table.transact(
                Transaction((), (Write(self._expired_keys[0], None),))
            )
            self._expired_keys.pop(0)

    async def _step(self) -> None:
        await self._attempt(self._delete_expired_rows)
        await self._attempt(self._poll)
        await self._attempt(self._expel)
        await self._attempt(self._move_shards)

    def _rejoin_if_expired(self) -> None:
        if self._lease.version is None or self.is_valid():
            return
        self._log.event("lease-lapsed", member=self.member_id)
        self._metrics.count("lease_lapses_total")
        self._expired_keys.append(self._lease.row.key)
        self._start_new_lease()

    async def _renew(self) -> None:
        renewal = self._lease.next_renewal(
            self._clock.now(),
            self._failure_detector.roster() | {self.member_id},
            leaving=self.leaving,
            config_version=self.config_version,
        )
        try:
            result = await self._table.transact(renewal.transaction)
        except TableUnknown:
            await self._confirm_renewal(renewal)
            return
        if isinstance(result, Committed):
            self._lease.record_renewal(renewal, result.version, self._clock.now())
            return
        await self._confirm_renewal(renewal)

    async def _confirm_renewal(self, renewal: Renewal) -> None:
        stored = await self._table.read(renewal.row.key)
        if stored is None:
            if self._lease.version is not None:
                self._lease.record_refusal()
            return
        if decode(MemberRow, stored.value).token == renewal.row.token:
            self._lease.record_renewal(renewal, stored.version, self._clock.now())
            return
        # Only this process writes the row, so an earlier renewal took effect late.
        self._lease.version = stored.version

    async def _poll(self) -> None:
        members = await self._table.scan(MEMBERS_PREFIX)
        read_s = self._clock.now()
        shards = await self._table.scan(SHARDS_PREFIX)
        own_kind_rows = tuple(
            row
            for row in members
            if row.key.startswith(f"{MEMBERS_PREFIX}{self._kind}/")
        )
        self._failure_detector.observe(own_kind_rows, read_s)
        others = [
            decode(MemberRow, row.value) for row in members if row not in own_kind_rows
        ]
        self._other_members = {row.member_id: row for row in others}
        self._observe_shards(shards)

    def _observe_shards(self, rows: tuple[Row, ...]) -> None:
        by_kind: dict[str, list[Row]] = {}
        for row in rows:
            by_kind.setdefault(decode(ShardRow, row.value).kind, []).append(row)
        self._shard_map.observe(tuple(by_kind.pop(self._kind, [])))
        for kind, found in by_kind.items():
            self._other_shard_map_by_kind.setdefault(kind, ShardMap(kind)).observe(
                tuple(found)
            )

    # Expulsion

    async def _expel(self) -> None:
        suspects = self._failure_detector.suspects(self._clock.now())
        others = [item for item in suspects if item.row.member_id != self.member_id]
        if not others or not self.is_valid():
            return
        # Each check may wait for the reply of a witness, so they run concurrently. The
        # limit bounds the number of simultaneous calls.
        others = others[:MAX_EXPULSIONS_PER_STEP]
        allowed = await asyncio.gather(*[self._may_expel(item) for item in others])
        for suspect, is_allowed in zip(others, allowed, strict=True):
            if is_allowed and self.is_valid():
                result = await self._table.transact(
                    self._failure_detector.expulsion_transaction(suspect)
                )
                expelled = isinstance(result, Committed)
                self._log.event("expel", member=suspect.row.member_id, done=expelled)

    async def _may_expel(self, suspect: Suspect) -> bool:
        member_id = suspect.row.member_id
        if self.promises.has_promised(member_id, self._clock.now()):
            return False
        witnesses = self._failure_detector.witnesses(suspect, self._own_ids)
        if not witnesses or self._failure_detector.is_past_max_extension(suspect):
            return True
        return await self._witness_allows_expulsion(suspect, witnesses)

    async def _witness_allows_expulsion(
        self, suspect: Suspect, witnesses: frozenset[str]
    ) -> bool:
        """Ask the members that are not suspects until one answers for a witness."""
        suspects = {
            item.row.member_id
            for item in self._failure_detector.suspects(self._clock.now())
        }
        request = PromiseRequest(for_member_id=suspect.row.member_id)
        for member_id, row in sorted(self._failure_detector.members().items()):
            if member_id in suspects or member_id in self._own_ids:
                continue
            result = await self._peers.call(
                row.peer_address, "Promised", request, self._settings.table_timeout_s
            )
            # A reply of a process that is not a witness is not conclusive.
            if result.is_ok() and witnesses & set(result.ok.speaks_for):
                return not result.ok.promised
        return False

    # Extension during table outages

    async def _extend_forever(self) -> None:
        while True:
            await asyncio.sleep(self._settings.lease_margin_s / 4)
            if self._lease.needs_extension(self._clock.now()):
                await self._extend()

    async def _extend(self) -> None:
        lease = self._lease
        started_s = self._clock.now()
        members = self._failure_detector.members()
        promisers = sorted(lease.required_promisers())
        if not promisers or any(member_id not in members for member_id in promisers):
            return
        promised = await asyncio.gather(
            *[self._request_promise(members[member_id]) for member_id in promisers]
        )
        promised_by = frozenset(
            member_id
            for member_id, has_promised in zip(promisers, promised, strict=True)
            if has_promised
        )
        extended = lease.extend(started_s, promised_by, self._clock.now())
        self._metrics.count("lease_extensions_total", done=str(extended).lower())

    async def _request_promise(self, peer: MemberRow) -> bool:
        request = PromiseRequest(
            for_member_id=self.member_id, to_member_id=peer.member_id
        )
        timeout_s = self._lease_settings.margin_s
        result = await self._peers.call(
            peer.peer_address, "Promise", request, timeout_s
        )
        is_addressee = result.is_ok() and peer.member_id in result.ok.speaks_for
        return is_addressee and result.ok.promised

    # Shards

    async def _move_shards(self) -> None:
        if not self.is_valid():
            return
        members = self._live_members()
        changes = self._shard_map.releases(
            self.member_id, self.shards, members, self.leaving
        )
        if not self.leaving:
            changes += self._shard_map.claims(self.member_id, self.shards, members)
        for row, transaction in changes:
            result = await self._table.transact(transaction)
            if isinstance(result, Committed):
                self._shard_map.record_commit(row, result.version)
                self._log.event(
                    "shard", shard=row.shard, owner=row.owner, epoch=result.version
                )

    def _live_members(self) -> dict[str, MemberRow]:
        members = self._failure_detector.members()
        own = self._lease.row
        # The scan may be older than our own row.
        return {**members, own.member_id: own}

    async def leave(self) -> None:
        """Release all shards and the lease, as far as the table is reachable.

        Call this after :meth:`run` was cancelled.
        """
        self.leaving = True
        for work in (self._renew, self._poll, self._move_shards):
            await self._attempt(work)
        self._on_change()
        if self._lease.version is None or not self.is_valid() or self.owned():
            return
        deletion = Transaction((), (Write(self._lease.row.key, None),))
        await self._attempt(lambda: self._table.transact(deletion))

    def all_members(self) -> list[MemberRow]:
        """Return the members of both kinds in the last read."""
        return [
            *self._failure_detector.members().values(),
            *self._other_members.values(),
        ]


def _peer_address(settings: Settings) -> str:
    port = settings.peer_advertise_port or settings.peer_port
    return f"{settings.listen_ip}:{port}"
