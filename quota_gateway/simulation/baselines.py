"""Plain policies to measure against: everything is let in, one attempt, no limits and no health."""

from __future__ import annotations

from random import Random

from quota_gateway import api

MARGIN = 5.0  # ms before the deadline at which a request still out is answered as failed


class AllIn:
    """Lets everything in and sends it to a server drawn at random."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.ready: dict[int, api.ServerEntry] = {}
        self.out: dict[int, int] = {}  # attempts out from here, by server
        self.open: dict[int, str] = {}  # by the timer that ends its wait
        self.where: dict[str, int] = {}
        self.tokens = 0

    def choose(self) -> int:
        """One of the ready servers."""
        return self.random.choice(list(self.ready))

    def handle(self, _now_ms: float, event: api.Event) -> list[api.Action]:
        """As ``Gateway.handle``."""
        match event:
            case api.ServerList():
                self._take(event)
            case api.Request():
                return self._request(event)
            case api.TimerFired() if event.token in self.open:
                return self._late(self.open.pop(event.token))
            case api.AttemptEnded() if event.request_id in self.where:
                self.out[event.server] = self.out.get(event.server, 0) - 1
                del self.where[event.request_id]
                return [] if event.request_answered else [api.Fail(event.request_id)]
        return []

    def _take(self, event: api.ServerList) -> None:
        if event.kind is not api.ListKind.CHANGES:
            self.ready = {}
        for entry in event.entries:
            self.ready.pop(entry.server, None)
            if entry.state is api.ServerState.READY:
                self.ready[entry.server] = entry

    def _request(self, event: api.Request) -> list[api.Action]:
        if not self.ready:
            return [api.Reject(event.request_id)]
        server = self.choose()
        self.tokens += 1
        self.open[self.tokens] = event.request_id
        self.where[event.request_id] = server
        self.out[server] = self.out.get(server, 0) + 1
        return [
            api.Send(event.request_id, server),
            api.SetTimer(self.tokens, event.client_timeout_ms - MARGIN),
        ]

    def _late(self, request_id: str) -> list[api.Action]:
        return [api.Cancel(request_id, 0)] if request_id in self.where else []


class TwoChoices(AllIn):
    """As above, but of two servers drawn it takes the one with fewer attempts out from here."""

    def choose(self) -> int:
        """The less busy of two."""
        return min((super(TwoChoices, self).choose() for _ in range(2)), key=lambda n: self.out.get(n, 0))


BASELINES = {"random": AllIn, "two": TwoChoices}
