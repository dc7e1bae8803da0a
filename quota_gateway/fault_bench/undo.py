"""How a step of the timeline is undone."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

Undo = Callable[[], Awaitable[None]]


async def nothing() -> None:
    """There is nothing to undo."""
