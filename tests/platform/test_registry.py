"""Decoding of registrations, queue configurations and minions' reports."""

from __future__ import annotations

import asyncio

import orjson
import pytest

from redwingrun.coordination.table import Changes, Row, Snapshot
from redwingrun.jobs.workerpool import EndKind
from redwingrun.logs import Log
from redwingrun.platform.queues import decode_queues
from redwingrun.platform.registry import PlatformRegistry, decode_worker
from redwingrun.platform.workerclient import (
    decode_report,
    decode_task_id,
    encode_task_id,
)

REGISTRATION = {
    "backend": "walls",
    "address": "10.0.0.9:80",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "born": 17,
    "seq": 4,
}


def row(value: str, worker_id: str = "i-1") -> Row:
    """Return the row of a registration."""
    return Row(f"servers//{worker_id}", value, 3)


def test_a_registration_is_decoded():
    """The first label is the worker's kind and the second one its rack."""
    worker = decode_worker(row(orjson.dumps(REGISTRATION).decode()))
    assert worker.worker_id == "i-1"
    assert (worker.kind, worker.rack, worker.born_ms) == ("a", "r1-3", 17)
    assert worker.capacity.cpu_milli == 16000
    assert not worker.draining


INVALID_REGISTRATIONS = {
    "not JSON": "\x00\xff",
    "not an object": "[]",
    "an unknown state": orjson.dumps({**REGISTRATION, "state": "odd"}).decode(),
    "no address": orjson.dumps({**REGISTRATION, "address": ""}).decode(),
    "an address of another type": orjson.dumps({**REGISTRATION, "address": 7}).decode(),
    "no capacity": orjson.dumps(
        {key: value for key, value in REGISTRATION.items() if key != "capacity"}
    ).decode(),
    "a capacity that is a string": orjson.dumps(
        {**REGISTRATION, "capacity": "big"}
    ).decode(),
    "a negative capacity": orjson.dumps(
        {**REGISTRATION, "capacity": {"cpu": -1}}
    ).decode(),
    "a start time that is a string": orjson.dumps(
        {**REGISTRATION, "born": "now"}
    ).decode(),
    "lists nested 100,000 deep": '{"state": ' + "[" * 100_000 + "]" * 100_000 + "}",
    "a number beyond all floats": '{"born": 1e400}',
    "a start time of 30 digits": orjson.dumps(REGISTRATION)
    .decode()
    .replace('"born":17', '"born":' + "9" * 30),
    "a capacity beyond exact integers": orjson.dumps(
        {**REGISTRATION, "capacity": {"cpu": 2**63}}
    ).decode(),
    "a time left that is too large": orjson.dumps(
        {**REGISTRATION, "remainingMs": 1e308}
    ).decode(),
    **{
        f"the address {address!r}": orjson.dumps(
            {**REGISTRATION, "address": address}
        ).decode()
        for address in (
            "10.0.0.9:0",
            "10.0.0.9:65536",
            "10.0.0.9:-1",
            "10.0.0.9:" + "9" * 400,
            "10.0.0.9:x",
            "10.0.0.9:\u0668\u0660",
            "10.0.0.9:+80",
            "10.0.0:80",
            "host.example:80",
            "user@10.0.0.9:80",
            "10.0.0.9\0:80",
            "\xe9:80",
        )
    },
}


@pytest.mark.parametrize("what", INVALID_REGISTRATIONS)
def test_an_invalid_registration_is_refused_with_a_message(what: str):
    """Other programs write such rows; the message says what is wrong."""
    with pytest.raises(ValueError, match=r"\w"):
        decode_worker(row(INVALID_REGISTRATIONS[what]))


# Guards against an id that can't be sent in a header: the call to the worker raised,
# and one member after the other lost the slice.
@pytest.mark.parametrize("worker_id", ["", "i-\u20ac", "i-1\r\nX: 1", "i 1"])
def test_a_registration_under_an_unusable_id_is_refused(worker_id: str):
    """The id is the row's key, which another writer may choose."""
    with pytest.raises(ValueError, match=r"\w"):
        decode_worker(row(orjson.dumps(REGISTRATION).decode(), worker_id))


class _RowsTable:
    """A table that holds given rows and reports all of them as changed."""

    def __init__(self, rows: tuple[Row, ...]):
        self._rows = rows

    async def snapshot(self, prefix: str) -> Snapshot:
        return Snapshot(self._rows, 3)

    async def changes(self, prefix: str, after: int, wait_s: float) -> Changes:
        return Changes(self._rows, (), 3)


# Guards against one entry of another writer that hides the others, or ends whoever
# reads the list.
def test_odd_registrations_are_passed_over_one_by_one():
    """A usable registration stands between all the unusable ones."""
    odd = [
        row(value, f"odd-{n}") for n, value in enumerate(INVALID_REGISTRATIONS.values())
    ]
    usable = row(orjson.dumps(REGISTRATION).decode())
    registry = PlatformRegistry(_RowsTable((*odd, usable, *odd)), Log("test", "quiet"))
    loaded = asyncio.run(registry.load())
    changed = asyncio.run(registry.changes(0, 0.1))
    assert [worker.worker_id for worker in loaded.workers] == ["i-1"]
    assert [worker.worker_id for worker in changed.workers] == ["i-1"]


