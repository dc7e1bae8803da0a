"""Work in hand that outlives its process: the model holds, and finds each planted fault."""

import os
import subprocess
import sys

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st
from test_rig import ROOT

from brackenloft.survival.__main__ import main
from brackenloft.survival.model import FAULTS, HALVES, UNSAFE, Model, World, explore
from brackenloft.survival.record import HALF, Pair, Record, RecordError


@pytest.mark.parametrize("deaths, standbys", [(0, 1), (1, 1), (1, 2), (2, 1), (2, 2)])
def test_record_claim_and_delivery_hold_wherever_anybody_dies(deaths, standbys):
    result = explore("", deaths, standbys)
    assert result.broken is None and result.states > 100


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
    while steps := [to for what, to in model.steps(world) if what.startswith("gateway 0")
                    and "stopped" not in what]:
        world = steps[0]
    whole = tuple((request, part, 1) for request in range(len(UNSAFE)) for part in range(HALVES))
    assert world.stream == whole
    assert world.ran == (1, 1) and isinstance(world, World)


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
        value = bytes(value)[:self.left]
        super().__setitem__(slice(place.start, place.start + len(value)), value)
        self.left -= len(value)
        if self.left <= 0:
            raise KilledError


@given(st.lists(st.binary(min_size=0, max_size=24), min_size=1, max_size=5), st.data())
@settings(max_examples=150, deadline=None)
def test_row_is_the_last_whole_one_wherever_its_writer_is_killed(bodies, data):
    memory = Torn(2 * (HALF.size + 24))
    pair, held = Pair(memory, 0, 24), b""
    for body in bodies[:-1]:
        pair.write(body)
        held = body
    memory.left = cut = data.draw(st.integers(1, HALF.size + len(bodies[-1])))
    with pytest.raises(KilledError):
        pair.write(bodies[-1])
    after = Pair(memory, 0, 24)
    assert after.read() in (held, bodies[-1])
    assert after.read() == held or cut == HALF.size + len(bodies[-1])
    memory.left = 1 << 60
    after.write(b"the next one goes on"[:24])
    assert Pair(memory, 0, 24).read() == b"the next one goes on"


WRITES = """
import sys
from brackenloft.survival.record import Record
record = Record.open(int(sys.argv[1]))
assert record.claim()
rows = [record.take(b"begin") for _ in range(8)]
print("up", flush=True)
n = 0
while True:
    n += 1
    for row in rows:
        record.change(row, b"%08d" % n * (1 + n % 40))
"""


def test_record_of_a_process_that_is_killed_is_whole_and_claimed_once():
    for _ in range(8):
        file = os.memfd_create("work")
        Record.create(file, 8, 400).close()
        with subprocess.Popen([sys.executable, "-c", WRITES, str(file)], pass_fds=(file,), cwd=ROOT,
                              stdout=subprocess.PIPE) as writer:
            assert writer.stdout and writer.stdout.readline() == b"up\n"
            record = Record.open(file)
            try:
                assert record.claim() == 0 and record.holder() == (1, writer.pid)  # it lives
            finally:
                writer.kill()
        bodies = Record.open(file).read()
        counts = [int(body[:8]) for body in bodies.values() if body != b"begin"]
        assert len(bodies) == 8 and (not counts or max(counts) - min(counts) <= 1)
        assert all(body in (b"begin", body[:8] * (1 + int(body[:8]) % 40))
                   for body in bodies.values() if body != b"begin")
        assert record.claim() == 2 and record.holder() == (2, os.getpid()) and record.claim() == 0
        record.close()
        os.close(file)


CLAIMS = """
import sys
from brackenloft.survival.record import Record
record = Record.open(int(sys.argv[1]))
sys.stdin.readline()
print(record.claim(), flush=True)
sys.stdin.readline()
"""


def test_of_standbys_that_race_one_gets_the_claim_and_its_successor_the_next():
    file = os.memfd_create("work")
    Record.create(file, 1, 8).close()
    for number in (1, 2, 3):
        racers = [subprocess.Popen([sys.executable, "-c", CLAIMS, str(file)], pass_fds=(file,), cwd=ROOT,
                                   stdin=subprocess.PIPE, stdout=subprocess.PIPE) for _ in range(4)]
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
    record = Record.create(file, 2, 4)
    assert [record.take(body) for body in (b"a", b"b", b"c", b"too long")] == [0, 1, -1, -1]
    assert record.unprotected == 2 and record.read() == {0: b"a", 1: b"b"}
    assert not record.change(0, b"too long") and record.read() == {1: b"b"} and record.take(b"d") == 0
    for place, value in ((0, b"x"), (8, b"\x09"), (12, b"\xff\xff")):
        whole = os.pread(file, 64, 0)
        os.pwrite(file, value, place)
        with pytest.raises(RecordError):
            Record.open(file)
        os.pwrite(file, whole, 0)
    assert Record.open(file).read() == {0: b"d", 1: b"b"}
    os.ftruncate(file, 100)
    with pytest.raises(RecordError):
        Record.open(file)
    os.close(file)
