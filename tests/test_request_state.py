"""States of a request: the table of transitions, and the states that events lead to."""

import logging

import pytest
from conftest import Rig, entry, rig_with

from quota_gateway import ClientDisconnected, Limits, ListKind, Status, StreamStarted
from quota_gateway.errors import IllegalTransitionError
from quota_gateway.state import RequestState
from quota_gateway.state.request_state import TRANSITIONS
from quota_gateway.state_machine import IllegalTransitions, illegal_transitions


def state(rig: Rig, name: str) -> RequestState:
    return rig.gateway.pending_requests.by_id[name].state


@pytest.mark.parametrize("current", RequestState)
@pytest.mark.parametrize("requested", RequestState)
def test_a_request_makes_exactly_the_transitions_of_the_table(rig, current, requested):
    pending = rig.gateway.pending_requests.by_id[rig.ask()]
    pending.state = current
    if requested in TRANSITIONS[current]:
        pending.move_to(requested)
        assert pending.state is requested
    else:
        with pytest.raises(IllegalTransitionError):
            pending.move_to(requested)
        assert pending.state is current


def test_a_request_over_its_quota_is_held_then_sent_then_forgotten(rig):
    names = [rig.ask("metered") for _ in range(5)]
    assert state(rig, names[-1]) is RequestState.HELD
    rig.run(200.0)
    assert state(rig, names[-1]) is RequestState.IN_FLIGHT
    rig.finish(names[-1])
    assert names[-1] not in rig.gateway.pending_requests.by_id


def test_a_request_without_a_server_is_queued_until_one_is_listed():
    rig = Rig()
    name = rig.ask()
    assert state(rig, name) is RequestState.QUEUED
    assert list(rig.gateway.pending_requests.queued) == [name]
    rig.servers(entry(1), kind=ListKind.COMPLETE)
    assert state(rig, name) is RequestState.IN_FLIGHT
    assert not rig.gateway.pending_requests.queued


def test_a_request_whose_client_disconnected_is_pending_until_its_attempt_has_ended(rig):
    name = rig.ask()
    rig.handle(ClientDisconnected(name))
    assert state(rig, name) is RequestState.ANSWERED
    rig.finish(name, Status.CANCELLED)
    assert name not in rig.gateway.pending_requests.by_id


def test_a_streaming_response_is_not_answered_again_on_disconnection_or_after_the_deadline():
    rig = rig_with(limits=Limits(max_attempts=3))
    rig.servers(entry(1), entry(2))
    disconnected, expired = rig.ask(), rig.ask(client_timeout_ms=300.0)
    rig.handle(StreamStarted(disconnected, 0, rig.sent[disconnected][0], 50.0))
    assert state(rig, disconnected) is RequestState.STREAMING
    rig.handle(ClientDisconnected(disconnected))
    assert state(rig, disconnected) is RequestState.ANSWERED_STREAMING
    rig.run(300.0)
    assert state(rig, expired) is RequestState.ANSWERED
    rig.handle(StreamStarted(expired, 0, rig.sent[expired][0], 300.0))
    assert state(rig, expired) is RequestState.ANSWERED_STREAMING
    assert rig.answers == {expired: "Reject"}


def test_in_service_an_illegal_transition_is_counted_and_the_gateway_keeps_serving(rig, monkeypatch, caplog):
    # A bug marks a request as answered twice. An exception would end the process and all its connections;
    # instead the bug is logged once, and this request and all others end as they would without it.
    monkeypatch.setattr(illegal_transitions, "raises", False)
    monkeypatch.setattr(illegal_transitions, "counts", IllegalTransitions().counts)
    names = [rig.ask(), rig.ask()]
    with caplog.at_level(logging.ERROR):
        for name in names:
            rig.gateway.pending_requests.answer(rig.gateway.pending_requests.by_id[name])
            rig.gateway.pending_requests.answer(rig.gateway.pending_requests.by_id[name])
    assert illegal_transitions.counts.total() == 2
    assert len(caplog.records) == 1
    for name in names:
        rig.finish(name)
    assert not rig.gateway.pending_requests.by_id
    assert rig.ask() in rig.sent
