"""Names from earlier versions that stored data, rollout plans and other processes still use."""

from __future__ import annotations

from pathlib import Path

EARLIER_PACKAGE = "brackenloft"
RECORDING_HEAD = b'["brackenloft recording",1]'  # first line of a recording, version 1
# Command that starts a version if the rollout plan names none. It runs in the tree of every version, and
# must not change: it is part of a plan's fingerprint, which the rollout's journal stores.
DEFAULT_COMMAND = f"exec .venv/bin/python -m {EARLIER_PACKAGE}"


def package_in(tree: Path) -> str:
    """Name of the gateway's package in a source tree, which may be that of an earlier version."""
    package = __name__.partition(".")[0]
    return package if (tree / package).is_dir() else EARLIER_PACKAGE
