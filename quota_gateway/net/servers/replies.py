"""Turns the RESP parser's output for a server's reply into the outcome of an attempt. Uses no sockets."""

from __future__ import annotations

import logging
from contextlib import suppress
from dataclasses import dataclass
from math import inf

from quota_gateway import api
from quota_gateway.settings_fields import LOAD_REPORT_NAMES

log = logging.getLogger(__name__)

OVERLOADED_WORD = "BUSY"  # first word of an error line: the server rejected the command and did not run it
SYNTAX_WORD = "SYNTAX"  # first word of an error line: the server could not read the command


class ServerError(Exception):
    """An error line from a server, as the RESP parser returns it."""


@dataclass(slots=True)
class Reply:
    """Outcome of an attempt, with the value and the reports that came with it."""

    status: api.Status
    value: bytes | None = None
    metered_use_percent: float | None = None  # of its plan's rate: the customer's use over all gateways
    final_units: float | None = None  # actual cost of the request, which replaces the estimate
    load: tuple[float, ...] | None = None  # in the order of the settings' load fields
    malformed: bool = False  # violates the protocol: the connection can't be used again


class ReplyReader:
    """Reads parsed replies, including the metered use, cost and load reports in them.

    ``load_fields``: names of the load values to report, in this order.
    """

    def __init__(self, load_fields: tuple[str, ...]) -> None:
        self.load_fields = load_fields

    def read(self, parsed: object) -> Reply:
        """The outcome for a parsed reply; after a malformed reply the command may have run."""
        if isinstance(parsed, ServerError):
            return self._read_error(str(parsed))
        if not isinstance(parsed, list) or not parsed or not isinstance(parsed[0], bytes):
            log.warning("malformed reply from a server, closing its connection: %.100r", parsed)
            return Reply(api.Status.ERROR, malformed=True)
        reply = Reply(api.Status.OK, parsed[0])
        for fields in parsed[1:]:
            if isinstance(fields, bytes):
                self._read_fields(reply, fields.decode("latin-1"))
        return reply

    def _read_error(self, line: str) -> Reply:
        word, *fields = line.split(" ")
        if word == SYNTAX_WORD:
            log.error("a server could not read a command: %.200s", line)
        reply = Reply(api.Status.OVERLOADED if word == OVERLOADED_WORD else api.Status.ERROR)
        for text in fields:
            self._read_fields(reply, text)
        return reply

    def _read_fields(self, reply: Reply, text: str) -> None:
        fields = _number_fields(text)
        reply.metered_use_percent = fields.get("used", reply.metered_use_percent)
        reply.final_units = fields.get("cost", reply.final_units)
        load = {LOAD_REPORT_NAMES.get(name, name): value for name, value in fields.items()}
        if self.load_fields and all(name in load for name in self.load_fields):
            reply.load = tuple(load[name] for name in self.load_fields)


def _number_fields(text: str) -> dict[str, float]:
    """Parse ``a=1,b=2`` into numbers; parts of another form, negative or not finite, are left out."""
    fields = {}
    for part in text.split(","):
        name, _, number = part.partition("=")
        with suppress(ValueError):
            value = float(number)
            if 0.0 <= value < inf:  # a negative or undefined cost would erase a customer's excess
                fields[name] = value
    return fields
