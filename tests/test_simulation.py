"""The simulation: the referee sees each rule broken, the ledger adds up, days are reproducible."""

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
from quota_gateway.simulation.baselines import AllIn, TwoChoices
from quota_gateway.simulation.day import IN_TIME, Day
from quota_gateway.simulation.world import Kind, Machines, Tariff, Trouble, World, WorldError, load

EXAMPLES = Path(__file__).parent.parent / "examples"
IDEMPOTENT = Kind("read", aim=300.0, deadline=1200.0, work=20.0)
NOT_IDEMPOTENT = Kind("buy", aim=300.0, deadline=1200.0, work=20.0, effect="unsafe")
PLAN = Tariff("basis", customers=10, rate=20.0, burst=40.0)
CEILING = Tariff("hard", customers=3, rate=5.0, burst=5.0, use=3.0, ceiling_rate=6.0, ceiling_burst=6.0)


def world(**more) -> World:
    kinds = {"kinds": (IDEMPOTENT, NOT_IDEMPOTENT), "tariffs": (PLAN,)}
    return World(**{"gateways": 2, "machines": Machines(6), "seconds": 6.0, **kinds, **more})


class Twice(AllIn):
    def handle(self, now_ms, event):
        return [Reject(event.request_id)] * 2 if isinstance(event, Request) else super().handle(now_ms, event)


class Mute(AllIn):
    def handle(self, now_ms, event):
        return [] if isinstance(event, Request) else super().handle(now_ms, event)


class Again(AllIn):
    def handle(self, now_ms, event):
        if isinstance(event, AttemptEnded) and event.status is Status.ERROR and event.attempt == 0:
            return [Send(event.request_id, event.server)]
        return super().handle(now_ms, event)


class Shrugs(AllIn):
    def handle(self, now_ms, event):
        failed = isinstance(event, AttemptEnded) and event.status is Status.ERROR
        return [Reject(event.request_id)] if failed else super().handle(now_ms, event)


class Deaf(AllIn):
    def handle(self, now_ms, event):
        return [] if isinstance(event, ServerList) and self.ready else super().handle(now_ms, event)


class Eager(AllIn):
    def choose(self):
        return max(self.ready, key=lambda number: self.ready[number].started_ms)


FAIL, RELEASE = Trouble("fail", at_s=1.0, share=0.5), Trouble("release", at_s=0.5, for_s=1.0, share=0.8)
HEAVY = Tariff("basis", customers=30, rate=40.0, burst=80.0)


