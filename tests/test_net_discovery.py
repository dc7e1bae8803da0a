"""The watch on discovery: lists and changes, malformed input, watches that end or fall silent."""

import asyncio
import json
from contextlib import asynccontextmanager, suppress

import pytest
from fakes import FakeDiscovery, chunk, listing, row, run, until

from quota_gateway import DiscoveryMode, ListKind, ServerState
from quota_gateway.errors import DiscoveryError
from quota_gateway.net import discovery_backoff as backoff_module
from quota_gateway.net.discovery import Discovery
from quota_gateway.net.discovery_backoff import PROMPT_RETRIES
from quota_gateway.net.endpoint_registry import EndpointRegistry


@asynccontextmanager
async def running_discovery(*options):
    """A running ``Discovery``, the fake service that it watches, and a queue of the updates passed on."""
    fake, updates = await FakeDiscovery().start(), asyncio.Queue()
    discovery = Discovery(("127.0.0.1", fake.port), lambda *update: updates.put_nowait(update), *options)
    task = asyncio.get_running_loop().create_task(discovery.run())
    try:
        yield discovery, fake, updates
    finally:
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
        fake.server.close()


def test_reopened_watch_resumes_after_the_cached_list_and_after_changes():
    async def test():
        async with running_discovery() as (discovery, fake, updates):
            discovery.use_cached_list(
                {"generation": 41, "reset": True, "instances": [row("s-1", 1), row("s-2", 2)]}
            )
            server_list, addresses = await updates.get()
            assert server_list.kind is ListKind.CACHED
            assert addresses == {1: ("127.0.0.1", 1), 2: ("127.0.0.1", 2)}
            target, watch = await fake.watch()
            assert target == "/discovery/hosts?watch=1&from=41"
            line = listing(43, row("s-2", 2, "Terminating"), row("s-3", 3, started=9))
            for part in (line[:20], line[20:], b"\n"):  # a line in two chunks, then an empty line
                watch.write(chunk(part))
            server_list, addresses = await updates.get()
            assert server_list.kind is ListKind.CHANGES
            assert server_list.version == 43
            assert [(e.server, e.state, e.started_ms) for e in server_list.entries] == [
                (2, ServerState.DRAINING, 0.0),
                (3, ServerState.READY, 9.0),
            ]
            watch.close()
            target, watch = await fake.watch()
            assert target == "/discovery/hosts?watch=1&from=43"
            watch.write(chunk(listing(50, row("s-1", 7), reset=True)))
            server_list, addresses = await updates.get()
            assert server_list.kind is ListKind.COMPLETE
            assert addresses == {1: ("127.0.0.1", 7)}

    run(test())


@pytest.mark.parametrize(
    "line",
    [
        b"{not json\n",
        b"[]\n",
        b"7\n",
        b'{"generation":2,"reset":false}\n',
        b"\xff\xfe\n",
        listing(2, {**row("s-2", 2), "hostPort": None}),
        listing(2, {**row("s-2", 2), "lifecycle": "Odd"}),
        listing(2, {**row("s-2", 2), "hostPort": "nowhere"}),
        *(
            listing(2, {**row("s-2", 2), **bad})
            for bad in (
                {"hostPort": "127.0.0.1:65536"},
                {"hostPort": "127.0.0.1:0"},
                {"hostPort": "127.0.0.1:-1"},
                {"hostPort": "a.name:80"},
                {"hostPort": ":80"},
                {"hostPort": "127.0.0.1\0:80"},
                {"zone": 7},
                {"zone": ["a"]},
                {"weight": float("nan")},
                {"weight": -1.0},
                {"weight": "x"},
                {"weight": [1]},
                {"startedAtMs": float("inf")},
                {"startedAtMs": "x"},
                {"startedAtMs": 10**400},
                {"weight": 10**400},
                {"cell": "x"},
                {"machineType": 7},
                {"instanceId": 7},
                {"instanceId": ["s-2"]},
                {"lifecycle": []},
            )
        ),
    ],
)
def test_malformed_line_ends_the_watch_and_the_next_requests_the_complete_list(line):
    async def test():
        async with running_discovery() as (_, fake, updates):
            _, watch = await fake.watch()
            watch.write(chunk(listing(1, row("s-1", 1), reset=True)))
            await updates.get()
            watch.write(chunk(line))
            target, watch = await fake.watch()
            assert target == "/discovery/hosts?watch=1"
            watch.write(chunk(listing(2, row("s-1", 1), reset=True)))
            server_list, _ = await updates.get()
            assert server_list.version == 2
            assert [entry.server for entry in server_list.entries] == [1]

    run(test())


