"""The keeper: starts gateways, holds a second descriptor of what must not end with them, knows their ends.

It decides nothing and parses nothing. One process serves, the others stand by; when the one that serves has
ended, as the kernel says, the next one is given the listener, the connections and the record it left. A
keeper that dies takes nobody along: gateways serve on and bring it all to the next keeper.

  gateway to keeper   H0, H1 here I am, standing by or serving (its record)   S I serve now   B a sign of life
                      L the listener   Cn, Dn a connection, and its end
  keeper to gateway   R, L, Cn what was left   T it is your turn
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
from contextlib import suppress
from pathlib import Path

from msgspec import Struct

from quota_gateway.errors import PeerProcessError
from quota_gateway.net.heartbeat import Heartbeat
from quota_gateway.net.hot_restart.link import Link, close_descriptors, decode_number

log = logging.getLogger("quota_gateway.failover")

# so many deaths in such a time are no accident
OFTEN = 5
OFTEN_S = 60.0
BACKOFF_S = 5.0  # before another start then
LEFT_S = 2.0  # for a next process to take what was left: it starts in a fraction, and clients wait no longer
COME_S = 1.5  # for gateways to come to a keeper that follows another
END_S = 5.0  # from SIGTERM to SIGKILL
MOST_DESCRIPTORS = 16_384  # of one process


class Job(Struct, forbid_unknown_fields=True, frozen=True):
    """What is supervised: the command of ``run`` in its folder, the supervisor's socket, the standbys.

    The socket's path may name variables of the environment.
    """

    command: str
    folder: str
    socket: str
    standbys: int = 1


class Peer:
    """A gateway's process, and copies of what it has."""

    def __init__(self, link: Link, record: int, serving: bool) -> None:
        self.link = link
        self.record = record
        self.serving = serving
        self.listener = -1
        self.connections: dict[int, int] = {}
        self.beats: Heartbeat | None = None

    def drop(self, number: int) -> None:
        """Close one copy, if there is one."""
        descriptor = self.connections.pop(number, -1)
        if descriptor >= 0:
            os.close(descriptor)

    def let_go(self) -> None:
        """Close all copies."""
        close_descriptors(descriptor for descriptor in (self.record, self.listener) if descriptor >= 0)
        self.record = self.listener = -1
        self.drop_all()

    def drop_all(self) -> None:
        """Close the copies of all connections."""
        close_descriptors(self.connections.values())
        self.connections.clear()


