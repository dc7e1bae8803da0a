"""Before a planned end, and Retry-After on rejections over quota."""

from conftest import Rig, entry, rig_with

from quota_gateway import Limits, Log, Plan, Reject, ShutdownBegun


def test_all_pending_requests_and_all_that_come_are_answered_before_the_end(rig):
    out = [rig.ask(class_name=name) for name in ("safe", "unsafe")]
    rig.run(100.0)
    rig.do(ShutdownBegun(1000.0))
    late = rig.ask(class_name="safe")
    rig.run(990.0)
    assert not rig.answers
    rig.run(10.0)
    assert rig.answers == {out[0]: "Reject", out[1]: "Fail", late: "Reject"}


def test_stopping_does_not_prolong_a_shorter_wait(rig):
    rig.do(ShutdownBegun(1000.0))
    name = rig.ask(patience=100.0)
    rig.run(100.0)
    assert rig.answers == {name: "Reject"}


def test_hold_past_the_end_of_the_gateway_is_rejected_at_once(rig):
    for _ in range(4):
        rig.ask("metered")
    rig.do(ShutdownBegun(150.0))
    assert rig.answers.get(rig.ask("metered")) == "Reject"  # it would be held for 200 ms


def test_rejection_over_quota_has_a_retry_after_at_which_the_request_is_sent_at_once():
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


def test_a_line_now_and_then_counts_what_was_given_up_by_reason_and_plan(rig):
    lines, rejected = [], 0
    plain = rig.do

    def do(event):
        nonlocal rejected
        actions = plain(event)
        rejected += sum(isinstance(action, Reject) for action in actions)
        for action in actions:
            if isinstance(action, Log):
                lines.append((action.text, rejected))
        return actions

    rig.do = do
    for _ in range(12):  # seconds
        for _ in range(20):  # of which the quota share takes five a second
            name = rig.ask("metered", patience=10.0)
            if name in rig.sent:
                rig.finish(name)
        rig.run(1000.0)
    (first, then), (second, last) = lines
    assert first.startswith("given up: ")
    assert f"quota metered {then}" in first
    assert f"quota metered {last - then}" in second


def test_what_is_given_up_for_want_of_a_server_or_capacity_has_a_retry_after():
    limits = Limits(max_attempts=3, can_advise_retry=True, max_retry_after_ms=5000.0)
    rig, retry_after = rig_with(limits=limits), {}
    plain = rig.do

    def do(event):
        actions = plain(event)
        retry_after.update({a.request_id: a.retry_after_ms for a in actions if isinstance(a, Reject)})
        return actions

    rig.do = do
    rig.servers(entry(1), entry(2))
    capped = [rig.ask("only-cap") for _ in range(3)]  # one may be out from here
    rig.run(4000.0)
    assert set(retry_after) == set(capped)
    assert all(0.0 < ms <= 5000.0 for ms in retry_after.values())
    retry = rig.ask("only-cap", patience=0.5)
    rig.run(10.0)
    assert retry_after[retry] > 0.0


def first_rejection(rig: Rig) -> Reject:
    """Ask for one customer, at one moment, until it is rejected."""
    found: list[Reject] = []
    plain = rig.do

    def do(event):
        actions = plain(event)
        found.extend(action for action in actions if isinstance(action, Reject))
        return actions

    rig.do = do
    while not found:
        rig.ask("metered")
    rig.do = plain
    return found[0]
