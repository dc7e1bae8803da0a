"""Records of a rollout's journal. Tags and keys in the stored JSON are those of all earlier versions."""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct

from quota_gateway.rollout.canary_analysis import Baseline


class Record(Struct, tag_field="is", frozen=True, omit_defaults=True, rename={"at_s": "at"}):
    """Something decided or done, at a Unix time."""

    at_s: float


class RolloutStarted(Record, tag="begun", frozen=True):
    """All checks have passed; the first record but for the controller's own.

    Attributes:
        plan: the plan's name.
        fingerprint: of the plan.
        stages: targets' names.
        before: by target, the digest of its configuration file, or the admin address of its process.
        after: the same, as it is to be.
    """

    plan: str
    fingerprint: str
    stages: list[list[str]]
    before: dict[str, str]
    after: dict[str, str]


class ControllerStarted(Record, tag="held", frozen=True):
    """A controller holds the journal from here on; the token outranks those of all before it."""

    token: int


class BaselineMeasured(Record, tag="baseline", frozen=True, rename={"baseline": "measured"}):
    """What all targets did before a stage."""

    stage: int
    baseline: Baseline


class TargetChanging(Record, tag="changing", frozen=True, rename={"target": "member", "rollback": "back"}):
    """A target is about to be changed, or rolled back."""

    target: str
    rollback: bool = False


class TargetChanged(Record, tag="changed", frozen=True, rename={"target": "member", "rollback": "back"}):
    """A target is changed and runs as this process, or is rolled back, or its rollback was given up.

    Also written for a target that is changed already, when an operator accepts that it is another process.
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
    """Paused until an operator resumes it or rolls it back."""

    reason: str


class RolloutResumed(Record, tag="resumed", frozen=True):
    """Goes on after a halt; the stage is watched from its beginning."""


class RollbackStarted(Record, tag="turned", frozen=True, rename={"reason": "why"}):
    """All that was changed is being rolled back."""

    reason: str


class Outcome(StrEnum):
    """How a rollout ends; the values stand in journals and are printed."""

    DONE = "done"
    ROLLED_BACK = "back"  # followed by the targets that were given up, if there are any


class RolloutEnded(Record, tag="ended", frozen=True):
    """The rollout is over; the text begins with an `Outcome`."""

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