class Keeper:
    """Runs until SIGTERM."""

    def __init__(self, job: Job) -> None:
        self.job = job
        self.socket = os.path.expandvars(job.socket)
        self.loop = asyncio.get_running_loop()
        self.peers: dict[Link, Peer] = {}
        self.left: Peer | None = None  # of the one that served and died, until another has it
        self.children: dict[int, asyncio.subprocess.Process] = {}  # that have not come yet, or are here
        self.deaths: deque[float] = deque(maxlen=OFTEN)
        self.ending = asyncio.Event()
        self.news = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Raises OSError where another keeper has the socket."""
        path = Path(self.socket)
        lock = os.open(path.with_name(path.name + ".lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(lock)
            raise FileExistsError(f"another keeper has {path}") from None
        followed = path.exists()
        path.unlink(missing_ok=True)
        door = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        door.setblocking(False)
        door.bind(str(path))
        door.listen(16)
        self.loop.add_reader(door.fileno(), self._accept, door)
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self._end)
        self.loop.add_signal_handler(signal.SIGHUP, self._pass_on, signal.SIGHUP)
        if followed:
            await asyncio.sleep(COME_S)
        while not self.ending.is_set():
            await self._fill()
            self.news.clear()
            with suppress(TimeoutError):
                await asyncio.wait_for(self.news.wait(), 0.5)
        self.loop.remove_reader(door.fileno())
        await self._close()
        path.unlink(missing_ok=True)
        os.close(lock)

    # ---- Processes

    async def _fill(self) -> None:
        """One that serves, and so many that stand by."""
        self._next()
        coming = len(self.children.keys() - {peer.link.peer_process.pid for peer in self.peers.values()})
        wanted = 1 + self.job.standbys - len(self.peers) - coming
        often = len(self.deaths) == OFTEN and time.monotonic() - self.deaths[0] < OFTEN_S
        if wanted > 0 and not (often and time.monotonic() - self.deaths[-1] < BACKOFF_S):
            await self._start()
            self.news.set()

    async def _start(self) -> None:
        child = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            self.job.command,
            cwd=self.job.folder,
            start_new_session=True,
            env={**os.environ, "EDGE_KEEPER": self.socket},
        )
        self.children[child.pid] = child
        task = self.loop.create_task(self._reap(child))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _reap(self, child: asyncio.subprocess.Process) -> None:
        code = await child.wait()
        del self.children[child.pid]
        self.deaths.append(time.monotonic())
        log.info("%s", json.dumps({"event": "ended", "pid": child.pid, "code": code}))
        self.news.set()

    # ---- Links

    def _accept(self, door: socket.socket) -> None:
        with suppress(OSError):
            sock, _ = door.accept()
            Link(sock, self._message, self._broken)

    def _message(self, link: Link, data: bytes, descriptors: list[int]) -> None:
        letter = data[:1]
        rest = data[1:]
        peer = self.peers.get(link)
        if peer and peer.beats:
            peer.beats.received()
        try:
            if letter == b"H" and peer is None and descriptors:
                self._come(link, descriptors.pop(), rest == b"1")
            elif peer is None:
                raise PeerProcessError("nobody who has come")
            elif letter == b"S":
                self._serves(peer)
            else:
                self._copy(peer, letter, rest, descriptors)
        finally:
            close_descriptors(descriptors)

    def _copy(self, peer: Peer, letter: bytes, rest: bytes, descriptors: list[int]) -> None:
        if letter == b"L" and descriptors:
            if peer.listener >= 0:
                os.close(peer.listener)
            peer.listener = descriptors.pop()
        elif letter == b"C" and descriptors and len(peer.connections) < MOST_DESCRIPTORS:
            peer.drop(decode_number(rest))  # told of twice: a copy that is left would keep it from ending
            peer.connections[decode_number(rest)] = descriptors.pop()
        elif letter == b"D":
            peer.drop(decode_number(rest))

    def _come(self, link: Link, record: int, serving: bool) -> None:
        for old in [old for old in self.peers.values() if old.link.peer_process.pid == link.peer_process.pid]:
            self._forget(old)  # the same process, over a new link: it tells of all that it has again
            old.let_go()
        peer = self.peers[link] = Peer(link, record, serving)
        peer.beats = Heartbeat(lambda: None, link.peer_process.kill)  # hung: its end tells the rest
        peer.beats.start()
        log.info("%s", json.dumps({"event": "here", "pid": link.peer_process.pid, "serving": serving}))
        self.news.set()

    def _serves(self, peer: Peer) -> None:
        """It has taken what was left: copies of before go."""
        peer.serving = True
        if self.left:
            self.left.let_go()
            self.left = None

    def _broken(self, link: Link) -> None:
        """A link that ends is no death: the kernel tells that, and until then nothing is passed on."""
        peer = self.peers.get(link)
        if peer is None:
            link.peer_process.close()
        else:
            link.peer_process.when_ended(lambda: self._died(peer))

    def _forget(self, peer: Peer) -> None:
        self.peers.pop(peer.link, None)
        if peer.beats:
            peer.beats.stop()
        peer.link.peer_process.close()

    def _died(self, peer: Peer) -> None:
        if peer.link not in self.peers:
            return
        self._forget(peer)
        log.info(
            "%s",
            json.dumps(
                {
                    "event": "died",
                    "pid": peer.link.peer_process.pid,
                    "serving": peer.serving,
                    "connections": len(peer.connections),
                }
            ),
        )
        if not peer.serving or self.ending.is_set() or self.left:
            peer.let_go()
        else:
            self.left = peer
            self.loop.call_later(LEFT_S, self._nobody_came, peer)
        self._next()
        self.news.set()

    def _nobody_came(self, peer: Peer) -> None:
        """Clients are owed an end; the listener stays for whoever comes."""
        if self.left is peer:
            peer.drop_all()

    def _next(self) -> None:
        """Where nobody serves, it is the turn of the one that has stood by longest."""
        if not self.ending.is_set() and not any(peer.serving for peer in self.peers.values()):
            for peer in list(self.peers.values())[:1]:
                self._turn(peer)

    def _turn(self, peer: Peer) -> None:
        peer.serving = True
        if self.left:
            peer.link.send(b"R", self.left.record)
            for number, descriptor in self.left.connections.items():
                peer.link.send(b"C%d" % number, descriptor)
            if self.left.listener >= 0:
                peer.link.send(b"L", self.left.listener)
        peer.link.send(b"T")

    # ---- The end

    def _end(self) -> None:
        self.ending.set()
        self.news.set()

    def _pass_on(self, number: int) -> None:
        for peer in self.peers.values():
            peer.link.peer_process.signal(number)

    async def _close(self) -> None:
        self._pass_on(signal.SIGTERM)
        for child in list(self.children.values()):
            with suppress(ProcessLookupError):
                child.terminate()
        end = self.loop.time() + END_S
        while (self.peers or self.children) and self.loop.time() < end:
            await asyncio.sleep(0.02)
        self._pass_on(signal.SIGKILL)
        while self.peers:
            await asyncio.sleep(0.02)
