"""Injects the faults of links: they affect all connections between two parties."""

from __future__ import annotations

from collections.abc import Sequence

from quota_gateway.fault_bench.relay import Link
from quota_gateway.fault_bench.scenario import Step
from quota_gateway.fault_bench.undo import Undo, undo_nothing


async def carry_out(step: Step, links: Sequence[Link]) -> Undo:
    """Inject the step's fault into the links; returns what undoes it. Raises ValueError if it is unknown."""
    match step.do:
        case "partition" | "silent":
            return _silence(links, step)
        case "refuse":
            return await _refuse(links)
        case "reset" | "lose":
            for link in links:
                link.reset(step.do == "lose")
            return undo_nothing
        case "delay" | "cut":
            return _impair(links, step)
        case _:
            raise ValueError(f"{step.do}: unknown fault of links")


def _silence(links: Sequence[Link], step: Step) -> Undo:
    """Let nothing through in the step's direction; the parties see neither an error nor a close."""
    for link in links:
        link.silence(step.way)

    async def heal() -> None:
        for link in links:
            link.silence(step.way, False)

    return heal


async def _refuse(links: Sequence[Link]) -> Undo:
    """Refuse new connections."""
    for link in links:
        await link.refuse()

    async def heal() -> None:
        for link in links:
            await link.refuse(False)

    return heal


def _impair(links: Sequence[Link], step: Step) -> Undo:
    """Delay data, or reset a connection in the middle of its data, after a number of bytes."""
    impairments = [impairment for link in links for impairment in link.impairments_of(step.way)]
    for impairment in impairments:
        if step.do == "delay":
            impairment.delay = step.amount / 1000.0
            impairment.jitter = step.jitter / 1000.0
        else:
            impairment.bytes_until_reset = int(step.amount)

    async def heal() -> None:
        for impairment in impairments:
            impairment.delay = 0.0
            impairment.jitter = 0.0
            impairment.bytes_until_reset = None

    return heal
