"""One watch on discovery: an HTTP request whose answer is a stream of JSON objects."""

from __future__ import annotations

import asyncio
import logging
from enum import Enum
from typing import Any, Protocol, cast

import httptools

from quota_gateway.errors import ProtocolError
from quota_gateway.net.json_stream import EmptyLine, JsonObjectStream
from quota_gateway.net.servers import Address
from quota_gateway.state_machine import Transitions, transition

log = logging.getLogger("quota_gateway.net.discovery")

MAX_OBJECT_BYTES = 4 * 1024 * 1024
STATUS_OK = 200


class WatchState(Enum):
    """States of a watch: opening until the first object or heartbeat, live until it ends."""

    OPENING = "opening"
    LIVE = "live"
    ENDED = "ended"


TRANSITIONS: Transitions[WatchState] = {
    WatchState.OPENING: frozenset({WatchState.LIVE, WatchState.ENDED}),
    WatchState.LIVE: frozenset({WatchState.LIVE, WatchState.ENDED}),
    WatchState.ENDED: frozenset({WatchState.ENDED}),  # ended by this gateway, then closed
}


class WatchEnd(Enum):
    """Why this gateway ended a watch, as the log has it."""

    SILENT = "silent"
    NOT_HTTP = "not HTTP"
    REFUSED = "status"
    TOO_LONG = "a line without end"
    COMPLETE = "the answer is complete"
    MALFORMED = "malformed list"
    MOVED = "moved"
    REPLACED = "replaced"


class WatchOwner(Protocol):
    """What a watch needs of discovery."""

    def silence_limit_s(self) -> float:
        """How long the watch may be silent from now on."""

    def watch_is_live(self) -> None:
        """The watch has given a heartbeat or an object."""

    def take(self, document: Any, watch: DiscoveryWatch) -> None:
        """The watch has given an object."""

    def list_lost(self) -> None:
        """What the watch gave can't be read, so that all of it is needed again."""


class DiscoveryWatch(asyncio.Protocol):
    """The connection of one watch; ``done`` is set once it is closed."""

    def __init__(self, owner: WatchOwner, address: Address, target: str) -> None:
        self.state = WatchState.OPENING
        self.was_live = False
        self.end_reason: WatchEnd | None = None  # none where discovery ended it, or while it is open
        self.stream = JsonObjectStream()
        self.done = asyncio.get_running_loop().create_future()
        self._owner = owner
        self._address = address
        self._target = target
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._silence_timer: asyncio.TimerHandle | None = None

    @property
    def has_ended(self) -> bool:
        """Whether nothing more is taken from it."""
        return self.state is WatchState.ENDED

    # ---- The connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        # uvloop's transports are not asyncio.Transport by class: no isinstance here
        self._transport = cast(asyncio.Transport, transport)
        host, port = self._address
        head = f"GET {self._target} HTTP/1.1\r\nHost: {host}:{port}\r\nAccept: application/json\r\n\r\n"
        self._transport.write(head.encode())
        self._restart_silence_timer()

    def data_received(self, data: bytes) -> None:
        """Parse what has come."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._end(WatchEnd.NOT_HTTP, f": {error}")

    def eof_received(self) -> None:
        """End an answer without a length; a reset does not end it in order."""
        if self._parser.get_status_code() == STATUS_OK:
            self._finish_stream()

    def connection_lost(self, _exc: Exception | None) -> None:
        """End the watch, if this gateway has not ended it itself."""
        self._enter(WatchState.ENDED)
        if self._silence_timer:
            self._silence_timer.cancel()
        if not self.done.done():
            self.done.set_result(None)

    def end(self, reason: WatchEnd) -> None:
        """End the watch; nothing if it is closed."""
        if not self.done.done():
            self._end(reason)

    def _end(self, reason: WatchEnd, detail: str = "") -> None:
        if not self.has_ended:
            self._enter(WatchState.ENDED)
            self.end_reason = reason
            log.warning("the watch on discovery ended: %s%s", reason.value, detail)
        if self._transport:
            self._transport.abort()

    def _enter(self, state: WatchState) -> None:
        self.state = transition("watch on discovery", TRANSITIONS, self.state, state)

    # ---- Liveness

    def _restart_silence_timer(self) -> None:
        """Begin a new silence.

        Guards against a watch that has died without a close. Only a heartbeat or a complete object counts,
        not any byte: an object that never ends gives no list either.
        """
        if self._silence_timer:
            self._silence_timer.cancel()
        loop = asyncio.get_running_loop()
        self._silence_timer = loop.call_later(self._owner.silence_limit_s(), self._end, WatchEnd.SILENT)

    def _become_live(self) -> None:
        self._enter(WatchState.LIVE)
        self.was_live = True
        self._owner.watch_is_live()
        self._restart_silence_timer()

    # ---- The answer, as the parser calls back

    def on_headers_complete(self) -> None:
        """End the watch where discovery refuses it."""
        status = self._parser.get_status_code()
        if status != STATUS_OK:
            self._end(WatchEnd.REFUSED, f" {status}")

    def on_body(self, body: bytes) -> None:
        """Take the objects in these bytes; none behind the end, and none of a refusal's text."""
        if self.has_ended:
            return
        try:
            for item in self.stream.feed(body):
                self._take(item)
                if self.has_ended:
                    return  # an object behind a lost one must not count as all that has come
        except ProtocolError as error:
            self.malformed(str(error))
            return
        if self.stream.buffered_bytes > MAX_OBJECT_BYTES:
            self._end(WatchEnd.TOO_LONG)

    def on_message_complete(self) -> None:
        """End the watch with its answer."""
        self._finish_stream()
        self._end(WatchEnd.COMPLETE)

    def _finish_stream(self) -> None:
        """Take an object that is complete although its line has no end."""
        if self.has_ended:
            return
        try:
            for item in self.stream.finish():
                self._take(item)
        except ProtocolError as error:
            self.malformed(str(error))

    def _take(self, item: Any) -> None:
        self._become_live()
        if item is not EmptyLine.EMPTY_LINE:
            self._owner.take(item, self)

    def malformed(self, reason: str) -> None:
        """End the watch, as what it gave is lost."""
        if self.has_ended:
            return
        log.error("malformed list from discovery: %s", reason)
        self._owner.list_lost()
        self._end(WatchEnd.MALFORMED)
