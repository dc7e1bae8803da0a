"""Injects faults into gateways' processes, and does to them what operators do: signals, starts, upgrades."""

from __future__ import annotations

import resource
import shutil
import signal

from quota_gateway.fault_bench.processes import CpuHog, ManagedGateway
from quota_gateway.fault_bench.scenario import Step
from quota_gateway.fault_bench.undo import Undo, undo_nothing

LIMITS = {
    "descriptors": resource.RLIMIT_NOFILE,
    "memory": resource.RLIMIT_AS,
    "full": resource.RLIMIT_FSIZE,  # what is written to a file fails, as on a full disk
}
SPINNING_PROCESSES = 3  # that compete with a gateway for its core


async def carry_out(step: Step, managed: ManagedGateway) -> Undo:
    """Carry out a step on a gateway; returns what undoes it. Raises ValueError for an unknown fault.

    The timeline itself carries out steps that call an admin endpoint.
    """
    match step.do:
        case "kill":
            return _kill(managed)
        case "stop":
            return _stop(managed)
        case "busy":
            cpu_hog = CpuHog()
            await cpu_hog.start(managed, SPINNING_PROCESSES)
            return cpu_hog.close
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
            raise ValueError(f"{step.do}: unknown fault of processes")
    return undo_nothing


def _kill(managed: ManagedGateway) -> Undo:
    managed.signal(signal.SIGKILL)

    async def start_again() -> None:
        for process in managed.processes:
            await process.child.wait()
        shutil.rmtree(managed.tmp)  # private to the gateway, and empty at each start
        managed.tmp.mkdir()
        await managed.start()

    return start_again


def _stop(managed: ManagedGateway) -> Undo:
    stopped = [process for process in managed.processes if process.alive]
    for process in stopped:
        process.signal(signal.SIGSTOP)

    async def resume() -> None:
        for process in stopped:
            process.signal(signal.SIGCONT)

    return resume


def _limit(managed: ManagedGateway, limit_id: int, amount: int) -> Undo:
    """Lower a kernel limit (bytes, or descriptors); undoing raises it to the bench's own hard limit."""
    managed.limit(limit_id, amount)

    async def raise_limit() -> None:
        managed.limit(limit_id, resource.getrlimit(limit_id)[1])

    return raise_limit


def _remove_folder(managed: ManagedGateway) -> Undo:
    shutil.rmtree(managed.tmp)

    async def make_folder() -> None:
        managed.tmp.mkdir(exist_ok=True)

    return make_folder
