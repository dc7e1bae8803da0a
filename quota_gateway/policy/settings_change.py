"""Settings that change while the gateway serves: whole or not at all. What is in hand keeps its class and
plan; where a ceiling or cap changes, the stricter of both holds until what was taken before has ended.
"""

from collections.abc import Callable
from dataclasses import replace

from quota_gateway.api import HotRestartBegun, Plan, SettingsChanged
from quota_gateway.policy.endpoint_list import EndpointList
from quota_gateway.policy.hot_restart import Handover
from quota_gateway.policy.outlier_detection import OutlierDetection
from quota_gateway.state import CustomerKey

SETTLE_MS = 4000.0  # the platform gives a change of configuration so long: others may go by the old one
STEP = 100  # customers brought up to date in a step
BOUNDS = ("max_in_flight", "ceiling_rate", "ceiling_burst")


def stricter(one: Plan, other: Plan) -> Plan:
    """The first plan, with the lower of both ceilings and caps; nought is none."""

    def low(a: float, b: float) -> float:
        return min(a, b) if a and b else a or b

    rate = low(one.ceiling_rate, other.ceiling_rate)
    burst = low(one.ceiling_burst, other.ceiling_burst) if rate else 0.0
    return replace(
        one,
        max_in_flight=int(low(one.max_in_flight, other.max_in_flight)),
        ceiling_rate=rate,
        ceiling_burst=burst,
    )


class Changes:
    """Owns the bounds of what is in hand while settings change; hands the settings to every part."""

    def __init__(
        self,
        handover: Handover,
        outlier_detection: OutlierDetection,
        endpoint_list: EndpointList,
        again: Callable[[], None],
    ) -> None:
        self.context = handover.context
        self.handover = handover
        self.in_flight = handover.in_flight
        self.customers = handover.customers
        self.epochs = handover.customers.epochs
        self.outlier_detection = outlier_detection
        self.endpoint_list = endpoint_list
        self.concurrency_limit = endpoint_list.concurrency_limit
        self.again = again  # tries again what is queued

    def take(self, event: SettingsChanged) -> bool:
        """Take them over. A larger number of gateways holds at once, as shares shrink; a smaller one once the
        others must have heard of it too: until then this gateway's share grows by nothing.
        """
        settings = event.settings
        plans = {item.name: item for item in settings.plans}
        kinds = (pending.request_class for pending in self.in_flight.pending_requests.values())
        latency = self.concurrency_limit.mean_latencies_ms([*settings.classes, *kinds])
        gateways = max(self.epochs.gateways, settings.gateways)
        bounds = self._bounds(plans)
        # All that may fail came before the first thing that is altered.
        self._turn(plans, gateways)
        self.context.configure(settings)
        self.concurrency_limit.latencies.keep(latency)
        self.outlier_detection.rates.keep_only(
            self.context.classes, plans, self.endpoint_list.endpoints.servers.values()
        )
        self._keep_in_hand(bounds)
        self.endpoint_list.refresh()
        if settings.gateways < gateways:
            self.context.arm(SETTLE_MS, self._settled, self.epochs.epoch)
        return True

    def _settled(self, epoch: int) -> None:
        """The smaller number of gateways holds from now on, unless there was another change."""
        if epoch == self.epochs.epoch:
            self._turn(self.epochs.plans, self.context.settings.gateways)
            self._keep_in_hand({})
            self.again()

    def _turn(self, plans: dict[str, Plan], gateways: int) -> None:
        """Begin a new epoch."""
        self.concurrency_limit.rescale(self.epochs.gateways, gateways)
        self.customers.turn(plans, gateways)
        if self.epochs.lagging:
            self.context.arm(self.context.settings.tick_ms, self._sweep, self.epochs.epoch)

    def _sweep(self, epoch: int) -> None:
        if epoch == self.epochs.epoch:
            self.customers.step(STEP)
            if self.epochs.lagging:
                self.context.arm(self.context.settings.tick_ms, self._sweep, epoch)

    def _bounds(self, plans: dict[str, Plan]) -> dict[CustomerKey, Plan]:
        """For customers with something in hand whose ceiling or cap changes: the stricter of old and new."""
        bounds: dict[CustomerKey, Plan] = {}
        for pending in self.in_flight.pending_requests.values():
            old = pending.plan
            customer = pending.customer
            new = plans.get(old.name, old)
            strict = bounds.get(customer.key) or customer.transition_plan
            bound = stricter(new, stricter(old, strict or old))
            if strict or any(
                getattr(bound, name) != getattr(plan, name) for name in BOUNDS for plan in (old, new)
            ):
                bounds[customer.key] = bound
        return bounds

    def _keep_in_hand(self, bounds: dict[CustomerKey, Plan]) -> None:
        """Bring up to date whoever has something in hand; until that has ended the stricter bounds hold."""
        for pending in self.in_flight.pending_requests.values():
            self.customers.catch_up(pending.customer)
            if pending.customer.key in bounds:
                pending.customer.pending_before_transition = 0
        for pending in self.in_flight.pending_requests.values():
            customer = pending.customer
            if customer.key in bounds:
                customer.transition_plan = bounds[customer.key]
                customer.transition_epoch = self.epochs.epoch
                customer.pending_before_transition += 1

    def hand_over(self, _: HotRestartBegun) -> None:
        """The next process takes over, and may go by other settings: all are brought up to this moment."""
        self.handover.handed = True
        self._turn(self.epochs.plans, self.epochs.gateways)
        self._keep_in_hand({})
        self.customers.step(len(self.epochs.lagging))
        self.context.log(f"handed over with {len(self.in_flight.pending_requests)} requests in hand")
