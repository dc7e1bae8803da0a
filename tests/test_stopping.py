"""Shutdown, the Retry-After of rejections, and the log line that counts requests given up."""

from conftest import Rig, entry, rig_with

from quota_gateway import Limits, Log, Plan, Reject, ShutdownBegun


def test_shutdown_answers_pending_and_new_requests_within_its_time(rig):
    pending = [rig.ask(class_name=name) for name in ("safe", "unsafe")]
    rig.run(100.0)
    rig.handle(ShutdownBegun(1000.0))
    late = rig.ask(class_name="safe")
    rig.run(990.0)
    assert not rig.answers
    rig.run(10.0)
    assert rig.answers == {pending[0]: "Reject", pending[1]: "Fail", late: "Reject"}


def test_shutdown_does_not_extend_a_shorter_client_timeout(rig):
    rig.handle(ShutdownBegun(1000.0))
    name = rig.ask(client_timeout_ms=100.0)
    rig.run(100.0)
    assert rig.answers == {name: "Reject"}


def test_request_that_would_be_held_past_the_shutdown_is_rejected_at_once(rig):
    for _ in range(4):
        rig.ask("metered")
    rig.handle(ShutdownBegun(150.0))
    assert rig.answers.get(rig.ask("metered")) == "Reject"  # it would be held for 200 ms


def test_rejection_over_quota_has_a_retry_after_at_which_a_retry_is_sent_at_once():
    rig = rig_with(
        limits=Limits(can_advise_retry=True, max_retry_after_ms=60_000.0),
        plans=(Plan("metered", rate=2.0, burst=4.0),),
    )
    rig.servers(entry(1), entry(2))
    rejection = first_rejection(rig)
    assert 0.0 < rejection.retry_after_ms < 60_000.0
    rig.run(rejection.retry_after_ms + 1.0)
    assert rig.ask("metered") in rig.sent


def test_retry_after_is_bounded_and_given_only_where_the_settings_allow_it():
    plans = (Plan("metered", rate=2.0, burst=4.0),)
    for limits, retry_after in (
        (Limits(can_advise_retry=True, max_retry_after_ms=7.0), 7.0),
        (Limits(), 0.0),
    ):
        rig = rig_with(limits=limits, plans=plans)
        rig.servers(entry(1), entry(2))
        assert first_rejection(rig).retry_after_ms == retry_after


def test_periodic_log_line_counts_requests_given_up_by_reason_and_plan(rig):
    lines, rejected = [], 0
    original_handle = rig.handle

    def handle(event):
        nonlocal rejected
        actions = original_handle(event)
        rejected += sum(isinstance(action, Reject) for action in actions)
        for action in actions:
            if isinstance(action, Log):
                lines.append((action.text, rejected))
        return actions

    rig.handle = handle
    for _ in range(12):  # seconds
        for _ in range(20):  # requests a second, of which the quota share admits five
            name = rig.ask("metered", client_timeout_ms=10.0)
            if name in rig.sent:
                rig.finish(name)
        rig.run(1000.0)
    (first_line, rejected_by_first), (second_line, rejected_by_second) = lines
    assert first_line.startswith("given up: ")
    assert f"quota metered {rejected_by_first}" in first_line
    assert f"quota metered {rejected_by_second - rejected_by_first}" in second_line


def test_request_given_up_for_lack_of_a_server_or_capacity_has_a_retry_after():
    limits = Limits(max_attempts=3, can_advise_retry=True, max_retry_after_ms=5000.0)
    rig, retry_after = rig_with(limits=limits), {}
    original_handle = rig.handle

    def handle(event):
        actions = original_handle(event)
        retry_after.update({a.request_id: a.retry_after_ms for a in actions if isinstance(a, Reject)})
        return actions

    rig.handle = handle
    rig.servers(entry(1), entry(2))
    capped = [rig.ask("only-cap") for _ in range(3)]  # this gateway's share of the cap is one attempt
    rig.run(4000.0)
    assert set(retry_after) == set(capped)
    assert all(0.0 < ms <= 5000.0 for ms in retry_after.values())
    retry = rig.ask("only-cap", client_timeout_ms=0.5)
    rig.run(10.0)
    assert retry_after[retry] > 0.0


def first_rejection(rig: Rig) -> Reject:
    """Send requests of one customer, all at the same time, until one is rejected."""
    found: list[Reject] = []
    original_handle = rig.handle

    def handle(event):
        actions = original_handle(event)
        found.extend(action for action in actions if isinstance(action, Reject))
        return actions

    rig.handle = handle
    while not found:
        rig.ask("metered")
    rig.handle = original_handle
    return found[0]
