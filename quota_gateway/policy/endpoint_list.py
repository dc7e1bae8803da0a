"""Discovery's lists: which servers there are, and when discovery is asked."""

from quota_gateway.api import DiscoveryMode, ListKind, ServerList, Subscribe
from quota_gateway.policy.concurrency_limit import Pressure
from quota_gateway.policy.slow_start import Cold
from quota_gateway.state import Fleet, SettingsEpochs

ASK_SHARE = 0.5  # of the time in which discovery must be asked: room for one failed call


class Lists:
    """Owns the fleet's table."""

    def __init__(self, fleet: Fleet, cold: Cold, pressure: Pressure, epochs: SettingsEpochs) -> None:
        self.context = cold.context
        self.fleet = fleet
        self.cold = cold
        self.pressure = pressure
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
        self.fleet.update(event)
        self.relist()
        if event.kind is ListKind.CACHED:
            self.pressure.begin(len(self.fleet.servers), self.epochs.gateways)
        return True

    def relist(self) -> None:
        """Note which servers are ready, and which of them are cold."""
        self.fleet.relist(lambda server: self.cold.warmth(server) < 1.0)
        self.context.decay.servers = max(1, len(self.fleet.servers))
