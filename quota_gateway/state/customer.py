"""What a gateway knows of one customer."""

from __future__ import annotations

from math import inf

from quota_gateway.api import Plan
from quota_gateway.state.records import CustomerKey


class Customer:
    """State of one customer, also called its row, for several parts of the policy.

    The comment above a group of attributes names the module that writes them. Other modules only read them,
    except ``state_document.py``, which restores most of them after a hot restart. An object for each part
    would be several hundred thousand objects for a hundred thousand customers.
    """

    __slots__ = (
        "key",
        "requested_gateways",
        "serving_gateways",
        "settings_epoch",
        "largest_request_units",
        "excess_milliunits",
        "excess_updated_ms",
        "metered_use_ratio",
        "metered_use_at_ms",
        "demand_units",
        "demand_updated_ms",
        "ceiling_level_units",
        "ceiling_updated_ms",
        "transition_plan",
        "transition_epoch",
        "pending_before_transition",
        "attempts_in_flight",
        "pending_count",
        "peer_occupied_places",
    )

    def __init__(
        self, key: CustomerKey, now_ms: float, ceiling_level_units: float, settings_epoch: int
    ) -> None:
        self.key = key

        # Written by policy/customers.py
        self.requested_gateways = 1  # number of gateways that its last request named
        self.serving_gateways = 1  # of these, how many exist: the quota is split evenly over them
        self.settings_epoch = settings_epoch  # settings epoch up to which this row was brought
        self.largest_request_units = 0.0

        # Written by policy/quota_meter.py
        self.excess_milliunits = 0.0  # level of the leaky bucket at its last update
        self.excess_updated_ms = now_ms
        # Late reading of the use over all gateways, as a ratio of the plan's rate, or of its concurrency
        # cap if it has no rate.
        self.metered_use_ratio = 0.0
        self.metered_use_at_ms = -inf
        self.demand_units = 0.0  # level of a leaky bucket that counts rejected requests as well
        self.demand_updated_ms = now_ms

        # Written by policy/rate_ceiling.py and, where a change of settings lowers it, by policy/customers.py
        self.ceiling_level_units = ceiling_level_units  # of this gateway's share of the token bucket
        self.ceiling_updated_ms = now_ms

        # Written by policy/settings_change.py; counted down and ended by policy/customers.py
        self.transition_plan: Plan | None = None  # stricter limits while requests from before are pending
        self.transition_epoch = 0
        self.pending_before_transition = 0  # how many of these are pending

        # Written by state/pending_requests.py
        self.attempts_in_flight = 0
        self.pending_count = 0  # while there are any, the row is not evicted

        # Written by policy/peer_usage.py
        # Places under the concurrency cap that requests pending in the previous process occupy.
        self.peer_occupied_places = 0
