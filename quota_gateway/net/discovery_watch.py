"""One watch on discovery: an HTTP request whose response is a stream of JSON objects."""

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
    """States of a watch: opening until the first object or heartbeat, then live until it ends."""

    OPENING = "opening"
    LIVE = "live"
    ENDED = "ended"


TRANSITIONS: Transitions[WatchState] = {
    WatchState.OPENING: frozenset({WatchState.LIVE, WatchState.ENDED}),
    WatchState.LIVE: frozenset({WatchState.LIVE, WatchState.ENDED}),
    WatchState.ENDED: frozenset({WatchState.ENDED}),  # ended by this gateway, then the connection is lost
}


class WatchEnd(Enum):
    """Why this gateway ended a watch; the value is the text in the log."""

    SILENT = "no heartbeat or list in time"
    NOT_HTTP = "malformed HTTP response"
    REFUSED = "HTTP status"
    TOO_LONG = "a JSON object exceeds the maximum size"
    COMPLETE = "the response is complete"
    MALFORMED = "malformed endpoint list"
    MOVED = "discovery address changed"
    REPLACED = "discovery address changed during the connect"


class WatchOwner(Protocol):
    """Callbacks of a watch to its owner."""

    def silence_limit_s(self) -> float:
        """How long the watch may be silent before it ends itself."""

    def on_watch_live(self) -> None:
        """Called when the watch has received a heartbeat or an object."""

    def on_object(self, document: Any, watch: DiscoveryWatch) -> None:
        """Called with each JSON object that the watch has received."""

    def on_list_lost(self) -> None:
        """Called when a list could not be read, so that the complete list is needed again."""


class DiscoveryWatch(asyncio.Protocol):
    """The connection of one watch; the future ``done`` is resolved once it is closed."""

    def __init__(self, owner: WatchOwner, address: Address, target: str) -> None:
        self.state = WatchState.OPENING
        self.was_live = False
        self.end_reason: WatchEnd | None = None  # None while it is open, or if discovery ended it
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
        """Whether the watch has ended; further data is ignored."""
        return self.state is WatchState.ENDED

    # ---- The connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        # uvloop's transports are not subclasses of asyncio.Transport, so isinstance can't be used
        self._transport = cast(asyncio.Transport, transport)
        host, port = self._address
        head = f"GET {self._target} HTTP/1.1\r\nHost: {host}:{port}\r\nAccept: application/json\r\n\r\n"
        self._transport.write(head.encode())
        self._restart_silence_timer()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._end(WatchEnd.NOT_HTTP, f": {error}")

    def eof_received(self) -> None:
        """Complete a response that has no declared length; a connection reset does not complete it."""
        if self._parser.get_status_code() == STATUS_OK:
            self._finish_stream()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Mark the watch as ended, if this gateway has not ended it itself, and resolve ``done``."""
        self._enter(WatchState.ENDED)
        if self._silence_timer:
            self._silence_timer.cancel()
        if not self.done.done():
            self.done.set_result(None)

    def end(self, reason: WatchEnd) -> None:
        """End the watch; does nothing if its connection is closed."""
        if not self.done.done():
            self._end(reason)

    def _end(self, reason: WatchEnd, detail: str = "") -> None:
        if not self.has_ended:
            self._enter(WatchState.ENDED)
            self.end_reason = reason
            log.warning("the watch on discovery ended: %s%s; reopening it", reason.value, detail)
        if self._transport:
            self._transport.abort()

    def _enter(self, state: WatchState) -> None:
        self.state = transition("watch on discovery", TRANSITIONS, self.state, state)

    # ---- Liveness

    def _restart_silence_timer(self) -> None:
        """Restart the timer that ends the watch if it stays silent.

        Guards against a connection that has died without being closed. Only a heartbeat or a complete object
        counts as a sign of life, not single bytes: an object that never ends gives no list either.
        """
        if self._silence_timer:
            self._silence_timer.cancel()
        loop = asyncio.get_running_loop()
        self._silence_timer = loop.call_later(self._owner.silence_limit_s(), self._end, WatchEnd.SILENT)

    def _become_live(self) -> None:
        self._enter(WatchState.LIVE)
        self.was_live = True
        self._owner.on_watch_live()
        self._restart_silence_timer()

    # ---- Callbacks of the HTTP parser

    def on_headers_complete(self) -> None:
        """End the watch if discovery refuses it."""
        status = self._parser.get_status_code()
        if status != STATUS_OK:
            self._end(WatchEnd.REFUSED, f" {status}")

    def on_body(self, body: bytes) -> None:
        """Handle the objects in these bytes; the body of a refusal, and data after the end, are ignored."""
        if self.has_ended:
            return
        try:
            for item in self.stream.feed(body):
                self._handle_item(item)
                if self.has_ended:
                    return  # an object after a lost one must not be applied as if nothing was missing
        except ProtocolError as error:
            self.end_malformed(str(error))
            return
        if self.stream.buffered_bytes > MAX_OBJECT_BYTES:
            self._end(WatchEnd.TOO_LONG)

    def on_message_complete(self) -> None:
        """End the watch, as its response is complete."""
        self._finish_stream()
        self._end(WatchEnd.COMPLETE)

    def _finish_stream(self) -> None:
        """Handle a last object that is complete although its line has no end."""
        if self.has_ended:
            return
        try:
            for item in self.stream.finish():
                self._handle_item(item)
        except ProtocolError as error:
            self.end_malformed(str(error))

    def _handle_item(self, item: Any) -> None:
        self._become_live()
        if item is not EmptyLine.EMPTY_LINE:
            self._owner.on_object(item, self)

    def end_malformed(self, reason: str) -> None:
        """End the watch and request the complete list, as a received list is lost."""
        if self.has_ended:
            return
        log.error("malformed list from discovery; requesting the complete list: %s", reason)
        self._owner.on_list_lost()
        self._end(WatchEnd.MALFORMED)
