"""A budget of the bytes that unanswered requests hold, over all connections."""

from __future__ import annotations

from collections import Counter

from attrs import define, field

from redwingrun.bodylimits import BodyLimits
from redwingrun.clientconnection import ClientConnection, Phase, Refusal, Refusals

# What the name, the value and the list of a field of the headers are counted as: they
# need more memory than their bytes.
BYTES_PER_HEADER_FIELD = 256
# An unfinished request without progress for this time is dropped before an active one.
STALL_S = 0.2
UNFINISHED_PHASES = (Phase.HEADERS, Phase.BODY)


@define
class BodyBudget:
    """Decides which requests and connections are refused; does no I/O.

    Methods that may refuse return the refused connections with the reasons. A refused
    request has not run. When something is used up, the address that uses the most of
    it gives way, so that one address may use everything while no other one needs it.

    :ivar held_bytes: bytes of all unanswered requests.
    :ivar _abandoned: connections whose client has gone while its request runs.
    """

    limits: BodyLimits
    held_bytes: int = 0
    _connections: set[ClientConnection] = field(factory=set)
    _abandoned: set[ClientConnection] = field(factory=set)

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    def open(
        self, address: str, port_name: str, now_s: float
    ) -> tuple[ClientConnection, Refusals]:
        """Add a connection.

        Each port of the server has its own maximum, so that clients of one cannot make
        another one unreachable.

        :return: the connection, and those that must be closed, maybe with this one.
        """
        connection = ClientConnection(address, port_name, now_s, now_s)
        self._connections.add(connection)
        if len(self._connections) <= self.limits.max_connections:
            return connection, []
        same_port = [item for item in self._connections if item.port_name == port_name]
        if len(same_port) <= self.limits.max_connections:
            return connection, []
        same_port.remove(connection)
        refused = [item for item in same_port if item.phase is Phase.REFUSED]
        waiting = [
            item
            for item in same_port
            if item.phase in (Phase.IDLE, Phase.HEADERS) or _is_unread(item, now_s)
        ]
        victim = min(refused, key=_phase_since_s, default=None)
        if victim is None and waiting:
            address_counts = Counter(item.address for item in same_port)
            victim = max(
                waiting,
                key=lambda item: (
                    address_counts[item.address],
                    item.phase is Phase.HEADERS,
                    -item.phase_since_s,
                ),
            )
        victim = victim or connection
        reason = Refusal.CONNECTIONS
        if victim.phase is Phase.SENDING:
            reason = Refusal.UNREAD
        # It must not be chosen again before the server reports that it is closed.
        self.close(victim)
        return connection, [(victim, reason)]

    def close(self, connection: ClientConnection) -> None:
        """Remove a connection."""
        self.release(connection)
        self._connections.discard(connection)

    def leave(self, connection: ClientConnection) -> None:
        """Remove a connection, but count its request until that is released."""
        if connection in self._connections:
            self._connections.discard(connection)
            self._abandoned.add(connection)

    def release(self, connection: ClientConnection) -> None:
        """Give back the bytes of a request."""
        self._abandoned.discard(connection)
        self.held_bytes -= connection.held_bytes
        connection.held_bytes = 0
        connection.received_bytes = 0
        connection.body_bytes = 0

    def begin_request(self, connection: ClientConnection, now_s: float) -> None:
        """Wait for a request; the one before has been answered."""
        self.release(connection)
        connection.enter(Phase.IDLE, now_s)

    def end_request(
        self, connection: ClientConnection, unsent_bytes: int, now_s: float
    ) -> Refusals:
        """Give back the bytes of a request that was answered.

        :param unsent_bytes: length of the answer while its client has not read all of
            it, else 0.
        """
        self.release(connection)
        connection.is_next_arrived = True
        if connection.phase is not Phase.ANSWERING:
            return []
        connection.enter(Phase.SENDING, now_s)
        return self._hold(connection, unsent_bytes, now_s)

    def check_pipelining(self, connection: ClientConnection, now_s: float) -> Refusals:
        """Count a request that was sent before the answer to the one before."""
        if connection.phase is Phase.REFUSED or not connection.is_next_arrived:
            return []
        connection.pipelined_count += 1
        if connection.pipelined_count <= self.limits.max_pipelined:
            return []
        return [self._refuse(connection, Refusal.PIPELINED, now_s)]

    def begin_body(
        self,
        connection: ClientConnection,
        declared_bytes: int | None,
        max_payload_bytes: int,
        now_s: float,
    ) -> Refusals:
        """Expect a body after complete headers.

        :param declared_bytes: length of the body; ``None`` for a chunked one.
        :param max_payload_bytes: longest body that is accepted, without framing.
        """
        if connection.phase is Phase.REFUSED:
            return []
        if (declared_bytes or 0) > max_payload_bytes:
            return [self._refuse(connection, Refusal.TOO_LARGE, now_s)]
        if self._has_abandoned_too_many(connection.address):
            return [self._refuse(connection, Refusal.ABANDONED, now_s)]
        connection.enter(Phase.BODY, now_s)
        connection.body_bytes = 0
        connection.payload_bytes = 0
        connection.max_payload_bytes = max_payload_bytes
        connection.is_chunked = declared_bytes is None
        return []

    def add_payload(
        self, connection: ClientConnection, count: int, now_s: float
    ) -> Refusals:
        """Compare the part of a body that has been decoded with its limit.

        :param count: number of bytes without framing.
        """
        connection.payload_bytes += count
        if connection.payload_bytes <= connection.max_payload_bytes:
            return []
        return [self._refuse(connection, Refusal.TOO_LARGE, now_s)]

    def count_fields(
        self, connection: ClientConnection, count: int, now_s: float
    ) -> Refusals:
        """Count the memory of decoded headers.

        :param count: number of fields.
        """
        if connection.phase not in (Phase.IDLE, Phase.HEADERS):
            return []
        return self._hold(connection, count * BYTES_PER_HEADER_FIELD, now_s)

    def end_body(self, connection: ClientConnection, now_s: float) -> None:
        """Count a whole request until it is answered."""
        connection.enter(Phase.ANSWERING, now_s)

    def add(self, connection: ClientConnection, count: int, now_s: float) -> Refusals:
        """Count bytes that have arrived.

        :param count: number of bytes, of headers, framing or body.
        """
        is_open = connection in self._connections
        if connection.phase is Phase.REFUSED or not is_open:
            return []
        connection.progress_s = now_s
        connection.received_bytes += count
        connection.is_next_arrived = False
        refusals = []
        if connection.phase is Phase.IDLE:
            connection.enter(Phase.HEADERS, now_s)
            refusals += self._check_unfinished(connection, now_s)
        elif connection.phase is Phase.BODY:
            connection.body_bytes += count
            if (
                connection.is_chunked
                and connection.body_bytes > self.limits.max_body_bytes
            ):
                return [self._refuse(connection, Refusal.TOO_LARGE, now_s)]
        return refusals + self._hold(connection, count, now_s)

    def _hold(self, connection: ClientConnection, count: int, now_s: float) -> Refusals:
        """Count memory for a request; other requests, or this one, may give way."""
        if connection.phase is Phase.REFUSED:
            return []
        connection.held_bytes += count
        self.held_bytes += count
        refusals = []
        while self.held_bytes > self.limits.total_bytes:
            victim = self._heaviest(connection, now_s)
            if victim.phase is Phase.SENDING and victim is connection:
                # Its client has had no time to read the answer yet.
                break
            refusals.append(self._refuse(victim, Refusal.NO_BUDGET, now_s))
            if victim is connection:
                break
        return refusals

    def overdue(self, now_s: float) -> Refusals:
        """Return the connections whose headers or bodies arrive too slowly."""
        found = []
        for connection in self._connections:
            elapsed_s = now_s - connection.phase_since_s
            if connection.phase is Phase.HEADERS:
                if elapsed_s > self.limits.header_timeout_s:
                    found.append((connection, Refusal.SLOW_HEADERS))
            elif (
                connection.phase is Phase.BODY
                and elapsed_s > self.limits.rate_grace_s
                and connection.received_bytes < elapsed_s * self.limits.min_bytes_per_s
            ):
                found.append((connection, Refusal.SLOW_BODY))
        return [self._refuse(item, reason, now_s) for item, reason in found]

    def _check_unfinished(self, connection: ClientConnection, now_s: float) -> Refusals:
        if len(self._connections) <= self.limits.max_unfinished:
            return []
        unfinished = self._unfinished()
        if len(unfinished) <= self.limits.max_unfinished:
            return []
        count_by_address = Counter(item.address for item in unfinished)
        most = max(count_by_address.values())
        candidates = [
            item for item in unfinished if count_by_address[item.address] == most
        ]
        victim = _least_active(candidates, now_s)
        return [self._refuse(victim or connection, Refusal.UNFINISHED, now_s)]

    def _has_abandoned_too_many(self, address: str) -> bool:
        """Return whether an address left most of the many requests that still run."""
        if len(self._abandoned) < self.limits.max_unfinished:
            return False
        count_by_address = Counter(item.address for item in self._abandoned)
        is_full = len(self._abandoned) >= self.limits.max_connections
        return is_full or count_by_address[address] == max(count_by_address.values())

    def _heaviest(self, connection: ClientConnection, now_s: float) -> ClientConnection:
        """Return the unfinished request that gives way to other bytes."""
        held_by_address: Counter[str] = Counter()
        unfinished = self._unfinished()
        unfinished += [item for item in self._connections if _is_unread(item, now_s)]
        for item in unfinished:
            held_by_address[item.address] += item.held_bytes
        most = max(held_by_address.values(), default=0)
        candidates = [
            item for item in unfinished if held_by_address[item.address] == most
        ]
        return _least_active(candidates, now_s) or connection

    def _unfinished(self) -> list[ClientConnection]:
        return [item for item in self._connections if item.phase in UNFINISHED_PHASES]

    def _refuse(
        self, connection: ClientConnection, reason: Refusal, now_s: float
    ) -> tuple[ClientConnection, Refusal]:
        if connection.phase is Phase.SENDING:
            reason = Refusal.UNREAD
        self.release(connection)
        connection.enter(Phase.REFUSED, now_s)
        return connection, reason


def _phase_since_s(connection: ClientConnection) -> float:
    return connection.phase_since_s


def _is_unread(connection: ClientConnection, now_s: float) -> bool:
    """Return whether a client has not read its answer for a while."""
    is_sending = connection.phase is Phase.SENDING
    return is_sending and now_s - connection.phase_since_s >= STALL_S


def _least_active(
    connections: list[ClientConnection], now_s: float
) -> ClientConnection | None:
    """Return the stalled connection with the oldest byte, or else the last to begin.

    Active requests that began early are kept: refusing each of them in turn under a
    burst would complete none.
    """
    if not connections:
        return None
    stalled = min(connections, key=lambda item: item.progress_s)
    if now_s - stalled.progress_s >= STALL_S:
        return stalled
    return max(connections, key=_phase_since_s)
