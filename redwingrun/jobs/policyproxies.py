"""Chooses the member that sends a query to the placement policy.

The policy handles the queries of one member one after the other. So queries are spread
over all members, and some members send only short ones.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from attrs import define

from redwingrun.jobs.peerhealth import PeerHealth
from redwingrun.jobs.policyqueries import LONG_QUERY_S, SHORT_QUERY_PROXIES


@define
class PolicyProxy:
    """A member that can send policy queries.

    :param address: its address; empty for this member.
    :param busy_until_s: monotonic time at which all its queries should be answered.
    """

    address: str
    busy_until_s: float = 0


class PolicyProxies:
    """All members that can send policy queries, this one first.

    :param health: tells which peers may be chosen. This member always may.
    """

    def __init__(self, health: PeerHealth):
        self._health = health
        self._proxies = [PolicyProxy("")]

    def set_peers(self, addresses: Iterable[str]) -> None:
        """Replace the peers; those that stay keep their load."""
        known = {proxy.address: proxy for proxy in self._proxies}
        self._proxies = [
            known.get(name) or PolicyProxy(name) for name in ["", *sorted(addresses)]
        ]

    def usable_count(self) -> int:
        """Return how many members may be chosen now."""
        return len(self._usable(-math.inf))

    def choose(
        self, expected_answer_s: float, now_s: float, heard_since_s: float = -math.inf
    ) -> PolicyProxy:
        """Return the proxy that is free earliest, and add the query to its load.

        :param expected_answer_s: estimated time until the policy's answer.
        :param heard_since_s: peers that have not answered since this monotonic time are
            not chosen.
        """
        usable = self._usable(heard_since_s)
        if expected_answer_s > LONG_QUERY_S and len(usable) > SHORT_QUERY_PROXIES:
            usable = usable[SHORT_QUERY_PROXIES:]
        proxy = min(usable, key=lambda item: max(item.busy_until_s, now_s))
        proxy.busy_until_s = max(proxy.busy_until_s, now_s) + expected_answer_s
        return proxy

    def query_failed(self, proxy: PolicyProxy, now_s: float) -> None:
        """Record that a proxy's queries are not going to be answered."""
        proxy.busy_until_s = now_s

    def _usable(self, heard_since_s: float) -> list[PolicyProxy]:
        return [
            proxy
            for proxy in self._proxies
            if not proxy.address
            or (
                self._health.is_available(proxy.address)
                and self._health.answered_s(proxy.address) >= heard_since_s
            )
        ]
