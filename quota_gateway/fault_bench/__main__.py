"""The command line of the fault bench: runs a scenario against real gateways, or judges a stored history.

For instance ``python -m quota_gateway.fault_bench run SCENARIO.toml``; ``--help`` lists the options.
"""

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
from quota_gateway.fault_bench.history import read_history
from quota_gateway.fault_bench.processes import Program
from quota_gateway.fault_bench.referee import Verdict, judge
from quota_gateway.fault_bench.scenario import Scenario, load_scenario
from quota_gateway.fault_bench.timeline import Timeline
from quota_gateway.rollout.rollout_state import RolloutState
from quota_gateway.simulation.world import WorldError

EXIT_RULES_KEPT = 0
EXIT_RULE_BROKEN = 1
EXIT_NO_VALID_RUN = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Result(msgspec.Struct, frozen=True):
    """The result of a run: the referee's verdict, and what the bench measured.

    ``latency_ms``: of served requests, by percentile, from the moment when each was intended to be sent.
    """

    verdict: Verdict
    latency_ms: dict[str, float]
    faults: list[str]  # of the run itself: counts that differ, missed steps; any fault makes it invalid
    no_gateway: int  # operations that found no gateway ready
    handshakes: int  # of all gateways with servers
    discovery_calls: int
    rollouts: dict[str, str]  # by name: a summary of each


async def run_scenario(
    scenario: Scenario, folder: Path, seed: int, program: Program, next_program: Program, progress: Progress
) -> Result:
    """Start all processes, run the timeline under load, and judge the history.

    Raises RuntimeError, OSError or TimeoutError where the bench can't be started or used.
    """
    start_task = progress.add_task("start", total=1)
    async with FaultBench(scenario, folder, seed, program) as bench:
        progress.update(start_task, completed=1)
        run_task = progress.add_task("play", total=scenario.world.seconds)
        timeline = Timeline(bench, next_program)
        timeline.start()
        load_task = asyncio.get_running_loop().create_task(bench.load.run())
        try:
            start = bench.clock.now
            while not load_task.done():
                progress.update(run_task, completed=(bench.clock.now - start) / 1000.0)
                await asyncio.wait([load_task], timeout=0.2)
            await load_task
            await timeline.finish()
            await bench.load.finish()
        finally:
            load_task.cancel()
            await timeline.close()
        verdict = bench.verdict()
        latency = bench.load.latency
        return Result(
            verdict,
            {
                f"{percentile:g}%": latency.get_value_at_percentile(percentile) / 1000.0
                for percentile in PERCENTILES
            },
            [*bench.count_mismatches(verdict), *timeline.missed],
            bench.load.no_gateway,
            sum(link.opened for name, link in bench.links.items() if ">s-" in name),
            bench.discovery.calls,
            {name: rollout_summary(timeline.rollouts.state(name)) for name in timeline.rollout_tasks},
        )


def rollout_summary(state: RolloutState) -> str:
    """A rollout in one line: how it ended, how many targets it attempted to change, how long it took."""
    end = state.outcome or (f"halted: {state.halt_reason}" if state.halt_reason else "not ended")
    seconds = state.history[-1].at_s - state.started.at_s if state.started else 0.0
    reason = f", {state.rollback_reason}" if state.rollback_reason else ""
    return f"{end}, {len(state.attempted_targets)} touched, {seconds:.1f} s{reason}"


def result_table(result: Result, scenario: Scenario) -> Table:
    """A table of the result, with one row per figure."""
    world = scenario.world
    verdict = result.verdict
    table = Table(title=f"{world.gateways} gateways, {world.machines.count} servers, {world.seconds:g} s")
    for name in ("figure", "value"):
        table.add_column(name, justify="left" if name == "figure" else "right")
    rows: list[tuple[str, object]] = [("asked", verdict.requests_total)]
    rows += Counter(verdict.outcomes).most_common()
    rows += [(f"excused by a fault: {name}", n) for name, n in sorted(verdict.excused.items())]
    rows += [
        (f"latency of served requests, {name}", f"{value:.1f} ms")
        for name, value in result.latency_ms.items()
    ]
    rows += [
        ("attempts at servers", verdict.attempts),
        ("units forwarded beyond quotas", f"{verdict.beyond_quota_units:g}"),
        ("handshakes with servers", result.handshakes),
        ("calls to discovery", result.discovery_calls),
        ("operations that found no gateway ready", result.no_gateway),
        ("largest delay of the bench's event loop", f"{verdict.max_loop_delay_ms:.0f} ms"),
    ]
    rows += [(f"rollout {name}", text) for name, text in result.rollouts.items()]
    rows += [(f"rule broken: {rule}", n) for rule, n in sorted(verdict.broken.items())]
    for name, value in rows:
        table.add_row(name, str(value))
    return table


