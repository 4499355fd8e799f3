"""Recent failures of the table's partitions, as one process sees them."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define, field

from redwingrun.coordination.clock import Clock

# Time after a failure during which a partition is tried after the others.
SUSPECT_S = 1.0


def partition_of(key: str) -> str:
    """Return the partition of a key, which is the key's second segment."""
    return key.split("/", 2)[1]


@define
class PartitionHealth:
    """Records which partitions have failed, and puts them last.

    Partitions fail alone: one may not answer while the others do.
    """

    clock: Clock
    _failure_s_by_partition: dict[str, float] = field(factory=dict)

    def record_answer(self, key: str) -> None:
        """Record that the partition of a key has answered."""
        self._failure_s_by_partition.pop(partition_of(key), None)

    def record_failure(self, key: str) -> None:
        """Record that the partition of a key did not answer or refused the call."""
        self._failure_s_by_partition[partition_of(key)] = self.clock.now()

    def is_suspect(self, key: str) -> bool:
        """Return whether the partition of a key has failed within ``SUSPECT_S``."""
        failure_s = self._failure_s_by_partition.get(partition_of(key))
        return failure_s is not None and self.clock.now() - failure_s < SUSPECT_S

    def healthy_first(self, keys: Iterable[str]) -> list[str]:
        """Return the keys, those in suspect partitions last, else in their order."""
        return sorted(keys, key=self.is_suspect)
