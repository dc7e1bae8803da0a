"""Replaces files of targets and of the controller atomically."""

from __future__ import annotations

import os
from pathlib import Path


def replace_file(path: Path, data: bytes) -> None:
    """Replace a file's content atomically; it is on disk when this returns.

    Raises:
        OSError: it can't be written; the old content stays.
    """
    temporary = path.with_name(path.name + ".rollout")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
