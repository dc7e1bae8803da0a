"""Connects the sockets to the policy.

Passes events to the policy, carries out the actions that it returns, runs its timers, and reports exactly one
outcome for each ``Send``.
"""

from __future__ import annotations

import logging
from collections import OrderedDict, deque
from collections.abc import Callable
from math import inf
from typing import Any

from quota_gateway import api
from quota_gateway.net.client_request import ClientRequest
from quota_gateway.net.close_reason import CloseReason
from quota_gateway.net.metrics import GatewayMetrics
from quota_gateway.net.servers import Attempt, Reply, ServerPool, Sink, Source
from quota_gateway.net.timer_queue import Timer, TimerQueue
from quota_gateway.policy.gateway import Gateway

log = logging.getLogger(__name__)

# Subtracted from the time within which a repeated attempt must arrive at a server. CLIENT_MARGIN_MS in
# net/clients/commands.py does the same for a client's timeout.
DELIVERY_MARGIN_MS = 10.0  # covers the last byte's transfer to the server and a delayed event loop

MAX_ABANDONED_IDS = 4096  # remembered, of requests whose clients left


class Driver:
    """Drives one policy ``Gateway``: passes it events one after the other and carries out its actions.

    The owners of the client connections and of the hot restart set ``on_set_serving`` and
    ``on_peer_usage``.
    """

    def __init__(self, gateway: Gateway, servers: ServerPool, clock: Callable[[], float]) -> None:
        self.gateway = gateway
        self.servers = servers
        self.clock = clock
        self.requests: dict[str, ClientRequest] = {}  # by id
        self.metrics = GatewayMetrics()
        self.timers = TimerQueue(lambda: self.clock())
        self._abandoned_ids: OrderedDict[str, float] = OrderedDict()  # to the end of each request's time
        self._policy_timers: dict[int, Timer] = {}  # that the policy has set, by token
        self.on_peer_usage: Callable[[api.PeerUsage], None] = lambda _: None
        self.on_set_serving: Callable[[api.SetServing], None] = lambda _: None
        self._events: deque[api.Event] = deque()
        self._is_handling = False
        self._action_handlers = self._handlers_by_action_type()
        servers.on_idle_changed = self.post

    def _handlers_by_action_type(self) -> dict[type, Callable[[Any], None]]:
        """The only table from each type of action to the method that carries it out."""
        return {
            api.Send: self._send,
            api.Reject: self._reject,
            api.Fail: self._fail,
            api.Cancel: self._cancel,
            api.SetTimer: self._set_timer,
            api.Log: lambda action: log.info("%s", action.text),
            api.CloseIdle: lambda action: self.servers.close_idle(action.server),
            api.SetServerUsable: lambda action: self.servers.set_admin_down(action.server, not action.usable),
            api.Subscribe: lambda _: None,  # discovery is always watched
            api.SetServing: lambda action: self.on_set_serving(action),
            api.PeerUsage: lambda action: self.on_peer_usage(action),
        }

    # ---- Events

    def post(self, event: api.Event) -> None:
        """Queue an event and handle all queued events.

        Guards against re-entrancy: an event that an action causes immediately, such as a refused connection,
        waits until the actions returned before it have been carried out.
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
            self._cancel_disarmed()
        except Exception:  # a failure on one request must not affect the others
            log.exception("the policy failed on %r; its request, if any, is answered with an error", event)
            request_id = getattr(event, "request_id", None)  # only some events belong to a request
            if isinstance(request_id, str):
                self._fail(api.Fail(request_id))

    def _perform(self, action: api.Action) -> None:
        handler = self._action_handlers.get(type(action))
        if handler:
            handler(action)
        else:
            log.error("action ignored, the driver does not support it: %r", action)

    def accept(self, request: ClientRequest, event: api.Request, client_timeout_ms: float) -> None:
        """Pass a client's request to the policy; ``request.on_answer`` is called once, with the answer."""
        request.received_ms = self.clock()
        request.deadline_ms = request.received_ms + client_timeout_ms
        self.metrics.requests_total += 1
        self.requests[request.request_id] = request
        self.post(event)

    def client_disconnected(self, request_id: str, close_reason: CloseReason | None = None) -> None:
        """Note that the request's connection has ended, so that it can't be answered any more.

        ``close_reason``: why this gateway closed the connection; None if the client disconnected.
        """
        request = self.requests.get(request_id)
        if request and (request.streamed_attempt or not request.is_answered):
            if not request.is_answered:
                self.metrics.count_disconnected(close_reason)
                self._remember_abandoned(request)
            request.is_answered = True
            self.post(api.ClientDisconnected(request_id))
            self.forget_if_done(request)

    def is_in_hand(self, request_id: str) -> bool:
        """Whether a request of this id is in the gateway, or may still run although its client has left.

        Guards against running an id twice that comes again, on another connection, after its client left.
        """
        return request_id in self.requests or self._abandoned_ids.get(request_id, 0.0) > self.clock()

    def _remember_abandoned(self, request: ClientRequest) -> None:
        """Remember a request that a server may have begun, until its client would have stopped waiting."""
        if not request.attempts_sent:
            return
        self._abandoned_ids[request.request_id] = request.deadline_ms
        while self._abandoned_ids:
            oldest = next(iter(self._abandoned_ids))
            is_over = self._abandoned_ids[oldest] <= self.clock()
            if not is_over and len(self._abandoned_ids) <= MAX_ABANDONED_IDS:
                return
            del self._abandoned_ids[oldest]

    def unanswered_count(self) -> int:
        """Number of requests whose clients wait for an answer."""
        return sum(not request.is_answered for request in self.requests.values())

    # ---- Attempts

    def _send(self, action: api.Send) -> None:
        """Start an attempt; if its request is answered or no time is left, report it as not sent."""
        request = self.requests.get(action.request_id)
        if request is None:
            log.error("attempt not sent, its request has ended: %r", action)
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
            return  # it failed immediately
        timers = [self.timers.call_at(forwarded.ends_ms, self._time_out, forwarded)]
        if forwarded.latest_begin_ms < forwarded.ends_ms:
            timers.append(self.timers.call_at(forwarded.latest_begin_ms, self.servers.cancel_unsent, attempt))
        forwarded.timers = timers

    def _time_out(self, forwarded: ForwardedAttempt) -> None:
        """End an attempt, unless it is streaming: a value may take as long as data keeps coming."""
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
        self._send_final_answer(action.request_id, answer)

    def _fail(self, action: api.Fail) -> None:
        self._send_final_answer(action.request_id, b"-ERR failed\r\n")

    def _send_final_answer(self, request_id: str, answer: bytes) -> None:
        request = self.requests.get(request_id)
        if request and not request.is_answered:
            self.answer(request, answer)
            self.forget_if_done(request)

    def answer(self, request: ClientRequest, answer: bytes) -> None:
        """Send a client its final answer."""
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
        due_ms = self.clock() + action.delay_ms
        self._policy_timers[action.token] = self.timers.call_at(due_ms, self._fire, action.token)

    def _fire(self, token: int) -> None:
        del self._policy_timers[token]
        self.post(api.TimerFired(token))

    def _cancel_disarmed(self) -> None:
        """Cancel the policy's timers that the event has made pointless."""
        for token in self.gateway.disarmed_timers():
            timer = self._policy_timers.pop(token, None)
            if timer:
                self.timers.cancel(timer)


