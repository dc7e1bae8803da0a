"""The state of a rollout, computed from the records of its journal."""

from __future__ import annotations

from enum import Enum

from quota_gateway.rollout.canary_analysis import Baseline
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
from quota_gateway.state_machine import Transitions, transition


class RolloutPhase(Enum):
    """What the controller is to do next."""

    NOT_STARTED = "not started"  # check everything that can be checked without changing a target
    MEASURING = "measuring"  # measure the stage's baseline
    CHANGING = "changing"  # change the stage's targets that are not changed yet
    WATCHING = "watching"  # watch the changed targets until the canary analysis has a verdict
    CONFIRMING = "confirming"  # make the change permanent at every target of the stage
    HALTED = "halted"  # wait until an operator resumes the rollout or rolls it back
    ROLLING_BACK = "rolling back"  # roll back all changed targets, the last changed one first
    COMPLETING = "completing"  # all stages are confirmed: record the end
    ENDED = "ended"


STAGE_PHASES = frozenset(
    {RolloutPhase.MEASURING, RolloutPhase.CHANGING, RolloutPhase.WATCHING, RolloutPhase.CONFIRMING}
)
INTERRUPTED_PHASES = frozenset({RolloutPhase.HALTED, RolloutPhase.ROLLING_BACK})

TRANSITIONS: Transitions[RolloutPhase] = {
    RolloutPhase.NOT_STARTED: frozenset({RolloutPhase.MEASURING}),
    RolloutPhase.MEASURING: INTERRUPTED_PHASES | {RolloutPhase.CHANGING},
    RolloutPhase.CHANGING: INTERRUPTED_PHASES | {RolloutPhase.WATCHING},
    RolloutPhase.WATCHING: INTERRUPTED_PHASES | {RolloutPhase.CONFIRMING},
    # To CHANGING: a target that has reverted by itself is changed again.
    RolloutPhase.CONFIRMING: INTERRUPTED_PHASES
    | {RolloutPhase.CHANGING, RolloutPhase.MEASURING, RolloutPhase.COMPLETING},
    RolloutPhase.HALTED: STAGE_PHASES | {RolloutPhase.ROLLING_BACK},
    RolloutPhase.ROLLING_BACK: frozenset({RolloutPhase.ENDED}),
    RolloutPhase.COMPLETING: frozenset({RolloutPhase.ENDED}),
    RolloutPhase.ENDED: frozenset(),
}


class RollbackResult(Enum):
    """How the rollback of a target ended."""

    DONE = "done"
    GIVEN_UP = "given up"  # the target could not be rolled back in time, as it stayed unreachable


class RolloutState:
    """The state of a rollout after a journal's records.

    Attributes:
        started: the record of the rollout's start; none before it.
        token: token of the last controller that has held the journal.
        stage: number of the current stage.
        attempted_targets: targets whose change was begun, in order.
        rollback_started: targets whose rollback was begun.
        changed_pids: targets that have the change, each with its process id.
        rollback_results: results of the rollbacks that have ended, by target.
        baselines: baselines by stage.
        passed_stage: the last stage that the canary analysis passed; none before the first.
        halt_reason: why the rollout is halted; empty if it is not.
        rollback_reason: why the rollout is rolled back; empty if it is not.
        outcome: how the rollout ended; empty before.
        history: all records, in order.
    """

    def __init__(self) -> None:
        self.started: RolloutStarted | None = None
        self.token = 0
        self.stage = 0
        self.attempted_targets: list[str] = []
        self.rollback_started: set[str] = set()
        self.changed_pids: dict[str, int] = {}
        self.rollback_results: dict[str, RollbackResult] = {}
        self.baselines: dict[int, Baseline] = {}
        self.passed_stage: int | None = None
        self.halt_reason = ""
        self.rollback_reason = ""
        self.outcome = ""
        self.history: list[JournalRecord] = []

    @property
    def phase(self) -> RolloutPhase:
        """What the controller is to do next."""
        if self.started is None:
            return RolloutPhase.NOT_STARTED
        if self.outcome:
            return RolloutPhase.ENDED
        if self.rollback_reason:
            return RolloutPhase.ROLLING_BACK
        if self.halt_reason:
            return RolloutPhase.HALTED
        if self.stage >= len(self.started.stages):
            return RolloutPhase.COMPLETING
        return self._stage_phase(self.started.stages[self.stage])

    def has_passed(self, stage: int) -> bool:
        """Whether the canary analysis has passed a stage."""
        return self.passed_stage is not None and self.passed_stage >= stage

    def _stage_phase(self, targets: list[str]) -> RolloutPhase:
        if self.stage not in self.baselines:
            return RolloutPhase.MEASURING
        if self.has_passed(self.stage):
            return RolloutPhase.CONFIRMING
        if any(name not in self.changed_pids for name in targets):
            return RolloutPhase.CHANGING
        return RolloutPhase.WATCHING

    def apply(self, record: JournalRecord) -> None:
        """Update the state by the next record.

        Raises:
            IllegalTransitionError: in tests, if the record leads to a phase that can't follow this one.
        """
        phase = self.phase
        self.history.append(record)
        self._apply(record)
        if self.phase is not phase:
            transition("rollout", TRANSITIONS, phase, self.phase)

    def _apply(self, record: JournalRecord) -> None:
        match record:
            case ControllerStarted(token=token):
                self.token = token
            case TargetChanging():
                self._apply_changing(record)
            case TargetChanged():
                self._apply_changed(record)
            case BaselineMeasured(stage=stage, baseline=baseline):
                self.baselines[stage] = baseline
            case StagePassed(stage=stage):
                self.passed_stage = stage
            case StageConfirmed(stage=stage):
                self.stage = stage + 1
            case _:
                self._apply_rollout_record(record)

    def _apply_rollout_record(self, record: JournalRecord) -> None:
        """Apply a record about the rollout as a whole."""
        match record:
            case RolloutStarted():
                self.started = record
            case RolloutHalted(reason=reason):
                self.halt_reason = reason
            case RolloutResumed():
                self.halt_reason = ""
            case RollbackStarted(reason=reason):
                self.rollback_reason = reason
                self.halt_reason = ""
            case RolloutEnded(outcome=outcome):
                self.outcome = outcome

    def _apply_changing(self, record: TargetChanging) -> None:
        if record.rollback:
            self.rollback_started.add(record.target)
            return
        if self.has_passed(self.stage):  # a target that is changed again has to be watched again
            self.passed_stage = self.stage - 1 if self.stage else None
        self.changed_pids.pop(record.target, None)
        if record.target not in self.attempted_targets:
            self.attempted_targets.append(record.target)

    def _apply_changed(self, record: TargetChanged) -> None:
        if record.rollback:
            result = RollbackResult.GIVEN_UP if record.given_up else RollbackResult.DONE
            self.rollback_results[record.target] = result
            self.changed_pids.pop(record.target, None)
        else:
            self.changed_pids[record.target] = record.pid
