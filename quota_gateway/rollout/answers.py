"""Texts in answers of gateways and of platform commands that the controller's decisions depend on.

The comment on each constant names the module that prints the text. Gateways of other versions print the
texts, too, so they are part of the interface and must not change.
"""

from __future__ import annotations

# ---- Admin endpoint: the first word of an answer (net/admin.py)
ACCEPTED = "YES"
REJECTED = "NO"

# ---- Admin endpoint: texts that a rejection begins with or contains
OLDER_TOKEN = "an older token"  # net/admin.py, also printed by the launcher: the caller's token is outdated
NOT_DONE = "not done"  # net/admin.py: the command was received, but not finished in time
UNKNOWN_COMMAND = "no such call"  # net/admin.py: this version does not know the command
HANDED_OVER = "has taken over"  # net/admin_commands.py, HEALTH: another process serves in its place
NO_PREDECESSOR = "no process beside"  # net/hot_restart/hot_restart.py, RETIRE: no predecessor to end

# ---- Admin endpoint: contained in the answer to CONFIG (net/reload.py)
ON_TRIAL = "on trial"

# ---- Output of the platform's start command, see docs/on-call.md
STARTED = "started"  # no process had this admin address
RUNNING = "running"  # a process with this admin address was running before
