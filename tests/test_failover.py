"""Connection failover: its model, the connection record, and the supervisor with real processes."""

import json
import os
import signal
import subprocess
import sys

import msgspec
import pytest
from click.testing import CliRunner
from fakes import RespClient
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
from quota_gateway.failover.model import FAULTS, PARTS_PER_ANSWER, UNSAFE, Model, World, explore
from quota_gateway.failover.supervisor import Job, Supervisor
from quota_gateway.fault_bench.bench import FaultBench
from quota_gateway.fault_bench.processes import Program


@pytest.mark.parametrize(("deaths", "standbys"), [(0, 1), (1, 1), (1, 2), (2, 1), (2, 2)])
def test_model_without_a_fault_breaks_no_guarantee(deaths, standbys):
    result = explore("", deaths, standbys)
    assert result.broken is None
    assert result.states > 100


@pytest.mark.parametrize("fault", FAULTS)
def test_model_finds_each_planted_fault_and_its_trace_can_be_replayed(fault):
    broken = explore(fault).broken
    assert broken
    model, world = Model(fault), Model(fault).initial_world()
    for label in broken.trace:
        world = dict(model.steps(world))[label]
    assert model.broken(world) == broken.guarantee or (
        broken.guarantee == "end" and model.has_unanswered(world)
    )


def test_first_gateway_answers_all_requests_if_nothing_fails():
    model, world = Model(deaths=0), Model(deaths=0).initial_world()
    while steps := [
        next_world
        for label, next_world in model.steps(world)
        if label.startswith("gateway 0") and "stopped" not in label
    ]:
        world = steps[0]
    all_parts = tuple(
        (request, part, 1) for request in range(len(UNSAFE)) for part in range(PARTS_PER_ANSWER)
    )
    assert world.stream == all_parts
    assert world.run_counts == (1, 1)
    assert isinstance(world, World)


def test_model_command_exits_with_1_if_a_planted_fault_is_not_found():
    result = CliRunner().invoke(main, ["model", "--standbys", "1"])
    assert result.exit_code == 1  # one planted fault shows only with two standbys
    assert CliRunner().invoke(main, ["model"]).exit_code == 0


# ---- The record


class KilledError(Exception):
    """The writer is killed at this point."""


class MemoryOfKilledWriter(bytearray):
    """Memory whose writer is killed after ``writable_bytes`` more bytes, also in the middle of a store."""

    writable_bytes = 1 << 60

    def __setitem__(self, index, value):
        value = bytes(value)[: self.writable_bytes]
        super().__setitem__(slice(index.start, index.start + len(value)), value)
        self.writable_bytes -= len(value)
        if self.writable_bytes <= 0:
            raise KilledError


@given(st.lists(st.binary(min_size=0, max_size=24), min_size=1, max_size=5), st.data())
@settings(max_examples=150, deadline=None)
def test_buffer_keeps_its_last_complete_value_wherever_its_writer_is_killed(bodies, data):
    memory = MemoryOfKilledWriter(2 * (BUFFER_HEADER.size + 24))
    buffer, stored_body = DoubleBuffer(memory, 0, 24), b""
    for body in bodies[:-1]:
        buffer.write(body)
        stored_body = body
    memory.writable_bytes = kill_at = data.draw(st.integers(1, BUFFER_HEADER.size + len(bodies[-1])))
    with pytest.raises(KilledError):
        buffer.write(bodies[-1])
    reopened = DoubleBuffer(memory, 0, 24)
    assert reopened.read() in (stored_body, bodies[-1])
    assert reopened.read() == stored_body or kill_at == BUFFER_HEADER.size + len(bodies[-1])
    memory.writable_bytes = 1 << 60
    reopened.write(b"the next one goes on"[:24])
    assert DoubleBuffer(memory, 0, 24).read() == b"the next one goes on"


