"""What a request leaves behind in memory once it is answered: nothing that waits for its client's timeout."""

import gc

import pytest
from fakes import FakeServer, call, local_gateway, run, server_reply, until

from quota_gateway.net.clients.replies import ReplySlot
from quota_gateway.net.timer_queue import MIN_CANCELLED, TimerQueue

LONG_TIMEOUT_MS = 1_000_000
REQUESTS = 400
VALUE = b"v" * 1000


def live_reply_slots() -> int:
    gc.collect()
    return sum(isinstance(item, ReplySlot) for item in gc.get_objects())


@pytest.mark.parametrize("plan", ["free", "tiny"])
def test_answered_requests_of_many_clients_are_released_before_their_timeouts(plan):
    """Guards against memory that grows with each answer until its client's timeout, far ahead, is over.

    Clients read their answers at once, yet the process passed its memory limit: timers kept the answers.
    ``tiny``: most of the requests are over their quota, and rejected.
    """

    async def test():
        async with local_gateway(FakeServer(lambda words: server_reply(VALUE))) as gateway:
            slots_before = live_reply_slots()
            peers = [await gateway.connect_client() for _ in range(40)]
            for number in range(REQUESTS):
                peer = peers[number % len(peers)]
                answer = await peer.ask(call(number, plan=plan, timeout_ms=LONG_TIMEOUT_MS))
                assert answer == VALUE or (plan == "tiny" and answer.startswith("-BUSY"))
            await until(lambda: not gateway.driver.requests)
            assert live_reply_slots() - slots_before <= 1
            assert not gateway.driver.timers
            assert not gateway.driver.gateway.context.timers

    run(test())


def test_cancelled_timers_leave_the_queue_and_the_others_fire_in_order():
    """Guards against a queue that keeps the timers of requests which were answered long ago."""

    async def test():
        now_ms = 0.0
        fired: list[int] = []
        queue = TimerQueue(lambda: now_ms)
        timers = [queue.call_at(float(number % 7), fired.append, number) for number in range(1000)]
        for number, timer in enumerate(timers):
            if number % 10:
                queue.cancel(timer)
                queue.cancel(timer)
        assert len(queue) == 100
        assert len(queue._timers) <= 2 * 100 + MIN_CANCELLED
        now_ms = 7.0
        queue.fire()
        assert fired == sorted(range(0, 1000, 10), key=lambda number: (number % 7, number))
        assert len(queue) == 0
        queue.cancel(timers[0])
        assert len(queue) == 0

    run(test())
