"""The records of a rollout's journal. Tags and keys in the stored JSON are the same in all versions."""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct

from quota_gateway.rollout.canary_analysis import Baseline


class Record(Struct, tag_field="is", frozen=True, omit_defaults=True, rename={"at_s": "at"}):
    """An event of the rollout, with its Unix time in seconds."""

    at_s: float


class RolloutStarted(Record, tag="begun", frozen=True):
    """All checks have passed; the first record apart from `ControllerStarted`.

    Attributes:
        plan: the plan's name.
        fingerprint: the plan's fingerprint.
        stages: names of the targets, by stage.
        before: by target, the digest of its configuration file, or the admin address of its process.
        after: the same, as it is to be after the rollout.
    """

    plan: str
    fingerprint: str
    stages: list[list[str]]
    before: dict[str, str]
    after: dict[str, str]


class ControllerStarted(Record, tag="held", frozen=True):
    """A controller holds the journal from here on; its token is above those of all controllers before it."""

    token: int


class BaselineMeasured(Record, tag="baseline", frozen=True, rename={"baseline": "measured"}):
    """The figures of all targets before a stage, which the canary analysis compares with."""

    stage: int
    baseline: Baseline


class TargetChanging(Record, tag="changing", frozen=True, rename={"target": "member", "rollback": "back"}):
    """The change of a target, or its rollback, is about to begin."""

    target: str
    rollback: bool = False


class TargetChanged(Record, tag="changed", frozen=True, rename={"target": "member", "rollback": "back"}):
    """A target is changed and runs as the process ``pid``, or is rolled back, or its rollback was given up.

    Also written for a target that is changed already and has restarted, when an operator resumes the rollout.
    """

    target: str
    rollback: bool = False
    given_up: bool = False
    pid: int = 0


class StagePassed(Record, tag="judged", frozen=True, rename={"reason": "why"}):
    """The canary analysis passed a stage; its targets are about to be confirmed."""

    stage: int
    reason: str


class StageConfirmed(Record, tag="confirmed", frozen=True):
    """The change is permanent at all targets of a stage."""

    stage: int


class RolloutHalted(Record, tag="halted", frozen=True, rename={"reason": "why"}):
    """The rollout waits until an operator resumes it or rolls it back."""

    reason: str


class RolloutResumed(Record, tag="resumed", frozen=True):
    """The rollout continues after a halt; the watch of its stage starts again from the beginning."""


class RollbackStarted(Record, tag="turned", frozen=True, rename={"reason": "why"}):
    """The rollback of all changed targets begins."""

    reason: str


class Outcome(StrEnum):
    """How a rollout ends; the values are stored in journals and printed."""

    DONE = "done"
    ROLLED_BACK = "back"  # followed by the targets that were given up, if there are any


class RolloutEnded(Record, tag="ended", frozen=True):
    """The rollout has ended; the text begins with an `Outcome`."""

    outcome: str


JournalRecord = (
    RolloutStarted
    | ControllerStarted
    | BaselineMeasured
    | TargetChanging
    | TargetChanged
    | StagePassed
    | StageConfirmed
    | RolloutHalted
    | RolloutResumed
    | RollbackStarted
    | RolloutEnded
)
