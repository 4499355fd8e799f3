"""Which connections a process reads from in one turn of its event loop.

What is read is parsed and handled in the same turn or the next one. Bounding the bytes
of a turn bounds the time after which timers, calls of peers and other clients get
their turn, also if each byte is expensive to parse.
"""

from __future__ import annotations

from collections import Counter

from attrs import define, field

from redwingrun.clientconnection import ClientConnection

BYTES_PER_TURN = 32_768
# The most that one connection is read in a turn while others wait.
SHARED_READ_BYTES = 4_096
# The least that is set aside for a connection that has waited: an ordinary request.
EXPECTED_REQUEST_BYTES = 1_024


@define
class ReadSchedule:
    """Decides how much may be read from connections in a turn; does no I/O.

    Bytes are set aside for connections that had to wait in the turn before.
    While not all connections can be read in one turn, the addresses, and of each
    address the connections, that have sent the least lately come first. So an ordinary
    request is read in the turn after it has arrived, however much others send.
    """

    _left_bytes: int = BYTES_PER_TURN
    _waiting: dict[ClientConnection, None] = field(factory=dict)
    _granted_bytes: dict[ClientConnection, int] = field(factory=dict)
    _is_shared: bool = False
    _bytes_by_address: Counter[str] = field(factory=Counter)
    _bytes_by_connection: Counter[ClientConnection] = field(factory=Counter)

    def admit(self, connection: ClientConnection, wanted_bytes: int) -> int:
        """Return how many bytes may be read from a connection now.

        :return: 0 if it must wait for a later turn, in which it has to ask again.
        """
        granted_bytes = self._granted_bytes.get(connection)
        if granted_bytes is not None:
            return min(wanted_bytes, granted_bytes)
        if self._left_bytes <= 0:
            self._waiting[connection] = None
            return 0
        if self._is_shared:
            return min(wanted_bytes, SHARED_READ_BYTES)
        return wanted_bytes

    def charge(self, connection: ClientConnection, count: int) -> None:
        """Count bytes that were read."""
        self._bytes_by_address[connection.address] += count
        self._bytes_by_connection[connection] += count
        if self._granted_bytes.pop(connection, None) is None:
            self._left_bytes -= count

    @property
    def must_end_turn(self) -> bool:
        """Whether the next turn must begin with ``end_turn``.

        While little is read, turns need not be told apart: their bytes add up.
        """
        return self._left_bytes < BYTES_PER_TURN // 2

    def end_turn(self) -> None:
        """Begin the next turn; connections that had to wait come first in it."""
        self._left_bytes = BYTES_PER_TURN
        self._granted_bytes.clear()
        self._is_shared = bool(self._waiting)
        if self._is_shared:
            self._grant()

    def forget(self, connection: ClientConnection) -> None:
        """Forget a closed connection, but not what its address has sent."""
        self._waiting.pop(connection, None)
        self._granted_bytes.pop(connection, None)
        del self._bytes_by_connection[connection]

    def age(self) -> None:
        """Halve what has been counted, so that only the recent past matters."""
        for counter in (self._bytes_by_address, self._bytes_by_connection):
            for key in list(counter):
                counter[key] //= 2
                if not counter[key]:
                    del counter[key]

    def _grant(self) -> None:
        waiting = sorted(self._waiting, key=self._order)
        self._waiting.clear()
        for connection in waiting:
            if self._left_bytes <= 0:
                return
            expected = max(
                EXPECTED_REQUEST_BYTES, self._bytes_by_connection[connection]
            )
            granted_bytes = min(expected, SHARED_READ_BYTES)
            self._granted_bytes[connection] = granted_bytes
            self._left_bytes -= granted_bytes

    def _order(self, connection: ClientConnection) -> tuple[int, int]:
        return (
            self._bytes_by_address[connection.address],
            self._bytes_by_connection[connection],
        )
