"""What operators decide: servers that are out by hand, and the drain of this gateway."""

from quota_gateway.api import DrainChanged, ServerAdminDown, SetServerUsable, SetServing
from quota_gateway.policy.endpoint_list import EndpointList
from quota_gateway.state import Context

MOST_OUT = 1024  # servers out by hand at once
OWED_MS = 1500.0  # after it is put back a server is used, whether its turn has come or not
LEAVING_MS = (800.0, 1500.0)  # into a drain: connections close as they are answered; all that are idle close
IDLE_MS = 300.0  # without a request a connection is closed in the first of these steps
ELSEWHERE_MS = 200.0  # advice to a client that comes after all: the front has sent nobody for longer


class Operators:
    """Owns which servers are out by hand (``Fleet.out``), and the steps of a drain."""

    def __init__(self, context: Context, endpoint_list: EndpointList) -> None:
        self.context = context
        self.endpoint_list = endpoint_list
        self.endpoints = endpoint_list.endpoints
        self.drains = 0  # how many times the drain began or ended: timers of an older one do nothing
        self.draining = self.left = False  # whether a drain is on, and whether its last step has come

    def by_hand(self, event: ServerAdminDown) -> bool:
        """Take a server out, or put it back; said twice it changes nothing (false). One put back counts as
        just started: operators restart what they take out, and discovery may not tell for seconds.
        """
        out = self.endpoints.out
        now = self.context.now
        if event.admin_down == (event.server in out) or (event.admin_down and len(out) >= MOST_OUT):
            return False
        if event.admin_down:
            self.endpoints.take_out(event.server)
        else:
            self.endpoints.put_back(event.server, now, now + OWED_MS)
        self.endpoint_list.relist()
        self.context.actions.append(SetServerUsable(event.server, not event.admin_down))
        return True

    def drain(self, event: DrainChanged) -> None:
        """The front is told at once; clients' connections are closed when it has long taken notice."""
        if event.active == self.draining:
            return
        self.draining = event.active
        self.left = False
        self.drains += 1
        self.context.actions.append(SetServing(not event.active))
        self.context.log("drained by hand" if event.active else "takes clients again")
        if event.active:
            for delay, linger in zip(LEAVING_MS, (IDLE_MS, 0.0), strict=True):
                self.context.arm(delay, self._on_leaving, (self.drains, linger))

    def _on_leaving(self, step: tuple[int, float]) -> None:
        drain, linger = step
        if drain == self.drains:
            self.left = linger == 0.0
            self.context.actions.append(SetServing(False, linger))
