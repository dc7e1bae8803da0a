"""What clients, servers, discovery and the bench itself saw, as records; the referee reads nothing else.

Times are milliseconds since the bench's beginning, by one clock for all. Keys and tags of the stored JSON are
those of earlier versions.
"""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct

from quota_gateway.fault_bench.scenario import Scenario


class RequestOutcome(StrEnum):
    """How a request ended for its client."""

    SERVED = "ok"
    REJECTED = "busy"
    FAILED = "error"
    CONNECTION_ENDED = "cut"  # before its reply
    NO_REPLY = "none"  # until well after its deadline
    NOT_ACCEPTED = "unheard"  # nobody accepted the connection
    FOREIGN_VALUE = "foreign"  # a value that is not this request's


class Record(Struct, tag_field="what", frozen=True, omit_defaults=True, rename={"time_ms": "t"}):
    """Something that was seen at a time."""

    time_ms: float


class Header(Record, tag="rig", frozen=True):
    """The first record."""

    seed: int
    scenario: Scenario


class RequestSent(
    Record,
    tag="asked",
    frozen=True,
    rename={
        "request_id": "id",
        "operation_id": "wish",
        "class_name": "kind",
        "intended_ms": "intended",
        "deadline_ms": "deadline",
        "idempotency_key": "key",
    },
):
    """A client begins to write a request; latency counts from the intended moment.

    A client's retries of the same operation are requests of their own.
    """

    request_id: str
    operation_id: str
    gateway: str
    class_name: str
    plan: str
    customer: str
    intended_ms: float
    deadline_ms: float
    idempotency_key: str = ""
    units: float = 1.0


class RequestResent(Record, tag="resent", frozen=True, rename={"request_id": "id"}):
    """The connection ended first, and its client writes the request once more, on a new one."""

    request_id: str


class RequestEnded(Record, tag="answered", frozen=True, rename={"request_id": "id", "outcome": "how"}):
    """How a request ended."""

    request_id: str
    outcome: RequestOutcome


class UnexpectedReply(Record, tag="extra", frozen=True):
    """A reply that no request waited for, on a client's connection."""

    gateway: str


class AttemptArrived(Record, tag="arrived", frozen=True, rename={"request_id": "id", "work_ms": "work"}):
    """A server has an attempt's last byte; the work is in ms of a core of speed 1."""

    request_id: str
    number: int
    server: str
    gateway: str
    work_ms: float


class AttemptLeft(Record, tag="left", frozen=True, rename={"attempt_id": "id"}):
    """An attempt has ended at its server.

    ``attempt_id``: the request's id and the server's name, with ``@`` between; ``status``: an `api.Status`.
    """

    attempt_id: str
    number: int
    status: str


class ServerChanged(Record, tag="server", frozen=True, rename={"started_ms": "started"}):
    """A server's state, as it is from now on."""

    server: str
    zone: str
    state: str
    started_ms: float
    speed: float


class GatewayNotified(Record, tag="told", frozen=True):
    """Discovery has written a server's state to a gateway."""

    gateway: str
    server: str
    state: str


class ProcessChanged(Record, tag="process", frozen=True):
    """A gateway's process: started, ready, ended (with its exit code, below 0 for a signal)."""

    gateway: str
    pid: int
    state: str
    code: int = 0


class StepCarriedOut(
    Record, tag="act", frozen=True, rename={"action": "do", "targets": "on", "answer": "said"}
):
    """A step of the timeline is carried out, or undone."""

    number: int
    action: str
    targets: list[str]
    undone: bool = False
    answer: str = ""  # of an admin endpoint that was called


class LoopDelayed(Record, tag="late", frozen=True, rename={"delay_ms": "by"}):
    """The bench's own loop was late: a machine with too much to do."""

    delay_ms: float


AnyRecord = (
    Header
    | RequestSent
    | RequestResent
    | RequestEnded
    | UnexpectedReply
    | AttemptArrived
    | AttemptLeft
    | ServerChanged
    | GatewayNotified
    | ProcessChanged
    | StepCarriedOut
    | LoopDelayed
)
