"""Starting a daemon from its settings file."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import typer

from redwingrun.config import Settings, load_settings
from redwingrun.errors import RedwingrunError
from redwingrun.node import Node

SETTINGS_EXIT = 2


def daemon_main(name: str, make: Callable[[Settings], Node]) -> None:
    """Parse the command line of a daemon and run it until SIGTERM."""

    def command(
        settings: Path = typer.Argument(help="settings file, JSON with comments"),  # noqa: B008
    ) -> None:
        try:
            checked = load_settings(settings)
            asyncio.run(_run(make, checked))
        except RedwingrunError as error:
            typer.echo(str(error), err=True)
            raise typer.Exit(SETTINGS_EXIT) from error
        except OSError as error:
            typer.echo(f"{name}: {settings}: {error.strerror or error}", err=True)
            raise typer.Exit(SETTINGS_EXIT) from error

    command.__doc__ = f"Run {name}. Example: {name} /etc/redwingrun/{name}.jsonc"
    typer.run(command)


async def _run(make: Callable[[Settings], Node], settings: Settings) -> None:
    node = make(settings)
    node.log.open()
    await node.run()
