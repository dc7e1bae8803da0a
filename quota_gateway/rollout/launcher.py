"""The platform of a single machine: starts a gateway's process, or ends it. Other platforms owe the same.

  start   0 once the process's door answers: "started", or "running" where a process with this door lives;
          else 1 and why, with nothing left behind
  stop    0 once no process has this door: SIGTERM, then SIGKILL
  both    refuse a token below one that was seen: whoever was followed by another caller moves nothing

A process holds a lock on a file of its door's for as long as it lives, whoever started it: two can't have one
door, and a number that the kernel has given to another process is never taken for it.
"""

from __future__ import annotations

import fcntl
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

import click

FAILED = 1  # the exit code
LOOK_S = 0.02
UP_S = 20.0  # for a door to answer
END_S = 4.5  # from SIGTERM to SIGKILL: as the platform does, and a little more
CALL_S = 1.0
LAST = 2000  # bytes of a log that are looked at for why a process ended


class Refused(click.ClickException):
    """Said on standard error; exit code 1."""

    exit_code = FAILED


def _open(path: Path) -> int:
    return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)


@contextmanager
def turn(tmp: Path, token: int) -> Iterator[None]:
    """One caller at a time in a folder, none with a token below one that was seen."""
    file = _open(tmp / "launch")
    try:
        fcntl.flock(file, fcntl.LOCK_EX)
        seen = int(os.pread(file, 32, 0) or b"0")
        if token < seen:
            raise Refused(f"an older token: {seen} has called")
        os.pwrite(file, b"%020d" % token, 0)
        os.fsync(file)
        yield
    finally:
        os.close(file)


class Place:
    """A door, and the file that the process which has it keeps locked."""

    def __init__(self, tmp: Path, door: str) -> None:
        host, _, port = door.rpartition(":")
        self.at = (host, int(port))
        self.file = _open(tmp / f"launch-{door}")

    def free(self) -> bool:
        """Whether nobody has it; then it is this process's, which may pass it on."""
        with suppress(BlockingIOError):
            fcntl.flock(self.file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return True
        return False

    def process(self) -> int:
        """A descriptor of the process that has it; -1 if nobody has."""
        try:
            found = os.pidfd_open(int(os.pread(self.file, 32, 0) or b"0"))
        except (OSError, ValueError):
            return -1
        if self.free():  # it has ended meanwhile: the number may be another's by now
            os.close(found)
            return -1
        return found

    def answers(self) -> bool:
        """Whether anything that is a door's comes from it."""
        try:
            with socket.create_connection(self.at, CALL_S) as sock:
                sock.sendall(b"HEALTH\n")
                return sock.recv(3)[:2] in (b"YE", b"NO")
        except OSError:
            return False


def last_line(text: str) -> str:
    """The last line with anything on it; empty where there is none."""
    return next((line for line in reversed(text.split("\n")) if line.strip()), "")


def _end_of(log: Path) -> str:
    with log.open("rb") as file:
        file.seek(max(0, log.stat().st_size - LAST))
        return last_line(file.read().decode(errors="replace"))


Folder = click.Path(path_type=Path, exists=True, file_okay=False)


@click.group()
def main() -> None:
    """Start or end a gateway's process on this machine, for a rollout."""


@main.command()
@click.option("--door", required=True)
@click.option("--tmp", type=Folder, required=True)
@click.option("--token", type=int, required=True)
@click.option("--name", required=True)
@click.option("--folder", type=Folder, required=True)
@click.option("--command", required=True)
@click.option("--config", type=click.Path(path_type=Path), required=True)
def start(door: str, tmp: Path, token: int, name: str, folder: Path, command: str, config: Path) -> None:
    """Start a process; its log stands beside its configuration, as FILE.log."""
    with turn(tmp, token):
        place = Place(tmp, door)
        log = config.with_name(config.name + ".log")
        if not place.free():
            if not _up(place, None):
                raise Refused(f"a process has {door} and says nothing")
            click.echo("running")
            return
        environment = {
            **os.environ,
            "EDGE_CONFIG": str(config.resolve()),
            "EDGE_ADMIN": door,
            "EDGE_NAME": name,
            "TMPDIR": str(tmp.resolve()),
        }
        with log.open("ab") as sink:
            child = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=folder,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=sink,
                stderr=sink,
                start_new_session=True,
                pass_fds=(place.file,),
            )
        os.pwrite(place.file, b"%020d" % child.pid, 0)
        if not _up(place, child):
            child.kill()
            child.wait()
            raise Refused(f"it ended with {child.returncode}: {_end_of(log)}")
        click.echo("started")


def _up(place: Place, child: subprocess.Popen[bytes] | None) -> bool:
    """Wait until its door answers; false if it ends before, or takes too long."""
    end = time.monotonic() + UP_S
    while time.monotonic() < end and (child is None or child.poll() is None):
        if place.answers():
            return True
        time.sleep(LOOK_S)
    return False


@main.command()
@click.option("--door", required=True)
@click.option("--tmp", type=Folder, required=True)
@click.option("--token", type=int, required=True)
def stop(door: str, tmp: Path, token: int) -> None:
    """End the process that has this door, if there is one."""
    with turn(tmp, token):
        place = Place(tmp, door)
        process = place.process()
        if process < 0:
            click.echo("nobody there")
            return
        signal.pidfd_send_signal(process, signal.SIGTERM)
        end = time.monotonic() + END_S
        while not place.free():
            if time.monotonic() > end:
                with suppress(ProcessLookupError):
                    signal.pidfd_send_signal(process, signal.SIGKILL)
            time.sleep(LOOK_S)
        click.echo("ended")


if __name__ == "__main__":
    sys.exit(main())
