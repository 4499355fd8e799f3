"""Chooses the member that sends a query to the placement policy.

The policy handles the queries of one member one after the other. So queries are spread
over all members, and some members send only short ones.
"""

from __future__ import annotations

from attrs import define, field

from redwingrun.jobs.policyqueries import LONG_QUERY_S

# Number of proxies that send only short queries, if there are more.
SHORT_QUERY_PROXIES = 2
# After a failed query its proxy is not used for this time.
AVOID_PROXY_S = 3.0


@define
class PolicyProxy:
    """A member that can send policy queries.

    :param address: its address; empty for this member.
    :param busy_until_s: monotonic time at which all its queries should be answered.
    :param avoid_until_s: monotonic time until which it is not used.
    """

    address: str
    busy_until_s: float = 0
    avoid_until_s: float = 0


@define
class PolicyProxies:
    """All members that can send policy queries, this one first."""

    proxies: list[PolicyProxy] = field(factory=lambda: [PolicyProxy("")])

    def set_peers(self, addresses: list[str]) -> None:
        """Replace the peers; those that stay keep their state."""
        known = {proxy.address: proxy for proxy in self.proxies}
        self.proxies = [
            known.get(name, PolicyProxy(name)) for name in ["", *sorted(addresses)]
        ]

    def choose(self, expected_answer_s: float, now_s: float) -> PolicyProxy:
        """Return the proxy that is free earliest, and add the query to its load.

        :param expected_answer_s: estimated time until the policy's answer.
        """
        healthy = [proxy for proxy in self.proxies if now_s >= proxy.avoid_until_s]
        healthy = healthy or self.proxies[:1]
        if expected_answer_s > LONG_QUERY_S and len(healthy) > SHORT_QUERY_PROXIES:
            healthy = healthy[SHORT_QUERY_PROXIES:]
        proxy = min(healthy, key=lambda item: max(item.busy_until_s, now_s))
        proxy.busy_until_s = max(proxy.busy_until_s, now_s) + expected_answer_s
        return proxy

    def mark_failed(self, proxy: PolicyProxy, now_s: float) -> None:
        """Stop using a proxy for ``AVOID_PROXY_S``."""
        proxy.avoid_until_s = now_s + AVOID_PROXY_S
        proxy.busy_until_s = now_s
