"""Jobs that need advice, after half of the machines are lost for good."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import sys

from standins2.advice import Advice
from standins2.cell import FINISH_S, CantRun, Cell, job_body, route, run_case

JOB = "00000000000000a1"
NODES = 8
LOST_NODES = 4
TASKS = 4
WORK_S = 4.0
# As on the sheet's queue wall-replan.
DECIDE_MS = 420.0
EACH_MS = 6.1
VALID_MS = 2500.0
# Time from the loss of the machines to the client's request, and from there to the end.
LOST_S = 15.0
WATCH_S = 40.0
# How long a job may have nothing running while a task's turn has come.
IDLE_S = 3.0


async def case(cell: Cell, trouble: bool) -> list[str]:
    """Take half of the machines away, hand a job in later, and watch it."""
    advice = Advice(DECIDE_MS, EACH_MS, VALID_MS, cell.record)
    await advice.server.open()
    cell.advice_address = advice.server.address
    ports = sorted(node.peer_port for node in cell.nodes)
    for node, port in zip(cell.nodes, ports, strict=True):
        node.peer_port = port
    for number in range(24):
        await cell.add_minion(f"i-{number}")
    policy = {"decideMs": DECIDE_MS, "eachMs": EACH_MS, "validMs": VALID_MS}
    await cell.open([route("r-a", "/a/", priority=2, advice=policy)])
    await cell.until(cell.owner, 10, "an owner")
    await asyncio.sleep(5)
    with contextlib.ExitStack() as silent_hosts:
        if trouble:
            for node in cell.nodes[:LOST_NODES]:
                await _lose(node, silent_hosts)
        await asyncio.sleep(LOST_S)
        wrong = await _play(cell)
    advice.server.close()
    return wrong


async def _lose(node: object, silent_hosts: contextlib.ExitStack) -> None:
    """End a process for good; connections to it hang as to a machine without power."""
    node.send(signal.SIGKILL)
    await node.wait(3)
    host = silent_hosts.enter_context(socket.socket())
    host.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    host.bind(("127.0.0.1", node.peer_port))
    host.listen(64)
    node.cell.record("silent", node=node.name, peer_port=node.peer_port)


async def _play(cell: Cell) -> list[str]:
    """Hand a job in at a machine that is left, and return what is wrong with it."""
    node = cell.nodes[-1]
    step = {
        "taskCount": TASKS,
        "cpu": 5500,
        "memMb": 11000,
        "estRuntimeMs": int(WORK_S * 1000),
    }
    body = job_body([step], work_s=WORK_S)
    status, _ = await cell.client(node, "POST", f"/a/{JOB}", body)
    if status != 200:
        raise CantRun(f"POST was answered {status}")
    accepted_s = cell.record.now()
    while cell.record.now() - accepted_s < WATCH_S:
        await asyncio.sleep(1)
        if len(cell.record.find("end", how="done")) == TASKS:
            return []
    await cell.client(node, "GET", f"/a/{JOB}")
    waits_s = cell.record.now() - accepted_s
    if cell.record.find("start") or waits_s < FINISH_S + IDLE_S:
        return []
    return [
        f"LOST: {JOB} was accepted {waits_s:.1f} s ago by {node.name} and none of its "
        f"tasks has started; all 24 minions are idle, and the service for advice has "
        f"had {len(cell.record.find('advise'))} calls"
    ]


sys.exit(run_case(case, nodes=NODES))
