"""Which requests and connections a process refuses, decided without a network."""

from __future__ import annotations

from itertools import cycle, islice

import pytest

from redwingrun.bodybudget import BYTES_PER_HEADER_FIELD, BodyBudget
from redwingrun.bodylimits import (
    BYTES_PER_MB,
    MEMORY_PER_CONNECTION_BYTES,
    PROCESS_MB,
    BodyLimits,
)
from redwingrun.clientconnection import ClientConnection, Phase, Refusal, Refusals

SMALLEST_MEMORY_MB = 160
SMALLEST_MAX_FDS = 1638
LEGAL_BODY_BYTES = 262_144
LEGAL_HEADER_BYTES = 16_384
# An ordinary client sends about ten.
HEADER_FIELDS = 24
CLIENTS = 82
CLIENTS_PER_DATA_CENTRE = 27
PORT = "clients"
LIMITS = BodyLimits(
    total_bytes=1000,
    max_connections=4,
    max_unfinished=3,
    max_peer_connections=2,
    max_body_bytes=400,
    min_bytes_per_s=100,
    rate_grace_s=2.0,
    header_timeout_s=3.0,
)


def _connect(budget: BodyBudget, address: str, now_s: float = 0.0) -> ClientConnection:
    connection, refusals = budget.open(address, PORT, now_s)
    assert refusals == []
    return connection


def _send_body(
    budget: BodyBudget, address: str, count: int, now_s: float = 0.0
) -> tuple[ClientConnection, Refusals]:
    """Send headers and a part of a body."""
    connection = _connect(budget, address, now_s)
    refusals = budget.add(connection, 10, now_s)
    refusals += budget.begin_body(connection, 400, 400, now_s)
    refusals += budget.add(connection, count, now_s)
    return connection, refusals


def test_bytes_are_counted_as_they_arrive_and_until_the_answer():
    """Declared lengths must not use up the budget, nor answered requests keep it."""
    budget = BodyBudget(LIMITS)
    connection, _ = _send_body(budget, "a", 5)
    assert budget.held_bytes == 15
    budget.end_body(connection, 1.0)
    assert budget.held_bytes == 15
    budget.begin_request(connection, 2.0)
    assert budget.held_bytes == 0


def test_a_closed_connection_gives_its_bytes_back_once():
    budget = BodyBudget(LIMITS)
    connection, _ = _send_body(budget, "a", 5)
    budget.close(connection)
    budget.close(connection)
    assert budget.held_bytes == 0
    assert budget.add(connection, 5, 0.0) == []
    assert budget.held_bytes == 0


def test_a_declared_excess_is_refused_before_the_body():
    budget = BodyBudget(LIMITS)
    connection = _connect(budget, "a")
    assert budget.begin_body(connection, 401, 400, 0.0) == [
        (connection, Refusal.TOO_LARGE)
    ]
    assert connection.phase is Phase.REFUSED


def test_a_chunked_body_is_refused_at_the_limit_with_its_framing():
    """A chunk of one byte has five bytes of framing, which no handler counts."""
    budget = BodyBudget(LIMITS)
    connection = _connect(budget, "a")
    assert budget.begin_body(connection, None, 400, 0.0) == []
    assert budget.add(connection, 400, 0.0) == []
    assert budget.add(connection, 1, 0.0) == [(connection, Refusal.TOO_LARGE)]
    assert budget.held_bytes == 0


def test_a_body_is_refused_as_soon_as_it_exceeds_the_configuration():
    """The limit of the configuration is below that of the program."""
    budget = BodyBudget(LIMITS)
    connection = _connect(budget, "a")
    assert budget.begin_body(connection, None, 100, 0.0) == []
    assert budget.add(connection, 300, 0.0) == []
    assert budget.add_payload(connection, 100, 0.0) == []
    refused = [(connection, Refusal.TOO_LARGE)]
    assert budget.add_payload(connection, 1, 0.0) == refused
    declared = _connect(budget, "a")
    assert budget.begin_body(declared, 101, 100, 0.0) == [(declared, Refusal.TOO_LARGE)]


def test_fields_of_headers_count_more_than_their_bytes():
    """Thousands of short fields need many times the memory of what has arrived."""
    budget = BodyBudget(LIMITS)
    connection = _connect(budget, "a")
    budget.add(connection, 30, 0.0)
    assert budget.count_fields(connection, 3, 0.0) == []
    assert budget.held_bytes == 30 + 3 * BYTES_PER_HEADER_FIELD
    assert budget.count_fields(connection, 3, 0.0) == [(connection, Refusal.NO_BUDGET)]
    assert budget.held_bytes == 0


