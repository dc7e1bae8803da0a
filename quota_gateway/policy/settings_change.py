"""Settings changes: puts new settings in force while the gateway serves, completely or not at all.

Pending requests keep the class and plan under which they were taken. Where a plan's limits change, the
stricter of old and new hold for a customer until its requests from before the change are finished.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from quota_gateway.api import HotRestartBegun, Plan, SettingsChanged
from quota_gateway.policy.endpoint_list import EndpointList
from quota_gateway.policy.outlier_detection import OutlierDetection
from quota_gateway.policy.peer_usage import PeerUsageExchange
from quota_gateway.state import CustomerKey

# The platform's bound on a configuration change: until then other gateways may use the old settings.
FLEET_UPDATE_MS = 4000.0
CATCH_UP_ROWS_PER_TICK = 100


def has_same_limits(plan: Plan, other: Plan) -> bool:
    """Whether two plans have the same rate ceiling and concurrency cap."""
    return (
        plan.max_in_flight == other.max_in_flight
        and plan.ceiling_rate == other.ceiling_rate
        and plan.ceiling_burst == other.ceiling_burst
    )


def _stricter(limit: float, other: float) -> float:
    """The lower of two limits, of which 0 means that there is none."""
    return min(limit, other) if limit and other else limit or other


def with_stricter_limits(plan: Plan, other: Plan) -> Plan:
    """The plan, with the lower of both plans' rate ceilings and concurrency caps."""
    ceiling_rate = _stricter(plan.ceiling_rate, other.ceiling_rate)
    ceiling_burst = _stricter(plan.ceiling_burst, other.ceiling_burst) if ceiling_rate else 0.0
    return replace(
        plan,
        max_in_flight=int(_stricter(plan.max_in_flight, other.max_in_flight)),
        ceiling_rate=ceiling_rate,
        ceiling_burst=ceiling_burst,
    )


class SettingsChange:
    """Hands new settings to every part; owns customers' transition plans while limits change."""

    def __init__(
        self,
        peer_usage: PeerUsageExchange,
        outlier_detection: OutlierDetection,
        endpoint_list: EndpointList,
        release_queued: Callable[[], None],
    ) -> None:
        self.context = peer_usage.context
        self.peer_usage = peer_usage
        self.pending_requests = peer_usage.pending_requests
        self.customers = peer_usage.customers
        self.epochs = peer_usage.customers.epochs
        self.outlier_detection = outlier_detection
        self.endpoint_list = endpoint_list
        self.concurrency_limit = endpoint_list.concurrency_limit
        self.release_queued = release_queued

    def apply(self, event: SettingsChanged) -> bool:
        """Put new settings in force.

        A larger number of gateways counts at once, as it makes shares smaller. A smaller one counts after
        ``FLEET_UPDATE_MS``: this gateway's share may grow only once the others have given theirs up.
        """
        settings = event.settings
        plans = {plan.name: plan for plan in settings.plans}
        pending_classes = (pending.request_class for pending in self.pending_requests.by_id.values())
        latency = self.concurrency_limit.mean_latencies_ms([*settings.classes, *pending_classes])
        gateways = max(self.epochs.gateways, settings.gateways)
        transition_plans = self._transition_plans(plans)

        # Everything that can fail has been computed above, so the change can't stop halfway from here on.
        self._begin_epoch(plans, gateways)
        self.context.configure(settings)
        self.concurrency_limit.latencies.set_classes(latency)
        self.outlier_detection.rates.keep_only(
            self.context.classes, plans, self.endpoint_list.endpoints.servers.values()
        )
        self._begin_transitions(transition_plans)
        self.endpoint_list.refresh()
        if settings.gateways < gateways:
            self.context.arm(FLEET_UPDATE_MS, self._on_fleet_updated, self.epochs.epoch)
        return True

    def begin_hot_restart(self, _: HotRestartBegun) -> None:
        """Bring every row up to date, as the next process takes over, perhaps with other settings."""
        self.peer_usage.on_hot_restart_begun()
        self._begin_epoch(self.epochs.plans, self.epochs.gateways)
        self._begin_transitions({})
        self.customers.catch_up_last(len(self.epochs.lagging_customers))
        self.context.log(
            f"handed over to the next process with {len(self.pending_requests.by_id)} requests pending"
        )

    def _on_fleet_updated(self, epoch: int) -> None:
        """Put the smaller number of gateways in force, unless another change came in between."""
        if epoch == self.epochs.epoch:
            self._begin_epoch(self.epochs.plans, self.context.settings.gateways)
            self._begin_transitions({})
            self.release_queued()

    # ---- Rows catch up in steps

    def _begin_epoch(self, plans: dict[str, Plan], gateways: int) -> None:
        self.concurrency_limit.rescale(self.epochs.gateways, gateways)
        self.customers.begin_epoch(plans, gateways)
        self._arm_catch_up(self.epochs.epoch)

    def _on_catch_up(self, epoch: int) -> None:
        """Bring some rows up to date; a later epoch has steps of its own."""
        if epoch == self.epochs.epoch:
            self.customers.catch_up_last(CATCH_UP_ROWS_PER_TICK)
            self._arm_catch_up(epoch)

    def _arm_catch_up(self, epoch: int) -> None:
        if self.epochs.lagging_customers:
            self.context.arm(self.context.settings.tick_ms, self._on_catch_up, epoch)

    # ---- Limits in transition

    def _transition_plans(self, new_plans: dict[str, Plan]) -> dict[CustomerKey, Plan]:
        """Stricter plans for customers with pending requests whose limits change, or changed before."""
        transition_plans: dict[CustomerKey, Plan] = {}
        for pending in self.pending_requests.by_id.values():
            key = pending.customer.key
            old_plan = pending.plan
            new_plan = new_plans.get(old_plan.name, old_plan)
            earlier = transition_plans.get(key) or pending.customer.transition_plan
            strict_plan = with_stricter_limits(new_plan, with_stricter_limits(old_plan, earlier or old_plan))
            is_changing = not (
                has_same_limits(strict_plan, old_plan) and has_same_limits(strict_plan, new_plan)
            )
            if earlier or is_changing:
                transition_plans[key] = strict_plan
        return transition_plans

    def _begin_transitions(self, transition_plans: dict[CustomerKey, Plan]) -> None:
        """Bring customers with pending requests up to date; stricter plans hold until those are finished."""
        pending_requests = self.pending_requests.by_id.values()
        for pending in pending_requests:
            self.customers.catch_up(pending.customer)
            if pending.customer.key in transition_plans:
                pending.customer.pending_before_transition = 0
        for pending in pending_requests:
            customer = pending.customer
            if customer.key in transition_plans:
                customer.transition_plan = transition_plans[customer.key]
                customer.transition_epoch = self.epochs.epoch
                customer.pending_before_transition += 1
