"""Base class of both daemons: clients, membership, configuration and shutdown."""

from __future__ import annotations

import asyncio
import signal
from abc import ABC, abstractmethod
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.web import Application

from redwingrun.auth import TokenStore, load_secret
from redwingrun.bodybudget import BodyBudget
from redwingrun.bodylimits import BodyLimits
from redwingrun.clientguard import ClientGuard
from redwingrun.config import Settings
from redwingrun.configtask import ConfigTask
from redwingrun.coordination.clock import MonotonicClock
from redwingrun.coordination.follower import Follower
from redwingrun.coordination.groupcommit import GroupCommit
from redwingrun.coordination.members import MemberRow
from redwingrun.coordination.table import TableUnavailable, TableUnknown
from redwingrun.guardedserver import GuardedServer
from redwingrun.httpclient import HttpClient
from redwingrun.logs import Log
from redwingrun.membership import ENTRY, PLACER, Membership
from redwingrun.metrics import Metrics
from redwingrun.objects import ObjectSet
from redwingrun.peer_pb2 import News
from redwingrun.peers import PeerClient, PeerServer
from redwingrun.peerservice import PeerService
from redwingrun.refusals import RefusalCounter
from redwingrun.serviceclients import (
    HostListUnavailable,
    HostState,
    HttpHostList,
    HttpObjectStore,
    HttpTable,
)

DRAINS_PREFIX = "drains/"
LISTEN_BACKLOG = 1024
MAX_HEADER_BYTES = 16 * 1024
IDLE_CONNECTION_TIMEOUT_S = 60.0
LATE_CALLS_GRACE_S = 0.5


class InFlightCalls:
    """Counts the HTTP calls in progress."""

    def __init__(self) -> None:
        self._active = 0
        self._changed = asyncio.Event()

    def enter(self) -> int:
        """Count a call that begins and return the number now in progress."""
        self._active += 1
        return self._active

    def leave(self) -> None:
        """Count a call that was answered."""
        self._active -= 1
        self._changed.set()

    async def wait_until_idle(self) -> None:
        """Wait until no call is in progress."""
        while self._active:
            self._changed.clear()
            await self._changed.wait()


