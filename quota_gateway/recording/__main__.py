"""The command: ``python -m quota_gateway.recording sim|drive|play|time|scale``; see ``--help``."""

from __future__ import annotations

import argparse
import os
import sys
from pathlib import Path

from quota_gateway import simulator_adapter
from quota_gateway.recording import benchmark
from quota_gateway.recording.codec import Recorder, RecordingError, play
from quota_gateway.recording.random_driver import drive


def _sim(folder: Path) -> int:
    """The simulator's wire, recorded; each process writes a file of its own."""
    with open(folder / f"sim-{os.getpid()}.jsonl", "wb") as sink:
        recorder = Recorder(sink)
        code = simulator_adapter.main(recorder.open)
        recorder.close()
    return code


def _drive(file: Path, seed: int, gateways: int, steps: int) -> int:
    with open(file, "wb") as sink:
        recorder = Recorder(sink)
        drive(recorder.open, seed, gateways, steps)
        recorder.close()
    print(f"{recorder.events} events in {file}")
    return 0


def _play(files: list[Path]) -> int:
    same = True
    events = 0
    actions = 0
    for file in files:
        with open(file, "rb") as source:
            try:
                comparison = play(iter(source))
            except RecordingError as error:
                print(f"{file}: {error}", file=sys.stderr)
                return 2
        same = same and comparison.is_same
        events = events + comparison.events
        actions = actions + comparison.actions
        if not comparison.is_same:
            cut_off = f"cut off after {comparison.events} events, the same so far"
            print(f"{file}: {comparison.difference or cut_off}")
    print(f"{events} events, {actions} actions compared: {'the same' if same else 'NOT the same'}")
    return 0 if same else 1


def _time(file: Path, tree: Path | None, rounds: int) -> int:
    if tree is None:
        try:
            print(f"{benchmark.seconds(file):.3f} s of CPU")
        except RecordingError as error:
            print(f"{file}: {error}", file=sys.stderr)
            return 2
        return 0
    here, there = benchmark.against(file, tree, rounds)
    print(f"here {here:.3f} s, there {there:.3f} s, medians of {rounds} in turn: ratio {here / there:.3f}")
    return 0


def _scale() -> int:
    print("servers customers   cold  first us  again us")
    cells = [(n, 100, 0.0) for n in benchmark.SIZES] + [(n, 100, 0.5) for n in benchmark.SIZES]
    cells += [(100, n, 0.0) for n in benchmark.CUSTOMERS]
    for servers, customers, cold in cells:
        first, again = benchmark.Crowd(servers, customers, cold).measure()
        print(f"{servers:7} {customers:9} {cold:6.1f} {first:9.0f} {again:9.0f}")
    return 0


def main() -> int:
    """0: done, and all the same; 1: differences, or a recording cut off; 2: no recording."""
    parser = argparse.ArgumentParser(prog="quota_gateway.recording", description=__doc__)
    calls = parser.add_subparsers(dest="call", required=True)
    sim = calls.add_parser("sim", help="speak the simulator's wire as `sim` does, and record it")
    sim.add_argument("folder", type=Path, help="where each process writes a file")
    driven = calls.add_parser("drive", help="record gateways that are driven by random events")
    driven.add_argument("file", type=Path)
    driven.add_argument("--seed", type=int, default=1)
    driven.add_argument("--gateways", type=int, default=20)
    driven.add_argument("--steps", type=int, default=5000, help="for each gateway")
    played = calls.add_parser("play", help="feed recordings to the decisions and compare the actions")
    played.add_argument("files", type=Path, nargs="+")
    timed = calls.add_parser("time", help="CPU seconds of a recording's events")
    timed.add_argument("file", type=Path)
    timed.add_argument("--against", type=Path, metavar="TREE", help="the root of another version, in turn")
    timed.add_argument("--rounds", type=int, default=5)
    calls.add_parser("scale", help="microseconds of a decision by servers listed and customers known")
    given = parser.parse_args()
    if given.call == "sim":
        return _sim(given.folder)
    if given.call == "drive":
        return _drive(given.file, given.seed, given.gateways, given.steps)
    if given.call == "time":
        return _time(given.file, given.against, given.rounds)
    return _scale() if given.call == "scale" else _play(given.files)


if __name__ == "__main__":
    sys.exit(main())
