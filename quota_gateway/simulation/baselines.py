"""Simple policies to compare the gateway with: they admit every request and make one attempt.

They apply no limits and do not watch the servers' health.
"""

from __future__ import annotations

from random import Random

from quota_gateway import api

DEADLINE_MARGIN_MS = 5.0  # a request still in flight this long before its deadline is cancelled and fails


class RandomPolicy:
    """Admits every request and sends it to a random server."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.ready: dict[int, api.ServerEntry] = {}
        self.in_flight: dict[int, int] = {}  # this gateway's attempts, by server
        self.request_by_timer: dict[int, str] = {}  # by the token of the timer at its deadline
        self.server_by_request: dict[str, int] = {}
        self.last_token = 0

    def choose(self) -> int:
        """Choose one of the ready servers."""
        return self.random.choice(list(self.ready))

    def handle(self, _now_ms: float, event: api.Event) -> list[api.Action]:
        """Handle an event as ``Gateway.handle`` does."""
        match event:
            case api.ServerList():
                self._update_servers(event)
            case api.Request():
                return self._send(event)
            case api.TimerFired() if event.token in self.request_by_timer:
                return self._cancel(self.request_by_timer.pop(event.token))
            case api.AttemptEnded() if event.request_id in self.server_by_request:
                self.in_flight[event.server] = self.in_flight.get(event.server, 0) - 1
                del self.server_by_request[event.request_id]
                return [] if event.request_answered else [api.Fail(event.request_id)]
        return []

    def _update_servers(self, event: api.ServerList) -> None:
        if event.kind is not api.ListKind.CHANGES:
            self.ready = {}
        for entry in event.entries:
            self.ready.pop(entry.server, None)
            if entry.state is api.ServerState.READY:
                self.ready[entry.server] = entry

    def _send(self, event: api.Request) -> list[api.Action]:
        if not self.ready:
            return [api.Reject(event.request_id)]
        server = self.choose()
        self.last_token += 1
        self.request_by_timer[self.last_token] = event.request_id
        self.server_by_request[event.request_id] = server
        self.in_flight[server] = self.in_flight.get(server, 0) + 1
        return [
            api.Send(event.request_id, server),
            api.SetTimer(self.last_token, event.client_timeout_ms - DEADLINE_MARGIN_MS),
        ]

    def _cancel(self, request_id: str) -> list[api.Action]:
        return [api.Cancel(request_id, 0)] if request_id in self.server_by_request else []


class TwoChoicesPolicy(RandomPolicy):
    """Draws two random servers and takes the one with fewer attempts in flight from this gateway."""

    def choose(self) -> int:
        """Choose the less loaded of two random servers."""
        return min(
            (super(TwoChoicesPolicy, self).choose() for _ in range(2)), key=lambda n: self.in_flight.get(n, 0)
        )


BASELINES = {"random": RandomPolicy, "two": TwoChoicesPolicy}
