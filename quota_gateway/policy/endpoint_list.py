"""Endpoint list: which servers there are, and when to subscribe to discovery for them."""

from __future__ import annotations

from quota_gateway.api import DiscoveryMode, ListKind, ServerList, Subscribe
from quota_gateway.policy.concurrency_limit import AdaptiveConcurrencyLimit
from quota_gateway.policy.slow_start import SlowStart
from quota_gateway.state import Endpoints, SettingsEpochs

POLL_DELAY_RATIO = 0.5  # of the time within which discovery must be polled: leaves room for a failed call


class EndpointList:
    """Applies the lists that discovery sends and refreshes the state derived from them."""

    def __init__(
        self,
        endpoints: Endpoints,
        slow_start: SlowStart,
        concurrency_limit: AdaptiveConcurrencyLimit,
        epochs: SettingsEpochs,
    ) -> None:
        self.context = slow_start.context
        self.endpoints = endpoints
        self.slow_start = slow_start
        self.concurrency_limit = concurrency_limit
        self.epochs = epochs

    def on_server_list(self, event: ServerList) -> bool:
        """Apply a list, or handle a failed call for one. Returns whether servers may have changed."""
        delay_ms = self.subscribe_delay_ms(event.kind)
        if delay_ms is not None:
            self.context.arm(delay_ms, self._subscribe, None)
        if event.kind is ListKind.FAILED:
            return False
        self.endpoints.update(event)
        self.refresh()
        if event.kind is ListKind.CACHED:
            self.concurrency_limit.start(len(self.endpoints.servers), self.epochs.gateways)
        return True

    def subscribe_delay_ms(self, kind: ListKind) -> float | None:
        """Delay until the next subscription, or None if none is due.

        It is 0 after the cached list, which comes at the start. After a failed call it leaves time for
        another one within ``Contract.poll_within_ms``.
        """
        settings = self.context.settings
        if settings.discovery is not DiscoveryMode.POLL:
            return None
        if kind is ListKind.CACHED:
            return 0.0
        if kind is ListKind.FAILED:
            return settings.contract.poll_within_ms * POLL_DELAY_RATIO
        return None

    def _subscribe(self, _: None) -> None:
        self.context.actions.append(Subscribe(True))

    def refresh(self) -> None:
        """Rebuild the lists of servers that are ready or warming up."""
        self.endpoints.refresh(self.slow_start.is_warming_up)
        self.context.decay.listed_servers = max(1, len(self.endpoints.servers))
