"""Cancellation of asyncio tasks that waits until they have ended."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any

RETRY_INTERVAL_S = 0.05


async def cancel_all(tasks: Iterable[asyncio.Task[Any]]) -> None:
    """Cancel tasks repeatedly until all have ended.

    One cancellation may not be enough: ``asyncio.wait_for`` loses a cancellation that
    arrives at the same time as the result that it waits for.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=RETRY_INTERVAL_S)