class ForwardedAttempt:
    """An attempt of a request, with the callbacks for the server connection that carries it."""

    __slots__ = (
        "request",
        "number",
        "timeout_ms",
        "ends_ms",
        "latest_begin_ms",
        "timers",
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
        self.timers: list[Timer] = []
        self.latest_begin_ms = inf
        if action.begin_within_ms:
            self.latest_begin_ms = self._sent_ms + action.begin_within_ms - DELIVERY_MARGIN_MS

    def command(self) -> bytes | None:
        """The command to send; None if the client no longer waits or it is too late to begin."""
        now_ms = self._driver.clock()
        if self.request.is_answered or now_ms >= min(self.ends_ms, self.latest_begin_ms):
            return None
        if self.request.has_client_left():  # last, as it asks the kernel
            return None
        return self.request.encode(self.ends_ms - now_ms)

    def begin_stream(self, length: int, source: Source) -> Sink | None:
        """Make a streamed value the request's answer, if the client still waits for one."""
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
        """Handle the end of the attempt; called once."""
        for timer in self.timers:
            self._driver.timers.cancel(timer)
        self.request.attempts_in_flight.pop(self.number, None)
        self.report(reply)

    def report(self, reply: Reply) -> None:
        """Report the outcome to the policy, after sending a good answer to a client that still waits."""
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
