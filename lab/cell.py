"""A whole cell on the loopback address: stand-ins and daemons as processes."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from attrs import define, field

from lab.relay import Relay
from redwingrun.httpclient import HttpCall, HttpClient

ROOT = Path(__file__).resolve().parent.parent
EXAMPLES = ROOT / "examples" / "objects"
IP = "127.0.0.1"
OPERATOR_TOKEN = "operator-token-for-the-lab"
TOKENS = {
    OPERATOR_TOKEN: {"name": "lan", "role": "operator"},
    "second-operator-token-lab": {"name": "iria", "role": "operator"},
    "setters-token-for-the-lab": {
        "name": "setters",
        "role": "caller",
        "team": "setters",
    },
    "head-setter-token-for-lab": {
        "name": "head",
        "role": "caller",
        "team": "head-setter",
    },
    "faro-token-for-the-lab-00": {
        "name": "faro",
        "role": "caller",
        "team": "editorial-faro",
    },
    "brena-token-for-the-lab-0": {
        "name": "brena",
        "role": "caller",
        "team": "editorial-brena",
    },
    "nordes-token-for-the-lab-": {
        "name": "nordes",
        "role": "caller",
        "team": "editorial-nordes",
    },
}
TOKEN_BY_TEAM = {
    item.get("team"): token for token, item in TOKENS.items() if "team" in item
}
# Data centres of the two example deployments.
HANOI_DATA_CENTRES = ("hoan-kiem", "cau-giay", "long-bien")
NORTE_DATA_CENTRES = ("norte-oviedo", "norte-santander", "norte-bilbao")
# Short terms and intervals, so that tests need not wait long for a lease to expire.
SHORT_INTERVALS = {
    "lease_term_s": 2.0,
    "lease_margin_s": 0.4,
    "lease_renew_s": 0.4,
    "promise_s": 1.6,
    "table_timeout_s": 0.6,
    "task_term_s": 3.0,
    "task_margin_s": 0.4,
    "task_renew_s": 0.5,
    "worker_timeout_s": 1.0,
    "config_poll_s": 0.5,
    "host_poll_s": 0.5,
}


# Below the kernel's range of ephemeral ports: no outgoing connection can take a port
# between the check that it is free and the listen.
FIRST_PORT = 10_000
LAST_PORT = 32_000
# Ports are reserved in blocks, for as long as this process runs.
PORTS_PER_BLOCK = 200


@define
class Layout:
    """The size and the options of a cell.

    :param weights: the weight of each host.
    :param speeds: the speeds of the minions of each pool.
    :param workers: how many workers each pool has.
    :param norte: whether to add the pools and objects of the deployment Norte.
    :param settings: settings of the daemons that replace the defaults.
    :param straggler_share: the share of short requests that are slow, 0 to 1.
    :param relays: whether peers connect through a relay in front of each daemon.
    :param mutation: a name in `lab.mutations.MUTATIONS`, or empty.
    """

    weights: tuple[float, ...] = (1.0, 0.5, 2.0)
    speeds: tuple[float, ...] = (0.5, 1.0, 2.0, 1.0, 0.5, 2.0)
    workers: int = 6
    norte: bool = True
    settings: dict[str, Any] = field(factory=lambda: dict(SHORT_INTERVALS))
    straggler_share: float = 0.0
    relays: bool = False
    mutation: str = ""


def _ports_of_own_blocks() -> Iterator[int]:
    """Yield ports that no other process of this program picks, over and over.

    Such a process may check a port in the moment before this one listens on it. So each
    holds the first port of its blocks, and takes only the other ports of these.
    """
    guards: list[socket.socket] = []
    blocks: list[int] = []
    for block in range(FIRST_PORT, LAST_PORT, PORTS_PER_BLOCK):
        guard = socket.socket()
        try:
            guard.bind((IP, block))
        except OSError:
            guard.close()
            continue
        guards.append(guard)
        blocks.append(block)
        yield from range(block + 1, block + PORTS_PER_BLOCK)
    for block in itertools.cycle(blocks):
        yield from range(block + 1, block + PORTS_PER_BLOCK)


_PORTS = _ports_of_own_blocks()


def free_ports(count: int) -> list[int]:
    """Return ports of the loopback address that are free now."""
    found: list[int] = []
    while len(found) < count:
        port = next(_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind((IP, port))
            except OSError:
                continue
        found.append(port)
    return found


@define
class Host:
    """One host with its entry and its placer.

    :param http_port: the HTTP port of the entry.
    :param relay_by_daemon: the relay in front of a daemon, and the relay's own port.
    """

    name: str
    data_centre: str
    http_port: int
    settings_by_daemon: dict[str, Path]
    process_by_daemon: dict[str, subprocess.Popen] = field(factory=dict)
    relay_by_daemon: dict[str, tuple[Relay, int]] = field(factory=dict)

    @property
    def url(self) -> str:
        """The base URL of the entry."""
        return f"http://{IP}:{self.http_port}"


@define
class Response:
    """The response to a call, or the failure of the call.

    :param status: HTTP status; 0 for a failure, with the reason as the body.
    """

    status: int
    body: bytes
    headers: dict[str, str]

    @property
    def verdict(self) -> str:
        """The verdict, empty if the response has none."""
        return self.headers.get("X-Verdict", "")

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)


class Cell:
    """Starts and stops a cell as an async context manager, and injects faults."""

    def __init__(self, layout: Layout | None = None):
        self.layout = layout or Layout()
        self.folder = Path(tempfile.mkdtemp(prefix="redwingrun-"))
        self.hosts: list[Host] = []
        self._standin_by_kind: dict[str, subprocess.Popen] = {}
        self._control_port_by_kind: dict[str, int] = {}
        self._platform_port = 0
        self.port_by_upstream: dict[str, int] = {}
        self.client = HttpClient("lab")
        self.pools: dict[str, Any] = {}

    async def __aenter__(self) -> Cell:
        try:
            await self._start()
        except BaseException:
            # Otherwise the processes started so far would keep running.
            await self.__aexit__()
            raise
        return self

    async def _start(self) -> None:
        self._start_standins()
        await self.wait_until(self._standins_are_ready, 20, "the stand-ins listen")
        for index, weight in enumerate(self.layout.weights):
            host = self.add_host(f"entry-{index}", weight)
            for relay, port in host.relay_by_daemon.values():
                await relay.start(port)
        await self.publish()
        await self.wait_until(
            self.all_ready, 30, "all hosts are ready and all shards owned"
        )

    async def __aexit__(self, *exc_info: object) -> None:
        self.client.close()
        for host in self.hosts:
            for relay, _ in host.relay_by_daemon.values():
                relay.stop()
        processes = [
            item for host in self.hosts for item in host.process_by_daemon.values()
        ]
        processes += list(self._standin_by_kind.values())
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in processes:
            process.wait()

    # Starting

    def _spawn(self, name: str, *command: str) -> subprocess.Popen:
        log = (self.folder / f"{name}.log").open("ab")
        environment = {
            **os.environ,
            "PYTHONPATH": str(ROOT),
            "REDWINGRUN_LAB_MUTATION": self.layout.mutation,
        }
        return subprocess.Popen(
            [sys.executable, "-m", *command],
            stdout=log,
            stderr=log,
            env=environment,
            cwd=self.folder,
        )

    def _start_standins(self) -> None:
        ports = iter(
            free_ports(8 + 2 * len(self.layout.speeds) + 2 * self.layout.workers)
        )
        self._platform_port = next(ports)
        self._control_port_by_kind = {
            kind: next(ports) for kind in ("platform", "minions", "workers")
        }
        minions = self._add_minions("routeboard", HANOI_DATA_CENTRES, ports)
        workers = self._add_workers(
            "walls", HANOI_DATA_CENTRES, ports, cores=32, memory_gb=128
        )
        if self.layout.norte:
            minions += self._add_minions("tertulia", NORTE_DATA_CENTRES, ports)
            workers += self._add_workers(
                "guides", NORTE_DATA_CENTRES, ports, cores=16, memory_gb=32
            )
        hosts = {item["name"]: "live" for item in minions + workers}
        platform = {
            "port": self._platform_port,
            "control": self._control_port_by_kind["platform"],
            "hosts": hosts,
        }
        configs = {
            "platform": platform,
            "minions": {
                "items": minions,
                "control": self._control_port_by_kind["minions"],
                "stragglers": self.layout.straggler_share,
            },
            "workers": {
                "items": workers,
                "control": self._control_port_by_kind["workers"],
            },
        }
        for kind, config in configs.items():
            self._start_standin(kind, config)

    def _start_standin(self, kind: str, config: dict[str, Any]) -> None:
        path = self.folder / f"{kind}.json"
        path.write_text(json.dumps({kind: config}))
        self._standin_by_kind[kind] = self._spawn(kind, "standins", str(path))

    def _add_minions(
        self, pool: str, data_centres: tuple[str, ...], ports: Any
    ) -> list[dict]:
        upstreams = {}
        items = []
        for index, speed in enumerate(self.layout.speeds):
            name = f"{pool}-m{index}"
            port = next(ports)
            self.port_by_upstream[name] = port
            data_centre = data_centres[index % len(data_centres)]
            upstreams[name] = {
                "address": f"http://{IP}:{port}",
                "data_centre": data_centre,
            }
            items.append({"name": name, "port": port, "speed": speed})
        self.pools[pool] = {"type": "minions", "upstreams": upstreams}
        return items

    def _add_workers(
        self,
        pool: str,
        data_centres: tuple[str, ...],
        ports: Any,
        cores: int,
        memory_gb: int,
    ) -> list[dict]:
        upstreams = {}
        items = []
        for index in range(self.layout.workers):
            name = f"{pool}-w{index}"
            port = next(ports)
            self.port_by_upstream[name] = port
            data_centre = data_centres[index % len(data_centres)]
            capacity = {"cores": cores, "memory_gb": memory_gb}
            upstreams[name] = {
                "address": f"http://{IP}:{port}",
                "data_centre": data_centre,
                "rack": f"{data_centre}-r{index % 2}",
                **capacity,
            }
            items.append({"name": name, "port": port, "capacity": capacity})
        self.pools[pool] = {"type": "workers", "upstreams": upstreams}
        return items

    def add_host(self, name: str, weight: float = 1.0) -> Host:
        """Add a host and start its daemons."""
        token_file = self.folder / "tokens.json"
        token_file.write_text(json.dumps(TOKENS))
        secret_file = self.folder / "secret"
        secret_file.write_text("peer-secret-for-the-lab")
        ports = free_ports(6)
        data_centre = HANOI_DATA_CENTRES[len(self.hosts) % len(HANOI_DATA_CENTRES)]
        paths = {}
        relays = {}
        for daemon, (http_port, peer_port, relay_port) in zip(
            ("entry", "placer"), (ports[:3], ports[3:]), strict=True
        ):
            if self.layout.relays:
                relays[daemon] = (Relay(peer_port), relay_port)
            settings = {
                "host": name,
                "data_centre": data_centre,
                "listen_ip": IP,
                "http_port": http_port,
                "peer_port": peer_port,
                "table_url": f"http://{IP}:{self._platform_port}",
                "object_store_url": f"http://{IP}:{self._platform_port}",
                "host_list_url": f"http://{IP}:{self._platform_port}",
                "token_file": str(token_file),
                "peer_secret_file": str(secret_file),
                "weight": weight,
                "peer_advertise_port": relay_port if self.layout.relays else 0,
                **self.layout.settings,
            }
            paths[daemon] = self.folder / f"{name}-{daemon}.jsonc"
            paths[daemon].write_text(json.dumps(settings))
        host = Host(name, data_centre, ports[0], paths, relay_by_daemon=relays)
        self.hosts.append(host)
        self.start_host(host)
        return host

    def start_host(
        self, host: Host, daemons: tuple[str, ...] = ("entry", "placer")
    ) -> None:
        """Start daemons of a host."""
        for daemon in daemons:
            path = str(host.settings_by_daemon[daemon])
            process = self._spawn(f"{host.name}-{daemon}", "lab.daemon", daemon, path)
            host.process_by_daemon[daemon] = process

    # Faults

    def send_signal(
        self, host: Host, number: int, daemons: tuple[str, ...] = ("entry", "placer")
    ) -> None:
        """Send a signal to those daemons of a host that run."""
        for daemon in daemons:
            process = host.process_by_daemon[daemon]
            if process.poll() is None:
                process.send_signal(number)

    def kill(self, host: Host, daemons: tuple[str, ...] = ("entry", "placer")) -> None:
        """Kill daemons of a host with SIGKILL."""
        self.send_signal(host, signal.SIGKILL, daemons)
        for daemon in daemons:
            host.process_by_daemon[daemon].wait()

    async def set_faults(self, kind: str, *items: dict[str, Any]) -> None:
        """Replace all faults of a stand-in process.

        :param kind: ``platform``, ``minions`` or ``workers``.
        :param items: the fields of each fault; see :class:`standins.faults.Fault`.
        """
        await self._control_call(kind, "POST", "fault", list(items))

    async def counters(self, kind: str) -> dict[str, Any]:
        """Return the counters of the ``platform``, ``minions`` or ``workers``."""
        return (await self._control_call(kind, "GET", "counters")).json()

    async def _control_call(
        self, kind: str, method: str, path: str, content: Any = None
    ) -> Response:
        url = f"http://{IP}:{self._control_port_by_kind[kind]}/{path}"
        return await self.call(method, url, content)

    async def set_hosts(self, states: dict[str, str]) -> None:
        """Set the states of hosts in the platform's list."""
        await self.call("POST", f"http://{IP}:{self._platform_port}/hosts", states)

    async def upstream_call(self, name: str, path: str, content: Any) -> Response:
        """Call a stand-in minion or worker by its name."""
        return await self.call(
            "POST", f"http://{IP}:{self.port_by_upstream[name]}/{path}", content
        )

    # Calls

    async def call(
        self,
        method: str,
        url: str,
        content: Any = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 15.0,
    ) -> Response:
        """Send one call and return its response or failure."""
        body = None if content is None else json.dumps(content).encode()
        result = await self.client.send(
            HttpCall(method, url, timeout_s, body, headers or {})
        )
        if result.is_error():
            failure = result.error
            return Response(
                0, failure.reason.encode(), {"X-Verdict": failure.verdict.value}
            )
        return Response(
            result.ok.status, result.ok.body, dict(result.ok.headers.get_all())
        )

    async def call_as_team(
        self,
        team: str,
        method: str,
        path: str,
        content: Any = None,
        host: Host | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 15.0,
    ) -> Response:
        """Call the entry of a host, by default the first, with a team's token."""
        token = TOKEN_BY_TEAM[team]
        url = (host or self.hosts[0]).url + path
        all_headers = {"Authorization": f"Bearer {token}", **(headers or {})}
        return await self.call(method, url, content, all_headers, timeout_s)

    async def call_as_operator(
        self,
        method: str,
        path: str,
        content: Any = None,
        host: Host | None = None,
        token: str = OPERATOR_TOKEN,
    ) -> Response:
        """Call the entry of a host, by default the first, as an operator."""
        url = (host or self.hosts[0]).url + path
        return await self.call(
            method, url, content, {"Authorization": f"Bearer {token}"}
        )

    def sources(self) -> dict[str, str]:
        """Return the texts of the cell's object files by file name."""
        names = ["hanoi.jsonc", "norte.jsonc"] if self.layout.norte else ["hanoi.jsonc"]
        texts = {name: (EXAMPLES / name).read_text() for name in names}
        texts["pools.jsonc"] = json.dumps({"pools": self.pools})
        return texts

    async def publish(self, based_on: int = 0, reason: str = "first set") -> Response:
        """Wait until the first entry answers, and publish the cell's objects.

        :param based_on: the version that this publication replaces; 0 if none.
        """
        content = {"based_on": based_on, "sources": self.sources(), "reason": reason}
        await self.wait_until(self._first_entry_is_alive, 20, "the first entry answers")
        return await self.call_as_operator("POST", "/v1/config", content)

    # Waiting

    async def wait_until(
        self, check: Callable[[], Any], timeout_s: float, what: str
    ) -> None:
        """Wait until an async check returns true.

        :param what: the condition, for the error.
        :raises TimeoutError: after ``timeout_s``.
        """
        ends_s = time.monotonic() + timeout_s
        while not await check():
            if time.monotonic() > ends_s:
                raise TimeoutError(
                    f"timed out after {timeout_s} s waiting until {what};"
                    f" logs in {self.folder}"
                )
            await asyncio.sleep(0.05)

    async def _first_entry_is_alive(self) -> bool:
        return (await self.call("GET", self.hosts[0].url + "/healthz")).status == 200

    async def _standins_are_ready(self) -> bool:
        replies = [
            await self._control_call(kind, "GET", "counters")
            for kind in self._control_port_by_kind
        ]
        return all(reply.status == 200 for reply in replies)

    async def all_ready(self) -> bool:
        """Return whether all live hosts are ready and all shards have an owner."""
        live = [
            host
            for host in self.hosts
            if host.process_by_daemon["entry"].poll() is None
        ]
        for host in live:
            if (await self.call("GET", host.url + "/readyz")).status != 200:
                return False
        status = (await self.call_as_operator("GET", "/v1/status", host=live[0])).json()
        return bool(status.get("owners")) and all(status["owners"].values())
