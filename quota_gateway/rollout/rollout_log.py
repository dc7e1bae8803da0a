"""The controller's log: one line of JSON for each event, with its cause; see docs/on-call.md."""

from __future__ import annotations

import json
import logging
from typing import Any

from quota_gateway.rollout.canary_analysis import CanaryResult
from quota_gateway.rollout.journal_records import (
    BaselineMeasured,
    ControllerStarted,
    JournalRecord,
    RollbackStarted,
    RolloutEnded,
    RolloutHalted,
    RolloutResumed,
    RolloutStarted,
    StageConfirmed,
    StagePassed,
    TargetChanged,
    TargetChanging,
)

log = logging.getLogger("quota_gateway.rollout")


def log_record(record: JournalRecord) -> None:
    """Log a journal record, with its tag as the event; a baseline is not logged."""
    if isinstance(record, BaselineMeasured):
        return
    _log_event(str(record.__struct_config__.tag), **_record_fields(record))


def log_result(event: str, stage: int, result: CanaryResult) -> None:
    """Log why a stage does not pass, with the figures that the verdict rests on."""
    fields: dict[str, Any] = {"stage": stage, "why": result.reason}
    if result.evidence:
        fields["measure"] = result.evidence.measure
        fields["changed"] = result.evidence.canary
        fields["others"] = result.evidence.control
        fields["error"] = result.evidence.standard_error
    _log_event(event, **fields)


def log_target_reverted(target: str) -> None:
    """Log that a target has reverted the change by itself before it was confirmed."""
    _log_event("went back by itself", member=target)


def log_rollback_given_up(target: str, reason: str) -> None:
    """Log that a target could not be rolled back in time."""
    _log_event("given up", member=target, why=reason)


def _log_event(event: str, **fields: Any) -> None:
    log.info("%s", json.dumps({"event": event, **fields}))


def _record_fields(record: JournalRecord) -> dict[str, Any]:
    match record:
        case TargetChanging(target=target, rollback=rollback):
            return {"member": target, "back": True} if rollback else {"member": target}
        case TargetChanged(target=target, rollback=True, given_up=given_up):
            return {"member": target, "back": True, "given_up": given_up}
        case TargetChanged(target=target, pid=pid):
            return {"member": target, "pid": pid}
        case StagePassed(stage=stage, reason=reason):
            return {"stage": stage, "why": reason}
        case StageConfirmed(stage=stage):
            return {"stage": stage}
        case _:
            return _rollout_fields(record)


def _rollout_fields(record: JournalRecord) -> dict[str, Any]:
    """The log fields of a record about the rollout as a whole."""
    match record:
        case RolloutStarted():
            return {
                "plan": record.plan,
                "fingerprint": record.fingerprint,
                "stages": record.stages,
                "before": record.before,
                "after": record.after,
            }
        case RolloutHalted(reason=reason) | RollbackStarted(reason=reason):
            return {"why": reason}
        case RolloutEnded(outcome=outcome):
            return {"outcome": outcome}
        case ControllerStarted(token=token):
            return {"token": token}
        case RolloutResumed() | _:
            return {}
