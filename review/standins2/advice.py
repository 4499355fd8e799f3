"""Stand-in for the service that says which minions a step may run on."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from standins2.httpwire import Request, Server


class Advice:
    """Allows each step on all minions, after the time that its calls take."""

    def __init__(
        self,
        decide_ms: float,
        each_ms: float,
        valid_ms: float,
        record: Callable[..., None],
    ):
        self.server = Server(self._handle)
        self._decide_ms = decide_ms
        self._each_ms = each_ms
        self._valid_ms = valid_ms
        self._record = record

    async def _handle(self, request: Request) -> tuple[int, dict[str, Any]]:
        if request.path != "/-/advise":
            return 404, {}
        data = request.json()
        workers = data["workers"]
        self._record("advise", step=data["stepId"], workers=len(workers))
        await asyncio.sleep((self._decide_ms + self._each_ms * len(workers)) / 1000)
        good = [[worker, f"ticket-{worker}"] for worker in workers]
        return 200, {"good": good, "validMs": self._valid_ms}