@click.group()
def main() -> None:
    """Run real gateways under load and faults, and check from outside that they keep the platform's rules."""


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--seed",
    default=1,
    show_default=True,
    type=click.IntRange(0, 2**31),
    help="seed of the random numbers for load, servers and faults",
)
@click.option("--gateways", type=click.IntRange(1, 50), help="number of gateways, instead of the file's")
@click.option(
    "--folder",
    type=click.Path(path_type=Path),
    help="folder to create for history and logs; without it they are deleted",
)
@click.option(
    "--program",
    type=click.Path(path_type=Path),
    default=".",
    help="source tree of the gateways to run; default: the working directory",
)
@click.option(
    "--next",
    "next_folder",
    type=click.Path(path_type=Path, exists=True, file_okay=False),
    help="source tree that program rollouts install; default: the same program in another folder",
)
@click.option("--json", "as_json", is_flag=True, help="print the result as JSON instead of a table")
def run(
    file: Path,
    seed: int,
    gateways: int | None,
    folder: Path | None,
    program: Path,
    next_folder: Path | None,
    as_json: bool,
) -> None:
    """Run the scenario FILE and print its result.

    Exit code 0: all rules were kept; 1: a rule was broken; 2: there is no result, or it is invalid.
    """
    console = Console(stderr=True)
    result = None
    try:
        scenario = load_scenario(file, gateways)
        if folder and folder.exists():
            raise RuntimeError(f"{folder}: already exists, --folder needs a new one")
        with (
            tempfile.TemporaryDirectory(prefix="rig-") as scratch,
            Progress(console=console, transient=True) as progress,
        ):
            bench_folder = folder.resolve() if folder else Path(scratch)
            first_program = Program.of(program.resolve())
            next_program = (
                Program.of(next_folder.resolve())
                if next_folder
                else linked_copy(first_program, Path(scratch) / "next")
            )
            result = asyncio.run(
                run_scenario(scenario, bench_folder, seed, first_program, next_program, progress)
            )
    except KeyboardInterrupt:
        console.print("interrupted; the run has no result", style="red")
    except (WorldError, OSError, RuntimeError, TimeoutError, KeyError, ValueError) as error:
        console.print(
            f"the scenario could not be run: {error or type(error).__name__}", style="red", markup=False
        )
    if result is None:
        sys.exit(EXIT_NO_VALID_RUN)
    print_result(result, scenario, as_json)
    sys.exit(
        EXIT_NO_VALID_RUN
        if result.faults
        else EXIT_RULES_KEPT
        if result.verdict.all_rules_kept
        else EXIT_RULE_BROKEN
    )


def linked_copy(program: Program, folder: Path) -> Program:
    """The same program in a new folder, by symbolic links."""
    folder.mkdir()
    for name in (package_in(program.folder), ".venv"):
        if (program.folder / name).exists():
            (folder / name).symlink_to(program.folder / name)
    return Program(folder, program.command)


def print_result(result: Result, scenario: Scenario, as_json: bool) -> None:
    """Print a result as JSON, or as a table with the first breaches and the faults of the run."""
    if as_json:
        click.echo(msgspec.json.encode(result))
        return
    out = Console()
    out.print(result_table(result, scenario))
    for text in [f"rule broken: {breach}" for breach in result.verdict.breaches[:10]] + result.faults:
        out.print(text, style="red", markup=False)


@main.command(name="judge")
@click.argument("history", type=click.Path(path_type=Path))
def judge_file(history: Path) -> None:
    """Judge the stored file HISTORY and print the verdict as JSON. The exit codes are those of ``run``."""
    try:
        verdict = judge(read_history(history))
    except (OSError, ValueError, msgspec.MsgspecError) as error:
        click.echo(f"{history}: can't be judged: {error}", err=True)
        sys.exit(EXIT_NO_VALID_RUN)
    click.echo(msgspec.json.encode(verdict))
    sys.exit(EXIT_RULES_KEPT if verdict.all_rules_kept else EXIT_RULE_BROKEN)


if __name__ == "__main__":
    main()
