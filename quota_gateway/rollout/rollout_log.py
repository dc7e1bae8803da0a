"""The controller's log: a line of JSON for each step, with its cause; see docs/on-call.md."""

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
    """Log a record under its tag; a baseline is not logged."""
    if isinstance(record, BaselineMeasured):
        return
    _log_event(str(record.__struct_config__.tag), **_facts(record))


def log_result(event: str, stage: int, result: CanaryResult) -> None:
    """Log why a stage does not pass, with the figures."""
    facts: dict[str, Any] = {"stage": stage, "why": result.reason}
    if result.evidence:
        facts["measure"] = result.evidence.measure
        facts["changed"] = result.evidence.judged
        facts["others"] = result.evidence.others
        facts["error"] = result.evidence.standard_error
    _log_event(event, **facts)


def log_target_reverted(target: str) -> None:
    """Log that a target did not keep the change."""
    _log_event("went back by itself", member=target)


def log_rollback_given_up(target: str, reason: str) -> None:
    """Log that a target could not be reached to roll it back."""
    _log_event("given up", member=target, why=reason)


def _log_event(event: str, **facts: Any) -> None:
    log.info("%s", json.dumps({"event": event, **facts}))


def _facts(record: JournalRecord) -> dict[str, Any]:
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
            return _facts_of_course(record)


def _facts_of_course(record: JournalRecord) -> dict[str, Any]:
    """The facts of records about the rollout as a whole."""
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
