"""Faults of links: what happens to the connections between two parties."""

from __future__ import annotations

from collections.abc import Sequence

from quota_gateway.fault_bench.relay import Link
from quota_gateway.fault_bench.scenario import Step
from quota_gateway.fault_bench.undo import Undo, nothing


async def carry_out(step: Step, links: Sequence[Link]) -> Undo:
    """Do to the links what the step says."""
    match step.do:
        case "partition" | "silent":
            return _silence(links, step)
        case "refuse":
            return await _refuse(links)
        case "reset" | "lose":
            for link in links:
                link.reset(step.do == "lose")
            return nothing
        case "delay" | "cut":
            return _weather(links, step)
        case _:
            raise ValueError(f"{step.do}: no fault of links")


def _silence(links: Sequence[Link], step: Step) -> Undo:
    """Nothing gets through any more, in the step's direction; the ends notice nothing."""
    for link in links:
        link.silence(step.way)

    async def heal() -> None:
        for link in links:
            link.silence(step.way, False)

    return heal


async def _refuse(links: Sequence[Link]) -> Undo:
    """New connections are refused."""
    for link in links:
        await link.refuse()

    async def heal() -> None:
        for link in links:
            await link.refuse(False)

    return heal


def _weather(links: Sequence[Link], step: Step) -> Undo:
    """Bytes are delayed, or the connection is cut in the middle of what is sent."""
    ways = [weather for link in links for weather in link.weather(step.way)]
    for weather in ways:
        if step.do == "delay":
            weather.delay = step.amount / 1000.0
            weather.jitter = step.jitter / 1000.0
        else:
            weather.cut = int(step.amount)

    async def heal() -> None:
        for weather in ways:
            weather.delay = 0.0
            weather.jitter = 0.0
            weather.cut = None

    return heal
