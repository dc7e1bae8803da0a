"""The rows that decisions share: a customer, a server, a request in hand.

One row holds the columns of several decisions, as a hundred thousand customers would otherwise be several
hundred thousand objects; the comments say which decision writes a column. All others only read it.
"""

from __future__ import annotations

from math import inf

from quota_gateway.api import Plan, Request, RequestClass, ServerEntry, ServerState

Moment = tuple[float, int]  # the time in milliseconds, and how many attempts had been sent from here
Mark = tuple[float, float, Moment]  # failures and all outcomes, both faded, and when they were noted
Key = tuple[str, str]  # a customer's plan and name
NEVER: Moment = (-inf, 0)


def keys(kind: str, plan: str) -> tuple[str, str, str]:
    """Under which a server's health is noted: as a whole, for a class, for a class of a plan."""
    return ("", f"class {kind}", f"class {kind} of plan {plan}")


class Customer:
    """What this gateway knows of one customer."""

    __slots__ = (
        "excess",
        "touched",
        "largest",
        "width",
        "used",
        "used_at",
        "out",
        "ceiling",
        "ceiling_at",
        "asked",
        "asked_at",
        "key",
        "held",
        "elsewhere",
        "span",
        "epoch",
        "strict",
        "strict_epoch",
        "older",
    )

    def __init__(self, key: Key, now: float, ceiling: float, epoch: int) -> None:
        self.key = key
        # customers: gateways that the requests named, and how many of them there are; the last change it is
        # up to; its largest request
        self.span = 1
        self.width = 1
        self.epoch = epoch
        self.largest = 0.0
        # meter: thousandths of a unit; the late reading, as a share of the rate; an excess that counts what
        # was refused as well
        self.excess = 0.0
        self.touched = now
        self.used = 0.0
        self.used_at = -inf
        self.asked = 0.0
        self.asked_at = now
        # ceilings: units in this gateway's share of the store
        self.ceiling = ceiling
        self.ceiling_at = now
        # change: bounds while requests are in hand that were taken before a change, which one, how many
        self.strict: Plan | None = None
        self.strict_epoch = self.older = 0
        self.out = 0  # attempts: out from here
        self.held = 0  # requests in hand: while there are any, the row is not forgotten
        self.elsewhere = 0  # handover: in hand in the process before this one: places under the cap


class Server:
    """What this gateway knows of one server."""

    __slots__ = (
        "id",
        "zone",
        "cell",
        "ready",
        "started",
        "out",
        "ratio",
        "ratio_at",
        "queue",
        "queue_at",
        "marks",
        "phase",
        "listed",
        "back",
        "owed_at",
        "linked",
    )

    def __init__(self, entry: ServerEntry, phase: float) -> None:
        self.id = entry.server
        self.phase = phase  # cold: its turns
        self.linked = False  # choice: a connection stands idle
        # by hand: when it was put back, and when it must be used for that
        self.back = 0.0
        self.owed_at = inf
        self.out: set[tuple[str, int]] = set()  # attempts: out from here
        self.reset()
        self.update(entry)

    def reset(self) -> None:
        """Forget what a process that is gone has shown (latency, choice, health)."""
        self.ratio = 1.0
        self.ratio_at = NEVER
        self.queue = 0.0
        self.queue_at = NEVER
        self.marks: dict[str, Mark] = {}

    def update(self, entry: ServerEntry) -> None:
        """Take over what discovery says."""
        self.zone = entry.zone
        self.cell = entry.cell
        self.started = max(entry.started_ms, self.back)
        self.ready = self.listed = entry.state is ServerState.READY


class Flight:
    """A request in hand: held, parked or out, or answered with attempts still out."""

    __slots__ = (
        "request",
        "kind",
        "plan",
        "customer",
        "arrived",
        "deadline",
        "sends",
        "out",
        "tried",
        "closed",
        "maybe_ran",
        "streaming",
        "waiting",
        "turn",
        "keys",
        "epoch",
    )

    def __init__(
        self,
        request: Request,
        kind: RequestClass,
        plan: Plan,
        customer: Customer,
        now: float,
        turn: float,
        epoch: int,
    ) -> None:
        self.request = request
        self.kind = kind
        self.plan = plan
        self.customer = customer
        self.arrived = now
        self.deadline = now + request.client_timeout_ms
        self.epoch = epoch
        self.keys = keys(kind.name, plan.name)
        # the turn says which cold servers it may go to, once for all
        self.sends = 0
        self.turn = turn
        self.out: dict[int, tuple[Server, float]] = {}
        self.tried: set[int] = set()
        self.closed = self.streaming = False
        self.waiting = False  # for the end of a hold, or for the ceiling; a timer releases it
        self.maybe_ran: tuple[Server, float] | None = None  # the first attempt that may have run
