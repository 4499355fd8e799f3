"""Whole requests of hostile clients, and a group that sends a different one each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import orjson

from review.cell.cell import HOST, QUEUE_HOST
from tests.hostileclients import (
    BODY_BYTES,
    HTTP2_PREFACE,
    HTTP2_SETTINGS,
    PIECE_BYTES,
    SEND_TIMEOUT_S,
    HostileGroup,
    declared_excess,
    frame,
    short_body,
    short_chunks,
)

HTTP2_PING = 6
MEGABYTE = 1_048_576
MAX_TASKS_PER_JOB = 10_000
MAX_STEPS = 100
# How long a client waits for the answer before it leaves the connection alone.
ANSWER_TIMEOUT_S = 1.0
STEP = {"taskCount": 1, "cpu": 100, "memMb": 16}
JOB = {"spec": "s", "steps": [STEP]}


def post(body: bytes, number: int, *headers: str) -> bytes:
    """Return a whole submission.

    :param number: number of the job, from which its id is made.
    """
    lines = [
        f"POST /plans/{number:016x} HTTP/1.1",
        f"Host: {QUEUE_HOST}",
        *headers,
        f"Content-Length: {len(body)}",
        "\r\n",
    ]
    return "\r\n".join(lines).encode() + body


def padded_job(number: int) -> bytes:
    """Return a job with a body of the maximum size, which is accepted."""
    return post(orjson.dumps(JOB).ljust(BODY_BYTES), number)


def excessive_body(number: int) -> bytes:
    """Return a body above the configuration's limit, within the program's."""
    return post(bytes(MEGABYTE), number)


def many_objects(number: int) -> bytes:
    """Return a body of the maximum size that decodes into many empty objects."""
    return post(b"[" + b"{}," * (BODY_BYTES // 3 - 2) + b"{}]", number)


def many_steps(number: int) -> bytes:
    """Return a job with far more steps than a job may have."""
    return post(b'{"spec":"s","steps":[' + b"{}," * 80_000 + b"{}]}", number)


def large_job(number: int) -> bytes:
    """Return a job with the maximum number of tasks in one step."""
    step = {**STEP, "taskCount": MAX_TASKS_PER_JOB}
    return post(orjson.dumps({"spec": "s", "steps": [step]}), number)


def wide_job(number: int) -> bytes:
    """Return a job with the maximum numbers of steps and tasks."""
    step = {**STEP, "taskCount": MAX_TASKS_PER_JOB // MAX_STEPS}
    return post(orjson.dumps({"spec": "s", "steps": [step] * MAX_STEPS}), number)


def many_fields(number: int) -> bytes:
    """Return headers below the limit with many fields, and a body without its end."""
    fields = [f"{position:x}: 1" for position in range(1_800)]
    return post(bytes(100), number, *fields)[:-1]


def pipelined_jobs(number: int) -> bytes:
    """Return 300 small jobs."""
    body = orjson.dumps(JOB)
    return b"".join(post(body, number * 300 + position) for position in range(300))


def empty_settings_frames(number: int) -> bytes:
    """Return 20,000 HTTP/2 frames without a payload."""
    return HTTP2_PREFACE + frame(HTTP2_SETTINGS, 0, b"") * 20_000


def pings(number: int) -> bytes:
    """Return 50,000 HTTP/2 pings."""
    return (
        HTTP2_PREFACE
        + frame(HTTP2_SETTINGS, 0, b"")
        + frame(HTTP2_PING, 0, bytes(8)) * 50_000
    )


def mixed(number: int) -> bytes:
    """Return a request of one of ten kinds, half of which are valid."""
    kinds = (
        padded_job,
        lambda _: short_body(),
        padded_job,
        lambda _: short_chunks(1, 8_000),
        lambda position: post(orjson.dumps(JOB), position),
        lambda _: short_chunks(BODY_BYTES, 1),
        lambda position: post(orjson.dumps(JOB).ljust(2_000), position),
        lambda _: declared_excess(),
        lambda position: post(orjson.dumps(JOB), position),
        many_fields,
    )
    return kinds[number % len(kinds)](number)


class RequestGroup(HostileGroup):
    """Connections that each send a request, wait for an answer and then stay open.

    :param request: returns what the connection of a number sends.
    :param at_once: number of connections that wait for an answer at the same time.
    """

    def __init__(
        self,
        port: int,
        count: int,
        request: Callable[[int], bytes],
        at_once: int,
        addresses: tuple[str, ...] = (HOST,),
    ):
        super().__init__(port, count, b"", addresses=addresses)
        self._request = request
        self._at_once = asyncio.Semaphore(at_once)

    async def send(self) -> None:
        """Send from all connections."""
        await asyncio.gather(
            *(
                self._ask(number, address)
                for number, address in enumerate(self._addresses)
            )
        )

    async def _ask(self, number: int, address: str) -> None:
        async with self._at_once:
            connection = await self.connect(address)
            if connection is None:
                return
            reader, writer = connection
            try:
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    await _send_in_pieces(writer, self._request(number))
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    self.replies.append(await reader.read(1024))
            except OSError:
                pass


async def _send_in_pieces(writer: asyncio.StreamWriter, data: bytes) -> None:
    for start in range(0, len(data), PIECE_BYTES):
        writer.write(data[start : start + PIECE_BYTES])
        await writer.drain()