def test_null_fields_of_a_row_get_the_defaults():
    nothing = dict.fromkeys(("zone", "machineType", "cell", "weight", "startedAtMs"))
    rows = [{**row("s", 1), **nothing}]
    (entry,) = EndpointRegistry().apply({"generation": 1, "reset": True, "instances": rows}).listing.entries
    assert (entry.zone, entry.kind, entry.cell, entry.size, entry.started_ms) == ("", "", 0, 1.0, 0.0)


def test_instance_ids_of_malformed_lists_are_not_kept():
    registry = EndpointRegistry()
    for number in range(100):
        rows = [row(f"s-{number}-{n}", 1) for n in range(10)]
        rows.append({**rows[0], "cell": "x"})
        with pytest.raises(DiscoveryError, match="malformed endpoint list entry"):
            registry.apply({"generation": number, "reset": False, "instances": rows})
    assert not registry.numbers
    assert not registry.rows


def test_lines_after_a_malformed_one_are_ignored_and_the_complete_list_is_requested():
    async def test():
        async with running_discovery() as (_, fake, updates):
            _, watch = await fake.watch()
            watch.write(chunk(listing(1, row("s-1", 1), reset=True)))
            await updates.get()
            watch.write(chunk(b"{lost\n" + listing(3, row("s-3", 3))))
            target, _ = await fake.watch()
            assert target == "/discovery/hosts?watch=1"
            assert updates.empty()

    run(test())


@pytest.mark.parametrize("cached_list", [None, {}, [], {"generation": 1, "reset": True, "instances": [{}]}])
def test_malformed_cached_list_is_ignored(cached_list):
    async def test():
        async with running_discovery() as (discovery, fake, updates):
            discovery.use_cached_list(cached_list)
            target, _ = await fake.watch()
            assert target == "/discovery/hosts?watch=1"
            assert updates.empty()

    run(test())


def test_silent_watch_is_replaced_by_one_that_resumes_after_the_last_list(monkeypatch):
    monkeypatch.setattr(backoff_module, "MAX_SILENCE_S", 0.05)

    async def test():
        async with running_discovery() as (_, fake, updates):
            _, watch = await fake.watch()
            watch.write(chunk(listing(5, row("s-1", 1), reset=True)))
            await updates.get()
            target, _ = await fake.watch()
            assert target == "/discovery/hosts?watch=1&from=5"

    run(test())


def test_watch_whose_line_never_ends_counts_as_silent(monkeypatch):
    monkeypatch.setattr(backoff_module, "MAX_SILENCE_S", 0.2)

    async def test():
        async with running_discovery() as (_, fake, updates):
            _, watch = await fake.watch()
            watch.write(chunk(listing(5, row("s-1", 1), reset=True)))
            await updates.get()
            reopened = asyncio.ensure_future(fake.watch())
            while not reopened.done():
                with suppress(RuntimeError):  # the watch is closed by now
                    watch.write(chunk(b" "))
                await asyncio.sleep(0.01)
            assert reopened.result()[0] == "/discovery/hosts?watch=1&from=5"

    run(test())


def test_silent_pushed_watch_is_reopened_quickly_for_any_number_of_gateways(monkeypatch):
    monkeypatch.setattr(backoff_module, "MAX_SILENCE_S", 0.05)
    monkeypatch.setattr(backoff_module, "MIN_BACKOFF_PER_GATEWAY_S", 1000.0)
    monkeypatch.setattr(backoff_module, "MAX_BACKOFF_PER_GATEWAY_S", 1000.0)

    async def test():
        async with running_discovery(1, 200, DiscoveryMode.PUSH) as (_, fake, updates):
            for _ in range(3):  # discovery is down for longer than a watch lasts
                target, watch = await fake.watch()
            watch.write(chunk(listing(5, row("s-1", 1, "Terminating"), reset=True)))
            server_list, _ = await updates.get()
            assert server_list.entries[0].state is ServerState.DRAINING

    run(test())


