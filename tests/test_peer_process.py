"""Two processes of one gateway, one of which hangs or dies; figures and fencing tokens."""

import json
import os
import signal
import socket
import subprocess
import sys

import msgspec
import pytest
from fakes import Peer, call
from test_fault_bench import ROOT, SCENARIO, run, through

from quota_gateway.fault_bench.bench import FaultBench
from quota_gateway.fault_bench.processes import Program
from quota_gateway.fault_bench.scenario import Step
from quota_gateway.net import metrics
from quota_gateway.net.retained_connections import RetainedConnections
from quota_gateway.net.tcp_info import bytes_consumed


def beside(tmp_path, case, seconds=4.0, steps=()):
    """One gateway under load; the case plays with its processes."""

    async def test():
        world = msgspec.structs.replace(SCENARIO.world, gateways=1, seconds=seconds)
        scenario = msgspec.structs.replace(SCENARIO, world=world, rate=80.0, steps=steps)
        async with FaultBench(scenario, tmp_path / "rig", program=Program.of(ROOT)) as rig:
            await case(rig, rig.managed_gateways["g0"])

    run(test())


def test_next_process_that_hangs_is_ended_and_its_connections_are_taken_back(tmp_path):
    async def case(rig, member):
        old = member.process
        idle = await Peer().open(rig.links["clients>g0"].at[1], rig.host)
        assert await idle.ask(call_of(1)) == b"0000000000000001"
        new = await member.start()
        assert await member.ready(new)
        new.signal(signal.SIGSTOP)
        idle.send(call_of(2))  # into a connection that the stopped process has by now, and has not read
        await rig.until(lambda: not new.alive)
        assert await idle.reply() == b"0000000000000002"
        assert old.alive
        assert (await old.call("HEALTH")).startswith("YES serving")
        assert "the peer process hangs" in member.log()
        assert "connections reclaimed" in member.log()
        again = await member.start()
        assert await member.ready(again)  # the way is open for the next one

    beside(tmp_path, case)


def test_next_process_that_dies_leaves_untouched_connections_and_closes_the_others(tmp_path):
    async def case(rig, member):
        untouched, used = [await Peer().open(rig.links["clients>g0"].at[1], rig.host) for _ in range(2)]
        for number, peer in enumerate((untouched, used)):
            assert await peer.ask(call_of(number)) == b"%016x" % number
        new = await member.start()
        assert await member.ready(new)
        assert await used.ask(call_of(7)) == b"%016x" % 7
        new.signal(signal.SIGKILL)
        assert await used.reply() is None
        assert await untouched.ask(call_of(8)) == b"%016x" % 8

    beside(tmp_path, case)


def test_old_process_that_hangs_is_ended_and_the_next_goes_on_alone(tmp_path):
    async def case(rig, member):
        old = member.process
        old.signal(signal.SIGSTOP)
        new = await member.start()
        assert await member.ready(new)
        assert not old.alive
        assert "the predecessor hangs" in member.log()
        peer = await Peer().open(rig.links["clients>g0"].at[1], rig.host)
        assert await peer.ask(call_of(1)) == b"0000000000000001"

    beside(tmp_path, case)


def test_old_process_that_hangs_after_the_hot_restart_is_ended(tmp_path):
    async def case(rig, member):
        old = member.process
        new = await member.start()
        assert await member.ready(new)
        old.signal(signal.SIGSTOP)
        await rig.until(lambda: not old.alive)
        assert new.alive
        assert (await new.call("HEALTH")).startswith("YES serving")

    beside(tmp_path, case)


def test_busy_machine_makes_nobody_hung(tmp_path):
    """Both share one core with processes that spin: slow, and left alone."""

    async def case(rig, member):
        verdict = await through(rig)
        assert verdict.kept, verdict.told
        assert "hangs" not in member.log()
        assert sum(process.alive for process in member.processes) >= 1

    beside(
        tmp_path, case, steps=(Step("busy", ("g0",), at_s=0.2, for_s=3.5), Step("upgrade", ("g0",), at_s=0.5))
    )


