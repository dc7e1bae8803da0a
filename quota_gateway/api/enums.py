"""Enums of events, actions and settings, and the base classes of messages about one request or server.

The enums' values are written in configurations and recordings: members may be renamed, values may not.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether a request may be repeated: always, where servers know its idempotency key, or never."""

    IDEMPOTENT = "safe"
    WITH_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class IdempotencyScope(Enum):
    """Which servers recognise the repeat of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class DiscoveryMode(Enum):
    """How endpoint lists come: pushed by discovery, or only after ``Subscribe`` or ``FetchList``."""

    PUSH = "push"
    POLL = "ask"


class ServerState(Enum):
    """State of a server's process according to the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class ListKind(Enum):
    """What an endpoint list holds: changes, all servers, all as last known, or nothing if the call failed."""

    CHANGES = "changes"
    COMPLETE = "full"
    CACHED = "cached"
    FAILED = "failed"


class Status(Enum):
    """How an attempt, a health check or a counter call ended."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"

    @property
    def is_certainly_not_run(self) -> bool:
        """Whether it is certain that the server executed nothing."""
        return self in (Status.OVERLOADED, Status.CONNECT_FAILED, Status.NOT_SENT)


@dataclass(frozen=True, slots=True)
class RequestMessage:
    """Base of messages about one pending request, by the id that its client gave it."""

    request_id: str


@dataclass(frozen=True, slots=True)
class AttemptMessage(RequestMessage):
    """Base of messages about one attempt of a request; attempts count from 0."""

    attempt: int


@dataclass(frozen=True, slots=True)
class ServerMessage:
    """Base of messages about one server, by its number in the endpoint lists."""

    server: int