def test_an_address_that_leaves_its_running_requests_gets_no_more():
    """Clients that send a request and leave must not have any number of them run."""
    budget = BodyBudget(LIMITS)
    left = []
    for _ in range(LIMITS.max_unfinished):
        connection, refusals = _send_body(budget, "greedy", 10)
        assert refusals == []
        budget.end_body(connection, 0.0)
        budget.leave(connection)
        left.append(connection)
    connection, refusals = _send_body(budget, "greedy", 10)
    assert refusals == [(connection, Refusal.ABANDONED)]
    _, refusals = _send_body(budget, "modest", 10)
    assert refusals == []
    # The requests of the one that has gone end.
    for item in left:
        budget.end_request(item, 0, 1.0)
    _, refusals = _send_body(budget, "greedy", 10)
    assert refusals == []
    assert budget.held_bytes > 0


def test_the_address_that_holds_most_gives_way():
    """One client with many bodies must not stop those of other addresses."""
    budget = BodyBudget(LIMITS)
    first, _ = _send_body(budget, "greedy", 380, 0.0)
    _send_body(budget, "greedy", 380, 0.1)
    other, refusals = _send_body(budget, "modest", 380, 1.0)
    assert refusals == [(first, Refusal.NO_BUDGET)]
    assert other.phase is Phase.BODY


def test_an_active_request_is_kept_while_a_later_one_begins():
    """Refusing each unfinished request in turn would complete none of them."""
    budget = BodyBudget(LIMITS)
    _send_body(budget, "a", 380, 0.0)
    _send_body(budget, "a", 380, 0.1)
    last, refusals = _send_body(budget, "a", 380, 0.15)
    assert refusals == [(last, Refusal.NO_BUDGET)]


def test_a_whole_request_is_never_refused():
    """It may have run; what arrives later gives way."""
    budget = BodyBudget(LIMITS)
    for _ in range(2):
        connection, _ = _send_body(budget, "a", 390, 0.0)
        budget.end_body(connection, 0.0)
    last, refusals = _send_body(budget, "b", 390, 9.0)
    assert refusals == [(last, Refusal.NO_BUDGET)]


def test_a_refused_request_stays_refused_when_its_headers_are_complete():
    """It must not run after its client was told that it has not."""
    budget = BodyBudget(LIMITS)
    connection = _connect(budget, "a", 0.0)
    budget.add(connection, 5, 0.0)
    assert budget.overdue(3.1) == [(connection, Refusal.SLOW_HEADERS)]
    assert budget.begin_body(connection, 10, 400, 3.2) == []
    assert connection.phase is Phase.REFUSED


def test_more_unfinished_requests_than_allowed_drop_a_stalled_one():
    budget = BodyBudget(LIMITS)
    stalled, _ = _send_body(budget, "a", 1, 0.0)
    _send_body(budget, "a", 1, 0.5)
    _send_body(budget, "b", 1, 0.5)
    connection = _connect(budget, "b", 1.0)
    assert budget.add(connection, 1, 1.0) == [(stalled, Refusal.UNFINISHED)]


def test_a_full_server_drops_what_waits_on_the_address_with_most_connections():
    """Connections that send nothing must not keep other clients out."""
    budget = BodyBudget(LIMITS)
    oldest = _connect(budget, "a", 0.0)
    _connect(budget, "a", 0.1)
    _connect(budget, "a", 0.2)
    _connect(budget, "b", 0.0)
    _, refusals = budget.open("b", PORT, 1.0)
    assert refusals == [(oldest, Refusal.CONNECTIONS)]
    assert budget.connection_count == LIMITS.max_connections


def test_a_dropped_connection_is_not_chosen_twice():
    """Its end is reported later; meanwhile each new one must drop another."""
    budget = BodyBudget(LIMITS)
    for number in range(4):
        _connect(budget, "a", number)
    victims = {budget.open("a", PORT, 5.0)[1][0][0] for _ in range(4)}
    assert len(victims) == 4


def test_a_server_full_of_requests_in_progress_refuses_the_new_connection():
    budget = BodyBudget(LIMITS)
    for address in "abcd":
        budget.end_body(_connect(budget, address), 0.0)
    connection, refusals = budget.open("e", PORT, 1.0)
    assert refusals == [(connection, Refusal.CONNECTIONS)]


