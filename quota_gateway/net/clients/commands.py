"""Commands of clients: from the words of a RESP array to a request. No sockets here."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from quota_gateway import api
from quota_gateway.errors import ProtocolError

GET = b"CALL.GET"
POST = b"CALL.POST"
WORDS = {GET: 4, POST: 5}  # of each command: its name, customer, request id, fields, and a body

# The decisions answer some ticks before what remains: FINAL_ANSWER_TICKS in policy/responses.py.
CLIENT_MARGIN_MS = 10.0  # kept of a client's timeout: the network both ways, and a loop that is late
MAX_CUSTOMER_NUMBER = (1 << 33) - 1
CUSTOMER_DIGITS = 16
MAX_REQUEST_ID_BYTES = 64
MAX_TIMEOUT_MS = 1e9
MIN_TIMEOUT_MS = 0.001
MAX_FIELD_VALUE = 1e6
MIN_UNITS = 1e-6

# Names of the fields, as the protocol has them.
CLASS_FIELD = b"c"
PLAN_FIELD = b"t"
KEY_FIELD = b"k"
TIMEOUT_FIELD = b"d"
UNITS_FIELD = b"units"
SPAN_FIELD = b"spread"
FIRST_FIELD = b"first"
RETRY_FIELD = b"r"


class CommandError(ProtocolError):
    """A command that is answered with an error line; the connection stays open."""


class CallCommand(NamedTuple):
    """A request as its client sent it.

    ``encode`` yields the command for a server, with the milliseconds that are left to it.
    """

    request: api.Request
    encode: Callable[[float], bytes]
    latency_objective_ms: float


class CommandParser:
    """Reads CALL.GET and CALL.POST by the settings in force."""

    def __init__(self, settings: api.Settings) -> None:
        self.gateways = settings.gateways
        self.classes = {item.name.encode(): item for item in settings.classes}
        self.plans = {item.name.encode(): item.name for item in settings.plans}

    def parse(self, command: list[bytes], waited_ms: float = 0.0) -> CallCommand:
        """The request in a command that has waited here for so long. Raises ProtocolError or ValueError."""
        name = command[0].upper()
        if len(command) != WORDS[name]:
            raise CommandError(f"wrong number of arguments for {name.decode()}")
        _, customer, request_id, listed = command[:4]
        fields = _fields(listed)
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
            requested_gateways=int(_number(fields, SPAN_FIELD, str(self.gateways), 1, MAX_FIELD_VALUE)),
            first_gateway=int(_number(fields, FIRST_FIELD, "0", 0, MAX_FIELD_VALUE)),
            is_retry=fields.get(RETRY_FIELD) == b"1",
            is_write=name == POST,
        )
        return CallCommand(request, _encoder(name, command, listed), request_class.latency_objective_ms)

    def _check_idempotency(
        self, name: bytes, request_class: api.RequestClass, fields: dict[bytes, bytes]
    ) -> None:
        """CALL.GET is for idempotent classes only, CALL.POST for the others; a key is sent where needed."""
        is_idempotent = request_class.idempotency is api.Idempotency.IDEMPOTENT
        if (name == POST) == is_idempotent:
            raise CommandError("the class does not go with the command")
        if request_class.idempotency is api.Idempotency.WITH_KEY and not fields.get(KEY_FIELD):
            raise CommandError("a keyed class without a key")


def _fields(listed: bytes) -> dict[bytes, bytes]:
    fields = {}
    for part in listed.split(b","):
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


def _encoder(name: bytes, command: list[bytes], listed: bytes) -> Callable[[float], bytes]:
    """The command for a server: unchanged but for the timeout field, which says what is left."""
    parts = listed.split(b",")
    timeout_at = next(number for number, part in enumerate(parts) if part.startswith(TIMEOUT_FIELD + b"="))

    def encode(timeout_ms: float) -> bytes:
        parts[timeout_at] = TIMEOUT_FIELD + b"=%d" % max(1, int(timeout_ms))
        words = [name, command[1], command[2], b",".join(parts), *command[4:]]
        return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)

    return encode
