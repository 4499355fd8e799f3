"""Hostile clients against the system's own processes on loopback addresses.

Checked are only that the process survives, that its memory and open descriptors stay
within its limits and that one ordinary request is answered afterwards.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from lab.cell import SHORT_INTERVALS, Layout
from lab.cell import Cell as OwnCell
from review.cell.cell import HOST
from tests.hostileclients import (
    PIECE_BYTES,
    GuardedCell,
    HostileGroup,
    declared_excess,
    open_descriptors,
    peak_memory_mb,
    short_body,
    short_chunks,
    unfinished_header_block,
    unfinished_headers,
)

# A member of an idle slice uses about 55 MB.
LIMITS = {"memoryMb": 90, "maxFds": 160}
# An entry of an idle cell uses about 60 MB.
ENTRY_MEMORY_MB = 96
ENTRY_DESCRIPTORS = 160
CONNECTIONS = 200
ADDRESSES = (HOST, "127.0.0.2", "127.0.0.3")
# How long the connections stay open after the last byte.
HOLD_S = 0.5
TRIES = 12
JOB = {"spec": "s", "steps": [{"taskCount": 1, "cpu": 100, "memMb": 16}]}


async def peak_use(pid: int, group: HostileGroup) -> tuple[float, int]:
    """Send a group's requests; return a process's peak MiB and its descriptors."""
    sending = asyncio.create_task(group.send())
    descriptors = 0
    while not sending.done():
        descriptors = max(descriptors, open_descriptors(pid))
        await asyncio.sleep(0.05)
    await sending
    await asyncio.sleep(HOLD_S)
    descriptors = max(descriptors, open_descriptors(pid))
    memory_mb = peak_memory_mb(pid)
    group.close()
    return memory_mb, descriptors


async def _attack(port: str, data: bytes, count: int, piece_bytes: int) -> None:
    """Send a group's requests to a member and check the member during and after it."""
    cell = GuardedCell(LIMITS)
    try:
        await cell.start()
        pid = cell.process.pid
        group = HostileGroup(cell.port(port), count, data, piece_bytes, ADDRESSES)
        memory_mb, descriptors = await peak_use(pid, group)
        used = f"{memory_mb:.1f} MB, {descriptors} descriptors"
        status, _ = await cell.call("POST", "/plans/00000000000000bb", JOB, TRIES)
        assert cell.process.poll() is None
        assert memory_mb <= LIMITS["memoryMb"], used
        assert descriptors <= LIMITS["maxFds"], used
        assert status == 200, used
    finally:
        cell.close()


# Each case guards against a process that keeps the bytes of any number of unfinished
# requests, until its host has no memory or it has no descriptors left.
@pytest.mark.parametrize(
    ("port", "data", "count", "piece_bytes"),
    [
        pytest.param("front", short_body(), CONNECTIONS, 262_144, id="front-whole"),
        pytest.param("front", short_body(), CONNECTIONS, 16_384, id="front-pieces"),
        pytest.param(
            "front", short_chunks(1, 8_192), CONNECTIONS, 16_384, id="front-tiny-chunks"
        ),
        pytest.param(
            "front",
            short_chunks(262_144, 1),
            CONNECTIONS,
            65_536,
            id="front-large-chunks",
        ),
        pytest.param(
            "front", declared_excess(), CONNECTIONS, 65_536, id="front-declared-excess"
        ),
        pytest.param(
            "front",
            short_chunks(65_536, 17),
            CONNECTIONS,
            65_536,
            id="front-undeclared-excess",
        ),
        pytest.param(
            "front", unfinished_headers(), CONNECTIONS, 4_096, id="front-headers"
        ),
        pytest.param("ready", short_body(), CONNECTIONS, 65_536, id="ready-pieces"),
        pytest.param(
            "ready", unfinished_headers(), CONNECTIONS, 4_096, id="ready-headers"
        ),
        pytest.param(
            "peers", unfinished_header_block(), CONNECTIONS, 65_536, id="peers-headers"
        ),
    ],
)
def test_a_process_survives_hostile_clients(
    port: str, data: bytes, count: int, piece_bytes: int
):
    asyncio.run(_attack(port, data, count, piece_bytes))


async def attack_entry(create_group: Callable[[int], HostileGroup]) -> None:
    """Have a group attack an entry of our own interface, and check the entry.

    :param create_group: returns the group for the entry's port.
    """
    limits = {"memory_mb": ENTRY_MEMORY_MB, "max_descriptors": ENTRY_DESCRIPTORS}
    layout = Layout(weights=(1.0,), norte=False, settings={**SHORT_INTERVALS, **limits})
    async with OwnCell(layout) as cell:
        host = cell.hosts[0]
        process = host.process_by_daemon["entry"]
        group = create_group(host.http_port)
        memory_mb, descriptors = await peak_use(process.pid, group)
        used = f"{memory_mb:.1f} MB, {descriptors} descriptors"
        status = 0
        for _ in range(TRIES):
            status = (await cell.call("GET", host.url + "/readyz")).status
            if status == 200:
                break
            await asyncio.sleep(0.5)
        assert process.poll() is None
        assert memory_mb <= ENTRY_MEMORY_MB, used
        assert descriptors <= ENTRY_DESCRIPTORS, used
        assert status == 200, used


# Guards against the same fault in the daemons of our own interface.
@pytest.mark.parametrize(
    "data",
    [
        pytest.param(short_body(), id="entry-pieces"),
        pytest.param(short_chunks(65_536, 15), id="entry-large-chunks"),
        pytest.param(unfinished_headers(), id="entry-headers"),
    ],
)
def test_an_entry_survives_hostile_clients(data: bytes):
    asyncio.run(
        attack_entry(
            lambda port: HostileGroup(port, CONNECTIONS, data, PIECE_BYTES, ADDRESSES)
        )
    )
