"""Which machine puts a question to the placement policy.

The policy handles the questions of one calling machine one after the other, so long
questions are spread over the machines and kept off some of them.
"""

from __future__ import annotations

from attrs import define, field

from redwingrun.jobs.stepscheduler import LONG_QUERY_S

# Machines kept for questions that are answered quickly.
SHORT_QUERY_PROXIES = 2
# A machine whose question failed is passed over for so long.
FAILED_PROXY_PAUSE_S = 3.0


@define
class PolicyProxy:
    """One machine that can ask.

    :param address: where to reach it; empty for this machine.
    :param busy_until_s: when its questions so far should be answered.
    """

    address: str
    busy_until_s: float = 0
    avoid_until_s: float = 0


@define
class PolicyProxies:
    """All machines that can ask, this one first."""

    proxies: list[PolicyProxy] = field(factory=lambda: [PolicyProxy("")])

    def set_peers(self, addresses: list[str]) -> None:
        """Take the machines that there are now."""
        known = {proxy.address: proxy for proxy in self.proxies}
        self.proxies = [
            known.get(name, PolicyProxy(name)) for name in ["", *sorted(addresses)]
        ]

    def choose(self, expected_answer_s: float, now_s: float) -> PolicyProxy:
        """Return the lane that answers first, and count the question on it."""
        healthy = [proxy for proxy in self.proxies if now_s >= proxy.avoid_until_s]
        healthy = healthy or self.proxies[:1]
        if expected_answer_s > LONG_QUERY_S and len(healthy) > SHORT_QUERY_PROXIES:
            healthy = healthy[SHORT_QUERY_PROXIES:]
        proxy = min(healthy, key=lambda item: max(item.busy_until_s, now_s))
        proxy.busy_until_s = max(proxy.busy_until_s, now_s) + expected_answer_s
        return proxy

    def mark_failed(self, proxy: PolicyProxy, now_s: float) -> None:
        """Pass a lane over for a while."""
        proxy.avoid_until_s = now_s + FAILED_PROXY_PAUSE_S
        proxy.busy_until_s = now_s
