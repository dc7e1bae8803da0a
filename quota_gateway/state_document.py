"""What one process of a gateway knows, as a document for the next one. Decides nothing.

Servers go by name in it, as the numbers of one process mean nothing to another. A document is read whole
before any of it is used: one that is torn or foreign leaves the gateway as it was.

Versions hand over both ways. What a later version adds stands behind or beside what was there, is passed over
here, and must not be needed: what it means without it is what an earlier version meant.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from itertools import islice
from math import isnan
from typing import Any

from quota_gateway.policy.gateway import Gateway
from quota_gateway.state.rows import Customer, Key, Mark, Moment, Server

MOST_CUSTOMERS = 20_000  # of a document, the last touched: some 4 MB
FIGURES = (
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


def save(gateway: Gateway, names: Mapping[int, str]) -> Document:
    """The state after ``HandOver``: what is still to be done here is reserved in it."""
    reserved = gateway.hand.reserved_units()
    newest = islice(reversed(gateway.customers.values()), MOST_CUSTOMERS)
    rows = [_customer(gateway, customer, reserved) for customer in newest]
    return {
        "customers": rows[::-1],
        "servers": {names[s.id]: _server(s) for s in gateway.servers.values() if s.id in names},
        "latency": gateway.latency,
        "pool": gateway.pool,
        "retries": gateway.retries,
        "sends": gateway.sends,
        "started_at": gateway.started_at,
        "marks": gateway.marks,
        "fresh": gateway.fresh,
        "quick": {kind: [names[n] for n in known if n in names] for kind, known in gateway.quick.items()},
    }


def _customer(gateway: Gateway, customer: Customer, reserved: Mapping[tuple[str, str], float]) -> list[Any]:
    row = [getattr(customer, name) for name in FIGURES]
    row[FIGURES.index("ceiling")] -= reserved.get(customer.key, 0.0)
    row[FIGURES.index("elsewhere")] = gateway.hand.places(customer)
    return [*customer.key, *row]


def _server(server: Server) -> Document:
    return {
        "ratio": server.ratio,
        "ratio_at": server.ratio_at,
        "queue": server.queue,
        "queue_at": server.queue_at,
        "marks": server.marks,
        "phase": server.phase,
        "back": server.back,
        "owed_at": server.owed_at,
        "started": server.started,
    }


def load(gateway: Gateway, document: Document, numbers: Mapping[str, int]) -> None:
    """Go on from a document. Raises ValueError, KeyError, TypeError or AttributeError if it is none."""
    customers: OrderedDict[Key, Customer] = OrderedDict()
    for plan, name, *row in document["customers"]:
        if plan in gateway.plans:
            made = Customer((str(plan), str(name)), 0.0, 0.0, gateway.epochs.epoch)
            if len(row) < len(FIGURES):
                raise ValueError("a customer's row that breaks off")
            for field, value in zip(FIGURES, row, strict=False):
                setattr(made, field, _number(value))
            made.span = max(1, int(made.width))
            made.elsewhere = int(made.elsewhere)
            # The process before may have gone by other settings: no share is larger than it is here.
            made.width = min(made.span, gateway.gateways)
            made.ceiling = min(made.ceiling, gateway.plans[plan].ceiling_burst / made.width)
            customers[made.key] = made
    latency = {kind: _number(document["latency"].get(kind, mean)) for kind, mean in gateway.latency.items()}
    servers = {
        numbers[name]: _read_server(row)
        for name, row in document["servers"].items()
        if numbers.get(name) in gateway.servers
    }
    marks = _marks(document["marks"])
    figures = [_number(document[name]) for name in ("pool", "retries", "sends", "started_at")]
    quick = {
        kind: [numbers[name] for name in document["quick"].get(kind, ()) if name in numbers]
        for kind in gateway.quick
    }
    fresh = {
        str(name): (_number(level), _number(at))
        for name, (level, at, *_) in document.get("fresh", {}).items()
    }
    # All of it could be read: from here on nothing fails.
    gateway.fresh = fresh
    gateway.customers = customers
    gateway.latency = latency
    gateway.marks = marks
    gateway.pool = figures[0]
    gateway.retries = figures[1]
    gateway.started_at = figures[3]
    gateway.sends = int(figures[2])
    for number, row in servers.items():
        server = gateway.servers[number]
        started = max(server.started, row.pop("started") if row["back"] else 0.0)
        for field, value in row.items():
            setattr(server, field, value)
        server.started = started
    for kind, known in quick.items():
        gateway.quick[kind] = {n: gateway.servers[n] for n in known if n in gateway.servers}
    gateway.lists.relist()


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or isnan(value):
        raise ValueError(f"{value!r} is no number")
    return float(value)


def _moment(value: Any) -> Moment:
    at, sends, *_ = value
    return _number(at), int(_number(sends))


def _marks(rows: Any) -> dict[str, Mark]:
    return {
        str(key): (_number(bad), _number(seen), _moment(then)) for key, (bad, seen, then, *_) in rows.items()
    }


def _read_server(row: Document) -> Document:
    names = ("ratio", "queue", "phase", "back", "owed_at", "started")
    read: Document = {name: _number(row[name]) for name in names}
    return read | {
        "ratio_at": _moment(row["ratio_at"]),
        "queue_at": _moment(row["queue_at"]),
        "marks": _marks(row["marks"]),
    }
