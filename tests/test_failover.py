"""Requests in flight that outlive their process: the model holds, and finds each planted fault."""

import json
import os
import signal
import subprocess
import sys

import msgspec
import pytest
from click.testing import CliRunner
from fakes import Peer
from hypothesis import given, settings
from hypothesis import strategies as st
from test_fault_bench import ROOT, SCENARIO, run
from test_peer_process import call_of

from quota_gateway.failover.__main__ import main
from quota_gateway.failover.connection_record import (
    BUFFER_HEADER,
    ConnectionRecord,
    ConnectionRecordError,
    DoubleBuffer,
)
from quota_gateway.failover.model import FAULTS, HALVES, UNSAFE, Model, World, explore
from quota_gateway.failover.supervisor import Job, Supervisor
from quota_gateway.fault_bench.bench import FaultBench
from quota_gateway.fault_bench.processes import Program


@pytest.mark.parametrize(("deaths", "standbys"), [(0, 1), (1, 1), (1, 2), (2, 1), (2, 2)])
def test_record_claim_and_delivery_hold_wherever_anybody_dies(deaths, standbys):
    result = explore("", deaths, standbys)
    assert result.broken is None
    assert result.states > 100


@pytest.mark.parametrize("fault", FAULTS)
def test_each_planted_fault_is_found_and_its_way_can_be_walked(fault):
    broken = explore(fault).broken
    assert broken
    model, world = Model(fault), Model(fault).first()
    for what in broken.way:
        world = dict(model.steps(world))[what]
    assert model.broken(world) == broken.rule or (broken.rule == "end" and model.unfinished(world))


def test_without_a_mishap_all_is_answered_by_whoever_took_it():
    model, world = Model(deaths=0), Model(deaths=0).first()
    while steps := [
        to for what, to in model.steps(world) if what.startswith("gateway 0") and "stopped" not in what
    ]:
        world = steps[0]
    whole = tuple((request, part, 1) for request in range(len(UNSAFE)) for part in range(HALVES))
    assert world.stream == whole
    assert world.ran == (1, 1)
    assert isinstance(world, World)


def test_command_tells_by_its_exit_code():
    done = CliRunner().invoke(main, ["model", "--standbys", "1"])
    assert done.exit_code == 1  # one standby is too few for the fault that needs two
    assert CliRunner().invoke(main, ["model"]).exit_code == 0


# ---- The record


class KilledError(Exception):
    """The writer ends here."""


class Torn(bytearray):
    """Memory whose writer is killed after so many bytes, in the middle of a store."""

    left = 1 << 60

    def __setitem__(self, place, value):
        value = bytes(value)[: self.left]
        super().__setitem__(slice(place.start, place.start + len(value)), value)
        self.left -= len(value)
        if self.left <= 0:
            raise KilledError


@given(st.lists(st.binary(min_size=0, max_size=24), min_size=1, max_size=5), st.data())
@settings(max_examples=150, deadline=None)
def test_row_is_the_last_whole_one_wherever_its_writer_is_killed(bodies, data):
    memory = Torn(2 * (BUFFER_HEADER.size + 24))
    pair, held = DoubleBuffer(memory, 0, 24), b""
    for body in bodies[:-1]:
        pair.write(body)
        held = body
    memory.left = cut = data.draw(st.integers(1, BUFFER_HEADER.size + len(bodies[-1])))
    with pytest.raises(KilledError):
        pair.write(bodies[-1])
    after = DoubleBuffer(memory, 0, 24)
    assert after.read() in (held, bodies[-1])
    assert after.read() == held or cut == BUFFER_HEADER.size + len(bodies[-1])
    memory.left = 1 << 60
    after.write(b"the next one goes on"[:24])
    assert DoubleBuffer(memory, 0, 24).read() == b"the next one goes on"


WRITES = """
import sys
from quota_gateway.failover.connection_record import ConnectionRecord
record = ConnectionRecord.open(int(sys.argv[1]))
assert record.claim()
rows = [record.add_row(b"begin") for _ in range(8)]
print("up", flush=True)
n = 0
while True:
    n += 1
    for row in rows:
        record.replace_row(row, b"%08d" % n * (1 + n % 40))
"""


def test_record_of_a_process_that_is_killed_is_whole_and_claimed_once():
    for _ in range(8):
        file = os.memfd_create("work")
        ConnectionRecord.create(file, 8, 400).close()
        with subprocess.Popen(
            [sys.executable, "-c", WRITES, str(file)], pass_fds=(file,), cwd=ROOT, stdout=subprocess.PIPE
        ) as writer:
            assert writer.stdout
            assert writer.stdout.readline() == b"up\n"
            record = ConnectionRecord.open(file)
            try:
                # it lives
                assert record.claim() == 0
                assert (record.holder().number, record.holder().pid) == (1, writer.pid)
            finally:
                writer.kill()
        bodies = ConnectionRecord.open(file).read_rows()
        counts = [int(body[:8]) for body in bodies.values() if body != b"begin"]
        assert len(bodies) == 8
        assert not counts or max(counts) - min(counts) <= 1
        assert all(
            body in (b"begin", body[:8] * (1 + int(body[:8]) % 40))
            for body in bodies.values()
            if body != b"begin"
        )
        assert record.claim() == 2
        assert (record.holder().number, record.holder().pid) == (2, os.getpid())
        assert record.claim() == 0
        record.close()
        os.close(file)


