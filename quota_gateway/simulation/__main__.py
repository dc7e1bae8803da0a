"""The command line: ``python -m quota_gateway.simulation run WORLD.toml``; see ``--help``."""

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
from quota_gateway.simulation.simulation_run import Result, SimulationRun
from quota_gateway.simulation.world import World, WorldError, load


def simulate(world: World, seed: int, policy: str) -> Result:
    """Simulate a world with one seed; may run in a process of its own."""
    return SimulationRun(world, seed, BASELINES.get(policy, Gateway)).run()


def value_table(results: list[Result]) -> Table:
    """Each outcome's mean share of the offered value, and the standard deviation between runs."""
    table = Table(title=f"{len(results)} runs, {sum(r.requests for r in results)} requests")
    for name in ("outcome", "share of offered value", "standard deviation"):
        table.add_column(name, justify="left" if name == "outcome" else "right")
    outcomes = {outcome for result in results for outcome in result.value_by_outcome}
    shares = {
        outcome: [r.value_by_outcome.get(outcome, 0) / max(1, r.offered) for r in results]
        for outcome in outcomes
    }
    for outcome in sorted(outcomes, key=lambda name: -mean(shares[name])):
        deviation = stdev(shares[outcome]) if len(results) > 1 else 0.0
        table.add_row(outcome, f"{mean(shares[outcome]):.4f}", f"{deviation:.4f}")
    return table


@click.group()
def main() -> None:
    """Simulate gateways in virtual time, check the platform's rules, and show where value is lost."""


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--seed", default=1, show_default=True, help="random seed of the first run")
@click.option(
    "--seeds",
    default=1,
    show_default=True,
    type=click.IntRange(1, 1000),
    help="number of runs, each with the next seed; several runs use all cores",
)
@click.option(
    "--policy",
    type=click.Choice(["gateway", *BASELINES]),
    default="gateway",
    show_default=True,
    help="policy to simulate: the gateway's, or a baseline to compare it with",
)
@click.option(
    "--json",
    "output",
    type=click.Path(path_type=Path),
    help="write the results to this file, one line of JSON for each run",
)
def run(file: Path, seed: int, seeds: int, policy: str, output: Path | None) -> None:
    """Simulate the world that FILE describes.

    Exit code 0: no rule was broken; 1: a rule was broken; 2: FILE is not a valid world file.
    """
    console = Console(stderr=True)
    try:
        world = load(file)
    except WorldError as error:
        console.print(str(error), style="red", markup=False)
        sys.exit(2)
    run_seeds = range(seed, seed + seeds)
    if seeds == 1:
        results = [simulate(world, seed, policy)]
    else:
        with ProcessPoolExecutor() as pool:
            futures = [pool.submit(simulate, world, run_seed, policy) for run_seed in run_seeds]
            completed = track(as_completed(futures), "runs", total=seeds, console=console, transient=True)
            results = sorted((future.result() for future in completed), key=lambda result: result.seed)
    if output:
        output.write_bytes(b"".join(msgspec.json.encode(result) + b"\n" for result in results))
    out = Console()
    out.print(value_table(results))
    messages = [message for result in results for message in result.breach_messages]
    for message in messages[:10]:
        out.print(f"rule broken: {message}", style="red", markup=False)
    sys.exit(1 if any(result.broken for result in results) else 0)


if __name__ == "__main__":
    main()
