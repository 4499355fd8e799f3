"""A small cell: the program of the deploy file in several processes, and stand-ins."""

from __future__ import annotations

import asyncio
import base64
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import orjson
from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.httpserver import HTTPServer

from review.cell.minion import Event, Minion, minion_application
from review.cell.store import Store, store_application

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
QUEUE_HOST = "desk.example"
START_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 3.0
BOUNDS = {
    "contactMs": 3000,
    "ackTimeoutMs": 4000,
    "drainTimeoutMs": 2000,
    "gracePeriodS": 6,
    "configDeadlineMs": 2000,
    "holdMaxMs": 10_000,
    "stopTimeoutMs": 400,
    "gangMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "farX": 2,
    "leaseTtlMs": 3000,
}


class CaseNotRun(Exception):
    """The case could not be run."""


def free_port() -> int:
    """Return a port that nothing listens on."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Cell:
    """Processes of the system beside a store, minions and a client.

    :param length_s: returns how long a task works, from its id and ``spec``.
    :ivar events: starts and ends of runs as the minions saw them.
    """

    def __init__(
        self, minions: int, length_s: Callable[[str, str], float], members: int = 3
    ):
        self.events: list[Event] = []
        self.store = Store()
        self.minions = [
            Minion(f"minion-{number}", self.store, self.events, length_s)
            for number in range(minions)
        ]
        self._member_count = members
        self.process_by_name: dict[str, subprocess.Popen] = {}
        self._front_by_name: dict[str, str] = {}
        self._settings_by_name: dict[str, Path] = {}
        self._folder = Path(tempfile.mkdtemp())
        self._client = AsyncHTTPClient(force_instance=True, max_clients=200)
        self._started_s = time.monotonic()
        self.lines: list[str] = []

    def note(self, text: str) -> None:
        """Add a line to the record."""
        line = f"{time.monotonic() - self._started_s:8.3f} {text}"
        self.lines.append(line)
        print(line, flush=True)

    def save(self, path: Path) -> None:
        """Write the record, with each start and end of a run."""
        runs = [
            f"{event.at_s - self._started_s:8.3f} minion {event.minion}: "
            f"{event.kind} {event.task_id} run {event.run_id}"
            for event in self.events
        ]
        path.write_text("\n".join([*self.lines, "", *runs]) + "\n")

    async def open(self, routes: list[dict[str, Any]]) -> None:
        """Start everything, and wait until each process is ready.

        From then on SIGTERM cancels the caller, which closes the cell.
        """
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        store_address = self._serve(store_application(self.store))
        self.write_config(1, routes)
        for minion in self.minions:
            port = free_port()
            server = HTTPServer(minion_application(minion))
            server.listen(port, HOST)
            minion.open(server, f"{HOST}:{port}")
        ready = [
            self._start_member(n, store_address) for n in range(self._member_count)
        ]
        for address in ready:
            await self._wait_until_ready(address)

    def _serve(self, application: Any) -> str:
        port = free_port()
        HTTPServer(application).listen(port, HOST)
        return f"{HOST}:{port}"

    def write_config(self, version: int, routes: list[dict[str, Any]]) -> None:
        """Write a configuration, as the operator does."""
        config = {
            "version": version,
            "routes": routes,
            "services": [{"name": "desk", "enforcesCapacity": False}],
            "limits": {"maxBodyBytes": 262_144, "maxHeaderBytes": 16_384},
        }
        self.store.write("op", "config", config)
        names = [route["name"] for route in routes]
        self.note(f"operator: configuration {version} with the routes {names}")

    def _start_member(self, number: int, store_address: str) -> str:
        name = f"edge-{number}"
        front, ready = (f"{HOST}:{free_port()}" for _ in range(2))
        peer_port = free_port()
        settings = {
            "nodeName": name,
            "role": "member",
            "machineClass": "edge",
            "serves": ["edge"],
            "bindIp": HOST,
            "zone": "zone-1",
            "region": "region-1",
            "zones": {"zone-1": "region-1"},
            "listen": {"front": front, "ready": ready},
            "portRange": [peer_port, peer_port],
            "seedAddrs": [],
            "bootstrap": True,
            "limits": {"cpuShare": 0.537, "cpuCores": 2, "memoryMb": 300},
            "heartbeatMs": 1500,
            "bounds": BOUNDS,
            "commands": "rpc",
            "advice": None,
            "platform": {"address": store_address, "form": "table"},
            "cloud": {},
        }
        path = self._folder / f"{name}.json"
        path.write_bytes(orjson.dumps(settings))
        self._front_by_name[name] = front
        self._settings_by_name[name] = path
        self.start_process(name)
        return ready

    def start_process(self, name: str) -> None:
        """Start a process with its settings, also again after it was killed."""
        with (self._folder / f"{name}.log").open("ab") as log:
            self.process_by_name[name] = subprocess.Popen(
                _run_command(),
                cwd=ROOT,
                env=_environment(self._settings_by_name[name]),
                stdout=log,
                stderr=log,
            )
        self.note(f"platform: starts {name}")

    async def is_idle(self, for_s: float) -> bool:
        """Return whether no minion runs anything for a time."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + for_s
        while loop.time() < deadline_s:
            if any(minion.runs for minion in self.minions):
                return False
            await asyncio.sleep(0.02)
        return True

    async def _wait_until_ready(self, address: str) -> None:
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            status, _ = await self._fetch("GET", f"http://{address}/-/readyz", None)
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise CaseNotRun(f"the process at {address} is not ready")

    async def _fetch(
        self, method: str, url: str, body: bytes | None
    ) -> tuple[int, dict[str, Any]]:
        request = HTTPRequest(
            url,
            method,
            headers={"Host": QUEUE_HOST, "X-Deadline-Ms": "3000"},
            body=body,
            request_timeout=CALL_TIMEOUT_S,
            allow_nonstandard_methods=True,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except OSError:
            return 0, {}
        if response.code == 599:
            return 0, {}
        return response.code, orjson.loads(response.body or b"{}")

    def running(self) -> list[str]:
        """Return the names of the processes of the system that run."""
        return [
            name
            for name, process in self.process_by_name.items()
            if process.poll() is None
        ]

    async def call(
        self, method: str, path: str, data: Any = None, tries: int = 5
    ) -> tuple[int, dict[str, Any]]:
        """Send a client's request, with retries at the other processes."""
        body = None if data is None else orjson.dumps(data)
        status, answer = 0, {}
        names = self.running()
        for attempt in range(tries):
            front = self._front_by_name[names[attempt % len(names)]]
            status, answer = await self._fetch(method, f"http://{front}{path}", body)
            if status not in (0, 429, 502, 503, 504):
                break
            await asyncio.sleep(0.5)
        return status, answer

    def owner(self) -> str:
        """Return the process whose name stands in the slice's row in the store.

        The system writes that row with each renewal; a test may look there for the
        process to disturb, as the bench does for a "leader".
        """
        for (table, part, _), row in self.store.rows.items():
            if table == "owners" and "standby" not in part:
                return orjson.loads(base64.b64decode(row["value"]))["member"]
        raise CaseNotRun("no process owns the slice")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process of the system."""
        self.note(f"signal: {number.name} to {name}")
        self.process_by_name[name].send_signal(number)

    def close(self, keep_logs: Path | None = None) -> None:
        """End all processes of the system."""
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if keep_logs is not None:
            keep_logs.mkdir(exist_ok=True)
            for path in self._folder.glob("*.log"):
                shutil.copy(path, keep_logs / path.name)
        shutil.rmtree(self._folder, ignore_errors=True)


def main(run: Callable[[bool], Coroutine[Any, Any, int]]) -> int:
    """Play a case; return its exit code, which is 2 if it did not come to an end."""
    try:
        return asyncio.run(run(os.environ.get("TROUBLE", "1") != "0"))
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        return 2


def _run_command() -> list[str]:
    """Return the command of the deploy file's only role."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return deploy["roles"]["member"]["run"].split()


def _environment(settings: Path) -> dict[str, str]:
    passed = ("PATH", "HOME", "JAVA_HOME", "LANG")
    kept = {name: os.environ[name] for name in passed if name in os.environ}
    return {
        **kept,
        "REDWINGRUN_BOOT": str(settings),
        "PYTHONPATH": str(ROOT / "target" / "deps"),
    }
