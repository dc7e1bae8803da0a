"""The supervisor: starts gateway processes, holds copies of their descriptors, and notices when they end.

It makes no decision on requests and parses no client data. One process serves, the others stand by; when the
kernel reports that the serving process has ended, the next one gets the listener, the connections and the
record that it left. The death of the supervisor ends no gateway: they continue to serve and report everything
to the next supervisor.
"""

from __future__ import annotations

import asyncio
import fcntl
import json
import logging
import os
import signal
import socket
import time
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

from msgspec import Struct

from quota_gateway.errors import PeerProcessError
from quota_gateway.failover.messages import (
    ConnectionCopy,
    ConnectionEnded,
    LeftRecord,
    ListenerCopy,
    Message,
    Registered,
    Serves,
    TakeTurn,
    decode,
    encode,
)
from quota_gateway.failover.supervised_process import MAX_COPIES, SupervisedProcess
from quota_gateway.net.heartbeat import Heartbeat
from quota_gateway.net.hot_restart.link import NO_DESCRIPTOR, Link, close_descriptors

log = logging.getLogger("quota_gateway.failover")

# This many deaths in this time are a crash loop: the next process is started only after a pause.
CRASH_LOOP_DEATHS = 5
CRASH_LOOP_S = 60.0
CRASH_LOOP_BACKOFF_S = 5.0

TAKEOVER_TIMEOUT_S = 2.0  # until a process takes over; clients of a dead one wait no longer
REGISTRATION_WAIT_S = 1.5  # for running gateways to register with a replacement supervisor
TERMINATION_GRACE_S = 5.0  # from SIGTERM to SIGKILL
CHECK_INTERVAL_S = 0.5
EXIT_POLL_INTERVAL_S = 0.02
LISTEN_BACKLOG = 16


class Job(Struct, forbid_unknown_fields=True, frozen=True):
    """The job file: the command that runs a gateway and its folder, the supervisor's socket, the standbys.

    The socket's path may contain environment variables. ``standbys`` processes stand by.
    """

    command: str
    folder: str
    socket: str
    standbys: int = 1


