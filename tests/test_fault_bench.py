"""The fault bench: the referee sees each rule broken and no other; relays obey; processes end."""

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from random import Random

import msgspec
import pytest
from fakes import TEST_TIMEOUT_S, FakeServer, RespClient, resp, server_reply
from hypothesis import given, settings
from hypothesis import strategies as st

from quota_gateway import (
    Contract,
    DiscoveryMode,
    Idempotency,
    IdempotencyScope,
    Limits,
    Plan,
    RequestClass,
    Settings,
)
from quota_gateway.fault_bench import records
from quota_gateway.fault_bench.bench import FaultBench, own_host
from quota_gateway.fault_bench.history import History
from quota_gateway.fault_bench.history import read as read_history
from quota_gateway.fault_bench.processes import Program
from quota_gateway.fault_bench.referee import judge
from quota_gateway.fault_bench.relay import Link, relayed_connection_of
from quota_gateway.fault_bench.scenario import Scenario, Step, load
from quota_gateway.fault_bench.timeline import Timeline
from quota_gateway.settings_reader import settings_document, settings_from
from quota_gateway.simulation.world import ClassConfig, Machines, PlanConfig, World, WorldError


def run(test):
    """On the loop that the rig uses."""
    return asyncio.run(asyncio.wait_for(test, TEST_TIMEOUT_S))


ROOT = Path(__file__).parent.parent
FLEET = ROOT / "examples" / "fault_bench" / "fleet.toml"
WORLD = World(
    gateways=3,
    machines=Machines(4),
    seconds=2.0,
    zones=("a", "b"),
    classes=(
        ClassConfig("read", 300.0, 1500.0, 5.0, weight=4.0),
        ClassConfig(
            "order",
            300.0,
            1500.0,
            5.0,
            idempotency="keyed",
            idempotency_scope="zone",
            idempotency_window_ms=3000.0,
        ),
        ClassConfig("pay", 300.0, 1500.0, 5.0, idempotency="unsafe"),
    ),
    plans=(
        PlanConfig("basis", customers=20, rate=20.0, burst=40.0),
        PlanConfig("hard", 1, 1.0, 1.0, ceiling_rate=1.0, ceiling_burst=1.0),
    ),
)
SCENARIO = Scenario(WORLD, rate=120.0)


# ---- The referee


def asked(kind="read", t=1000.0, plan="basis", name="r1"):
    return records.RequestSent(t, name, "w", "g0", kind, plan, "c", t, t + 1500.0, "k")


def at(server="s-1", t=1010.0, number=1, name="r1"):
    return records.AttemptArrived(t, name, number, server, "g0", 5.0)


def left(server="s-1", status="error", t=1020.0, number=1):
    return records.AttemptLeft(t, f"r1@{server}", number, status)


def how(word="ok", t=1100.0, name="r1"):
    return records.RequestEnded(t, name, records.RequestOutcome(word))


def draining(t=0.0):
    return [
        records.ServerChanged(t, "s-1", "b", "draining", 0.0, 1.0),
        records.GatewayNotified(t, "g0", "s-1", "draining"),
    ]


def verdict(*history):
    up = [records.ServerChanged(0.0, f"s-{n}", "ab"[n % 2], "ready", -60_000.0, 1.0) for n in range(1, 5)]
    return judge([records.Header(0.0, 1, SCENARIO), *up, *history])


