"""Registrations, configurations and lists as the platform writes them."""

from __future__ import annotations

import orjson
import pytest

from redwingrun.coordination.table import Row
from redwingrun.jobs.workerpool import EndKind
from redwingrun.platform.queues import decode_queues
from redwingrun.platform.registry import decode_worker
from redwingrun.platform.workerclient import decode_report, read_task_name, task_name

ENTRY = {
    "backend": "walls",
    "address": "10.0.0.9:80",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "born": 17,
    "seq": 4,
}


def row(value: str) -> Row:
    """Return a registration's row."""
    return Row("servers//i-1", value, 3)


def test_a_registration_is_read():
    """Kind and rack come from the labels."""
    worker = decode_worker(row(orjson.dumps(ENTRY).decode()))
    assert worker.worker_id == "i-1"
    assert (worker.kind, worker.rack, worker.born_ms) == ("a", "r1-3", 17)
    assert worker.capacity.cpu_milli == 16000
    assert not worker.draining


OTHERS = {
    "bytes that can't be read": "\x00\xff",
    "not an object": "[]",
    "a state that isn't named": orjson.dumps({**ENTRY, "state": "odd"}).decode(),
    "no address": orjson.dumps({**ENTRY, "address": ""}).decode(),
    "an address of another type": orjson.dumps({**ENTRY, "address": 7}).decode(),
    "no capacity": orjson.dumps(
        {key: value for key, value in ENTRY.items() if key != "capacity"}
    ).decode(),
    "a capacity that is a word": orjson.dumps({**ENTRY, "capacity": "big"}).decode(),
    "a negative capacity": orjson.dumps({**ENTRY, "capacity": {"cpu": -1}}).decode(),
    "a birth that is a word": orjson.dumps({**ENTRY, "born": "now"}).decode(),
}


@pytest.mark.parametrize("what", OTHERS)
def test_an_entry_of_another_writer_names_no_worker(what: str):
    """It is passed over with a reason."""
    with pytest.raises(ValueError, match=r"\w"):
        decode_worker(row(OTHERS[what]))


def test_the_longest_prefix_selects_the_queue():
    """A queue is found by host and path."""
    routes = [
        {"name": "a", "hostname": "h", "pathPrefix": "/x/", "backend": "p"},
        {"name": "b", "hostname": "h", "pathPrefix": "/x/y/", "backend": "p"},
    ]
    queues = decode_queues(orjson.dumps({"version": 3, "routes": routes}).decode())
    assert queues.find("h", "/x/y/1").queue == "b"
    assert queues.find("h", "/x/1").queue == "a"
    assert queues.find("other", "/x/1") is None
    assert queues.find("h", "/z/1") is None


def test_lists_of_runs_are_read():
    """Rows may have more entries than are used."""
    name = "5c0e7a21d94b36f8.0.1.17"
    report = decode_report(
        {
            "clockMs": 5,
            "born": 9,
            "running": [[name, 2, "cp", 41, 120]],
            "finished": [[58, name, 1, "broken", ""]],
        }
    )
    assert report.running[0].percent == 41
    assert report.running[0].metric_value == 120
    assert report.ends[0].kind is EndKind.GANG_MEMBER_ENDED
    assert task_name(read_task_name(name)) == name
