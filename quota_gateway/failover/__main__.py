"""Command line of connection failover: ``python -m quota_gateway.failover model|run``; see ``--help``."""

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

EXIT_AS_EXPECTED = 0
EXIT_UNEXPECTED_RESULT = 1
EXIT_CANNOT_RUN = 2


@click.group()
def main() -> None:
    """Keep client connections open when the gateway process that serves them dies."""


@main.command()
@click.option(
    "--deaths",
    default=2,
    show_default=True,
    type=click.IntRange(0, 4),
    help="processes killed at most, gateways and supervisors",
)
@click.option(
    "--standbys",
    default=2,
    show_default=True,
    type=click.IntRange(1, 3),
    help="gateways that stand by for the serving one",
)
@click.option("--way", is_flag=True, help="print the steps that lead to each broken guarantee")
def model(deaths: int, standbys: int, way: bool) -> None:
    """Check the failover protocol with a model: without a fault, then with each planted fault.

    Every reachable state of the record, the claims and the delivery of answers is explored. Exit code 0: all
    guarantees hold without a fault, and each planted fault breaks one; 1: otherwise.
    """
    table = Table(
        "fault",
        "states",
        "depth",
        "seconds",
        "broken guarantee",
        title=f"{deaths} deaths, {standbys} standbys",
    )
    is_as_expected = True
    console = Console()
    for fault in ("", *FAULTS):
        started_at = time.monotonic()
        result = explore(fault, deaths, standbys)
        is_as_expected &= (result.broken is None) == (fault == "")
        broken_guarantee = result.broken.guarantee if result.broken else "none"
        table.add_row(
            FAULTS.get(fault, "none"),
            f"{result.states:,}",
            str(result.depth),
            f"{time.monotonic() - started_at:.1f}",
            broken_guarantee,
        )
        if way and result.broken:
            console.print(f"{FAULTS.get(fault, 'none')}: " + "; ".join(result.broken.trace))
    console.print(table)
    sys.exit(EXIT_AS_EXPECTED if is_as_expected else EXIT_UNEXPECTED_RESULT)


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
def run(file: Path) -> None:
    """Start gateways and supervise them until SIGTERM, as the TOML file FILE says.

    FILE sets the gateways' command, its folder, the supervisor's socket and the number of standbys.
    Exit code 2: the file cannot be read or is invalid, or another supervisor uses the socket.
    """
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(message)s")

    async def supervise(job: Job) -> None:
        await Supervisor(job).run()

    try:
        job = msgspec.convert(tomllib.loads(file.read_text()), Job)
        asyncio.run(supervise(job))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        click.echo(f"cannot run the supervisor that {file} describes: {error}", err=True)
        sys.exit(EXIT_CANNOT_RUN)


if __name__ == "__main__":
    main()
