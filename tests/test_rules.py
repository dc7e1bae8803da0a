"""The gateway's five rules, and some behaviour beyond them, tested through a whole gateway.

For each rule there are cases that keep it and cases that would break it.
"""

from dataclasses import replace

import pytest
from conftest import SETTINGS, Rig, entry, rig_with

from quota_gateway import Limits, ListKind, Log, ServerState, Status

NOT_RUN = [Status.OVERLOADED, Status.CONNECT_FAILED]
MAY_HAVE_RUN = [Status.ERROR, Status.TIMEOUT, Status.RESET]


# 1. One final answer


@pytest.mark.parametrize(
    ("class_name", "answer"), [("safe", "Reject"), ("keyed", "Fail"), ("unsafe", "Fail")]
)
def test_request_with_a_silent_attempt_is_answered_before_the_client_gives_up(rig, class_name, answer):
    name = rig.ask(class_name=class_name, client_timeout_ms=300.0)
    rig.run(299.0)
    assert rig.answers[name] == answer


def test_without_servers_a_request_is_queued_then_rejected():
    rig = Rig()
    name = rig.ask(client_timeout_ms=300.0)
    rig.run(290.0)
    assert name not in rig.answers
    rig.run(9.0)
    assert rig.answers[name] == "Reject"
    assert name not in rig.sent


def test_queued_request_is_sent_when_a_server_is_listed():
    rig = Rig()
    name = rig.ask()
    rig.run(100.0)
    rig.servers(entry(1))
    assert rig.sent[name] == [1]


def test_no_attempt_is_sent_after_the_final_answer(rig):
    name = rig.ask(client_timeout_ms=300.0)
    rig.run(299.0)
    rig.finish(name, Status.ERROR)
    assert len(rig.sent[name]) == 1


# 2. No request takes effect twice


@pytest.mark.parametrize("status", NOT_RUN)
@pytest.mark.parametrize("class_name", ["safe", "keyed", "unsafe"])
def test_an_attempt_proven_not_to_have_run_is_sent_elsewhere(rig, class_name, status):
    name = rig.ask(class_name=class_name)
    rig.finish(name, status)
    assert sorted(rig.sent[name]) == [1, 2]


@pytest.mark.parametrize("status", MAY_HAVE_RUN)
def test_unsafe_request_fails_once_it_may_have_run(rig, status):
    name = rig.ask(class_name="unsafe")
    rig.finish(name, status)
    assert len(rig.sent[name]) == 1
    assert rig.answers[name] == "Fail"


def test_unsafe_request_is_rejected_when_no_attempt_ran():
    rig = Rig()
    rig.servers(entry(1))
    name = rig.ask(class_name="unsafe")
    rig.finish(name, Status.OVERLOADED)
    rig.run(4000.0)
    assert rig.answers[name] == "Reject"


def test_unsafe_request_whose_last_attempt_may_have_run_fails(rig):
    name = rig.ask(class_name="unsafe")
    rig.finish(name, Status.OVERLOADED)
    rig.finish(name, Status.RESET)
    assert rig.answers[name] == "Fail"


@pytest.mark.parametrize(
    ("class_name", "group"), [("keyed", {1, 2}), ("keyed-cell", {1, 2}), ("keyed-all", {1, 2, 3, 4})]
)
def test_request_with_an_idempotency_key_is_retried_only_in_its_group(class_name, group):
    for seed in range(10):
        rig = Rig(seed=seed)
        rig.servers(entry(1, cell=1), entry(2, cell=1))
        name = rig.ask(class_name=class_name)
        rig.servers(entry(3, "b", cell=2), entry(4, "b", cell=2), kind=ListKind.CHANGES)
        rig.finish(name, Status.ERROR)
        assert set(rig.sent[name]) <= group
        assert len(rig.sent[name]) == 2


def test_request_with_an_idempotency_key_fails_outside_its_window(rig):
    name = rig.ask(class_name="keyed", client_timeout_ms=3900.0)
    rig.gateway.pending_requests.by_id[name].tried_servers.clear()  # the window alone decides
    rig.now += 3000.0
    rig.finish(name, Status.ERROR)
    assert len(rig.sent[name]) == 1
    assert rig.answers[name] == "Fail"


def test_only_one_attempt_is_sent_where_duplicates_are_not_allowed(rig):
    name = rig.ask()
    rig.run(3900.0)
    assert len(rig.sent[name]) == 1


