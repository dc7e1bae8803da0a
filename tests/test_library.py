"""The library as a new user meets it: the README's example, discovery that must be asked, no meter."""

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


def test_discovery_that_must_be_asked_is_asked_and_asked_again():
    rig = rig_with(discovery=DiscoveryMode.POLL)
    asked = []
    plain = rig.do
    rig.do = lambda event: (lambda acts: asked.extend(a for a in acts if isinstance(a, Subscribe)) or acts)(
        plain(event)
    )
    rig.servers(entry(1), kind=ListKind.CACHED)
    rig.run(10.0)
    assert len(asked) == 1
    rig.servers(kind=ListKind.FAILED)
    rig.run(5000.0)  # half of the time in which discovery must be asked
    assert len(asked) == 2
    assert rig.ask() in rig.sent


def test_plan_on_a_site_without_a_meter_keeps_the_floor():
    rig = Rig(rig_with(meter_period_ms=0.0).settings)
    rig.servers(entry(1), entry(2))
    assert [rig.ask("metered") in rig.sent for _ in range(5)] == [True] * 4 + [False]


@pytest.mark.parametrize(
    ("field", "value"), [("gateways", 0), ("index", 2), ("tick_ms", -1.0), ("plans", ())]
)
def test_impossible_settings_name_the_field(field, value):
    with pytest.raises(ValueError, match=field):
        rig_with(**{field: value})


def test_impossible_plan_names_the_field():
    with pytest.raises(ValueError, match="rate"):
        Plan("p", rate=float("nan"))
    assert Settings.__doc__


def test_the_gateways_parts_own_the_state_that_others_read():
    # what the admin endpoint, the state document and users of the library read, each at its owner
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
