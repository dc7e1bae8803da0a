"""Servers that are administratively down: operators took them out of use, whatever discovery lists."""

from __future__ import annotations

from quota_gateway.api import ServerAdminDown, SetServerUsable
from quota_gateway.policy.endpoint_list import EndpointList
from quota_gateway.state import Context

MAX_ADMIN_DOWN = 1024  # servers at once: bounds what operators can make the gateway store
# A server that is put back gets a request within this time, even if no random choice falls on it.
USE_WITHIN_MS = 1500.0


class AdminDown:
    """Takes servers out of use and puts them back, as operators ask."""

    def __init__(self, context: Context, endpoint_list: EndpointList) -> None:
        self.context = context
        self.endpoint_list = endpoint_list
        self.endpoints = endpoint_list.endpoints

    def on_server_admin_down(self, event: ServerAdminDown) -> bool:
        """Take a server out of use or put it back. Returns whether anything changed.

        A server that is put back counts as just started: operators restart the servers that they take out,
        and discovery may take seconds to report the restart.
        """
        if not self.is_change(event):
            return False
        if event.admin_down:
            self.endpoints.mark_admin_down(event.server)
        else:
            now_ms = self.context.now_ms
            self.endpoints.clear_admin_down(event.server, now_ms, now_ms + USE_WITHIN_MS)
        self.endpoint_list.refresh()
        self.context.actions.append(SetServerUsable(event.server, not event.admin_down))
        return True

    def is_change(self, event: ServerAdminDown) -> bool:
        """Whether an operator's call is no repetition and ``MAX_ADMIN_DOWN`` leaves room for it."""
        admin_down = self.endpoints.admin_down
        if event.admin_down == (event.server in admin_down):
            return False
        return not event.admin_down or len(admin_down) < MAX_ADMIN_DOWN
