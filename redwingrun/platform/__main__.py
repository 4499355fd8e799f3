"""The program that runs on each host of the platform: one member of the scheduler."""

from __future__ import annotations

import asyncio
import signal
import sys
import time

from attrs import asdict
from tornado.httpserver import HTTPServer

from redwingrun.bodybudget import BodyBudget
from redwingrun.bodylimits import BodyLimits
from redwingrun.clientguard import ClientGuard
from redwingrun.coordination.clock import MonotonicClock
from redwingrun.errors import RedwingrunError
from redwingrun.guardedserver import GuardedServer
from redwingrun.httpclient import HttpClient
from redwingrun.jobs.backlog import max_backlog_bytes
from redwingrun.jobs.engine import EngineSettings
from redwingrun.jobs.member import Member
from redwingrun.jobs.memberconfig import MemberDependencies, MemberSettings
from redwingrun.jobs.peerlinks import GrpcPeerLinks
from redwingrun.logs import Log
from redwingrun.metrics import Metrics
from redwingrun.platform.clientapi import (
    ApiDependencies,
    client_application,
    ready_application,
)
from redwingrun.platform.jsonclient import JsonClient
from redwingrun.platform.policy import PlatformPolicy
from redwingrun.platform.queues import PlatformQueues
from redwingrun.platform.registry import PlatformRegistry
from redwingrun.platform.settings import (
    Feature,
    PlatformSettings,
    load_features,
    load_settings,
    settings_path,
)
from redwingrun.platform.table import PlatformTable
from redwingrun.platform.workerclient import PlatformWorkerClient
from redwingrun.refusals import RefusalCounter

MAX_BODY_BYTES = 1_048_576
MAX_HEADER_BYTES = 16_384
# The connection is closed without an answer. A body below the minimum rate of
# BodyLimits is refused before this, with an answer.
BODY_TIMEOUT_S = 10.0
IDLE_CONNECTION_TIMEOUT_S = 60.0
# How long clients are still served after the member reports that it is not ready: the
# platform checks once a second and removes a host after two failed checks.
SERVE_WHILE_UNREADY_S = 2.6
# Part of the grace period that is kept for the exit of the process.
EXIT_MARGIN_S = 1.0
SETTINGS_POLL_S = 2.0
MAX_CONCURRENT_SERVICE_CALLS = 96
# An owner has one heartbeat waiting at each of its workers, and may send each of them
# an order at the same time.
MAX_CONCURRENT_WORKER_CALLS = 2000
MAX_LOG_LINES_PER_S = 200
EXIT_NOT_STARTED = 2


def unix_ms() -> int:
    """Return the time of day in Unix milliseconds."""
    return time.time_ns() // 1_000_000


