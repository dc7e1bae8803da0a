"""A hot restart in which one of the two processes hangs or dies; counters and fencing tokens."""

import json
import os
import signal
import socket
import subprocess
import sys

import msgspec
import pytest
from fakes import RespClient, call
from test_fault_bench import ROOT, SCENARIO, run, run_steps_under_load

from quota_gateway.fault_bench.bench import FaultBench
from quota_gateway.fault_bench.processes import Program
from quota_gateway.fault_bench.scenario import Step
from quota_gateway.net import metrics
from quota_gateway.net.retained_connections import RetainedConnections
from quota_gateway.net.tcp_info import bytes_consumed


def run_beside_load(tmp_path, case, seconds=4.0, steps=()):
    """Run a case with one gateway under load; the case starts, stops and kills its processes."""

    async def test():
        world = msgspec.structs.replace(SCENARIO.world, gateways=1, seconds=seconds)
        scenario = msgspec.structs.replace(SCENARIO, world=world, rate=80.0, steps=steps)
        async with FaultBench(scenario, tmp_path / "rig", program=Program.of(ROOT)) as bench:
            await case(bench, bench.managed_gateways["g0"])

    run(test())


def test_successor_that_hangs_is_killed_and_its_connections_are_taken_back(tmp_path):
    async def case(bench, gateway):
        old = gateway.process
        idle = await RespClient().open(bench.links["clients>g0"].listen_address[1], bench.host)
        assert await idle.ask(call_of(1)) == b"0000000000000001"
        new = await gateway.start()
        assert await gateway.ready(new)
        new.signal(signal.SIGSTOP)
        idle.send(call_of(2))  # the stopped process owns this connection by now and can't read from it
        await bench.until(lambda: not new.alive)
        assert await idle.reply() == b"0000000000000002"
        assert old.alive
        assert (await old.call("HEALTH")).startswith("YES serving")
        assert "the peer process hangs" in gateway.log()
        assert "connections reclaimed" in gateway.log()
        third = await gateway.start()
        assert await gateway.ready(third)  # another hot restart is possible

    run_beside_load(tmp_path, case)


def test_untouched_connections_survive_the_successors_death_and_others_are_closed(tmp_path):
    async def case(bench, gateway):
        untouched, used = [
            await RespClient().open(bench.links["clients>g0"].listen_address[1], bench.host) for _ in range(2)
        ]
        for number, peer in enumerate((untouched, used)):
            assert await peer.ask(call_of(number)) == b"%016x" % number
        new = await gateway.start()
        assert await gateway.ready(new)
        assert await used.ask(call_of(7)) == b"%016x" % 7
        new.signal(signal.SIGKILL)
        assert await used.reply() is None
        assert await untouched.ask(call_of(8)) == b"%016x" % 8

    run_beside_load(tmp_path, case)


def test_predecessor_that_hangs_before_the_handover_is_killed_and_the_successor_serves(tmp_path):
    async def case(bench, gateway):
        old = gateway.process
        old.signal(signal.SIGSTOP)
        new = await gateway.start()
        assert await gateway.ready(new)
        assert not old.alive
        assert "the predecessor hangs" in gateway.log()
        peer = await RespClient().open(bench.links["clients>g0"].listen_address[1], bench.host)
        assert await peer.ask(call_of(1)) == b"0000000000000001"

    run_beside_load(tmp_path, case)


def test_predecessor_that_hangs_after_the_handover_is_killed(tmp_path):
    async def case(bench, gateway):
        old = gateway.process
        new = await gateway.start()
        assert await gateway.ready(new)
        old.signal(signal.SIGSTOP)
        await bench.until(lambda: not old.alive)
        assert new.alive
        assert (await new.call("HEALTH")).startswith("YES serving")

    run_beside_load(tmp_path, case)


def test_processes_on_an_overloaded_core_are_not_taken_for_hung(tmp_path):
    """Both processes share one core with busy loops, which makes them slow; neither may be taken for hung."""

    async def case(bench, gateway):
        verdict = await run_steps_under_load(bench)
        assert verdict.all_rules_kept, verdict.breaches
        assert "hangs" not in gateway.log()
        assert sum(process.alive for process in gateway.processes) >= 1

    run_beside_load(
        tmp_path, case, steps=(Step("busy", ("g0",), at_s=0.2, for_s=3.5), Step("upgrade", ("g0",), at_s=0.5))
    )


