"""Every request is answered, without errors, at extreme sizes and without load reports, meter or servers."""

from dataclasses import replace

import pytest
from conftest import SETTINGS, Rig, entry

from quota_gateway import AttemptEnded, ListKind, Request, Status


def check_every_request_is_answered(rig: Rig, width: int, count: int = 40) -> None:
    """Send requests of every plan and class, finish their attempts, and check that each has its answer."""
    names = [(p.name, c.name) for p in rig.settings.plans for c in rig.settings.classes]
    for number in range(count):
        plan, kind = names[number % len(names)]
        name = rig.ask(plan, kind, f"c{number % 7}", width=width)
        if name in rig.sent and name not in rig.answers:
            rig.finish(name)
        rig.run(10.0)
    rig.run(4000.0)
    assert len(rig.answers) == count


@pytest.mark.parametrize(("gateways", "width"), [(300, 1), (300, 300), (2, 50), (1, 1), (5000, 4000)])
@pytest.mark.parametrize("servers", [1, 3, 400])
def test_every_request_is_answered_at_any_number_of_gateways_and_servers(gateways, width, servers):
    rig = Rig(replace(SETTINGS, gateways=gateways))
    rig.servers(*(entry(n, "ab"[n % 2]) for n in range(servers)), kind=ListKind.CACHED)
    check_every_request_is_answered(rig, width)


@pytest.mark.parametrize("load", [None, (), (None, None), (0.5,), (0.5, 3.0, 7.0)])
def test_load_reports_may_be_missing_short_long_or_null(load):
    rig = Rig(replace(SETTINGS, load_fields=("util", "queue")))
    rig.servers(entry(1))
    for _ in range(3):
        name = rig.ask()
        rig.handle(AttemptEnded(name, 0, 1, Status.OK, 50.0, True, load=load))
    assert rig.ask() in rig.sent


def test_old_load_report_loses_its_weight():
    # Server 1 reported a queue of 20. Once enough time and attempts have passed, it is chosen like any other.
    rig = Rig(replace(SETTINGS, load_fields=("queue",)))
    rig.servers(entry(1), entry(2))
    rig.gateway.load_reports.record(rig.gateway.endpoints.servers[1], (20.0,))
    assert {rig.sent[rig.ask()][0] for _ in range(5)} == {2}
    rig.run(60_000.0)
    assert 1 in {rig.sent[rig.ask()][0] for _ in range(8)}


def test_without_a_meter_a_customer_that_uses_one_gateway_may_retry():
    # With a meter period of 0 no reading ever counts. This gateway has the complete burst, so its share is
    # large enough for a request.
    rig = Rig(replace(SETTINGS, meter_period_ms=0.0, gateways=300))
    rig.servers(entry(1))
    rig.handle(Request("x", "safe", "metered", "c", 4000.0, 1, 1, is_retry=True))
    assert "x" in rig.sent


def test_request_is_queued_and_then_rejected_while_the_list_of_servers_is_empty():
    rig = Rig()
    rig.servers(kind=ListKind.CACHED)
    name = rig.ask(client_timeout_ms=300.0)
    rig.run(299.0)
    assert rig.answers[name] == "Reject"
