"""The fault bench: the referee reports exactly the broken rules, links apply faults, no process is left."""

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
from quota_gateway.fault_bench.history import History, read_history
from quota_gateway.fault_bench.processes import Program
from quota_gateway.fault_bench.referee import judge
from quota_gateway.fault_bench.relay import Link, relayed_connection_of
from quota_gateway.fault_bench.scenario import Scenario, Step, load_scenario
from quota_gateway.fault_bench.timeline import Timeline
from quota_gateway.settings_reader import settings_document, settings_from
from quota_gateway.simulation.world import ClassConfig, Machines, PlanConfig, World, WorldError


def run(test):
    """Run a coroutine on an event loop, as the fault bench does."""
    return asyncio.run(asyncio.wait_for(test, TEST_TIMEOUT_S))


ROOT = Path(__file__).parent.parent
SCENARIO_FILE = ROOT / "examples" / "fault_bench" / "fleet.toml"
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


def request_sent(class_name="read", t=1000.0, plan="basis", name="r1"):
    return records.RequestSent(t, name, "w", "g0", class_name, plan, "c", t, t + 1500.0, "k")


def attempt_arrived(server="s-1", t=1010.0, number=1, name="r1"):
    return records.AttemptArrived(t, name, number, server, "g0", 5.0)


def attempt_left(server="s-1", status="error", t=1020.0, number=1):
    return records.AttemptLeft(t, f"r1@{server}", number, status)


def request_ended(outcome="ok", t=1100.0, name="r1"):
    return records.RequestEnded(t, name, records.RequestOutcome(outcome))


def server_draining(t=0.0):
    return [
        records.ServerChanged(t, "s-1", "b", "draining", 0.0, 1.0),
        records.GatewayNotified(t, "g0", "s-1", "draining"),
    ]


def judge_records(*history):
    up = [records.ServerChanged(0.0, f"s-{n}", "ab"[n % 2], "ready", -60_000.0, 1.0) for n in range(1, 5)]
    return judge([records.Header(0.0, 1, SCENARIO), *up, *history])


