"""The simulator adapter as a subprocess, started by the command in deploy/balancer.toml."""

import json
import os
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SIM_COMMAND = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["sim"]

SETTINGS_DOCUMENT = {
    "balancers": 2,
    "slot_no": 0,
    "locality": "a",
    "discovery": "automatic",
    "tick_ms": 2.0,
    "services": [
        {
            "name": "read",
            "slo_ms": 500.0,
            "hard_limit_ms": 2000.0,
            "effect": "safe",
            "value": 1.0,
            "late_share": 0.0,
            "key_scope": "all",
            "memory_span_ms": 5000.0,
            "stream": False,
        }
    ],
    "tariffs": [
        {
            "name": "basic",
            "refill": 2.0,
            "most_at_once": 4.0,
            "parallel": 0,
            "value_factor": 1.0,
            "excess_worth": 0.0,
            "overrun_cost": 1.0,
            "cap_rate": 0.0,
            "cap_depth": 0.0,
            "hard_slack": 0.0,
        }
    ],
    "limits": {
        "attempts_cap": 3,
        "may_duplicate": False,
        "cancelling": True,
        "probes": False,
        "peers": False,
        "retry_after": False,
        "open_cap": 1000,
        "connect_timeout_ms": 250.0,
        "max_retry_after_ms": 0.0,
    },
    "contract": {
        "answer_slack_ms": 8.0,
        "drain_grace_ms": 1000.0,
        "start_capacity": 0.2,
        "warm_up_ms": 10000.0,
        "tip_multiple": 3.0,
        "fall_ms": 2000.0,
        "must_ask_in_ms": 10000.0,
    },
    "load_info": {"how": "answers", "names": ["busy", "q"]},
    "family_info": {
        "meter_ms": 1000.0,
        "largest": 1,
        "settles": False,
        "has_counter": False,
        "count_limit_ms": 0.0,
    },
    "deductions": {"cross_zone": 0.01},
    "a_new_key": [1, 2],
}
REQUEST_FIELDS = {
    "i": "gateway-1",
    "op_id": "aa",
    "priority": "read",
    "plan": "basic",
    "member": "m",
    "patience_left_ms": 900.0,
    "units": 1,
    "width": 2,
    "base": 0,
    "retry": False,
    "update": None,
}


def command() -> list[str]:
    """The deploy file's command, with this interpreter if the deploy file's environment is not built."""
    if (ROOT / ".venv" / "bin" / "python").exists():
        return ["/bin/sh", "-c", SIM_COMMAND]
    return [sys.executable, *SIM_COMMAND.split()[2:]]


def run_adapter(*messages, seed="0") -> subprocess.CompletedProcess:
    text = "\n".join(m if isinstance(m, str) else json.dumps(m) for m in messages) + "\n"
    env = {**os.environ, "PYTHONHASHSEED": seed}
    return subprocess.run(
        command(), cwd=ROOT, input=text, capture_output=True, text=True, timeout=60, env=env, check=False
    )


def batch(turn, t, *events):
    return [{"Batch": {"t_ms": t, "turn": turn}}, *events, {"Commit": {}}]


def roster(ref, *servers):
    rows = [
        {
            "server": s,
            "locality": "a",
            "generation_hw": "std",
            "cluster": 0,
            "phase": "U",
            "size": 1,
            "since_ms": None,
            "new_field": 3,
        }
        for s in servers
    ]
    return {"Roster": {"ref": ref, "members_list": rows}}


def listing(instance, ref, scope="Persisted"):
    return {"Discovery": {"i": instance, "ref": ref, "scope": scope, "epoch": 1}}


def opening(instance="gateway-1", seed=5):
    return {"OpenInstance": {"i": instance, "rng_seed": seed, "env": SETTINGS_DOCUMENT}}


def replies(completed):
    assert completed.returncode == 0, completed.stderr
    return [json.loads(line) for line in completed.stdout.splitlines()]


def bodies_of(rows, name):
    return [row[name] for row in rows if name in row]


