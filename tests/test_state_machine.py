"""Illegal transitions raise in tests; in service they are carried out, logged once and counted."""

from __future__ import annotations

import logging
from enum import Enum

import pytest

from quota_gateway.errors import IllegalTransitionError
from quota_gateway.state_machine import IllegalTransitions, illegal_transitions, transition


class Lamp(Enum):
    OFF = "off"
    ON = "on"
    BROKEN = "broken"


TABLE = {
    Lamp.OFF: frozenset({Lamp.ON}),
    Lamp.ON: frozenset({Lamp.OFF, Lamp.BROKEN}),
    Lamp.BROKEN: frozenset(),
}


def test_a_legal_transition_returns_the_new_state():
    assert transition("lamp", TABLE, Lamp.OFF, Lamp.ON) is Lamp.ON
    assert transition("lamp", TABLE, Lamp.ON, Lamp.BROKEN) is Lamp.BROKEN


def test_an_illegal_transition_raises_in_tests_and_names_owner_and_states():
    with pytest.raises(IllegalTransitionError, match=r"lamp: no transition from Lamp\.BROKEN to Lamp\.ON"):
        transition("lamp", TABLE, Lamp.BROKEN, Lamp.ON)


def test_in_service_an_illegal_transition_is_carried_out_logged_once_and_counted(monkeypatch, caplog):
    monkeypatch.setattr(illegal_transitions, "raises", False)
    monkeypatch.setattr(illegal_transitions, "counts", IllegalTransitions().counts)
    with caplog.at_level(logging.ERROR):
        states = [transition("lamp", TABLE, Lamp.BROKEN, Lamp.ON) for _ in range(3)]
    assert states == [Lamp.ON] * 3
    assert illegal_transitions.counts["lamp", Lamp.BROKEN, Lamp.ON] == 3
    assert len(caplog.records) == 1
