"""Injects the faults of servers and of discovery."""

from __future__ import annotations

from collections.abc import Sequence

from quota_gateway import api
from quota_gateway.fault_bench.bench import FaultBench
from quota_gateway.fault_bench.scenario import Step
from quota_gateway.fault_bench.stand_ins import Discovery, StandInServer
from quota_gateway.fault_bench.undo import Undo


def carry_out(step: Step, servers: Sequence[StandInServer], bench: FaultBench) -> Undo:
    """Inject the step's fault into servers; returns what undoes it. Raises ValueError if it is unknown."""
    for server in servers:
        match step.do:
            case "slow":
                server.model.slowdown = step.amount
            case "failing":
                server.model.failing = True
            case "mute":
                server.mute = True
            case "drain" | "release":
                bench.set_state(server, api.ServerState.DRAINING)
            case _:
                raise ValueError(f"{step.do}: unknown fault of servers")

    async def restore() -> None:
        for server in servers:
            server.model.slowdown = 1.0
            server.model.failing = False
            server.mute = False
            if step.do == "release":
                server.model.restart()
            if step.do in ("release", "drain"):
                bench.set_state(server, api.ServerState.READY)

    return restore


def disturb_discovery(step: Step, discovery: Discovery) -> Undo:
    """Set discovery's clock ahead, or make discovery fail; returns what undoes it."""
    if step.do == "skew":
        discovery.clock_ahead_ms += step.amount
    else:
        discovery.fail(True)

    async def restore() -> None:
        if step.do == "skew":
            discovery.clock_ahead_ms -= step.amount
        else:
            discovery.fail(False)

    return restore