WRITER_SCRIPT = """
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


def test_record_of_a_killed_process_is_complete_and_can_be_claimed_once():
    for _ in range(8):
        file = os.memfd_create("work")
        ConnectionRecord.create(file, 8, 400).close()
        with subprocess.Popen(
            [sys.executable, "-c", WRITER_SCRIPT, str(file)],
            pass_fds=(file,),
            cwd=ROOT,
            stdout=subprocess.PIPE,
        ) as writer:
            assert writer.stdout
            assert writer.stdout.readline() == b"up\n"
            record = ConnectionRecord.open(file)
            try:
                # the writer still runs
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


CLAIMER_SCRIPT = """
import sys
from quota_gateway.failover.connection_record import ConnectionRecord
record = ConnectionRecord.open(int(sys.argv[1]))
sys.stdin.readline()
print(record.claim(), flush=True)
sys.stdin.readline()
"""


def test_one_of_several_racing_processes_gets_the_claim_and_later_ones_the_next_number():
    file = os.memfd_create("work")
    ConnectionRecord.create(file, 1, 8).close()
    for number in (1, 2, 3):
        racers = [
            subprocess.Popen(
                [sys.executable, "-c", CLAIMER_SCRIPT, str(file)],
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


def test_invalid_record_is_rejected_and_bodies_without_room_are_counted():
    file = os.memfd_create("work")
    record = ConnectionRecord.create(file, 2, 4)
    assert [record.add_row(body) for body in (b"a", b"b", b"c", b"too long")] == [0, 1, -1, -1]
    assert record.unprotected == 2
    assert record.read_rows() == {0: b"a", 1: b"b"}
    assert not record.replace_row(0, b"too long")
    assert record.read_rows() == {1: b"b"}
    assert record.add_row(b"d") == 0
    for index, value in ((0, b"x"), (8, b"\x09"), (12, b"\xff\xff")):
        original = os.pread(file, 64, 0)
        os.pwrite(file, value, index)
        with pytest.raises(ConnectionRecordError):
            ConnectionRecord.open(file)
        os.pwrite(file, original, 0)
    assert ConnectionRecord.open(file).read_rows() == {0: b"d", 1: b"b"}
    os.ftruncate(file, 100)
    with pytest.raises(ConnectionRecordError):
        ConnectionRecord.open(file)
    os.close(file)


# ---- The supervisor, with several processes

GATEWAY_SCRIPT = """
import os, runpy, sys, threading
sys.path.insert(0, os.getcwd())
def exit_with_the_test(file):
    os.read(file, 1)  # returns when the test process ends, in whatever way, or has ended already
    os._exit(9)