# Guards against a malformed element that ends the follower of the configuration.
@pytest.mark.parametrize(
    "value",
    [
        '{"version": 1, "routes": ["x"]}',
        '{"version": 1, "routes": [null]}',
        '{"version": 1, "services": [3]}',
        '{"version": 1, "routes": [{"attempts": 18446744073709551615}]}',
        '{"version": 1e400}',
        '{"version": ' + "[" * 5000 + "]" * 5000 + "}",
        "\ufffd",
    ],
)
def test_a_malformed_configuration_is_refused_with_a_message(value: str):
    """It is refused as a whole, so the version before it stays in force."""
    with pytest.raises(ValueError, match=r"\w"):
        decode_queues(value)


# Guards against a malformed report that raises an error which no caller expects.
@pytest.mark.parametrize(
    "field",
    [
        {"running": [[3, 1, "", 1]]},
        {"running": [3]},
        {"running": ["abcd"]},
        {"running": [["5c0e7a21d94b36f8.0.1.17", {}, "", 1]]},
        {"running": [["5c0e7a21d94b36f8.0.1.17", 1, [], 1]]},
        {"running": [["5c0e7a21d94b36f8.0.1.17", 1, "", "x"]]},
        {"finished": [["1", "5c0e7a21d94b36f8.0.1.17", 1, "done", ""]]},
        {"finished": [[1, "5c0e7a21d94b36f8.0.1.17", 1, ["done"], ""]]},
        {"finished": [[1, None, 1, "done", ""]]},
    ],
)
def test_a_malformed_report_is_refused_with_a_message(field: dict):
    """Each row of both lists is checked."""
    with pytest.raises(ValueError, match=r"\w"):
        decode_report({"clockMs": 5, "born": 9, **field})


# Guards against an older registration that stays in use after another writer has
# overwritten it.
def test_a_registration_that_becomes_odd_is_no_longer_registered():
    """As in a snapshot, which does not hold it either."""
    rows = (row(orjson.dumps(REGISTRATION).decode()), row("[]"))
    registry = PlatformRegistry(_RowsTable(rows), Log("test", "quiet"))
    changed = asyncio.run(registry.changes(0, 0.1))
    assert changed.workers == ()
    assert changed.deleted == ("i-1",)


def test_the_longest_prefix_selects_the_queue():
    """A queue is found by host and path prefix."""
    routes = [
        {"name": "a", "hostname": "h", "pathPrefix": "/x/", "backend": "p"},
        {"name": "b", "hostname": "h", "pathPrefix": "/x/y/", "backend": "p"},
    ]
    queues = decode_queues(orjson.dumps({"version": 3, "routes": routes}).decode())
    assert queues.find("h", "/x/y/1").queue == "b"
    assert queues.find("h", "/x/1").queue == "a"
    assert queues.find("other", "/x/1") is None
    assert queues.find("h", "/z/1") is None


def test_a_report_is_decoded():
    """The first fields of each row are decoded; a row may have more."""
    task_id = "5c0e7a21d94b36f8.0.1.17"
    report = decode_report(
        {
            "clockMs": 5,
            "born": 9,
            "running": [[task_id, 2, "cp", 41, 120]],
            "finished": [[58, task_id, 1, "broken", ""]],
        }
    )
    assert report.running[0].percent == 41
    assert report.running[0].metric_value == 120
    assert report.ends[0].kind is EndKind.GANG_MEMBER_ENDED
    assert encode_task_id(decode_task_id(task_id)) == task_id


# Guards against a list of ends that was cut at the platform's limit and is taken for
# complete.
@pytest.mark.parametrize(
    ("count", "lists_all"), [(0, True), (499, True), (500, False), (501, False)]
)
def test_a_report_says_whether_it_lists_all_ends(count: int, lists_all: bool):
    ends = [
        [number, f"5c0e7a21d94b36f8.0.1.{number}", 1, "done", ""]
        for number in range(count)
    ]
    report = decode_report({"clockMs": 5, "born": 9, "running": [], "finished": ends})
    assert report.lists_all_ends is lists_all


# Guards against ends that are listed in another order: the number of the last one would
# acknowledge earlier ones that were never applied.
def test_the_ends_of_a_report_are_sorted_by_their_numbers():
    ends = [
        [number, f"5c0e7a21d94b36f8.0.1.{number}", 1, "done", ""]
        for number in (3, 1, 2)
    ]
    report = decode_report({"clockMs": 5, "born": 9, "running": [], "finished": ends})
    assert [end.number for end in report.ends] == [1, 2, 3]
