"""A member's calls to its peers; how each one ends is recorded."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from expression import Error, Result

from redwingrun.coordination.verdict import Failure, may_have_run
from redwingrun.jobs.cancellation import cancel_all
from redwingrun.jobs.configanswer import ConfigAnswer
from redwingrun.jobs.peerhealth import PeerHealth
from redwingrun.jobs.peerlinks import (
    Liveness,
    PeerFailure,
    PeerLinks,
    RelayAnswer,
    RelayCall,
)
from redwingrun.jobs.peerlist import MemberRow
from redwingrun.jobs.ports import PolicyAnswer
from redwingrun.jobs.workerpool import PolicyQuery
from redwingrun.logs import Log

# A peer that has not answered a call for this time is probed.
CHECK_AFTER_S = 1.0
# A peer counts as gone when it has not answered so many probes in a row. A busy host
# may miss one.
PROBES_UNTIL_GONE = 2
# Reason of a failure: the call was given up because the peer did not answer probes.
PEER_SILENT = "peer-silent"
# Peers that are probed at the same time get this much longer after the first answer.
SLOWER_ANSWER_S = 0.05


class PeerCalls:
    """Calls peers, and gives a call up early if the peer turns out to be gone.

    :param links: the connections to the peers.
    :param health: where the outcomes of calls are recorded.
    :param spawn: runs a coroutine in the background.
    """

    def __init__(
        self,
        links: PeerLinks,
        health: PeerHealth,
        log: Log,
        spawn: Callable[[Coroutine[Any, Any, None]], None],
    ):
        self._links = links
        self._log = log
        self._spawn = spawn
        self._being_probed: set[str] = set()
        self.health = health

    async def query_policy(
        self, address: str, query: PolicyQuery, timeout_s: float
    ) -> Result[PolicyAnswer, Failure]:
        """Have a peer send a query to the placement policy.

        A peer without access to the policy is not chosen for a while, either.
        """
        call = self._links.query_policy(address, query, timeout_s)
        result = await self._answer_or_give_up(address, call)
        if result.is_error() and not isinstance(result.error, PeerFailure):
            self.health.refused(address)
        return result

    async def relay(
        self, address: str, call: RelayCall, timeout_s: float
    ) -> Result[RelayAnswer, Failure]:
        """Have a peer serve a client's request."""
        relayed = self._links.relay(address, call, timeout_s)
        return await self._answer_or_give_up(address, relayed)

    async def notify(self, address: str, job_id: str, submission: str) -> None:
        """Notify the owner of a job or cancellation that was just stored.

        :param submission: the accepted job's submission; empty for a cancellation.
        """
        if await self._links.notify(address, job_id, submission):
            self.health.answered(address)
        else:
            self._record_failure(address)

    async def read_config(
        self, address: str, known_version: int
    ) -> Result[ConfigAnswer, Failure]:
        """Ask a peer which configuration it uses.

        :param known_version: a newer version is included in the answer.
        """
        result = await self._links.read_config(address, known_version)
        if result.is_ok():
            self.health.answered(address)
        else:
            self._record_failure(address)
        return result

    async def liveness(self, address: str) -> Liveness:
        """Probe the process at a peer's address."""
        liveness = await self._links.liveness(address)
        if liveness is Liveness.ANSWERS:
            self.health.answered(address)
        else:
            self._record_failure(address)
        return liveness

    async def ask_to_claim(self, address: str, handover_from: str = "") -> None:
        """Ask a peer to read the owner's row, and to claim the slice if it may.

        :param handover_from: name of an owner that hands the slice over.
        """
        age_s = await self._links.probe(address, True, handover_from)
        self._record_probe(address, age_s)

    async def owner_row_ages(
        self, rows: list[MemberRow], max_age_s: float
    ) -> list[float | None]:
        """Return how many seconds ago peers last read the owner's row.

        All are asked at the same time, but for those that are known to be silent. Once
        one has read it within ``max_age_s``, the others get ``SLOWER_ANSWER_S`` to
        answer.

        :return: an age for each row, ``None`` if there is no answer.
        """
        tasks = [
            asyncio.ensure_future(self._owner_row_age_s(row.address)) for row in rows
        ]
        try:
            for finished in asyncio.as_completed(tasks):
                age_s = await finished
                if age_s is not None and age_s < max_age_s:
                    await asyncio.wait(tasks, timeout=SLOWER_ANSWER_S)
                    break
            return [task.result() if task.done() else None for task in tasks]
        finally:
            await cancel_all(tasks)

    async def first_to_answer(self, addresses: list[str]) -> str | None:
        """Probe peers at the same time; return the first that answers, if one does."""
        tasks = {
            asyncio.ensure_future(self.liveness(address)): address
            for address in addresses
        }
        pending = set(tasks)
        try:
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    if task.result() is Liveness.ANSWERS:
                        return tasks[task]
            return None
        finally:
            # The other probes go on: what they find serves later choices.
            for task in pending:
                self._spawn(_finish(task))

    async def _owner_row_age_s(self, address: str) -> float | None:
        if self.health.is_silent(address):
            return None
        age_s = await self._links.probe(address, claim=False)
        self._record_probe(address, age_s)
        return age_s

    def _record_probe(self, address: str, age_s: float | None) -> None:
        if age_s is None:
            self._record_failure(address)
        else:
            self.health.answered(address)

    async def _answer_or_give_up(
        self, address: str, call: Coroutine[Any, Any, Result[Any, Failure]]
    ) -> Result[Any, Failure]:
        """Return a call's result; give it up if the peer does not answer probes.

        A peer that was not heard lately is probed at once, any other one when it has
        not answered for ``CHECK_AFTER_S``.
        """
        work = asyncio.ensure_future(call)
        check_after_s = 0.0 if not self.health.was_heard_lately(address) else None
        try:
            while not work.done():
                wait_s = CHECK_AFTER_S if check_after_s is None else check_after_s
                check_after_s = None
                await asyncio.wait({work}, timeout=wait_s)
                if not work.done() and await self._is_gone(address, work):
                    self._record_failure(address)
                    detail = f"{address} does not answer"
                    failure = may_have_run(PEER_SILENT, detail)
                    return Error(PeerFailure.of(failure))
        finally:
            await cancel_all({work})
        result = work.result()
        if result.is_ok():
            self.health.served(address)
        elif isinstance(result.error, PeerFailure):
            self._record_failure(address)
        else:
            self.health.answered(address)
        return result

    async def _is_gone(self, address: str, work: asyncio.Future[Any]) -> bool:
        """Probe a peer while a call waits for it; return whether it has gone."""
        for _ in range(PROBES_UNTIL_GONE):
            probe = asyncio.ensure_future(self._links.liveness(address))
            try:
                await asyncio.wait({work, probe}, return_when=asyncio.FIRST_COMPLETED)
                if work.done():
                    return False
                liveness = probe.result()
            finally:
                await cancel_all({probe})
            if liveness is Liveness.ANSWERS:
                self.health.answered(address)
                return False
            if liveness is Liveness.ENDED:
                return True
        return True

    def _record_failure(self, address: str) -> None:
        """Leave a peer alone, and probe it until it answers again."""
        was_available = self.health.is_available(address)
        self.health.failed(address)
        if was_available:
            self._log.event("peer-ejected", peer=address)
        if self.health.is_known(address) and address not in self._being_probed:
            self._being_probed.add(address)
            self._spawn(self._probe_until_back(address))

    async def _probe_until_back(self, address: str) -> None:
        """Probe a silent peer at the end of each ejection until it answers."""
        try:
            while self.health.is_known(address):
                if self.health.is_available(address):
                    self._log.event("peer-back", peer=address)
                    return
                await asyncio.sleep(self.health.probe_delay_s(address))
                if self.health.is_known(address):
                    await self.liveness(address)
        finally:
            self._being_probed.discard(address)


async def _finish(task: asyncio.Future[Any]) -> None:
    await task
