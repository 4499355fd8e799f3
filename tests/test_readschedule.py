"""Which connections are read in a turn, decided without a network."""

from __future__ import annotations

from redwingrun.clientconnection import ClientConnection
from redwingrun.readschedule import BYTES_PER_TURN, SHARED_READ_BYTES, ReadSchedule

CHUNK_BYTES = 16_384


def _connection(address: str) -> ClientConnection:
    return ClientConnection(address, "clients", 0.0, 0.0)


def _play_turn(
    schedule: ReadSchedule, left_bytes: dict[ClientConnection, int]
) -> list[ClientConnection]:
    """Let all connections ask once, in their order; return those that were read.

    :param left_bytes: what each connection still has to send; it is changed.
    """
    read = []
    for connection, left in left_bytes.items():
        if not left:
            continue
        count = min(left, schedule.admit(connection, CHUNK_BYTES))
        if count:
            schedule.charge(connection, count)
            left_bytes[connection] -= count
            read.append(connection)
    schedule.end_turn()
    return read


def test_a_lone_client_is_read_in_whole_chunks():
    """In calm nothing is slower than without a schedule."""
    schedule = ReadSchedule()
    connection = _connection("a")
    for _ in range(100):
        assert schedule.admit(connection, CHUNK_BYTES) == CHUNK_BYTES
        schedule.charge(connection, CHUNK_BYTES)
        schedule.end_turn()


def test_a_turn_is_bounded_however_many_connections_send():
    """Guards against a turn in which each of a thousand connections is parsed."""
    schedule = ReadSchedule()
    left_bytes = {_connection(f"10.0.0.{n % 9}"): 1_000_000 for n in range(1000)}
    for _ in range(20):
        before = sum(left_bytes.values())
        _play_turn(schedule, left_bytes)
        assert before - sum(left_bytes.values()) <= BYTES_PER_TURN + CHUNK_BYTES


def test_a_small_request_is_read_in_the_turn_after_it_arrives():
    """However much others send, and although they ask first."""
    schedule = ReadSchedule()
    left_bytes = {_connection(f"10.0.0.{n % 9}"): 1_000_000 for n in range(1000)}
    for _ in range(20):
        _play_turn(schedule, left_bytes)
    ordinary = _connection("10.1.0.1")
    left_bytes[ordinary] = 300
    assert ordinary not in _play_turn(schedule, left_bytes)
    assert ordinary in _play_turn(schedule, left_bytes)


def test_a_small_request_from_the_address_of_others_is_read_soon():
    """Clients behind one proxy must not wait for the largest of them."""
    schedule = ReadSchedule()
    left_bytes = {_connection("10.0.0.1"): 1_000_000 for _ in range(100)}
    for _ in range(20):
        _play_turn(schedule, left_bytes)
    ordinary = _connection("10.0.0.1")
    left_bytes[ordinary] = 300
    _play_turn(schedule, left_bytes)
    assert ordinary in _play_turn(schedule, left_bytes)


def test_many_small_requests_are_read_in_few_turns():
    """A burst of ordinary clients must not wait for one turn each."""
    schedule = ReadSchedule()
    left_bytes = {_connection(f"10.0.0.{n % 3}"): 300 for n in range(82)}
    turns = 0
    while any(left_bytes.values()):
        _play_turn(schedule, left_bytes)
        turns += 1
    assert turns <= 4


def test_all_that_is_sent_is_read_in_the_end():
    schedule = ReadSchedule()
    left_bytes = {_connection(f"10.0.0.{n % 9}"): 20_000 for n in range(50)}
    for _ in range(50 * 20_000 // SHARED_READ_BYTES):
        _play_turn(schedule, left_bytes)
        schedule.age()
    assert not any(left_bytes.values())


def test_what_was_sent_is_forgotten():
    """A connection's record must go, and an address that sends no more, too."""
    schedule = ReadSchedule()
    connection = _connection("a")
    schedule.admit(connection, CHUNK_BYTES)
    schedule.charge(connection, CHUNK_BYTES)
    schedule.forget(connection)
    for _ in range(15):
        schedule.age()
    assert schedule == ReadSchedule(left_bytes=BYTES_PER_TURN - CHUNK_BYTES)