BREACHES = [
    ("deadline", [asked(), at(), how(t=2700.0)]),
    ("answers", [asked()]),
    ("answers", [asked(), how("foreign")]),
    ("answers", [asked(), how(), records.UnexpectedReply(1200.0, "g0")]),
    ("lost", [asked(), how("none", 3500.0)]),
    ("lost", [asked("pay"), at(), how("cut")]),
    ("attempts", [at()]),
    ("resends", [asked("pay"), at(), left(), at("s-2", 1030.0), how()]),
    ("resends", [asked("order"), at(), left(), at("s-2", 1030.0), how()]),  # the other zone
    ("refusals", [asked("pay"), at(), left(), how("busy")]),
    ("lost", [asked(), at(), records.RequestResent(1050.0, "r1"), how("busy")]),
    (
        "lost",
        [
            records.ProcessChanged(900.0, "g0", 7, "ended", 0),
            asked("order"),
            at(),
            records.RequestResent(1050.0, "r1"),
            at("s-2", 1060.0),
            how(),
        ],
    ),  # the one that ended had nothing of it
    ("refusals", [asked("order"), records.RequestResent(1005.0, "r1"), at(), how("busy")]),
    (
        "resends",
        [
            asked("order"),
            at(),
            records.RequestResent(1050.0, "r1"),
            at("s-3", 1060.0),
            at("s-2", 1070.0),
            how(),
            records.ProcessChanged(1150.0, "g0", 7, "ended", 0),
        ],
    ),  # twice by the one that lives
    ("drains", [*draining(), asked(), at(), how()]),
    (
        "drains",
        [
            records.ServerChanged(0.0, "s-1", "b", "draining", 0.0, 1.0),
            asked(t=7000.0),
            at(t=7010.0),
            how(t=7020.0),
        ],
    ),  # nobody was told, and it counts as told
    (
        "cold servers",
        [
            records.ServerChanged(1000.0, "s-1", "b", "ready", 1000.0, 1.0),
            *(
                record
                for n in range(3000)
                for record in (asked(name=f"n{n}"), at(name=f"n{n}"), how(name=f"n{n}"))
            ),
        ],
    ),
    (
        "ceilings",
        [
            record
            for n in range(4)
            for record in (asked(plan="hard", name=f"n{n}"), at(name=f"n{n}"), how(name=f"n{n}"))
        ],
    ),
    ("crash", [records.ProcessChanged(1000.0, "g0", 7, "ended", 1)]),
]
FINE = [
    [asked(), at(), how()],
    [asked("pay"), how("busy")],
    [asked("pay"), at(), left(status="full"), at("s-2", 1030.0), how()],
    [asked("order"), at(), left(), at("s-3", 1030.0), how("error")],
    [asked(), records.LoopDelayed(2500.0, 300.0), at(), how(t=2700.0)],  # the rig itself was late
    [*draining(600.0), asked(), at(), how()],  # within the grace
    [records.ProcessChanged(1000.0, "g0", 7, "ended", 0)],
    [
        asked("order"),
        at(),
        records.RequestResent(1050.0, "r1"),
        how("busy"),
        records.ProcessChanged(1150.0, "g0", 7, "ended", 0),
    ],
    [
        asked("order"),
        at(),
        records.RequestResent(1050.0, "r1"),
        at("s-2", 1060.0),
        how(),
        records.ProcessChanged(1150.0, "g0", 7, "ended", 0),
    ],
    [asked("order"), records.RequestResent(1005.0, "r1"), at(), how()],  # it had not been read
]


def fault(do, on="g0", undone=False, t=1050.0):
    return records.StepCarriedOut(t, 0, do, [on], undone)


@pytest.mark.parametrize(("rule", "history"), BREACHES)
def test_referee_sees_each_rule_broken_and_no_other(rule, history):
    found = verdict(*history)
    assert set(found.broken) == {rule}
    assert found.told


@pytest.mark.parametrize("history", FINE)
def test_referee_lets_pass_what_is_allowed(history):
    assert verdict(*history).kept


@pytest.mark.parametrize(
    ("history", "excused"),
    [
        ([asked("pay"), at(), fault("kill"), how("cut")], True),
        ([asked("pay"), at(), fault("reset", "clients>g0"), how("cut")], True),
        ([asked("pay"), at(), fault("reset", "g0>s-1"), how("cut")], False),  # a gateway has to cope
        ([asked("pay"), at(), fault("kill", "g1"), how("cut")], False),
        ([asked("pay"), at(), fault("delay", "clients>g0"), how("cut")], False),  # a delay loses nothing
        (
            [
                fault("stop", t=0.0),
                fault("stop", undone=True, t=100.0),
                asked(t=3000.0),
                at(t=3001.0),
                how("none", t=5500.0),
            ],
            False,
        ),  # long over
    ],
)
def test_faults_excuse_what_they_spoil_and_nothing_else(history, excused):
    found = verdict(*history)
    assert found.kept == excused
    assert bool(found.excused) == excused


