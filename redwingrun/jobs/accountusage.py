"""What the tasks of each client account may be using, kept within the account's cap."""

from __future__ import annotations

import math
from collections.abc import Iterator

from attrs import define

from redwingrun.jobs.accounts import AccountDirectory
from redwingrun.jobs.tasksize import TaskSize


@define
class Usage:
    """Resources in use, summed over runs."""

    cpu_milli: int = 0
    memory_mb: int = 0
    gpus: int = 0
    runs: int = 0

    def add(self, size: TaskSize, sign: int) -> None:
        """Add the resources of a run, or subtract them with a sign of -1."""
        self.cpu_milli += sign * size.cpu_milli
        self.memory_mb += sign * size.memory_mb
        self.gpus += sign * size.gpus
        self.runs += sign


class AccountUsage:
    """Counts the runs of each account that may be alive, and tells what room is left.

    A run counts from its placement until its end is proved. So starts that may still
    be carried out, runs that are being stopped and runs on workers that can't be
    reached are included, and no late start can bring an account over its cap.
    """

    def __init__(self) -> None:
        self._usage_by_account: dict[str, Usage] = {}
        self._accounts = AccountDirectory()
        self._capped: set[str] = set()

    def set_accounts(self, accounts: AccountDirectory) -> None:
        """Apply the caps of a newer configuration."""
        self._accounts = accounts

    def add(self, account: str, size: TaskSize) -> None:
        """Count a run of an account; an empty name is not counted."""
        if account:
            self._usage_by_account.setdefault(account, Usage()).add(size, 1)

    def remove(self, account: str, size: TaskSize) -> None:
        """Stop counting a run that has certainly ended."""
        usage = self._usage_by_account.get(account)
        if usage is None:
            return
        usage.add(size, -1)
        if not usage.runs:
            del self._usage_by_account[account]

    def usage(self, account: str) -> Usage:
        """Return what an account uses."""
        return self._usage_by_account.get(account) or Usage()

    def room_for(self, account: str, size: TaskSize) -> float:
        """Return how many more tasks of a size may run; infinite without a cap.

        One task may always run, so that one that is larger than the cap does not wait
        for ever.
        """
        known = self._accounts.find_by_name(account) if account else None
        if known is None:
            return math.inf
        usage = self.usage(account)
        room = min(
            _quotient(known.cap.cpu_milli, usage.cpu_milli, size.cpu_milli),
            _quotient(known.cap.memory_mb, usage.memory_mb, size.memory_mb),
            _quotient(known.cap.gpus, usage.gpus, size.gpus),
        )
        return room if usage.runs else max(1, room)

    def note_capped(self, account: str) -> None:
        """Record that work of an account waits for its cap."""
        self._capped.add(account)

    def pop_capped(self) -> frozenset[str]:
        """Return the accounts whose work waits for their cap since the last call."""
        capped, self._capped = frozenset(self._capped), set()
        return capped

    def largest(self, count: int) -> Iterator[tuple[str, Usage]]:
        """Yield the accounts that use the most processors, and what they use."""
        ranked = sorted(
            self._usage_by_account.items(), key=lambda item: -item[1].cpu_milli
        )
        yield from ranked[:count]


def _quotient(cap: int, used: int, size: int) -> float:
    """Return how many tasks fit below a cap by one resource; 0 is no cap."""
    if not cap or not size:
        return math.inf
    return max(0, (cap - used) // size)