class Supervisor:
    """Keeps one process serving and ``standbys`` processes standing by until SIGTERM."""

    def __init__(self, job: Job) -> None:
        self.job = job
        self.socket_path = os.path.expandvars(job.socket)
        self.loop = asyncio.get_running_loop()
        self.processes: dict[Link, SupervisedProcess] = {}  # in order of registration
        self.dead_predecessor: SupervisedProcess | None = None  # served and died; not taken over yet
        self.children: dict[int, asyncio.subprocess.Process] = {}  # by process id, registered or not
        self.deaths: deque[float] = deque(maxlen=CRASH_LOOP_DEATHS)
        self.stop_requested = asyncio.Event()
        self.check_needed = asyncio.Event()  # a process may have to be started
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Supervise until SIGTERM. Raises OSError if another supervisor uses the socket."""
        path = Path(self.socket_path)
        with _exclusive(path):
            is_replacement = path.exists()
            path.unlink(missing_ok=True)
            listener = self._listen(path)
            self._handle_signals()
            if is_replacement:
                await asyncio.sleep(REGISTRATION_WAIT_S)
            while not self.stop_requested.is_set():
                await self._start_missing()
                self.check_needed.clear()
                with suppress(TimeoutError):
                    await asyncio.wait_for(self.check_needed.wait(), CHECK_INTERVAL_S)
            self.loop.remove_reader(listener.fileno())
            await self._shut_down()
            path.unlink(missing_ok=True)

    def _listen(self, path: Path) -> socket.socket:
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        listener.setblocking(False)
        listener.bind(str(path))
        listener.listen(LISTEN_BACKLOG)
        self.loop.add_reader(listener.fileno(), self._accept, listener)
        return listener

    def _handle_signals(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self._stop)
        self.loop.add_signal_handler(signal.SIGHUP, self._signal_all, signal.SIGHUP)

    # ---- Processes

    async def _start_missing(self) -> None:
        """Start a process if there are fewer than one that serves and ``standbys`` that stand by."""
        self._promote_standby_if_none_serves()
        registered = {process.pid for process in self.processes.values()}
        starting = len(self.children.keys() - registered)
        missing = 1 + self.job.standbys - len(self.processes) - starting
        if missing > 0 and not self._must_back_off():
            await self._start_process()
            self.check_needed.set()

    def _must_back_off(self) -> bool:
        now = time.monotonic()
        is_crash_loop = len(self.deaths) == CRASH_LOOP_DEATHS and now - self.deaths[0] < CRASH_LOOP_S
        return is_crash_loop and now - self.deaths[-1] < CRASH_LOOP_BACKOFF_S

    async def _start_process(self) -> None:
        child = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            self.job.command,
            cwd=self.job.folder,
            start_new_session=True,
            env={**os.environ, "EDGE_KEEPER": self.socket_path},
        )
        self.children[child.pid] = child
        task = self.loop.create_task(self._reap(child))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _reap(self, child: asyncio.subprocess.Process) -> None:
        exit_code = await child.wait()
        del self.children[child.pid]
        self.deaths.append(time.monotonic())
        _log_event("ended", pid=child.pid, code=exit_code)
        self.check_needed.set()

    # ---- Messages

    def _accept(self, listener: socket.socket) -> None:
        with suppress(OSError):
            sock, _ = listener.accept()
            Link(sock, self._on_message, self._on_link_ended)

    def _on_message(self, link: Link, data: bytes, descriptors: list[int]) -> None:
        process = self.processes.get(link)
        if process and process.heartbeat:
            process.heartbeat.received()
        try:
            message = decode(data)
            if isinstance(message, Registered) and process is None and descriptors:
                self._on_registered(link, descriptors.pop(), message.serving)
            elif process is None:
                raise PeerProcessError("the process sent another message before the one that registers it")
            else:
                self._on_report(process, message, descriptors)
        finally:
            close_descriptors(descriptors)

    def _on_report(self, process: SupervisedProcess, message: Message | None, descriptors: list[int]) -> None:
        match message:
            case Serves():
                self._on_serving(process)
            case ListenerCopy() if descriptors:
                process.keep_listener(descriptors.pop())
            case ConnectionCopy(number=number) if descriptors and len(process.connections) < MAX_COPIES:
                process.keep_connection(number, descriptors.pop())
            case ConnectionEnded(number=number):
                process.close_connection(number)

    def _on_registered(self, link: Link, record: int, is_serving: bool) -> None:
        pid = link.peer_process.pid
        for previous in [other for other in self.processes.values() if other.pid == pid]:
            self._forget(previous)  # the same process over a new link, on which it reports everything again
            previous.close_all()
        process = SupervisedProcess(link, record, is_serving)
        self.processes[link] = process
        # Sends nothing, but kills a process that sends nothing for too long; `_on_death` follows.
        process.heartbeat = Heartbeat(lambda: None, link.peer_process.kill)
        process.heartbeat.start()
        _log_event("here", pid=pid, serving=is_serving)
        self.check_needed.set()

    def _on_serving(self, process: SupervisedProcess) -> None:
        """The process has taken over what the dead one left: close the copies."""
        process.is_serving = True
        if self.dead_predecessor:
            self.dead_predecessor.close_all()
            self.dead_predecessor = None

    # ---- Deaths

    def _on_link_ended(self, link: Link) -> None:
        """Wait until the kernel reports the process's end: a process may live after its link has ended.

        Until then nothing is passed on.
        """
        process = self.processes.get(link)
        if process is None:
            link.peer_process.close()
        else:
            link.peer_process.when_ended(lambda: self._on_death(process))

    def _forget(self, process: SupervisedProcess) -> None:
        self.processes.pop(process.link, None)
        if process.heartbeat:
            process.heartbeat.stop()
        process.link.peer_process.close()

    def _on_death(self, process: SupervisedProcess) -> None:
        if process.link not in self.processes:
            return
        self._forget(process)
        _log_event("died", pid=process.pid, serving=process.is_serving, connections=len(process.connections))
        if not process.is_serving or self.stop_requested.is_set() or self.dead_predecessor:
            process.close_all()
        else:
            self.dead_predecessor = process
            self.loop.call_later(TAKEOVER_TIMEOUT_S, self._on_takeover_timeout, process)
        self._promote_standby_if_none_serves()
        self.check_needed.set()

    def _on_takeover_timeout(self, process: SupervisedProcess) -> None:
        """Close the connections so that clients wait no longer; keep the listener for the next process."""
        if self.dead_predecessor is process:
            process.close_connections()

    def _promote_standby_if_none_serves(self) -> None:
        """If no process serves, let the one serve that has stood by longest."""
        if self.stop_requested.is_set() or any(process.is_serving for process in self.processes.values()):
            return
        standby = next(iter(self.processes.values()), None)
        if standby:
            self._promote(standby)

    def _promote(self, process: SupervisedProcess) -> None:
        process.is_serving = True
        link = process.link
        if self.dead_predecessor:
            link.send(encode(LeftRecord()), self.dead_predecessor.record)
            for number, descriptor in self.dead_predecessor.connections.items():
                link.send(encode(ConnectionCopy(number)), descriptor)
            if self.dead_predecessor.listener != NO_DESCRIPTOR:
                link.send(encode(ListenerCopy()), self.dead_predecessor.listener)
        link.send(encode(TakeTurn()))

    # ---- Shutdown

    def _stop(self) -> None:
        self.stop_requested.set()
        self.check_needed.set()

    def _signal_all(self, number: int) -> None:
        for process in self.processes.values():
            process.link.peer_process.signal(number)

    async def _shut_down(self) -> None:
        """End every process: SIGTERM, then SIGKILL after TERMINATION_GRACE_S."""
        self._signal_all(signal.SIGTERM)
        for child in list(self.children.values()):
            with suppress(ProcessLookupError):
                child.terminate()
        end = self.loop.time() + TERMINATION_GRACE_S
        while (self.processes or self.children) and self.loop.time() < end:
            await asyncio.sleep(EXIT_POLL_INTERVAL_S)
        self._signal_all(signal.SIGKILL)
        while self.processes:
            await asyncio.sleep(EXIT_POLL_INTERVAL_S)


@contextmanager
def _exclusive(path: Path) -> Iterator[None]:
    """Hold the lock file next to the socket. Raises FileExistsError if another supervisor holds it."""
    lock = os.open(path.with_name(path.name + ".lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise FileExistsError(f"another supervisor has the lock of the socket {path}") from None
        yield
    finally:
        os.close(lock)


def _log_event(name: str, **fields: Any) -> None:
    """Log an event as one line of JSON."""
    log.info("%s", json.dumps({"event": name, **fields}))