def test_history_cut_off_in_the_middle_of_a_line_is_read_up_to_it(tmp_path):
    log = History(tmp_path / "h")
    for record in (records.Header(0.0, 1, SCENARIO), asked(), how()):
        log.add(record)
    log.close()
    whole = (tmp_path / "h").read_bytes()
    (tmp_path / "h").write_bytes(whole[:-4])
    assert [type(record) for record in read_history(tmp_path / "h")] == [records.Header, records.RequestSent]
    for headless in ([], [asked()]):
        with pytest.raises(ValueError, match="no history"):
            judge(headless)


EARLIER_LINES = {
    b'{"what":"asked","t":1.0,"id":"r1","wish":"w1","gateway":"g0","kind":"read","plan":"free",'
    b'"customer":"c","intended":0.5,"deadline":900.0,"key":"k"}': records.RequestSent(
        1.0, "r1", "w1", "g0", "read", "free", "c", 0.5, 900.0, "k"
    ),
    b'{"what":"resent","t":1.0,"id":"r1"}': records.RequestResent(1.0, "r1"),
    b'{"what":"answered","t":1.0,"id":"r1","how":"busy"}': records.RequestEnded(
        1.0, "r1", records.RequestOutcome.REJECTED
    ),
    b'{"what":"extra","t":1.0,"gateway":"g0"}': records.UnexpectedReply(1.0, "g0"),
    b'{"what":"arrived","t":1.0,"id":"r1","number":2,"server":"s-1","gateway":"g0","work":5.0}': (
        records.AttemptArrived(1.0, "r1", 2, "s-1", "g0", 5.0)
    ),
    b'{"what":"left","t":1.0,"id":"r1@s-1","number":2,"status":"ok"}': records.AttemptLeft(
        1.0, "r1@s-1", 2, "ok"
    ),
    b'{"what":"server","t":1.0,"server":"s-1","zone":"a","state":"ready","started":-60.0,"speed":1.5}': (
        records.ServerChanged(1.0, "s-1", "a", "ready", -60.0, 1.5)
    ),
    b'{"what":"told","t":1.0,"gateway":"g0","server":"s-1","state":"ready"}': records.GatewayNotified(
        1.0, "g0", "s-1", "ready"
    ),
    b'{"what":"process","t":1.0,"gateway":"g0","pid":7,"state":"ended","code":-9}': records.ProcessChanged(
        1.0, "g0", 7, "ended", -9
    ),
    b'{"what":"act","t":1.0,"number":3,"do":"kill","on":["g0"],"undone":true,"said":"YES"}': (
        records.StepCarriedOut(1.0, 3, "kill", ["g0"], True, "YES")
    ),
    b'{"what":"late","t":1.0,"by":30.0}': records.LoopDelayed(1.0, 30.0),
}


@pytest.mark.parametrize("line", EARLIER_LINES, ids=lambda line: line.split(b'"')[3].decode())
def test_history_of_an_earlier_version_is_read_and_written_alike(line, tmp_path):
    """A history is kept to be judged again; a renamed field would make it unreadable."""
    (tmp_path / "h").write_bytes(line + b"\n")
    assert list(read_history(tmp_path / "h")) == [EARLIER_LINES[line]]
    log = History(tmp_path / "again")
    log.add(EARLIER_LINES[line])
    log.close()
    assert (tmp_path / "again").read_bytes() == line + b"\n"


# ---- Scenario and configuration

POSITIVE = st.floats(0.5, 1e6)
NAMES = st.sampled_from(["a", "b", "read", "x1"])
CLASSES = st.builds(
    RequestClass,
    NAMES,
    POSITIVE,
    POSITIVE,
    st.sampled_from(Idempotency),
    POSITIVE,
    POSITIVE,
    st.sampled_from(IdempotencyScope),
    POSITIVE,
    st.booleans(),
    POSITIVE,
)


@given(
    st.builds(
        Settings,
        gateways=st.integers(3, 9),
        index=st.integers(0, 2),
        zone=NAMES,
        classes=st.lists(CLASSES, min_size=1, max_size=3, unique_by=lambda kind: kind.name).map(tuple),
        plans=st.tuples(st.builds(Plan, NAMES, st.just(2.0), POSITIVE, st.integers(0, 9), POSITIVE)),
        limits=st.builds(
            Limits,
            st.integers(1, 5),
            st.booleans(),
            st.booleans(),
            connect_timeout_ms=POSITIVE,
            connection_idle_ms=POSITIVE,
        ),
        contract=st.builds(Contract, POSITIVE, POSITIVE, st.just(0.5), POSITIVE),
        settles=st.booleans(),
        discovery=st.sampled_from(DiscoveryMode),
        load_fields=st.just(("queue", "utilisation")),
        meter_period_ms=POSITIVE,
        tick_ms=POSITIVE,
        handshake_price=POSITIVE,
        cross_zone_price=POSITIVE,
    )
)
@settings(max_examples=50, deadline=None)
def test_settings_written_for_a_gateway_are_read_as_they_were(made):
    assert settings_from(json.loads(json.dumps(settings_document(made)))) == made


