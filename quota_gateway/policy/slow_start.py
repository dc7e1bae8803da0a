"""Slow start: how much of the load a server gets while it is warming up."""

from __future__ import annotations

from quota_gateway.state import Context, PendingRequest, Server

# Of the load that would overload a warming server: leaves room for chance and heavy requests.
OVERLOAD_MARGIN_RATIO = 0.33
ROUNDING_MARGIN = 1e-9  # widens the search by phase, so that none is missed; those found are checked exactly


class SlowStart:
    """Computes how far servers have warmed up; keeps no state."""

    def __init__(self, context: Context) -> None:
        self.context = context

    def capacity_ratio(self, server: Server) -> float:
        """The part of its full capacity, 0 to 1, that a server has at least, by the time since its start."""
        contract = self.context.settings.contract
        age_ms = self.context.now_ms - server.started_ms
        if server.started_ms <= 0 or age_ms >= contract.warm_up_ms:
            return 1.0
        growth_ratio = 1.0 - contract.initial_capacity_ratio
        return contract.initial_capacity_ratio + growth_ratio * max(0.0, age_ms) / contract.warm_up_ms

    def is_warming_up(self, server: Server) -> bool:
        """Whether a server has less than its full capacity."""
        return self.capacity_ratio(server) < 1.0

    def is_eligible(self, pending: PendingRequest, server: Server, ready_servers: int) -> bool:
        """Whether a request may go to a server: to one that is warming up only if its draw falls there.

        A warming server looks idle to every gateway at once; together they would overload it, which shows as
        rejections and timeouts at servers just started. As each request has a single draw, the server is open
        to its even share of all requests times its least capacity, over all gateways, however low its cost
        and however often a request is tried.
        """
        capacity_ratio = self.capacity_ratio(server)
        if capacity_ratio >= 1.0:
            return True
        distance = (pending.draw + server.slow_start_phase) % 1.0
        return distance < self._even_share_limit() * capacity_ratio / ready_servers

    def widest_share_ratio(self, ready_servers: int) -> float:
        """The largest part of all requests, 0 to 1, that any warming server is open to."""
        return self._even_share_limit() / ready_servers + ROUNDING_MARGIN

    def _even_share_limit(self) -> float:
        """The largest load of a warming server with full capacity, in even shares of all requests."""
        return min(1.0, OVERLOAD_MARGIN_RATIO * self.context.settings.contract.overload_multiple)
