"""The platform of a single machine: starts or ends a gateway's process. Other platforms owe the same.

  start   exit code 0 once the process's admin endpoint answers: "started", or "running" where a process with
          this admin address lives; else 1 and why, with nothing left behind
  stop    exit code 0 once no process has this admin address: SIGTERM, then SIGKILL
  both    reject a token below one that was seen, so that an outdated controller moves nothing

A process holds a lock on the file of its admin address for as long as it lives, whoever started it. So two
can't have one address, and a process id that the kernel has reused is never taken for it.
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
from dataclasses import dataclass
from pathlib import Path

import click

from quota_gateway.rollout.answers import ACCEPTED, OLDER_TOKEN, REJECTED, RUNNING, STARTED
from quota_gateway.rollout.program_output import last_line_of_log

FAILED_EXIT_CODE = 1
POLL_INTERVAL_S = 0.02
START_TIMEOUT_S = 20.0  # for an admin endpoint to answer
# From SIGTERM to SIGKILL of one process: more than the 3.7 s at most that a gateway counts on, see
# process/shutdown.py. The supervisor's 5.0 s (failover/supervisor.py) are for all its processes together.
TERMINATION_GRACE_S = 4.5
CALL_TIMEOUT_S = 1.0
NUMBER_BYTES = 32  # of a file that holds a number, more than it can have
NO_PROCESS = -1
ANSWER_STARTS = (ACCEPTED[:2].encode(), REJECTED[:2].encode())  # of the admin endpoint


class RejectedError(click.ClickException):
    """The command fails: printed on standard error, and the exit code is 1."""

    exit_code = FAILED_EXIT_CODE


def _open_file(path: Path) -> int:
    return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)


def _read_number(file: int) -> int:
    """The number that a file holds; 0 where it is empty. Raises ValueError where it holds none."""
    return int(os.pread(file, NUMBER_BYTES, 0) or b"0")


def _write_number(file: int, number: int) -> None:
    os.pwrite(file, b"%020d" % number, 0)


@contextmanager
def fenced_lock(runtime_folder: Path, token: int) -> Iterator[None]:
    """Admit one caller at a time to a folder, and none with a token below one that was seen."""
    file = _open_file(runtime_folder / "launch")
    try:
        fcntl.flock(file, fcntl.LOCK_EX)
        seen = _read_number(file)
        if token < seen:
            raise RejectedError(f"{OLDER_TOKEN}: {seen} has called")
        _write_number(file, token)
        os.fsync(file)
        yield
    finally:
        os.close(file)


class ProcessSlot:
    """An admin address, and the file that the process which has it keeps locked."""

    def __init__(self, runtime_folder: Path, admin_address: str) -> None:
        host, _, port = admin_address.rpartition(":")
        self.address = (host, int(port))
        self.file = _open_file(runtime_folder / f"launch-{admin_address}")

    def acquire_if_free(self) -> bool:
        """Whether no process has the address; then this one has it, and may pass the lock on."""
        with suppress(BlockingIOError):
            fcntl.flock(self.file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return True
        return False

    def set_process(self, pid: int) -> None:
        """Note the process that has the address."""
        _write_number(self.file, pid)

    def process_descriptor(self) -> int:
        """A pidfd of the process that has the address; `NO_PROCESS` where there is none."""
        try:
            descriptor = os.pidfd_open(_read_number(self.file))
        except (OSError, ValueError):  # ended, or nothing was noted yet
            return NO_PROCESS
        if self.acquire_if_free():  # it has ended meanwhile: the process id may be another's by now
            os.close(descriptor)
            return NO_PROCESS
        return descriptor

    def answers(self) -> bool:
        """Whether an admin endpoint answers at the address."""
        try:
            with socket.create_connection(self.address, CALL_TIMEOUT_S) as connection:
                connection.sendall(b"HEALTH\n")
                return connection.recv(3)[:2] in ANSWER_STARTS
        except OSError:
            return False

    def wait_until_it_answers(self, child: subprocess.Popen[bytes] | None = None) -> bool:
        """Wait for the admin endpoint; false where the child ends before, or where it takes too long."""
        end_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end_s and (child is None or child.poll() is None):
            if self.answers():
                return True
            time.sleep(POLL_INTERVAL_S)
        return False


@dataclass(frozen=True, slots=True)
class GatewayCommand:
    """How a gateway's process is run.

    Attributes:
        name: the gateway's name.
        admin_address: ``host:port`` of the process's admin endpoint.
        config_path: its configuration file; its log stands beside it.
        runtime_folder: its TMPDIR.
        program_folder: where the version stands.
        command: the shell command that runs it there.
    """

    name: str
    admin_address: str
    config_path: Path
    runtime_folder: Path
    program_folder: Path
    command: str

    @property
    def log_path(self) -> Path:
        """The file that its output is appended to."""
        return self.config_path.with_name(self.config_path.name + ".log")

    def spawn(self, slot: ProcessSlot) -> subprocess.Popen[bytes]:
        """Start the process; it inherits the slot's lock."""
        environment = {
            **os.environ,
            "EDGE_CONFIG": str(self.config_path.resolve()),
            "EDGE_ADMIN": self.admin_address,
            "EDGE_NAME": self.name,
            "TMPDIR": str(self.runtime_folder.resolve()),
        }
        with self.log_path.open("ab") as log:
            child = subprocess.Popen(
                ["/bin/sh", "-c", self.command],
                cwd=self.program_folder,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
                pass_fds=(slot.file,),
            )
        slot.set_process(child.pid)
        return child


