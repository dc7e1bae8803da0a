"""The watch on discovery: keeps one open, turns its lines into lists for the decisions."""

from __future__ import annotations

import asyncio
import json
import logging
import random
import socket
from collections.abc import Callable
from contextlib import suppress
from itertools import count
from math import inf
from typing import Any, cast

import httptools

from quota_gateway import api
from quota_gateway.net.servers import Address

log = logging.getLogger(__name__)

SILENT_S = 4.5  # at most: an empty line comes every 2 s, what a silent watch misses counts as told after 6 s
SILENT_SPREAD = 0.3  # of it, drawn at random: gateways whose watches fell silent at once come back one by one
BACKOFF_S = (0.05, 2.0)  # before another watch, first and at most, of which half is drawn at random
AGENT_S = 0.25  # the same at most where lists are pushed: the machine's own agent answers this gateway alone
SHARED_S = (0.05, 0.2)  # the same for each gateway: all of them share what discovery can answer
CYCLE_S = 4.0  # from one call to the next, at most: what is missed counts as told 6 s after a change
PROMPT = 8  # calls in a row that tell nothing, half a minute of them: until then that is kept to
MOST_DOUBLED = 16  # times that a back-off is doubled
CONNECT_S = 1.0
SILENT = "silent"  # why a watch ended
LONGEST_LINE = 4 * 1024 * 1024
STATES = {
    "Ready": api.ServerState.READY,
    "Terminating": api.ServerState.DRAINING,
    "Gone": api.ServerState.REMOVED,
}
News = Callable[[api.ServerList, dict[int, Address]], None]


class Roster:
    """Reads discovery's lists; servers get numbers, as the decisions know them."""

    def __init__(self) -> None:
        self.numbers: dict[str, int] = {}
        self.unused = count(1)  # never used again: an attempt on a server that is gone may still be out
        self.generation: int | None = None
        self.rows: dict[str, Any] = {}  # as listed last
        self.pinned: set[str] = set()  # ids that keep their number, listed or not

    def pin(self, name: str) -> None:
        """Keep an id's number, whatever is listed."""
        self.pinned.add(name)

    def assign(self, name: str) -> int:
        """An id's number, a new one if it has none."""
        if name not in self.numbers:
            self.numbers[name] = next(self.unused)
        return self.numbers[name]

    def document(self) -> dict[str, Any]:
        """The list as it stands, in discovery's form."""
        return {"generation": self.generation or 0, "reset": True, "instances": list(self.rows.values())}

    def number(self, name: str) -> int:
        """An id's number; 0 for one that nobody has."""
        return self.numbers.get(name, 0)

    def unpin(self, name: str, listed: bool) -> None:
        """Forget an id's number when it is not listed."""
        self.pinned.discard(name)
        if not listed:
            self.numbers.pop(name, None)

    def read(self, document: Any, known: bool = False) -> tuple[api.ServerList, dict[int, Address]]:
        """A list and the addresses in it; raises ValueError, KeyError or TypeError if it is malformed, and
        keeps no name of one that is.
        """
        full = known or bool(document["reset"])
        generation = int(document["generation"])
        places = [_place(row) for row in document["instances"]]
        entries = [self._entry(row) for row in document["instances"]]
        addresses = {entry.server: place for entry, place in zip(entries, places, strict=True)}
        if full:
            listed = {row["instanceId"] for row in document["instances"]} | self.pinned
            self.numbers = {name: number for name, number in self.numbers.items() if name in listed}
            self.rows.clear()
        for row in document["instances"]:
            self.rows[row["instanceId"]] = row
            if row["lifecycle"] == "Gone":
                del self.rows[row["instanceId"]]
            if row["lifecycle"] == "Gone" and row["instanceId"] not in self.pinned:
                self.numbers.pop(row["instanceId"], None)
        self.generation = generation
        kind = api.ListKind.CACHED if known else api.ListKind.COMPLETE if full else api.ListKind.CHANGES
        return api.ServerList(kind, tuple(entries), generation), addresses

    def _entry(self, row: dict[str, Any]) -> api.ServerEntry:
        """A row that was found good."""
        return api.ServerEntry(
            server=self.assign(row["instanceId"]),
            zone=row["zone"] or "",
            kind=row.get("machineType") or "",
            cell=row.get("cell") or 0,
            state=STATES[row["lifecycle"]],
            size=_weight(row),
            started_ms=float(row.get("startedAtMs") or 0.0),
        )


def _weight(row: dict[str, Any]) -> Any:
    weight = row.get("weight")
    return 1.0 if weight is None else weight


