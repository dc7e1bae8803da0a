"""The supervisor: starts gateways, holds copies of what must not end with them, and knows when they end.

It decides nothing and parses nothing. One process serves, the others stand by; when the one that serves has
ended, as the kernel says, the next one is given the listener, the connections and the record that it left. A
supervisor that dies takes nobody along: gateways serve on and report everything to the next supervisor.
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
    Arrived,
    ConnectionCopy,
    ConnectionEnded,
    LeftRecord,
    ListenerCopy,
    Message,
    Serves,
    TakeTurn,
    decode,
    encode,
)
from quota_gateway.failover.supervised_process import MAX_COPIES, SupervisedProcess
from quota_gateway.net.heartbeat import Heartbeat
from quota_gateway.net.hot_restart.link import NO_DESCRIPTOR, Link, close_descriptors

log = logging.getLogger("quota_gateway.failover")

# So many deaths in such a time are no accident: another process is started only after a pause.
CRASH_LOOP_DEATHS = 5
CRASH_LOOP_S = 60.0
CRASH_LOOP_BACKOFF_S = 5.0

TAKEOVER_TIMEOUT_S = 2.0  # for a next process to take what was left: clients wait no longer
ARRIVAL_WAIT_S = 1.5  # for gateways to come to a supervisor that follows another
TERMINATION_GRACE_S = 5.0  # from SIGTERM to SIGKILL
CHECK_INTERVAL_S = 0.5
EXIT_POLL_INTERVAL_S = 0.02
LISTEN_BACKLOG = 16


class Job(Struct, forbid_unknown_fields=True, frozen=True):
    """What is supervised: the command of ``run`` in its folder, the supervisor's socket, the standbys.

    The socket's path may name variables of the environment.
    """

    command: str
    folder: str
    socket: str
    standbys: int = 1


class Supervisor:
    """Keeps one process serving and some standing by until SIGTERM."""

    def __init__(self, job: Job) -> None:
        self.job = job
        self.socket_path = os.path.expandvars(job.socket)
        self.loop = asyncio.get_running_loop()
        self.processes: dict[Link, SupervisedProcess] = {}  # the longest standing by first
        self.dead_predecessor: SupervisedProcess | None = None  # served and died; not taken over yet
        self.children: dict[int, asyncio.subprocess.Process] = {}  # that have not come yet, or are here
        self.deaths: deque[float] = deque(maxlen=CRASH_LOOP_DEATHS)
        self.ending = asyncio.Event()
        self.changed = asyncio.Event()  # something that may want another process
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Supervise until SIGTERM. Raises OSError where another supervisor has the socket."""
        path = Path(self.socket_path)
        with _exclusive(path):
            is_replacement = path.exists()
            path.unlink(missing_ok=True)
            listener = self._listen(path)
            self._handle_signals()
            if is_replacement:
                await asyncio.sleep(ARRIVAL_WAIT_S)
            while not self.ending.is_set():
                await self._start_missing()
                self.changed.clear()
                with suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), CHECK_INTERVAL_S)
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
        """Start a process if one is missing of those that serve and stand by."""
        self._give_turn()
        arrived = {process.pid for process in self.processes.values()}
        starting = len(self.children.keys() - arrived)
        missing = 1 + self.job.standbys - len(self.processes) - starting
        if missing > 0 and not self._must_back_off():
            await self._start_process()
            self.changed.set()

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
        code = await child.wait()
        del self.children[child.pid]
        self.deaths.append(time.monotonic())
        _log_event("ended", pid=child.pid, code=code)
        self.changed.set()

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
            if isinstance(message, Arrived) and process is None and descriptors:
                self._on_arrived(link, descriptors.pop(), message.serving)
            elif process is None:
                raise PeerProcessError("a message before the process has arrived")
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

    def _on_arrived(self, link: Link, record: int, is_serving: bool) -> None:
        pid = link.peer_process.pid
        for earlier in [one for one in self.processes.values() if one.pid == pid]:
            self._forget(earlier)  # the same process, over a new link: it reports all that it has again
            earlier.close_all()
        process = SupervisedProcess(link, record, is_serving)
        self.processes[link] = process
        process.heartbeat = Heartbeat(lambda: None, link.peer_process.kill)  # sends nothing; see _on_death
        process.heartbeat.start()
        _log_event("here", pid=pid, serving=is_serving)
        self.changed.set()

    def _on_serving(self, process: SupervisedProcess) -> None:
        """It has taken over what was left: the copies of before are closed."""
        process.is_serving = True
        if self.dead_predecessor:
            self.dead_predecessor.close_all()
            self.dead_predecessor = None

    # ---- Deaths

    def _on_link_ended(self, link: Link) -> None:
        """A link that ends is no death: the kernel tells that, and until then nothing is passed on."""
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
        if not process.is_serving or self.ending.is_set() or self.dead_predecessor:
            process.close_all()
        else:
            self.dead_predecessor = process
            self.loop.call_later(TAKEOVER_TIMEOUT_S, self._on_nobody_came, process)
        self._give_turn()
        self.changed.set()

    def _on_nobody_came(self, process: SupervisedProcess) -> None:
        """Close the connections: their clients are owed an end. The listener stays for the next process."""
        if self.dead_predecessor is process:
            process.close_connections()

    def _give_turn(self) -> None:
        """Where no process serves, let the one serve that has stood by longest."""
        if self.ending.is_set() or any(process.is_serving for process in self.processes.values()):
            return
        longest = next(iter(self.processes.values()), None)
        if longest:
            self._hand_over_to(longest)

    def _hand_over_to(self, process: SupervisedProcess) -> None:
        process.is_serving = True
        link = process.link
        if self.dead_predecessor:
            link.send(encode(LeftRecord()), self.dead_predecessor.record)
            for number, descriptor in self.dead_predecessor.connections.items():
                link.send(encode(ConnectionCopy(number)), descriptor)
            if self.dead_predecessor.listener != NO_DESCRIPTOR:
                link.send(encode(ListenerCopy()), self.dead_predecessor.listener)
        link.send(encode(TakeTurn()))

    # ---- The end

    def _stop(self) -> None:
        self.ending.set()
        self.changed.set()

    def _signal_all(self, number: int) -> None:
        for process in self.processes.values():
            process.link.peer_process.signal(number)

    async def _shut_down(self) -> None:
        """End every process, by SIGKILL after a while."""
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
    """Hold the lock beside the socket. Raises FileExistsError where another supervisor holds it."""
    lock = os.open(path.with_name(path.name + ".lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise FileExistsError(f"another supervisor has {path}") from None
        yield
    finally:
        os.close(lock)


def _log_event(name: str, **fields: Any) -> None:
    """One line of JSON."""
    log.info("%s", json.dumps({"event": name, **fields}))
