"""State document: the state of a gateway's process as JSON, for the process that takes over from it.

It identifies servers by id, as each process numbers them on its own. A document is read completely before any
of it is used: a truncated or foreign one leaves the gateway as it was. No decisions are made here.

Upgrades and downgrades both hand a document over, so the keys below never change. A later version may add
columns behind the existing ones and keys beside them. They are skipped here and must be optional: without
them a document means what it meant to the earlier version.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from itertools import islice
from math import isnan
from typing import Any, NamedTuple

from quota_gateway.errors import RestartError
from quota_gateway.policy.gateway import Gateway
from quota_gateway.policy.rate_ceiling import BucketLevel
from quota_gateway.state.customer import Customer
from quota_gateway.state.records import CustomerKey, FailureRecord, Moment
from quota_gateway.state.server import Server

MAX_CUSTOMERS = 20_000  # in a document, the most recently used ones: some 4 MB
# Columns of a customer's row, after its plan and name, by their names in version 1 of the document.
CUSTOMER_COLUMNS = (
    "excess",
    "touched",
    "largest",
    "width",
    "used",
    "used_at",
    "ceiling",
    "ceiling_at",
    "asked",
    "asked_at",
    "elsewhere",
)
Document = dict[str, Any]


class LoadedServer(NamedTuple):
    """State of a server, read from a document."""

    latency_ratio: float
    latency_ratio_at: Moment
    reported_queue: float
    reported_queue_at: Moment
    failure_records: dict[str, FailureRecord]
    slow_start_phase: float
    restored_ms: float
    must_be_used_by_ms: float
    started_ms: float

    def restore(self, server: Server) -> None:
        """Set the server's state to this one.

        The time of its start is restored only if an operator put the server back; otherwise the endpoint list
        gives it.
        """
        server.latency_ratio = self.latency_ratio
        server.latency_ratio_at = self.latency_ratio_at
        server.reported_queue = self.reported_queue
        server.reported_queue_at = self.reported_queue_at
        server.failure_records = self.failure_records
        server.slow_start_phase = self.slow_start_phase
        server.restored_ms = self.restored_ms
        server.must_be_used_by_ms = self.must_be_used_by_ms
        if self.restored_ms:
            server.started_ms = max(server.started_ms, self.started_ms)


class LoadedState(NamedTuple):
    """State from a document that was read completely, with servers by their numbers in this process."""

    customers: OrderedDict[CustomerKey, Customer]
    servers: dict[int, LoadedServer]
    mean_latency_ms: dict[str, float]
    quick_servers: dict[str, list[int]]
    failure_records: dict[str, FailureRecord]
    concurrency_limit: float
    retry_tokens: float
    attempts_started: int
    started_at_ms: float
    unseen_levels: dict[str, BucketLevel]

    def restore(self, gateway: Gateway) -> None:
        """Make the gateway continue from this state. Nothing here can fail and leave it half restored."""
        gateway.context.started_ms = self.started_at_ms
        gateway.context.decay.attempts_started = self.attempts_started
        gateway.customers.rows = self.customers
        gateway.rate_ceiling.unseen_levels = self.unseen_levels
        gateway.outlier_detection.rates.records = self.failure_records
        gateway.attempts.retry_budget.tokens = self.retry_tokens
        gateway.concurrency_limit.limit = self.concurrency_limit
        latencies = gateway.concurrency_limit.latencies
        latencies.mean_ms = self.mean_latency_ms
        servers = gateway.endpoints.servers
        for number, loaded in self.servers.items():
            loaded.restore(servers[number])
        for class_name, numbers in self.quick_servers.items():
            latencies.quick_servers[class_name] = {
                number: servers[number] for number in numbers if number in servers
            }
        gateway.endpoint_list.refresh()


def save(gateway: Gateway, server_ids: Mapping[int, str]) -> Document:
    """The gateway's state after ``HotRestartBegun``, with reservations for what is still pending here."""
    latencies = gateway.concurrency_limit.latencies
    return {
        "customers": _write_customers(gateway),
        "servers": {
            server_ids[server.id]: _write_server(server)
            for server in gateway.endpoints.servers.values()
            if server.id in server_ids
        },
        "latency": latencies.mean_ms,
        "pool": gateway.concurrency_limit.limit,
        "retries": gateway.attempts.retry_budget.tokens,
        "sends": gateway.context.decay.attempts_started,
        "started_at": gateway.context.started_ms,
        "marks": gateway.outlier_detection.rates.records,
        "fresh": {
            plan_name: (level.level_units, level.updated_ms)
            for plan_name, level in gateway.rate_ceiling.unseen_levels.items()
        },
        "quick": {
            class_name: [server_ids[number] for number in servers if number in server_ids]
            for class_name, servers in latencies.quick_servers.items()
        },
    }


def load(gateway: Gateway, document: Document, server_numbers: Mapping[str, int]) -> None:
    """Make the gateway continue from a document.

    Raises RestartError if it is malformed; the gateway is then as it was.
    """
    try:
        state = _read(gateway, document, server_numbers)
    except (ValueError, KeyError, TypeError, AttributeError, OverflowError) as error:
        # A missing key or column, a value of a wrong type, an infinite count.
        raise RestartError(f"the state document is malformed and not used: {error!r}") from error
    state.restore(gateway)