BROKEN_RULES = [
    ("deadline", [request_sent(), attempt_arrived(), request_ended(t=2700.0)]),
    ("answers", [request_sent()]),
    ("answers", [request_sent(), request_ended("foreign")]),
    ("answers", [request_sent(), request_ended(), records.UnexpectedReply(1200.0, "g0")]),
    ("lost", [request_sent(), request_ended("none", 3500.0)]),
    ("lost", [request_sent("pay"), attempt_arrived(), request_ended("cut")]),
    ("attempts", [attempt_arrived()]),
    (
        "resends",
        [
            request_sent("pay"),
            attempt_arrived(),
            attempt_left(),
            attempt_arrived("s-2", 1030.0),
            request_ended(),
        ],
    ),
    (
        "resends",
        [
            request_sent("order"),
            attempt_arrived(),
            attempt_left(),
            attempt_arrived("s-2", 1030.0),
            request_ended(),
        ],
    ),  # s-2 is in another zone
    ("refusals", [request_sent("pay"), attempt_arrived(), attempt_left(), request_ended("busy")]),
    ("lost", [request_sent(), attempt_arrived(), records.RequestResent(1050.0, "r1"), request_ended("busy")]),
    (
        "lost",
        [
            records.ProcessChanged(900.0, "g0", 7, "ended", 0),
            request_sent("order"),
            attempt_arrived(),
            records.RequestResent(1050.0, "r1"),
            attempt_arrived("s-2", 1060.0),
            request_ended(),
        ],
    ),  # the process that ended did so before the request
    (
        "refusals",
        [
            request_sent("order"),
            records.RequestResent(1005.0, "r1"),
            attempt_arrived(),
            request_ended("busy"),
        ],
    ),
    (
        "resends",
        [
            request_sent("order"),
            attempt_arrived(),
            records.RequestResent(1050.0, "r1"),
            attempt_arrived("s-3", 1060.0),
            attempt_arrived("s-2", 1070.0),
            request_ended(),
            records.ProcessChanged(1150.0, "g0", 7, "ended", 0),
        ],
    ),  # sent to two zones by the process that lives
    ("drains", [*server_draining(), request_sent(), attempt_arrived(), request_ended()]),
    (
        "drains",
        [
            records.ServerChanged(0.0, "s-1", "b", "draining", 0.0, 1.0),
            request_sent(t=7000.0),
            attempt_arrived(t=7010.0),
            request_ended(t=7020.0),
        ],
    ),  # no notification arrived, yet after the limit the gateway counts as notified
    (
        "cold servers",
        [
            records.ServerChanged(1000.0, "s-1", "b", "ready", 1000.0, 1.0),
            *(
                record
                for n in range(3000)
                for record in (
                    request_sent(name=f"n{n}"),
                    attempt_arrived(name=f"n{n}"),
                    request_ended(name=f"n{n}"),
                )
            ),
        ],
    ),
    (
        "ceilings",
        [
            record
            for n in range(4)
            for record in (
                request_sent(plan="hard", name=f"n{n}"),
                attempt_arrived(name=f"n{n}"),
                request_ended(name=f"n{n}"),
            )
        ],
    ),
    ("crash", [records.ProcessChanged(1000.0, "g0", 7, "ended", 1)]),
]
ALLOWED_HISTORIES = [
    [request_sent(), attempt_arrived(), request_ended()],
    [request_sent("pay"), request_ended("busy")],
    [
        request_sent("pay"),
        attempt_arrived(),
        attempt_left(status="full"),
        attempt_arrived("s-2", 1030.0),
        request_ended(),
    ],
    [
        request_sent("order"),
        attempt_arrived(),
        attempt_left(),
        attempt_arrived("s-3", 1030.0),
        request_ended("error"),
    ],
    [
        request_sent(),
        records.LoopDelayed(2500.0, 300.0),
        attempt_arrived(),
        request_ended(t=2700.0),
    ],  # the bench itself was late
    [
        *server_draining(600.0),
        request_sent(),
        attempt_arrived(),
        request_ended(),
    ],  # within the grace period for draining
    [records.ProcessChanged(1000.0, "g0", 7, "ended", 0)],
    [
        request_sent("order"),
        attempt_arrived(),
        records.RequestResent(1050.0, "r1"),
        request_ended("busy"),
        records.ProcessChanged(1150.0, "g0", 7, "ended", 0),
    ],
    [
        request_sent("order"),
        attempt_arrived(),
        records.RequestResent(1050.0, "r1"),
        attempt_arrived("s-2", 1060.0),
        request_ended(),
        records.ProcessChanged(1150.0, "g0", 7, "ended", 0),
    ],
    [
        request_sent("order"),
        records.RequestResent(1005.0, "r1"),
        attempt_arrived(),
        request_ended(),
    ],  # the gateway had not read it before its connection ended
]


def step_carried_out(do, on="g0", undone=False, t=1050.0):
    return records.StepCarriedOut(t, 0, do, [on], undone)


@pytest.mark.parametrize(("rule", "history"), BROKEN_RULES)
def test_referee_reports_the_broken_rule_and_no_other(rule, history):
    found = judge_records(*history)
    assert set(found.broken) == {rule}
    assert found.breaches


@pytest.mark.parametrize("history", ALLOWED_HISTORIES)
def test_referee_reports_no_breach_in_an_allowed_history(history):
    assert judge_records(*history).all_rules_kept


@pytest.mark.parametrize(
    ("history", "excused"),
    [
        ([request_sent("pay"), attempt_arrived(), step_carried_out("kill"), request_ended("cut")], True),
        (
            [
                request_sent("pay"),
                attempt_arrived(),
                step_carried_out("reset", "clients>g0"),
                request_ended("cut"),
            ],
            True,
        ),
        (
            [
                request_sent("pay"),
                attempt_arrived(),
                step_carried_out("reset", "g0>s-1"),
                request_ended("cut"),
            ],
            False,
        ),  # gateways have to cope with faults towards servers
        (
            [request_sent("pay"), attempt_arrived(), step_carried_out("kill", "g1"), request_ended("cut")],
            False,
        ),
        (
            [
                request_sent("pay"),
                attempt_arrived(),
                step_carried_out("delay", "clients>g0"),
                request_ended("cut"),
            ],
            False,
        ),  # a delay loses no request
        (
            [
                step_carried_out("stop", t=0.0),
                step_carried_out("stop", undone=True, t=100.0),
                request_sent(t=3000.0),
                attempt_arrived(t=3001.0),
                request_ended("none", t=5500.0),
            ],
            False,
        ),  # the fault ended long before
    ],
)
def test_faults_excuse_only_the_lost_requests_that_they_explain(history, excused):
    found = judge_records(*history)
    assert found.all_rules_kept == excused
    assert bool(found.excused) == excused


