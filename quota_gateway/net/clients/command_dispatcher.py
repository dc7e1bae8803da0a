"""Dispatches the commands of clients: starts a request, or replies immediately."""

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
MAX_BAD_COMMANDS = 16  # consecutive ones that close the connection; no real client sends so many


class CommandDispatcher:
    """Handles the commands of all clients according to the current settings."""

    def __init__(self, driver: Driver, settings: api.Settings, ping_reply: Callable[[], bytes]) -> None:
        self._driver = driver
        self._ping_reply = ping_reply
        self.parser = CommandParser(settings)

    def reconfigure(self, settings: api.Settings) -> None:
        """Apply new settings to all further commands."""
        self.parser = CommandParser(settings)

    def dispatch(self, client: Client, command: object) -> None:
        """Handle one command; anything but an array of words gets an error and ends the connection."""
        if not isinstance(command, list) or not command or not all(isinstance(w, bytes) for w in command):
            client.reject_protocol_error()
            return
        name = command[0].upper()
        if name in (GET, POST):
            self._accept_request(client, command)
        elif name == PING:
            client.reply(self._ping_reply())
        else:
            self._reject(client, b"-ERR unknown command\r\n")

    def _accept_request(self, client: Client, command: list[bytes]) -> None:
        driver = self._driver
        try:
            # A command that waited for earlier ones: its client's timeout has been running since it was read.
            call = self.parser.parse(command, driver.clock() - client.stream.latest_command_read_ms())
            request = call.request
            if driver.is_in_hand(request.request_id):
                raise CommandError("a request of this id is in hand")
        except ValueError as error:  # CommandError, or a value that api.Request rejects
            self._reject(client, f"-ERR {error}\r\n".encode("ascii", "replace"))
            return
        client.has_requested = True
        client.bad_commands = 0
        slot = ReplySlot(client, None, request.request_id)
        client.replies.append(slot)
        pending = ClientRequest(request.request_id, call.encode, slot.fill, slot.begin, client.has_left)
        pending.latency_objective_ms = call.latency_objective_ms
        driver.accept(pending, request, request.client_timeout_ms)

    def _reject(self, client: Client, reply: bytes) -> None:
        """Answer a bad command with an error; too many consecutive ones close the connection.

        Each costs as much as a request, so megabytes of small bad commands would cost more than the requests
        of all other clients.
        """
        client.bad_commands += 1
        if client.bad_commands >= MAX_BAD_COMMANDS:
            client.stop_taking_commands()
        client.reply(reply)
