"""Probes the owner of a slice whose row does not change any more."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

from redwingrun.coordination.table import Row
from redwingrun.jobs.peercalls import PeerCalls
from redwingrun.jobs.peerlinks import Liveness


class OwnerProbe:
    """The last probe of the owner's process, and what it has found.

    :param spawn: runs a coroutine in the background.
    :param not_answered: called when the owner has not answered.
    """

    def __init__(
        self,
        calls: PeerCalls,
        spawn: Callable[[Coroutine[Any, Any, None]], None],
        not_answered: Callable[[], None],
    ):
        self._calls = calls
        self._spawn = spawn
        self._not_answered = not_answered
        self._row: Row | None = None
        self._liveness = Liveness.ANSWERS
        self._is_probing = False

    def has_found(self, liveness: Liveness, row: Row | None) -> bool:
        """Return whether a probe of the owner has found this.

        What it found does not count once the owner's row has changed.

        :param row: the owner's row as last read.
        """
        if self._row is None or self._row != row:
            return False
        return self._liveness is liveness

    def start(self, address: str, row: Row | None) -> None:
        """Start a probe in the background, unless one is under way.

        A claim does not wait for it: an owner whose host is frozen or unreachable does
        not answer.

        :param row: the owner's row as last read.
        """
        if not self._is_probing:
            self._is_probing = True
            self._spawn(self._probe(address, row))

    async def _probe(self, address: str, row: Row | None) -> None:
        try:
            self._liveness = await self._calls.liveness(address)
            self._row = row
            if self._liveness is not Liveness.ANSWERS:
                self._not_answered()
        finally:
            self._is_probing = False
