"""A cell to try commands on: ``make cell``; stops at Ctrl-C."""

from __future__ import annotations

import asyncio
import json
import signal

from lab.cell import OPERATOR_TOKEN, TOKEN_BY_TEAM, Cell


def write_objects(cell: Cell) -> None:
    """Write the object files of a cell next to its settings."""
    folder = cell.folder / "objects"
    folder.mkdir()
    for name, text in cell.sources().items():
        (folder / name).write_text(text)
    plain = json.loads((folder / "pools.jsonc").read_text())
    (folder / "pools.jsonc").write_text(json.dumps(plain, indent=2))


async def session() -> None:
    """Run a cell and say how to reach it, until it is interrupted."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    async with Cell() as cell:
        write_objects(cell)
        lines = [
            f"cd {cell.folder}",
            f"export REDWINGRUN_SERVER={cell.hosts[0].url}",
            f"export REDWINGRUN_TOKEN={OPERATOR_TOKEN}  # an operator",
        ]
        for team, token in TOKEN_BY_TEAM.items():
            lines.append(f"#   REDWINGRUN_TOKEN={token}  # {team}")
        print("\n".join(lines), flush=True)
        await stop.wait()


if __name__ == "__main__":
    asyncio.run(session())
