"""Rollouts on the fault bench: writes plans for its gateways, and starts the controllers that carry them out.

A controller is a separate process, as it is for operators. It reaches the gateways' admin endpoints and the
platform over links, which faults can disturb like all others, and ends with the bench.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import Mapping, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec

from quota_gateway.fault_bench import records
from quota_gateway.fault_bench.bench import ADMIN_CALLERS, FaultBench
from quota_gateway.fault_bench.platform import START_WORDS, STOP_WORDS
from quota_gateway.fault_bench.processes import DIE_WITH_PARENT, ManagedGateway, Program
from quota_gateway.rollout import journal
from quota_gateway.rollout.plan import ProgramVersion, Target
from quota_gateway.rollout.program_output import last_line
from quota_gateway.rollout.rollout_state import RolloutState

CONTROLLER = ("-m", "quota_gateway.rollout")
LAUNCH = DIE_WITH_PARENT + "os.execv(sys.executable, [sys.executable, *sys.argv[2:]])"
MAX_LINE_CHARACTERS = 300  # of a controller's last log line in a report
NO_STEP = -1  # step number in the history's record of a rollout's end, which is not a step
ROOT = Path(__file__).parents[2]
Fields = dict[str, Any]


def changed_document(document: Fields, changes: Mapping[str, Any]) -> Fields:
    """A copy of a configuration with changed values at dotted paths, such as ``settings.tariffs.0.refill``.

    Raises:
        KeyError: a path names a field that does not exist.
        IndexError: a path names an element that a list does not have.
        ValueError: a path has something else than a number for a list's element.
    """
    copy: Fields = json.loads(json.dumps(document))
    for path, value in changes.items():
        *parents, last = path.split(".")
        node: Any = copy
        for key in parents:
            node = node[int(key)] if isinstance(node, list) else node[key]
        if isinstance(node, dict) and last not in node:
            raise KeyError(f"{path}: the configuration has no such field")
        node[int(last) if isinstance(node, list) else last] = value
    return copy


class Rollouts:
    """Holds plans by name, each in a file beside its journal, and the controllers that carry them out."""

    def __init__(self, bench: FaultBench, folder: Path) -> None:
        self.bench = bench
        self.folder = folder
        self.plans: dict[str, Path] = {}
        self.controllers: list[asyncio.subprocess.Process] = []
        folder.mkdir(parents=True, exist_ok=True)

    # ---- Plans

    def write_settings_plan(self, name: str, changes: Mapping[str, Any], fields: Fields) -> dict[str, bytes]:
        """Write a plan that changes all gateways' settings; returns their new configuration files."""
        targets = []
        files = {}
        for gateway, managed in self.bench.managed_gateways.items():
            files[gateway] = json.dumps(changed_document(managed.document, changes)).encode()
            (self.folder / f"{name}-{gateway}").write_bytes(files[gateway])
            address = self._admin_address(gateway, "doors")
            targets.append(Target(gateway, address, str(managed.config), _zone(managed)))
        self._write_plan(name, {"settings": f"{name}-{{name}}", **fields}, targets)
        return files

    def write_program_plan(self, name: str, after: Program, before: Program, fields: Fields) -> None:
        """Write a plan that replaces all gateways' program ``before`` by ``after``."""
        platform = "{}:{}".format(*self.bench.links["controller>platform"].listen_address)
        client = (sys.executable, "-m", "quota_gateway.fault_bench.platform_client", platform)
        change = {
            "program.before": msgspec.to_builtins(_version(before)),
            "program.after": msgspec.to_builtins(_version(after)),
            "program.start": [*client, *START_WORDS],
            "program.stop": [*client, *STOP_WORDS],
        }
        targets = []
        for gateway, managed in self.bench.managed_gateways.items():
            address, next_address = (self._admin_address(gateway, caller) for caller in ADMIN_CALLERS)
            targets.append(
                Target(
                    gateway,
                    address,
                    str(managed.config),
                    _zone(managed),
                    next_admin_address=next_address,
                    runtime_folder=str(managed.tmp),
                )
            )
        self._write_plan(name, change | fields, targets)

    def _admin_address(self, gateway: str, caller: str) -> str:
        """The address of a gateway's admin endpoint on the link from ``caller``."""
        return "{}:{}".format(*self.bench.links[f"{caller}>{gateway}"].listen_address)

    def _write_plan(self, name: str, fields: Fields, targets: Sequence[Target]) -> None:
        path = self.folder / f"{name}.toml"
        members = [msgspec.to_builtins(target) for target in targets]
        rows = {"name": name, "journal": f"{name}.journal", "members": members, **fields}
        path.write_text("".join(f"{key} = {_toml(value)}\n" for key, value in rows.items()))
        self.plans[name] = path

    def state(self, name: str) -> RolloutState:
        """The state of a rollout by its journal; the initial state if there is no journal."""
        try:
            return journal.read(self.plans[name].with_suffix(".journal"))
        except OSError:
            return RolloutState()

    # ---- Controllers

    async def start_controller(
        self,
        plan: Path,
        command: str = "start",
        program: Sequence[str] = CONTROLLER,
    ) -> asyncio.subprocess.Process:
        """Start a controller: it carries out a plan, or leaves a command for the controller that does."""
        with (self.folder / "controller.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                LAUNCH,
                str(os.getpid()),
                *program,
                command,
                str(plan),
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.controllers.append(process)
        return process

    async def run(self, name: str) -> None:
        """Start or continue a rollout until its controller ends, and record the end in the history."""
        process = await self.start_controller(self.plans[name])
        exit_code = await process.wait()
        state = self.state(name)
        end = f"{exit_code}: {state.outcome or state.rollback_reason}"
        self.bench.history.add(
            records.StepCarriedOut(self.bench.clock.now, NO_STEP, "rollout", [name], True, end)
        )

    def signal_controllers(self, number: int) -> None:
        """Send a signal to all running controllers."""
        for process in self.controllers:
            if process.returncode is None:
                with suppress(ProcessLookupError):
                    process.send_signal(number)

    async def close(self) -> None:
        """Kill all running controllers, and wait until they have ended."""
        self.signal_controllers(signal.SIGKILL)
        for process in self.controllers:
            await process.wait()

    def last_line(self) -> str:
        """The last line that a controller has logged, shortened."""
        return last_line(self.log())[:MAX_LINE_CHARACTERS]

    def log(self) -> str:
        """The log of all controllers."""
        path = self.folder / "controller.log"
        return path.read_text(errors="replace") if path.exists() else ""


def _zone(managed: ManagedGateway) -> str:
    return str(managed.document["settings"]["locality"])


def _version(program: Program) -> ProgramVersion:
    return ProgramVersion(str(program.folder), program.command)


def _toml(value: Any) -> str:
    """A value as TOML on one line, with inline tables."""
    if isinstance(value, dict):
        return "{" + ", ".join(f"{key} = {_toml(item)}" for key, item in value.items()) + "}"
    if isinstance(value, list | tuple):
        return "[" + ", ".join(map(_toml, value)) + "]"
    return json.dumps(value)
