"""Calls the targets' admin endpoints, with the controller's token."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from quota_gateway.errors import RolloutError
from quota_gateway.rollout.answers import ACCEPTED, OLDER_TOKEN, ON_TRIAL, REJECTED
from quota_gateway.rollout.figures import GatewayFigures
from quota_gateway.rollout.plan import Target
from quota_gateway.rollout.retry import NotYetError

CALL_TIMEOUT_S = 2.0  # an admin endpoint answers within one second
MAX_ANSWER_BYTES = 64 * 1024
MAX_CONCURRENT_CALLS = 32  # over all targets
CONFIGURATION_DIGEST = re.compile(r"digest ([0-9a-f]+)")


class UnreachableError(NotYetError):
    """A target's admin endpoint gave no answer, or none that can be used; the call may be repeated."""


class FencedError(RolloutError):
    """Another controller has called with a higher token, so this controller must stop."""


@dataclass(frozen=True, slots=True)
class AdminAnswer:
    """An admin endpoint's answer: whether it accepted the command, and the text that follows."""

    accepted: bool
    text: str


@dataclass(frozen=True, slots=True)
class ConfigurationInForce:
    """The configuration that a target uses: the digest of its file, and whether it is on trial."""

    digest: str
    on_trial: bool


class AdminClients:
    """Clients of all targets' admin endpoints.

    Attributes:
        sends_token: whether calls carry the token. The gateway takes a call without a token for an
            operator's, so it does not make the gateway reject other controllers.
    """

    def __init__(self, targets: Iterable[Target], token: int) -> None:
        self._addresses = {target.name: target.admin_address for target in targets}
        self.token = token
        self.sends_token = True
        self.concurrent_calls = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    def use_address(self, target: str, address: str) -> None:
        """Set which of a target's processes is called; at first it is the one at the plan's admin address.

        In a program rollout that is the predecessor until the successor has taken over, then the successor,
        and the predecessor again after a rollback.
        """
        self._addresses[target] = address

    async def call(self, target: str, command: str, address: str = "") -> AdminAnswer:
        """Send a command to a target's process.

        Args:
            target: the target's name.
            command: the command with its arguments.
            address: admin address to call instead of the one set by `use_address`.

        Raises:
            UnreachableError: there was no answer, or it was not an admin endpoint's.
            FencedError: the token is outdated; even commands that only read are rejected then.
        """
        line = f"AS {self.token} {command}" if self.sends_token else command
        answer = await self._exchange(target, address or self._addresses[target], line)
        word, _, text = answer.partition(" ")
        if word not in (ACCEPTED, REJECTED):
            raise UnreachableError(f"{target}: the answer to {command} is not an admin endpoint's")
        if word == REJECTED and text.startswith(OLDER_TOKEN):
            raise FencedError(f"{target}: {text}")
        return AdminAnswer(word == ACCEPTED, text)

    async def _exchange(self, target: str, address: str, line: str) -> str:
        host, _, port = address.rpartition(":")
        writer = None
        try:
            async with self.concurrent_calls, asyncio.timeout(CALL_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port), limit=MAX_ANSWER_BYTES)
                writer.write(line.encode() + b"\n")
                return (await reader.readline()).decode().strip()
        except (OSError, TimeoutError, ValueError) as error:  # ValueError: the line is too long or not UTF-8
            raise UnreachableError(
                f"{target}: call to its admin endpoint failed: {error or type(error).__name__}"
            ) from None
        finally:
            if writer:
                writer.close()

    async def health(self, target: str, address: str) -> AdminAnswer:
        """Ask the process at an address whether it serves. Raises UnreachableError or FencedError."""
        return await self.call(target, "HEALTH", address)

    async def retire(self, target: str, address: str) -> AdminAnswer:
        """Ask the process at an address to end the predecessor. Raises UnreachableError or FencedError."""
        return await self.call(target, "RETIRE", address)

    async def reload_on_trial(self, target: str, trial_s: int) -> AdminAnswer:
        """Make a target load its configuration file on trial, or restart the trial's time.

        Unless the trial is confirmed or restarted within ``trial_s`` seconds, the gateway goes back to the
        configuration before. Raises UnreachableError or FencedError.
        """
        return await self.call(target, f"RELOAD CONFIRM {trial_s}")

    async def reload(self, target: str) -> AdminAnswer:
        """Make a target load its configuration file. Raises UnreachableError or FencedError."""
        return await self.call(target, "RELOAD")

    async def confirm_trial(self, target: str) -> AdminAnswer:
        """Make the configuration on trial permanent. Raises UnreachableError or FencedError."""
        return await self.call(target, "CONFIRM")

    async def end_trial(self, target: str) -> AdminAnswer:
        """Go back to the configuration before the trial. Raises UnreachableError or FencedError."""
        return await self.call(target, "ROLLBACK")

    async def configuration(self, target: str) -> ConfigurationInForce:
        """Ask for the configuration in force. Raises UnreachableError or FencedError."""
        answer = await self.call(target, "CONFIG")
        found = CONFIGURATION_DIGEST.search(answer.text)
        if not answer.accepted or found is None:
            raise UnreachableError(f"{target}: CONFIG gave no digest: {answer.text}")
        return ConfigurationInForce(found[1], ON_TRIAL in answer.text)

    async def figures(self, target: str) -> GatewayFigures:
        """Read the counts since the start of a target's process. Raises UnreachableError or FencedError."""
        answer = await self.call(target, "FIGURES")
        try:
            return msgspec.json.decode(answer.text if answer.accepted else "", type=GatewayFigures)
        except msgspec.MsgspecError as error:
            raise UnreachableError(f"{target}: invalid answer to FIGURES: {error}") from None