def _place(row: dict[str, Any]) -> Address:
    """A row's address; raises ValueError, KeyError or TypeError where something in it is none of its kind.

    Guards against what would fail only later: an address that can't be connected to, a figure that no other
    can be compared with. A null is as if it were not there.
    """
    host, _, port = row["hostPort"].rpartition(":")
    words = row["instanceId"], row["lifecycle"], row["zone"] or "", row.get("machineType") or ""
    figures = _weight(row), row.get("startedAtMs") or 0.0
    good = (
        all(isinstance(word, str) for word in words)
        and row["lifecycle"] in STATES
        and all(isinstance(figure, (int, float)) and 0.0 <= figure < inf for figure in figures)
        and isinstance(row.get("cell") or 0, int)
        and port.isdecimal()
        and 0 < int(port) < 1 << 16
    )
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        good = False
    if not good:
        raise ValueError(f"no entry of a list: {row!r:.200}")
    return host, int(port)


class Watch(asyncio.Protocol):
    """One HTTP exchange: a chunked answer with a JSON object a line."""

    def __init__(self, discovery: Discovery, target: str) -> None:
        self.discovery = discovery
        self.target = target
        self.parser = httptools.HttpResponseParser(self)
        self.text = bytearray()  # of an object that is not whole yet
        self.line = bytearray()
        self.transport: asyncio.Transport | None = None
        self.silent: asyncio.TimerHandle | None = None
        self.why = ""  # it ended; empty while it runs
        self.told = False  # it has shown that it lives
        self.done = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are not asyncio.Transport by class: no isinstance here
        self.transport = cast(asyncio.Transport, transport)
        host, port = self.discovery.address
        self.transport.write(
            f"GET {self.target} HTTP/1.1\r\nHost: {host}:{port}\r\nAccept: application/json\r\n\r\n".encode()
        )
        self._heard()

    def _heard(self) -> None:
        """Guards against a watch that has died without a word: no line for several beats ends it.

        An empty line or a whole object counts, not any byte: one that never ends tells nothing either.
        """
        if self.silent:
            self.silent.cancel()
        loop = asyncio.get_running_loop()
        self.silent = loop.call_later(self.discovery.silent_s(), self._close, SILENT)

    def _alive(self) -> None:
        self.discovery.failures = 0
        self.told = True
        self._heard()

    def _close(self, why: str) -> None:
        if not self.why:
            self.why = why
            log.warning("the watch on discovery ended: %s", why)
        if self.transport:
            self.transport.abort()

    def end(self, why: str) -> None:
        """End it; nothing if it has ended."""
        if not self.done.done():
            self._close(why)

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._close(f"not HTTP: {error}")

    def on_headers_complete(self) -> None:
        status = self.parser.get_status_code()
        if status != 200:
            self._close(f"status {status}")

    def on_body(self, body: bytes) -> None:
        """Bytes of lists: an object may stand on one line, or on several. Of a refusal nothing is taken."""
        if self.why:
            return
        *lines, rest = (bytes(self.line) + body).split(b"\n")
        self.line = bytearray(rest)
        for line in lines:
            if not line.strip() and not self.text:
                self._alive()
            elif line.strip():
                self.text += line + b"\n"
                self._take_whole(line.rstrip().endswith((b"}", b"]")))
            else:
                self.malformed("an object that breaks off")
            if self.why:
                return  # what stands behind a line that was lost must not count as all that has come
        if len(self.text) + len(self.line) > LONGEST_LINE:
            self._close("a line without end")

    def _take_whole(self, may_end: bool) -> None:
        """Take over the object, if it is whole; one that can't become whole is malformed.

        It is looked at as it begins, and where it may end: at each line it would cost the square of a list.
        """
        if not may_end and self.text.count(b"\n") > 1:
            return
        try:
            text = self.text.decode()
            document = json.loads(text)
        except json.JSONDecodeError as error:
            if error.pos < len(text.rstrip()):
                self.malformed(str(error))
        except ValueError as error:
            self.malformed(str(error))
        else:
            self.text.clear()
            self._alive()
            self.discovery.take(document, self)

    def _end(self) -> None:
        """The answer has ended in order: what stands behind its last line's end is whole, or nothing."""
        if not self.why and (self.text or self.line.strip()):
            self.text += self.line
            self.line.clear()
            self._take_whole(True)

    def on_message_complete(self) -> None:
        self._end()
        self._close("the answer is complete")

    def eof_received(self) -> None:
        """Only this ends an answer without a length; a reset does not."""
        if self.parser.get_status_code() == 200:
            self._end()

    def malformed(self, why: str) -> None:
        """What can't be read is lost, so all of it is asked for again."""
        if self.why:
            return
        log.error("malformed list from discovery: %s", why)
        self.discovery.roster.generation = None
        self._close("malformed list")

    def connection_lost(self, exc: Exception | None) -> None:
        if self.silent:
            self.silent.cancel()
        if not self.done.done():
            self.done.set_result(None)


class Discovery:
    """Keeps a watch open for as long as the gateway runs."""

    def __init__(
        self,
        address: Address,
        news: News,
        seed: int = 0,
        gateways: int = 1,
        mode: api.DiscoveryMode = api.DiscoveryMode.POLL,
    ) -> None:
        self.address = address
        self.news = news
        self.retell(gateways, mode)
        self.random = random.Random(seed)
        self.roster = Roster()
        self.failures = 0  # watches in a row that told nothing
        self.watch: Watch | None = None
        self.moved = asyncio.Event()  # to another address: what waits, waits no longer

    def retell(self, gateways: int, mode: api.DiscoveryMode) -> None:
        """So many gateways share discovery from now on; or each has an agent that lists are pushed to."""
        self.pushed = mode is api.DiscoveryMode.PUSH
        self.shortest_s, self.longest_s = map(max, BACKOFF_S, (gateways * share for share in SHARED_S))
        if self.pushed:
            self.shortest_s = BACKOFF_S[0]
            self.longest_s = AGENT_S

    def move(self, address: Address) -> None:
        """Watch at another address from now on, from where the watch at the old one was."""
        if address == self.address:
            return
        log.info("discovery moves to %s:%d", *address)
        self.address = address
        self.failures = 0
        self.moved.set()
        if self.watch:
            self.watch.end("moved")

    def known(self, document: Any) -> None:
        """The list as the configuration has it; it may be old."""
        try:
            self.news(*self.roster.read(document, known=True))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            log.error("malformed known list: %r", error)

    def take(self, document: Any, watch: Watch) -> None:
        """One object of the watch; a malformed one is logged and the whole list asked for."""
        try:
            news = self.roster.read(document)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            watch.malformed(repr(error))
            return
        self.news(*news)

    async def run(self) -> None:
        """Watch, and watch anew, from where the last one ended."""
        loop = asyncio.get_running_loop()
        while True:
            self.moved.clear()
            began = loop.time()
            try:
                async with asyncio.timeout(CONNECT_S):
                    _, self.watch = await loop.create_connection(self._watch, *self.address)
                if not self.moved.is_set():
                    await self.watch.done
                self.watch.end("replaced")
            except (OSError, TimeoutError) as error:
                log.warning("discovery can't be reached: %r", error)
            silent = self.watch is not None and self.watch.why == SILENT
            took_s = 0.0 if self.watch is not None and self.watch.told else loop.time() - began
            self.watch = None
            with suppress(TimeoutError):
                await asyncio.wait_for(self.moved.wait(), self.pause_s(silent, took_s))
                continue
            self.failures += 1

    def silent_s(self) -> float:
        """How long a watch may be silent."""
        return SILENT_S * (1.0 - SILENT_SPREAD * self.random.random())

    def pause_s(self, silent: bool = False, took_s: float = 0.0) -> float:
        """Before another watch, behind one that took so long without telling anything.

        Where lists are pushed, what the machine's agent has counts as told whether or not a watch is open,
        and it says nothing while discovery is down: a watch has to be open as it speaks again, and costs
        nobody else anything. Where lists are asked for, what is missed counts as told seconds after discovery
        could be reached: the next call is in time for that, whether the last one was ended, refused or left
        waiting, its moment drawn from the time there is; a watch that fell silent has drawn it already.

        Guards against gateways that lost theirs at once and come back at once, and, where it goes on, against
        a discovery that is kept overbooked by their calls alone: the more gateways, the rarer each one's.
        """
        backoff = min(self.longest_s, self.shortest_s * 2.0 ** min(self.failures, MOST_DOUBLED))
        if self.pushed or self.failures >= PROMPT:
            return backoff * (1.0 - 0.5 * self.random.random())
        if self.failures == 0 and silent:
            return BACKOFF_S[0]
        left = max(BACKOFF_S[0], CYCLE_S - took_s)
        if self.failures == 0 and backoff > left:
            return left * self.random.random()
        return min(backoff, left) * (1.0 - 0.5 * self.random.random())

    def _watch(self) -> Watch:
        generation = self.roster.generation
        return Watch(self, "/discovery/hosts?watch=1" + ("" if generation is None else f"&from={generation}"))
