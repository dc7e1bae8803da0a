"""Finds the last line of a program's output or log, which usually says why the program ended."""

from __future__ import annotations

from pathlib import Path

LOG_TAIL_BYTES = 2000  # at the end of a log that are searched for its last line


def last_line(text: str) -> str:
    """The last line that is not blank; empty if there is none."""
    return next((line for line in reversed(text.split("\n")) if line.strip()), "")


def last_line_of_log(log: Path) -> str:
    """The last line of a log file that is not blank. Raises OSError."""
    with log.open("rb") as file:
        file.seek(max(0, log.stat().st_size - LOG_TAIL_BYTES))
        return last_line(file.read().decode(errors="replace"))
