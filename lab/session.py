"""``make cell``: runs a cell to try commands on, until Ctrl-C."""

from __future__ import annotations

import asyncio
import json
import signal

from lab.cell import OPERATOR_TOKEN, TOKEN_BY_TEAM, Cell


def write_objects(cell: Cell) -> None:
    """Write the object files of a cell into its folder ``objects``."""
    folder = cell.folder / "objects"
    folder.mkdir()
    for name, text in cell.sources().items():
        (folder / name).write_text(text)
    pools = json.loads((folder / "pools.jsonc").read_text())
    (folder / "pools.jsonc").write_text(json.dumps(pools, indent=2))


async def session() -> None:
    """Run a cell until SIGINT or SIGTERM, and print how to reach it."""
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
