"""Faults of gateways' processes, and what operators do to them."""

from __future__ import annotations

import resource
import shutil
import signal

from quota_gateway.fault_bench.processes import ManagedGateway, Neighbour
from quota_gateway.fault_bench.scenario import Step
from quota_gateway.fault_bench.undo import Undo, nothing

LIMITS = {
    "descriptors": resource.RLIMIT_NOFILE,
    "memory": resource.RLIMIT_AS,
    "full": resource.RLIMIT_FSIZE,  # what is written to a file fails, as on a full disk
}
SPINNING_PROCESSES = 3  # that take a gateway's core away


async def carry_out(step: Step, managed: ManagedGateway) -> Undo:
    """Do to a gateway what the step says; an admin call is the timeline's."""
    match step.do:
        case "kill":
            return _kill(managed)
        case "stop":
            return _stop(managed)
        case "busy":
            neighbour = Neighbour()
            await neighbour.start(managed, SPINNING_PROCESSES)
            return neighbour.close
        case "no-folder":
            return _remove_folder(managed)
        case "term":
            managed.signal(signal.SIGTERM)
        case "hup":
            managed.signal(signal.SIGHUP)
        case "start":
            await managed.start()
        case "upgrade":
            await managed.upgrade()
        case "descriptors" | "memory" | "full":
            return _limit(managed, LIMITS[step.do], int(step.amount))
        case _:
            raise ValueError(f"{step.do}: no fault of processes")
    return nothing


def _kill(managed: ManagedGateway) -> Undo:
    managed.signal(signal.SIGKILL)

    async def start_again() -> None:
        for process in managed.processes:
            await process.child.wait()
        shutil.rmtree(managed.tmp)  # private, and empty at each start
        managed.tmp.mkdir()
        await managed.start()

    return start_again


def _stop(managed: ManagedGateway) -> Undo:
    stopped = [process for process in managed.processes if process.alive]
    for process in stopped:
        process.signal(signal.SIGSTOP)

    async def go_on() -> None:
        for process in stopped:
            process.signal(signal.SIGCONT)

    return go_on


def _limit(managed: ManagedGateway, which: int, amount: int) -> Undo:
    """Lower a limit of the kernel's (bytes, or descriptors); lifted to the bench's own hard limit."""
    managed.limit(which, amount)

    async def lift() -> None:
        managed.limit(which, resource.getrlimit(which)[1])

    return lift


def _remove_folder(managed: ManagedGateway) -> Undo:
    shutil.rmtree(managed.tmp)

    async def make_folder() -> None:
        managed.tmp.mkdir(exist_ok=True)

    return make_folder
