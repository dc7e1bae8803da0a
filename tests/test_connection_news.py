"""Server selection takes idle connections to the servers into account; the pool reports and counts them."""

from dataclasses import replace

import pytest
from conftest import SETTINGS, Rig, entry
from fakes import FakeServer, call, local_gateway, run, server_reply, until

from quota_gateway import CloseIdle, IdleConnectionChanged, ServerAdminDown, Status
from quota_gateway.net import servers as servers_module
from quota_gateway.net.admin_commands import AdminCommands
from quota_gateway.net.endpoint_registry import EndpointRegistry


def rig_with_handshake_price(price: float, count: int = 6) -> Rig:
    rig = Rig(replace(SETTINGS, handshake_price=price))
    rig.servers(*(entry(number) for number in range(1, count + 1)))
    return rig


def chosen_servers(rig: Rig, count: int = 40) -> list[int]:
    """Servers chosen for ``count`` requests, sent one after the other and answered equally quickly."""
    servers = []
    for _ in range(count):
        name = rig.ask()
        servers.append(rig.sent[name][0])
        rig.finish(name, latency=rig.gateway.concurrency_limit.latencies.mean_ms["safe"])
        rig.run(20.0)
    return servers


def test_server_with_an_idle_connection_is_preferred_among_equals():
    rig = rig_with_handshake_price(0.05)
    rig.handle(IdleConnectionChanged(4, True))
    assert set(chosen_servers(rig)) == {4}
    rig.handle(IdleConnectionChanged(4, False))
    rig.handle(IdleConnectionChanged(2, True))
    assert set(chosen_servers(rig)) == {2}


def test_idle_connections_do_not_count_if_handshakes_cost_nothing():
    rig = rig_with_handshake_price(0.0)
    rig.handle(IdleConnectionChanged(4, True))
    assert set(chosen_servers(rig)) == {1, 2, 3, 4, 5, 6}


def test_handshake_price_changes_nothing_without_reports_of_idle_connections():
    assert chosen_servers(rig_with_handshake_price(0.05)) == chosen_servers(rig_with_handshake_price(0.0))


def test_busy_or_failing_server_is_not_preferred_for_its_idle_connection():
    rig = rig_with_handshake_price(0.05, count=2)
    rig.handle(IdleConnectionChanged(1, True))
    names = [rig.ask() for _ in range(4)]
    assert {rig.sent[name][0] for name in names} == {1, 2}
    for name in names:
        rig.finish(name)
    for _ in range(12):
        name = rig.ask()
        rig.finish(name, Status.ERROR if rig.sent[name][0] == 1 else Status.OK)
        while name not in rig.answers:
            rig.finish(name)
    assert chosen_servers(rig, 3) == [2, 2, 2]


def test_idle_connection_report_for_an_unlisted_server_is_ignored():
    rig = rig_with_handshake_price(0.05)
    assert not rig.handle(IdleConnectionChanged(99, True))


@pytest.mark.usefixtures("immediate_connection_reuse")
def test_policy_is_notified_of_each_change_of_idle_connections_and_of_nothing_else():
    async def test():
        server = FakeServer(lambda words: None if words[2].endswith(b"1") else server_reply(b"v"))
        async with local_gateway(server) as gateway:
            servers_by_number, reported = gateway.driver.gateway.endpoints.servers, []
            post = gateway.servers.on_idle_changed
            gateway.servers.on_idle_changed = lambda event: (reported.append(event.has_idle), post(event))
            peer, other = await gateway.connect_client(), await gateway.connect_client()
            assert await peer.ask(call(2)) == b"v"
            assert reported == [True]
            assert servers_by_number[1].has_idle_connection
            peer.send(call(1))  # in use
            await server.until(lambda: len(server.commands) == 2)
            assert reported == [True, False]
            assert not servers_by_number[1].has_idle_connection
            assert await other.ask(call(3)) == b"v"
            assert servers_by_number[1].has_idle_connection
            server.writers[0].write(server_reply(b"late"))
            assert await peer.reply() == b"late"
            assert reported == [True, False, True]  # a second idle connection is not reported
            gateway.driver._perform(CloseIdle(1))
            assert reported == [True, False, True, False]
            assert not servers_by_number[1].has_idle_connection
            assert await other.ask(call(4)) == b"v"
            assert servers_by_number[1].has_idle_connection
            server.writers[-1].close()  # closed by the server
            await until(lambda: not servers_by_number[1].has_idle_connection)
            assert await other.ask(call(5)) == b"v"
            assert servers_by_number[1].has_idle_connection
            gateway.driver.post(ServerAdminDown(1, True))
            assert not servers_by_number[1].has_idle_connection

    run(test())


@pytest.mark.usefixtures("immediate_connection_reuse")
def test_admin_endpoint_shows_the_pools_with_counts_since_the_last_query():
    async def test():
        server = FakeServer(lambda words: None if words[2].endswith(b"1") else server_reply(b"v"))
        async with local_gateway(server, most_connections=2) as gateway:
            commands = AdminCommands(gateway.driver, gateway.clients, EndpointRegistry(), None).commands()
            peer, other = await gateway.connect_client(), await gateway.connect_client()
            for number in (2, 3, 4):
                assert await peer.ask(call(number)) == b"v"
            assert await commands["POOLS"].handler("") == (
                True,
                (
                    "1 open (1 idle, 0 opening) of 2 to 1 servers; 1 handshakes, 2 reuses, 0 evicted, "
                    "0 turned away for want of room, 0 second replies since the last look"
                ),
            )
            peer.send(call(1), call(17))
            await server.until(lambda: len(server.commands) == 5)
            assert "-BUSY" in await other.ask(call(5))  # no room for a third
            text = (await commands["POOLS"].handler(""))[1]
            assert text.startswith("2 open (0 idle, 0 opening) of 2 to 1 servers; 1 handshakes, 1 reuses")
            assert " 0 turned" not in text
            assert (
                "0 handshakes, 0 reuses, 0 evicted, 0 turned away" in (await commands["POOLS"].handler(""))[1]
            )

    run(test())


def test_idle_connection_closed_to_make_room_is_counted():
    async def test():
        servers = [FakeServer(lambda words: None), FakeServer(lambda words: server_reply(b"v"))]
        async with local_gateway(*servers, most_connections=1) as gateway:
            gateway.driver.post(ServerAdminDown(1, True))
            peer = await gateway.connect_client()
            assert await peer.ask(call(2)) == b"v"
            gateway.driver.post(ServerAdminDown(1, False))
            gateway.servers.describe_and_reset()
            ping = servers_module.Attempt(lambda: b"*1\r\n$4\r\nPING\r\n", lambda reply: None)
            gateway.servers.start(1, ping)
            assert "1 handshakes, 0 reuses, 1 evicted" in gateway.servers.describe_and_reset()

    run(test())