CLAIMS = """
import sys
from quota_gateway.failover.connection_record import ConnectionRecord
record = ConnectionRecord.open(int(sys.argv[1]))
sys.stdin.readline()
print(record.claim(), flush=True)
sys.stdin.readline()
"""


def test_of_standbys_that_race_one_gets_the_claim_and_its_successor_the_next():
    file = os.memfd_create("work")
    ConnectionRecord.create(file, 1, 8).close()
    for number in (1, 2, 3):
        racers = [
            subprocess.Popen(
                [sys.executable, "-c", CLAIMS, str(file)],
                pass_fds=(file,),
                cwd=ROOT,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
            )
            for _ in range(4)
        ]
        try:
            for racer in racers:
                racer.stdin.write(b"go\n")
                racer.stdin.flush()
            assert sorted(int(racer.stdout.readline()) for racer in racers) == [0, 0, 0, number]
        finally:
            for racer in racers:
                racer.kill()
                racer.communicate()
    os.close(file)


def test_record_that_is_foreign_of_another_version_or_cut_off_is_refused_and_full_ones_count():
    file = os.memfd_create("work")
    record = ConnectionRecord.create(file, 2, 4)
    assert [record.add_row(body) for body in (b"a", b"b", b"c", b"too long")] == [0, 1, -1, -1]
    assert record.unprotected == 2
    assert record.read_rows() == {0: b"a", 1: b"b"}
    assert not record.replace_row(0, b"too long")
    assert record.read_rows() == {1: b"b"}
    assert record.add_row(b"d") == 0
    for place, value in ((0, b"x"), (8, b"\x09"), (12, b"\xff\xff")):
        whole = os.pread(file, 64, 0)
        os.pwrite(file, value, place)
        with pytest.raises(ConnectionRecordError):
            ConnectionRecord.open(file)
        os.pwrite(file, whole, 0)
    assert ConnectionRecord.open(file).read_rows() == {0: b"d", 1: b"b"}
    os.ftruncate(file, 100)
    with pytest.raises(ConnectionRecordError):
        ConnectionRecord.open(file)
    os.close(file)


# ---- The supervisor, over several processes

BOUND = """
import os, runpy, sys, threading
sys.path.insert(0, os.getcwd())
def last(file):
    os.read(file, 1)  # ends with the test, however that ends; at once, where it has ended
    os._exit(9)
file = os.open(sys.argv[1], os.O_RDONLY | os.O_NONBLOCK)
os.set_blocking(file, True)
threading.Thread(target=last, args=(file,), daemon=True).start()
sys.argv[1:] = []
runpy.run_module("quota_gateway", run_name="__main__", alter_sys=True)
"""


class Kept:
    """One gateway under a supervisor, whichever process serves."""

    def __init__(self, rig, member) -> None:
        self.rig, self.member = rig, member

    async def pid(self) -> int:
        """Of the process that serves."""
        return int(json.loads((await self.rig.call_admin("g0", "FIGURES")).removeprefix("YES "))["pid"])

    async def next_serves(self, before: int) -> int:
        """Wait until another process than this one does."""
        while True:
            text = await self.rig.call_admin("g0", "FIGURES")
            now = int(json.loads(text.removeprefix("YES "))["pid"]) if text.startswith("YES") else before
            if now != before:
                return now

    async def standby(self) -> None:
        """Wait until as many stand by as serve."""
        await self.rig.until(lambda: self.member.log().count('"here"') >= self.seen + 1)
        self.seen = self.member.log().count('"here"')

    seen = 1

    def mute(self, on: bool) -> None:
        """Whether the servers say nothing."""
        for server in self.rig.servers.values():
            server.mute = on

    async def in_hand(self) -> None:
        """Wait until a request is."""
        while '"in_hand":1' not in await self.rig.call_admin("g0", "FIGURES"):
            pass

    async def peer(self) -> Peer:
        return await Peer().open(self.rig.links["clients>g0"].at[1], self.rig.host)


