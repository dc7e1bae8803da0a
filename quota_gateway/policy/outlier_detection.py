"""Health: the share of failures that a server shows, apart for its class and for its plan."""

from quota_gateway.api import Status
from quota_gateway.state import Context, FailureRates, PendingRequest, Server

DOUBT_PRIOR = 1.0  # answers that the share seen at all servers weighs against a server's own
DOUBTED = 0.5  # share of failures from which a slow attempt is taken elsewhere, and a line is logged
# Which of a pending's keys a failure speaks of: the whole server, its class, its class of its plan.
FAULTS = {Status.CONNECT_FAILED: 0, Status.RESET: 0, Status.ERROR: 1, Status.OVERLOADED: 2}
Priors = tuple[float, float]


class OutlierDetection:
    """Owns the shares of failures: of servers, and of all together (those of no class by zone)."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.shares = FailureRates(context.decay, DOUBT_PRIOR)

    def judge(self, pending: PendingRequest, server: Server, status: Status) -> None:
        """Note an outcome; attempts that wait in vain are noted as they become slow. A server that turns one
        away as full may do so to its class and plan alone, and others go on there.
        """
        if status is Status.OK:
            for key in pending.failure_keys:
                self.mark(server, key, failed=False)
        elif status in FAULTS:
            self.mark(server, pending.failure_keys[FAULTS[status]], failed=True, why=status.value)

    def mark(self, server: Server, key: str, failed: bool, why: str = "") -> None:
        """Note how an attempt went, for its server and for all."""
        self.shares.note(server, key, key or server.zone, failed)
        if failed and self.doubted(server, key):
            self.context.log_once(f"server {server.id} doubted{' for ' if key else ''}{key}: {why}")

    def doubted(self, server: Server, key: str) -> bool:
        """Whether a server fails so often that a slow attempt is taken elsewhere."""
        prior = self.shares.prior(key or server.zone)
        return self.shares.worst(server, (key,), (prior,)) >= DOUBTED

    def priors(self, pending: PendingRequest) -> Priors:
        """What all servers showed to the request's class and plan: the same for each that is compared."""
        return self.shares.prior(pending.failure_keys[1]), self.shares.prior(pending.failure_keys[2])

    def doubt(self, pending: PendingRequest, server: Server, priors: Priors) -> float:
        """How likely the request fails there, 0 to 1.

        Guards against silent, half-working and refusing servers, for all requests or a class or plan: who was
        answered there goes there again, who was not goes elsewhere; while many fail, servers not tried yet
        come after those that answered. Nothing is closed: the best of bad servers still gets work. Harm: slow
        answers by chance turn requests away from a good server.
        """
        shares = self.shares
        return shares.worst(server, pending.failure_keys, (shares.prior(server.zone), *priors))
