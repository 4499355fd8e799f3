"""A cell on loopback: members as processes, stand-ins for all that they call."""

from __future__ import annotations

import asyncio
import json
import os
import secrets
import signal
import socket
import subprocess
import tempfile
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from review.standins3.minion import GangBoard, Minion, RunEnd
from review.standins3.policy import policy_application
from review.standins3.record import Record
from review.standins3.store import Store

ROOT = Path(__file__).resolve().parents[2]
SERVICE = "desk"
HOST = "desk.example"
DEADLINE_MS = 3000
RETRIES = 4
RETRY_DELAY_S = 0.3
# Traffic starts this long after the machines do.
LEAD_S = 12.0
BOUNDS = {
    "contactMs": 3000,
    "ackTimeoutMs": 4000,
    "drainTimeoutMs": 2000,
    "gracePeriodS": 6,
    "lossSlackMs": 200,
    "configDeadlineMs": 2000,
    "rollbackSlackMs": 250,
    "holdMaxMs": 10000,
    "stopTimeoutMs": 400,
    "gangMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "farX": 2,
}
# Statuses after which the job was not accepted and never runs.
REJECTED = frozenset({400, 401, 404, 413, 429, 503})


class CaseNotRun(Exception):
    """The case could not be played to its end."""


def route(name: str, prefix: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the operator's configuration, which is a queue."""
    return {
        "name": name,
        "hostname": HOST,
        "pathPrefix": prefix,
        "kind": "unsafe",
        "timeoutMs": 3000,
        "sloMs": 250,
        "priority": 0,
        "backend": SERVICE,
        "attempts": 3,
        "stretch": 1.5,
        **fields,
    }


def new_job_id() -> str:
    """Return an id as a client chooses it."""
    return secrets.token_hex(8)


class Cell:
    """Three members in processes of their own, and stand-ins in this one.

    :param length_of: returns how long a task works, by its name and spec.
    :param gang_size_of: returns the size of a task's gang, 0 for none.
    """

    def __init__(
        self,
        record: Record,
        length_of: Callable[[str, str], float],
        members: int = 3,
        minions: int = 6,
        gang_size_of: Callable[[str, str], int] = lambda task, spec: 0,
    ):
        self.record = record
        self.store = Store()
        self.history: list[RunEnd] = []
        gangs = GangBoard(gang_size_of)
        self.minions = [
            Minion(
                f"minion-{number}",
                SERVICE,
                self.store,
                record,
                length_of,
                self.history,
                gangs=gangs,
            )
            for number in range(1, minions + 1)
        ]
        self.names = [f"edge-{number}" for number in range(1, members + 1)]
        self.processes: dict[str, subprocess.Popen] = {}
        self._settings: dict[str, dict[str, Any]] = {}
        self._folder = Path(tempfile.mkdtemp(prefix="redwingrun-case-"))
        self._servers: list[HTTPServer] = []
        self._version = 0
        self._client = AsyncHTTPClient(force_instance=True, max_clients=200)
        self._next = 0
        self.accepted: list[str] = []

    # Start and end.

    async def open(self, routes: list[dict[str, Any]]) -> None:
        """Start everything, and wait until the members serve clients."""
        store_port = self._listen(self.store.application())
        policy_port = self._listen(policy_application())
        self.configure(routes)
        for minion in self.minions:
            await minion.open()
        for name in self.names:
            self._settings[name] = self._settings_of(name, store_port, policy_port)
            path = self._folder / f"{name}.json"
            path.write_text(json.dumps(self._settings[name]))
            self.start_process(name)
        await asyncio.sleep(LEAD_S)
        for name in self.names:
            if await self.ready_status(name) != 200:
                raise CaseNotRun(f"{name} is not ready {LEAD_S} s after its start")

    def _listen(self, application: Any) -> int:
        sockets = bind_sockets(0, "127.0.0.1", family=socket.AF_INET)
        server = HTTPServer(application)
        server.add_sockets(sockets)
        self._servers.append(server)
        return sockets[0].getsockname()[1]

    def _settings_of(
        self, name: str, store_port: int, policy_port: int
    ) -> dict[str, Any]:
        ports = _free_ports(4)
        return {
            "nodeName": name,
            "role": "member",
            "machineClass": "edge",
            "serves": ["edge"],
            "bindIp": "127.0.0.1",
            "zone": "zone-1",
            "region": "region-1",
            "zones": {"zone-1": "region-1"},
            "listen": {
                "front": f"127.0.0.1:{ports[0]}",
                "ready": f"127.0.0.1:{ports[1]}",
                "control": f"127.0.0.1:{ports[2]}",
            },
            "portRange": [ports[3], ports[3]],
            "seedAddrs": [],
            "bootstrap": True,
            "limits": {
                "cpuShare": 0.537,
                "cpuCores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "heartbeatMs": 1500,
            "bounds": BOUNDS,
            "commands": "rpc",
            "advice": f"127.0.0.1:{policy_port}",
            "platform": {"address": f"127.0.0.1:{store_port}", "form": "table"},
        }

    def start_process(self, name: str) -> None:
        """Start a member with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        kept = ("PATH", "HOME", "LANG")
        environment = {key: os.environ[key] for key in kept if key in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["REDWINGRUN_BOOT"] = str(self._folder / f"{name}.json")
        with (self._folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                deploy["roles"]["member"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record.note(name, "process-started")

    async def restart_gracefully(self, name: str) -> None:
        """Send SIGTERM to a member, and start it again once it has ended."""
        process = self.processes[name]
        self.record.note("platform", "SIGTERM", to=name)
        process.send_signal(signal.SIGTERM)
        for _ in range(int(BOUNDS["gracePeriodS"] * 20)):
            if process.poll() is not None:
                break
            await asyncio.sleep(0.05)
        else:
            process.kill()
            process.wait()
        self.record.note(name, "process-ended", status=process.returncode)
        self.start_process(name)

    def kill(self, name: str) -> None:
        """Kill a member."""
        self.record.note("platform", "SIGKILL", to=name)
        self.processes[name].kill()
        self.processes[name].wait()

    async def close(self) -> None:
        """End all processes and stand-ins, and remove the temporary folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for minion in self.minions:
            await minion.close()
        for server in self._servers:
            server.stop()
        for path in self._folder.iterdir():
            path.unlink()
        self._folder.rmdir()

    def ended_processes(self) -> list[str]:
        """Return the members whose processes have ended."""
        return [
            name
            for name, process in self.processes.items()
            if process.poll() is not None
        ]

    def log_lines(self, message_type: str) -> list[dict[str, Any]]:
        """Return the lines of one type that the members have logged."""
        found = []
        for name in self.names:
            for line in (self._folder / f"{name}.log").read_text().splitlines():
                if f'"{message_type}"' in line:
                    found.append({"node": name, **json.loads(line)})
        return found

    def owner(self) -> str:
        """Return the member that owns the slice, by its last claim."""
        claims = self.log_lines("claimed")
        if not claims:
            raise CaseNotRun("no member has claimed the slice")
        return max(claims, key=lambda line: line["timestamp"])["node"]

    def has_begun(self, job: str) -> bool:
        """Return whether a minion has ever started a task of a job."""
        tasks = [end.task for end in self.history]
        for minion in self.minions:
            tasks += minion.runs
        return any(task.startswith(job) for task in tasks)

    # The operator.

    def configure(self, routes: list[dict[str, Any]]) -> None:
        """Write the next version of the configuration."""
        self._version += 3
        services = [
            {
                "name": SERVICE,
                "healthPath": "/healthz",
                "maxConns": 64,
                "protocol": "h1",
                "tls": False,
                "enforcesCapacity": False,
                "spare": False,
            }
        ]
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        self.store.put(
            "op",
            "config",
            {
                "version": self._version,
                "routes": routes,
                "services": services,
                "limits": limits,
            },
        )
        names = [item["name"] for item in routes]
        self.record.note("operator", "config", version=self._version, routes=names)

    # Clients.

    async def ready_status(self, name: str) -> int:
        """Return the status of a readiness check; 0 without an answer."""
        address = self._settings[name]["listen"]["ready"]
        status, _ = await self._fetch("GET", f"http://{address}/-/readyz", {}, None)
        return status

    async def call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        tries: int = RETRIES + 1,
    ) -> tuple[int, dict[str, Any]]:
        """Send a client's request, again at other members as the pages say.

        :return: the status and body of the last answer; status 0 without one.
        """
        status, data = 0, {}
        for attempt in range(tries):
            if attempt:
                await asyncio.sleep(RETRY_DELAY_S)
            live = [
                name
                for name in self.names
                if name in self.processes and self.processes[name].poll() is None
            ]
            self._next += 1
            name = live[self._next % len(live)]
            address = self._settings[name]["listen"]["front"]
            headers = {"Host": HOST, "X-Deadline-Ms": str(DEADLINE_MS)}
            payload = None if body is None else json.dumps(body).encode()
            if payload is not None:
                headers["Content-Type"] = "application/json"
            status, data = await self._fetch(
                method, f"http://{address}{path}", headers, payload
            )
            self.record.note(
                "client", f"{method} {path}", at=name, status=status, answer=data
            )
            if status not in (0, 429, 502, 503, 504):
                break
        return status, data

    async def submit(
        self, path: str, body: dict[str, Any], tries: int = RETRIES + 1
    ) -> str:
        """Hand a job in; return its id.

        :raises CaseNotRun: if it is not accepted.
        """
        job_id = new_job_id()
        self.record.note("client", "submits", job=job_id, body=body)
        status, _ = await self.call("POST", path + job_id, body, tries)
        if not 200 <= status < 300:
            raise CaseNotRun(f"job {job_id} was not accepted: status {status}")
        self.accepted.append(job_id)
        return job_id

    async def state(self, path: str, job_id: str, tries: int = RETRIES + 1) -> str:
        """Return the state that a job is shown with, or the status of the answer."""
        status, data = await self.call("GET", path + job_id, tries=tries)
        return data.get("state", "") if status == 200 else f"status {status}"

    async def _fetch(
        self, method: str, url: str, headers: dict[str, str], body: bytes | None
    ) -> tuple[int, dict[str, Any]]:
        request = HTTPRequest(
            url,
            method=method,
            headers=headers,
            body=body,
            request_timeout=DEADLINE_MS / 1000,
            connect_timeout=DEADLINE_MS / 1000,
            allow_nonstandard_methods=True,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except Exception:
            return 0, {}
        if response.code == 599:
            return 0, {}
        try:
            return response.code, json.loads(response.body or b"{}")
        except ValueError:
            return response.code, {}


def _free_ports(count: int) -> list[int]:
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports
