"""From one process of a gateway to the next: state, listener and idle connections, over a Unix socket.

Messages are whole (SOCK_SEQPACKET): a letter and what it carries, some with a descriptor.

  new to old   H who asks    T take over now ("T+": and I give signs of life)    D a kept connection is closed
  old to new   H who answers    S a piece of the state    E its end (length, checksum; the listener)
               C a client's connection    V a server's    F what is still held of a customer, or in all
  both         O what operators want    A the other has taken that over    B a sign of life

Signs of life and kept connections are only between processes that know of them: versions may differ.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import signal
import socket
import zlib
from collections import deque
from collections.abc import Callable, Iterable
from contextlib import suppress
from pathlib import Path
from typing import Any

from quota_gateway import api, state_document
from quota_gateway.net.clients import Client, Clients
from quota_gateway.net.discovery import Discovery
from quota_gateway.net.driver import Driver
from quota_gateway.net.heartbeat import HEARTBEAT_INTERVAL_S, MAX_MISSED_HEARTBEATS, Heartbeat
from quota_gateway.net.peer_process import PeerProcess, peer_credentials
from quota_gateway.net.retained_connections import RetainedConnections
from quota_gateway.net.servers import Connection, Servers

log = logging.getLogger(__name__)

VERSION = 1
ABOUT = {"handover": VERSION, "retire": True}  # what a rollout has to know before it mixes versions
SOCKET = "gateway.sock"
KEPT = "operators.json"
LONGEST_PATH = 100  # bytes: what a Unix socket's address holds, less a margin
PIECE = 32 * 1024  # bytes of the state in a message
MOST = 64 * 1024  # bytes of a message
MOST_STATE = 16 * 1024 * 1024
MOST_QUEUED = 8192  # messages that the other process has not taken yet
HELLO_S = 1.0  # for the old process to answer: one that hangs must not keep the new one from starting
TAKE_S = 3.0  # for the whole state: the platform expects a new process to serve within 6 s
SHARE_S = 0.5  # for the other process to take over what an operator said
LEFT_S = 0.02  # between two looks at what is still held: connections that could not be passed on yet
TURN = 64  # messages read in a turn of the loop


class Link:
    """A connection between two processes of one gateway; whatever breaks it ends it."""

    def __init__(
        self,
        sock: socket.socket,
        on_message: Callable[[Link, bytes, list[int]], None],
        on_end: Callable[[Link], None],
    ) -> None:
        self.sock = sock
        self.on_message = on_message
        self.on_end = on_end
        self.loop = asyncio.get_running_loop()
        self.queue: deque[tuple[bytes, int]] = deque()  # with a descriptor, or -1
        self.open = True
        self.peer_process = PeerProcess(peer_credentials(sock).pid)
        self.heard = False  # anything, since it was looked at last
        sock.setblocking(False)
        self.loop.add_reader(sock.fileno(), self._readable)

    def send(self, data: bytes, descriptor: int = -1) -> None:
        """Send, or queue; the descriptor is copied."""
        if not self.open:
            return
        if len(self.queue) >= MOST_QUEUED:
            self.end("the other process takes nothing")
            return
        self.queue.append((data, os.dup(descriptor) if descriptor >= 0 else -1))
        self._writable()

    def _writable(self) -> None:
        while self.open and self.queue:
            data, descriptor = self.queue[0]
            try:
                socket.send_fds(self.sock, [data], [descriptor] if descriptor >= 0 else [])
            except BlockingIOError:
                self.loop.add_writer(self.sock.fileno(), self._writable)
                return
            except OSError as error:
                self.end(repr(error))
                return
            self.queue.popleft()
            if descriptor >= 0:
                os.close(descriptor)
        if self.open:
            self.loop.remove_writer(self.sock.fileno())

    def _readable(self) -> None:
        for _ in range(TURN):
            if not self.open:
                return
            try:
                data, descriptors, flags, _ = socket.recv_fds(self.sock, MOST, 4)
            except BlockingIOError:
                return
            except OSError as error:
                self.end(repr(error))
                return
            if not data or flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC):
                close_all(descriptors)
                self.end("closed" if not data else "a message too long")
                return
            self.heard = True
            try:
                self.on_message(self, data, descriptors)
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                self.end(f"a message that is none: {error!r}")

    def end(self, why: str) -> None:
        """End it; nothing if it has ended."""
        if not self.open:
            return
        self.open = False
        log.info("the link to the other process ended: %s", why)
        self.loop.remove_reader(self.sock.fileno())
        self.loop.remove_writer(self.sock.fileno())
        self.sock.close()
        close_all([descriptor for _, descriptor in self.queue if descriptor >= 0])
        self.queue.clear()
        self.on_end(self)


def close_all(descriptors: Iterable[int]) -> None:
    """Close descriptors that are nobody's any more."""
    for descriptor in descriptors:
        with suppress(OSError):
            os.close(descriptor)


def connected(path: str) -> socket.socket | None:
    """A socket for a link to the process that listens there; None where nobody does."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.setblocking(False)
    try:
        sock.connect(path)
    except OSError:
        sock.close()
        return None
    return sock


class Handover:
    """Both ends of it: taking over from the process before this one, handing over to the next."""

    def __init__(
        self,
        folder: str | None,
        who: dict[str, Any],
        driver: Driver,
        clients: Clients,
        servers: Servers,
        discovery: Discovery,
    ) -> None:
        self.folder = Path(folder) if folder else None
        self.who = {"version": VERSION, **who}
        self.driver = driver
        self.clients = clients
        self.servers = servers
        self.discovery = discovery
        self.loop = asyncio.get_running_loop()
        self.link: Link | None = None  # to the old process, or to the next one
        self.handed = False  # the next process has taken over
        self.listener: socket.socket | None = None  # as the old process passed it on
        self.offered: socket.socket | None = None
        self.answered = asyncio.Event()  # the old process has said who it is
        self.whole = asyncio.Event()  # the end of the state has come
        self.pieces: list[bytes] = []
        self.loaded = False
        self.held = (-1, -1)  # connections, as last reported
        self.place = -1  # the folder's descriptor, where its path is too long
        self.asked = 0  # number of the last thing shared with the other process
        self.agreed = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        self.beats = Heartbeat(lambda: self.link.send(b"B") if self.link else None, self._hung)
        # connections passed on; how many of them may be kept
        self.kept = RetainedConnections()
        self.room = 0
        self.token = 0  # the highest that a caller at the door has given
        driver.on_elsewhere = self._tell

    # ---- Addresses

    def _address(self, name: str) -> str:
        """A path that fits into a socket's address, however long the folder's is."""
        assert self.folder
        path = str(self.folder / name)
        if len(os.fsencode(path)) <= LONGEST_PATH:
            return path
        if self.place < 0:
            self.place = os.open(self.folder, os.O_PATH | os.O_DIRECTORY)
        return f"/proc/self/fd/{self.place}/{name}"

    # ---- The new process

    async def take(self) -> bool:
        """Take over from a process that serves; false for a plain start, whatever the reason."""
        if self.folder is None:
            return False
        kept: dict[str, Any] = {}
        try:
            if not self._connect():
                self._forget()
                return False
            kept = self._read_kept()
            assert self.link
            async with asyncio.timeout(HELLO_S):
                self._say("H", self.who)
                await self.answered.wait()
            async with asyncio.timeout(TAKE_S):
                if self.link is None:
                    raise ConnectionError("the process before broke off")
                self.link.heard = False
                self.link.send(b"T+")
                await self.whole.wait()
            if not self.loaded:
                raise ConnectionError("the process before broke off")
            wanted = self.wanted()
            log.info(
                "taken over from the process before; out: %s%s",
                ", ".join(wanted["out"]) or "no server",
                "; drained" if wanted["drained"] else "",
            )
            return True
        except (OSError, TimeoutError, ValueError, KeyError, TypeError, AttributeError) as error:
            log.error("nothing taken over: %r", error)
            if self.link:
                await self._give_up(self.link, isinstance(error, TimeoutError))
            if kept and not self.driver.gateway.by_hand:
                self._want(kept)
            return False
        finally:
            self.pieces.clear()

    async def _give_up(self, link: Link, too_late: bool) -> None:
        """A plain start. A process before that says nothing hangs: it must not wake beside this one."""
        for _ in range(MAX_MISSED_HEARTBEATS if too_late and not self.answered.is_set() else 0):
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)  # it had less time than a hung one gets
        if too_late and not link.heard and link.peer_process.alive():
            log.error("the process before hangs: it is ended")
            link.peer_process.kill()
            while link.peer_process.alive():
                await asyncio.sleep(LEFT_S)
        link.end("nothing taken over")

    def _connect(self) -> bool:
        """Whether a process listens that is this user's; a path without one is left by a dead one."""
        sock = connected(self._address(SOCKET))
        if sock is None:
            return False
        if peer_credentials(sock).user_id != os.getuid():
            sock.close()
            return False
        self.link = Link(sock, self._message, self._ended)
        return True

    def _load(self, end: Any) -> None:
        """At once as the end comes: what comes behind it, connections, relies on it."""
        raw = b"".join(self.pieces)
        if len(raw) != end["bytes"] or zlib.crc32(raw) != end["crc"]:
            raise ValueError("the state is torn")
        document = json.loads(raw)
        self.discovery.use_cached_list(document["list"])
        state_document.load(self.driver.gateway, document["decisions"], self.discovery.registry.numbers)
        self._want(document["operators"])
        self._take_counts(document)
        self.loaded = True
        self.whole.set()
        if end.get("beats"):
            self.clients.on_closed = self._closed
            self.beats.start()

    def _take_counts(self, document: dict[str, Any]) -> None:
        self.clients.elsewhere = int(document["clients"])
        self.servers.elsewhere = int(document["servers"])

    def take_listener(self) -> socket.socket | None:
        """The listener that the old process passed on, to whoever asks first."""
        listener = self.listener
        self.listener = None
        return listener

    # ---- The end of the old one

    def retire(self) -> str:
        """Tell whichever of both was followed to end, as SIGTERM does; why not, or empty.

        Asked of either, as the one may be of a version that does not know the call. It is the one that was
        followed which ends, or none: whoever has taken back meanwhile serves on.
        """
        if self.handed:
            os.kill(os.getpid(), signal.SIGTERM)
            return ""
        if self.loaded and not self.handed and self.link and self.link.peer_process.alive():
            self.link.peer_process.signal(signal.SIGTERM)
            return ""
        return "no process beside this one has been followed"

    # ---- The old process

    def offer(self) -> None:
        """Listen for the next process. Without a folder there will be none to hand over to."""
        if self.folder is None:
            return
        try:
            fresh = f"{SOCKET}.{os.getpid()}"
            with suppress(FileNotFoundError):
                (self.folder / fresh).unlink()
            self.offered = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
            self.offered.setblocking(False)
            self.offered.bind(self._address(fresh))
            self.offered.listen(4)
            os.replace(self.folder / fresh, self.folder / SOCKET)
            self.loop.add_reader(self.offered.fileno(), self._accept)
            self.keep()
        except OSError as error:
            log.error("no upgrade without a break: %r", error)

    def _accept(self) -> None:
        assert self.offered
        try:
            sock, _ = self.offered.accept()
        except OSError:
            return
        if self.link:  # one at a time: this one starts plainly
            sock.close()
            return
        self.link = Link(sock, self._message, self._ended)
        self.loop.call_later(HELLO_S + TAKE_S, self._not_taken, self.link)

    def _not_taken(self, link: Link) -> None:
        """Guards against a process that asks and hangs: it must not keep the next one out."""
        if link is self.link and not self.handed:
            link.end("it did not take over in time")

    def done(self) -> bool:
        """Whether the next process has taken over, and has all that was passed on."""
        return self.handed and self.link is not None and not self.link.queue

    def _give(self, beats: bool) -> None:
        """The one step: what is idle goes, what is in hand stays and is reserved, all else is told."""
        assert self.link
        self.handed = True
        self.clients.stop_accepting()
        self.driver.post(api.HotRestartBegun())
        registry = self.discovery.registry
        names = {number: name for name, number in registry.numbers.items()}
        raw = json.dumps(
            {
                "list": registry.document(),
                "decisions": state_document.save(self.driver.gateway, names),
                "operators": self.wanted(),
                **self._counts(),
            }
        ).encode()
        for at in range(0, len(raw), PIECE):
            self.link.send(b"S" + raw[at : at + PIECE])
        listener = self.clients.listener
        end = b"E" + json.dumps({"bytes": len(raw), "crc": zlib.crc32(raw), "beats": beats}).encode()
        self.link.send(end, listener.fileno() if listener else -1)
        self.servers.pass_on = self._pass_server
        self.servers.hand_over()
        self.clients.pass_on = self._pass_client
        if beats:  # half of what is left of the room for clients, as the next process opens more
            self.room = max(0, self.clients.most_connections - len(self.clients.connections)) // 2
            self.beats.start()
        self._sweep()

    def _sweep(self) -> None:
        """Pass on what could not go before, and tell how much is left."""
        if not self.handed or not self.link:
            return
        for client in list(self.clients.connections):
            self.clients.try_to_pass(client)
        counts = self._counts()
        if tuple(counts.values()) != self.held:
            self.held = (counts["clients"], counts["servers"])
            self._say("F", counts)
        self.loop.call_later(LEFT_S, self._sweep)

    def _counts(self) -> dict[str, int]:
        return {"clients": len(self.clients.connections), "servers": len(self.servers.connections)}

    def _pass_client(self, client: Client, descriptor: int) -> bool:
        link = self.link
        if not link or not link.open:
            return False
        kept = self.kept.retain(descriptor, client.asked, self.room)
        about = {"asked": client.asked, "waited": self.loop.time() - client.made, "kept": kept}
        link.send(b"C" + json.dumps(about).encode(), descriptor)
        if not link.open:  # it broke off before this was on it: the connection stays here, and is no copy
            self.kept.release(kept)
        return link.open

    def _pass_server(self, connection: Connection, descriptor: int) -> bool:
        registry = self.discovery.registry
        name = next(
            (name for name, number in registry.numbers.items() if number == connection.host.number), ""
        )
        if not self.link or not self.link.open or not name:
            return False
        link = self.link
        link.send(b"V" + name.encode(), descriptor)
        return link.open

    def _tell(self, news: api.PeerUsage) -> None:
        if self.handed:
            self._say(
                "F",
                {
                    "plan": news.plan,
                    "customer": news.customer,
                    "in_hand": news.in_flight,
                    "charged": news.charged_units,
                    "used": news.metered_use_percent,
                },
            )

    # ---- Messages

    def _say(self, letter: str, document: Any) -> None:
        if self.link:
            self.link.send(letter.encode() + json.dumps(document).encode())

    def _message(self, link: Link, data: bytes, descriptors: list[int]) -> None:
        letter = data[:1]
        rest = data[1:]
        self.beats.received()
        try:
            if letter == b"B":
                pass
            elif letter == b"T":
                if not self.answered.is_set() or self.handed:
                    raise ValueError("out of turn")
                self._give(rest == b"+")
            elif letter == b"S":
                self.pieces.append(rest)
                if len(self.pieces) * PIECE > MOST_STATE:
                    raise ValueError("a state without end")
            elif letter in (b"C", b"V") and len(descriptors) == 1:
                self._adopt(letter, rest, socket.socket(fileno=descriptors.pop()))
            else:
                self._document(link, letter, json.loads(rest), descriptors)
        finally:
            close_all(descriptors)

    def _document(self, link: Link, letter: bytes, document: Any, descriptors: list[int]) -> None:
        if letter == b"H":
            self._hello(document)
        elif letter == b"E":
            if descriptors:
                self.listener = socket.socket(fileno=descriptors.pop())
            self._load(document)
        elif letter == b"F":
            self._news(document)
        elif letter == b"O":
            self._want(document["operators"])
            self.keep()
            self._say("A", document["number"])
        elif letter == b"A":
            if document == self.asked:
                self.agreed.set()
        elif letter == b"D":
            self.kept.release(int(document))
        else:
            raise ValueError(f"no such message: {letter!r}")

    def _hello(self, who: Any) -> None:
        if who != self.who:
            raise ValueError("another gateway, or another version")
        if not self.answered.is_set() and self.offered:
            self._say("H", self.who)
        self.answered.set()

    def _news(self, document: Any) -> None:
        if "plan" not in document:
            self._take_counts(document)
            return
        used = document["used"]
        self.driver.post(
            api.PeerUsage(
                document["plan"],
                document["customer"],
                int(document["in_hand"]),
                float(document["charged"]),
                None if used is None else float(used),
            )
        )

    def _adopt(self, letter: bytes, rest: bytes, sock: socket.socket) -> None:
        sock.setblocking(False)
        # It was counted as the other process's: counting it twice would push out others for want of room.
        if letter == b"C":
            about = json.loads(rest)
            self.clients.elsewhere = max(0, self.clients.elsewhere - 1)
            self.clients.adopt(sock, bool(about["asked"]), float(about["waited"]), int(about.get("kept", 0)))
            return
        self.servers.elsewhere = max(0, self.servers.elsewhere - 1)
        task = self.loop.create_task(self.servers.adopt(self.discovery.registry.number(rest.decode()), sock))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _ended(self, link: Link) -> None:
        """The other process is gone: this one is the gateway now, or again."""
        if link is not self.link:
            return
        self.link = None
        self.beats.stop()
        self.clients.on_closed = None
        self.answered.set()  # who waits for more, waits no longer
        self.whole.set()
        self.answered.clear()
        self.clients.elsewhere = self.servers.elsewhere = 0
        self.clients.pass_on = None
        self.servers.pass_on = None
        if self.handed:
            link.peer_process.when_ended(self._back)  # the link may end before the process: not beside it
        else:
            self.driver.post(api.PeerExited())
            link.peer_process.close()

    def _hung(self) -> None:
        """No sign of life for a while: end it. Whatever it holds is given up with it, or taken back."""
        if self.link:
            log.error("the other process hangs: it is ended")
            self.link.peer_process.kill()
            self.link.end("it hangs")

    def _back(self) -> None:
        """The next process has ended: what it had is this one's again."""
        self.handed = False
        self.driver.post(api.PeerExited())
        log.error("the next process has ended: this one accepts again")
        task = self.loop.create_task(self._again())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _again(self) -> None:
        for reclaimed in self.kept.reclaim():
            reclaimed.sock.setblocking(False)
            await self.clients.adopt(reclaimed.sock, reclaimed.has_requested, 0.0)
        if self.clients.leaving:  # what came is served to its end; nobody takes over from here any more
            return
        await self.clients.accept()
        self.withdraw()
        self.offer()

    def _closed(self, client: Client) -> None:
        """The process before keeps a copy of what it passed on: it must close that, too."""
        if client.kept_as:
            self._say("D", client.kept_as)
            client.kept_as = 0

    def withdraw(self) -> None:
        """Offer no more; the path stays, as it may be the next process's by now."""
        if self.offered:
            self.loop.remove_reader(self.offered.fileno())
            self.offered.close()
            self.offered = None

    # ---- What operators want

    def fence(self, token: int) -> bool:
        """Whether a caller with this token may act: none with a higher one has called, as far as known."""
        if token < self.token:
            return False
        self.token = token
        return True

    def wanted(self) -> dict[str, Any]:
        """Servers out, by id, whether the gateway is drained, and the highest token of a caller."""
        gateway = self.driver.gateway
        registry = self.discovery.registry
        out = [name for name, number in registry.numbers.items() if number in gateway.by_hand]
        return {
            "out": sorted(out),
            "drained": gateway.draining,
            **({"token": self.token} if self.token else {}),
        }

    def _want(self, wanted: dict[str, Any]) -> None:
        """Make the same true here."""
        self.token = max(self.token, int(wanted.get("token", 0)))
        out = {str(name) for name in wanted["out"]}
        registry = self.discovery.registry
        before = set(self.wanted()["out"])
        for name in sorted(out - before):
            registry.pin(name)
            self.driver.post(api.ServerAdminDown(registry.assign(name), True))
        for name in sorted(before - out):
            number = registry.number(name)
            self.driver.post(api.ServerAdminDown(number, False))
            registry.unpin(name, number in self.driver.gateway.servers)
        self.driver.post(api.DrainChanged(bool(wanted["drained"])))

    async def share(self) -> None:
        """Returns once what operators want is kept, and known to the other process if there is one."""
        self.keep()
        if not self.link or not self.answered.is_set():
            return
        self.asked += 1
        self.agreed.clear()
        self._say("O", {"number": self.asked, "operators": self.wanted()})
        try:
            async with asyncio.timeout(SHARE_S):
                await self.agreed.wait()
        except TimeoutError:
            log.error("the other process did not confirm what operators want")

    def keep(self) -> None:
        """Write it down, whole or not at all."""
        if self.folder is None:
            return
        try:
            fresh = self.folder / f"{KEPT}.{os.getpid()}"
            fresh.write_text(json.dumps({**self.who, "operators": self.wanted()}))
            os.replace(fresh, self.folder / KEPT)
        except OSError as error:
            log.error("what operators want can't be kept: %r", error)

    def _read_kept(self) -> dict[str, Any]:
        assert self.folder
        try:
            document = json.loads((self.folder / KEPT).read_text())
            wanted = dict(document.pop("operators"))
            if document == self.who and isinstance(wanted["out"], list):
                return {
                    "out": wanted["out"],
                    "drained": bool(wanted["drained"]),
                    "token": int(wanted.get("token", 0)),
                }
        except (OSError, ValueError, KeyError, TypeError, AttributeError):
            pass
        return {}

    def _forget(self) -> None:
        """Nobody serves: what is written there is of a process that is dead. Its token holds all the same."""
        assert self.folder
        self.token = max(self.token, self._read_kept().get("token", 0))
        with suppress(OSError):
            (self.folder / KEPT).unlink()

    def close(self) -> None:
        """At the end of the process."""
        self.withdraw()
        self.beats.stop()
        self.kept.close()
        link = self.link
        self.link = None
        if link:
            link.end("this process ends")
            link.peer_process.close()
        listener = self.take_listener()
        if listener:
            listener.close()
        if self.place >= 0:
            os.close(self.place)
            self.place = -1
