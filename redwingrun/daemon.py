"""Command line entry point that both daemons share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import typer

from redwingrun.config import Settings, load_settings
from redwingrun.errors import RedwingrunError
from redwingrun.node import Node

EXIT_NOT_STARTED = 2


def daemon_main(name: str, create_node: Callable[[Settings], Node]) -> None:
    """Parse the command line of a daemon and run it until SIGTERM.

    :param name: name of the program.
    :param create_node: creates the daemon from its settings.
    """

    def command(
        settings: Path = typer.Argument(help="settings file, JSON with comments"),  # noqa: B008
    ) -> None:
        try:
            loaded = load_settings(settings)
            asyncio.run(_run(create_node, loaded))
        except RedwingrunError as error:
            typer.echo(str(error), err=True)
            raise typer.Exit(EXIT_NOT_STARTED) from error
        except OSError as error:
            typer.echo(
                f"{name}: not started with {settings}: {error.strerror or error}",
                err=True,
            )
            raise typer.Exit(EXIT_NOT_STARTED) from error

    command.__doc__ = f"Run {name}. Example: {name} /etc/redwingrun/{name}.jsonc"
    typer.run(command)


async def _run(create_node: Callable[[Settings], Node], settings: Settings) -> None:
    node = create_node(settings)
    node.log.open()
    await node.run()
