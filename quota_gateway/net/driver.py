"""Between the sockets and the decisions: events in, actions out, timers, one outcome for each send."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from math import inf
from typing import Any

from quota_gateway import api
from quota_gateway.net.client_request import ClientRequest
from quota_gateway.net.close_reason import CloseReason
from quota_gateway.net.metrics import GatewayMetrics
from quota_gateway.net.servers import Attempt, Reply, ServerPool, Sink, Source
from quota_gateway.net.timer_queue import TimerQueue
from quota_gateway.policy.gateway import Gateway

log = logging.getLogger(__name__)

# Of the time for a repeat to arrive at a server; a client's has CLIENT_MARGIN_MS in net/clients/commands.py.
DELIVERY_MARGIN_MS = 10.0  # for the last byte's way to the server, and a loop that is late


class Driver:
    """Drives one ``Gateway``: hands it events one after the other and carries out what it decides.

    The owners of the client connections and of the hot restart set ``on_admit`` and ``on_peer_usage``.
    """

    def __init__(self, gateway: Gateway, servers: ServerPool, clock: Callable[[], float]) -> None:
        self.gateway = gateway
        self.servers = servers
        self.clock = clock
        self.requests: dict[str, ClientRequest] = {}  # by id
        self.metrics = GatewayMetrics()
        self.timers = TimerQueue(lambda: self.clock())
        self.on_peer_usage: Callable[[api.PeerUsage], None] = lambda _: None
        self.on_set_serving: Callable[[api.SetServing], None] = lambda _: None
        self._events: deque[api.Event] = deque()
        self._is_handling = False
        self._effects = self._effects_by_action()
        servers.on_idle_changed = self.post

    def _effects_by_action(self) -> dict[type, Callable[[Any], None]]:
        """The one table of what each kind of action does."""
        return {
            api.Send: self._send,
            api.Reject: self._reject,
            api.Fail: self._fail,
            api.Cancel: self._cancel,
            api.SetTimer: self._set_timer,
            api.Log: lambda action: log.info("%s", action.text),
            api.CloseIdle: lambda action: self.servers.close_idle(action.server),
            api.SetServerUsable: lambda action: self.servers.set_admin_down(action.server, not action.usable),
            api.Subscribe: lambda _: None,  # the watch on discovery is kept in any case
            api.SetServing: lambda action: self.on_set_serving(action),
            api.PeerUsage: lambda action: self.on_peer_usage(action),
        }

    # ---- Events in

    def post(self, event: api.Event) -> None:
        """Queue an event and handle all that are queued.

        Guards against re-entrance: an event that an action causes at once, such as a rejected connection,
        waits until the actions before it are carried out.
        """
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_handling = False

    def _handle(self, event: api.Event) -> None:
        try:
            for action in self.gateway.handle(self.clock(), event):
                self._perform(action)
        except Exception:  # a request that the decisions can't cope with must not take the others along
            log.exception("the decisions failed on %r", event)
            request_id = getattr(event, "request_id", None)  # only some events are of a request
            if isinstance(request_id, str):
                self._fail(api.Fail(request_id))

    def _perform(self, action: api.Action) -> None:
        effect = self._effects.get(type(action))
        if effect:
            effect(action)
        else:
            log.error("no such action on these sockets: %r", action)

    def accept(self, request: ClientRequest, event: api.Request, client_timeout_ms: float) -> None:
        """Put a client's request before the decisions; it is answered through ``on_answer``, once."""
        request.received_ms = self.clock()
        request.deadline_ms = request.received_ms + client_timeout_ms
        self.metrics.requests_total += 1
        self.requests[request.request_id] = request
        self.post(event)

    def client_disconnected(self, request_id: str, close_reason: CloseReason | None = None) -> None:
        """Take note that a connection has ended: no answer can be given any more.

        ``close_reason``: why this gateway ended it; None where the client has left.
        """
        request = self.requests.get(request_id)
        if request and (request.streamed_attempt or not request.is_answered):
            if not request.is_answered:
                self.metrics.count_disconnected(close_reason)
            request.is_answered = True
            self.post(api.ClientDisconnected(request_id))
            self.forget_if_done(request)

    def unanswered_count(self) -> int:
        """Requests whose clients wait for an answer."""
        return sum(not request.is_answered for request in self.requests.values())

    # ---- Attempts

    def _send(self, action: api.Send) -> None:
        """Start an attempt; one that can't be in time has its outcome at once."""
        request = self.requests.get(action.request_id)
        if request is None:
            log.error("sent after its end: %r", action)
            return
        attempt = ForwardedAttempt(self, request, action)
        request.attempts_sent += 1
        self.metrics.attempts_total += 1
        if request.is_answered or attempt.timeout_ms <= 0.0:
            attempt.report(Reply(api.Status.NOT_SENT))
            return
        self._start(attempt, action.server)

    def _start(self, forwarded: ForwardedAttempt, server: int) -> None:
        request = forwarded.request
        attempt = Attempt(forwarded.command, forwarded.finish, forwarded.begin_stream)
        request.attempts_in_flight[forwarded.number] = attempt
        self.servers.start(server, attempt)
        if forwarded.number not in request.attempts_in_flight:
            return  # it has failed at once
        self.timers.at(forwarded.ends_ms, self._time_out, forwarded)
        if forwarded.begin_by_ms < forwarded.ends_ms:
            self.timers.at(forwarded.begin_by_ms, self.servers.cancel_unsent, attempt)

    def _time_out(self, forwarded: ForwardedAttempt) -> None:
        """End an attempt, unless it streams: a value that has begun may take as long as it moves."""
        attempt = forwarded.request.attempts_in_flight.get(forwarded.number)
        if attempt and forwarded.request.streamed_attempt is not attempt:
            self.servers.cancel(attempt, api.Status.TIMEOUT)

    def _cancel(self, action: api.Cancel) -> None:
        request = self.requests.get(action.request_id)
        attempt = request.attempts_in_flight.get(action.attempt) if request else None
        if attempt:
            self.servers.cancel(attempt, api.Status.CANCELLED)

    # ---- Answers

    def _reject(self, action: api.Reject) -> None:
        retry_after_ms = round(action.retry_after_ms)
        answer = b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms > 0 else b"-BUSY\r\n"
        self._answer_finally(action.request_id, answer)

    def _fail(self, action: api.Fail) -> None:
        self._answer_finally(action.request_id, b"-ERR failed\r\n")

    def _answer_finally(self, request_id: str, answer: bytes) -> None:
        request = self.requests.get(request_id)
        if request and not request.is_answered:
            self.answer(request, answer)
            self.forget_if_done(request)

    def answer(self, request: ClientRequest, answer: bytes) -> None:
        """Give a client its final answer."""
        request.is_answered = True
        latency_ms = self.clock() - request.received_ms
        self.metrics.count_answer(answer, latency_ms, request.latency_objective_ms)
        request.on_answer(answer)

    def forget_if_done(self, request: ClientRequest) -> None:
        """Forget a request that is answered and has no attempt in flight."""
        if request.is_answered and not request.attempts_in_flight:
            self.requests.pop(request.request_id, None)

    # ---- Timers

    def _set_timer(self, action: api.SetTimer) -> None:
        self.timers.at(self.clock() + action.delay_ms, self.post, api.TimerFired(action.token))


