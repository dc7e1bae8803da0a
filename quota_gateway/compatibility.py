"""Names of earlier versions that stored data, plans and other processes still use."""

from __future__ import annotations

from pathlib import Path

EARLIER_PACKAGE = "brackenloft"
RECORDING_HEAD = b'["brackenloft recording",1]'  # first line of a recording, version 1
# Command of a version where a plan names none. It runs in the tree of every version, and a plan's
# fingerprint, which a rollout's journal keeps, covers it.
DEFAULT_COMMAND = f"exec .venv/bin/python -m {EARLIER_PACKAGE}"


def package_in(tree: Path) -> str:
    """Name of the gateway's package in the tree of this version or of an earlier one."""
    package = __name__.partition(".")[0]
    return package if (tree / package).is_dir() else EARLIER_PACKAGE
