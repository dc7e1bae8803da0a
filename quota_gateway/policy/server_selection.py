"""Choice of a server: the best of some that are ready."""

from quota_gateway.api import Idempotency
from quota_gateway.policy.concurrency_limit import ConcurrencyLimit
from quota_gateway.policy.outlier_detection import OutlierDetection, Priors
from quota_gateway.policy.retry_policy import group
from quota_gateway.policy.slow_start import SlowStart
from quota_gateway.state import LoadReports, PendingRequest, Server

QUEUE_WEIGHT = 1.0  # requests out that one reported as waiting stands for
CROSS_WEIGHT = 10.0  # how many times its price a zone crossing weighs against a mean latency
SPREAD = 0.1  # share of a cost drawn at random, so that gateways with the same reports do not choose alike
DOUBT_COST = 6.0  # mean latencies that a failure costs beside a wait: most of a request's worth is lost
SAMPLE = 10  # servers compared for a request, drawn at random, beside those that answered it quickly last


class ServerSelection:
    """Weighs what is known of servers; owns nothing."""

    def __init__(
        self,
        load_reports: LoadReports,
        outlier_detection: OutlierDetection,
        concurrency_limit: ConcurrencyLimit,
        slow_start: SlowStart,
    ) -> None:
        self.context = load_reports.context
        self.load_reports = load_reports
        self.endpoints = load_reports.endpoints
        self.outlier_detection = outlier_detection
        self.latencies = concurrency_limit.latencies
        self.slow_start = slow_start
        self.decay = self.context.decay
        self.random = self.context.random

    def cost(self, pending: PendingRequest, server: Server, priors: Priors) -> float:
        """The wait expected at a server, in mean latencies."""
        load = 1.0 + len(server.attempts_in_flight)
        settings = self.context.settings
        if server.reported_queue:
            load += QUEUE_WEIGHT * server.reported_queue * self.decay.left(server.reported_queue_at)
        doubt = self.outlier_detection.doubt(pending, server, priors)
        cost = self.latencies.ratio(server) * load * (1.0 + DOUBT_COST * doubt)
        if self.load_reports.linking and not server.has_idle_connection:
            cost += DOUBT_COST * settings.handshake_price  # as a failure, and paid once however busy it is
        cost *= self.slow_start.warmth(server)  # who comes in the turn of a cold server should take it
        if server.zone != settings.zone:
            cost *= 1.0 + CROSS_WEIGHT * settings.cross_zone_price
        return cost * (1.0 + SPREAD * self.random.random())

    def first(self, pending: PendingRequest) -> Server | None:
        """For a first attempt: one that is owed a turn, or the best that the request may go to."""
        if owed := self.endpoints.due(self.context.now):
            return owed
        few = self.endpoints.ready
        if len(few) > 2 * SAMPLE:
            turns = self.endpoints.in_phase(
                (1.0 - pending.slow_start_draw) % 1.0, self.slow_start.widest_turn(len(few))
            )
            few = [*self.random.sample(few, SAMPLE), *self._quick(pending), *turns]
        return self._best(pending, few)

    def again(self, pending: PendingRequest) -> Server | None:
        """For a further attempt: one in its group not tried yet; a request with a key may try one again."""
        key = group(pending, self.context.now)
        if key is None:
            return None
        others = self.endpoints.others(key, pending.tried_servers)
        if not others and pending.request_class.idempotency is Idempotency.WITH_KEY:
            others = self.endpoints.others(key, ())
        if len(others) <= 2 * SAMPLE:
            return self._best(pending, list(others))
        quick = [server for server in self._quick(pending) if server in others]
        return self._best(pending, self.random.sample(others, SAMPLE) + quick)

    def _quick(self, pending: PendingRequest) -> list[Server]:
        return list(self.latencies.quick[pending.request_class.name].values())

    def _best(self, pending: PendingRequest, few: list[Server]) -> Server | None:
        ready = len(self.endpoints.ready)
        priors = self.outlier_detection.priors(pending)
        few = [
            server for server in few if server.is_ready and self.slow_start.in_turn(pending, server, ready)
        ]
        return min(few, key=lambda server: self.cost(pending, server, priors), default=None)
