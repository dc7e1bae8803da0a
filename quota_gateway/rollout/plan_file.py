"""Reads a rollout plan from its TOML file, and checks what the types of its fields can't express."""

from __future__ import annotations

import re
import tomllib
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

import msgspec

from quota_gateway.rollout.plan import Plan, PlanError, ProgramChange
from quota_gateway.rollout.platform_commands import PlatformFields

ADMIN_ADDRESS = re.compile(r"[^\s:]+:\d{1,5}")


def load(path: Path) -> Plan:
    """Read and check a plan.

    Raises:
        PlanError: the file is not a valid plan; names the file, and the line or the path of the fault in it.
    """
    try:
        plan = msgspec.convert(tomllib.loads(path.read_text()), Plan)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise PlanError(f"{path}: {error}") from None
    plan = msgspec.structs.replace(plan, folder=str(path.resolve().parent))
    fault = _find_fault(plan)
    if fault:
        raise PlanError(f"{path}: {fault}")
    return plan


def _find_fault(plan: Plan) -> str:
    """The plan's first fault, with its path in the file; empty if there is none."""
    return (
        _targets_fault(plan)
        or _kind_fault(plan)
        or _stages_fault(plan)
        or _settings_fault(plan)
        or (_program_fault(plan, plan.program) if plan.program else "")
    )


def _targets_fault(plan: Plan) -> str:
    addresses = [
        address
        for target in plan.targets
        for address in (target.admin_address, target.next_admin_address)
        if address
    ]
    columns = (
        ("name", plan.target_names()),
        ("door", addresses),
        ("config", [target.config_file for target in plan.targets]),
    )
    for key, values in columns:
        duplicate = _first_duplicate(values)
        if duplicate is not None:
            return f"two members have {key} {duplicate!r} - at `$.members`"
    invalid = next((address for address in addresses if not ADMIN_ADDRESS.fullmatch(address)), None)
    return f"{invalid!r} is no door (admin address), want host:port - at `$.members`" if invalid else ""


def _first_duplicate(values: Sequence[str]) -> str | None:
    return next((value for value, count in Counter(values).items() if count > 1), None)


def _kind_fault(plan: Plan) -> str:
    if bool(plan.settings) == bool(plan.program):
        return "either settings or program has to be given, and only one of them - at `$`"
    return ""


def _stages_fault(plan: Plan) -> str:
    is_complete = plan.stage_sizes[-1:] in ((1.0,), (len(plan.targets),))
    if plan.stage_by == "share" and not is_complete:
        return "the last stage is not all members: it has to be 1.0 or their number - at `$.stages`"
    if plan.max_watch_s < plan.watch_s or plan.trial_s < plan.watch_s + plan.target_timeout_s:
        return "trial_s has to outlast member_s plus watch_s, and longest_watch_s watch_s - at `$.trial_s`"
    return ""


def _settings_fault(plan: Plan) -> str:
    if not _has_only_fields(plan.settings, ("name",)):
        return f"{plan.settings!r}: only {{name}} may stand in braces - at `$.settings`"
    return ""


def _program_fault(plan: Plan, change: ProgramChange) -> str:
    for target in plan.targets:
        if not target.next_admin_address or not target.runtime_folder:
            return f"{target.name} needs next_door and folder for a rollout of a program - at `$.members`"
    if bool(change.start) != bool(change.stop):
        return "start and stop have to be given together - at `$.program`"
    words = change.start + change.stop
    invalid = next((word for word in words if not _has_only_fields(word, PlatformFields._fields)), None)
    if invalid is not None:
        return f"{invalid!r}: only {', '.join(PlatformFields._fields)} may stand in braces - at `$.program`"
    return "" if change.before != change.after else "before and after are the same version - at `$.program`"


def _has_only_fields(text: str, fields: Sequence[str]) -> bool:
    """Whether a text has no fields in braces other than these."""
    try:
        text.format(**dict.fromkeys(fields, "x"))
    except (KeyError, IndexError, ValueError, AttributeError):  # other fields, positions, braces, attributes
        return False
    return True
