"""Converts a client's command, an array of words, into a request. Does no I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from quota_gateway import api
from quota_gateway.errors import ProtocolError

GET = b"CALL.GET"
POST = b"CALL.POST"
WORD_COUNTS = {GET: 4, POST: 5}  # name, customer, request id, fields and, for CALL.POST, the body

# Subtracted from a client's timeout to allow for the network in both directions and a late event loop. The
# final answer is due another FINAL_ANSWER_TICKS (policy/responses.py) before the time that remains.
CLIENT_MARGIN_MS = 10.0
MAX_CUSTOMER_NUMBER = (1 << 33) - 1
CUSTOMER_DIGITS = 16
MAX_REQUEST_ID_BYTES = 64
MAX_TIMEOUT_MS = 1e9
MIN_TIMEOUT_MS = 0.001
MAX_FIELD_VALUE = 1e6
MAX_FIELDS = 64  # of a command; the protocol has eight names
MIN_UNITS = 1e-6

# Field names of the protocol.
CLASS_FIELD = b"c"  # name of the request's class
PLAN_FIELD = b"t"  # name of the customer's plan
KEY_FIELD = b"k"  # idempotency key
TIMEOUT_FIELD = b"d"  # how long the client waits, in milliseconds
UNITS_FIELD = b"units"
GATEWAYS_FIELD = b"spread"  # through how many gateways the customer's requests may come
FIRST_GATEWAY_FIELD = b"first"  # the first of these gateways
RETRY_FIELD = b"r"  # 1 if the client retries a request


class CommandError(ProtocolError):
    """A command that is answered with an error; the connection stays open."""


class CallCommand(NamedTuple):
    """A request as its client sent it.

    ``encode`` takes the time that is left, in milliseconds, and returns the command to send to a server.
    """

    request: api.Request
    encode: Callable[[float], bytes]
    latency_objective_ms: float


class CommandParser:
    """Parses CALL.GET and CALL.POST according to the current settings."""

    def __init__(self, settings: api.Settings) -> None:
        self.gateways = settings.gateways
        self.classes = {item.name.encode(): item for item in settings.classes}
        self.plans = {item.name.encode(): item.name for item in settings.plans}

    def parse(self, command: list[bytes], waited_ms: float = 0.0) -> CallCommand:
        """The request of a command that has waited in the gateway for ``waited_ms``.

        Raises CommandError for a malformed command, or ValueError for a value that ``api.Request`` rejects.
        """
        name = command[0].upper()
        if len(command) != WORD_COUNTS[name]:
            raise CommandError(f"wrong number of arguments for {name.decode()}")
        _, customer, request_id, field_list = command[:4]
        fields = _fields(field_list)
        request_class = self.classes.get(fields.get(CLASS_FIELD, b""))
        plan = self.plans.get(fields.get(PLAN_FIELD, b""))
        if request_class is None or plan is None:
            raise CommandError("unknown class or plan")
        self._check_idempotency(name, request_class, fields)
        timeout_ms = _number(fields, TIMEOUT_FIELD, "", MIN_TIMEOUT_MS, MAX_TIMEOUT_MS)
        request = api.Request(
            request_id=_request_id(request_id),
            class_name=request_class.name,
            plan=plan,
            customer=_customer(customer),
            client_timeout_ms=max(0.0, timeout_ms - CLIENT_MARGIN_MS - waited_ms),
            units=_number(fields, UNITS_FIELD, "1", MIN_UNITS, MAX_FIELD_VALUE),
            requested_gateways=int(_number(fields, GATEWAYS_FIELD, str(self.gateways), 1, MAX_FIELD_VALUE)),
            first_gateway=int(_number(fields, FIRST_GATEWAY_FIELD, "0", 0, MAX_FIELD_VALUE)),
            is_retry=fields.get(RETRY_FIELD) == b"1",
            is_write=name == POST,
        )
        return CallCommand(request, _encoder(name, command, field_list), request_class.latency_objective_ms)

    def _check_idempotency(
        self, name: bytes, request_class: api.RequestClass, fields: dict[bytes, bytes]
    ) -> None:
        """CALL.GET requires an idempotent class, CALL.POST any other; a keyed class requires a key."""
        is_idempotent = request_class.idempotency is api.Idempotency.IDEMPOTENT
        if (name == POST) == is_idempotent:
            raise CommandError("the class does not go with the command")
        if request_class.idempotency is api.Idempotency.WITH_KEY and not fields.get(KEY_FIELD):
            raise CommandError("a keyed class without a key")


def _fields(field_list: bytes) -> dict[bytes, bytes]:
    if field_list.count(b",") >= MAX_FIELDS:
        raise CommandError("too many names and values")
    fields = {}
    for part in field_list.split(b","):
        name, equals, value = part.partition(b"=")
        if not equals or not name or name in fields:
            raise CommandError("bad list of names and values")
        fields[name] = value
    return fields


def _number(fields: dict[bytes, bytes], name: bytes, default: str, low: float, high: float) -> float:
    text = fields.get(name)
    try:
        value = float(text if text is not None else default)
    except ValueError:
        raise CommandError(f"bad value of {name.decode()}") from None
    if not low <= value <= high:
        raise CommandError(f"bad value of {name.decode()}")
    return value


def _request_id(text: bytes) -> str:
    if not 0 < len(text) <= MAX_REQUEST_ID_BYTES or not text.isalnum():
        raise CommandError("bad request id")
    return text.decode("ascii")


def _customer(text: bytes) -> str:
    if len(text) != CUSTOMER_DIGITS:
        raise CommandError("bad customer")
    try:
        number = int(text, 16)
    except ValueError:
        raise CommandError("bad customer") from None
    if not 0 <= number <= MAX_CUSTOMER_NUMBER:
        raise CommandError("bad customer")
    return text.decode("ascii")


def _encoder(name: bytes, command: list[bytes], field_list: bytes) -> Callable[[float], bytes]:
    """Return a function that builds the command for a server: the client's, with the time left as timeout."""
    parts = field_list.split(b",")
    timeout_index = next(number for number, part in enumerate(parts) if part.startswith(TIMEOUT_FIELD + b"="))

    def encode(timeout_ms: float) -> bytes:
        parts[timeout_index] = TIMEOUT_FIELD + b"=%d" % max(1, int(timeout_ms))
        words = [name, command[1], command[2], b",".join(parts), *command[4:]]
        return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)

    return encode
