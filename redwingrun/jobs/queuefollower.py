"""Follows the configuration of queues for one member."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from redwingrun.coordination.clock import Clock
from redwingrun.coordination.table import (
    HistoryTruncated,
    TableUnavailable,
    TableUnknown,
)
from redwingrun.jobs.configfreshness import ConfigFreshness
from redwingrun.jobs.ports import QueueChange, QueueSource
from redwingrun.jobs.spec import QueueSet
from redwingrun.logs import Log
from redwingrun.metrics import Metrics

# How long a read waits for a change.
WAIT_S = 1.0
RETRY_INTERVAL_S = 0.2
# Time between two reads while versions come faster than they can be read.
CATCH_UP_INTERVAL_S = 0.2


class QueueFollower:
    """Reads the configuration of queues, and never goes back to an older version.

    A feed of changes returns every version since the last one that was read, so an
    answer can grow without a bound. It is used only while each version is read as it
    comes. A member that missed some reads the present configuration, and nothing else.

    :param source: the configuration, as the table holds it.
    :param apply: called with each newer version, after ``queues`` is set.
    :param freshness: told when the configuration in force was the newest one.
    :ivar queues: the configuration in force; ``None`` until it has been read.
    :ivar encoded: that configuration as the table holds it.
    :ivar answered_s: monotonic time of the last answer from the table.
    """

    def __init__(
        self,
        source: QueueSource,
        clock: Clock,
        log: Log,
        metrics: Metrics,
        apply: Callable[[QueueSet], None],
        freshness: ConfigFreshness,
    ):
        self._source = source
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._apply = apply
        self._freshness = freshness
        self.queues: QueueSet | None = None
        self.encoded = ""
        self.answered_s = -math.inf
        # Version of the table from which to request changes; ``None`` to read the
        # present configuration instead.
        self._after: int | None = None
        # Set by an answer with several versions, until there is no newer version.
        self._is_behind = False

    def age_s(self) -> float:
        """Return the seconds since the table last answered, infinite before that."""
        return self._clock.now() - self.answered_s

    async def run(self) -> None:
        """Read the configuration, and apply newer versions."""
        while True:
            started_s = self._clock.now()
            try:
                change = await self._read()
            except HistoryTruncated:
                self._log.event("queues-history-truncated", after=self._after)
                self._after = None
                continue
            except (TableUnavailable, TableUnknown) as error:
                self._log_failed_read(str(error), self._clock.now() - started_s)
                self._after = None
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            took_s = self._clock.now() - started_s
            source = self._source_name()
            age_s = self.age_s()
            self._after = change.version
            self.answered_s = self._clock.now()
            is_newer = change.queues is not None and self._put_in_force(
                change.queues, change.encoded
            )
            if change.is_newest:
                self._freshness.confirm(started_s, "table")
            if change.queues is not None:
                self._log_read(change, source, took_s, age_s)
            self._is_behind = is_newer and (self._is_behind or change.row_count > 1)
            if self.queues is None or self._is_behind:
                self._after = None
                await asyncio.sleep(CATCH_UP_INTERVAL_S)

    async def _read(self) -> QueueChange:
        if self._after is None:
            return await self._source.load()
        return await self._source.changes(self._after, WAIT_S)

    def apply_encoded(self, encoded: str, source: str) -> bool:
        """Apply a configuration from a peer, unless it is older than the one in force.

        :param source: the peer's address, for the log.
        :return: whether it could be decoded.
        """
        queues = self._source.decode(encoded)
        if queues is None:
            return False
        if self._put_in_force(queues, encoded):
            self._log.event("queues-read", version=queues.version, source=source)
        return True

    def _put_in_force(self, queues: QueueSet, encoded: str) -> bool:
        """Apply a configuration; return whether it is newer than the one in force."""
        before = self.version
        if self.queues is not None and queues.version <= before:
            return False
        self.queues = queues
        self.encoded = encoded
        self._log.event(
            "queues-in-force",
            version=queues.version,
            before=before,
            queues=len(queues.queue_by_name),
        )
        self._metrics.gauge("queues_version", queues.version)
        self._apply(queues)
        return True

    @property
    def version(self) -> int:
        """The version in force; 0 if there is none."""
        return self.queues.version if self.queues else 0

    def _source_name(self) -> str:
        return "load" if self._after is None else "feed"

    def _log_read(
        self, change: QueueChange, source: str, took_s: float, age_s: float
    ) -> None:
        """Log how a version arrived; it may be one that is in force already.

        :param source: ``load`` or ``feed``.
        :param age_s: seconds since the table's answer before this one.
        """
        self._metrics.seconds("queues_read_s", took_s, source=source)
        self._log.event(
            "queues-read",
            version=change.queues.version,
            source=source,
            rows=change.row_count,
            size=change.value_bytes,
            took_s=round(took_s, 3),
            age_s=round(age_s, 3) if math.isfinite(age_s) else None,
        )

    def _log_failed_read(self, why: str, took_s: float) -> None:
        age_s = self.age_s()
        self._metrics.count("queues_reads_failed_total", source=self._source_name())
        self._log.event(
            "queues-unread",
            why=why,
            source=self._source_name(),
            after=self._after,
            version=self.version,
            took_s=round(took_s, 3),
            age_s=round(age_s, 3) if math.isfinite(age_s) else None,
        )
