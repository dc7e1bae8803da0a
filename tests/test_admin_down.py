"""Operators take servers out and put them back, and drain the gateway: the decisions, and over sockets."""

import asyncio
from math import inf

import pytest
from conftest import Rig, entry, rig_with
from fakes import FakeServer, call, local_gateway, resp, run, server_reply

from quota_gateway import (
    DrainChanged,
    Limits,
    ListKind,
    Reject,
    Request,
    ServerAdminDown,
    ServerState,
    SetServerUsable,
    SetServing,
    Status,
)
from quota_gateway.policy.admin_down import MAX_ADMIN_DOWN


def servers_used(rig: Rig, count: int = 60) -> set[int]:
    """The servers to which this many requests were sent, each answered at once."""
    names = []
    for _ in range(count):
        name = rig.ask()
        rig.finish(name)
        rig.run(5.0)
        names.append(name)
    return {server for name in names for server in rig.sent[name]}


def test_server_that_is_administratively_down_gets_no_requests_whatever_discovery_lists(rig):
    actions = rig.handle(ServerAdminDown(1, True))
    assert SetServerUsable(1, False) in actions
    assert servers_used(rig) == {2}
    rig.servers(entry(1), entry(2))
    rig.servers(entry(1, started_ms=rig.now), kind=ListKind.CHANGES)
    assert servers_used(rig) == {2}
    rig.servers(entry(1, state=ServerState.REMOVED), kind=ListKind.CHANGES)
    rig.servers(entry(1), kind=ListKind.CHANGES)
    assert servers_used(rig) == {2}
    assert rig.handle(ServerAdminDown(1, True)) == []  # a repeated call


def test_retry_does_not_go_to_a_server_taken_out_meanwhile(rig):
    name = rig.ask()
    (first,) = rig.sent[name]
    rig.handle(ServerAdminDown(3 - first, True))
    rig.finish(name, status=Status.CONNECT_FAILED)
    assert set(rig.sent[name]) == {first}


def test_server_put_back_is_warming_up_and_one_call_undoes_repeated_ones():
    rig = Rig()
    rig.servers(*(entry(number) for number in range(1, 11)))
    rig.handle(ServerAdminDown(1, True))
    rig.handle(ServerAdminDown(1, True))
    assert SetServerUsable(1, True) in rig.handle(ServerAdminDown(1, False))
    share = [rig.sent[name][0] for name in send_many(rig, 200, 1.0)].count(1)
    assert share <= 200 * 0.06  # an even share is 20; a tenth of that is expected, the rest is chance
    rig.servers(*(entry(number) for number in range(1, 11)))
    # the same list again does not end its warm-up
    assert rig.gateway.endpoints.warming_up
    assert rig.gateway.endpoints.warming_up[0].id == 1


def send_many(rig: Rig, count: int, every_ms: float) -> list[str]:
    names = []
    for _ in range(count):
        names.append(rig.ask())
        rig.finish(names[-1])
        rig.run(every_ms)
    return names


@pytest.mark.parametrize("seed", range(8))
def test_server_put_back_gets_a_request_soon_even_where_few_come(seed):
    rig = Rig(seed=seed)
    rig.servers(*(entry(number) for number in range(1, 41)))
    rig.handle(ServerAdminDown(7, True))
    rig.run(1000.0)
    rig.handle(ServerAdminDown(7, False))
    names = send_many(rig, 20, 200.0)
    assert [rig.sent[name][0] for name in names].count(7) >= 1


def test_putting_back_a_server_in_use_changes_nothing_and_one_taken_out_before_it_is_listed_stays_out(rig):
    assert rig.handle(ServerAdminDown(1, False)) == []
    rig.handle(ServerAdminDown(3, True))
    rig.servers(entry(1), entry(2), entry(3))
    assert 3 not in servers_used(rig)


def test_number_of_servers_taken_out_is_bounded(rig):
    for number in range(1, 2000):
        rig.handle(ServerAdminDown(number, True))
    assert len(rig.gateway.endpoints.admin_down) == MAX_ADMIN_DOWN


def test_draining_server_that_is_put_back_stays_unused(rig):
    rig.servers(entry(1, state=ServerState.DRAINING), kind=ListKind.CHANGES)
    rig.handle(ServerAdminDown(1, True))
    rig.handle(ServerAdminDown(1, False))
    assert servers_used(rig) == {2}