def test_connection_closed_by_the_successor_is_closed_for_its_client(tmp_path):
    async def case(bench, gateway):
        peer = await RespClient().open(bench.links["clients>g0"].listen_address[1], bench.host)
        assert await peer.ask(call_of(1)) == b"0000000000000001"
        new = await gateway.start()
        assert await gateway.ready(new)
        peer.send(b"garbage\r\n" * 40)
        while (answer := await peer.reply()) is not None:  # the predecessor has a copy to close too
            assert answer.startswith("-ERR")
        assert all(process.alive for process in gateway.processes)

    run_beside_load(tmp_path, case)


def call_of(number: int) -> bytes:
    return call(number, plan="basis", timeout_ms=4000)


def test_retained_copies_are_bounded_and_only_untouched_ones_are_reclaimed():
    listener = socket.create_server(("127.0.0.1", 0))
    pairs = [(socket.create_connection(listener.getsockname()), listener.accept()[0]) for _ in range(3)]
    retained, descriptors_before = RetainedConnections(), len(os.listdir("/proc/self/fd"))
    pairs[0][0].sendall(b"half")  # not read before or after the transfer
    numbers = [retained.retain(near.fileno(), n == 0, 2) for n, (_, near) in enumerate(pairs)]
    assert numbers == [1, 2, 0]
    pairs[1][0].sendall(b"all")
    assert pairs[1][1].recv(3) == b"all"
    assert bytes_consumed(pairs[1][1].fileno()) == 3
    (reclaimed,) = retained.reclaim()
    assert reclaimed.has_requested
    assert reclaimed.sock.recv(4) == b"half"
    for sock in (reclaimed.sock, *(end for pair in pairs for end in pair)):
        sock.close()
    assert len(os.listdir("/proc/self/fd")) == descriptors_before - 6
    listener.close()


def test_figures_match_the_outcomes_that_clients_counted(tmp_path):
    async def case(bench, gateway):
        await bench.load.run()
        await bench.load.finish()
        status, _, text = (await bench.call_admin("g0", "FIGURES")).partition(" ")
        assert status == "YES"
        figures, outcomes = json.loads(text), bench.load.outcomes
        assert figures["asked"] == bench.load.requests_total > 100
        assert figures["in_hand"] == 0
        assert (figures["served"], figures["refused"], figures["failed"]) == (
            outcomes["ok"],
            outcomes["busy"],
            outcomes["error"],
        )
        assert sum(figures["latency"].values()) == figures["served"]
        assert figures["attempts"] >= figures["served"]
        assert sum(figures["reasons"].values()) >= figures["refused"]
        assert figures["pid"] == gateway.process.pid
        assert figures["revision"] in await bench.call_admin("g0", "CONFIG")
        assert len(text) < 4096

    run_beside_load(tmp_path, case, seconds=1.5)


@pytest.mark.parametrize(
    ("latency_ms", "bucket"), [(0.0, 0), (1.0, 0), (1.2, 1), (2.0, 4), (1000.0, 39), (1e9, 68)]
)
def test_latency_buckets_are_bounded_and_about_a_fifth_wide(latency_ms, bucket):
    assert metrics.latency_bucket(latency_ms) == bucket


def test_lower_fencing_token_is_rejected_by_every_later_process_too(tmp_path):
    async def case(bench, gateway):
        ask = bench.call_admin
        assert (await ask("g0", "AS 7 LEAVE")) == "YES drained"
        assert (await ask("g0", "AS 7 JOIN")) == "YES taking clients"
        assert (await ask("g0", "AS 6 LEAVE")) == "NO an older token: 7 has called"
        assert (await ask("g0", "AS 0 LEAVE")).startswith("NO AS takes a token from 1")
        assert (await ask("g0", "AS 8")).startswith("NO AS takes")
        assert (await ask("g0", "AS 9 NOTHING")).startswith("NO no such call")
        new = await gateway.start()
        assert await gateway.ready(new)
        assert (await new.call("AS 8 LEAVE")) == "NO an older token: 9 has called"  # handed over
        assert (await new.call("HEALTH")).startswith("YES serving")
        for process in gateway.processes:
            process.signal(signal.SIGKILL)
            await process.child.wait()
        last = await gateway.start()  # without a predecessor, but in the same folder
        assert await gateway.ready(last)
        assert (await last.call("AS 8 LEAVE")) == "NO an older token: 9 has called"
        assert (await last.call("LEAVE")) == "YES drained"  # a command without a token is an operator's

    run_beside_load(tmp_path, case)


def test_peak_memory_excludes_the_parent_process():
    parent_memory = b"x" * 300_000_000
    code = "from quota_gateway.net.metrics import peak_memory_kib; print(peak_memory_kib())"
    completed = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert 1_000 < int(completed.stdout) < len(parent_memory) // 2048
