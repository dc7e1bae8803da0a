"""The command: ``python -m quota_gateway.rollout start PLAN.toml``; see ``--help``."""

from __future__ import annotations

import asyncio
import logging
import sys
from pathlib import Path
from typing import NoReturn

import click
from rich.console import Console
from rich.table import Table

from quota_gateway.rollout import journal
from quota_gateway.rollout.admin_clients import FencedError
from quota_gateway.rollout.canary_simulation import HARMS
from quota_gateway.rollout.controller import Controller
from quota_gateway.rollout.journal_records import Outcome
from quota_gateway.rollout.operator_commands import OperatorCommand, OperatorCommandFile
from quota_gateway.rollout.plan import Plan, PlanError
from quota_gateway.rollout.plan_file import load
from quota_gateway.rollout.rollout_state import RolloutState
from quota_gateway.rollout.simulation_table import simulation_table
from quota_gateway.rollout.status import status_json, status_table

DONE_EXIT_CODE = 0
ROLLED_BACK_EXIT_CODE = 1
FAILED_EXIT_CODE = 2  # no plan, or nothing more touched
OTHER_CONTROLLER_EXIT_CODE = 3
SIMULATION_TABLE_WIDTH = 110
PlanFile = click.Path(path_type=Path)


def _fail(message: str, exit_code: int = FAILED_EXIT_CODE) -> NoReturn:
    click.echo(message, err=True)
    sys.exit(exit_code)


def _load_plan(file: Path) -> Plan:
    try:
        return load(file)
    except PlanError as error:
        _fail(str(error))


def _read_state(plan: Plan) -> RolloutState:
    try:
        return journal.read(plan.path(plan.journal))
    except FileNotFoundError:
        return RolloutState()
    except (OSError, journal.JournalError) as error:
        _fail(str(error))


@click.group()
def main() -> None:
    """Change the settings of many gateways in stages; back by itself when a stage does worse."""


@main.command()
@click.argument("file", type=PlanFile)
def start(file: Path) -> None:
    """Begin, or go on from where the journal stands, until it is done or back.

    Exit code 0: done; 1: back; 2: no plan, nothing touched; 3: another controller has it.
    """
    plan = _load_plan(file)
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(message)s")
    try:
        outcome = asyncio.run(_run_controller(plan))
    except PlanError as error:
        _fail(f"refused, nothing more is touched: {error}")
    except (journal.JournalError, FencedError) as error:
        _fail(f"another controller has it: {error}", OTHER_CONTROLLER_EXIT_CODE)
    except (KeyboardInterrupt, OSError) as error:
        _fail(f"stopped, the journal says where: {error}")
    else:
        click.echo(outcome)
        sys.exit(DONE_EXIT_CODE if outcome == Outcome.DONE else ROLLED_BACK_EXIT_CODE)


async def _run_controller(plan: Plan) -> str:
    held = journal.Journal(plan.path(plan.journal))
    try:
        return await Controller(plan, held).run()
    finally:
        held.close()


def _operator_command(command: OperatorCommand, help_text: str) -> click.Command:
    """A shell command that leaves a command for the running controller."""

    @click.argument("file", type=PlanFile)
    def leave(file: Path) -> None:
        plan = _load_plan(file)
        state = _read_state(plan)
        if state.outcome:
            _fail(f"over: {state.outcome}")
        if state.started is None:
            _fail("nothing is being rolled out")
        OperatorCommandFile(plan).leave(command)
        click.echo(f"{command}: left for the controller")

    return click.command(command.value, help=help_text)(leave)


main.add_command(
    _operator_command(OperatorCommand.PAUSE, "Stop where it is; what is on trial stays on trial.")
)
main.add_command(_operator_command(OperatorCommand.RESUME, "Go on after a halt; the stage is watched anew."))
main.add_command(_operator_command(OperatorCommand.ROLL_BACK, "All that was changed goes back."))


@main.command()
@click.argument("file", type=PlanFile)
@click.option("--json", "as_json", is_flag=True)
def status(file: Path, as_json: bool) -> None:
    """Where it stands, by member."""
    plan = _load_plan(file)
    state = _read_state(plan)
    if as_json:
        click.echo(status_json(plan, state))
    else:
        Console().print(status_table(plan, state))


@main.command()
@click.option("--rollouts", default=2000, show_default=True, type=click.IntRange(1, 100_000))
@click.option("--members", "targets", default=20, show_default=True, type=click.IntRange(4, 1000))
@click.option(
    "--rate", "requests_per_s", default=20.0, show_default=True, help="requests a second and member"
)
@click.option(
    "--harm", "harms", multiple=True, type=click.Choice(list(HARMS)), help="repeatable; default: all"
)
def trial(rollouts: int, targets: int, requests_per_s: float, harms: tuple[str, ...]) -> None:
    """How often the judge stops for nothing, and how soon it finds harm: in virtual time, all cores."""
    table = simulation_table(harms or tuple(HARMS), rollouts, targets, requests_per_s)
    Console(width=SIMULATION_TABLE_WIDTH).print(table)


@main.command(name="plan")
@click.argument("file", type=PlanFile)
def show_plan(file: Path) -> None:
    """The stages, without touching anything."""
    plan = _load_plan(file)
    title = f"{plan.name}: {len(plan.targets)} members, {plan.max_concurrent} at once"
    table = Table("stage", "members", title=title)
    for number, names in enumerate(plan.stages()):
        table.add_row(str(number), ", ".join(names))
    Console().print(table)


if __name__ == "__main__":
    main()
