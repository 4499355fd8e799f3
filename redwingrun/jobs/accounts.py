"""Client accounts: their keys, their weights and the caps on what they may run."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator

from attrs import frozen

from redwingrun.jobs.tasksize import TaskSize


@frozen
class ClientAccount:
    """An account on whose behalf jobs are submitted.

    :param weight: its share, relative to other accounts, while room is short, and its
        rate in jobs per second; jobs beyond that come last (``shareorder.JobRates``).
    :param cap: what its tasks may use over all workers; 0 for no limit, by resource.
    :param key_digests: digests of its keys. The keys themselves are not kept.
    """

    name: str
    weight: float = 1.0
    cap: TaskSize = TaskSize()
    key_digests: frozenset[bytes] = frozenset()


class AccountDirectory:
    """The client accounts of one version of the configuration."""

    def __init__(self, accounts: Iterable[ClientAccount] = ()):
        self._by_name = {account.name: account for account in accounts}
        self._by_key_digest = {
            digest: account
            for account in self._by_name.values()
            for digest in account.key_digests
        }

    @property
    def is_empty(self) -> bool:
        """Whether there are no accounts."""
        return not self._by_name

    def find_by_key(self, key: str) -> ClientAccount | None:
        """Return the account that a key belongs to, ``None`` for an unknown key.

        Only digests are compared, so that the time taken reveals nothing about keys.
        """
        return self._by_key_digest.get(key_digest(key))

    def find_by_name(self, name: str) -> ClientAccount | None:
        """Return the account of a name, ``None`` if there is none."""
        return self._by_name.get(name)

    def __iter__(self) -> Iterator[ClientAccount]:
        return iter(self._by_name.values())

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, AccountDirectory):
            return NotImplemented
        return self._by_name == other._by_name

    def __hash__(self) -> int:
        return hash(tuple(self._by_name.values()))


def key_digest(key: str) -> bytes:
    """Return the digest by which a key is stored and compared."""
    return hashlib.sha256(key.encode()).digest()
