"""Sends the owner's queries to the placement policy, by another way if one fails."""

from __future__ import annotations

import math
from collections.abc import Callable, Coroutine
from typing import Any

from attrs import frozen
from expression import Result

from redwingrun.coordination.clock import Clock
from redwingrun.coordination.verdict import Failure
from redwingrun.jobs.policyproxies import PolicyProxies, PolicyProxy
from redwingrun.jobs.ports import PolicyAnswer
from redwingrun.jobs.workerpool import PolicyQuery
from redwingrun.logs import Log

TIMEOUT_MARGIN_S = 1.0
# A query that failed through so many peers is sent by this member itself.
MAX_PEERS_TRIED = 2

# Sends a query through a member, with a timeout in seconds.
QueryPolicy = Callable[
    [PolicyProxy, PolicyQuery, float],
    Coroutine[Any, Any, Result[PolicyAnswer, Failure]],
]


@frozen
class _Sent:
    """The result of sending a query one way.

    :param is_final: whether there is no use in another way.
    """

    result: Result[PolicyAnswer, Failure]
    is_final: bool


class PolicySender:
    """Sends queries to the placement policy through the members of the slice.

    :param proxies: the members.
    """

    def __init__(
        self, proxies: PolicyProxies, query_policy: QueryPolicy, clock: Clock, log: Log
    ):
        self._proxies = proxies
        self._query_policy = query_policy
        self._clock = clock
        self._log = log

    async def send(self, query: PolicyQuery) -> Result[PolicyAnswer, Failure]:
        """Return the policy's answer, or the failure of this member's own query.

        A query changes nothing, so that one that fails through a peer is sent again at
        once: through a peer that has answered since the query began, or by this member.
        """
        began_s = self._clock.now()
        answer = await self._send_through(query, -math.inf)
        for _ in range(1, MAX_PEERS_TRIED):
            if answer.is_final:
                return answer.result
            answer = await self._send_through(query, began_s)
        if not answer.is_final:
            answer = await self._send_through(query, math.inf)
        return answer.result

    async def _send_through(self, query: PolicyQuery, heard_since_s: float) -> _Sent:
        """Send a query through a peer heard since a monotonic time, or by itself."""
        sent_s = self._clock.now()
        proxy = self._proxies.choose(query.expected_answer_s, sent_s, heard_since_s)
        expected_wait_s = max(0.0, proxy.busy_until_s - sent_s)
        result = await self._query_policy(
            proxy, query, expected_wait_s + TIMEOUT_MARGIN_S
        )
        self._log_answer(query, proxy, result, sent_s)
        if result.is_error():
            self._proxies.query_failed(proxy, self._clock.now())
        return _Sent(result, is_final=result.is_ok() or not proxy.address)

    def _log_answer(
        self,
        query: PolicyQuery,
        proxy: PolicyProxy,
        answer: Result[PolicyAnswer, Failure],
        sent_s: float,
    ) -> None:
        step_id = query.step_id
        fields = {
            "job": step_id.job,
            "step": f"{step_id.occurrence}.{step_id.step}",
            "named": len(query.worker_ids),
            "took_s": round(self._clock.now() - sent_s, 3),
            "via": proxy.address,
        }
        if answer.is_error():
            self._log.event("policy-failed", reason=answer.error.reason, **fields)
        else:
            good = len(answer.ok.ticket_by_worker)
            self._log.event("policy", good=good, **fields)