def kept(tmp_path, case, seconds=30.0):
    (tmp_path / "bound.py").write_text(BOUND)
    os.mkfifo(tmp_path / "end")
    python = f"exec {sys.executable}"
    (tmp_path / "supervisor.toml").write_text(
        f'command = "{python} {tmp_path}/bound.py {tmp_path}/end"\nfolder = "{ROOT}"\n'
        'socket = "$TMPDIR/keeper.sock"\n'
    )

    async def test():
        world = msgspec.structs.replace(SCENARIO.world, gateways=1, seconds=seconds)
        scenario = msgspec.structs.replace(SCENARIO, world=world, rate=80.0)
        program = Program(ROOT, f"{python} -m quota_gateway.failover run {tmp_path}/supervisor.toml")
        async with FaultBench(scenario, tmp_path / "rig", program=program) as rig:
            made = Kept(rig, rig.managed_gateways["g0"])
            try:
                await case(made)
            except BaseException:
                print(made.member.log())
                raise

    held = os.open(tmp_path / "end", os.O_RDWR)
    try:
        run(test())
    finally:
        os.close(held)


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
def test_connections_at_rest_go_on_at_the_standby_and_others_end(tmp_path, number):
    async def case(made: Kept):
        rest = await made.peer()
        for turn in range(2):  # also what was gone on with goes on, and ends
            await made.standby()
            busy, half = await made.peer(), await made.peer()
            for place, peer in enumerate((rest, busy, half)):
                assert await peer.ask(call_of(place)) == b"%016x" % place
            made.mute(True)
            busy.send(call_of(4))
            half.send(call_of(5)[:30])
            before = await made.pid()
            await made.in_hand()
            os.kill(before, number)
            made.mute(False)
            rest.send(call_of(6))
            assert await rest.reply() == b"0000000000000006"
            assert await busy.reply() is None
            assert await half.reply() is None
            assert await made.next_serves(before) != before
            assert made.member.log().count("gone on from a process that died") == turn + 1
        busy = await made.peer()
        assert await busy.ask(call_of(7)) == b"0000000000000007"
        await made.standby()
        made.mute(True)
        rest.send(call_of(8))  # it has been gone on with twice
        await made.in_hand()
        os.kill(await made.pid(), signal.SIGKILL)
        assert await rest.reply() is None

    kept(tmp_path, case)


def test_supervisor_that_dies_takes_nobody_along_and_the_next_one_keeps_all(tmp_path):
    async def case(made: Kept):
        await made.standby()
        rest = await made.peer()
        assert await rest.ask(call_of(1)) == b"0000000000000001"
        before, member = await made.pid(), made.member
        second = subprocess.run(
            [sys.executable, "-m", "quota_gateway.failover", "run", tmp_path / "supervisor.toml"],
            cwd=ROOT,
            env={**os.environ, "TMPDIR": str(member.tmp)},
            capture_output=True,
            text=True,
            check=False,
        )
        assert second.returncode == 2
        assert "another supervisor has" in second.stderr
        member.process.signal(signal.SIGKILL)
        await member.process.child.wait()
        assert await rest.ask(call_of(2)) == b"0000000000000002"
        await member.start(place=0)
        await made.rig.until(lambda: '"serving": true' in member.log())
        assert await made.pid() == before
        os.kill(before, signal.SIGKILL)
        assert await rest.ask(call_of(3)) == b"0000000000000003"
        assert await made.next_serves(before) != before

    kept(tmp_path, case)


def test_process_that_comes_over_a_new_link_leaves_no_copy_of_the_old_one(tmp_path):
    class Fake:
        """A link, and the process at its other end."""

        pid = 7

        def __init__(self) -> None:
            self.peer_process = self

        def kill(self) -> None: ...

        def close(self) -> None: ...

    async def test():
        supervisor = Supervisor(Job("true", ".", str(tmp_path / "sock")))
        before = len(os.listdir("/proc/self/fd"))
        first, second = Fake(), Fake()
        for link in (first, second):
            supervisor._on_message(link, b"H1", [os.memfd_create("record")])
            supervisor._on_message(link, b"C1", [os.memfd_create("connection")])
        assert list(supervisor.processes) == [second]
        assert len(os.listdir("/proc/self/fd")) == before + 2
        supervisor._on_message(second, b"D1", [])
        assert len(os.listdir("/proc/self/fd")) == before + 1  # nothing keeps it from ending
        supervisor.processes[second].close_all()

    run(test())


def test_under_load_a_kill_loses_no_more_than_was_in_flight(tmp_path):
    async def case(made: Kept):
        load = made.rig.load
        asking = made.rig.clock.loop.create_task(load.run())
        for _ in range(3):
            await made.standby()
            at = load.outcomes["ok"] + 60
            await made.rig.until(lambda at=at: load.outcomes["ok"] > at)
            before, lost = await made.pid(), load.outcomes["cut"]
            in_hand = load.open["g0"]
            os.kill(before, signal.SIGKILL)
            await made.next_serves(before)
            at = load.outcomes["ok"] + 20
            await made.rig.until(lambda at=at: load.outcomes["ok"] > at)
            assert load.outcomes["cut"] - lost <= in_hand + 4
        assert load.outcomes["unheard"] == 0
        load.stop()
        await asking
        await load.finish()

    kept(tmp_path, case)