def test_one_port_does_not_fill_the_other():
    """Readiness checks are answered while clients use all their connections."""
    budget = BodyBudget(LIMITS)
    for _ in range(4):
        _connect(budget, "a")
    _, refusals = budget.open("a", "ready", 0.0)
    assert refusals == []


def test_slow_headers_and_slow_bodies_are_refused():
    budget = BodyBudget(LIMITS)
    headers = _connect(budget, "a", 0.0)
    budget.add(headers, 5, 0.0)
    slow, _ = _send_body(budget, "a", 180, 0.0)
    fast, _ = _send_body(budget, "a", 390, 0.0)
    assert budget.overdue(1.9) == []
    assert budget.overdue(2.1) == [(slow, Refusal.SLOW_BODY)]
    assert budget.overdue(3.1) == [(headers, Refusal.SLOW_HEADERS)]
    assert fast.phase is Phase.BODY


def test_an_idle_connection_is_not_slow():
    budget = BodyBudget(LIMITS)
    _connect(budget, "a", 0.0)
    assert budget.overdue(1000.0) == []


@pytest.mark.parametrize("memory_mb", [1, 90, 160, 552])
@pytest.mark.parametrize("max_fds", [16, 1638, 10_250])
def test_the_limits_fit_into_the_memory_and_descriptors_of_a_host(
    memory_mb: int, max_fds: int
):
    """Largest bodies and idle connections at the same time stay within a host's room.

    A host of at least the smallest size is meant; others have the least limits.
    """
    limits = BodyLimits.for_host(memory_mb, max_fds)
    assert limits.total_bytes >= BYTES_PER_MB
    assert limits.max_connections >= 16
    if memory_mb >= 90 and max_fds >= SMALLEST_MAX_FDS:
        room_bytes = (memory_mb - PROCESS_MB) * BYTES_PER_MB
        # Bytes and the copy that a handler gets; both HTTP ports.
        bodies = 2 * limits.total_bytes
        connections = 2 * limits.max_connections * MEMORY_PER_CONNECTION_BYTES
        assert bodies + connections <= room_bytes
        used = 2 * limits.max_connections + limits.max_peer_connections
        assert used <= 0.7 * max_fds


def test_no_client_within_its_limits_meets_a_default():
    """The smallest host serves all clients with the largest legal requests at once.

    Each has two connections, one of them with an unfinished request, the other one with
    only its headers. All clients of a data centre come from one address.
    """
    limits = BodyLimits.for_host(SMALLEST_MEMORY_MB, SMALLEST_MAX_FDS)
    budget = BodyBudget(limits)
    addresses = [
        f"10.0.{number // CLIENTS_PER_DATA_CENTRE}.1" for number in range(CLIENTS)
    ]
    refusals: Refusals = []
    connections = []
    for address in islice(cycle(addresses), 2 * CLIENTS):
        connection, refused = budget.open(address, PORT, 0.0)
        refusals += refused
        connections.append(connection)
    for connection in connections[:CLIENTS]:
        refusals += budget.add(connection, LEGAL_HEADER_BYTES, 0.0)
        refusals += budget.count_fields(connection, HEADER_FIELDS, 0.0)
        refusals += budget.begin_body(
            connection, LEGAL_BODY_BYTES, LEGAL_BODY_BYTES, 0.0
        )
    for _ in range(16):
        for connection in connections[:CLIENTS]:
            refusals += budget.add(connection, LEGAL_BODY_BYTES // 16, 0.1)
    for connection in connections[CLIENTS:]:
        refusals += budget.add(connection, 1, 0.1)
    assert refusals == []
    assert budget.held_bytes > CLIENTS * LEGAL_BODY_BYTES


def test_all_clients_behind_one_address_are_served():
    """A limit for each address would refuse a proxy's ordinary clients."""
    limits = BodyLimits.for_host(SMALLEST_MEMORY_MB, SMALLEST_MAX_FDS)
    budget = BodyBudget(limits)
    refusals: Refusals = []
    for _ in range(CLIENTS):
        connection, refused = budget.open("10.0.0.1", PORT, 0.0)
        refusals += refused
        refusals += budget.add(connection, LEGAL_HEADER_BYTES, 0.0)
        refusals += budget.begin_body(connection, None, LEGAL_BODY_BYTES, 0.0)
        refusals += budget.add(connection, LEGAL_BODY_BYTES, 0.0)
    assert refusals == []
