"""The program that runs on each machine of the platform."""

from __future__ import annotations

import asyncio
import signal
import sys
import time

from attrs import asdict
from tornado.httpserver import HTTPServer

from redwingrun.coordination.clock import MonotonicClock
from redwingrun.errors import RedwingrunError
from redwingrun.httpclient import HttpClient
from redwingrun.jobs.engine import EngineSettings
from redwingrun.jobs.member import Member
from redwingrun.jobs.memberconfig import MemberDependencies, MemberSettings
from redwingrun.jobs.peerlinks import GrpcPeerLinks
from redwingrun.logs import Log
from redwingrun.metrics import Metrics
from redwingrun.platform.clientapi import (
    FrontParts,
    front_application,
    ready_application,
)
from redwingrun.platform.jsonclient import Service
from redwingrun.platform.policy import PlatformPolicy
from redwingrun.platform.queues import PlatformQueues
from redwingrun.platform.registry import PlatformRegistry
from redwingrun.platform.settings import (
    PlatformSettings,
    load_settings,
    settings_path,
)
from redwingrun.platform.table import PlatformTable
from redwingrun.platform.workerclient import PlatformWorkers

MAX_BODY_BYTES = 1_048_576
MAX_HEADER_BYTES = 16_384
BODY_TIMEOUT_S = 5.0
IDLE_TIMEOUT_S = 60.0
# The platform takes a machine out after two failed checks, one a second.
LEAVE_S = 2.6
# What is left of the grace period for the end of the process.
EXIT_MARGIN_S = 1.0
SETTINGS_EVERY_S = 2.0
# Most calls at the same time. An owner waits at each of its workers, and may send
# each of them an order meanwhile.
SERVICE_CALLS = 96
WORKER_CALLS = 2000
LOG_LINES_A_SECOND = 200
SETTINGS_EXIT = 2


def unix_ms() -> int:
    """Return the time of day in Unix milliseconds."""
    return time.time_ns() // 1_000_000


class Process:
    """One machine's program: builds the parts and runs them until SIGTERM."""

    def __init__(self, settings: PlatformSettings, log: Log):
        self._settings = settings
        self._log = log
        self._metrics = Metrics()
        self._clock = MonotonicClock()
        self._stop = asyncio.Event()
        self._member = self._build_member()
        parts = FrontParts(self._member, self._clock, unix_ms, log, self._metrics)
        self._front = HTTPServer(
            front_application(parts),
            max_body_size=MAX_BODY_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            body_timeout=BODY_TIMEOUT_S,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )
        self._ready = HTTPServer(ready_application(parts))

    def _build_member(self) -> Member:
        settings, log, metrics = self._settings, self._log, self._metrics
        services = HttpClient("", max_clients=SERVICE_CALLS)
        self._store = Service(services, settings.store, self._clock)
        self._policy = PlatformPolicy(services, settings.advice)
        table = PlatformTable(self._store, metrics)
        parts = MemberDependencies(
            table,
            PlatformQueues(table, log),
            PlatformWorkers(HttpClient("", max_clients=WORKER_CALLS)),
            PlatformRegistry(table, log),
            self._policy,
            GrpcPeerLinks(settings.ip, settings.peer_port),
            self._clock,
            unix_ms,
            log,
            metrics,
        )
        engine = EngineSettings(settings.bounds.far_factor, settings.bounds.early_s)
        address = f"{settings.ip}:{settings.peer_port}"
        member = MemberSettings(
            settings.node, address, engine=engine, speed=settings.speed
        )
        return Member(member, parts)

    async def run(self) -> None:
        """Serve until the request to stop, then leave in good order."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        _listen(self._front, self._settings.front)
        _listen(self._ready, self._settings.ready)
        self._member.start()
        watch = loop.create_task(self._watch_settings())
        self._log.event("started", node=self._settings.node, zone=self._settings.zone)
        await self._stop.wait()
        watch.cancel()
        await self._leave()

    async def _watch_settings(self) -> None:
        """Take changes of the settings file that come without a signal."""
        while True:
            await asyncio.sleep(SETTINGS_EVERY_S)
            self._reload()

    def _reload(self) -> None:
        try:
            settings = load_settings(settings_path())
        except RedwingrunError as error:
            self._log.fault("settings-unusable", why=str(error))
            return
        if settings == self._settings:
            return
        changed = sorted(
            name
            for name, value in asdict(settings, recurse=False).items()
            if value != getattr(self._settings, name)
        )
        self._log.event("settings-changed", fields=changed)
        self._settings = settings
        self._store.address = settings.store
        self._policy.address = settings.advice

    async def _leave(self) -> None:
        self._log.event("leaving")
        started_s = self._clock.now()
        last_s = started_s + self._settings.bounds.grace_s - EXIT_MARGIN_S
        await self._member.leave()
        await asyncio.sleep(max(0.0, started_s + LEAVE_S - self._clock.now()))
        self._front.stop()
        remaining_s = max(0.1, last_s - self._clock.now())
        try:
            await asyncio.wait_for(self._front.close_all_connections(), remaining_s)
        except TimeoutError:
            self._log.event("left-with-open-connections")
        await self._member.close()
        self._log.event("stopped")


def _listen(server: HTTPServer, address: str) -> None:
    host, _, port = address.rpartition(":")
    server.listen(int(port), host)


async def _run(settings: PlatformSettings, log: Log) -> None:
    # The clients belong to the running loop: the process is built inside it.
    await Process(settings, log).run()


def main() -> int:
    """Run the program; returns its exit status."""
    log = Log("member", "normal", LOG_LINES_A_SECOND)
    log.open(to_output=True)
    try:
        settings = load_settings(settings_path())
        asyncio.run(_run(settings, log))
    except RedwingrunError as error:
        log.fault("not-started", why=str(error))
        return SETTINGS_EXIT
    return 0


if __name__ == "__main__":
    sys.exit(main())
