"""Connects gateways to the simulator, whose protocol it speaks on standard input and output.

Converts the simulator's messages to events and the gateways' actions to messages, and makes no decisions.
One process hosts many gateways, which share only the table of numbered endpoint lists that the protocol
declares for the whole process.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, Protocol, TextIO

from quota_gateway import api
from quota_gateway.policy.gateway import Gateway
from quota_gateway.settings_reader import settings_from

Fields = dict[str, Any]  # of a message in the simulator's protocol

STATUS = {
    200: api.Status.OK,
    500: api.Status.ERROR,
    503: api.Status.OVERLOADED,
    504: api.Status.TIMEOUT,
    502: api.Status.CONNECT_FAILED,
    598: api.Status.RESET,
    499: api.Status.CANCELLED,
    410: api.Status.NOT_SENT,
}
STATE = {"U": api.ServerState.READY, "L": api.ServerState.DRAINING, "D": api.ServerState.REMOVED}
LIST_KIND = {
    "Partial": api.ListKind.CHANGES,
    "Complete": api.ListKind.COMPLETE,
    "Persisted": api.ListKind.CACHED,
    "Error": api.ListKind.FAILED,
}


class WireError(Exception):
    """The input does not follow the simulator's protocol."""


def _entry(row: Fields) -> api.ServerEntry:
    return api.ServerEntry(
        server=row["server"],
        zone=row["locality"],
        kind=row["generation_hw"],
        cell=row["cluster"],
        state=STATE[row["phase"]],
        size=row["size"],
        started_ms=row["since_ms"] or 0.0,
    )


def _load_report(row: list[float] | None) -> tuple[float, ...] | None:
    return tuple(row) if row else None


def _request(f: Fields) -> api.Request:
    return api.Request(
        f["op_id"],
        f["priority"],
        f["plan"],
        f["member"],
        f["patience_left_ms"],
        f["units"],
        f["width"],
        f["base"],
        bool(f["retry"]),
        bool(f["update"]),
    )


def _outcome(f: Fields) -> api.AttemptEnded:
    return api.AttemptEnded(
        f["op_id"],
        f["seq_no"],
        f["server"],
        STATUS[f["code"]],
        f["delay_seen_ms"],
        bool(f["final"]),
        f["metered"] - 1 if f["metered"] else None,  # sent as the percentage plus 1; 0 for no reading
        f["final_units"] or None,
        _load_report(f["gauge"]),
    )


EVENTS: dict[str, Callable[[Fields], api.Event]] = {
    "Knock": _request,
    "Outcome": _outcome,
    "Alarm": lambda f: api.TimerFired(f["mark"]),
    "Vanished": lambda f: api.ClientDisconnected(f["op_id"]),
    "Flowing": lambda f: api.StreamStarted(f["op_id"], f["seq_no"], f["server"], f["delay_seen_ms"]),
    "Sampled": lambda f: api.HealthCheckResult(
        f["server"], STATUS[f["code"]], f["delay_seen_ms"], _load_report(f["gauge"])
    ),
    "Memo": lambda f: api.GatewayMessage(f["origin_peer"], bytes.fromhex(f["body"])),
    "Reckoned": lambda f: api.CounterResult(
        f["counter_key"], STATUS[f["code"]], f["reading"] or 0.0, f["delay_seen_ms"]
    ),
}

ACTIONS: dict[type, Callable[[Any], tuple[str, Fields]]] = {
    api.Send: lambda a: ("Try", {"op_id": a.request_id, "server": a.server, "within_ms": a.timeout_ms}),
    api.Reject: lambda a: ("OverloadReply", {"op_id": a.request_id, "stay_away_ms": a.retry_after_ms}),
    api.Fail: lambda a: ("RespondError", {"op_id": a.request_id}),
    api.Cancel: lambda a: ("AbortAttempt", {"op_id": a.request_id, "seq_no": a.attempt}),
    api.SetTimer: lambda a: ("Schedule", {"after_ms": a.delay_ms, "mark": a.token}),
    api.Log: lambda a: ("Debug", {"what": a.text}),
    api.Subscribe: lambda a: ("Follow", {"active": a.active}),
    api.FetchList: lambda _: ("Fetch", {}),
    api.HealthCheck: lambda a: ("Touch", {"server": a.server}),
    api.CloseIdle: lambda a: ("DropConns", {"server": a.server}),
    api.SendToGateway: lambda a: ("Share", {"dst": a.gateway, "body": a.data.hex()}),
    api.IncrementCounter: lambda a: (
        "Add",
        {"counter_key": a.name, "add": a.amount, "expire_in_ms": a.lifetime_ms},
    ),
}


