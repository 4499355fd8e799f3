"""What both daemons are made of: clients, membership, configuration, health, stop."""

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
from redwingrun.config import Settings
from redwingrun.configtask import ConfigTask
from redwingrun.coordination.clock import MonotonicClock
from redwingrun.coordination.follower import Follower
from redwingrun.coordination.groupcommit import GroupCommit
from redwingrun.coordination.members import MemberRow
from redwingrun.coordination.table import TableUnavailable, TableUnknown
from redwingrun.httpclient import HttpClient
from redwingrun.logs import Log
from redwingrun.membership import ENTRY, PLACER, Membership
from redwingrun.metrics import Metrics
from redwingrun.objects import ObjectSet
from redwingrun.peer_pb2 import News
from redwingrun.peers import PeerClient, PeerServer
from redwingrun.peerservice import PeerService
from redwingrun.serviceclients import (
    HostListUnavailable,
    HostState,
    HttpHostList,
    HttpObjectStore,
    HttpTable,
)

DRAINS_PREFIX = "drains/"
BACKLOG = 1024
HEADER_LIMIT_BYTES = 16 * 1024
IDLE_TIMEOUT_S = 60.0
LATE_CALLS_GRACE_S = 0.5


class InFlightCalls:
    """How many HTTP calls are being served."""

    def __init__(self) -> None:
        self._active = 0
        self._changed = asyncio.Event()

    def enter(self) -> int:
        """Note a call that begins; return how many are being served with it."""
        self._active += 1
        return self._active

    def leave(self) -> None:
        """Note a call that was answered."""
        self._active -= 1
        self._changed.set()

    async def wait_until_idle(self) -> None:
        """Wait until none is being served."""
        while self._active:
            self._changed.clear()
            await self._changed.wait()


class Node(ABC):
    """One daemon on one host.

    Subclasses say what they serve; :meth:`run` lives until SIGTERM.
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
        self._host_list = HttpHostList(self.http, settings.host_list_url, timeout_s)
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
            self._applied,
        )
        self.leaving_hosts: set[str] = set()
        self.drained: set[str] = set()
        self.ready = False
        self.calls = InFlightCalls()
        self._stop = asyncio.Event()
        self._tasks: list[asyncio.Task] = []
        self._news_sequence = 0

    # What a daemon adds

    @abstractmethod
    def application(self) -> Application:
        """Return the HTTP surface."""

    @abstractmethod
    def service(self) -> PeerService:
        """Return what peers may call."""

    @abstractmethod
    def on_change(self) -> None:
        """Take changed ownership, members, objects or leaving hosts."""

    @abstractmethod
    async def finish(self) -> None:
        """Finish what is in flight; new work has been stopped."""

    @abstractmethod
    def debug(self) -> dict[str, Any]:
        """Return what the debug page shows besides the common part."""

    @abstractmethod
    def add_pool_loads(self, news: News) -> None:
        """Add what this daemon tells of its pools."""

    # Life

    def spawn(self, work: Coroutine[Any, Any, None], name: str) -> asyncio.Task:
        """Run a task for the daemon's life; its failure is logged, never silent."""
        task = asyncio.create_task(work, name=name)
        self._tasks.append(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task) -> None:
        if task in self._tasks:
            self._tasks.remove(task)
        if not task.cancelled() and task.exception() is not None:
            self.metrics.count("task_failures_total", task=task.get_name())
            self.log.fault(
                "task-failed", task=task.get_name(), error=repr(task.exception())
            )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        settings = self.settings
        peer_server = PeerServer(self.service(), self._secret)
        await peer_server.start(settings.listen_ip, settings.peer_port)
        http_server = self._listen()
        self.spawn(self.membership.run(), "membership")
        self.spawn(self.config.run(), "config")
        self.spawn(self._watch(), "watch")
        self.log.event("started", member=self.membership.member_id)
        await self._stop.wait()
        await self._shut_down(http_server, peer_server)

    def _listen(self) -> HTTPServer:
        server = HTTPServer(
            self.application(),
            max_body_size=self.settings.max_body_bytes,
            max_header_size=HEADER_LIMIT_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )
        server.listen(self.settings.http_port, self.settings.listen_ip, backlog=BACKLOG)
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
                # What callers sent before they saw the host leave is still answered.
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
        """The version in force."""
        return self.config.follower

    @property
    def objects(self) -> ObjectSet:
        """The objects in force."""
        return self.config.objects

    def _applied(self) -> None:
        number = self.follower.active_version.number
        self.membership.config_version = number
        self.metrics.gauge("config_version", number)
        self.on_change()
        self.membership.wake()

    async def _watch(self) -> None:
        """Follow drains and hosts, and be ready or not, until cancelled."""
        while True:
            await self._poll_drains()
            await self._poll_hosts()
            stopping = self._stop.is_set()
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
        """Tell whether an upstream must get no new work."""
        return name in self.leaving_hosts or name in self.drained

    # Members

    def other_members(self) -> list[MemberRow]:
        """Return all members but this one, of both kinds."""
        found = []
        for kind in (ENTRY, PLACER):
            found.extend(self.membership.members(kind).values())
        return [row for row in found if row.member_id != self.membership.member_id]

    def news(self) -> News:
        """Return what this daemon tells its peers."""
        self._news_sequence += 1
        news = News(
            member_id=self.membership.member_id,
            config_number=self.follower.active_version.number,
            config_digest=self.follower.active_version.digest,
            sequence=self._news_sequence,
        )
        self.add_pool_loads(news)
        return news
