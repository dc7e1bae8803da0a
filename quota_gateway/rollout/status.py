"""The state of a rollout, as the command ``status`` prints it."""

from __future__ import annotations

import msgspec
from rich.table import Table

from quota_gateway.rollout.plan import Plan
from quota_gateway.rollout.rollout_state import RollbackResult, RolloutState


def target_standings(plan: Plan, state: RolloutState) -> dict[str, str]:
    """Each target's state in the rollout, by name."""
    standings = dict.fromkeys(plan.target_names(), "as before")
    standings |= dict.fromkeys(state.attempted_targets, "being changed")
    standings |= dict.fromkeys(state.changed_pids, "changed")
    confirmed_stages = state.started.stages[: state.stage] if state.started else []
    for targets in confirmed_stages:
        standings |= {name: "kept" for name in targets if name in state.changed_pids}
    for name, result in state.rollback_results.items():
        standings[name] = "back" if result is RollbackResult.DONE else "given up"
    return standings


def rollout_standing(state: RolloutState) -> str:
    """The rollout's state in a word or two, or its outcome."""
    if state.started is None:
        return "not begun"
    if state.outcome:
        return state.outcome
    if state.rollback_reason:
        return "going back"
    return "halted" if state.halt_reason else f"stage {state.stage}"


def status_json(plan: Plan, state: RolloutState) -> bytes:
    """The status as JSON, for scripts."""
    return msgspec.json.encode(
        {
            "rollout": plan.name,
            "state": rollout_standing(state),
            "why": state.halt_reason or state.rollback_reason,
            "stage": state.stage,
            "members": target_standings(plan, state),
        }
    )


def status_table(plan: Plan, state: RolloutState) -> Table:
    """The status as a table, for people."""
    reason = state.halt_reason or state.rollback_reason
    title = f"{plan.name}: {rollout_standing(state)}{f', {reason}' if reason else ''}"
    table = Table("member", "zone", "standing", title=title)
    standings = target_standings(plan, state)
    for target in plan.targets:
        table.add_row(target.name, target.zone, standings[target.name])
    return table
