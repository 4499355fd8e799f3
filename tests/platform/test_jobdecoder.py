"""Decoding of submitted jobs: valid bodies, and invalid ones with an error message."""

from __future__ import annotations

import orjson
import pytest

from redwingrun.jobs.spec import (
    BadJobError,
    Submission,
    decode_submission,
    encode_submission,
)
from redwingrun.platform.jobdecoder import decode_job

VALID = {
    "spec": "text",
    "steps": [
        {"taskCount": 4, "cpu": 500, "memMb": 256, "estRuntimeMs": 900},
        {
            "taskCount": 20,
            "cpu": 2000,
            "memMb": 1024,
            "estRuntimeMs": 7000,
            "after": [0],
            "checkpointed": True,
            "maxPerServer": 2,
            "affinity": "r1-3",
        },
    ],
}


def with_step(**fields: object) -> dict:
    """Return a job with one step that has these fields."""
    return {"spec": "", "steps": [{"taskCount": 1, "cpu": 1, **fields}]}


INVALID_BODIES = {
    "not JSON": b"{",
    "not an object": b"[]",
    "no steps": orjson.dumps({"spec": ""}),
    "steps of another type": orjson.dumps({"spec": "", "steps": {}}),
    "a step of another type": orjson.dumps({"spec": "", "steps": [3]}),
    "a payload of another type": orjson.dumps({"spec": 3, "steps": [{"taskCount": 1}]}),
    "a payload too long": orjson.dumps(
        {"spec": "x" * 4001, "steps": [{"taskCount": 1}]}
    ),
    "no tasks": orjson.dumps(with_step(taskCount=0)),
    "a million tasks": orjson.dumps(with_step(taskCount=1_000_000)),
    "a count that is not a number": orjson.dumps(with_step(taskCount="4")),
    "a negative size": orjson.dumps(with_step(cpu=-1)),
    "a size out of range": orjson.dumps(with_step(memMb=10**15)),
    "a step after itself": orjson.dumps(with_step(after=[0])),
    "a step after a later one": orjson.dumps(with_step(after=[1])),
    "a step after a negative one": orjson.dumps(with_step(after=[-1])),
    "a step after a string": orjson.dumps(with_step(after=["a"])),
    "a flag that is a string": orjson.dumps(with_step(gang="yes")),
    "too many steps": orjson.dumps({"spec": "", "steps": [{"taskCount": 1}] * 101}),
    "negative occurrences": orjson.dumps({**VALID, "repeats": -1}),
}


def test_a_job_is_decoded():
    """The fields of a job are decoded, and missing fields have their defaults."""
    spec = decode_job(orjson.dumps(VALID))
    first, second = spec.steps
    assert (first.tasks, first.size.cpu_milli, first.size.memory_mb) == (4, 500, 256)
    assert second.after == (0,)
    assert second.checkpointed
    assert second.max_per_worker == 2
    assert second.data_rack == "r1-3"
    assert not first.gang


def test_a_submission_survives_encoding():
    """Decoding an encoded submission returns the same submission."""
    submission = Submission("q", decode_job(orjson.dumps(VALID)), 12)
    assert decode_submission(encode_submission(submission)) == submission


@pytest.mark.parametrize("what", INVALID_BODIES)
def test_an_invalid_body_is_refused_with_a_message(what: str):
    """The error has a message for the client."""
    with pytest.raises(BadJobError, match=r"\w"):
        decode_job(INVALID_BODIES[what])


def test_too_many_steps_are_rejected_before_any_is_decoded():
    """Decoding each of them occupied the process for half a second a request."""
    body = b'{"spec":"","steps":[' + b'"not a step",' * 100 + b"{}]}"
    with pytest.raises(BadJobError, match="1 to 100 steps"):
        decode_job(body)


def test_repeated_dependencies_are_stored_once():
    """A plan looks at all of them: thousands of copies of one would slow each plan."""
    steps = [{"taskCount": 1}, {"taskCount": 1, "after": [0] * 5_000}]
    spec = decode_job(orjson.dumps({"spec": "", "steps": steps}))
    assert spec.steps[1].after == (0,)
