"""Decode a job in the format in which clients of the platform submit it."""

from __future__ import annotations

from typing import Any

import orjson

from redwingrun.jobs.spec import (
    BadJobError,
    JobSpec,
    StepSpec,
    TaskSize,
    check_job,
    check_step_count,
)
from redwingrun.platform.jsonfields import (
    BadFieldError,
    get_boolean,
    get_integer,
    get_list,
    get_number,
    get_string,
)


def decode_job(body: bytes) -> JobSpec:
    """Decode and check the body of a submission.

    :raises BadJobError: if the body is not a valid job.
    """
    try:
        data = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise BadJobError("the body is not JSON") from error
    if not isinstance(data, dict):
        raise BadJobError("the body is not a JSON object")
    try:
        spec = _decode_spec(data)
    except BadFieldError as error:
        raise BadJobError(str(error)) from error
    check_job(spec)
    return spec


def _decode_spec(data: dict[str, Any]) -> JobSpec:
    items = get_list(data, "steps")
    # First, because decoding a body full of steps would occupy the process.
    check_step_count(len(items))
    steps = []
    for item in items:
        if not isinstance(item, dict):
            raise BadFieldError("each of the steps must be an object")
        steps.append(_decode_step(item))
    return JobSpec(
        payload=get_string(data, "spec"),
        steps=tuple(steps),
        occurrences=get_integer(data, "repeats"),
        first_due_ms=int(get_number(data, "firstRunMs")),
        period_ms=int(get_number(data, "periodMs")),
    )


def _decode_step(data: dict[str, Any]) -> StepSpec:
    after = get_list(data, "after")
    if any(isinstance(item, bool) or not isinstance(item, int) for item in after):
        raise BadFieldError("after must be a list of step numbers")
    return StepSpec(
        tasks=get_integer(data, "taskCount"),
        size=TaskSize(
            get_integer(data, "cpu"),
            get_integer(data, "memMb"),
            get_integer(data, "gpu"),
        ),
        estimate_ms=get_number(data, "estRuntimeMs"),
        # Without repetitions, as each plan looks at all of them.
        after=tuple(dict.fromkeys(after)),
        checkpointed=get_boolean(data, "checkpointed"),
        gang=get_boolean(data, "gang"),
        same_rack=get_boolean(data, "sameRack"),
        required_label=get_string(data, "requiredLabel"),
        data_rack=get_string(data, "affinity"),
        max_per_worker=get_integer(data, "maxPerServer"),
        speculative=get_boolean(data, "speculative"),
        lasting=get_boolean(data, "longRunning"),
        image=get_string(data, "imageRef"),
        target_ms=get_number(data, "targetMs"),
        filler=get_boolean(data, "fills"),
        may_miss=get_integer(data, "mayMiss"),
    )