def test_history_with_an_incomplete_last_line_is_read_up_to_that_line(tmp_path):
    log = History(tmp_path / "h")
    for record in (records.Header(0.0, 1, SCENARIO), request_sent(), request_ended()):
        log.add(record)
    log.close()
    whole = (tmp_path / "h").read_bytes()
    (tmp_path / "h").write_bytes(whole[:-4])
    assert [type(record) for record in read_history(tmp_path / "h")] == [records.Header, records.RequestSent]
    for headless in ([], [request_sent()]):
        with pytest.raises(ValueError, match="history has no header"):
            judge(headless)


STORED_RECORDS = {
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


@pytest.mark.parametrize("line", STORED_RECORDS, ids=lambda line: line.split(b'"')[3].decode())
def test_record_format_stays_that_of_earlier_versions(line, tmp_path):
    """Stored histories are judged again later; a changed key or tag would make them unreadable."""
    (tmp_path / "h").write_bytes(line + b"\n")
    assert list(read_history(tmp_path / "h")) == [STORED_RECORDS[line]]
    log = History(tmp_path / "again")
    log.add(STORED_RECORDS[line])
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
def test_settings_are_unchanged_by_a_round_trip_through_json(original):
    assert settings_from(json.loads(json.dumps(settings_document(original)))) == original


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("rate = 150.0", "rate = 0.0", "$.rate"),
        ('do = "kill"', 'do = "hit"', "$.steps[0].do"),
        ('on = ["g1"]', 'on = ["g9"]', "$.steps[0]"),
        ("open g1 >= 1", "soon", "invalid condition 'soon'"),
        ('["g0"], ["s-1", "s-2"]', '["g0"], ["s-99"]', "unknown party: s-99"),
        ("gateways = 5", "gateways = 51", "at most 50"),
        ('do = "failing"', 'do = "slow"', "needs an amount"),
        ("gateways = 5", "gateways = 5\nx = 1", "$.world"),
    ],
)
def test_invalid_scenario_file_is_rejected_with_its_mistake_named(tmp_path, old, new, message):
    text = SCENARIO_FILE.read_text()
    assert old in text
    (tmp_path / "f.toml").write_text(text.replace(old, new, 1))
    with pytest.raises(WorldError, match="f.toml: ") as caught:
        load_scenario(tmp_path / "f.toml")
    assert message in str(caught.value)


# ---- Links


def test_link_delays_holds_cuts_refuses_and_resets_connections():
    async def test():
        server, host = await FakeServer(lambda words: server_reply(words[1])).start(), own_host()
        link = Link("a>b", (host, 20_000), ("127.0.0.1", server.port), Random(1))
        await link.listen()
        loop = asyncio.get_running_loop()

        async def peer():
            return await RespClient().open(link.listen_address[1], host)

        first_peer = await peer()
        assert (await first_peer.ask(resp("X", "1")))[0] == b"1"
        assert relayed_connection_of(server.writers[0].transport).link is link
        link.impairments["up"].delay = 0.05
        before = loop.time()
        assert (await first_peer.ask(resp("X", "2")))[0] == b"2"
        assert loop.time() - before >= 0.05
        link.impairments["up"].delay = 0.0

        link.silence("down")
        first_peer.send(resp("X", "3"))
        await server.until(lambda: len(server.commands) == 3)  # one direction only
        link.silence("up")
        first_peer.send(resp("X", "4"))
        await asyncio.sleep(0.05)
        assert len(server.commands) == 3
        assert first_peer.reader._buffer == bytearray()
        link.silence("both", False)
        assert [(await first_peer.reply())[0] for _ in range(2)] == [b"3", b"4"]  # held, not lost

        link.impairments["down"].bytes_until_reset = 6
        first_peer.send(resp("X", "5"))
        assert await first_peer.reader.readexactly(6) == server_reply(b"5")[:6]
        with pytest.raises(ConnectionResetError):
            await first_peer.reader.readexactly(1)
        second_peer = await peer()
        assert (await second_peer.ask(resp("X", "6")))[0] == b"6"
        await link.refuse()
        with pytest.raises(ConnectionRefusedError):
            await peer()
        link.reset(lose=True)
        with pytest.raises(ConnectionResetError):
            await second_peer.reader.read(1)
        await link.refuse(False)
        third_peer = await peer()
        third_peer.writer.close()
        while link.connections:
            await asyncio.sleep(0.005)
        link.close()

    run(test())


