"""Starts and stops gateway processes on this machine for a program rollout.

A plan may name other commands for its platform; they must behave as these two do:

  start   exits with 0 once the process's admin endpoint answers, and prints "started", or "running" if a
          process with this admin address was running before. Else it exits with 1, prints the reason and
          leaves no process behind.
  stop    exits with 0 once no process has this admin address. It sends SIGTERM, then SIGKILL.
  both    reject a token lower than one that was seen before, so that an outdated controller has no effect.

A process holds a lock on the file of its admin address for as long as it lives, whoever started it. So no two
processes can have the same address, and another process that was given the same process id is never stopped.
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
START_TIMEOUT_S = 20.0  # until the admin endpoint answers
# From SIGTERM to SIGKILL of one process: more than the 3.7 s in which a gateway decides all its answers, see
# process/shutdown.py; values that take longer are cut off. The supervisor's 5.0 s (failover/supervisor.py)
# are for all its processes together.
TERMINATION_GRACE_S = 4.5
CALL_TIMEOUT_S = 1.0
NUMBER_BYTES = 32  # read of a file that holds a number: more than a number takes
NO_PROCESS = -1
ANSWER_STARTS = (ACCEPTED[:2].encode(), REJECTED[:2].encode())  # of an admin endpoint's answer


class CommandFailedError(click.ClickException):
    """The command failed; click prints the message on standard error and exits with 1."""

    exit_code = FAILED_EXIT_CODE


def _open_file(path: Path) -> int:
    return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)


def _read_number(file: int) -> int:
    """The number in a file; 0 if the file is empty. Raises ValueError if the content is no number."""
    return int(os.pread(file, NUMBER_BYTES, 0) or b"0")


def _write_number(file: int, number: int) -> None:
    os.pwrite(file, b"%020d" % number, 0)


@contextmanager
def fenced_lock(runtime_folder: Path, token: int) -> Iterator[None]:
    """Hold a folder's lock, so that calls run one at a time; reject a token lower than one seen before.

    Raises:
        CommandFailedError: a call with a higher token came before.
    """
    file = _open_file(runtime_folder / "launch")
    try:
        fcntl.flock(file, fcntl.LOCK_EX)
        highest_token = _read_number(file)
        if token < highest_token:
            raise CommandFailedError(f"{OLDER_TOKEN}: a call with token {highest_token} came before")
        _write_number(file, token)
        os.fsync(file)
        yield
    finally:
        os.close(file)


class AddressLock:
    """An admin address and its lock file, which the process with that address keeps locked while it lives."""

    def __init__(self, runtime_folder: Path, admin_address: str) -> None:
        host, _, port = admin_address.rpartition(":")
        self.address = (host, int(port))
        self.file = _open_file(runtime_folder / f"launch-{admin_address}")

    def acquire_if_free(self) -> bool:
        """Lock the address for this process unless another has it; whether that worked.

        A child process can inherit the lock.
        """
        with suppress(BlockingIOError):
            fcntl.flock(self.file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return True
        return False

    def write_process_id(self, pid: int) -> None:
        """Write the id of the process that has the address into the lock file."""
        _write_number(self.file, pid)

    def open_pidfd(self) -> int:
        """A pidfd of the process that has the address; `NO_PROCESS` where there is none."""
        try:
            pidfd = os.pidfd_open(_read_number(self.file))
        except (OSError, ValueError):  # the process has ended, or no id was written yet
            return NO_PROCESS
        if self.acquire_if_free():  # the process has ended, and its id may belong to another one by now
            os.close(pidfd)
            return NO_PROCESS
        return pidfd

    def is_answering(self) -> bool:
        """Whether an admin endpoint answers at the address."""
        try:
            with socket.create_connection(self.address, CALL_TIMEOUT_S) as connection:
                connection.sendall(b"HEALTH\n")
                return connection.recv(3)[:2] in ANSWER_STARTS
        except OSError:
            return False

    def wait_until_answering(self, child: subprocess.Popen[bytes] | None = None) -> bool:
        """Wait until the admin endpoint answers.

        Returns false if the child ends before, or after `START_TIMEOUT_S`.
        """
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s and (child is None or child.poll() is None):
            if self.is_answering():
                return True
            time.sleep(POLL_INTERVAL_S)
        return False


@dataclass(frozen=True, slots=True)
class GatewayCommand:
    """How to run a gateway's process.

    Attributes:
        name: the gateway's name.
        admin_address: ``host:port`` of the process's admin endpoint.
        config_path: the gateway's configuration file; the log is written beside it.
        runtime_folder: the process's TMPDIR.
        program_folder: folder of the program version; the command is run in it.
        command: the shell command that runs the gateway.
    """

    name: str
    admin_address: str
    config_path: Path
    runtime_folder: Path
    program_folder: Path
    command: str

    @property
    def log_path(self) -> Path:
        """The file that the process's output is appended to."""
        return self.config_path.with_name(self.config_path.name + ".log")

    def spawn(self, address_lock: AddressLock) -> subprocess.Popen[bytes]:
        """Start the process; it inherits the lock of the address."""
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
                pass_fds=(address_lock.file,),
            )
        address_lock.write_process_id(child.pid)
        return child


