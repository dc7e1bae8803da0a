"""The library's public face: the README's example, discovery by polling, no quota meter, invalid settings."""

import re
from operator import attrgetter
from pathlib import Path

import pytest
from conftest import SETTINGS, Rig, entry, rig_with

from quota_gateway import DiscoveryMode, ListKind, Plan, Settings, Subscribe

README = Path(__file__).parent.parent / "README.md"


def test_readme_example_runs(capsys):
    (code,) = re.findall(r"```python\n(.*?)```", README.read_text(), re.S)
    exec(compile(code, "README.md", "exec"), {})
    assert "send r1 to 1" in capsys.readouterr().out


def test_polled_discovery_is_asked_at_the_start_and_again_after_a_failure():
    rig = rig_with(discovery=DiscoveryMode.POLL)
    subscriptions = []
    original_handle = rig.handle
    rig.handle = lambda event: (
        lambda actions: subscriptions.extend(a for a in actions if isinstance(a, Subscribe)) or actions
    )(original_handle(event))
    rig.servers(entry(1), kind=ListKind.CACHED)
    rig.run(10.0)
    assert len(subscriptions) == 1
    rig.servers(kind=ListKind.FAILED)
    rig.run(5000.0)  # half of the interval within which discovery must be asked
    assert len(subscriptions) == 2
    assert rig.ask() in rig.sent


def test_plan_admits_its_even_share_where_no_meter_gives_readings():
    rig = Rig(rig_with(meter_period_ms=0.0).settings)
    rig.servers(entry(1), entry(2))
    assert [rig.ask("metered") in rig.sent for _ in range(5)] == [True] * 4 + [False]


@pytest.mark.parametrize(
    ("field", "value"), [("gateways", 0), ("index", 2), ("tick_ms", -1.0), ("plans", ())]
)
def test_error_for_invalid_settings_names_the_field(field, value):
    with pytest.raises(ValueError, match=field):
        rig_with(**{field: value})


def test_error_for_an_invalid_plan_names_the_field():
    with pytest.raises(ValueError, match="rate"):
        Plan("p", rate=float("nan"))
    assert Settings.__doc__


def test_each_state_that_others_read_is_at_the_gateway_part_that_owns_it():
    # what the admin endpoint, the state document and users of the library read
    paths = (
        "context.settings context.random context.classes context.timers context.last_token context.now_ms "
        "context.actions context.started_ms context.logged_once context.highest_priority_weight context.arm "
        "context.decay.attempts_started epochs.plans epochs.gateways customers.rows customers.epochs "
        "endpoints.servers endpoints.ready endpoints.warming_up endpoints.admin_down endpoint_list.refresh "
        "pending_requests.by_id pending_requests.queued pending_requests.occupied_places "
        "pending_requests.reserved_units "
        "responses.shutdown_at_ms responses.outcome_counters.totals "
        "responses.outcome_counters.last_logged_ms "
        "concurrency_limit.limit concurrency_limit.attempts_within_threshold "
        "concurrency_limit.latencies.mean_ms concurrency_limit.latencies.quick_servers "
        "concurrency_limit.initial_latency_ms outlier_detection.rates.records attempts.retry_budget.tokens "
        "peer_usage.peer_has_taken_over load_reports.idle_connections_reported drain.is_draining "
        "drain.is_drained drain.drain_number settings_change.apply "
        "quota_meter.quota_share quota_meter.reading_lifetime_ms rate_ceiling.level_units "
        "rate_ceiling.unseen_level_units rate_ceiling.unseen_levels release_queued handlers handle"
    )
    rig = Rig()
    rig.servers(entry(1))
    gateway = rig.gateway
    assert all(attrgetter(path)(gateway) is not None for path in paths.split())
    assert gateway.epochs is gateway.customers.epochs
    assert gateway.admission.concurrency_limit is gateway.concurrency_limit  # one owner, many readers
    assert gateway.attempts.pending_requests is gateway.pending_requests
    assert gateway.quota_meter.reading_lifetime_ms == 4000.0
    assert gateway.concurrency_limit.initial_latency_ms(SETTINGS.classes[0]) == 400.0
    assert gateway.rate_ceiling.unseen_level_units(SETTINGS.plans[2], 2, rig.now) == 0.0
    assert gateway.responses.outcome_counters.last_logged_ms == float("-inf")
