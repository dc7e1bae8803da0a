"""Rules about requests, each tested by itself: where a request is sent; what is shed, retried and hedged."""

import pytest
from conftest import SETTINGS, Rig, entry, rig_with

from quota_gateway import Limits, Status
from quota_gateway.policy.admission import GiveUp, Queue
from quota_gateway.policy.hedging import CancelAttempt, KeepWaiting, SendHedge
from quota_gateway.policy.retry_budget import (
    MAX_RETRIES_PER_REQUEST_RATIO,
    MAX_STORED_RETRIES,
    RetryBudget,
)
from quota_gateway.state import GiveUpReason, PendingRequest, RequestState, Server

SAFE = next(item for item in SETTINGS.classes if item.name == "safe")
UNSAFE = next(item for item in SETTINGS.classes if item.name == "unsafe")


def pending(rig: Rig, **ask) -> PendingRequest:
    return rig.gateway.pending_requests.by_id[rig.ask(**ask)]


# ---- Retry budget


def test_a_retry_costs_one_token_and_only_first_attempts_earn_any():
    budget = RetryBudget()
    for _ in range(int(MAX_STORED_RETRIES)):
        assert budget.allows_retry()
        budget.on_retry()
    assert not budget.allows_retry()
    for _ in range(5):
        budget.on_first_attempt()
    assert budget.allows_retry()
    for _ in range(1000):
        budget.on_first_attempt()
    assert budget.tokens == MAX_STORED_RETRIES


def test_while_every_server_fails_retries_stay_a_small_part_of_the_requests():
    # Every server rejects every attempt. If each request were tried as often as ``max_attempts`` allows, the
    # overloaded servers would get three times their load; it must be no more than a fifth above it, and the
    # retries that were stored.
    rig = rig_with(limits=Limits(max_attempts=3))
    rig.servers(entry(1), entry(2), entry(3))
    for _ in range(200):
        name = rig.ask()
        while name not in rig.answers:
            rig.finish(name, Status.OVERLOADED)
    attempts = sum(len(sent) for sent in rig.sent.values())
    assert 200 < attempts <= 200 * (1.0 + MAX_RETRIES_PER_REQUEST_RATIO) + MAX_STORED_RETRIES


@pytest.mark.parametrize("status", [status for status in Status if status is not Status.OK])
def test_an_attempt_may_have_run_unless_its_status_proves_that_it_did_not(status):
    not_run = (Status.OVERLOADED, Status.CONNECT_FAILED, Status.NOT_SENT)
    assert status.is_certainly_not_run is (status in not_run)


# ---- Hedged requests


def hedge_rig(**limits) -> Rig:
    rig = rig_with(limits=Limits(max_attempts=3, **limits))
    rig.servers(entry(1), entry(2))
    return rig


def server_of(request: PendingRequest) -> Server:
    return request.attempts_in_flight[0].server


@pytest.mark.parametrize(
    ("limits", "decision"),
    [
        ({"may_duplicate": True}, SendHedge),
        ({"may_duplicate": True, "can_cancel": True}, SendHedge),
        ({"can_cancel": True}, CancelAttempt),
        ({}, KeepWaiting),
    ],
)
def test_a_silent_attempt_is_hedged_or_cancelled_as_the_settings_allow(limits, decision):
    rig = hedge_rig(**limits)
    request = pending(rig)
    actual = rig.gateway.attempts.hedging.decide(request, server_of(request))
    assert isinstance(actual, decision)
    if isinstance(actual, SendHedge):
        assert actual.server is not server_of(request)


@pytest.mark.parametrize("missing", ["retry budget", "room under the concurrency limit", "another server"])
def test_a_silent_attempt_is_neither_hedged_nor_cancelled_without(missing):
    rig = hedge_rig(may_duplicate=True, can_cancel=True)
    request = pending(rig)
    if missing == "retry budget":
        rig.gateway.attempts.retry_budget.tokens = 0.9
    elif missing == "another server":
        rig.servers(entry(server_of(request).id))
    else:
        rig.gateway.concurrency_limit.limit = 1.0
    assert isinstance(rig.gateway.attempts.hedging.decide(request, server_of(request)), KeepWaiting)


def test_a_request_is_hedged_only_away_from_a_suspected_server_and_only_if_it_may_run_twice():
    rig = hedge_rig(may_duplicate=True)
    is_candidate = rig.gateway.attempts.hedging.is_candidate
    safe, unsafe = pending(rig), pending(rig, class_name="unsafe")
    assert not is_candidate(safe, server_of(safe))
    for request in (safe, unsafe):
        for _ in range(4):
            key = request.failure_keys.request_class
            rig.gateway.outlier_detection.record_failure(server_of(request), key, "silent")
    assert is_candidate(safe, server_of(safe))
    assert not is_candidate(unsafe, server_of(unsafe))
    rig.gateway.pending_requests.answer(safe)
    assert not is_candidate(safe, server_of(safe))


# ---- Admission


def test_a_request_is_placed_at_a_server_queued_or_given_up():
    rig = Rig()
    request = pending(rig)
    assert rig.gateway.admission.placement(request) == Queue(0.0), "there is no server"
    rig.servers(entry(1))
    later = pending(rig, plan="ceiling", units=2)
    assert rig.gateway.admission.placement(later) == Queue(400.0), "two units at five a second"
    later.deadline_ms = rig.now + 400.0
    assert rig.gateway.admission.placement(later) == GiveUp(GiveUpReason.OVER_RATE_CEILING)
    rig.run(399.0)
    later.deadline_ms = rig.now + 400.0
    rig.now += 2.0
    rig.gateway.context.begin_event(rig.now)
    assert rig.gateway.admission.placement(later) is rig.gateway.endpoints.servers[1]


def test_the_longest_hold_is_bounded_by_weighted_objective_client_timeout_and_shutdown(rig):
    admission = rig.gateway.admission
    request = pending(rig, client_timeout_ms=300.0).request
    patient = pending(rig, client_timeout_ms=4000.0).request
    assert admission.useful_wait_ms(SAFE) == 2000.0 - 400.0
    assert admission.longest_hold_ms(patient, SAFE) == (2000.0 - 400.0) / 3.0  # its weight is a third
    assert admission.longest_hold_ms(patient, UNSAFE) == 1000.0 - 200.0
    assert admission.longest_hold_ms(request, UNSAFE) == 300.0
    rig.gateway.responses.shutdown_at_ms = rig.now + 100.0
    assert admission.longest_hold_ms(request, UNSAFE) == 100.0


def test_the_queue_sheds_the_request_of_least_priority_once_it_is_longer_than_the_limit(rig):
    rig.gateway.concurrency_limit.limit = 2.0
    for _ in range(2):
        rig.ask(class_name="unsafe")
    first, second = pending(rig, class_name="unsafe"), pending(rig, class_name="unsafe")
    assert [item.state for item in (first, second)] == [RequestState.QUEUED] * 2
    assert rig.gateway.admission.request_to_shed() is None
    rig.gateway.concurrency_limit.limit = 1.0
    assert rig.gateway.admission.request_to_shed() is first  # of two with equal priority the one queued first
    first.request_class, second.request_class = UNSAFE, SAFE
    assert rig.gateway.admission.request_to_shed() is second
