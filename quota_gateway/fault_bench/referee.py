"""Judges a history: finds each breach of the gateways' rules from what was observed outside the gateways.

The rules are those of the simulation's referee; nothing here depends on how the gateway works. A breach that
an injected fault explains is not counted against the gateway: ``fault_windows`` has what each fault excuses.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from math import inf
from typing import Any, NamedTuple

from msgspec import Struct

from quota_gateway import api
from quota_gateway.fault_bench import records
from quota_gateway.fault_bench.fault_windows import AFTERMATH_MS, Excuse, FaultWindows
from quota_gateway.fault_bench.records import RequestOutcome
from quota_gateway.simulation.models import Server, TokenBucket
from quota_gateway.simulation.referee import ObservedRequest, Referee
from quota_gateway.simulation.world import ANSWER_SLACK_MS, World

SOCKET_ALLOWANCE_MS = 50.0  # added to each of the simulation's time limits, as sockets take time
# After this time a gateway counts as notified of a server's state, even if no notification has arrived.
NOTIFICATION_LIMIT_MS = 6000.0
MAX_RECENT_DELAYS = 50  # delays of the bench's event loop that are considered
RECENT_DELAY_WINDOW_MS = 2000.0
NOT_ENDED = "open"  # outcome in a verdict of requests whose end is not in the history


class Verdict(
    Struct,
    frozen=True,
    rename={
        "requests_total": "asked",
        "beyond_quota_units": "beyond",
        "breaches": "told",
        "max_loop_delay_ms": "late_ms",
    },
):
    """The result of judging a run. The counts in ``outcomes`` add up to ``requests_total``."""

    requests_total: int
    outcomes: dict[str, int]
    excused: dict[str, int]  # requests that a fault excuses, by kind
    attempts: int  # that arrived at servers
    beyond_quota_units: float  # forwarded although the customer's quota was used up
    broken: dict[str, int]  # breaches by rule
    breaches: list[str]  # descriptions of the first ones
    max_loop_delay_ms: float  # of the bench's own event loop

    @property
    def all_rules_kept(self) -> bool:
        """Whether no rule was broken."""
        return not self.broken


class HistoryClock:
    """A clock that stands at the time of the latest record processed."""

    def __init__(self) -> None:
        self.now = 0.0

    def after(self, delay: float, *_: object) -> None:
        """Ignored: no timers run while a history is judged."""


class JudgedRequest:
    """A request, as its client and the servers saw it."""

    def __init__(self, sent: records.RequestSent, request_class: api.RequestClass) -> None:
        self.sent = sent
        name = f"{sent.request_id} at {sent.gateway}"
        self.observed = ObservedRequest(name, request_class, sent.time_ms, sent.deadline_ms, sent.units)
        # By server and the attempt's number there: the attempt's number at the simulation's referee.
        self.attempt_numbers: dict[tuple[str, int], int] = {}
        self.arrived_attempts = 0
        self.outcome: RequestOutcome | None = None


class ResentRequest(NamedTuple):
    """A request whose connection ended after an attempt of it had arrived at a server."""

    request: JudgedRequest
    resent_ms: float


class HistoryReferee:
    """Judges records one after the other, in the order of their times; ``verdict`` ends the judgement."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.referee = Referee(world)
        self.clock = HistoryClock()
        settings = world.settings(0)
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self.plans = {plan.name: plan for plan in world.plans}
        self.requests: dict[str, JudgedRequest] = {}
        self.servers: dict[str, Server] = {}
        self.drained_ms: dict[tuple[str, str], float] = {}  # by gateway and server: when it was notified
        self.quotas: dict[str, TokenBucket] = {}
        self.ceilings: dict[str, TokenBucket] = {}
        self.faults = FaultWindows()
        self.process_ends: dict[str, list[float]] = {}  # by gateway
        self.resent_after_arrival: list[ResentRequest] = []
        self.loop_delays: list[records.LoopDelayed] = []
        self.excused: Counter[str] = Counter()
        self.attempts = 0
        self.beyond_quota_units = 0.0
        self.handlers: dict[type, Callable[[Any], None]] = {
            records.RequestSent: self._on_request_sent,
            records.RequestEnded: self._on_request_ended,
            records.AttemptArrived: self._on_attempt_arrived,
            records.AttemptLeft: self._on_attempt_left,
            records.UnexpectedReply: self._on_unexpected_reply,
            records.LoopDelayed: self.loop_delays.append,
            records.StepCarriedOut: self.faults.record,
            records.ProcessChanged: self._on_process_changed,
            records.ServerChanged: self._on_server_changed,
            records.GatewayNotified: self._on_gateway_notified,
            records.RequestResent: self._on_request_resent,
        }

    def process(self, record: records.AnyRecord) -> None:
        """Judge the next record."""
        self.clock.now = max(self.clock.now, record.time_ms)
        self.handlers[type(record)](record)

    # ---- Processes, servers, discovery

    def _on_process_changed(self, record: records.ProcessChanged) -> None:
        """A process that ends with an error has crashed, unless a fault made it end.

        A process that was stopped looks hung, so it may be killed by a signal as well.
        """
        if record.state != "ended":
            return
        self.process_ends.setdefault(record.gateway, []).append(record.time_ms)
        actions = self.faults.actions_so_far(record.gateway)
        is_caused_by_fault = "memory" in actions or (record.code < 0 and actions & {"kill", "stop"})
        if record.code and not is_caused_by_fault:
            self.referee.breach("crash", f"a process of {record.gateway} ended with exit code {record.code}")

    def _on_server_changed(self, record: records.ServerChanged) -> None:
        number = int(record.server.rpartition("-")[2])
        entry = api.ServerEntry(number, record.zone, state=api.ServerState(record.state))
        server = Server(self.clock, self.world.machines, entry, record.speed)
        server.started_ms = record.started_ms
        self.servers[record.server] = server
        if entry.state is api.ServerState.READY:
            for pair in [pair for pair in self.drained_ms if pair[1] == record.server]:
                del self.drained_ms[pair]
        else:
            for gateway in range(self.world.gateways):
                pair = (f"g{gateway}", record.server)
                self.drained_ms.setdefault(pair, record.time_ms + NOTIFICATION_LIMIT_MS)

    def _on_gateway_notified(self, record: records.GatewayNotified) -> None:
        pair = (record.gateway, record.server)
        if record.state != "ready" and pair in self.drained_ms:
            self.drained_ms[pair] = min(self.drained_ms[pair], record.time_ms)

    # ---- Requests

    def _on_request_sent(self, record: records.RequestSent) -> None:
        self.requests[record.request_id] = JudgedRequest(record, self.classes[record.class_name])

    def _on_unexpected_reply(self, record: records.UnexpectedReply) -> None:
        self.referee.breach("answers", f"{record.gateway}: a reply that no request waited for")

    def _on_request_resent(self, record: records.RequestResent) -> None:
        """Note a request with earlier attempts, to be judged at the end of the history.

        Only a process that has died may leave a forwarded request without a reply. The process that gets the
        resent request can't know of the attempts of the one that died, so they don't count against it.
        """
        request = self.requests[record.request_id]
        if request.arrived_attempts:
            self.resent_after_arrival.append(ResentRequest(request, record.time_ms))
        request.observed.possible_runs.clear()

    def _on_attempt_arrived(self, record: records.AttemptArrived) -> None:
        self.attempts += 1
        request = self.requests.get(record.request_id)
        if request is None:
            self.referee.breach(
                "attempts", f"{record.request_id} at {record.server}: no client has sent this request"
            )
            return
        if request.arrived_attempts == 0:
            self._charge(request)
        request.arrived_attempts += 1
        request.attempt_numbers[record.server, record.number] = request.observed.attempts_sent
        drained_ms = self.drained_ms.get((record.gateway, record.server), inf)
        self.referee.sent(
            request.observed,
            self.servers[record.server],
            record.work_ms,
            None
            if drained_ms == inf
            else drained_ms + SOCKET_ALLOWANCE_MS + self._recent_delay_ms(record.time_ms),
            record.time_ms,
        )

    def _on_attempt_left(self, record: records.AttemptLeft) -> None:
        request_id, _, server = record.attempt_id.partition("@")
        request = self.requests.get(request_id)
        number = request.attempt_numbers.get((server, record.number)) if request else None
        if request and number is not None:
            self.referee.ended(request.observed, number, api.Status(record.status))

    def _charge(self, request: JudgedRequest) -> None:
        """Draw a request's units from its customer's quota and ceiling."""
        sent = request.sent
        plan = self.plans[sent.plan]
        quota = self.quotas.setdefault(sent.customer, TokenBucket(plan.rate, plan.burst))
        if not quota.take(sent.units, self.clock.now):
            self.beyond_quota_units += sent.units
        if plan.ceiling_rate:
            ceiling = self.ceilings.setdefault(
                sent.customer, TokenBucket(plan.ceiling_rate, plan.ceiling_burst)
            )
            slack = plan.ceiling_slack + plan.ceiling_rate * 3.0 * SOCKET_ALLOWANCE_MS / 1000.0
            self.referee.ceiling_charged(request.observed, ceiling, slack, self.clock.now)

    def _on_request_ended(self, record: records.RequestEnded) -> None:
        request = self.requests[record.request_id]
        request.outcome = record.outcome
        match record.outcome:
            case RequestOutcome.CONNECTION_ENDED | RequestOutcome.NO_REPLY:
                self._judge_lost(request, record)
            case RequestOutcome.NOT_ACCEPTED:
                self._count_not_accepted(request, record)
            case _:
                self._judge_answer(request, record)

    def _judge_answer(self, request: JudgedRequest, record: records.RequestEnded) -> None:
        observed = request.observed
        if record.outcome is RequestOutcome.FOREIGN_VALUE:
            self.referee.breach("answers", f"{observed.name}: the reply has the value of another request")
        limit_ms = observed.deadline_ms + SOCKET_ALLOWANCE_MS + self._recent_delay_ms(record.time_ms)
        if record.time_ms > limit_ms + ANSWER_SLACK_MS and self._is_excused(
            request, record.time_ms, Excuse.LATE
        ):
            self.excused[Excuse.LATE.value] += 1
            limit_ms = record.time_ms
        observed.deadline_ms = max(observed.deadline_ms, limit_ms)
        self.referee.answered(observed, record.outcome is RequestOutcome.REJECTED, record.time_ms)

    def _judge_lost(self, request: JudgedRequest, record: records.RequestEnded) -> None:
        """A request without a reply.

        It is a breach if the client gave it up, or if its connection ended after an attempt had arrived.
        """
        request.observed.lost = True
        if self._is_excused(request, record.time_ms, Excuse.LOST):
            self.excused[Excuse.LOST.value] += 1
        elif record.outcome is RequestOutcome.NO_REPLY or request.arrived_attempts:
            self.referee.breach("lost", f"{request.observed.name}: no reply, outcome `{record.outcome}`")

    def _count_not_accepted(self, request: JudgedRequest, record: records.RequestEnded) -> None:
        """The connection was not accepted, so no rule is broken: the client may retry."""
        request.observed.lost = True
        if self._is_excused(request, record.time_ms, Excuse.LOST):
            self.excused[RequestOutcome.NOT_ACCEPTED.value] += 1

    def _is_excused(self, request: JudgedRequest, ended_ms: float, excuse: Excuse) -> bool:
        return self.faults.is_excused(request.sent.gateway, request.sent.time_ms, ended_ms, excuse)

    def _recent_delay_ms(self, now_ms: float) -> float:
        """The largest recent delay of the bench's event loop.

        Gateways are allowed the same delay: a gateway on this machine could not be quicker.
        """
        return max(
            (
                delay.delay_ms
                for delay in self.loop_delays[-MAX_RECENT_DELAYS:]
                if delay.time_ms >= now_ms - RECENT_DELAY_WINDOW_MS
            ),
            default=0.0,
        )

    # ---- The end

    def verdict(self) -> Verdict:
        """End the judgement, after the last record."""
        for request in self.requests.values():
            self.referee.check_answered(request.observed)
        for resent in self.resent_after_arrival:
            self._judge_resent(resent)
        outcomes = Counter(str(request.outcome or NOT_ENDED) for request in self.requests.values())
        return Verdict(
            requests_total=len(self.requests),
            outcomes=dict(outcomes),
            excused=dict(self.excused),
            attempts=self.attempts,
            beyond_quota_units=self.beyond_quota_units,
            broken=dict(self.referee.broken),
            breaches=self.referee.breach_messages,
            max_loop_delay_ms=max((delay.delay_ms for delay in self.loop_delays), default=0.0),
        )

    def _judge_resent(self, resent: ResentRequest) -> None:
        """A forwarded request's connection ended without a reply.

        Only the end of its gateway's process, or another fault that excuses lost requests, allows that.
        """
        request = resent.request
        ends_ms = self.process_ends.get(request.sent.gateway, ())
        has_died = any(
            request.sent.time_ms <= end_ms <= resent.resent_ms + AFTERMATH_MS for end_ms in ends_ms
        )
        if not has_died and not self._is_excused(request, resent.resent_ms, Excuse.LOST):
            self.referee.breach(
                "lost", f"{request.observed.name}: forwarded, then its connection was closed without a reply"
            )


def judge(history: Iterable[records.AnyRecord]) -> Verdict:
    """Judge a history. Raises ValueError where it does not begin with a header."""
    referee: HistoryReferee | None = None
    for record in history:
        if isinstance(record, records.Header):
            referee = HistoryReferee(record.scenario.world)
        elif referee is None:
            raise ValueError("history has no header: its first record is another one")
        else:
            referee.process(record)
    if referee is None:
        raise ValueError("history has no header: it is empty")
    return referee.verdict()
