"""A job as clients of the platform send it."""

from __future__ import annotations

from typing import Any

import orjson

from redwingrun.jobs.spec import BadJobError, JobSpec, StepSpec, TaskSize, check_job
from redwingrun.platform.jsonfields import (
    BadFieldError,
    flag,
    items,
    number,
    text,
    whole,
)


def decode_job(body: bytes) -> JobSpec:
    """Read a submission's body.

    :raises BadJobError: when it is not a job that can be accepted.
    """
    try:
        plain = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise BadJobError("the body is not JSON") from error
    if not isinstance(plain, dict):
        raise BadJobError("the body is not an object")
    try:
        spec = _job(plain)
    except BadFieldError as error:
        raise BadJobError(str(error)) from error
    check_job(spec)
    return spec


def _job(plain: dict[str, Any]) -> JobSpec:
    steps = []
    for item in items(plain, "steps"):
        if not isinstance(item, dict):
            raise BadFieldError("a step must be an object")
        steps.append(_step(item))
    return JobSpec(
        payload=text(plain, "spec"),
        steps=tuple(steps),
        occurrences=whole(plain, "repeats"),
        first_due_ms=int(number(plain, "firstRunMs")),
        period_ms=int(number(plain, "periodMs")),
    )


def _step(plain: dict[str, Any]) -> StepSpec:
    after = items(plain, "after")
    if any(isinstance(item, bool) or not isinstance(item, int) for item in after):
        raise BadFieldError("after must hold numbers of steps")
    return StepSpec(
        tasks=whole(plain, "taskCount"),
        size=TaskSize(whole(plain, "cpu"), whole(plain, "memMb"), whole(plain, "gpu")),
        estimate_ms=number(plain, "estRuntimeMs"),
        after=tuple(after),
        checkpointed=flag(plain, "checkpointed"),
        gang=flag(plain, "gang"),
        same_rack=flag(plain, "sameRack"),
        required_label=text(plain, "requiredLabel"),
        data_rack=text(plain, "affinity"),
        max_per_worker=whole(plain, "maxPerServer"),
        speculative=flag(plain, "speculative"),
        lasting=flag(plain, "longRunning"),
        image=text(plain, "imageRef"),
        target_ms=number(plain, "targetMs"),
        filler=flag(plain, "fills"),
        may_miss=whole(plain, "mayMiss"),
    )