class EventHandler(Protocol):
    """A gateway, or a wrapper that records it."""

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Handle an event as ``Gateway.handle`` does."""


GatewayFactory = Callable[[str, api.Settings, int], EventHandler]


def unrecorded_gateway(_: str, settings: api.Settings, seed: int) -> EventHandler:
    """Create a gateway that is not recorded."""
    return Gateway(settings, seed)


class GatewayHost:
    """The gateways of one process and the endpoint lists that the simulator has declared to it."""

    def __init__(self, create_gateway: GatewayFactory) -> None:
        self.create_gateway = create_gateway
        self.now_ms = 0.0
        self.gateways: dict[str, EventHandler] = {}
        self.lists: dict[int, tuple[api.ServerEntry, ...]] = {}
        self.reply: list[str] = []

    def process_message(self, name: str, fields: Fields) -> bool:
        """Process one message; true when the batch is complete and ``reply`` is to be written."""
        if name == "Batch":
            self.now_ms = float(fields["t_ms"])
            self.turn = fields["turn"]
        elif name == "Commit":
            self._write("Ack", {"turn": self.turn})
            return True
        elif name == "Roster":
            self.lists[fields["ref"]] = tuple(_entry(row) for row in fields["members_list"])
        else:
            self._instance(name, fields)
        return False

    def _instance(self, name: str, fields: Fields) -> None:
        instance = fields["i"]
        if name == "OpenInstance":
            env = fields["env"]
            settings = settings_from(json.loads(env) if isinstance(env, str) else env)
            self.gateways[instance] = self.create_gateway(instance, settings, fields["rng_seed"])
        elif name == "Destroy":
            self.gateways.pop(instance, None)
        elif name == "Discovery":
            kind = LIST_KIND[fields["scope"]]
            entries = () if kind is api.ListKind.FAILED else self.lists[fields["ref"]]
            self._deliver(instance, api.ServerList(kind, entries, fields["epoch"] or 0))
        elif name in EVENTS:
            self._deliver(instance, EVENTS[name](fields))
        else:
            raise WireError(f"unknown message {name!r}")

    def _deliver(self, instance: str, event: api.Event) -> None:
        gateway = self.gateways.get(instance)
        if gateway is None:
            raise WireError(f"message for instance {instance!r}, which is not open")
        try:
            actions = gateway.handle(self.now_ms, event)
        except Exception as error:  # noqa: BLE001  the protocol requires each failure to be reported
            self._write("BailOut", {"i": instance, "what": f"{type(error).__name__}: {error}"})
            return
        for action in actions:
            name, fields = ACTIONS[type(action)](action)
            self._write(name, {"i": instance, **fields})

    def _write(self, name: str, fields: Fields) -> None:
        self.reply.append(json.dumps({name: fields}, separators=(",", ":")))


def _process_line(host: GatewayHost, line: str) -> bool:
    """Pass one line of input to the host. Raises WireError that says what is wrong with the line."""
    try:
        message = json.loads(line)
    except ValueError as error:
        raise WireError(f"not JSON: {error}") from None
    if not isinstance(message, dict) or len(message) != 1:
        raise WireError("a message must be a JSON object with a single key, its name")
    ((name, fields),) = message.items()
    if not isinstance(fields, dict):
        raise WireError(f"{name}: the fields are not a JSON object")
    try:
        return host.process_message(name, fields)
    except KeyError as error:
        raise WireError(f"{name}: a field is missing or has an unknown value: {error}") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise WireError(f"{name}: {error}") from None


def serve(source: TextIO, sink: TextIO, create_gateway: GatewayFactory = unrecorded_gateway) -> None:
    """Read batches from ``source`` and write the replies to ``sink`` until the input ends."""
    host = GatewayHost(create_gateway)
    for line in source:
        if line.strip() and _process_line(host, line):
            sink.write("\n".join(host.reply) + "\n")
            sink.flush()
            host.reply.clear()


def main(create_gateway: GatewayFactory = unrecorded_gateway) -> int:
    """Run the adapter; returns 0 at the end of the input, or 1 after an error message if it is malformed."""
    try:
        serve(sys.stdin, sys.stdout, create_gateway)
    except WireError as error:
        print(f"quota_gateway.simulator_adapter: malformed input, exiting: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
