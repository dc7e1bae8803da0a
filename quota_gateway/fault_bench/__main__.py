"""The command: ``python -m quota_gateway.fault_bench run SCENARIO.toml``; see ``--help``."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from collections import Counter
from pathlib import Path

import click
import msgspec
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from quota_gateway.compatibility import package_in
from quota_gateway.fault_bench.bench import FaultBench
from quota_gateway.fault_bench.history import read
from quota_gateway.fault_bench.processes import Program
from quota_gateway.fault_bench.referee import Verdict, judge
from quota_gateway.fault_bench.scenario import Scenario, load
from quota_gateway.fault_bench.timeline import Timeline
from quota_gateway.rollout.rollout_state import RolloutState
from quota_gateway.simulation.world import WorldError

KEPT = 0
BROKEN = 1
NO_RIG = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Result(msgspec.Struct, frozen=True):
    """A play: the referee's verdict, and what the clients measured (ms from the intended moment)."""

    verdict: Verdict
    latency_ms: dict[str, float]
    faults: list[str]  # of the play itself, sums or steps that were missed: then it counts for nothing
    no_gateway: int
    handshakes: int  # towards servers, all gateways
    discovery_calls: int
    rollouts: dict[str, str]  # what became of each


async def play(
    scenario: Scenario, folder: Path, seed: int, program: Program, following: Program, progress: Progress
) -> Result:
    """Start everything, run the timeline under load, judge. Raises RuntimeError, OSError, TimeoutError."""
    begun = progress.add_task("start", total=1)
    async with FaultBench(scenario, folder, seed, program) as bench:
        progress.update(begun, completed=1)
        shown = progress.add_task("play", total=scenario.world.seconds)
        timeline = Timeline(bench, following)
        timeline.start()
        asking = asyncio.get_running_loop().create_task(bench.load.run())
        try:
            start = bench.clock.now
            while not asking.done():
                progress.update(shown, completed=(bench.clock.now - start) / 1000.0)
                await asyncio.wait([asking], timeout=0.2)
            await asking
            await timeline.finish()
            await bench.load.finish()
        finally:
            asking.cancel()
            await timeline.close()
        verdict = bench.verdict()
        latency = bench.load.latency
        return Result(
            verdict,
            {f"{q:g}%": latency.get_value_at_percentile(q) / 1000.0 for q in QUANTILES},
            [*bench.sums(verdict), *timeline.missed],
            bench.load.no_gateway,
            sum(link.opened for name, link in bench.links.items() if ">s-" in name),
            bench.discovery.calls,
            {name: became(timeline.rollouts.state(name)) for name in timeline.controllers},
        )


def became(state: RolloutState) -> str:
    """A rollout in a line: its end, whom it touched, how long it took."""
    end = state.outcome or (f"halted: {state.halt_reason}" if state.halt_reason else "not ended")
    seconds = state.history[-1].at_s - state.started.at_s if state.started else 0.0
    why = f", {state.rollback_reason}" if state.rollback_reason else ""
    return f"{end}, {len(state.attempted_targets)} touched, {seconds:.1f} s{why}"


def table(result: Result, scenario: Scenario) -> Table:
    """One row a figure."""
    world = scenario.world
    verdict = result.verdict
    made = Table(title=f"{world.gateways} gateways, {world.machines.count} servers, {world.seconds:g} s")
    for name in ("figure", "value"):
        made.add_column(name, justify="left" if name == "figure" else "right")
    rows: list[tuple[str, object]] = [("asked", verdict.asked)]
    rows += Counter(verdict.outcomes).most_common()
    rows += [(f"excused by a fault: {name}", n) for name, n in sorted(verdict.excused.items())]
    rows += [(f"served within, {name}", f"{value:.1f} ms") for name, value in result.latency_ms.items()]
    rows += [
        ("attempts at servers", verdict.attempts),
        ("units beyond quotas", f"{verdict.beyond:g}"),
        ("handshakes with servers", result.handshakes),
        ("calls of discovery", result.discovery_calls),
        ("wishes that found no gateway", result.no_gateway),
        ("the rig late by", f"{verdict.late_ms:.0f} ms"),
    ]
    rows += [(f"rollout {name}", text) for name, text in result.rollouts.items()]
    rows += [(f"broken: {rule}", n) for rule, n in sorted(verdict.broken.items())]
    for name, value in rows:
        made.add_row(name, str(value))
    return made


@click.group()
def main() -> None:
    """Real gateways as processes, faults between them, and a referee who sees only what was seen outside."""


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0, 2**31))
@click.option("--gateways", type=click.IntRange(1, 50), help="in place of the file's number")
@click.option("--folder", type=click.Path(path_type=Path), help="keep history and logs in this new folder")
@click.option("--program", type=click.Path(path_type=Path), default=".", help="a tree of this repository")
@click.option(
    "--next",
    "following",
    type=click.Path(path_type=Path, exists=True, file_okay=False),
    help="another tree, for rollouts of the program; else this one from another folder",
)
@click.option("--json", "as_json", is_flag=True, help="the result as JSON")
def run(
    file: Path,
    seed: int,
    gateways: int | None,
    folder: Path | None,
    program: Path,
    following: Path | None,
    as_json: bool,
) -> None:
    """Play a scenario. Exit code 0: all rules kept; 1: one was broken; 2: no rig, or not the play."""
    console = Console(stderr=True)
    result = None
    try:
        scenario = load(file, gateways)
        if folder and folder.exists():
            raise RuntimeError(f"{folder}: is there already")
        with (
            tempfile.TemporaryDirectory(prefix="rig-") as scratch,
            Progress(console=console, transient=True) as progress,
        ):
            at = folder.resolve() if folder else Path(scratch)
            this = Program.of(program.resolve())
            next_one = Program.of(following.resolve()) if following else again(this, Path(scratch) / "next")
            result = asyncio.run(play(scenario, at, seed, this, next_one, progress))
    except KeyboardInterrupt:
        console.print("stopped", style="red")
    except (WorldError, OSError, RuntimeError, TimeoutError, KeyError, ValueError) as error:
        console.print(f"no rig: {error or type(error).__name__}", style="red", markup=False)
    if result is None:
        sys.exit(NO_RIG)
    report(result, scenario, as_json)
    sys.exit(NO_RIG if result.faults else KEPT if result.verdict.kept else BROKEN)


def again(program: Program, folder: Path) -> Program:
    """The same program from another folder."""
    folder.mkdir()
    for name in (package_in(program.folder), ".venv"):
        if (program.folder / name).exists():
            (folder / name).symlink_to(program.folder / name)
    return Program(folder, program.command)


def report(result: Result, scenario: Scenario, as_json: bool) -> None:
    """Print it."""
    if as_json:
        click.echo(msgspec.json.encode(result))
        return
    out = Console()
    out.print(table(result, scenario))
    for text in [f"broken: {told}" for told in result.verdict.told[:10]] + result.faults:
        out.print(text, style="red", markup=False)


@main.command(name="judge")
@click.argument("history", type=click.Path(path_type=Path))
def judge_file(history: Path) -> None:
    """Judge a history that was kept. Exit codes as of ``run``."""
    try:
        verdict = judge(read(history))
    except (OSError, ValueError, msgspec.MsgspecError) as error:
        click.echo(f"no history: {error}", err=True)
        sys.exit(NO_RIG)
    click.echo(msgspec.json.encode(verdict))
    sys.exit(KEPT if verdict.kept else BROKEN)


if __name__ == "__main__":
    main()
