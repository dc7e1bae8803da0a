"""Discovery's lists: which servers there are, and when discovery is asked."""

from quota_gateway.api import DiscoveryMode, ListKind, ServerList, Subscribe
from quota_gateway.policy.concurrency_limit import ConcurrencyLimit
from quota_gateway.policy.slow_start import SlowStart
from quota_gateway.state import Endpoints, Epochs

ASK_SHARE = 0.5  # of the time in which discovery must be asked: room for one failed call


class EndpointList:
    """Owns the fleet's table."""

    def __init__(
        self, endpoints: Endpoints, slow_start: SlowStart, concurrency_limit: ConcurrencyLimit, epochs: Epochs
    ) -> None:
        self.context = slow_start.context
        self.endpoints = endpoints
        self.slow_start = slow_start
        self.concurrency_limit = concurrency_limit
        self.epochs = epochs

    def take(self, event: ServerList) -> bool:
        """Discovery's news; false if it had none."""
        settings = self.context.settings
        if settings.discovery is DiscoveryMode.POLL and event.kind in (ListKind.CACHED, ListKind.FAILED):
            # Subscribe at the start; after a failure again well within the time the rules give.
            delay = 0.0 if event.kind is ListKind.CACHED else settings.contract.poll_within_ms * ASK_SHARE
            self.context.arm(delay, lambda _: self.context.actions.append(Subscribe(True)), None)
        if event.kind is ListKind.FAILED:
            return False
        self.endpoints.update(event)
        self.relist()
        if event.kind is ListKind.CACHED:
            self.concurrency_limit.begin(len(self.endpoints.servers), self.epochs.gateways)
        return True

    def relist(self) -> None:
        """Note which servers are ready, and which of them are cold."""
        self.endpoints.relist(lambda server: self.slow_start.warmth(server) < 1.0)
        self.context.decay.servers = max(1, len(self.endpoints.servers))
