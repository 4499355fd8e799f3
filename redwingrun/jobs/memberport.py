"""What clients' and peers' calls ask of the member that they reach."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any

from redwingrun.jobs.jobstore import JobStore
from redwingrun.jobs.workerpool import PolicyQuery


class MemberPort(ABC):
    """A member as its own services see it.

    :ivar intake: stores and reads what clients hand in.
    """

    intake: JobStore

    @abstractmethod
    def table_is_away(self) -> bool:
        """Tell whether the table has answered nothing here for some time."""

    @abstractmethod
    def owner_row_age_s(self) -> float:
        """Return how long the owner's row could not be read here."""

    @abstractmethod
    def peer_addresses(self) -> list[str]:
        """Return where the other members can be reached."""

    @abstractmethod
    def announce(self, job_id: str, submission: str) -> None:
        """Tell the owner what was just stored; it would hear of it anyway.

        :param submission: of a job that was accepted; empty for a cancellation.
        """

    @abstractmethod
    def hear(self, job_id: str, submission: str) -> None:
        """Take news from a peer, if this member owns the slice."""

    @abstractmethod
    def poll_owner_row(self, hands_over: str = "") -> None:
        """Read the owner's row at once.

        :param hands_over: the owner that asks to be followed.
        """

    @abstractmethod
    async def ask_here(self, order: PolicyQuery, timeout_s: float) -> Any:
        """Put a peer's question to the policy."""
