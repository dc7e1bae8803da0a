"""Rollouts on the rig: plans over its members, and the processes that carry them out.

The controller is a process of its own, as on the operators' side; it sees doors and platform over links like
any other party's, and ends with the rig.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec

from quota_gateway.fault_bench import history as seen
from quota_gateway.fault_bench.bench import PLACES, Rig
from quota_gateway.fault_bench.platform import START, STOP
from quota_gateway.fault_bench.processes import BOUND, Program
from quota_gateway.rollout import journal as told
from quota_gateway.rollout.launcher import last_line
from quota_gateway.rollout.plan import Version

CONTROLLER = ("-m", "quota_gateway.rollout")
LAUNCH = BOUND + "os.execv(sys.executable, [sys.executable, *sys.argv[2:]])"
LONGEST_LINE = 300  # characters of it that are told on
ROOT = Path(__file__).parents[2]
Fields = dict[str, Any]


def changed(document: Fields, changes: Fields) -> Fields:
    """A configuration with other values at dotted paths, as ``settings.tariffs.0.refill``.

    Raises KeyError, IndexError or ValueError where there is no such place.
    """
    made: Fields = json.loads(json.dumps(document))
    for path, value in changes.items():
        *way, last = path.split(".")
        at: Any = made
        for word in way:
            at = at[int(word)] if isinstance(at, list) else at[word]
        if isinstance(at, dict) and last not in at:
            raise KeyError(f"{path}: no such field")
        at[int(last) if isinstance(at, list) else last] = value
    return made


class Rollouts:
    """Plans by name, each in a file beside its journal; the controllers that run them."""

    def __init__(self, rig: Rig, folder: Path) -> None:
        self.rig = rig
        self.folder = folder
        self.plans: dict[str, Path] = {}
        self.controllers: list[asyncio.subprocess.Process] = []
        folder.mkdir(parents=True, exist_ok=True)

    # ---- Plans

    def doors(self, gateway: str, *ways: str) -> list[str]:
        """Addresses of a gateway's doors, as who calls from outside knows them."""
        return ["{}:{}".format(*self.rig.links[f"{way}>{gateway}"].at) for way in ways]

    def settings(self, name: str, changes: Fields, fields: Fields) -> dict[str, bytes]:
        """A plan that changes all members' settings; their new files' contents."""
        members = []
        files = {}
        for gateway, member in self.rig.members.items():
            files[gateway] = json.dumps(changed(member.document, changes)).encode()
            (self.folder / f"{name}-{gateway}").write_bytes(files[gateway])
            (door,) = self.doors(gateway, "doors")
            members.append(
                {
                    "name": gateway,
                    "door": door,
                    "config": str(member.config),
                    "zone": member.document["settings"]["locality"],
                }
            )
        self._write(name, {"settings": f"{name}-{{name}}", **fields}, members)
        return files

    def program(self, name: str, after: Program, before: Program, fields: Fields) -> None:
        """A plan that changes all members' program."""
        words = [
            sys.executable,
            "-m",
            "quota_gateway.fault_bench.platform_client",
            "{}:{}".format(*self.rig.links["controller>platform"].at),
        ]
        versions = {"before": before, "after": after}
        given = {
            f"program.{when}": msgspec.to_builtins(Version(str(one.folder), one.command))
            for when, one in versions.items()
        }
        given |= {"program.start": [*words, *START], "program.stop": [*words, *STOP]}
        members = []
        for gateway, member in self.rig.members.items():
            first, second = self.doors(gateway, *PLACES)
            members.append(
                {
                    "name": gateway,
                    "door": first,
                    "next_door": second,
                    "config": str(member.config),
                    "folder": str(member.tmp),
                    "zone": member.document["settings"]["locality"],
                }
            )
        self._write(name, given | fields, members)

    def _write(self, name: str, fields: Fields, members: list[Fields]) -> None:
        path = self.plans[name] = self.folder / f"{name}.toml"
        rows = {"name": name, "journal": f"{name}.journal", "members": members, **fields}
        path.write_text("".join(f"{key} = {_toml(value)}\n" for key, value in rows.items()))

    def state(self, name: str) -> told.State:
        """What a plan's journal says; as if nothing had begun where there is none."""
        try:
            return told.read(self.plans[name].with_suffix(".journal"))
        except OSError:
            return told.State()

    # ---- Controllers

    async def control(
        self,
        plan: Path,
        call: str = "start",
        controller: Sequence[str] = CONTROLLER,
    ) -> asyncio.subprocess.Process:
        """A process that carries a plan out, or says something to the one that does."""
        with (self.folder / "controller.log").open("ab") as sink:
            child = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                LAUNCH,
                str(os.getpid()),
                *controller,
                call,
                str(plan),
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=sink,
                stderr=sink,
                start_new_session=True,
            )
        self.controllers.append(child)
        return child

    async def run(self, name: str) -> None:
        """Begin a plan, or go on with it; its end stands in the history."""
        child = await self.control(self.plans[name])
        code = await child.wait()
        state = self.state(name)
        self.rig.history.add(
            seen.Act(
                self.rig.clock.now, -1, "rollout", [name], True, f"{code}: {state.outcome or state.turned}"
            )
        )

    def signal(self, number: int) -> None:
        """To all controllers that live."""
        for child in self.controllers:
            if child.returncode is None:
                with suppress(ProcessLookupError):
                    child.send_signal(number)

    async def close(self) -> None:
        """End what lives, and wait for it."""
        self.signal(signal.SIGKILL)
        for child in self.controllers:
            await child.wait()

    def last_line(self) -> str:
        """What a controller has said last."""
        return last_line(self.log())[:LONGEST_LINE]

    def log(self) -> str:
        """What all controllers have said."""
        path = self.folder / "controller.log"
        return path.read_text(errors="replace") if path.exists() else ""


def _toml(value: Any) -> str:
    """A value on one line; tables inline."""
    if isinstance(value, dict):
        return "{" + ", ".join(f"{key} = {_toml(one)}" for key, one in value.items()) + "}"
    if isinstance(value, list | tuple):
        return "[" + ", ".join(map(_toml, value)) + "]"
    return json.dumps(value)