def start_process(gateway: GatewayCommand) -> str:
    """Start a gateway's process unless one with its admin address lives, and wait until it answers.

    Returns `STARTED` or `RUNNING`.

    Raises:
        CommandFailedError: the process does not answer; one that was started here has been killed.
    """
    address_lock = AddressLock(gateway.runtime_folder, gateway.admin_address)
    if not address_lock.acquire_if_free():
        if not address_lock.wait_until_answering():
            raise CommandFailedError(
                f"a process has locked {gateway.admin_address}, but does not answer there"
            )
        return RUNNING
    child = gateway.spawn(address_lock)
    if not address_lock.wait_until_answering(child):
        child.kill()
        child.wait()
        raise CommandFailedError(
            f"process ended with exit code {child.returncode}: {last_line_of_log(gateway.log_path)}"
        )
    return STARTED


def stop_process(address_lock: AddressLock) -> str:
    """End the process that has an admin address, if there is one; the text to print."""
    process = address_lock.open_pidfd()
    if process == NO_PROCESS:
        return "no process has this admin address"
    signal.pidfd_send_signal(process, signal.SIGTERM)
    deadline_s = time.monotonic() + TERMINATION_GRACE_S
    while not address_lock.acquire_if_free():
        if time.monotonic() > deadline_s:
            with suppress(ProcessLookupError):
                signal.pidfd_send_signal(process, signal.SIGKILL)
        time.sleep(POLL_INTERVAL_S)
    return "ended"


# ---- The command line

ExistingFolder = click.Path(path_type=Path, exists=True, file_okay=False)


@click.group()
def main() -> None:
    """Start or stop a gateway's process on this machine, for a rollout of another program version."""


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
    """Start a gateway's process and wait until its admin endpoint answers.

    --door is host:port of the admin endpoint. --tmp is the process's TMPDIR and also holds the lock files.
    --token is the controller's token, --name the gateway's name. --command is a shell command that is run in
    --folder. --config is the gateway's configuration file, FILE; output is appended to FILE.log.

    Prints "started", or "running" if a process with this admin address runs already.
    """
    gateway = GatewayCommand(name, admin_address, config_path, runtime_folder, program_folder, command)
    with fenced_lock(runtime_folder, token):
        click.echo(start_process(gateway))


@main.command()
@click.option("--door", "admin_address", required=True)
@click.option("--tmp", "runtime_folder", type=ExistingFolder, required=True)
@click.option("--token", type=int, required=True)
def stop(admin_address: str, runtime_folder: Path, token: int) -> None:
    """Stop the gateway's process whose admin endpoint is at --door (host:port), if there is one.

    --tmp is the process's TMPDIR, --token the controller's token. Sends SIGTERM, then SIGKILL if the process
    does not end.
    """
    with fenced_lock(runtime_folder, token):
        click.echo(stop_process(AddressLock(runtime_folder, admin_address)))


if __name__ == "__main__":
    sys.exit(main())