def start_process(gateway: GatewayCommand) -> str:
    """Start a process unless one lives; what was found. Raises RejectedError."""
    slot = ProcessSlot(gateway.runtime_folder, gateway.admin_address)
    if not slot.acquire_if_free():
        if not slot.wait_until_it_answers():
            raise RejectedError(f"a process has {gateway.admin_address} and says nothing")
        return RUNNING
    child = gateway.spawn(slot)
    if not slot.wait_until_it_answers(child):
        child.kill()
        child.wait()
        raise RejectedError(f"it ended with {child.returncode}: {last_line_of_log(gateway.log_path)}")
    return STARTED


def stop_process(slot: ProcessSlot) -> str:
    """End the process that has a slot, if there is one; what was found."""
    process = slot.process_descriptor()
    if process == NO_PROCESS:
        return "nobody there"
    signal.pidfd_send_signal(process, signal.SIGTERM)
    end_s = time.monotonic() + TERMINATION_GRACE_S
    while not slot.acquire_if_free():
        if time.monotonic() > end_s:
            with suppress(ProcessLookupError):
                signal.pidfd_send_signal(process, signal.SIGKILL)
        time.sleep(POLL_INTERVAL_S)
    return "ended"


# ---- The command line

ExistingFolder = click.Path(path_type=Path, exists=True, file_okay=False)


@click.group()
def main() -> None:
    """Start or end a gateway's process on this machine, for a rollout."""


@main.command()
@click.option("--door", "admin_address", required=True)
@click.option("--tmp", "runtime_folder", type=ExistingFolder, required=True)
@click.option("--token", type=int, required=True)
@click.option("--name", required=True)
@click.option("--folder", "program_folder", type=ExistingFolder, required=True)
@click.option("--command", required=True)
@click.option("--config", "config_path", type=click.Path(path_type=Path), required=True)
def start(
    admin_address: str,
    runtime_folder: Path,
    token: int,
    name: str,
    program_folder: Path,
    command: str,
    config_path: Path,
) -> None:
    """Start a process; its log stands beside its configuration, as FILE.log."""
    gateway = GatewayCommand(name, admin_address, config_path, runtime_folder, program_folder, command)
    with fenced_lock(runtime_folder, token):
        click.echo(start_process(gateway))


@main.command()
@click.option("--door", "admin_address", required=True)
@click.option("--tmp", "runtime_folder", type=ExistingFolder, required=True)
@click.option("--token", type=int, required=True)
def stop(admin_address: str, runtime_folder: Path, token: int) -> None:
    """End the process that has this door, if there is one."""
    with fenced_lock(runtime_folder, token):
        click.echo(stop_process(ProcessSlot(runtime_folder, admin_address)))


if __name__ == "__main__":
    sys.exit(main())
