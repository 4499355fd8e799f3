"""A cell on loopback: the project's programs as processes, and stand-ins around them.

The programs are started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from standins2.httpwire import call
from standins2.minion import Minion
from standins2.store import Store

ROOT = Path(__file__).resolve().parents[2]
POOL = "pool-a"
# Partition of the row that names the owner.
SLICE = "s0"
HOST = "walls.example"
MIN_PORT = 12_000
MAX_PORT = 30_000
# After the end of the traffic jobs are asked for, this much later.
FINISH_S = 14.0
BOUNDS = {
    "contactMs": 3000,
    "ackTimeoutMs": 4000,
    "drainTimeoutMs": 2000,
    "gracePeriodS": 6,
    "lossSlackMs": 200,
    "configDeadlineMs": 2000,
    "rollbackSlackMs": 250,
    "recoveryS": 12,
    "holdMaxMs": 10000,
    "stopTimeoutMs": 400,
    "gangMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "farX": 2,
    "checkpointIntervalS": 1,
    "restoreTimeoutMs": 100,
    "noticeMs": 4500,
    "paceMs": 100,
    "harmMs": 4000,
    "fencing": True,
    "leaseTtlMs": 3000,
}


class Record:
    """What was sent, answered and run, with the time since the start of the case."""

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()
        self.events: list[dict[str, Any]] = []

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_s

    def __call__(self, what: str, **fields: Any) -> None:
        """Record an event."""
        event = {"t": round(self.now(), 3), "what": what, **fields}
        self.events.append(event)
        self._file.write(json.dumps(event) + "\n")
        self._file.flush()

    def find(self, what: str, **fields: Any) -> list[dict[str, Any]]:
        """Return the events with these fields."""
        return [
            event
            for event in self.events
            if event["what"] == what
            and all(event.get(name) == value for name, value in fields.items())
        ]


def free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on.

    They lie below the range from which connections get theirs.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(MIN_PORT, MAX_PORT)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            if port not in ports:
                ports.append(port)
    return ports


class Node:
    """One process of the system, on a host of its own name."""

    def __init__(self, cell: Cell, name: str):
        self.cell = cell
        self.name = name
        front, ready, control, peer = free_ports(4)
        self.front = f"127.0.0.1:{front}"
        self.ready = f"127.0.0.1:{ready}"
        self.control = f"127.0.0.1:{control}"
        self.peer_port = peer
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Write the settings file and start the program."""
        cell = self.cell
        path = cell.folder / f"{self.name}.json"
        path.write_text(json.dumps(self._settings()))
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env |= {
            "LANG": "C.UTF-8",
            "REDWINGRUN_BOOT": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = (cell.folder / f"{self.name}.log").open("ab")
        with log:
            self.process = subprocess.Popen(
                cell.command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        cell.record("process", node=self.name, pid=self.process.pid, did="started")

    def _settings(self) -> dict[str, Any]:
        """Return the settings as the deployment's template renders them."""
        return {
            "nodeName": self.name,
            "role": "member",
            "machineClass": "edge",
            "serves": ["edge", "control_plane"],
            "bindIp": "127.0.0.1",
            "zone": "z1",
            "region": "r1",
            "zones": {"z1": "r1"},
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": self.control,
            },
            "portRange": [self.peer_port, self.peer_port],
            "seedAddrs": [],
            "bootstrap": True,
            "limits": {"cpuShare": 0.537, "cpuCores": 2, "memoryMb": 300},
            "dataDir": None,
            "heartbeatMs": 1500,
            "bounds": BOUNDS,
            "commands": "rpc",
            "advice": self.cell.advice_address,
            "platform": {
                "address": self.cell.store_address(self),
                "form": "table",
                "writesPerS": 800,
                "readsPerS": 2000,
                "txTimeoutMs": 3.0,
                "partWritesS": 300,
                "rowBytes": 65536,
                "across": True,
                "historyS": 20,
            },
        }

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.cell.record("signal", node=self.name, signal=number.name)
            self.process.send_signal(number)

    async def wait(self, timeout_s: float) -> bool:
        """Return whether the process ends within a time."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            if self.process is None or self.process.poll() is not None:
                return True
            await asyncio.sleep(0.02)
        return False


class Cell:
    """Nodes, store, minions, operator and clients of one case."""

    def __init__(self, record: Record, folder: Path, nodes: int):
        self.record = record
        self.folder = folder
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = shlex.split(deploy["roles"]["member"]["run"])
        self.command = [sys.executable if words[0] == "python3" else words[0]]
        self.command += words[1:]
        self.store = Store()
        self.nodes = [Node(self, f"edge-{number}") for number in range(1, nodes + 1)]
        self.minions: list[Minion] = []
        self.advice_address = ""
        self.version = 0

    def store_address(self, node: Node) -> str:
        """Return where a node reaches the store."""
        return self.store.server.address

    async def open(self, routes: list[dict[str, Any]]) -> None:
        """Open the store, put the first configuration and start the nodes."""
        await self.store.server.open()
        self.configure(routes)
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            await self.until(lambda n=node: self.is_ready(n), 20, f"{node.name} ready")

    async def is_ready(self, node: Node) -> bool:
        """Return whether a node says that it is ready."""
        status, _ = await call(node.ready, "GET", "/-/readyz", timeout_s=0.5)
        return status == 200

    def configure(self, routes: list[dict[str, Any]]) -> None:
        """Put a configuration, as the operator does."""
        self.version += 3
        config = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": POOL, "enforcesCapacity": False, "spare": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
        }
        self.store.put("op", "config", config)
        names = [route["name"] for route in routes]
        self.record("operator", version=self.version, routes=names)

    async def add_minion(
        self, worker_id: str, cpu: int = 32000, labels: tuple[str, ...] = ("a", "r1-1")
    ) -> Minion:
        """Start a minion."""
        minion = Minion(self.store, worker_id, POOL, list(labels), cpu, self.record)
        await minion.open()
        self.minions.append(minion)
        return minion

    def owner_name(self) -> str:
        """Return the node whose process owns the jobs, as its row in the store says."""
        for (table, part, key), _row in self.store.rows.items():
            if table == "owners" and key == "owner" and part == SLICE:
                text = self.store.text(table, key, SLICE)
                if text:
                    return json.loads(text).get("member", "")
        return ""

    def owner(self) -> Node | None:
        """Return the node that owns the jobs."""
        name = self.owner_name()
        return next((node for node in self.nodes if node.name == name), None)

    async def until(self, check: Any, timeout_s: float, what: str) -> None:
        """Wait until a check holds.

        :raises CantRun: if it does not within the time.
        """
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            found = check()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return
            await asyncio.sleep(0.02)
        raise CantRun(f"{what}: not within {timeout_s:g} s")

    async def client(
        self,
        node: Node,
        method: str,
        path: str,
        data: dict[str, Any] | None = None,
        timeout_s: float = 3.0,
    ) -> tuple[int, dict[str, Any]]:
        """Send a client's request to a node."""
        answer = await call(node.front, method, path, data, HOST, timeout_s)
        self.record(
            "client", node=node.name, method=method, path=path, answer=list(answer)
        )
        return answer

    def close(self) -> None:
        """End all processes that the case started, and the stand-ins."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
        for node in self.nodes:
            if node.process is not None:
                node.process.wait(10)
        for minion in self.minions:
            minion.close()
        self.store.server.close()


class CantRun(Exception):
    """The case can't run; says nothing of the rule."""


def route(name: str, prefix: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "hostname": HOST,
        "pathPrefix": prefix,
        "kind": "unsafe",
        "timeoutMs": 3000,
        "sloMs": 1200,
        "priority": 1,
        "backend": POOL,
        "attempts": 3,
        "stretch": 2.2,
        **fields,
    }


def job_body(steps: list[dict[str, Any]], **behaviour: Any) -> dict[str, Any]:
    """Return the body of a submission.

    :param behaviour: tells the stand-ins for minions what the tasks do.
    """
    return {"spec": json.dumps(behaviour), "steps": steps}


def run_case(case: Any, nodes: int = 2) -> int:
    """Run a case; return 0 if the rule held, 1 if it was broken, 2 if it can't run.

    :param case: coroutine function of the cell and of whether to disrupt it; it returns
        what is wrong, empty if nothing is.
    """
    # A case that is ended by SIGTERM ends its processes, too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    folder = Path(sys.argv[1])
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    logs = os.environ.get("LOGS")
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        cell = Cell(record, Path(temporary), nodes)
        try:
            wrong = asyncio.run(_run(case, cell, trouble))
        except (Exception, KeyboardInterrupt) as error:
            # Whatever goes wrong in the case itself says nothing of the rule.
            record("cannot-run", why=repr(error))
            print(f"can't run: {error!r}")
            return 2
        finally:
            if logs:
                for path in Path(temporary).glob("*.log"):
                    Path(logs, path.name).write_bytes(path.read_bytes())
    record("verdict", wrong=wrong)
    print("\n".join(wrong) if wrong else "held")
    return 1 if wrong else 0


async def _run(case: Any, cell: Cell, trouble: bool) -> list[str]:
    try:
        async with asyncio.timeout(112):
            return await case(cell, trouble)
    except TimeoutError as error:
        raise CantRun("the case took too long") from error
    finally:
        cell.close()
        await asyncio.sleep(0.05)