@pytest.mark.parametrize(
    ("old", "new", "why"),
    [
        ("rate = 150.0", "rate = 0.0", "$.rate"),
        ('do = "kill"', 'do = "hit"', "$.steps[0].do"),
        ('on = ["g1"]', 'on = ["g9"]', "$.steps[0]"),
        ("open g1 >= 1", "soon", "no such condition"),
        ('["g0"], ["s-1", "s-2"]', '["g0"], ["s-99"]', "nobody is called s-99"),
        ("gateways = 5", "gateways = 51", "at most 50"),
        ('do = "failing"', 'do = "slow"', "needs an amount"),
        ("gateways = 5", "gateways = 5\nx = 1", "$.world"),
    ],
)
def test_file_that_is_no_scenario_is_refused_with_its_fault(tmp_path, old, new, why):
    text = FLEET.read_text()
    assert old in text
    (tmp_path / "f.toml").write_text(text.replace(old, new, 1))
    with pytest.raises(WorldError, match="f.toml: ") as caught:
        load(tmp_path / "f.toml")
    assert why in str(caught.value)


# ---- Relays


def test_relay_delays_holds_cuts_refuses_and_resets():
    async def test():
        server, host = await FakeServer(lambda words: server_reply(words[1])).start(), own_host()
        link = Link("a>b", (host, 20_000), ("127.0.0.1", server.port), Random(1))
        await link.listen()
        loop = asyncio.get_running_loop()

        async def peer():
            return await RespClient().open(link.listen_address[1], host)

        one = await peer()
        assert (await one.ask(resp("X", "1")))[0] == b"1"
        assert relayed_connection_of(server.writers[0].transport).link is link
        link.impairments["up"].delay = 0.05
        before = loop.time()
        assert (await one.ask(resp("X", "2")))[0] == b"2"
        assert loop.time() - before >= 0.05
        link.impairments["up"].delay = 0.0

        link.silence("down")
        one.send(resp("X", "3"))
        await server.until(lambda: len(server.commands) == 3)  # one direction only
        link.silence("up")
        one.send(resp("X", "4"))
        await asyncio.sleep(0.05)
        assert len(server.commands) == 3
        assert one.reader._buffer == bytearray()
        link.silence("both", False)
        assert [(await one.reply())[0] for _ in range(2)] == [b"3", b"4"]  # held, not lost

        link.impairments["down"].bytes_until_reset = 6
        one.send(resp("X", "5"))
        assert await one.reader.readexactly(6) == server_reply(b"5")[:6]
        with pytest.raises(ConnectionResetError):
            await one.reader.readexactly(1)
        two = await peer()
        assert (await two.ask(resp("X", "6")))[0] == b"6"
        await link.refuse()
        with pytest.raises(ConnectionRefusedError):
            await peer()
        link.reset(lose=True)
        with pytest.raises(ConnectionResetError):
            await two.reader.read(1)
        await link.refuse(False)
        three = await peer()
        three.writer.close()
        while link.connections:
            await asyncio.sleep(0.005)
        link.close()

    run(test())


# ---- Several processes


async def through(rig: FaultBench):
    """Carry out the steps under load until all wishes have come to something; the verdict."""
    timeline = Timeline(rig)
    timeline.start()
    await rig.load.run()
    await timeline.finish()
    await rig.load.finish()
    assert not timeline.missed
    verdict = rig.verdict()
    assert not rig.sums(verdict)
    return verdict


def play(tmp_path, scenario, **more):
    async def test():
        async with FaultBench(scenario, tmp_path / "rig", program=Program.of(ROOT), **more) as rig:
            return await through(rig), rig

    return run(test())


