"""What each command of a client leads to: a request, or a reply at once."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from quota_gateway import api
from quota_gateway.net.client_request import ClientRequest
from quota_gateway.net.clients.commands import GET, POST, CommandError, CommandParser
from quota_gateway.net.clients.replies import ReplySlot
from quota_gateway.net.driver import Driver

if TYPE_CHECKING:
    from quota_gateway.net.clients.connection import Client

PING = b"PING"
MAX_BAD_COMMANDS = 16  # in a row: a peer that sends more is no client


class CommandDispatcher:
    """Takes the commands of all clients by the settings in force."""

    def __init__(self, driver: Driver, settings: api.Settings, ping_reply: Callable[[], bytes]) -> None:
        self._driver = driver
        self._ping_reply = ping_reply
        self.parser = CommandParser(settings)

    def reconfigure(self, settings: api.Settings) -> None:
        """Take further commands by these settings."""
        self.parser = CommandParser(settings)

    def dispatch(self, client: Client, command: object) -> None:
        """Take one command; what is no array of words ends the connection behind an error."""
        if not isinstance(command, list) or not command or not all(isinstance(w, bytes) for w in command):
            client.reject_protocol()
            return
        name = command[0].upper()
        if name in (GET, POST):
            self._call(client, command)
        elif name == PING:
            client.reply(self._ping_reply())
        else:
            self._reject(client, b"-ERR unknown command\r\n")

    def _call(self, client: Client, command: list[bytes]) -> None:
        driver = self._driver
        try:
            # A command behind the most in flight has waited here, at least since the latest read, and its
            # client's timeout has run meanwhile.
            call = self.parser.parse(command, driver.clock() - client.last_read_ms)
            request = call.request
            if request.request_id in driver.requests:
                raise CommandError("a request of this id is in hand")
        except ValueError as error:  # CommandError, or a value that api.Request does not take
            self._reject(client, f"-ERR {error}\r\n".encode("ascii", "replace"))
            return
        client.has_requested = True
        client.bad_commands = 0
        slot = ReplySlot(client, None, request.request_id)
        client.replies.slots.append(slot)
        pending = ClientRequest(request.request_id, call.encode, slot.fill, slot.begin)
        pending.latency_objective_ms = call.latency_objective_ms
        driver.accept(pending, request, request.client_timeout_ms)

    def _reject(self, client: Client, reply: bytes) -> None:
        """Answer a bad command; the connection stays open, but not for an endless row of them.

        Each costs as much as a request, so megabytes of small commands that are no requests would cost more
        than all others' requests.
        """
        client.bad_commands += 1
        if client.bad_commands >= MAX_BAD_COMMANDS:
            client.take_no_more_commands()
        client.reply(reply)
