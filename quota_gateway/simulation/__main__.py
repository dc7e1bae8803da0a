"""The command: ``python -m quota_gateway.simulation run WORLD.toml``; see ``--help``."""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from statistics import mean, stdev

import click
import msgspec
from rich.console import Console
from rich.progress import track
from rich.table import Table

from quota_gateway import Gateway
from quota_gateway.simulation.baselines import BASELINES
from quota_gateway.simulation.day import Day, Result
from quota_gateway.simulation.world import World, WorldError, load


def play(world: World, seed: int, policy: str) -> Result:
    """One day; a process of its own may play it."""
    return Day(world, seed, BASELINES.get(policy, Gateway)).run()


def table(results: list[Result]) -> Table:
    """The ledger over all days: the mean share of the worth offered, and its spread from day to day."""
    made = Table(title=f"{len(results)} days, {sum(r.requests for r in results)} requests")
    for name in ("line", "share of worth", "spread"):
        made.add_column(name, justify="left" if name == "line" else "right")
    lines = {line for result in results for line in result.ledger}
    shares = {line: [r.ledger.get(line, 0) / max(1, r.offered) for r in results] for line in lines}
    for line in sorted(lines, key=lambda name: -mean(shares[name])):
        spread = stdev(shares[line]) if len(results) > 1 else 0.0
        made.add_row(line, f"{mean(shares[line]):.4f}", f"{spread:.4f}")
    return made


@click.group()
def main() -> None:
    """A model of the fleet: days in virtual time, judged by the rules, with a ledger of worth."""


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--seed", default=1, show_default=True, help="the first day's")
@click.option("--seeds", default=1, show_default=True, type=click.IntRange(1, 1000), help="days, all cores")
@click.option("--policy", type=click.Choice(["gateway", *BASELINES]), default="gateway", show_default=True)
@click.option("--json", "sink", type=click.Path(path_type=Path), help="a line of JSON for each day")
def run(file: Path, seed: int, seeds: int, policy: str, sink: Path | None) -> None:
    """Play days of a world. Exit code 0: no rule broken; 1: some were; 2: the file is no world."""
    console = Console(stderr=True)
    try:
        world = load(file)
    except WorldError as error:
        console.print(str(error), style="red", markup=False)
        sys.exit(2)
    numbers = range(seed, seed + seeds)
    if seeds == 1:
        results = [play(world, seed, policy)]
    else:
        with ProcessPoolExecutor() as pool:
            todo = [pool.submit(play, world, number, policy) for number in numbers]
            done = track(as_completed(todo), "days", total=seeds, console=console, transient=True)
            results = sorted((future.result() for future in done), key=lambda result: result.seed)
    if sink:
        sink.write_bytes(b"".join(msgspec.json.encode(result) + b"\n" for result in results))
    out = Console()
    out.print(table(results))
    broken = [text for result in results for text in result.told]
    for text in broken[:10]:
        out.print(f"broken: {text}", style="red", markup=False)
    sys.exit(1 if any(result.broken for result in results) else 0)


if __name__ == "__main__":
    main()