def test_silent_attempt_is_hedged_where_allowed():
    rig = Rig(rig_with(limits=Limits(max_attempts=3, may_duplicate=True, can_cancel=True)).settings)
    rig.servers(entry(1), entry(2))
    name = rig.ask()
    rig.run(3500.0)
    assert len(rig.sent[name]) == 2


# 3. Drains


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.REMOVED])
def test_no_request_goes_to_a_draining_or_removed_server(rig, state):
    rig.servers(entry(1, state=state), kind=ListKind.CHANGES)
    assert {rig.sent[rig.ask()][0] for _ in range(3)} == {2}


def test_a_complete_list_without_a_server_removes_it(rig):
    rig.servers(entry(2))
    assert {rig.sent[rig.ask()][0] for _ in range(3)} == {2}


def test_drain_is_checked_again_at_the_end_of_a_hold(rig):
    names = [rig.ask("metered") for _ in range(6)]
    for name in names[:4]:
        rig.finish(name)
    rig.servers(entry(1, state=ServerState.DRAINING), kind=ListKind.CHANGES)
    rig.run(1000.0)
    assert rig.sent[names[5]] == [2]


# 4. Warming servers


def test_warming_server_gets_little_work_in_a_burst():
    rig = Rig()
    rig.servers(entry(1), entry(2), entry(3, started_ms=1000.0))
    for _ in range(100):
        rig.finish(rig.ask())
        rig.run(20.0)
    # 50 requests a second of 50 ms each: from here some 25 a second at each warm server, and 0.7 x 3 x
    # (0.2 to 0.36) of that at the warming one
    at_warming = sum(1 for sent in rig.sent.values() if sent == [3])
    assert at_warming <= 0.7 * 3.0 * 0.36 * 25 * 2


@pytest.mark.parametrize("gateways", [3, 60, 230])
def test_warming_server_gets_no_more_than_its_share_from_all_gateways_together(gateways):
    # even share 1/10, least capacity 0.2, 0.33 x 3 of it: 1.98% of 6,000 requests, all at the first instant
    sent = 0
    for index in range(gateways):
        rig = Rig(replace(SETTINGS, gateways=gateways, index=index), seed=index)
        rig.servers(*(entry(n) for n in range(1, 10)), entry(10, started_ms=rig.now))
        uneven = 1 + index % 3  # the busiest gateways see three times the quietest
        for _ in range(round(3000 / gateways * uneven)):
            name = rig.ask()
            sent += rig.sent.get(name) == [10]
            if name in rig.sent:
                rig.finish(name)
    assert 0 < sent < 0.0198 * 6000 * 1.35


def test_trying_queued_requests_again_gives_no_second_draw_for_a_warming_server():
    rig = Rig()
    rig.servers(entry(1, started_ms=rig.now))
    names = [rig.ask() for _ in range(40)]
    before = len(rig.sent)
    for _ in range(50):  # every change of the list tries all queued requests again
        rig.servers(entry(1, started_ms=rig.now), kind=ListKind.CHANGES)
    assert len(rig.sent) == before < len(names) / 2


# 5. Rate ceilings


def test_ceiling_starts_empty_and_fills_at_its_share(rig):
    names = [rig.ask("ceiling") for _ in range(3)]
    assert not any(name in rig.sent for name in names)
    rig.run(250.0)  # 5 units a second for this gateway
    assert sum(name in rig.sent for name in names) == 1


def test_request_that_waits_for_the_ceiling_has_one_timer_for_it_however_often_it_is_tried(rig):
    waits = rig.ask("ceiling", units=4)  # 800 ms at 5 units a second
    before = len(rig.timers)
    for _ in range(50):  # the end of each attempt tries all queued requests again
        rig.finish(rig.ask())
    assert len(rig.timers) == before + 100, "two for each: its deadline and its latency threshold"
    rig.run(900.0)
    assert waits in rig.sent


def test_ceiling_bounds_the_requests_sent_in_any_time():
    rig = Rig(SETTINGS)
    rig.servers(entry(1), entry(2))
    rig.run(10_000.0)
    for _ in range(200):
        rig.ask("ceiling")
    assert len(rig.sent) <= 10  # burst 20 over two gateways
    rig.run(1000.0)
    assert len(rig.sent) <= 10 + 5 + 1


