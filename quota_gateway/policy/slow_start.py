"""Cold servers: who may be sent how much."""

from quota_gateway.state import Context, PendingRequest, Server

COLD_SAFETY = 0.33  # of the tipping budget that a full fleet's even share may use: chance and heavy requests
ROUNDING = 1e-9  # a turn found by its phase is checked exactly: none may be missed


class SlowStart:
    """Owns nothing but the rules: how fast servers warm up, how much tips them over."""

    def __init__(self, context: Context) -> None:
        self.context = context

    def warmth(self, server: Server) -> float:
        """The share of its capacity that a server has at least, by the time since its start."""
        rules = self.context.settings.contract
        age = self.context.now - server.started_ms
        if server.started_ms <= 0 or age >= rules.warm_up_ms:
            return 1.0
        return (
            rules.initial_capacity_ratio
            + (1.0 - rules.initial_capacity_ratio) * max(0.0, age) / rules.warm_up_ms
        )

    def in_turn(self, pending: PendingRequest, server: Server, ready: int) -> bool:
        """Whether this request may go to a server: a cold one only in its turn, drawn once for each request.

        Guards against pushing a cold server over: of all requests at all gateways, however many, it is open
        to its even share times its least warmth at most, however good it looks, however often one asks.
        It also spreads the burst after a list change. Harm: where most servers are cold at once, requests
        wait or are refused though the multiple would allow more.
        """
        warmth = self.warmth(server)
        if warmth >= 1.0:
            return True
        return (pending.slow_start_draw + server.slow_start_phase) % 1.0 < self._even() * warmth / ready

    def widest_turn(self, ready: int) -> float:
        """The share of all requests, 0 to 1, that a server as warm as can be may have in its turn."""
        return self._even() / ready + ROUNDING

    def _even(self) -> float:
        return min(1.0, COLD_SAFETY * self.context.settings.contract.overload_multiple)