file = os.open(sys.argv[1], os.O_RDONLY | os.O_NONBLOCK)
os.set_blocking(file, True)
threading.Thread(target=exit_with_the_test, args=(file,), daemon=True).start()
sys.argv[1:] = []
runpy.run_module("quota_gateway", run_name="__main__", alter_sys=True)
"""


class GatewayUnderSupervisor:
    """One gateway under a supervisor: whichever of its processes serves."""

    def __init__(self, rig, member) -> None:
        self.rig, self.member = rig, member

    async def pid(self) -> int:
        """Process id of the process that serves."""
        return int(json.loads((await self.rig.call_admin("g0", "FIGURES")).removeprefix("YES "))["pid"])

    async def next_serving_pid(self, before: int) -> int:
        """Wait until another process than this one serves, and return its process id."""
        while True:
            text = await self.rig.call_admin("g0", "FIGURES")
            now = int(json.loads(text.removeprefix("YES "))["pid"]) if text.startswith("YES") else before
            if now != before:
                return now

    async def wait_for_registration(self) -> None:
        """Wait until one more process has registered with the supervisor."""
        await self.rig.until(lambda: self.member.log().count('"here"') >= self.registered_count + 1)
        self.registered_count = self.member.log().count('"here"')

    registered_count = 1  # processes that have registered

    def mute(self, on: bool) -> None:
        """Make the servers leave all requests unanswered, or answer again."""
        for server in self.rig.servers.values():
            server.mute = on

    async def wait_for_request_in_flight(self) -> None:
        """Wait until the gateway has exactly one request in flight."""
        while '"in_hand":1' not in await self.rig.call_admin("g0", "FIGURES"):
            pass

    async def connect(self) -> RespClient:
        return await RespClient().open(self.rig.links["clients>g0"].listen_address[1], self.rig.host)


def run_supervised(tmp_path, case, seconds=30.0):
    (tmp_path / "bound.py").write_text(GATEWAY_SCRIPT)
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
            gateway = GatewayUnderSupervisor(rig, rig.managed_gateways["g0"])
            try:
                await case(gateway)
            except BaseException:
                print(gateway.member.log())
                raise

    write_end = os.open(tmp_path / "end", os.O_RDWR)
    try:
        run(test())
    finally:
        os.close(write_end)


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGSTOP])
def test_standby_continues_connections_at_rest_and_closes_the_others(tmp_path, signal_number):
    async def case(gateway: GatewayUnderSupervisor):
        client_at_rest = await gateway.connect()
        for turn in range(2):  # an adopted connection can be adopted again, or closed
            await gateway.wait_for_registration()
            client_with_request, client_mid_request = await gateway.connect(), await gateway.connect()
            for index, peer in enumerate((client_at_rest, client_with_request, client_mid_request)):
                assert await peer.ask(call_of(index)) == b"%016x" % index
            gateway.mute(True)
            client_with_request.send(call_of(4))
            client_mid_request.send(call_of(5)[:30])
            before = await gateway.pid()
            await gateway.wait_for_request_in_flight()
            os.kill(before, signal_number)
            gateway.mute(False)
            client_at_rest.send(call_of(6))
            assert await client_at_rest.reply() == b"0000000000000006"
            assert await client_with_request.reply() is None
            assert await client_mid_request.reply() is None
            assert await gateway.next_serving_pid(before) != before
            assert gateway.member.log().count("took over from a process that died") == turn + 1
        client_with_request = await gateway.connect()
        assert await client_with_request.ask(call_of(7)) == b"0000000000000007"
        await gateway.wait_for_registration()
        gateway.mute(True)
        client_at_rest.send(call_of(8))  # this connection has been adopted twice
        await gateway.wait_for_request_in_flight()
        os.kill(await gateway.pid(), signal.SIGKILL)
        assert await client_at_rest.reply() is None

    run_supervised(tmp_path, case)


def test_gateways_outlive_the_supervisor_and_the_next_one_supervises_them(tmp_path):
    async def case(gateway: GatewayUnderSupervisor):
        await gateway.wait_for_registration()
        client_at_rest = await gateway.connect()
        assert await client_at_rest.ask(call_of(1)) == b"0000000000000001"
        before, member = await gateway.pid(), gateway.member
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
        assert await client_at_rest.ask(call_of(2)) == b"0000000000000002"
        await member.start(admin_index=0)
        await gateway.rig.until(lambda: '"serving": true' in member.log())
        assert await gateway.pid() == before
        os.kill(before, signal.SIGKILL)
        assert await client_at_rest.ask(call_of(3)) == b"0000000000000003"
        assert await gateway.next_serving_pid(before) != before

    run_supervised(tmp_path, case)


def test_process_that_registers_over_a_new_link_leaves_no_copies_of_the_old_one(tmp_path):
    class FakeLink:
        """A link and the process at its other end, in one object."""

        pid = 7

        def __init__(self) -> None:
            self.peer_process = self

        def kill(self) -> None: ...

        def close(self) -> None: ...

    async def test():
        supervisor = Supervisor(Job("true", ".", str(tmp_path / "sock")))
        before = len(os.listdir("/proc/self/fd"))
        first, second = FakeLink(), FakeLink()
        for link in (first, second):
            supervisor._on_message(link, b"H1", [os.memfd_create("record")])
            supervisor._on_message(link, b"C1", [os.memfd_create("connection")])
        assert list(supervisor.processes) == [second]
        assert len(os.listdir("/proc/self/fd")) == before + 2
        supervisor._on_message(second, b"D1", [])
        assert len(os.listdir("/proc/self/fd")) == before + 1  # the last copy of the connection is closed
        supervisor.processes[second].close_all()

    run(test())


def test_kill_under_load_loses_no_more_requests_than_were_in_flight(tmp_path):
    async def case(gateway: GatewayUnderSupervisor):
        load = gateway.rig.load
        load_task = gateway.rig.clock.loop.create_task(load.run())
        for _ in range(3):
            await gateway.wait_for_registration()
            target = load.outcomes["ok"] + 60
            await gateway.rig.until(lambda target=target: load.outcomes["ok"] > target)
            before, cut_before = await gateway.pid(), load.outcomes["cut"]
            in_flight = load.open["g0"]
            os.kill(before, signal.SIGKILL)
            await gateway.next_serving_pid(before)
            target = load.outcomes["ok"] + 20
            await gateway.rig.until(lambda target=target: load.outcomes["ok"] > target)
            assert load.outcomes["cut"] - cut_before <= in_flight + 4
        assert load.outcomes["unheard"] == 0
        load.stop()
        await load_task
        await load.finish()

    run_supervised(tmp_path, case)