def test_connection_that_the_next_process_closes_ends_for_its_client(tmp_path):
    async def case(rig, member):
        peer = await Peer().open(rig.links["clients>g0"].at[1], rig.host)
        assert await peer.ask(call_of(1)) == b"0000000000000001"
        new = await member.start()
        assert await member.ready(new)
        peer.send(b"garbage\r\n" * 40)
        while (answer := await peer.reply()) is not None:  # the process before holds a copy
            assert answer.startswith("-ERR")
        assert all(process.alive for process in member.processes)

    beside(tmp_path, case)


def call_of(number: int) -> bytes:
    return call(number, plan="basis", wait=4000)


def test_kept_copies_are_bounded_and_only_untouched_ones_come_back():
    listener = socket.create_server(("127.0.0.1", 0))
    pairs = [(socket.create_connection(listener.getsockname()), listener.accept()[0]) for _ in range(3)]
    kept, before = RetainedConnections(), len(os.listdir("/proc/self/fd"))
    pairs[0][0].sendall(b"half")  # unread before and after
    numbers = [kept.retain(near.fileno(), n == 0, 2) for n, (_, near) in enumerate(pairs)]
    assert numbers == [1, 2, 0]
    pairs[1][0].sendall(b"all")
    assert pairs[1][1].recv(3) == b"all"
    assert bytes_consumed(pairs[1][1].fileno()) == 3
    (reclaimed,) = kept.reclaim()
    assert reclaimed.has_requested
    assert reclaimed.sock.recv(4) == b"half"
    for one in (reclaimed.sock, *(end for pair in pairs for end in pair)):
        one.close()
    assert len(os.listdir("/proc/self/fd")) == before - 6
    listener.close()


def test_figures_add_up_to_what_the_clients_saw(tmp_path):
    async def case(rig, member):
        await rig.load.run()
        await rig.load.finish()
        yes, _, text = (await rig.call_admin("g0", "FIGURES")).partition(" ")
        assert yes == "YES"
        seen, counted = json.loads(text), rig.load.outcomes
        assert seen["asked"] == rig.load.requests_total > 100
        assert seen["in_hand"] == 0
        assert (seen["served"], seen["refused"], seen["failed"]) == (
            counted["ok"],
            counted["busy"],
            counted["error"],
        )
        assert sum(seen["latency"].values()) == seen["served"]
        assert seen["attempts"] >= seen["served"]
        assert sum(seen["reasons"].values()) >= seen["refused"]
        assert seen["pid"] == member.process.pid
        assert seen["revision"] in await rig.call_admin("g0", "CONFIG")
        assert len(text) < 4096

    beside(tmp_path, case, seconds=1.5)


@pytest.mark.parametrize(("ms", "step"), [(0.0, 0), (1.0, 0), (1.2, 1), (2.0, 4), (1000.0, 39), (1e9, 68)])
def test_scale_of_latencies_is_bounded_and_a_fifth_wide(ms, step):
    assert metrics.latency_bucket(ms) == step


def test_token_that_was_followed_by_a_higher_one_can_do_nothing_whoever_serves(tmp_path):
    async def case(rig, member):
        ask = rig.call_admin
        assert (await ask("g0", "AS 7 LEAVE")) == "YES drained"
        assert (await ask("g0", "AS 7 JOIN")) == "YES taking clients"
        assert (await ask("g0", "AS 6 LEAVE")) == "NO an older token: 7 has called"
        assert (await ask("g0", "AS 0 LEAVE")).startswith("NO AS takes a token from 1")
        assert (await ask("g0", "AS 8")).startswith("NO AS takes")
        assert (await ask("g0", "AS 9 NOTHING")).startswith("NO no such call")
        new = await member.start()
        assert await member.ready(new)
        assert (await new.call("AS 8 LEAVE")) == "NO an older token: 9 has called"  # went along
        assert (await new.call("HEALTH")).startswith("YES serving")
        for process in member.processes:
            process.signal(signal.SIGKILL)
            await process.child.wait()
        last = await member.start()  # from nothing, but in the same folder
        assert await member.ready(last)
        assert (await last.call("AS 8 LEAVE")) == "NO an older token: 9 has called"
        assert (await last.call("LEAVE")) == "YES drained"  # who has none is an operator

    beside(tmp_path, case)


def test_memory_is_the_process_own_and_not_its_starters():
    held = b"x" * 300_000_000
    code = "from quota_gateway.net.metrics import peak_memory_kib; print(peak_memory_kib())"
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert 1_000 < int(done.stdout) < len(held) // 2048