# ---- Several processes


async def run_steps_under_load(bench: FaultBench):
    """Carry out the steps under load until all operations have ended; returns the verdict."""
    timeline = Timeline(bench)
    timeline.start()
    await bench.load.run()
    await timeline.finish()
    await bench.load.finish()
    assert not timeline.missed
    verdict = bench.verdict()
    assert not bench.count_mismatches(verdict)
    return verdict


def run_scenario(tmp_path, scenario, **arguments):
    async def test():
        async with FaultBench(scenario, tmp_path / "rig", program=Program.of(ROOT), **arguments) as bench:
            return await run_steps_under_load(bench), bench

    return run(test())


def test_gateways_under_faults_keep_the_rules_and_every_request_is_counted(tmp_path):
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
    found, bench = run_scenario(tmp_path, scenario)
    assert found.all_rules_kept, found.breaches
    assert found.requests_total > 100
    assert found.outcomes["ok"] > found.requests_total / 2
    assert found.excused["lost"] >= 1
    history = list(read_history(bench.history.path))
    steps = [record for record in history if isinstance(record, records.StepCarriedOut)]
    assert {step.action for step in steps if step.undone} >= {"kill", "partition", "release", "stop"}
    assert any(step.answer.startswith("YES serving") for step in steps)
    started = [r for r in history if isinstance(r, records.ProcessChanged) and r.state == "started"]
    assert [r.gateway for r in started].count("g1") == 2


def test_upgrades_of_all_gateways_under_load_lose_no_request(tmp_path):
    found, bench = run_scenario(
        tmp_path,
        msgspec.structs.replace(
            SCENARIO, steps=tuple(Step("upgrade", (f"g{n}",), at_s=0.3 * n + 0.1) for n in range(3))
        ),
    )
    assert found.all_rules_kept, found.breaches
    assert not found.excused, found.breaches
    assert set(found.outcomes) <= {"ok", "busy"}
    assert found.requests_total > 100
    assert all(len(gateway.processes) == 2 for gateway in bench.managed_gateways.values())


def test_run_with_a_step_that_is_never_carried_out_is_invalid(tmp_path):
    (tmp_path / "f.toml").write_text(
        SCENARIO_FILE.read_text()
        .replace("open g1 >= 1", "open g1 >= 9999")
        .replace("seconds = 8.0", "seconds = 1.0")
    )
    command = [sys.executable, "-m", "quota_gateway.fault_bench", "run", str(tmp_path / "f.toml"), "--json"]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60, check=False)
    assert completed.returncode == 2, completed.stderr
    assert "step 0, kill, was not carried out" in json.loads(completed.stdout)["faults"][0]


def test_failed_start_of_gateways_is_reported_with_their_log(tmp_path):
    async def test():
        failing_program = Program(ROOT, "echo broken; exit 3")
        with pytest.raises(
            RuntimeError,
            match="gateways ended before they were ready: g0, g1, g2; end of the log of the first: broken",
        ):
            async with FaultBench(SCENARIO, tmp_path / "rig", program=failing_program):
                pass

    run(test())


def is_alive(pid: int) -> bool:
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


def restore_sigint() -> None:
    """Undo the ignored SIGINT that a process inherits from a shell's background job."""
    signal.signal(signal.SIGINT, signal.SIG_DFL)


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGINT])
def test_no_process_outlives_the_fault_bench_however_it_ends(tmp_path, number):
    command = [
        sys.executable,
        "-m",
        "quota_gateway.fault_bench",
        "run",
        str(SCENARIO_FILE),
        "--folder",
        str(tmp_path / "rig"),
    ]
    with (tmp_path / "err").open("w") as output:
        bench = subprocess.Popen(
            command, cwd=ROOT, stderr=output, stdout=output, start_new_session=True, preexec_fn=restore_sigint
        )
    try:
        pids: list[int] = []
        while len(pids) < 5:
            assert bench.poll() is None, (tmp_path / "err").read_text()
            pids = [
                int(pid) for pid in os.listdir("/proc") if pid.isdigit() and parent_pid(int(pid)) == bench.pid
            ]
        bench.send_signal(number)
        assert bench.wait(60) == (2 if number == signal.SIGINT else -signal.SIGKILL)
        while any(is_alive(pid) for pid in pids):
            os.sched_yield()
    finally:
        bench.kill()
        bench.wait()


def parent_pid(pid: int) -> int:
    try:
        return int(Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[1])
    except OSError:
        return 0