@pytest.mark.parametrize("gateways", [2, 10, 200])
def test_ceiling_holds_over_all_gateways_though_one_restarts_without_state(gateways):
    # burst 20, 10 units a second, slack 2, over two to ten gateways that all get requests all the time
    width, sends = min(gateways, 10), []
    for index in range(width):
        lifetimes = [(0.0, 6000.0)] if index else [(0.0, 3000.0), (3000.0, 6000.0)]
        for start, end in lifetimes:
            rig = Rig(replace(SETTINGS, gateways=gateways, index=index), seed=index)
            rig.now = start
            rig.servers(entry(1), entry(2))
            seen = set()
            while rig.now < end:
                for _ in range(1 + index % 3):
                    rig.ask("ceiling", width=width)
                rig.run(100.0)
                sends += [rig.now] * len(rig.sent.keys() - seen)
                seen |= rig.sent.keys()
    level, last_ms = 20.0, 0.0
    for sent_ms in sorted(sends):
        level, last_ms = min(20.0, level + (sent_ms - last_ms) * 0.01) - 1.0, sent_ms
        assert level >= -2.0
    assert len(sends) >= 30, "the ceiling is used: 60 units refill in six seconds"


# Beyond the rules: the concurrency limit


def test_reached_limit_queues_requests_and_sheds_the_least_priority(rig):
    rig.gateway.concurrency_limit.limit = 6.0
    names = [rig.ask() for _ in range(6)]
    sent = [name for name in names if name in rig.sent]
    waiting = [rig.ask() for _ in range(6)]
    assert len(sent) >= 5
    assert not any(name in rig.sent for name in waiting[1:])
    shed = len(rig.answers)
    heavier = rig.ask(class_name="unsafe")
    assert heavier not in rig.answers
    assert len(rig.answers) == shed + 1
    for name in sent[:2]:  # the draw decides on the last place, so two free places admit any request
        rig.finish(name)
    assert heavier in rig.sent


def test_slow_responses_do_not_stop_requests_that_need_no_hold(rig):
    # mean latency above the objective: nothing may be held any more, but requests that need no hold are sent
    for _ in range(60):
        name = rig.ask("metered")
        if name in rig.sent:
            rig.finish(name, latency=3900.0)
        rig.run(1000.0)
    assert rig.gateway.concurrency_limit.latencies.mean_ms["safe"] > 2000.0
    assert rig.ask("metered") in rig.sent


def test_attempts_cut_short_by_the_client_do_not_make_the_server_suspected(rig):
    for _ in range(4):
        name = rig.ask(client_timeout_ms=100.0)
        rig.run(100.0)
        rig.finish(name, Status.CANCELLED, latency=98.0)
    assert not any(server.failure_records for server in rig.gateway.endpoints.servers.values())


def test_repeated_id_of_a_pending_request_is_not_answered(rig):
    name = rig.ask(class_name="unsafe")
    rig.count -= 1
    assert rig.ask(class_name="unsafe") == name
    assert name not in rig.answers
    assert len(rig.sent[name]) == 1


def test_while_all_servers_drain_a_request_is_queued_then_rejected(rig):
    rig.servers(entry(1, state=ServerState.DRAINING), entry(2, state=ServerState.DRAINING))
    name = rig.ask(client_timeout_ms=300.0)
    rig.run(299.0)
    assert rig.answers[name] == "Reject"
    assert name not in rig.sent


# Beyond the rules: the concurrency limit over all servers, at any number of gateways


def test_all_gateways_together_keep_few_attempts_in_flight_at_the_start():
    in_flight = 0
    for index in range(100):  # six attempts a server over all gateways: 0.6 for each gateway with ten servers
        rig = Rig(replace(SETTINGS, gateways=100, index=index), seed=index)
        rig.servers(*(entry(n) for n in range(10)), kind=ListKind.CACHED)
        for _ in range(5):
            in_flight += rig.ask() in rig.sent
    # each of five requests is sent with chance 0.6 if none is in flight: 1 - 0.4 ** 5 = 99 of 100, none twice
    assert in_flight <= 100


def limited_rig() -> Rig:
    """One of ten gateways, with six attempts in flight at most: over all, two for each of thirty servers."""
    rig = Rig(replace(SETTINGS, gateways=10))
    rig.servers(*(entry(n) for n in range(30)), kind=ListKind.CACHED)
    return rig


