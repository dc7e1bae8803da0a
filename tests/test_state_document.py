"""State documents of an earlier version are read with the same meaning, and written again in the same way.

In an upgrade or a downgrade the previous process is of another version. Each column must mean what it meant
to the version that wrote it. Otherwise customers would get a second burst or be rejected for what they have
not used, and servers known to fail would get requests again.

`tests/data/state_document` was written by commit 2b28dd0. `document.json` is the state of a gateway with 279
customers and 12 servers during a settings change: two servers fail, one is administratively down, one was put
back. `meaning.json` is what the next process of that version, with the new settings, read from it, by the
names that the columns had then; `written-again.json` is what that process wrote 250 ms later.
"""

from __future__ import annotations

import copy
import json
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from conftest import PLANS, SETTINGS, Rig, entry

from quota_gateway import HotRestartBegun, ServerEntry, ServerState, state_document
from quota_gateway.errors import RestartError
from quota_gateway.policy.rate_ceiling import BucketLevel

DATA = Path(__file__).parent / "data" / "state_document"
MEANING: dict[str, Any] = json.loads((DATA / "meaning.json").read_text())
FIRST_NUMBER = 20  # of the servers in the next process; their ids end in 0 to 11
NUMBERS = {f"s-{number}": number + FIRST_NUMBER for number in range(12)}
IDS = {number: server_id for server_id, number in NUMBERS.items()}

CUSTOMER_COLUMNS = {
    "excess": "excess_milliunits",
    "touched": "excess_updated_ms",
    "largest": "largest_request_units",
    "width": "serving_gateways",
    "span": "requested_gateways",
    "used": "metered_use_ratio",
    "used_at": "metered_use_at_ms",
    "asked": "demand_units",
    "asked_at": "demand_updated_ms",
    "ceiling": "ceiling_level_units",
    "ceiling_at": "ceiling_updated_ms",
    "elsewhere": "peer_occupied_places",
    "epoch": "settings_epoch",
    "out": "attempts_in_flight",
    "held": "pending_count",
}
SERVER_COLUMNS = {
    "started": "started_ms",
    "ready": "is_ready",
    "ratio": "latency_ratio",
    "ratio_at": "latency_ratio_at",
    "queue": "reported_queue",
    "queue_at": "reported_queue_at",
    "marks": "failure_records",
    "phase": "slow_start_phase",
    "back": "restored_ms",
    "owed_at": "must_be_used_by_ms",
}


def document() -> dict[str, Any]:
    return json.loads((DATA / "document.json").read_text())


def as_json(value: Any) -> Any:
    """The value after a round trip through JSON: tuples become lists, keys become strings."""
    return json.loads(json.dumps(value))


def server_entry(number: int) -> ServerEntry:
    return entry(
        number + FIRST_NUMBER,
        "abc"[number % 3],
        cell=number % 2,
        started_ms=900.0 if number in (2, 9) else 0.0,
        state=ServerState.DRAINING if number == 11 else ServerState.READY,
    )


@pytest.fixture
def successor() -> Rig:
    """The next process, with new settings: half the rates and ceilings, twice the caps, three gateways."""
    plans = tuple(
        replace(
            plan,
            rate=plan.rate / 2,
            max_in_flight=plan.max_in_flight * 2,
            ceiling_rate=plan.ceiling_rate / 2,
            ceiling_burst=plan.ceiling_burst / 2,
        )
        for plan in PLANS
    )
    rig = Rig(replace(SETTINGS, gateways=3, load_fields=("queue",), plans=plans), seed=6)
    rig.now = MEANING["now"]
    rig.servers(*map(server_entry, range(12)))
    return rig


def test_fixture_covers_an_upgrade_during_a_settings_change():
    written = document()
    assert len(written["customers"]) > 250
    assert sum(len(server["marks"]) > 0 for server in written["servers"].values()) >= 10
    assert written["servers"]["s-6"]["back"] > 0.0  # put back by an operator
    assert any(row[-1] for row in written["customers"])  # pending in the previous process
    assert {row[0] for row in written["customers"]} - {plan.name for plan in PLANS} == {"retired"}