class MemberProcess:
    """One member with its HTTP servers, run until SIGTERM or SIGINT."""

    def __init__(
        self, settings: PlatformSettings, features: frozenset[Feature], log: Log
    ):
        self._settings = settings
        self._features = features
        self._log = log
        self._metrics = Metrics()
        self._clock = MonotonicClock()
        self._stop_requested = asyncio.Event()
        self._budget = BodyBudget(
            BodyLimits.for_host(
                settings.memory_mb,
                settings.max_descriptors,
                max_body_bytes=MAX_BODY_BYTES,
                header_timeout_s=settings.header_timeout_s,
            )
        )
        self._refusals = RefusalCounter(log, self._metrics)
        guard = ClientGuard(self._budget, self._refusals)
        self._member = self._build_member()
        dependencies = ApiDependencies(
            self._member,
            self._clock,
            unix_ms,
            log,
            self._metrics,
            settings.bounds.config_deadline_s,
        )
        self._client_server = GuardedServer(
            client_application(dependencies),
            guard,
            "clients",
            self._max_body_bytes,
            max_header_size=MAX_HEADER_BYTES,
            body_timeout=BODY_TIMEOUT_S,
            idle_connection_timeout=IDLE_CONNECTION_TIMEOUT_S,
        )
        self._ready_server = GuardedServer(
            ready_application(dependencies),
            guard,
            "ready",
            max_header_size=MAX_HEADER_BYTES,
            body_timeout=BODY_TIMEOUT_S,
            idle_connection_timeout=IDLE_CONNECTION_TIMEOUT_S,
        )

    def _max_body_bytes(self) -> int:
        """Return the longest body that the configuration in force allows."""
        queues = self._member.queues
        return MAX_BODY_BYTES if queues is None else queues.limits.body_bytes

    def _build_member(self) -> Member:
        settings, log, metrics = self._settings, self._log, self._metrics
        service_client = HttpClient("", max_clients=MAX_CONCURRENT_SERVICE_CALLS)
        self._store = JsonClient(service_client, settings.store, self._clock)
        self._policy = PlatformPolicy(service_client, settings.advice)
        table = PlatformTable(self._store, metrics)
        dependencies = MemberDependencies(
            table,
            PlatformQueues(table, log),
            PlatformWorkerClient(
                HttpClient("", max_clients=MAX_CONCURRENT_WORKER_CALLS)
            ),
            PlatformRegistry(table, log),
            self._policy,
            GrpcPeerLinks(
                settings.ip,
                settings.peer_port,
                self._refusals,
                self._budget.limits.max_peer_connections,
            ),
            self._clock,
            unix_ms,
            log,
            metrics,
        )
        bounds = settings.bounds
        engine = EngineSettings(
            bounds.far_factor,
            bounds.early_s,
            max_lease_s=bounds.max_lease_s,
            stop_timeout_s=bounds.stop_timeout_s,
            preempts=Feature.PREEMPTION in self._features,
            learns_run_times=Feature.RUN_TIMES in self._features,
            learns_interference=Feature.INTERFERENCE in self._features,
            max_backlog_bytes=max_backlog_bytes(settings.memory_mb),
        )
        address = f"{settings.ip}:{settings.peer_port}"
        member_settings = MemberSettings(
            settings.node,
            address,
            engine=engine,
            speed=settings.speed,
            revocation_timeout_s=bounds.revocation_timeout_s,
        )
        return Member(member_settings, dependencies)

    async def run(self) -> None:
        """Serve until a stop is requested, then shut down gracefully."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGINT, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        _listen(self._client_server, self._settings.front)
        _listen(self._ready_server, self._settings.ready)
        self._member.start()
        poll = loop.create_task(self._poll_settings())
        self._log.event(
            "started",
            node=self._settings.node,
            zone=self._settings.zone,
            features=sorted(feature.value for feature in self._features),
        )
        await self._stop_requested.wait()
        poll.cancel()
        await self._shut_down()

    async def _poll_settings(self) -> None:
        """Apply changes of the settings file that are not signalled by SIGHUP."""
        while True:
            await asyncio.sleep(SETTINGS_POLL_S)
            self._reload()

    def _reload(self) -> None:
        """Apply the settings file if it changed; keep the old settings on an error.

        Only new addresses of the store and the policy, and a new grace period, take
        effect without a restart.
        """
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

    async def _shut_down(self) -> None:
        """Hand over the slice, then close connections before the grace period ends."""
        self._log.event("leaving")
        started_s = self._clock.now()
        close_by_s = started_s + self._settings.bounds.grace_s - EXIT_MARGIN_S
        await self._member.leave()
        await asyncio.sleep(
            max(0.0, started_s + SERVE_WHILE_UNREADY_S - self._clock.now())
        )
        self._client_server.stop()
        remaining_s = max(0.1, close_by_s - self._clock.now())
        try:
            await asyncio.wait_for(
                self._client_server.close_all_connections(), remaining_s
            )
        except TimeoutError:
            self._log.event("left-with-open-connections")
        await self._member.close()
        self._log.event("stopped")


def _listen(server: HTTPServer, address: str) -> None:
    host, _, port = address.rpartition(":")
    server.listen(int(port), host)


async def _run(
    settings: PlatformSettings, features: frozenset[Feature], log: Log
) -> None:
    # HTTP clients bind to the running event loop, so build the process inside it.
    await MemberProcess(settings, features, log).run()


def main() -> int:
    """Run the program and return its exit status."""
    log = Log("member", "normal", MAX_LOG_LINES_PER_S)
    log.open(to_stdout=True)
    try:
        settings = load_settings(settings_path())
        asyncio.run(_run(settings, load_features(), log))
    except RedwingrunError as error:
        log.fault("not-started", why=str(error))
        return EXIT_NOT_STARTED
    return 0


if __name__ == "__main__":
    sys.exit(main())
