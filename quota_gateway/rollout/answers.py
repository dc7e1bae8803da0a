"""Words of other processes that a rollout decides by, each with the module that prints it.

Gateways of other versions print them, too: they are part of the interface and stay as they are.
"""

from __future__ import annotations

# ---- Admin endpoint: the first word of an answer (net/admin.py)
ACCEPTED = "YES"
REJECTED = "NO"

# ---- Admin endpoint: how the text of a rejection begins, or what stands in it
OLDER_TOKEN = "an older token"  # net/admin.py, also printed by the launcher: the caller's token is outdated
NOT_DONE = "not done"  # net/admin.py: taken over, but not finished in time
UNKNOWN_COMMAND = "no such call"  # net/admin.py
HANDED_OVER = "has taken over"  # net/admin_commands.py, HEALTH: another process serves in its place
NO_PREDECESSOR = "no process beside"  # net/hot_restart/hot_restart.py, RETIRE: nothing to end

# ---- Admin endpoint: what stands in the text of CONFIG (net/reload.py)
ON_TRIAL = "on trial"

# ---- The platform's start command, see docs/on-call.md
STARTED = "started"  # no process had this admin address
RUNNING = "running"  # a process with this admin address lives