def test_request_is_sent_to_a_server_and_every_batch_is_acknowledged():
    outcome = {
        "Outcome": {
            "i": "gateway-1",
            "op_id": "aa",
            "seq_no": 0,
            "server": 7,
            "code": 200,
            "delay_seen_ms": 20.0,
            "final": True,
            "metered": 31,
            "final_units": None,
            "gauge": [0.5, 1],
        }
    }
    completed = run_adapter(
        *batch(1, 0.0),
        *batch(2, 1.0, opening(), roster(0, 7), listing("gateway-1", 0)),
        *batch(3, 2.0, {"Knock": {**REQUEST_FIELDS, "extra": 1}}),
        *batch(4, 22.0, outcome),
        *batch(5, 30.0, {"Vanished": {"i": "gateway-1", "op_id": "aa"}}),
    )
    rows = replies(completed)
    assert [row["turn"] for row in bodies_of(rows, "Ack")] == [1, 2, 3, 4, 5]
    assert [(row["op_id"], row["server"]) for row in bodies_of(rows, "Try")] == [("aa", 7)]
    assert rows[-1] == {"Ack": {"turn": 5}}
    assert rows[-2] == {"Ack": {"turn": 4}}


def test_server_list_number_reused_in_one_batch_is_resolved_in_order():
    rows = replies(
        run_adapter(
            *batch(
                1,
                0.0,
                opening("gateway-1"),
                roster(3, 7),
                listing("gateway-1", 3),
                opening("gateway-2"),
                roster(3, 8),
                listing("gateway-2", 3),
            ),
            *batch(2, 1.0, {"Knock": REQUEST_FIELDS}, {"Knock": {**REQUEST_FIELDS, "i": "gateway-2"}}),
        )
    )
    assert [(row["i"], row["server"]) for row in bodies_of(rows, "Try")] == [
        ("gateway-1", 7),
        ("gateway-2", 8),
    ]


def test_instance_reopened_in_the_same_batch_starts_with_empty_state():
    rows = replies(
        run_adapter(
            *batch(1, 0.0, opening(), roster(0, 7), listing("gateway-1", 0)),
            *batch(
                2,
                1.0,
                {"Destroy": {"i": "gateway-1"}},
                opening(),
                roster(0, 9),
                listing("gateway-1", 0),
                {"Knock": REQUEST_FIELDS},
            ),
        )
    )
    assert [row["server"] for row in bodies_of(rows, "Try")] == [9]


def test_actions_do_not_depend_on_the_hash_seed_or_on_other_instances():
    script = [*batch(1, 0.0, opening(), roster(0, 7, 8, 9), listing("gateway-1", 0))]
    for n in range(20):
        script += batch(n + 2, 5.0 * n, {"Knock": {**REQUEST_FIELDS, "op_id": f"{n:x}"}})
    alone = bodies_of(replies(run_adapter(*script)), "Try")
    assert alone == bodies_of(replies(run_adapter(*script, seed="77")), "Try")
    other = opening("gateway-2", 9)
    beside = bodies_of(replies(run_adapter(*batch(0, 0.0, other), *script)), "Try")
    assert alone == beside
    assert len(alone) >= 2


@pytest.mark.parametrize(
    ("malformed", "word"),
    [
        ("{not json", "JSON"),
        ("[1]", "single key"),
        ({"Nonsense": {"i": "gateway-1"}}, "Nonsense"),
        ({"Knock": {"i": "gateway-1"}}, "op_id"),
        ({"Batch": {"turn": 1}}, "t_ms"),
        ({"Alarm": {"i": "gateway-9", "mark": 1}}, "gateway-9"),
        ({"Alarm": 3}, "Alarm"),
        (
            {"OpenInstance": {"i": "x", "rng_seed": 1, "env": {**SETTINGS_DOCUMENT, "balancers": 0}}},
            "balancers: 0, want",
        ),
    ],
)
def test_malformed_input_ends_the_adapter_with_one_error_line(malformed, word):
    completed = run_adapter(*batch(1, 0.0, opening(), roster(0, 7), listing("gateway-1", 0)), malformed)
    assert completed.returncode == 1
    assert word in completed.stderr
    assert len(completed.stderr.splitlines()) == 1


def test_exception_in_a_gateway_is_reported_as_bail_out():
    rows = replies(
        run_adapter(
            *batch(1, 9.0, opening(), {"Alarm": {"i": "gateway-1", "mark": 1}}),
            *batch(2, 3.0, {"Alarm": {"i": "gateway-1", "mark": 1}}),
        )
    )
    assert "now_ms" in bodies_of(rows, "BailOut")[0]["what"]
