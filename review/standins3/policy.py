"""A stand-in for the placement policy, which allows every worker."""

from __future__ import annotations

import asyncio
import json

from tornado.web import Application, RequestHandler

DECIDE_S = 0.02
VALID_MS = 2500


class _AdviseHandler(RequestHandler):
    async def post(self) -> None:
        call = json.loads(self.request.body)
        await asyncio.sleep(DECIDE_S)
        good = [[worker, f"ticket-{call['stepId']}"] for worker in call["workers"]]
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps({"good": good, "validMs": VALID_MS}))


def policy_application() -> Application:
    """Return the HTTP interface."""
    return Application(
        [(r"/-/advise", _AdviseHandler)], log_function=lambda handler: None
    )
