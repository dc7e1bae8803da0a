"""Checks the platform's rules from outside, over all gateways, and accounts for the value of requests."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field

from quota_gateway import api
from quota_gateway.simulation.models import Server, TokenBucket
from quota_gateway.simulation.world import ANSWER_SLACK_MS, DRAIN_GRACE_MS, World

MAX_BREACH_MESSAGES = 20  # breaches beyond that are counted, but not described
NEVER_RAN = (api.Status.OVERLOADED, api.Status.CONNECT_FAILED, api.Status.NOT_SENT)


@dataclass(slots=True)
class ObservedRequest:
    """One request as a gateway received it, with the attempts and answers seen so far.

    ``possible_runs`` has the attempts that may have run or may still run, by number: the server and when it
    was sent.
    """

    name: str
    request_class: api.RequestClass
    received_ms: float
    deadline_ms: float
    units: float
    answers: int = 0
    lost: bool = False  # because its gateway was killed
    within_quota: bool = True
    attempts_sent: int = 0
    attempts_ended: int = 0
    possible_runs: dict[int, tuple[Server, float]] = field(default_factory=dict)


class Referee:
    """Counts breaches by rule.

    The rules by the names that results use:

    - answers: a request is answered exactly once, unless its gateway was killed.
    - deadline: the answer comes at most ``ANSWER_SLACK_MS`` after the request's deadline.
    - resends: a request that may have run is sent again only where its idempotency allows that.
    - refusals: a request that may have run is not rejected, unless it is idempotent or has a key
      that all servers know.
    - drains: a gateway sends nothing to a server later than ``DRAIN_GRACE_MS`` after it was notified that the
      server drains.
    - cold servers: the work sent to a server that warms up stays within the world's overload limit.
    - ceilings: a customer's rate ceiling is exceeded by no more than its slack.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.broken: Counter[str] = Counter()
        self.breach_messages: list[str] = []
        self.work_sent: dict[int, deque[tuple[float, float]]] = {}  # by server: when work was sent, how much

    def breach(self, rule: str, message: str) -> None:
        """Count a breach of a rule, and describe it if it is one of the first."""
        self.broken[rule] += 1
        if len(self.breach_messages) < MAX_BREACH_MESSAGES:
            self.breach_messages.append(f"{rule}: {message}")

    def sent(
        self,
        request: ObservedRequest,
        server: Server,
        work_ms: float,
        drained_ms: float | None,
        now_ms: float,
    ) -> None:
        """An attempt is sent; ``drained_ms``: when this gateway was notified that the server drains."""
        for first_server, first_sent_ms in request.possible_runs.values():
            if not self._may_repeat(request, first_server, first_sent_ms, server, now_ms):
                self.breach(
                    "resends",
                    f"{request.name} was sent again to server {server.entry.server} at {now_ms:.0f} ms,"
                    " though an earlier attempt may have run",
                )
                break
        if drained_ms is not None and now_ms > drained_ms + DRAIN_GRACE_MS:
            self.breach(
                "drains",
                f"{request.name} was sent at {now_ms:.0f} ms to server {server.entry.server},"
                f" which was known to drain since {drained_ms:.0f} ms",
            )
        self._check_overload(request, server, work_ms, now_ms)
        request.possible_runs[request.attempts_sent] = (server, now_ms)
        request.attempts_sent += 1

    def _may_repeat(
        self,
        request: ObservedRequest,
        first_server: Server,
        first_sent_ms: float,
        server: Server,
        now_ms: float,
    ) -> bool:
        if request.request_class.idempotency is api.Idempotency.IDEMPOTENT:
            return True
        if (
            request.request_class.idempotency is api.Idempotency.NOT_IDEMPOTENT
            or now_ms - first_sent_ms >= request.request_class.idempotency_window_ms
        ):
            return False
        first = first_server.entry
        second = server.entry
        return request.request_class.idempotency_scope is api.IdempotencyScope.ALL or (
            first.zone == second.zone
            and (
                request.request_class.idempotency_scope is api.IdempotencyScope.ZONE
                or first.cell == second.cell
            )
        )

    def _check_overload(
        self, request: ObservedRequest, server: Server, work_ms: float, now_ms: float
    ) -> None:
        """The work sent to a server that warms up must stay within multiple x capacity x window."""
        machines = self.world.machines
        if server.capacity() >= 1.0:
            return
        recent = self.work_sent.setdefault(server.entry.server, deque())
        recent.append((now_ms, work_ms))
        while recent[0][0] < max(now_ms - machines.overload_window_ms, server.started_ms):
            recent.popleft()
        capacity_ms = machines.cores * server.speed * server.capacity() * machines.overload_window_ms
        if sum(amount for _, amount in recent) > machines.overload_multiple * capacity_ms:
            self.breach(
                "cold servers",
                f"{request.name} overloaded server {server.entry.server}, which warms up, at {now_ms:.0f} ms",
            )

    def ended(self, request: ObservedRequest, attempt: int, status: api.Status) -> None:
        """An attempt has ended; forget it if it certainly never ran."""
        if status in NEVER_RAN:
            request.possible_runs.pop(attempt, None)

    def answered(self, request: ObservedRequest, is_rejection: bool, now_ms: float) -> None:
        """A gateway has given a final answer."""
        request.answers += 1
        if request.answers > 1:
            self.breach("answers", f"{request.name} was answered {request.answers} times")
        if now_ms > request.deadline_ms + ANSWER_SLACK_MS:
            self.breach(
                "deadline",
                f"{request.name} was answered {now_ms - request.deadline_ms:.0f} ms after its deadline",
            )
        has_global_key = (
            request.request_class.idempotency is api.Idempotency.WITH_KEY
            and request.request_class.idempotency_scope is api.IdempotencyScope.ALL
        )
        if (
            is_rejection
            and request.possible_runs
            and request.request_class.idempotency is not api.Idempotency.IDEMPOTENT
            and not has_global_key
        ):
            self.breach("refusals", f"{request.name} was rejected, though it may have run")

    def ceiling_charged(
        self, request: ObservedRequest, bucket: TokenBucket, slack: float, now_ms: float
    ) -> None:
        """Take a request's units from a ceiling, below 0 if it does not hold them."""
        bucket.refill(now_ms)
        bucket.level -= request.units
        if bucket.level < -slack - 1e-9:
            self.breach(
                "ceilings",
                f"{request.name} brought its customer's ceiling to {bucket.level:.1f} units,"
                f" with a slack of {slack:.1f}",
            )

    def check_answered(self, request: ObservedRequest) -> None:
        """At the end: a request without an answer is a breach, unless its gateway was killed."""
        if not request.answers and not request.lost:
            self.breach("answers", f"{request.name} was never answered")


class ValueAccount:
    """Accounts for the value of each operation once, by its outcome, in thousandths.

    The values by outcome add up to what was offered.
    """

    def __init__(self) -> None:
        self.offered = 0
        self.by_outcome: Counter[str] = Counter()
        self._open: dict[str, int] = {}

    def offer(self, operation_id: str, value: float) -> None:
        """A client begins an operation; its retries belong to the same operation."""
        amount = round(1000.0 * value)
        self.offered += amount
        self._open[operation_id] = amount

    def book(self, operation_id: str, outcome: str) -> None:
        """Book an operation's value, unless it has been booked already or was never offered."""
        amount = self._open.pop(operation_id, None)
        if amount is not None:
            self.by_outcome[outcome] += amount

    def close(self) -> None:
        """At the end of the run: book the operations that are still open as given up."""
        for operation_id in list(self._open):
            self.book(operation_id, "given up: no answer in the day")
