"""Client of the platform's placement policy, which decides where a step may run."""

from __future__ import annotations

from typing import Any

import orjson
from expression import Error, Ok, Result

from redwingrun.coordination.verdict import Failure, not_run
from redwingrun.httpclient import HttpCall, HttpClient
from redwingrun.jobs.ports import PolicyAnswer, PolicyPort
from redwingrun.jobs.spec import StepId
from redwingrun.platform.jsonclient import JSON_HEADERS, decode_reply
from redwingrun.platform.jsonfields import BadFieldError, get_list, get_number

OK_STATUS = 200
MS_PER_S = 1000
DEFAULT_VALID_MS = 1000


class PlatformPolicy(PolicyPort):
    """Queries the placement policy over HTTP.

    :param address: IP and port; empty when the deployment has no policy.
    """

    def __init__(self, client: HttpClient, address: str):
        self.address = address
        self._client = client

    async def query_policy(
        self, step_id: StepId, worker_ids: tuple[str, ...], timeout_s: float
    ) -> Result[PolicyAnswer, Failure]:
        """Ask which of the workers may run a step."""
        name = f"{step_id.job}.{step_id.occurrence}.{step_id.step}"
        body = orjson.dumps({"stepId": name, "workers": list(worker_ids)})
        url = f"http://{self.address}/-/advise"
        call = HttpCall("POST", url, timeout_s, body, JSON_HEADERS)
        http_reply = await self._client.send(call)
        if http_reply.is_error():
            return http_reply
        reply = decode_reply(http_reply.ok.status, http_reply.ok.body)
        if reply.is_error():
            return reply
        if reply.ok.status != OK_STATUS:
            return Error(not_run(f"status-{reply.ok.status}"))
        try:
            return Ok(decode_answer(reply.ok.body))
        except BadFieldError as error:
            return Error(not_run("damaged", str(error)))


def decode_answer(data: dict[str, Any]) -> PolicyAnswer:
    """Decode the policy's answer, without the rows that can't be used.

    :raises BadFieldError: if the list of workers is missing, or it or the time is not
        usable.
    """
    if "good" not in data:
        # Else all workers of the query would count as refused, which doesn't change.
        raise BadFieldError("good is missing")
    ticket_by_worker = {}
    for row in get_list(data, "good"):
        if _is_ticket_row(row):
            worker_id, ticket = row[:2]
            ticket_by_worker[worker_id] = ticket
    valid_ms = get_number(data, "validMs", DEFAULT_VALID_MS)
    return PolicyAnswer(ticket_by_worker, valid_ms / MS_PER_S)


def _is_ticket_row(row: Any) -> bool:
    """Return whether a row begins with a worker's id and its ticket."""
    if not isinstance(row, list) or len(row) < 2:
        return False
    return all(isinstance(value, str) for value in row[:2])
