"""Whole requests of hostile clients against the system's own processes.

Checked are only that the process survives, that its memory and open descriptors stay
within its limits and that one ordinary request is answered afterwards.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
from attrs import frozen

from tests.hostileclients import GuardedCell, peak_memory_mb
from tests.hostilerequests import (
    JOB,
    RequestGroup,
    empty_settings_frames,
    excessive_body,
    large_job,
    many_fields,
    many_objects,
    many_steps,
    mixed,
    padded_job,
    pings,
    pipelined_jobs,
    wide_job,
)
from tests.test_untrustedclients import attack_entry, peak_use

ADDRESSES = tuple(f"127.0.0.{number}" for number in range(1, 10))
TRIES = 12


@frozen
class Host:
    """The limits of a process.

    :param memory_mb: memory in MiB; an idle member uses about 55 MB.
    """

    memory_mb: int
    max_descriptors: int


SMALLEST = Host(160, 1638)
TINY = Host(90, 160)


@frozen
class Crowd:
    """Clients of one kind.

    :param port: the member's port, ``front`` or ``peers``.
    :param request: returns what the connection of a number sends.
    :param count: number of connections.
    :param at_once: number of connections that wait for an answer at the same time.
    """

    port: str
    request: Callable[[int], bytes]
    count: int
    at_once: int
    host: Host = SMALLEST


async def _attack(crowd: Crowd) -> None:
    """Send a crowd's requests to a member, and check it during and after them."""
    host = crowd.host
    cell = GuardedCell({"memoryMb": host.memory_mb, "maxFds": host.max_descriptors})
    try:
        await cell.start()
        group = RequestGroup(
            cell.port(crowd.port), crowd.count, crowd.request, crowd.at_once, ADDRESSES
        )
        pid = cell.process.pid
        _, descriptors = await peak_use(pid, group)
        status, _ = await cell.call("POST", "/plans/00000000000000bb", JOB, TRIES)
        assert cell.process.poll() is None
        memory_mb = peak_memory_mb(pid)
        used = f"{memory_mb:.1f} MB, {descriptors} descriptors"
        assert memory_mb <= host.memory_mb, used
        assert descriptors <= host.max_descriptors, used
        assert status == 200, used
    finally:
        cell.close()


# Each case guards against a process that keeps what it no longer needs, or more than it
# counts, until its host has no memory left, or that serves nobody else meanwhile.
@pytest.mark.parametrize(
    "crowd",
    [
        pytest.param(Crowd("front", excessive_body, 100, 24), id="excessive-bodies"),
        pytest.param(Crowd("front", excessive_body, 100, 8, TINY), id="excessive-tiny"),
        pytest.param(Crowd("front", padded_job, 200, 8, TINY), id="padded-jobs-tiny"),
        pytest.param(Crowd("front", many_objects, 200, 1, TINY), id="objects-tiny"),
        pytest.param(Crowd("front", many_fields, 600, 600), id="header-fields"),
        pytest.param(Crowd("front", many_steps, 200, 200), id="steps"),
        pytest.param(Crowd("front", large_job, 100, 100), id="large-jobs"),
        pytest.param(Crowd("front", wide_job, 100, 100), id="wide-jobs"),
        pytest.param(Crowd("front", pipelined_jobs, 600, 600), id="pipelined-jobs"),
        pytest.param(Crowd("front", mixed, 1000, 1000), id="mixed"),
        pytest.param(Crowd("ready", mixed, 1000, 1000), id="mixed-ready"),
        pytest.param(
            Crowd("peers", empty_settings_frames, 200, 200), id="peers-settings"
        ),
        pytest.param(Crowd("peers", pings, 200, 200), id="peers-pings"),
    ],
)
def test_a_member_survives_a_crowd(crowd: Crowd):
    asyncio.run(_attack(crowd))


# Guards against the same faults in the daemons of our own interface.
@pytest.mark.parametrize(
    ("request_of", "at_once"),
    [
        pytest.param(excessive_body, 8, id="excessive-bodies"),
        pytest.param(padded_job, 8, id="padded-jobs"),
        pytest.param(many_fields, 200, id="header-fields"),
    ],
)
def test_an_entry_survives_a_crowd(request_of: Callable[[int], bytes], at_once: int):
    asyncio.run(
        attack_entry(
            lambda port: RequestGroup(port, 200, request_of, at_once, ADDRESSES)
        )
    )
