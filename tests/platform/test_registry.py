"""Decoding of registrations, queue configurations and minions' reports."""

from __future__ import annotations

import orjson
import pytest

from redwingrun.coordination.table import Row
from redwingrun.jobs.workerpool import EndKind
from redwingrun.platform.queues import decode_queues
from redwingrun.platform.registry import decode_worker
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


def row(value: str) -> Row:
    """Return the row of a registration."""
    return Row("servers//i-1", value, 3)


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
}


@pytest.mark.parametrize("what", INVALID_REGISTRATIONS)
def test_an_invalid_registration_is_refused_with_a_message(what: str):
    """Other programs write such rows; the message says what is wrong."""
    with pytest.raises(ValueError, match=r"\w"):
        decode_worker(row(INVALID_REGISTRATIONS[what]))


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
