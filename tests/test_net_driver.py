"""The driver: order of events and actions, one outcome for each ``Send``, timers and the clock."""

import asyncio
import time

from fakes import FakeServer, call, local_gateway, run, server_reply, until

from quota_gateway import (
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    Fail,
    ListKind,
    Log,
    Reject,
    Request,
    Send,
    ServerEntry,
    SetTimer,
    Status,
    TimerFired,
)
from quota_gateway.net.client_request import ClientRequest
from quota_gateway.net.clock import Clock
from quota_gateway.net.timer_queue import TimerQueue


class FakePolicy:
    """Stands in for the policy: answers events with the actions that a test gives, and records the events."""

    def __init__(self, **answers) -> None:
        self.answers, self.events, self.times, self.depth = answers, [], [], 0

    def handle(self, now_ms, event):
        assert self.depth == 0, "handle was called while it handles another event"
        self.events.append(event)
        self.times.append(now_ms)
        self.depth += 1
        actions = self.answers.get(type(event).__name__, lambda _: [])(event)
        self.depth -= 1
        return actions

    def disarmed_timers(self):
        return []

    def outcomes(self):
        return [(e.attempt, e.status, e.request_answered) for e in self.events if isinstance(e, AttemptEnded)]


def accept_request(gateway, policy, wait_ms=60_000.0):
    """Pass a request to a fake policy; returns the answers that its client gets."""
    gateway.driver.gateway, answers = policy, []
    request = ClientRequest("r", lambda wait: b"*1\r\n$4\r\nWAIT\r\n", answers.append)
    gateway.driver.accept(request, Request("r", "read", "free", "c", wait_ms), wait_ms)
    return answers


def test_immediate_outcome_is_handled_after_the_remaining_actions():
    async def test():
        async with local_gateway() as gateway:
            sends = []
            policy = FakePolicy(
                Request=lambda e: [Send("r", 9), Send("r", 9), Log("after both")],
                AttemptEnded=lambda e: (
                    sends.append(gateway.driver.requests["r"].attempts_sent)
                    or ([Reject("r")] if e.attempt == 1 else [])
                ),
            )
            answers = accept_request(gateway, policy)
            assert sends == [2, 2]
            assert policy.outcomes() == [(0, Status.CONNECT_FAILED, False), (1, Status.CONNECT_FAILED, False)]
            assert answers == [b"-BUSY\r\n"]
            assert not gateway.driver.requests

    run(test())


def test_only_the_first_final_answer_is_sent_and_retry_advice_is_in_whole_milliseconds():
    async def test():
        async with local_gateway() as gateway:
            policy = FakePolicy(Request=lambda e: [Reject("r", 249.6), Fail("r"), Reject("r"), Send("r", 1)])
            assert accept_request(gateway, policy) == [b"-BUSY 250\r\n"]
            assert policy.outcomes() == []
            assert not gateway.driver.requests

    run(test())


def test_send_after_the_final_answer_is_not_sent_and_its_outcome_is_reported():
    async def test():
        server = FakeServer(lambda words: None)
        async with local_gateway(server) as gateway:
            policy = FakePolicy(
                Request=lambda e: [Send("r", 1), Fail("r"), Reject("r"), Send("r", 1), Cancel("r", 0)]
            )
            assert accept_request(gateway, policy) == [b"-ERR failed\r\n"]
            assert sorted(policy.outcomes(), key=lambda outcome: outcome[0]) == [
                (0, Status.CONNECT_FAILED, True),
                (1, Status.NOT_SENT, True),
            ]
            assert not server.commands
            assert not gateway.driver.requests

    run(test())


def test_cancelled_attempt_is_closed_before_the_next_is_sent():
    async def test():
        server, other = FakeServer(lambda words: None), FakeServer(lambda words: None)
        async with local_gateway(server, other) as gateway:
            policy = FakePolicy(
                Request=lambda e: [Send("r", 1)],
                AttemptEnded=lambda e: [Send("r", 2)] if e.attempt == 0 else [],
            )
            accept_request(gateway, policy)
            await server.until(lambda: len(server.commands) == 1)
            gateway.driver._perform(Cancel("r", 0))
            gateway.driver._perform(Cancel("r", 0))
            await server.until(lambda: server.closed_connections == 1)
            await other.until(lambda: len(other.commands) == 1)
            assert policy.outcomes() == [(0, Status.CANCELLED, False)]

    run(test())