def test_customers_columns_are_read_with_their_earlier_meaning(successor):
    state_document.load(successor.gateway, document(), NUMBERS)
    customers = successor.gateway.customers.rows.values()
    found = [
        [*customer.key, {old: getattr(customer, new) for old, new in CUSTOMER_COLUMNS.items()}]
        for customer in customers
    ]
    assert found == MEANING["customers"]


def test_customers_shares_and_ceiling_levels_are_the_same_as_in_the_earlier_version(successor):
    state_document.load(successor.gateway, document(), NUMBERS)
    gateway = successor.gateway
    found = [
        [
            *customer.key,
            gateway.quota_meter.quota_share(customer, successor.now),
            gateway.rate_ceiling.level_units(customer, gateway.epochs.plans[customer.key[0]], successor.now),
        ]
        for customer in gateway.customers.rows.values()
    ]
    assert found == MEANING["shares"]


def test_servers_columns_are_read_with_their_earlier_meaning(successor):
    state_document.load(successor.gateway, document(), NUMBERS)
    found = {
        server.id: {old: getattr(server, new) for old, new in SERVER_COLUMNS.items()}
        for server in successor.gateway.endpoints.servers.values()
    }
    assert as_json(found) == MEANING["servers"]


def test_values_for_the_whole_gateway_are_read_with_their_earlier_meaning(successor):
    state_document.load(successor.gateway, document(), NUMBERS)
    gateway = successor.gateway
    latencies = gateway.concurrency_limit.latencies
    assert latencies.mean_ms == MEANING["latency"]
    assert {name: list(quick) for name, quick in latencies.quick_servers.items()} == MEANING["quick"]
    assert gateway.concurrency_limit.limit == MEANING["pool"]
    assert gateway.attempts.retry_budget.tokens == MEANING["retries"]
    assert gateway.context.decay.attempts_started == MEANING["sends"]
    assert gateway.context.started_ms == MEANING["started_at"]
    assert as_json(gateway.outlier_detection.rates.records) == MEANING["marks"]
    assert gateway.rate_ceiling.unseen_levels == {
        plan: BucketLevel(level, at) for plan, (level, at) in MEANING["fresh"].items()
    }


def test_document_is_written_again_as_the_earlier_version_wrote_it(successor):
    state_document.load(successor.gateway, document(), NUMBERS)
    successor.now += 250.0
    successor.handle(HotRestartBegun())
    written = as_json(state_document.save(successor.gateway, IDS))
    expected = json.loads((DATA / "written-again.json").read_text())
    assert list(written) == list(expected)  # also the order of the keys
    assert written == expected


@pytest.mark.parametrize("key", sorted(set(document()) - {"fresh"}))  # which was added later
def test_document_with_a_missing_key_is_an_error_and_changes_nothing(successor, key):
    before = as_json(state_document.save(successor.gateway, IDS))
    incomplete = document()
    del incomplete[key]
    with pytest.raises(RestartError, match=key):
        state_document.load(successor.gateway, incomplete, NUMBERS)
    assert as_json(state_document.save(successor.gateway, IDS)) == before


def test_document_without_unseen_levels_is_read_with_none(successor):
    earlier = document()
    del earlier["fresh"]
    state_document.load(successor.gateway, earlier, NUMBERS)
    assert successor.gateway.rate_ceiling.unseen_levels == {}
    assert len(successor.gateway.customers.rows) == len(MEANING["customers"])


def test_keys_and_columns_added_by_a_later_version_are_skipped(successor):
    later = copy.deepcopy(document())
    later["added"] = {"anything": [1, 2]}
    later["customers"] = [[*row, "added"] for row in later["customers"]]
    for server in later["servers"].values():
        server["added"] = "x"
    state_document.load(successor.gateway, later, NUMBERS)
    found = [customer.excess_milliunits for customer in successor.gateway.customers.rows.values()]
    assert found == [columns["excess"] for _, _, columns in MEANING["customers"]]
