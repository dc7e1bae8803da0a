"""The simulation: the referee detects breaches, values by outcome add up, runs are reproducible."""

import os
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import Phase, example, given, settings
from hypothesis import strategies as st

from quota_gateway import AttemptEnded, Reject, Request, Send, ServerList, Status
from quota_gateway.simulation.__main__ import main
from quota_gateway.simulation.baselines import RandomPolicy, TwoChoicesPolicy
from quota_gateway.simulation.simulation_run import SERVED_IN_TIME, SimulationRun
from quota_gateway.simulation.world import (
    ClassConfig,
    Disturbance,
    Machines,
    PlanConfig,
    World,
    WorldError,
    load,
)

EXAMPLES = Path(__file__).parent.parent / "examples"
IDEMPOTENT = ClassConfig("read", latency_objective_ms=300.0, deadline_ms=1200.0, mean_work_ms=20.0)
NOT_IDEMPOTENT = ClassConfig(
    "buy", latency_objective_ms=300.0, deadline_ms=1200.0, mean_work_ms=20.0, idempotency="unsafe"
)
PLAN = PlanConfig("basis", customers=10, rate=20.0, burst=40.0)
PLAN_WITH_CEILING = PlanConfig(
    "hard", customers=3, rate=5.0, burst=5.0, demand_ratio=3.0, ceiling_rate=6.0, ceiling_burst=6.0
)


def world(**fields) -> World:
    defaults = {"classes": (IDEMPOTENT, NOT_IDEMPOTENT), "plans": (PLAN,)}
    return World(**{"gateways": 2, "machines": Machines(6), "seconds": 6.0, **defaults, **fields})


class AnswersTwice(RandomPolicy):
    def handle(self, now_ms, event):
        return [Reject(event.request_id)] * 2 if isinstance(event, Request) else super().handle(now_ms, event)


class NeverAnswers(RandomPolicy):
    def handle(self, now_ms, event):
        return [] if isinstance(event, Request) else super().handle(now_ms, event)


class ResendsAfterError(RandomPolicy):
    def handle(self, now_ms, event):
        if isinstance(event, AttemptEnded) and event.status is Status.ERROR and event.attempt == 0:
            return [Send(event.request_id, event.server)]
        return super().handle(now_ms, event)


class RejectsAfterError(RandomPolicy):
    def handle(self, now_ms, event):
        failed = isinstance(event, AttemptEnded) and event.status is Status.ERROR
        return [Reject(event.request_id)] if failed else super().handle(now_ms, event)


class IgnoresServerChanges(RandomPolicy):
    def handle(self, now_ms, event):
        return [] if isinstance(event, ServerList) and self.ready else super().handle(now_ms, event)


class PrefersNewestServer(RandomPolicy):
    def choose(self):
        return max(self.ready, key=lambda number: self.ready[number].started_ms)


FAIL, RELEASE = (
    Disturbance("fail", start_s=1.0, ratio=0.5),
    Disturbance("release", start_s=0.5, duration_s=1.0, ratio=0.8),
)
PLAN_WITH_HIGH_LOAD = PlanConfig("basis", customers=30, rate=40.0, burst=80.0)


