"""The records of a history: what clients, servers, discovery and the fault bench itself observed.

The referee judges a run by these records alone. Times are milliseconds since the bench started, all by the
same clock. The keys and tags of the stored JSON stay those of earlier versions, so that old histories can
still be read.
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
    CONNECTION_ENDED = "cut"  # its connection ended before the reply
    NO_REPLY = "none"  # its client gave it up, well after its deadline
    NOT_ACCEPTED = "unheard"  # the connection to the gateway was not accepted
    FOREIGN_VALUE = "foreign"  # the reply carries a value that is not this request's


class Record(Struct, tag_field="what", frozen=True, omit_defaults=True, rename={"time_ms": "t"}):
    """An observation and when it was made."""

    time_ms: float


class Header(Record, tag="rig", frozen=True):
    """The first record of a history: what was run."""

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
    """A client begins to write a request; its latency counts from ``intended_ms``.

    Each retry of an operation is a request of its own, with the same ``operation_id``.
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
    """A request's connection ended before the reply; its client sends it once more on a new connection."""

    request_id: str


class RequestEnded(Record, tag="answered", frozen=True, rename={"request_id": "id", "outcome": "how"}):
    """A request has ended for its client, with or without a reply."""

    request_id: str
    outcome: RequestOutcome


class UnexpectedReply(Record, tag="extra", frozen=True):
    """A client's connection received a reply that no request waited for."""

    gateway: str


class AttemptArrived(Record, tag="arrived", frozen=True, rename={"request_id": "id", "work_ms": "work"}):
    """A server has received an attempt completely.

    ``number`` counts the request's attempts at this server, from 1. ``work_ms`` is the attempt's time on a
    core of speed 1.
    """

    request_id: str
    number: int
    server: str
    gateway: str
    work_ms: float


class AttemptLeft(Record, tag="left", frozen=True, rename={"attempt_id": "id"}):
    """An attempt has ended at its server.

    ``attempt_id``: the request's id and the server's name, with ``@`` between; ``number``: that of its
    arrival; ``status``: an `api.Status`.
    """

    attempt_id: str
    number: int
    status: str


class ServerChanged(Record, tag="server", frozen=True, rename={"started_ms": "started"}):
    """A server's state from now on."""

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
    """A gateway's process has started, is ready, or has ended.

    ``code``: the exit code of a process that has ended; negative: the signal that ended it.
    """

    gateway: str
    pid: int
    state: str
    code: int = 0


class StepCarriedOut(
    Record, tag="act", frozen=True, rename={"action": "do", "targets": "on", "answer": "said"}
):
    """A step of the scenario's timeline is carried out, or undone."""

    number: int
    action: str
    targets: list[str]
    undone: bool = False
    answer: str = ""  # of the admin endpoint that the step called, or how a rollout ended


class LoopDelayed(Record, tag="late", frozen=True, rename={"delay_ms": "by"}):
    """The bench's own event loop was late, because the machine is overloaded."""

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
