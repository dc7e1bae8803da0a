"""Stored data of rollouts and of the supervisor, written by an earlier version and read by this one.

Operators may upgrade the controller while a rollout runs, or a gateway under its supervisor. If this version
read the data differently, the rollout would start again or not be rolled back, and requests would go
unanswered. So each record, wherever the journal is cut, has to be read to the same state.

`tests/data` has files that commit 2b28dd0 wrote, and in `expected.json` what it read from them: a row for
each record, with only the values that differ from the row before.

The second part tests the phases of a rollout.
"""

import json
import os
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec
import pytest
from test_fault_bench import ROOT

from quota_gateway.errors import IllegalTransitionError
from quota_gateway.failover.connection_record import ConnectionRecord
from quota_gateway.rollout import journal
from quota_gateway.rollout.canary_analysis import Baseline, ByGroup
from quota_gateway.rollout.journal_records import (
    BaselineMeasured,
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
from quota_gateway.rollout.plan import Plan, Target, fingerprint
from quota_gateway.rollout.plan_file import load
from quota_gateway.rollout.rollout_state import TRANSITIONS, RollbackResult, RolloutPhase, RolloutState
from quota_gateway.rollout.status import target_standings
from quota_gateway.state_machine import illegal_transitions

DATA = Path(__file__).parent / "data"
EXPECTED: dict[str, Any] = json.loads((DATA / "rollout" / "expected.json").read_text())
JOURNALS = ("settings-back", "settings-halted", "program-done")


def state_by_earlier_names(state: RolloutState) -> dict[str, Any]:
    """The state of a rollout, under the names of the earlier version."""
    found = {
        "begun": state.started,
        "token": state.token,
        "stage": state.stage,
        "touched": state.attempted_targets,
        "returning": sorted(state.rollback_started),
        "changed": state.changed_pids,
        "back": {name: done is RollbackResult.DONE for name, done in state.rollback_results.items()},
        "baseline": {str(stage): baseline for stage, baseline in state.baselines.items()},
        "judged": -1 if state.passed_stage is None else state.passed_stage,
        "halted": state.halt_reason,
        "turned": state.rollback_reason,
        "outcome": state.outcome,
        "standing": {},
    }
    if state.started:
        names = [name for stage in state.started.stages for name in stage]
        plan = Plan("p", "p.journal", tuple(Target(name, "h:1", name) for name in names), "s")
        found["standing"] = target_standings(plan, state)
    return json.loads(msgspec.json.encode(found))


@pytest.mark.parametrize("name", JOURNALS)
def test_earlier_journal_cut_after_any_record_is_read_to_the_same_state(name, tmp_path):
    raw = (DATA / "rollout" / f"{name}.journal").read_bytes()
    path = tmp_path / "journal"
    expected: dict[str, Any] = {}
    for row in EXPECTED[name]:
        expected |= row
        path.write_bytes(raw[: expected["end_bytes"]])
        assert state_by_earlier_names(journal.read(path)) == {
            key: value for key, value in expected.items() if key != "end_bytes"
        }
    assert expected["end_bytes"] == len(raw)
    assert expected["outcome"]


@pytest.mark.parametrize("name", JOURNALS)
def test_records_of_an_earlier_journal_are_encoded_to_the_same_bytes(name):
    raw = (DATA / "rollout" / f"{name}.journal").read_bytes()
    start = 0
    for end, record in journal.records(raw):
        assert msgspec.json.encode(record) == raw[start + journal.HEADER.size : end]
        start = end
    assert start == len(raw)


def test_example_plans_have_the_same_fingerprints_as_in_the_earlier_version():
    found = {
        path.name: fingerprint(load(path)) for path in sorted((ROOT / "examples" / "rollout").glob("*.toml"))
    }
    assert found == EXPECTED["fingerprints"]


def test_earlier_connection_record_is_read_to_the_same_rows_and_holder():
    folder = DATA / "connection_record"
    expected = json.loads((folder / "expected.json").read_text())
    file = os.memfd_create("record")
    try:
        os.write(file, (folder / "four-rows.record").read_bytes())
        record = ConnectionRecord.open(file)
        assert {str(row): body.decode() for row, body in record.read_rows().items()} == expected["rows"]
        assert record.max_body_bytes == expected["room"]
        assert record.free_rows == expected["free"]
        assert (record.holder().number, record.holder().pid) == (expected["claim"], expected["process"])
        record.close()
    finally:
        os.close(file)


# ---- The phases

RECORDS = {
    "start": RolloutStarted(0.0, "p", "f", [["g0"], ["g1"]], {}, {}),
    "baseline": BaselineMeasured(0.0, 0, Baseline(0, {}, {}, ByGroup(0, 0), ByGroup({}, {}))),
    "changing": TargetChanging(0.0, "g0"),
    "changed": TargetChanged(0.0, "g0", pid=7),
    "passed": StagePassed(0.0, 0, "fine"),
    "confirmed": StageConfirmed(0.0, 0),
    "halted": RolloutHalted(0.0, "by hand"),
    "resumed": RolloutResumed(0.0),
    "rollback": RollbackStarted(0.0, "worse"),
    "ended": RolloutEnded(0.0, "back"),
}


def state_after(*names: str) -> RolloutState:
    state = RolloutState()
    for name in names:
        state.apply(RECORDS[name])
    return state


TO_CHANGING = ("start", "baseline", "changing")
TO_WATCHING = (*TO_CHANGING, "changed")
TO_CONFIRMING = (*TO_WATCHING, "passed")


@pytest.mark.parametrize(
    ("names", "phase"),
    [
        ((), RolloutPhase.NOT_STARTED),
        (("start",), RolloutPhase.MEASURING),
        (TO_CHANGING, RolloutPhase.CHANGING),
        (TO_WATCHING, RolloutPhase.WATCHING),
        (TO_CONFIRMING, RolloutPhase.CONFIRMING),
        ((*TO_CONFIRMING, "changing"), RolloutPhase.CHANGING),  # the target reverted by itself
        ((*TO_CONFIRMING, "confirmed"), RolloutPhase.MEASURING),
        ((*TO_WATCHING, "halted"), RolloutPhase.HALTED),
        ((*TO_WATCHING, "halted", "changed"), RolloutPhase.HALTED),  # restarted, then accepted by an operator
        ((*TO_WATCHING, "halted", "resumed"), RolloutPhase.WATCHING),
        ((*TO_WATCHING, "halted", "rollback"), RolloutPhase.ROLLING_BACK),
        ((*TO_CONFIRMING, "rollback", "ended"), RolloutPhase.ENDED),
    ],
)
def test_phase_is_derived_from_the_records(names, phase):
    assert state_after(*names).phase is phase


def test_every_phase_but_ended_has_a_next_phase():
    assert set(TRANSITIONS) == set(RolloutPhase)
    assert [phase for phase, following in TRANSITIONS.items() if not following] == [RolloutPhase.ENDED]


def test_illegal_transition_raises_in_tests_and_is_counted_in_service(monkeypatch):
    """A fault of the controller records the end of the rollout in the middle of a watch.

    The rollout would then be over while targets are still on trial. In service the journal stays readable, so
    that operators can see the rollout's state, and the fault is counted.
    """
    with pytest.raises(IllegalTransitionError):
        state_after(*TO_WATCHING, "ended")
    monkeypatch.setattr(illegal_transitions, "raises", False)
    monkeypatch.setattr(illegal_transitions, "counts", Counter())
    state = state_after(*TO_WATCHING, "ended")
    assert state.phase is RolloutPhase.ENDED
    assert illegal_transitions.counts == {("rollout", RolloutPhase.WATCHING, RolloutPhase.ENDED): 1}