def test_fleet_under_faults_keeps_the_rules_and_every_request_is_accounted_for(tmp_path):
    scenario = msgspec.structs.replace(
        SCENARIO,
        steps=(
            Step("kill", ("g1",), when="open g1 >= 1", at_s=0.3, for_s=0.5),
            Step("reset", ("g0>*",), when="open g0 >= 1", at_s=0.5),
            Step("failing", ("s-2",), at_s=0.5, for_s=0.5),
            Step("partition", groups=(("g2",), ("s-1", "s-2")), at_s=0.8, for_s=0.5),
            Step("release", ("s-3",), at_s=0.2, for_s=0.8),
            Step("no-discovery", at_s=1.0, for_s=0.3),
            Step("call", ("g0",), at_s=1.0, line="HEALTH"),
            Step("hup", ("g0",), at_s=0.6),
            Step("stop", ("g2",), at_s=1.5, for_s=0.2),
            Step("delay", ("clients>g0",), amount=5.0, for_s=1.0),
        ),
    )
    found, rig = play(tmp_path, scenario)
    assert found.kept, found.told
    assert found.asked > 100
    assert found.outcomes["ok"] > found.asked / 2
    assert found.excused["lost"] >= 1
    seen = list(read_history(rig.history.path))
    acts = [record for record in seen if isinstance(record, records.StepCarriedOut)]
    assert {act.action for act in acts if act.undone} >= {"kill", "partition", "release", "stop"}
    assert any(act.answer.startswith("YES serving") for act in acts)
    started = [r for r in seen if isinstance(r, records.ProcessChanged) and r.state == "started"]
    assert [r.gateway for r in started].count("g1") == 2


def test_upgrades_of_all_gateways_under_load_lose_nothing(tmp_path):
    found, rig = play(
        tmp_path,
        msgspec.structs.replace(
            SCENARIO, steps=tuple(Step("upgrade", (f"g{n}",), at_s=0.3 * n + 0.1) for n in range(3))
        ),
    )
    assert found.kept, found.told
    assert not found.excused, found.told
    assert set(found.outcomes) <= {"ok", "busy"}
    assert found.asked > 100
    assert all(len(member.processes) == 2 for member in rig.managed_gateways.values())


def test_step_whose_moment_never_comes_makes_the_play_count_for_nothing(tmp_path):
    (tmp_path / "f.toml").write_text(
        FLEET.read_text().replace("open g1 >= 1", "open g1 >= 9999").replace("seconds = 8.0", "seconds = 1.0")
    )
    command = [sys.executable, "-m", "quota_gateway.fault_bench", "run", str(tmp_path / "f.toml"), "--json"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60, check=False)
    assert done.returncode == 2, done.stderr
    assert "step 0, kill, never came about" in json.loads(done.stdout)["faults"][0]


def test_start_that_fails_is_told_and_leaves_nothing_behind(tmp_path):
    async def test():
        broken = Program(ROOT, "echo broken; exit 3")
        with pytest.raises(RuntimeError, match="no start: g0, g1, g2: broken"):
            async with FaultBench(SCENARIO, tmp_path / "rig", program=broken):
                pass

    run(test())


def alive(pid: int) -> bool:
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


def heed_sigint() -> None:
    """A shell's background job ignores SIGINT, and what it starts inherits that."""
    signal.signal(signal.SIGINT, signal.SIG_DFL)


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGINT])
def test_no_process_outlives_the_fault_bench_however_it_ends(tmp_path, number):
    command = [
        sys.executable,
        "-m",
        "quota_gateway.fault_bench",
        "run",
        str(FLEET),
        "--folder",
        str(tmp_path / "rig"),
    ]
    with (tmp_path / "err").open("w") as sink:
        rig = subprocess.Popen(
            command, cwd=ROOT, stderr=sink, stdout=sink, start_new_session=True, preexec_fn=heed_sigint
        )
    try:
        pids: list[int] = []
        while len(pids) < 5:
            assert rig.poll() is None, (tmp_path / "err").read_text()
            pids = [int(pid) for pid in os.listdir("/proc") if pid.isdigit() and parent(int(pid)) == rig.pid]
        rig.send_signal(number)
        assert rig.wait(60) == (2 if number == signal.SIGINT else -signal.SIGKILL)
        while any(alive(pid) for pid in pids):
            os.sched_yield()
    finally:
        rig.kill()
        rig.wait()


def parent(pid: int) -> int:
    try:
        return int(Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[1])
    except OSError:
        return 0
