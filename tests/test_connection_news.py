"""The choice of a server knows whether a connection to it stands idle."""

from dataclasses import replace

import pytest
from conftest import SETTINGS, Rig, entry
from fakes import FakeServer, array, call, node, run, until

from quota_gateway import CloseIdle, IdleConnectionChanged, ServerAdminDown, Status
from quota_gateway.net import servers as module
from quota_gateway.net.admin_commands import AdminCommands
from quota_gateway.net.endpoint_registry import EndpointRegistry


def a_rig(price: float, count: int = 6) -> Rig:
    rig = Rig(replace(SETTINGS, handshake_price=price))
    rig.servers(*(entry(number) for number in range(1, count + 1)))
    return rig


def chosen(rig: Rig, count: int = 40) -> list[int]:
    """Servers of so many requests, one after the other, all equally quick."""
    servers = []
    for _ in range(count):
        name = rig.ask()
        servers.append(rig.sent[name][0])
        rig.finish(name, latency=rig.gateway.concurrency_limit.latencies.mean_ms["safe"])
        rig.run(20.0)
    return servers


def test_among_servers_of_like_cost_one_with_an_idle_connection_comes_first():
    rig = a_rig(0.05)
    rig.do(IdleConnectionChanged(4, True))
    assert set(chosen(rig)) == {4}
    rig.do(IdleConnectionChanged(4, False))
    rig.do(IdleConnectionChanged(2, True))
    assert set(chosen(rig)) == {2}


def test_where_a_handshake_costs_nothing_idle_connections_do_not_count():
    rig = a_rig(0.0)
    rig.do(IdleConnectionChanged(4, True))
    assert set(chosen(rig)) == {1, 2, 3, 4, 5, 6}


def test_price_that_is_told_changes_nothing_while_nobody_tells_of_connections():
    assert chosen(a_rig(0.05)) == chosen(a_rig(0.0))


def test_server_that_is_busy_or_fails_loses_in_spite_of_its_idle_connection():
    rig = a_rig(0.05, count=2)
    rig.do(IdleConnectionChanged(1, True))
    names = [rig.ask() for _ in range(4)]
    assert {rig.sent[name][0] for name in names} == {1, 2}
    for name in names:
        rig.finish(name)
    for _ in range(12):
        name = rig.ask()
        rig.finish(name, Status.ERROR if rig.sent[name][0] == 1 else Status.OK)
        while name not in rig.answers:
            rig.finish(name)
    assert chosen(rig, 3) == [2, 2, 2]


def test_news_of_a_server_that_nobody_lists_is_ignored():
    rig = a_rig(0.05)
    assert not rig.do(IdleConnectionChanged(99, True))


@pytest.mark.usefixtures("no_rest")
def test_decisions_hear_of_every_change_of_what_stands_idle_and_of_nothing_else():
    async def test():
        server = FakeServer(lambda words: None if words[2].endswith(b"1") else array(b"v"))
        async with node(server) as gateway:
            known, told = gateway.driver.gateway.endpoints.servers, []
            post = gateway.servers.on_idle_changed
            gateway.servers.on_idle_changed = lambda news: (told.append(news.has_idle), post(news))
            peer, other = await gateway.peer(), await gateway.peer()
            assert await peer.ask(call(2)) == b"v"
            assert told == [True]
            assert known[1].has_idle_connection
            peer.send(call(1))  # in use
            await server.until(lambda: len(server.commands) == 2)
            assert told == [True, False]
            assert not known[1].has_idle_connection
            assert await other.ask(call(3)) == b"v"
            assert known[1].has_idle_connection
            server.writers[0].write(array(b"late"))
            assert await peer.reply() == b"late"
            assert told == [True, False, True]  # a second idle one is no news
            gateway.driver._perform(CloseIdle(1))
            assert told == [True, False, True, False]
            assert not known[1].has_idle_connection
            assert await other.ask(call(4)) == b"v"
            assert known[1].has_idle_connection
            server.writers[-1].close()  # its end comes
            await until(lambda: not known[1].has_idle_connection)
            assert await other.ask(call(5)) == b"v"
            assert known[1].has_idle_connection
            gateway.driver.post(ServerAdminDown(1, True))
            assert not known[1].has_idle_connection

    run(test())


@pytest.mark.usefixtures("no_rest")
def test_pools_are_shown_at_the_admin_endpoint_and_counted_from_look_to_look():
    async def test():
        server = FakeServer(lambda words: None if words[2].endswith(b"1") else array(b"v"))
        async with node(server, most_connections=2) as gateway:
            commands = AdminCommands(gateway.driver, gateway.clients, EndpointRegistry(), None).commands()
            peer, other = await gateway.peer(), await gateway.peer()
            for number in (2, 3, 4):
                assert await peer.ask(call(number)) == b"v"
            assert await commands["POOLS"].handler("") == (
                True,
                (
                    "1 open (1 idle, 0 opening) of 2 to 1 servers; 1 handshakes, 2 reuses, 0 evicted, "
                    "0 turned away for want of room since the last look"
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
        servers = [FakeServer(lambda words: None), FakeServer(lambda words: array(b"v"))]
        async with node(*servers, most_connections=1) as gateway:
            gateway.driver.post(ServerAdminDown(1, True))
            peer = await gateway.peer()
            assert await peer.ask(call(2)) == b"v"
            gateway.driver.post(ServerAdminDown(1, False))
            gateway.servers.describe_and_reset()
            ping = module.Attempt(lambda: b"*1\r\n$4\r\nPING\r\n", lambda reply: None)
            gateway.servers.start(1, ping)
            assert "1 handshakes, 0 reuses, 1 evicted" in gateway.servers.describe_and_reset()

    run(test())
