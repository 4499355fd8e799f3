"""The interface of a member for the services that answer clients and peers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any

from redwingrun.jobs.configanswer import ConfigAnswer
from redwingrun.jobs.jobstore import JobStore
from redwingrun.jobs.workerpool import PolicyQuery


class MemberPort(ABC):
    """A member as its own services see it.

    :ivar job_store: stores and reads jobs through the table.
    """

    job_store: JobStore

    @abstractmethod
    def table_is_unavailable(self) -> bool:
        """Return whether the table's last answer to this member is too old.

        This differs from ``TableUnavailable``, which is about one call.
        """

    @abstractmethod
    def config_answer(self, known_version: int) -> ConfigAnswer:
        """Return what this member knows of the configuration.

        :param known_version: the asking peer's version; a newer one is included.
        """

    @abstractmethod
    def owner_row_age_s(self) -> float:
        """Return the seconds since this member last read the owner's row."""

    @abstractmethod
    def notify_owner(self, job_id: str, submission: str) -> None:
        """Notify the owner of a stored job or cancellation, without waiting for it.

        The notification saves time only: the owner also reads the change from the
        table.

        :param submission: the accepted job's submission; empty for a cancellation.
        """

    @abstractmethod
    def receive_notification(self, job_id: str, submission: str) -> None:
        """Pass a peer's notification on to the owner, if this member owns the slice.

        :param submission: the accepted job's submission; empty for a cancellation.
        """

    @abstractmethod
    def poll_owner_row(self, handover_from: str = "") -> None:
        """Read the owner's row now instead of at the next poll.

        :param handover_from: name of an owner that hands the slice over; this member
            may claim from it without waiting for the failure timeout.
        """

    @abstractmethod
    async def query_policy_locally(self, query: PolicyQuery, timeout_s: float) -> Any:
        """Send a peer's query to the placement policy."""
