"""Command line of recordings: ``python -m quota_gateway.recording sim|drive|play|time|scale``."""

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
    """Speak the simulator's protocol and record it; each process writes its own file in the folder."""
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
                print(f"cannot replay {file}: {error}", file=sys.stderr)
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
            print(f"{benchmark.cpu_seconds(file):.3f} s of CPU")
        except RecordingError as error:
            print(f"cannot time {file}: {error}", file=sys.stderr)
            return 2
        return 0
    here, there = benchmark.compare_trees(file, tree, rounds)
    print(
        f"here {here:.3f} s, there {there:.3f} s of CPU, "
        f"medians of {rounds} alternating runs: ratio {here / there:.3f}"
    )
    return 0


def _scale() -> int:
    print("servers customers   cold  first us  retry us")
    cells = [(size, 100, 0.0) for size in benchmark.SIZES] + [(size, 100, 0.5) for size in benchmark.SIZES]
    cells += [(100, size, 0.0) for size in benchmark.CUSTOMERS]
    for servers, customers, cold in cells:
        first_us, retry_us = benchmark.DecisionBenchmark(servers, customers, cold).measure()
        print(f"{servers:7} {customers:9} {cold:6.1f} {first_us:9.0f} {retry_us:9.0f}")
    return 0


def main() -> int:
    """Run a subcommand. 0: done, no difference; 1: a difference or a cut off recording; 2: no recording."""
    parser = argparse.ArgumentParser(prog="quota_gateway.recording", description=__doc__)
    subcommands = parser.add_subparsers(dest="call", required=True)
    sim_parser = subcommands.add_parser(
        "sim", help="speak the simulator's protocol, as the gateway's `sim` does, and record it"
    )
    sim_parser.add_argument("folder", type=Path, help="folder in which each process writes its recording")
    drive_parser = subcommands.add_parser("drive", help="drive gateways with random events and record them")
    drive_parser.add_argument("file", type=Path, help="recording to write")
    drive_parser.add_argument("--seed", type=int, default=1, help="seed of the random events")
    drive_parser.add_argument(
        "--gateways", type=int, default=20, help="number of gateways, driven one after the other"
    )
    drive_parser.add_argument("--steps", type=int, default=5000, help="random steps for each gateway")
    play_parser = subcommands.add_parser(
        "play", help="replay recordings and compare the actions with the recorded ones"
    )
    play_parser.add_argument("files", type=Path, nargs="+", help="recordings to replay")
    time_parser = subcommands.add_parser("time", help="print the CPU seconds that a recording's events take")
    time_parser.add_argument("file", type=Path, help="recording to replay")
    time_parser.add_argument(
        "--against",
        type=Path,
        metavar="TREE",
        help="root of another version's source tree, timed in alternation with this one",
    )
    time_parser.add_argument("--rounds", type=int, default=5, help="runs of each version with --against")
    subcommands.add_parser(
        "scale", help="print microseconds per decision by number of servers and of customers"
    )
    args = parser.parse_args()
    if args.call == "sim":
        return _sim(args.folder)
    if args.call == "drive":
        return _drive(args.file, args.seed, args.gateways, args.steps)
    if args.call == "time":
        return _time(args.file, args.against, args.rounds)
    return _scale() if args.call == "scale" else _play(args.files)


if __name__ == "__main__":
    sys.exit(main())