def test_attempt_that_times_out_is_reported_and_its_connection_is_closed():
    async def test():
        server = FakeServer(lambda words: None)
        async with local_gateway(server) as gateway:
            policy = FakePolicy(Request=lambda e: [Send("r", 1, 200.0)], AttemptEnded=lambda e: [Fail("r")])
            answers = accept_request(gateway, policy)
            await server.until(lambda: server.closed_connections == 1)
            assert policy.outcomes() == [(0, Status.TIMEOUT, False)]
            assert answers == [b"-ERR failed\r\n"]

    run(test())


def test_disconnected_client_is_reported_once_and_its_late_answer_is_dropped():
    """A client leaves while its request is at a server, whose answer comes later.

    The answer would be written to a closed connection, or the disconnection counted twice. The policy is
    notified once, and the late answer is dropped.
    """

    async def test():
        server = FakeServer(lambda words: None)
        async with local_gateway(server) as gateway:
            policy = FakePolicy(Request=lambda e: [Send("r", 1)])
            answers = accept_request(gateway, policy)
            await server.until(lambda: len(server.commands) == 1)
            gateway.driver.client_disconnected("r")
            gateway.driver.client_disconnected("r")
            server.writers[0].write(server_reply(b"late"))
            await until(lambda: bool(policy.outcomes()))
            assert policy.outcomes() == [(0, Status.OK, True)]
            assert answers == []
            assert [e for e in policy.events if isinstance(e, ClientDisconnected)] == [
                ClientDisconnected("r")
            ]
            assert not gateway.driver.requests

    run(test())


def test_timers_fire_once_in_order_of_due_time_and_the_clock_never_goes_backwards():
    async def test():
        async with local_gateway() as gateway:
            policy = FakePolicy(Request=lambda e: [SetTimer(3, 30.0), SetTimer(1, 10.0), SetTimer(2, 10.0)])
            accept_request(gateway, policy)
            await until(lambda: len(policy.events) == 4)
            assert policy.events[1:] == [TimerFired(1), TimerFired(2), TimerFired(3)]
            assert policy.times == sorted(policy.times)
            assert policy.times[3] - policy.times[0] >= 30.0
            assert not gateway.driver.timers

    run(test())


def test_timer_due_at_a_fraction_of_a_millisecond_does_not_busy_loop(monkeypatch):
    """Timers are due at fractions of a millisecond, and the event loop rounds a short delay down to zero.

    The process would spend the fraction in a busy loop, which delays every request. Each timer may take only
    a few iterations of the loop.
    """
    fired = []
    original_fire = TimerQueue.fire
    monkeypatch.setattr(TimerQueue, "fire", lambda self: fired.append(1) or original_fire(self))

    async def test():
        async with local_gateway() as gateway:
            driver, due = gateway.driver, asyncio.Event()
            for number in range(20):
                due.clear()
                driver.timers.call_at(driver.clock() + 5.0 + number / 20.0, lambda _: due.set(), None)
                await due.wait()
            assert 20 <= len(fired) <= 100

    run(test())


def test_clock_is_unix_time_and_ignores_changes_of_the_system_clock(monkeypatch):
    clock = Clock()
    assert abs(clock() - time.time() * 1000.0) < 60_000.0
    before = clock()
    monkeypatch.setattr(time, "time", lambda: 0.0)
    assert clock() >= before


def test_policy_exception_on_one_request_does_not_affect_others():
    """The policy raises an exception on a request.

    An exception that reached the event loop would leave this client without an answer and others' events
    unhandled.
    The request is answered with an error, and the next one is served.
    """

    async def test():
        def failing(event):
            raise RuntimeError("no decision")

        async with local_gateway(FakeServer()) as gateway:
            real_policy = gateway.driver.gateway
            assert accept_request(gateway, FakePolicy(Request=failing)) == [b"-ERR failed\r\n"]
            gateway.driver.gateway = real_policy
            assert await (await gateway.connect_client()).ask(call(1)) == b"0000000000000001"

    run(test())


def test_warm_up_of_a_restarted_server_counts_from_the_start_time_that_discovery_gives():
    async def test():
        server = FakeServer()
        async with local_gateway() as gateway:
            await server.start()
            _, address = server.entry(1)
            started = gateway.driver.clock() - 5_000.0  # half of the warm-up
            gateway.update_servers((ServerEntry(1, "a", started_ms=started), address), kind=ListKind.COMPLETE)
            (listed_server,) = gateway.driver.gateway.endpoints.servers.values()
            assert 0.59 < gateway.driver.gateway.slow_start.capacity_ratio(listed_server) < 1.0
            await asyncio.sleep(0)

    run(test())
