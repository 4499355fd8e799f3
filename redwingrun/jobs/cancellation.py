"""Ending tasks for certain."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any

AGAIN_S = 0.05


async def cancel_all(tasks: Iterable[asyncio.Task[Any]]) -> None:
    """Cancel tasks until all have ended.

    ``asyncio.wait_for`` loses a cancellation that comes together with the end of
    what it waits for, so one cancellation may not be enough.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=AGAIN_S)