@pytest.mark.parametrize("reachable", [True, False])
def test_watch_is_opened_immediately_at_a_changed_discovery_address(monkeypatch, reachable):
    monkeypatch.setattr(backoff_module, "MIN_BACKOFF_S", 1000.0)
    monkeypatch.setattr(backoff_module, "MAX_BACKOFF_S", 1000.0)

    async def test():
        async with running_discovery() as (discovery, fake, updates):
            _, watch = await fake.watch()
            watch.write(chunk(listing(5, row("s-1", 1), reset=True)))
            await updates.get()
            if not reachable:  # the next watch waits for its backoff
                watch.close()
                await discovery.watch.done
            new_fake = await FakeDiscovery().start()
            discovery.move(("127.0.0.1", new_fake.port))
            target, watch = await new_fake.watch()
            assert target == "/discovery/hosts?watch=1&from=5"
            watch.write(chunk(listing(6, row("s-2", 2))))
            server_list, _ = await updates.get()
            assert server_list.version == 6
            new_fake.server.close()

    run(test())


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 500 Odd\r\nContent-Length: 2\r\n\r\n{}",
        b"junk\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    ],
)
def test_watch_is_reopened_after_an_unusable_response(answer):
    async def test():
        requests = asyncio.Queue()

        async def serve(reader, writer):
            requests.put_nowait(await reader.readuntil(b"\r\n\r\n"))
            writer.write(answer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        discovery = Discovery(server.sockets[0].getsockname(), lambda *_: None)
        task = asyncio.get_running_loop().create_task(discovery.run())
        for _ in range(3):
            await requests.get()
        task.cancel()
        server.close()

    run(test())


def test_removed_server_loses_its_number_which_is_not_reused():
    registry = EndpointRegistry()
    registry.apply({"generation": 1, "reset": True, "instances": [row("s-1", 1), row("s-2", 2)]})
    update = registry.apply({"generation": 2, "reset": False, "instances": [row("s-1", 1, "Gone")]})
    assert update.listing.entries[0].state is ServerState.REMOVED
    assert set(registry.numbers) == {"s-2"}
    (second,) = registry.numbers.values()
    registry.apply({"generation": 3, "reset": False, "instances": [row("s-2", 2, "Gone")]})
    registry.apply({"generation": 3, "reset": False, "instances": [row("s-4", 4)]})
    assert registry.numbers["s-4"] > second  # attempts at s-2 may still be in flight under its number
    registry.apply({"generation": 3, "reset": True, "instances": [row("s-3", 3)]})
    assert set(registry.numbers) == {"s-3"}


# ---- Changes around the end of a watch

# After a change, or after a watch fell silent: the gateway has to have received the change by then.
CHANGE_DEADLINE_S = 6.0


def create_fleet(size: int, mode=DiscoveryMode.POLL):
    return [Discovery(("127.0.0.1", 1), lambda *_: None, seed, size, mode) for seed in range(size)]


def max_within_100_ms(moments: list[float]) -> int:
    """The largest number of these moments that lie within a tenth of a second."""
    return max(sum(moment <= other < moment + 0.1 for other in moments) for moment in moments)


@pytest.mark.parametrize("silent", [True, False])
def test_polled_watches_that_end_together_are_reopened_in_time_and_spread_out(silent):
    watchers = create_fleet(200)
    moments = [
        watcher.backoff.silence_limit_s() * silent + watcher.backoff.pause_s(silent) for watcher in watchers
    ]
    assert max(moments) <= CHANGE_DEADLINE_S - 1.4  # 1.4 s for discovery to answer 200 gateways in turn
    assert max_within_100_ms(moments) <= 30
    for watcher in watchers:
        watcher.backoff.failures = PROMPT_RETRIES  # not answering: more requests would keep it down
    assert min(watcher.backoff.pause_s(silent) for watcher in watchers) >= 5.0


@pytest.mark.parametrize("took_s", [0.0, 1.0, 3.0, 4.0, 4.5])
@pytest.mark.parametrize("silent", [True, False])
def test_retries_after_consecutive_failures_are_in_time_and_spread_out(silent, took_s):
    """Whether or not the last watch fell silent, and however long it went unanswered."""
    for failures in range(PROMPT_RETRIES):
        watchers = create_fleet(200)
        for watcher in watchers:
            watcher.backoff.failures = failures
        pauses = [watcher.backoff.pause_s(silent, took_s) for watcher in watchers]
        assert max(pauses) + took_s <= CHANGE_DEADLINE_S - 1.4
        if took_s <= 3.0 and not (silent and failures == 0):
            assert max_within_100_ms(pauses) <= 60


def test_backoff_gets_the_time_that_the_last_watch_went_unanswered(monkeypatch):
    """The poll cycle counts from the start of the last request, not from its end."""
    monkeypatch.setattr(backoff_module, "MIN_BACKOFF_PER_GATEWAY_S", 1000.0)
    monkeypatch.setattr(backoff_module, "MAX_BACKOFF_PER_GATEWAY_S", 1000.0)
    recorded_pauses = []

    async def test():
        fake = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        pause_begun = asyncio.Event()
        discovery = Discovery(fake.sockets[0].getsockname(), lambda *_: None, 1, 200, DiscoveryMode.POLL)
        pause_s = discovery.backoff.pause_s

        def record_pause(silent, took_s):
            recorded_pauses.append((silent, took_s))
            pause_begun.set()
            return pause_s(silent, took_s)

        monkeypatch.setattr(discovery.backoff, "pause_s", record_pause)
        monkeypatch.setattr(backoff_module, "MAX_SILENCE_S", 0.05)
        task = asyncio.get_running_loop().create_task(discovery.run())
        await pause_begun.wait()
        assert recorded_pauses[0][0]
        assert recorded_pauses[0][1] >= 0.05 * (1.0 - backoff_module.SILENCE_JITTER_RATIO)
        task.cancel()
        fake.close()

    run(test())


def test_reset_pushed_watch_is_reopened_quickly_for_any_number_of_gateways(monkeypatch):
    monkeypatch.setattr(backoff_module, "MIN_BACKOFF_PER_GATEWAY_S", 1000.0)
    monkeypatch.setattr(backoff_module, "MAX_BACKOFF_PER_GATEWAY_S", 1000.0)

    async def test():
        async with running_discovery(1, 200, DiscoveryMode.PUSH) as (_, fake, updates):
            for generation in range(1, 6):
                _, watch = await fake.watch()
                watch.write(chunk(listing(generation, row("s-1", 1), reset=True)))
                assert (await updates.get())[0].version == generation
                watch.transport.abort()
            for _ in range(4):  # reset again before it sent anything
                _, watch = await fake.watch()
                watch.transport.abort()
            _, watch = await fake.watch()
            watch.write(chunk(listing(9, row("s-1", 1, "Terminating"), reset=True)))
            assert (await updates.get())[0].entries[0].state is ServerState.DRAINING

    run(test())


def test_watch_that_is_silent_from_its_start_is_reopened(monkeypatch):
    monkeypatch.setattr(backoff_module, "MAX_SILENCE_S", 0.05)

    async def test():
        async with running_discovery() as (discovery, fake, updates):
            _, watch = await fake.watch()
            watch.write(chunk(listing(5, row("s-1", 1), reset=True)))
            await updates.get()
            for _ in range(3):
                target, watch = await fake.watch()
                assert target == "/discovery/hosts?watch=1&from=5"
            watch.write(chunk(listing(6, row("s-1", 1, "Gone"))))
            assert (await updates.get())[0].entries[0].state is ServerState.REMOVED

    run(test())


def indented(generation: int, *rows, indent: int | None = 2) -> bytes:
    document = json.loads(listing(generation, *rows, reset=True))
    return json.dumps(document, indent=indent).encode() + b"\n"


@pytest.mark.parametrize("indent", [0, 2])
@pytest.mark.parametrize("size", [1, 7, 100_000])
def test_indented_lists_are_parsed_from_pieces_of_any_size(indent, size):
    async def test():
        async with running_discovery() as (_, fake, updates):
            _, watch = await fake.watch()
            data = indented(1, row("s-1", 1), row("s-2", 2), indent=indent) + b"\n"
            data += indented(2, indent=indent) + listing(3, row("s-3", 3)) + indented(4, row("s-4", 4))
            for start in range(0, len(data), size):
                watch.write(chunk(data[start : start + size]))
            lists = [(await updates.get())[0] for _ in range(4)]
            assert [server_list.version for server_list in lists] == [1, 2, 3, 4]
            assert [len(server_list.entries) for server_list in lists] == [2, 0, 1, 1]

    run(test())


def test_long_indented_list_is_not_parsed_at_each_line(monkeypatch):
    calls, loads = [], json.loads
    monkeypatch.setattr(json, "loads", lambda text: (calls.append(1), loads(text))[1])

    async def test():
        async with running_discovery() as (_, fake, updates):
            _, watch = await fake.watch()
            data = indented(1, *(row(f"s-{number}", number) for number in range(1, 400)))
            calls.clear()
            for line in data.splitlines(keepends=True):
                watch.write(chunk(line))
            assert len((await updates.get())[0].entries) == 399
            assert len(calls) <= 4

    run(test())


@pytest.mark.parametrize("rest", [b"\n", b'{"generation":7,"reset":false,"instances":[]}\n\n'])
def test_incomplete_object_ends_the_watch_and_the_complete_list_is_requested(rest):
    async def test():
        async with running_discovery() as (_, fake, updates):
            _, watch = await fake.watch()
            watch.write(chunk(listing(1, row("s-1", 1), reset=True)))
            await updates.get()
            half = indented(2, row("s-2", 2)).splitlines(keepends=True)[:4]
            watch.write(chunk(b"".join(half)) + chunk(rest))
            target, _ = await fake.watch()
            assert target == "/discovery/hosts?watch=1"
            assert updates.empty()

    run(test())


HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: x/json\r\n"
LIST = listing(1, row("s-1", 1), reset=True)


@pytest.mark.parametrize(
    ("answer", "ending", "is_applied"),
    [
        (HEAD + b"\r\n" + LIST, "reset", True),
        (HEAD + b"\r\n" + LIST.rstrip(), "end", True),
        (HEAD + b"\r\n" + LIST[:40], "reset", False),
        (HEAD + b"\r\n" + LIST[:40], "end", False),
        (HEAD + b"\r\n" + indented(1, row("s-1", 1))[:60], "reset", False),
        (HEAD + b"\r\n" + indented(1, row("s-1", 1)), "reset", True),
        (HEAD + b"Content-Length: %d\r\n\r\n" % len(LIST.rstrip()) + LIST.rstrip(), "stay", True),
        (HEAD + b"Content-Length: %d\r\n\r\n" % len(LIST) + LIST[:-9], "end", False),
    ],
)
def test_unchunked_list_is_applied_if_complete_and_a_reset_completes_nothing(answer, ending, is_applied):
    async def test():
        updates, request_count = asyncio.Queue(), 0

        async def serve(reader, writer):
            nonlocal request_count
            await reader.readuntil(b"\r\n\r\n")
            request_count += 1
            writer.write(answer)
            await writer.drain()
            if ending == "end":
                writer.close()
            elif ending == "reset":
                await until(
                    lambda: bool(
                        discovery.watch
                        and (
                            discovery.watch.stream.buffered_bytes
                            or discovery.watch.has_ended
                            or not updates.empty()
                        )
                    )
                )
                writer.transport.abort()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        discovery = Discovery(server.sockets[0].getsockname(), lambda *update: updates.put_nowait(update))
        task = asyncio.get_running_loop().create_task(discovery.run())
        await until(lambda: request_count >= 3)
        assert updates.empty() != is_applied
        assert not is_applied or (await updates.get())[1] == {1: ("127.0.0.1", 1)}
        task.cancel()
        server.close()

    run(test())


def test_watch_that_ends_just_before_the_address_changes_is_reopened_at_the_new_address(monkeypatch):
    monkeypatch.setattr(backoff_module, "MIN_BACKOFF_S", 1000.0)
    monkeypatch.setattr(backoff_module, "MAX_BACKOFF_S", 1000.0)

    async def test():
        async with running_discovery() as (discovery, fake, updates):
            _, watch = await fake.watch()
            watch.write(chunk(listing(5, row("s-1", 1), reset=True)))
            await updates.get()
            new_fake = await FakeDiscovery().start()
            watch.transport.abort()
            await discovery.watch.done  # its end is noticed, the backoff has not begun
            discovery.move(("127.0.0.1", new_fake.port))
            target, watch = await new_fake.watch()
            watch.write(chunk(listing(6, row("s-2", 2))))
            assert (await updates.get())[0].version == 6
            new_fake.server.close()

    run(test())


@pytest.mark.parametrize("status", [b"503 Busy", b"500 Odd"])
def test_body_of_a_refusal_is_not_parsed_and_does_not_reset_the_failures(status, monkeypatch):
    monkeypatch.setattr(backoff_module, "MIN_BACKOFF_S", 0.0)
    monkeypatch.setattr(backoff_module, "MAX_BACKOFF_S", 0.0)
    monkeypatch.setattr(backoff_module, "MIN_BACKOFF_PER_GATEWAY_S", 0.0)
    monkeypatch.setattr(backoff_module, "MAX_BACKOFF_PER_GATEWAY_S", 0.0)
    body = b"\n\n" + listing(9, row("s-9", 9), reset=True)

    async def test():
        updates, targets = asyncio.Queue(), []

        async def serve(reader, writer):
            targets.append((await reader.readuntil(b"\r\n\r\n")).split()[1])
            writer.write(b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        discovery = Discovery(server.sockets[0].getsockname(), lambda *update: updates.put_nowait(update))
        discovery.use_cached_list({"generation": 4, "instances": []})
        task = asyncio.get_running_loop().create_task(discovery.run())
        await until(lambda: len(targets) >= 4)
        assert set(targets) == {b"/discovery/hosts?watch=1&from=4"}
        assert updates.qsize() == 1
        assert discovery.backoff.failures >= 3
        task.cancel()
        server.close()

    run(test())
