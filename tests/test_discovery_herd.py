"""Many gateways with few requests each that start together: first attempts, reconnects to discovery."""

from dataclasses import replace

from conftest import SETTINGS, Rig, entry
from fakes import SETTINGS as NET_SETTINGS
from fakes import local_gateway, run

from quota_gateway import DiscoveryMode, Limits, ListKind
from quota_gateway.net.discovery import Discovery
from quota_gateway.net.discovery_backoff import MAX_BACKOFF_S, MIN_BACKOFF_PER_GATEWAY_S

GATEWAYS, SERVERS = 14, 24


def create_rigs() -> list[Rig]:
    settings = replace(SETTINGS, gateways=GATEWAYS, limits=Limits(max_attempts=1))
    rigs = [Rig(replace(settings, index=number), seed=number) for number in range(GATEWAYS)]
    for rig in rigs:
        rig.servers(*(entry(number) for number in range(1, SERVERS + 1)), kind=ListKind.CACHED)
    return rigs


def total_in_flight(rig: Rig) -> int:
    return sum(len(server.attempts_in_flight) for server in rig.gateway.endpoints.servers.values())


def test_gateways_that_start_together_limit_their_total_attempts_in_flight():
    rigs = create_rigs()
    for rig in rigs:
        for _ in range(60):
            rig.ask()
    assert SERVERS <= sum(total_in_flight(rig) for rig in rigs) <= 3 * SERVERS


def test_quick_answers_raise_the_concurrency_limit():
    rig = create_rigs()[0]
    initial_limit = rig.gateway.concurrency_limit.limit
    for _ in range(400):
        name = rig.ask()
        for name in [name for name in rig.sent if name not in rig.answers][:1]:
            rig.finish(name, latency=20.0)
        while total_in_flight(rig) < int(rig.gateway.concurrency_limit.limit):
            rig.ask()
    assert rig.gateway.concurrency_limit.limit > 2.0 * initial_limit


def test_backoff_after_many_failures_is_spread_out_and_never_short():
    pauses = set()
    for seed in range(50):
        discovery = Discovery(("127.0.0.1", 1), lambda *_: None, seed)
        discovery.backoff.failures = 100
        assert discovery.backoff.max_s == MAX_BACKOFF_S
        pauses.add(discovery.backoff.pause_s())
    assert len(pauses) == 50
    assert min(pauses) >= MAX_BACKOFF_S / 2
    assert max(pauses) <= MAX_BACKOFF_S
    assert max(pauses) - min(pauses) > MAX_BACKOFF_S / 4


def test_total_reconnect_rate_does_not_grow_with_the_number_of_gateways():
    rates = []
    for gateways in (10, 40, 160):
        fleet = [Discovery(("127.0.0.1", 1), lambda *_: None, seed, gateways) for seed in range(gateways)]
        for discovery in fleet:
            discovery.backoff.failures = 100
        rates.append(sum(1.0 / discovery.backoff.pause_s() for discovery in fleet))
    assert max(rates) < 1.5 * min(rates)
    assert all(discovery.backoff.pause_s() >= gateways * MIN_BACKOFF_PER_GATEWAY_S / 2 for discovery in fleet)


def test_subscribe_action_in_poll_mode_logs_no_error(caplog):
    async def test():
        async with local_gateway(**{"discovery": DiscoveryMode.POLL}) as gateway:
            gateway.update_servers(kind=ListKind.CACHED)
            gateway.driver.timers.call_at(0.0, lambda _: None, None)
            while gateway.driver.timers:
                gateway.driver.timers.fire()
        assert not caplog.records

    assert NET_SETTINGS.discovery is DiscoveryMode.PUSH
    run(test())