@pytest.mark.parametrize(
    ("policy", "simulated", "rule"),
    [
        (AnswersTwice, world(), "answers"),
        (NeverAnswers, world(), "answers"),
        (ResendsAfterError, world(disturbances=(FAIL,)), "resends"),
        (RejectsAfterError, world(disturbances=(FAIL,)), "refusals"),
        (IgnoresServerChanges, world(disturbances=(RELEASE,)), "drains"),
        (PrefersNewestServer, world(disturbances=(RELEASE,), plans=(PLAN_WITH_HIGH_LOAD,)), "cold servers"),
        (RandomPolicy, world(plans=(PLAN_WITH_CEILING,)), "ceilings"),
    ],
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_referee_reports_the_rule_that_a_policy_breaks_and_none_for_the_gateway(policy, simulated, rule):
    result = SimulationRun(simulated, 1, policy).run()
    assert set(result.broken) == {rule}
    assert result.breach_messages[0].startswith(f"{rule}: ")
    with_gateway = SimulationRun(simulated, 1).run()
    assert not with_gateway.broken
    assert sum(with_gateway.value_by_outcome.values()) == with_gateway.offered


@settings(max_examples=12, deadline=None, derandomize=True, phases=[Phase.explicit, Phase.generate])
@example([Disturbance("kill", 0.0, 1.0, 1.0)] * 2, 0, 1, False)  # killed while it is down
@given(
    st.lists(
        st.builds(
            Disturbance,
            st.sampled_from(["kill", "release", "slow", "fail", "silent", "burst"]),
            st.floats(0.0, 2.0),
            st.floats(0.1, 2.0),
            st.floats(0.0, 1.0),
            st.floats(0.5, 4.0),
        ),
        max_size=4,
    ),
    st.integers(0, 1000),
    st.sampled_from([1, 3, 8]),
    st.booleans(),
)
def test_values_add_up_and_no_rule_is_broken_under_any_disturbances(
    disturbances, seed, gateways, has_two_zones
):
    zones = ("a", "b") if has_two_zones else ("a",)
    simulated = world(
        disturbances=tuple(disturbances),
        gateways=gateways,
        zones=zones,
        seconds=3.0,
        plans=(PLAN, PLAN_WITH_CEILING),
    )
    result = SimulationRun(simulated, seed).run()
    assert sum(result.value_by_outcome.values()) == result.offered
    assert not result.broken
    assert all(amount >= 0 for amount in result.value_by_outcome.values())


def test_value_lost_to_silent_servers_appears_under_the_other_outcomes():
    silent = Disturbance("silent", 1.0, ratio=1.0)
    undisturbed, disturbed = (
        SimulationRun(world(disturbances=disturbances), 3).run() for disturbances in ((), (silent,))
    )
    assert undisturbed.offered == disturbed.offered  # arrivals do not wait for answers
    outcomes = {*disturbed.value_by_outcome, *undisturbed.value_by_outcome}
    moved = {
        outcome: disturbed.value_by_outcome.get(outcome, 0) - undisturbed.value_by_outcome.get(outcome, 0)
        for outcome in outcomes
    }
    assert undisturbed.served > 0.9 > 0.6 > disturbed.served
    assert sum(moved.values()) == 0
    assert -moved[SERVED_IN_TIME] == sum(
        amount for outcome, amount in moved.items() if outcome != SERVED_IN_TIME
    )


def test_no_operation_begins_after_the_end_of_the_run_even_during_a_burst():
    low_load = PlanConfig("rare", customers=200, rate=0.2, burst=5.0, demand_ratio=0.5, heavy_probability=0.0)
    simulation = SimulationRun(
        world(plans=(low_load,), disturbances=(Disturbance("burst", start_s=5.0, duration_s=2.0),)), 1
    )
    result = simulation.run()
    first = [
        request.received_ms
        for request in simulation.sent_requests.values()
        if request.name.endswith(".1")  # retries may still follow
    ]
    assert len(first) == result.requests > 20
    assert max(first) <= 6000.0


def test_two_choices_policy_serves_more_than_random_when_server_speeds_differ():
    simulated = world(
        machines=Machines(6, cores=1, min_speed=0.3, max_speed=2.0),
        gateways=1,
        classes=(IDEMPOTENT,),
        plans=(PlanConfig("basis", customers=15, rate=20.0, burst=40.0),),
    )
    with_random, with_two_choices = (
        sum(SimulationRun(simulated, seed, policy).run().served for seed in range(3))
        for policy in (RandomPolicy, TwoChoicesPolicy)
    )
    assert with_two_choices > with_random


def test_run_gives_the_same_result_in_every_process_and_for_every_hash_seed(tmp_path):
    file, outputs = tmp_path / "world.toml", []
    file.write_text(
        (EXAMPLES / "release.toml")
        .read_text()
        .replace("seconds = 45.0", "seconds = 12.0")
        .replace("customers = 60", "customers = 10")
    )
    for number in ("1", "2"):
        output = tmp_path / number
        command = [sys.executable, "-m", "quota_gateway.simulation", "run", str(file), "--json", str(output)]
        environment = {**os.environ, "PYTHONHASHSEED": number}
        subprocess.run([*command, "--seeds", number], env=environment, check=True, capture_output=True)
        outputs.append(output.read_bytes().splitlines())
    assert outputs[0][0] == outputs[1][0]
    assert outputs[1][1] != outputs[0][0]
    assert len(outputs[1]) == 2


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("gateways = 8", "gateways = 0", "`$.gateways`"),
        ("aim = 400.0", "aim = -1.0", "`$.kinds[0].aim`"),
        ("gateways = 8", "gateways = 8\nsize = 3", "unknown field `size`"),
        ("seconds = 45.0", "seconds =", "line 2"),
        ('name = "order"', 'name = "read"', "kinds read: this name is used more than once"),
        ("burst = 24.0", "", "`burst`"),
        ('kind = "burst", at_s', 'kind = "slow", zone = "z", at_s', "`$.troubles[0].zone`"),
    ],
)
def test_invalid_world_file_is_rejected_with_the_path_of_the_fault(tmp_path, old, new, message):
    file = tmp_path / "world.toml"
    file.write_text((EXAMPLES / "calm.toml").read_text().replace(old, new, 1))
    with pytest.raises(WorldError) as caught:
        load(file)
    assert message in str(caught.value)
    assert str(file) in str(caught.value)
    assert CliRunner().invoke(main, ["run", str(file)]).exit_code == 2


def test_example_worlds_can_be_simulated_and_the_command_prints_values_by_outcome(tmp_path):
    for file in EXAMPLES.glob("*.toml"):
        short = msgspec.structs.replace(load(file), seconds=2.0)
        result = SimulationRun(short, 1).run()
        assert not result.broken
        assert result.served > 0.5
        assert result.attempts > 0
    small = tmp_path / "w.toml"
    small.write_text((EXAMPLES / "calm.toml").read_text().replace("seconds = 45.0", "seconds = 1.0"))
    shown = CliRunner().invoke(main, ["run", str(small), "--policy", "two"])
    assert "served in time" in shown.output
    assert "requests" in shown.output