class ForwardedAttempt:
    """An attempt of a request: what its server connection asks, and reports, about it."""

    __slots__ = (
        "request",
        "number",
        "timeout_ms",
        "ends_ms",
        "begin_by_ms",
        "_driver",
        "_server",
        "_sent_ms",
    )

    def __init__(self, driver: Driver, request: ClientRequest, action: api.Send) -> None:
        self._driver = driver
        self._server = action.server
        self._sent_ms = driver.clock()
        self.request = request
        self.number = request.attempts_sent
        self.timeout_ms = request.deadline_ms - self._sent_ms
        if action.timeout_ms:
            self.timeout_ms = min(self.timeout_ms, action.timeout_ms)
        self.ends_ms = self._sent_ms + self.timeout_ms
        self.begin_by_ms = inf
        if action.begin_within_ms:
            self.begin_by_ms = self._sent_ms + action.begin_within_ms - DELIVERY_MARGIN_MS

    def command(self) -> bytes | None:
        """The command, while the client waits, time is left and the attempt is still safe."""
        now_ms = self._driver.clock()
        if self.request.is_answered or now_ms >= min(self.ends_ms, self.begin_by_ms):
            return None
        return self.request.encode(self.ends_ms - now_ms)

    def begin_stream(self, length: int, source: Source) -> Sink | None:
        """Make a streamed value the answer from now on, if the client still waits for one."""
        request = self.request
        if request.is_answered:
            return None
        sink = request.on_stream(length, source)
        if sink:
            driver = self._driver
            request.is_answered = True
            request.streamed_attempt = request.attempts_in_flight[self.number]
            latency_ms = driver.clock() - request.received_ms
            driver.metrics.count_served(latency_ms, request.latency_objective_ms)
            since_sent_ms = driver.clock() - self._sent_ms
            driver.post(api.StreamStarted(request.request_id, self.number, self._server, since_sent_ms))
        return sink

    def finish(self, reply: Reply) -> None:
        """Take the attempt's end; called once."""
        self.request.attempts_in_flight.pop(self.number, None)
        self.report(reply)

    def report(self, reply: Reply) -> None:
        """Report the outcome to the decisions; a good answer goes to the client first, if it still waits."""
        request = self.request
        driver = self._driver
        if reply.value is not None and not request.is_answered:
            driver.answer(request, b"$%d\r\n%b\r\n" % (len(reply.value), reply.value))
        driver.post(
            api.AttemptEnded(
                request.request_id,
                self.number,
                self._server,
                reply.status,
                driver.clock() - self._sent_ms,
                request.is_answered,
                reply.metered_use_percent,
                reply.final_units,
                reply.load,
            )
        )
        driver.forget_if_done(request)