def test_slow_responses_lower_the_limit_and_quick_ones_raise_it_when_used_up():
    rig = limited_rig()
    names = [rig.ask() for _ in range(6)]
    rig.finish(names[0], latency=1001.0)  # half of the objective is 1000 ms
    assert rig.gateway.concurrency_limit.limit == pytest.approx(6.0 - 0.3)
    rig.finish(names[1], latency=50.0)  # it was one of five, the limit is 5.7: no room for one more
    assert rig.gateway.concurrency_limit.limit == pytest.approx(5.7 + 0.035)
    rig.finish(names[2], latency=50.0)  # it was one of four: room for one more, so the limit stays
    assert rig.gateway.concurrency_limit.limit == pytest.approx(5.7 + 0.035)


def test_attempts_past_the_latency_threshold_do_not_count_for_the_limit():
    rig = limited_rig()
    for _ in range(12):
        rig.ask()
    assert len(rig.gateway.concurrency_limit.attempts_within_threshold) <= 6
    rig.run(1000.0)
    assert not rig.gateway.concurrency_limit.attempts_within_threshold
    assert rig.ask() in rig.sent


# Beyond the rules: servers that fail some of their requests


def rig_with_servers(size: int = 4) -> Rig:
    rig = Rig()
    rig.servers(*(entry(n) for n in range(size)))
    return rig


def rig_after(fail_attempt, **ask) -> Rig:
    """Three requests failed at server 0, the only one; then three other servers were listed and answered."""
    rig = rig_with_servers(1)
    for _ in range(3):
        fail_attempt(rig, rig.ask(**ask))
    for number in (1, 2, 3):
        rig.servers(entry(0, state=ServerState.DRAINING), entry(number))
        for _ in range(3):
            rig.finish(rig.ask(**ask))
    rig.servers(*(entry(n) for n in range(4)))
    return rig


def count_at_server_0(rig: Rig, **ask) -> int:
    """How many of twenty requests at once go to server 0; an even share would be five."""
    names = [rig.ask(**ask) for _ in range(20)]
    return sum(rig.sent[name][0] == 0 for name in names)


def stay_silent(rig: Rig, name: str) -> None:
    rig.run(500.0)  # half of the objective
    rig.finish(name, Status.RESET, latency=500.0)
    rig.gateway.endpoints.servers[0].failure_records.pop(
        "", None
    )  # only the class counts here, not what a reset says of the whole server


def reject_as_overloaded(rig: Rig, name: str) -> None:
    rig.finish(name, Status.OVERLOADED)


def test_a_server_silent_for_one_class_keeps_the_requests_of_others():
    assert count_at_server_0(rig_after(stay_silent, class_name="unsafe"), class_name="unsafe") <= 1
    assert count_at_server_0(rig_after(stay_silent, class_name="unsafe"), class_name="safe") >= 3


def test_a_server_overloaded_for_one_plan_keeps_the_requests_of_others():
    assert count_at_server_0(rig_after(reject_as_overloaded, plan="free"), plan="free") <= 1
    assert count_at_server_0(rig_after(reject_as_overloaded, plan="free"), plan="capped-wide") >= 3


def test_a_server_that_drops_connections_is_avoided_by_all_classes():
    def drop_connection(rig: Rig, name: str) -> None:
        rig.finish(name, Status.CONNECT_FAILED)

    assert count_at_server_0(rig_after(drop_connection, class_name="unsafe"), class_name="safe") <= 1


def test_a_silent_attempt_is_retried_elsewhere_while_it_can_be_in_time():
    rig = rig_with_servers()
    name = rig.ask()
    # half of the objective: cancelled
    assert rig.run(1000.0) is None
    assert len(rig.sent[name]) == 1
    rig.finish(name, Status.CANCELLED, latency=1000.0)
    assert len(set(rig.sent[name])) == 2


def test_a_suspected_server_is_logged_once():
    rig = Rig()
    rig.servers(entry(7))
    lines = []
    for _ in range(5):
        name = rig.ask()
        lines += [a.text for a in rig.finish(name, Status.CONNECT_FAILED) if isinstance(a, Log)]
    assert lines == ["server 7 is a suspected outlier: connect_failed"]


def test_of_a_large_fleet_few_servers_are_compared():
    rig, compared = rig_with_servers(300), []
    cost = rig.gateway.server_selection.cost
    rig.gateway.server_selection.cost = lambda pending, server, priors: (
        compared.append(server) or cost(pending, server, priors)
    )
    for _ in range(50):
        rig.finish(rig.ask())
    assert 50 * 10 <= len(compared) <= 50 * 20