@pytest.mark.parametrize(
    ("make", "made", "rule"),
    [
        (Twice, world(), "answers"),
        (Mute, world(), "answers"),
        (Again, world(troubles=(FAIL,)), "resends"),
        (Shrugs, world(troubles=(FAIL,)), "refusals"),
        (Deaf, world(troubles=(RELEASE,)), "drains"),
        (Eager, world(troubles=(RELEASE,), tariffs=(HEAVY,)), "cold servers"),
        (AllIn, world(tariffs=(CEILING,)), "ceilings"),
    ],
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_a_policy_that_breaks_a_rule_is_caught_by_it_and_the_gateway_is_not(make, made, rule):
    result = Day(made, 1, make).run()
    assert set(result.broken) == {rule}
    assert result.told[0].startswith(f"{rule}: ")
    kept = Day(made, 1).run()
    assert not kept.broken
    assert sum(kept.ledger.values()) == kept.offered


@settings(max_examples=12, deadline=None, derandomize=True, phases=[Phase.explicit, Phase.generate])
@example([Trouble("kill", 0.0, 1.0, 1.0)] * 2, 0, 1, False)  # killed while it is down
@given(
    st.lists(
        st.builds(
            Trouble,
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
def test_the_ledger_adds_up_and_no_rule_is_broken_whatever_goes_wrong(troubles, seed, gateways, far):
    zones = ("a", "b") if far else ("a",)
    made = world(
        troubles=tuple(troubles), gateways=gateways, zones=zones, seconds=3.0, tariffs=(PLAN, CEILING)
    )
    result = Day(made, seed).run()
    assert sum(result.ledger.values()) == result.offered
    assert not result.broken
    assert all(amount >= 0 for amount in result.ledger.values())


def test_what_goes_wrong_costs_worth_and_the_ledger_says_where():
    silent = Trouble("silent", 1.0, share=1.0)
    calm, fail = (Day(world(troubles=troubles), 3).run() for troubles in ((), (silent,)))
    assert calm.offered == fail.offered  # arrivals do not wait for answers
    lines = {*fail.ledger, *calm.ledger}
    lost = {line: fail.ledger.get(line, 0) - calm.ledger.get(line, 0) for line in lines}
    assert calm.served > 0.9 > 0.6 > fail.served
    assert sum(lost.values()) == 0
    assert -lost[IN_TIME] == sum(amount for line, amount in lost.items() if line != IN_TIME)


def test_nobody_asks_after_the_end_of_the_day_though_a_burst_outlasts_it():
    rare = Tariff("rare", customers=200, rate=0.2, burst=5.0, use=0.5, heavy=0.0)
    day = Day(world(tariffs=(rare,), troubles=(Trouble("burst", at_s=5.0, for_s=2.0),)), 1)
    result = day.run()
    first = [one.taken for one in day.tries.values() if one.name.endswith(".1")]
    # tries again may still be due
    assert len(first) == result.requests > 20
    assert max(first) <= 6000.0


def test_two_choices_serve_more_than_one_where_servers_are_uneven():
    made = world(
        machines=Machines(6, cores=1, slowest=0.3, fastest=2.0),
        gateways=1,
        kinds=(IDEMPOTENT,),
        tariffs=(Tariff("basis", customers=15, rate=20.0, burst=40.0),),
    )
    one, two = (sum(Day(made, seed, make).run().served for seed in range(3)) for make in (AllIn, TwoChoices))
    assert two > one


def test_a_day_is_the_same_in_every_process_and_for_every_hash_seed(tmp_path):
    file, made = tmp_path / "world.toml", []
    file.write_text(
        (EXAMPLES / "release.toml")
        .read_text()
        .replace("seconds = 45.0", "seconds = 12.0")
        .replace("customers = 60", "customers = 10")
    )
    for number in ("1", "2"):
        sink = tmp_path / number
        call = [sys.executable, "-m", "quota_gateway.simulation", "run", str(file), "--json", str(sink)]
        environment = {**os.environ, "PYTHONHASHSEED": number}
        subprocess.run([*call, "--seeds", number], env=environment, check=True, capture_output=True)
        made.append(sink.read_bytes().splitlines())
    assert made[0][0] == made[1][0]
    assert made[1][1] != made[0][0]
    assert len(made[1]) == 2


@pytest.mark.parametrize(
    ("old", "new", "told"),
    [
        ("gateways = 8", "gateways = 0", "`$.gateways`"),
        ("aim = 400.0", "aim = -1.0", "`$.kinds[0].aim`"),
        ("gateways = 8", "gateways = 8\nsize = 3", "unknown field `size`"),
        ("seconds = 45.0", "seconds =", "line 2"),
        ('name = "order"', 'name = "read"', "kinds read: named twice"),
        ("burst = 24.0", "", "`burst`"),
        ('kind = "burst", at_s', 'kind = "slow", zone = "z", at_s', "`$.troubles[0].zone`"),
    ],
)
def test_a_file_that_is_no_world_is_told_by_its_path(tmp_path, old, new, told):
    file = tmp_path / "world.toml"
    file.write_text((EXAMPLES / "calm.toml").read_text().replace(old, new, 1))
    with pytest.raises(WorldError) as caught:
        load(file)
    assert told in str(caught.value)
    assert str(file) in str(caught.value)
    assert CliRunner().invoke(main, ["run", str(file)]).exit_code == 2


def test_the_examples_are_worlds_and_the_command_prints_their_ledger(tmp_path):
    for file in EXAMPLES.glob("*.toml"):
        short = msgspec.structs.replace(load(file), seconds=2.0)
        result = Day(short, 1).run()
        assert not result.broken
        assert result.served > 0.5
        assert result.attempts > 0
    small = tmp_path / "w.toml"
    small.write_text((EXAMPLES / "calm.toml").read_text().replace("seconds = 45.0", "seconds = 1.0"))
    shown = CliRunner().invoke(main, ["run", str(small), "--policy", "two"])
    assert "served in time" in shown.output
    assert "requests" in shown.output