def record_set_serving(rig: Rig) -> list[SetServing]:
    """A list to which all later `SetServing` actions are added."""
    recorded: list[SetServing] = []
    original_handle = rig.handle

    def handle(event):
        actions = original_handle(event)
        recorded.extend(action for action in actions if isinstance(action, SetServing))
        return actions

    rig.handle = handle
    return recorded


def test_drain_notifies_load_balancers_at_once_keeps_serving_and_closes_connections_in_time(rig):
    notified = record_set_serving(rig)
    rig.handle(DrainChanged(True))
    assert notified == [SetServing(False, inf)]
    rig.finish(rig.ask())
    rig.run(1999.0)
    assert [admit.serving for admit in notified] == [False] * 3
    assert notified[-1].keep_idle_ms == 0.0
    assert not rig.handle(DrainChanged(True))


def test_ended_drain_accepts_clients_again_and_its_timers_do_nothing(rig):
    notified = record_set_serving(rig)
    rig.handle(DrainChanged(True))
    rig.run(100.0)
    rig.handle(DrainChanged(False))
    rig.run(5000.0)
    assert notified == [SetServing(False, inf), SetServing(True, inf)]
    assert rig.ask() in rig.sent


def test_request_that_comes_late_in_a_drain_is_rejected_at_once_with_retry_after():
    rig = rig_with(limits=Limits(can_advise_retry=True, max_retry_after_ms=2000.0))
    rig.servers(entry(1))
    rig.handle(DrainChanged(True))
    rig.run(2000.0)
    actions = rig.handle(Request("late", "safe", "free", "c", 4000.0))
    assert [type(a) for a in actions] == [Reject]
    assert actions[0].retry_after_ms > 0.0
    rig.handle(DrainChanged(False))
    assert rig.ask() in rig.sent


def test_draining_gateway_fails_pings_serves_open_connections_and_closes_them_between_requests():
    async def test():
        server = FakeServer(lambda words: None if words[2].endswith(b"1") else server_reply(words[2]))
        async with local_gateway(server) as gateway:
            gateway.driver.on_set_serving = gateway.clients.set_serving
            load_balancer, busy, idle, half_sent = [await gateway.connect_client() for _ in range(4)]
            assert await load_balancer.ask(resp("PING")) == b"PONG"
            assert await idle.ask(call(2)) == b"0000000000000002"
            busy.send(call(1))
            half_sent.send(call(4)[:20])
            await server.until(lambda: len(server.commands) == 2)
            gateway.driver.post(DrainChanged(True))
            assert (await load_balancer.ask(resp("PING"))).startswith("-DRAINING")
            assert await idle.ask(call(3)) == b"0000000000000003"  # still served
            assert await idle.reply() is None
            assert await half_sent.reply() is None
            assert list(gateway.clients.connections)  # the connection with a pending response is not cut off
            server.writers[-1 if len(server.writers) == 1 else server.connection_numbers[1]].write(
                server_reply(b"late")
            )
            assert await busy.reply() == b"late"
            assert await busy.reply() is None
            late = await gateway.connect_client()
            assert (await late.ask(resp("PING"))).startswith("-DRAINING")
            gateway.driver.post(DrainChanged(False))
            peer = await gateway.connect_client()
            assert await peer.ask(resp("PING")) == b"PONG"
            assert await peer.ask(call(5)) == b"0000000000000005"
            await asyncio.sleep(0.5)
            assert await peer.ask(call(6)) == b"0000000000000006"  # idle connections are kept again

    run(test())


def test_server_that_is_administratively_down_is_not_connected_to_and_its_idle_connections_close():
    async def test():
        server, other = FakeServer(), FakeServer()
        async with local_gateway(server, other) as gateway:
            peer = await gateway.connect_client()
            for number in range(1, 7):
                await peer.ask(call(number))
            gateway.driver.post(ServerAdminDown(1, True))
            await server.until(lambda: server.closed_connections == len(server.writers))
            before = len(server.commands)
            for number in range(7, 20):
                assert await peer.ask(call(number))
            assert len(server.commands) == before
            gateway.driver.post(ServerAdminDown(1, False))
            assert gateway.servers.hosts[1].ready

    run(test())
