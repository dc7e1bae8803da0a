"""The type of the calls that undo a step of the timeline."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

Undo = Callable[[], Awaitable[None]]


async def undo_nothing() -> None:
    """Undo a step that leaves nothing to undo."""