def _read(gateway: Gateway, document: Document, server_numbers: Mapping[str, int]) -> LoadedState:
    """Read a document without changing the gateway. Raises the builtin errors that ``load`` catches."""
    latencies = gateway.concurrency_limit.latencies
    return LoadedState(
        customers=_read_customers(gateway, document["customers"]),
        servers={
            server_numbers[server_id]: _read_server(row)
            for server_id, row in document["servers"].items()
            if server_numbers.get(server_id) in gateway.endpoints.servers
        },
        mean_latency_ms={
            class_name: _checked_number(document["latency"].get(class_name, mean_ms))
            for class_name, mean_ms in latencies.mean_ms.items()
        },
        quick_servers={
            class_name: [
                server_numbers[server_id]
                for server_id in document["quick"].get(class_name, ())
                if server_id in server_numbers
            ]
            for class_name in latencies.quick_servers
        },
        failure_records=_read_failure_records(document["marks"]),
        concurrency_limit=_checked_number(document["pool"]),
        retry_tokens=_checked_number(document["retries"]),
        attempts_started=int(_checked_number(document["sends"])),
        started_at_ms=_checked_number(document["started_at"]),
        unseen_levels={
            str(plan_name): BucketLevel(_checked_number(level), _checked_number(updated))
            for plan_name, (level, updated, *_) in document.get("fresh", {}).items()
        },
    )


def _write_customers(gateway: Gateway) -> list[list[Any]]:
    """Rows of the most recently used customers, the last used one at the end."""
    reserved_units = gateway.pending_requests.reserved_units()
    newest = islice(reversed(gateway.customers.rows.values()), MAX_CUSTOMERS)
    rows = [_write_customer(gateway, customer, reserved_units) for customer in newest]
    return rows[::-1]


def _write_customer(
    gateway: Gateway, customer: Customer, reserved_units: Mapping[CustomerKey, float]
) -> list[Any]:
    """A customer's row, in the order of ``CUSTOMER_COLUMNS``."""
    return [
        *customer.key,
        customer.excess_milliunits,
        customer.excess_updated_ms,
        customer.largest_request_units,
        customer.serving_gateways,
        customer.metered_use_ratio,
        customer.metered_use_at_ms,
        customer.ceiling_level_units - reserved_units.get(customer.key, 0.0),
        customer.ceiling_updated_ms,
        customer.demand_units,
        customer.demand_updated_ms,
        gateway.pending_requests.occupied_places(customer),
    ]


def _read_customers(gateway: Gateway, rows: Iterable[Any]) -> OrderedDict[CustomerKey, Customer]:
    """Customers of the plans that this process knows, in the order of their rows."""
    customers: OrderedDict[CustomerKey, Customer] = OrderedDict()
    for plan, name, *columns in rows:
        if plan in gateway.epochs.plans:
            customer = _read_customer(gateway, (str(plan), str(name)), columns)
            customers[customer.key] = customer
    return customers


def _read_customer(gateway: Gateway, key: CustomerKey, columns: list[Any]) -> Customer:
    if len(columns) < len(CUSTOMER_COLUMNS):
        raise ValueError("a customer's row has too few columns")
    (
        excess,
        excess_updated,
        largest_request,
        gateways,
        metered_use,
        metered_use_at,
        ceiling_level,
        ceiling_updated,
        demand,
        demand_updated,
        occupied_places,
    ) = map(_checked_number, columns[: len(CUSTOMER_COLUMNS)])
    customer = Customer(key, 0.0, 0.0, gateway.epochs.epoch)
    customer.excess_milliunits = excess
    customer.excess_updated_ms = excess_updated
    customer.largest_request_units = largest_request
    customer.metered_use_ratio = metered_use
    customer.metered_use_at_ms = metered_use_at
    customer.ceiling_updated_ms = ceiling_updated
    customer.demand_units = demand
    customer.demand_updated_ms = demand_updated
    customer.peer_occupied_places = int(occupied_places)
    # The previous process may have had other settings: no quota share is larger than by those in force here.
    customer.requested_gateways = max(1, int(gateways))
    customer.serving_gateways = min(customer.requested_gateways, gateway.epochs.gateways)
    largest_share = gateway.epochs.plans[key[0]].ceiling_burst / customer.serving_gateways
    customer.ceiling_level_units = min(ceiling_level, largest_share)
    return customer


def _write_server(server: Server) -> Document:
    return {
        "ratio": server.latency_ratio,
        "ratio_at": server.latency_ratio_at,
        "queue": server.reported_queue,
        "queue_at": server.reported_queue_at,
        "marks": server.failure_records,
        "phase": server.slow_start_phase,
        "back": server.restored_ms,
        "owed_at": server.must_be_used_by_ms,
        "started": server.started_ms,
    }


def _read_server(row: Document) -> LoadedServer:
    return LoadedServer(
        latency_ratio=_checked_number(row["ratio"]),
        latency_ratio_at=_read_moment(row["ratio_at"]),
        reported_queue=_checked_number(row["queue"]),
        reported_queue_at=_read_moment(row["queue_at"]),
        failure_records=_read_failure_records(row["marks"]),
        slow_start_phase=_checked_number(row["phase"]),
        restored_ms=_checked_number(row["back"]),
        must_be_used_by_ms=_checked_number(row["owed_at"]),
        started_ms=_checked_number(row["started"]),
    )


def _checked_number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or isnan(value):
        raise ValueError(f"{value!r} is not a number")
    return float(value)


def _read_moment(value: Any) -> Moment:
    recorded_ms, attempts_started, *_ = value
    return _checked_number(recorded_ms), int(_checked_number(attempts_started))


def _read_failure_records(rows: Any) -> dict[str, FailureRecord]:
    return {
        str(key): (_checked_number(failures), _checked_number(outcomes), _read_moment(recorded_at))
        for key, (failures, outcomes, recorded_at, *_) in rows.items()
    }