class Node(ABC):
    """A daemon on one host; subclasses define what it serves.

    :cvar kind: kind of member, :data:`~redwingrun.membership.ENTRY` or
        :data:`~redwingrun.membership.PLACER`.
    :ivar writer: group commit for writes that tolerate a short delay.
    :ivar leaving_hosts: hosts that the platform lists as leaving.
    :ivar drained: upstreams that an operator has drained.
    :ivar ready: whether the daemon reports itself as ready for requests.
    """

    kind: str

    def __init__(self, settings: Settings):
        self.settings = settings
        self.clock = MonotonicClock()
        self.log = Log(f"{self.kind}@{settings.host}", settings.log_level)
        self.metrics = Metrics()
        self.tokens = TokenStore.load(Path(settings.token_file))
        self._secret = load_secret(Path(settings.peer_secret_file))
        self.http = HttpClient(f"{settings.host}/{self.kind}")
        timeout_s = settings.table_timeout_s
        self.table = HttpTable(self.http, settings.table_url, timeout_s, self.metrics)
        self.store = HttpObjectStore(
            self.http, settings.object_store_url, timeout_s, self.metrics
        )
        self._host_list = HttpHostList(
            self.http, settings.host_list_url, timeout_s, self.log
        )
        self.writer = GroupCommit(self.table, settings.group_commit_settings())
        self.peers = PeerClient(self._secret)
        self.membership = Membership(
            settings,
            self.kind,
            self.table,
            self.peers,
            self.clock,
            self.log,
            self.metrics,
            self.on_change,
        )
        self.config = ConfigTask(
            settings,
            self.table,
            self.store,
            self.peers,
            self.log,
            lambda: [row.peer_address for row in self.other_members()],
            self.news,
            self._config_applied,
        )
        self.leaving_hosts: set[str] = set()
        self.drained: set[str] = set()
        self.ready = False
        self.calls = InFlightCalls()
        self._budget = BodyBudget(
            BodyLimits.for_host(
                settings.memory_mb,
                settings.max_descriptors,
                max_body_bytes=settings.max_body_bytes,
            )
        )
        self._refusals = RefusalCounter(self.log, self.metrics)
        self._stop_requested = asyncio.Event()
        self._tasks: list[asyncio.Task] = []
        self._news_sequence = 0

    # Interface of subclasses

    @abstractmethod
    def application(self) -> Application:
        """Return the HTTP application."""

    @abstractmethod
    def service(self) -> PeerService:
        """Return the service that peers may call."""

    @abstractmethod
    def on_change(self) -> None:
        """React to changed ownership, members, configuration, drains or hosts."""

    @abstractmethod
    async def finish(self) -> None:
        """Wait for the work in progress during shutdown; accept no new work."""

    @abstractmethod
    def debug(self) -> dict[str, Any]:
        """Return the fields of the debug page that are specific to this daemon."""

    @abstractmethod
    def add_pool_loads(self, news: News) -> None:
        """Add the loads of this daemon's pools to a message for peers."""

    # Tasks, start and shutdown

    def spawn(self, work: Coroutine[Any, Any, None], name: str) -> asyncio.Task:
        """Run a background task until shutdown; log and count its failure.

        :param name: name of the task in the log and in metrics.
        """
        task = asyncio.create_task(work, name=name)
        self._tasks.append(task)
        task.add_done_callback(self._task_ended)
        return task

    def _task_ended(self, task: asyncio.Task) -> None:
        if task in self._tasks:
            self._tasks.remove(task)
        if not task.cancelled() and task.exception() is not None:
            self.metrics.count("task_failures_total", task=task.get_name())
            self.log.fault(
                "task-failed", task=task.get_name(), error=repr(task.exception())
            )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stop_requested.set)
        settings = self.settings
        peer_server = PeerServer(
            self.service(),
            self._secret,
            self._refusals,
            self._budget.limits.max_peer_connections,
        )
        await peer_server.start(settings.listen_ip, settings.peer_port)
        http_server = self._listen()
        self.spawn(self.membership.run(), "membership")
        self.spawn(self.config.run(), "config")
        self.spawn(self._update_readiness(), "watch")
        self.log.event("started", member=self.membership.member_id)
        await self._stop_requested.wait()
        await self._shut_down(http_server, peer_server)

    def _listen(self) -> HTTPServer:
        server = GuardedServer(
            self.application(),
            ClientGuard(self._budget, self._refusals),
            self.kind,
            max_header_size=MAX_HEADER_BYTES,
            idle_connection_timeout=IDLE_CONNECTION_TIMEOUT_S,
        )
        server.listen(
            self.settings.http_port, self.settings.listen_ip, backlog=LISTEN_BACKLOG
        )
        return server

    async def _shut_down(
        self, http_server: HTTPServer, peer_server: PeerServer
    ) -> None:
        self.log.event("stopping")
        self.ready = False
        for task in self._tasks:
            if task.get_name() == "membership":
                task.cancel()
        await self.membership.leave()
        try:
            async with asyncio.timeout(self.settings.drain_timeout_s):
                await self.finish()
                await self.calls.wait_until_idle()
                # Callers may send requests until they notice that the host leaves.
                await asyncio.sleep(LATE_CALLS_GRACE_S)
                await self.calls.wait_until_idle()
        except TimeoutError:
            self.log.fault("stop-timeout", waited_s=self.settings.drain_timeout_s)
        http_server.stop()
        await http_server.close_all_connections()
        await peer_server.stop()
        for task in list(self._tasks):
            task.cancel()
        self.peers.close()
        self.log.event("stopped")

    # Configuration

    @property
    def follower(self) -> Follower:
        """The follower that holds the active configuration version."""
        return self.config.follower

    @property
    def objects(self) -> ObjectSet:
        """The objects of the active configuration."""
        return self.config.objects

    def _config_applied(self) -> None:
        number = self.follower.active_version.number
        self.membership.config_version = number
        self.metrics.gauge("config_version", number)
        self.on_change()
        self.membership.wake()

    async def _update_readiness(self) -> None:
        """Poll drains and hosts and update the readiness until cancelled."""
        while True:
            await self._poll_drains()
            await self._poll_hosts()
            stopping = self._stop_requested.is_set()
            configured = self.follower.active_version.number > 0
            self.ready = not stopping and configured and self.membership.is_valid()
            await asyncio.sleep(self.settings.host_poll_s)

    async def _poll_drains(self) -> None:
        try:
            rows = await self.table.scan(DRAINS_PREFIX)
        except (TableUnavailable, TableUnknown):
            return
        drained = {row.key[len(DRAINS_PREFIX) :] for row in rows}
        if drained != self.drained:
            self.drained = drained
            self.on_change()

    # Hosts

    async def _poll_hosts(self) -> None:
        try:
            hosts = await self._host_list.hosts()
        except HostListUnavailable as error:
            self.log.detail("host-list-unreachable", error=str(error))
            return
        leaving = {
            name for name, host in hosts.items() if host.state is HostState.LEAVING
        }
        if leaving != self.leaving_hosts:
            self.leaving_hosts = leaving
            self.on_change()

    def is_draining(self, name: str) -> bool:
        """Return whether an upstream must not receive new work.

        :param name: name of a minion or worker, which is also its host's name in the
            list of hosts.
        """
        return name in self.leaving_hosts or name in self.drained

    # Members

    def other_members(self) -> list[MemberRow]:
        """Return all members of both kinds except this one."""
        found = []
        for kind in (ENTRY, PLACER):
            found.extend(self.membership.members(kind).values())
        return [row for row in found if row.member_id != self.membership.member_id]

    def news(self) -> News:
        """Return the next message with this daemon's state for its peers."""
        self._news_sequence += 1
        news = News(
            member_id=self.membership.member_id,
            config_number=self.follower.active_version.number,
            config_digest=self.follower.active_version.digest,
            sequence=self._news_sequence,
        )
        self.add_pool_loads(news)
        return news
