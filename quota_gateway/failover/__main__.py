"""The command: ``python -m quota_gateway.failover model``; see ``--help``."""

from __future__ import annotations

import asyncio
import logging
import sys
import time
import tomllib
from pathlib import Path

import click
import msgspec
from rich.console import Console
from rich.table import Table

from quota_gateway.failover.model import FAULTS, explore
from quota_gateway.failover.supervisor import Job, Supervisor

HOLDS = 0
BROKEN = 1
NO_JOB = 2


@click.group()
def main() -> None:
    """Connections that outlive their gateway's process."""


@main.command()
@click.option("--deaths", default=2, show_default=True, type=click.IntRange(0, 4))
@click.option("--standbys", default=2, show_default=True, type=click.IntRange(1, 3))
@click.option("--way", is_flag=True, help="print the way to each broken guarantee")
def model(deaths: int, standbys: int, way: bool) -> None:
    """Explore record, claim and delivery to the end, as they are and with each planted fault.

    Exit code 0: all holds, and each fault is found; 1: not.
    """
    table = Table("fault", "states", "depth", "s", "finds", title=f"{deaths} deaths, {standbys} standbys")
    good = True
    out = Console()
    for fault in ("", *FAULTS):
        begun = time.monotonic()
        result = explore(fault, deaths, standbys)
        good &= (result.broken is None) == (fault == "")
        found = result.broken.rule if result.broken else "nothing"
        table.add_row(
            FAULTS.get(fault, "none"),
            f"{result.states:,}",
            str(result.depth),
            f"{time.monotonic() - begun:.1f}",
            found,
        )
        if way and result.broken:
            out.print(f"{FAULTS.get(fault, 'none')}: " + "; ".join(result.broken.way))
    out.print(table)
    sys.exit(HOLDS if good else BROKEN)


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
def run(file: Path) -> None:
    """Supervise gateways as a TOML file says, until SIGTERM. Exit code 2: no such file, or one runs there."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(message)s")

    async def supervise(job: Job) -> None:
        await Supervisor(job).run()

    try:
        job = msgspec.convert(tomllib.loads(file.read_text()), Job)
        asyncio.run(supervise(job))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        click.echo(f"{file}: {error}", err=True)
        sys.exit(NO_JOB)


if __name__ == "__main__":
    main()
