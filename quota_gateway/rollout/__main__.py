"""The command line of the rollout: ``python -m quota_gateway.rollout start PLAN.toml``; see ``--help``."""

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
from quota_gateway.rollout.canary_simulation import CHANGE_EFFECTS
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
# The plan or the journal is unusable, the controller stopped, or no rollout runs that could take a command;
# nothing more is changed.
FAILED_EXIT_CODE = 2
OTHER_CONTROLLER_EXIT_CODE = 3
SIMULATION_TABLE_WIDTH = 110
PLAN_FILE = click.Path(path_type=Path)


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
    """Change the settings or the program of many gateways in stages; roll back when a stage does worse."""


@main.command()
@click.argument("file", type=PLAN_FILE)
def start(file: Path) -> None:
    """Run or continue the rollout of plan FILE.

    It continues from where its journal stands, and ends once the rollout is done or rolled back.

    Exit code 0: done; 1: rolled back; 2: the plan can't be carried out, or the controller was stopped, and
    nothing more is changed; 3: another controller runs this rollout, or the journal is unusable.
    """
    plan = _load_plan(file)
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(message)s")
    try:
        outcome = asyncio.run(_run_controller(plan))
    except PlanError as error:
        _fail(f"the plan can't be carried out, nothing more is changed: {error}")
    except (journal.JournalError, FencedError) as error:
        _fail(f"this controller can't run the rollout, or no longer may: {error}", OTHER_CONTROLLER_EXIT_CODE)
    except (KeyboardInterrupt, OSError) as error:
        _fail(f"controller stopped; start it again to continue from the journal: {error}")
    else:
        click.echo(outcome)
        sys.exit(DONE_EXIT_CODE if outcome == Outcome.DONE else ROLLED_BACK_EXIT_CODE)


async def _run_controller(plan: Plan) -> str:
    rollout_journal = journal.Journal(plan.path(plan.journal))
    try:
        return await Controller(plan, rollout_journal).run()
    finally:
        rollout_journal.close()


def _operator_command(command: OperatorCommand, help_text: str) -> click.Command:
    """A shell command that writes a command into the file that the running controller polls."""

    @click.argument("file", type=PLAN_FILE)
    def write(file: Path) -> None:
        plan = _load_plan(file)
        state = _read_state(plan)
        if state.outcome:
            _fail(f"the rollout has ended: {state.outcome}")
        if state.started is None:
            _fail("the rollout has not begun")
        OperatorCommandFile(plan).write(command)
        click.echo(f"{command}: written to the command file; the running controller carries it out")

    return click.command(command.value, help=help_text)(write)


main.add_command(
    _operator_command(
        OperatorCommand.PAUSE,
        "Halt the rollout of plan FILE. Members on trial keep the change on trial until `resume` or `back`.",
    )
)
main.add_command(
    _operator_command(
        OperatorCommand.RESUME,
        "Continue the halted rollout of plan FILE. The watch of its stage starts again from the beginning.",
    )
)
main.add_command(
    _operator_command(
        OperatorCommand.ROLL_BACK,
        "Roll back all changed members. The rollout of plan FILE then ends.",
    )
)


@main.command()
@click.argument("file", type=PLAN_FILE)
@click.option("--json", "as_json", is_flag=True, help="print JSON for scripts instead of a table")
def status(file: Path, as_json: bool) -> None:
    """Print the state of the rollout and its members.

    It is read from the journal of plan FILE; the members are not asked.
    """
    plan = _load_plan(file)
    state = _read_state(plan)
    if as_json:
        click.echo(status_json(plan, state))
    else:
        Console().print(status_table(plan, state))


@main.command()
@click.option(
    "--rollouts",
    default=2000,
    show_default=True,
    type=click.IntRange(1, 100_000),
    help="simulated rollouts for each effect",
)
@click.option(
    "--members",
    "targets",
    default=20,
    show_default=True,
    type=click.IntRange(4, 1000),
    help="members of each simulated rollout",
)
@click.option(
    "--rate",
    "requests_per_s",
    default=20.0,
    show_default=True,
    help="median of the members' requests per second",
)
@click.option(
    "--harm",
    "harms",
    multiple=True,
    type=click.Choice(list(CHANGE_EFFECTS)),
    help="what the simulated change does to changed members; repeatable; default: all",
)
def trial(rollouts: int, targets: int, requests_per_s: float, harms: tuple[str, ...]) -> None:
    """Simulate how reliably the analysis finds harm.

    Prints how often the canary analysis stops a harmless change, and how soon it stops a harmful one. The
    rollouts are simulated in virtual time, on all cores; no gateway is needed.
    """
    table = simulation_table(harms or tuple(CHANGE_EFFECTS), rollouts, targets, requests_per_s)
    Console(width=SIMULATION_TABLE_WIDTH).print(table)


@main.command(name="plan")
@click.argument("file", type=PLAN_FILE)
def show_plan(file: Path) -> None:
    """Print the stages of plan FILE; changes nothing."""
    plan = _load_plan(file)
    title = f"{plan.name}: {len(plan.targets)} members, at most {plan.max_concurrent} changed at a time"
    table = Table("stage", "members", title=title)
    for number, names in enumerate(plan.stages()):
        table.add_row(str(number), ", ".join(names))
    Console().print(table)


if __name__ == "__main__":
    main()
