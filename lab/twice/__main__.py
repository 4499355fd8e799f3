"""Plays one scenario: ``python -m lab.twice --seed N [--mutation NAME]``."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Annotated

import typer

from lab.twice.mutations import MUTATIONS
from lab.twice.scenario import run_scenario

MAX_PRINTED = 20
EXIT_VIOLATIONS = 1
EXIT_UNFINISHED = 2


def main(
    seed: Annotated[int, typer.Option(help="Selects the faults and the jobs.")],
    seconds: Annotated[float, typer.Option(help="How long faults begin.")] = 30.0,
    mutation: Annotated[str, typer.Option(help="The mend to take out.")] = "",
    owner_faults: Annotated[bool, typer.Option(help="Stop and kill the owner.")] = True,
    keep: Annotated[Path | None, typer.Option(help="Folder for the logs.")] = None,
) -> None:
    """Play a scenario; exit with 1 if TWICE is broken, 2 if a job is not completed."""
    if mutation and mutation not in MUTATIONS:
        raise typer.BadParameter(f"not one of {', '.join(MUTATIONS)}")
    result = asyncio.run(run_scenario(seed, seconds, mutation, keep, owner_faults))
    for line in result.violations[:MAX_PRINTED]:
        print(f"TWICE: {line}")
    print(
        f"seed {seed}, {mutation or 'no mutation'}:"
        f" {len(result.violations)} violations;"
        f" events {dict(result.count_by_kind)};"
        f" jobs not completed {result.state_by_job}, refused {result.refused_jobs}"
    )
    if result.violations:
        raise typer.Exit(EXIT_VIOLATIONS)
    if result.state_by_job:
        raise typer.Exit(EXIT_UNFINISHED)


if __name__ == "__main__":
    typer.run(main)
