"""The watch: lists and changes, what is malformed, watches that end or fall silent."""

import asyncio
import json
from contextlib import asynccontextmanager, suppress

import pytest
from fakes import FakeDiscovery, chunk, listing, row, run, until

from quota_gateway import DiscoveryMode, ListKind, ServerState
from quota_gateway.errors import DiscoveryError
from quota_gateway.net import discovery_backoff as backoff_module
from quota_gateway.net.discovery import Discovery
from quota_gateway.net.discovery_backoff import PROMPT_FAILURES
from quota_gateway.net.endpoint_registry import EndpointRegistry


@asynccontextmanager
async def watched(*of_fleet):
    """A running watch, the fake it watches, and the news that came of it."""
    fake, news = await FakeDiscovery().start(), asyncio.Queue()
    discovery = Discovery(("127.0.0.1", fake.port), lambda *told: news.put_nowait(told), *of_fleet)
    task = asyncio.get_running_loop().create_task(discovery.run())
    try:
        yield discovery, fake, news
    finally:
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
        fake.server.close()


def test_known_list_then_changes_and_what_was_missed_after_a_break():
    async def test():
        async with watched() as (discovery, fake, news):
            discovery.use_cached_list(
                {"generation": 41, "reset": True, "instances": [row("s-1", 1), row("s-2", 2)]}
            )
            told, addresses = await news.get()
            assert told.kind is ListKind.CACHED
            assert addresses == {1: ("127.0.0.1", 1), 2: ("127.0.0.1", 2)}
            target, watch = await fake.watch()
            assert target == "/discovery/hosts?watch=1&from=41"
            line = listing(43, row("s-2", 2, "Terminating"), row("s-3", 3, started=9))
            for part in (line[:20], line[20:], b"\n"):  # a line over two chunks, then an empty one
                watch.write(chunk(part))
            told, addresses = await news.get()
            assert told.kind is ListKind.CHANGES
            assert told.version == 43
            assert [(e.server, e.state, e.started_ms) for e in told.entries] == [
                (2, ServerState.DRAINING, 0.0),
                (3, ServerState.READY, 9.0),
            ]
            watch.close()
            target, watch = await fake.watch()
            assert target == "/discovery/hosts?watch=1&from=43"
            watch.write(chunk(listing(50, row("s-1", 7), reset=True)))
            told, addresses = await news.get()
            assert told.kind is ListKind.COMPLETE
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
def test_malformed_line_is_not_fatal_and_all_is_asked_for_again(line):
    async def test():
        async with watched() as (_, fake, news):
            _, watch = await fake.watch()
            watch.write(chunk(listing(1, row("s-1", 1), reset=True)))
            await news.get()
            watch.write(chunk(line))
            target, watch = await fake.watch()
            assert target == "/discovery/hosts?watch=1"
            watch.write(chunk(listing(2, row("s-1", 1), reset=True)))
            told, _ = await news.get()
            assert told.version == 2
            assert [entry.server for entry in told.entries] == [1]

    run(test())


def test_nulls_in_a_row_are_as_if_they_were_not_there():
    nothing = dict.fromkeys(("zone", "machineType", "cell", "weight", "startedAtMs"))
    rows = [{**row("s", 1), **nothing}]
    (entry,) = EndpointRegistry().apply({"generation": 1, "reset": True, "instances": rows}).listing.entries
    assert (entry.zone, entry.kind, entry.cell, entry.size, entry.started_ms) == ("", "", 0, 1.0, 0.0)


def test_names_in_lists_that_are_malformed_are_not_kept():
    registry = EndpointRegistry()
    for number in range(100):
        rows = [row(f"s-{number}-{n}", 1) for n in range(10)]
        rows.append({**rows[0], "cell": "x"})
        with pytest.raises(DiscoveryError, match="no entry of a list"):
            registry.apply({"generation": number, "reset": False, "instances": rows})
    assert not registry.numbers
    assert not registry.rows


def test_lines_behind_a_malformed_one_do_not_hide_that_it_was_lost():
    async def test():
        async with watched() as (_, fake, news):
            _, watch = await fake.watch()
            watch.write(chunk(listing(1, row("s-1", 1), reset=True)))
            await news.get()
            watch.write(chunk(b"{lost\n" + listing(3, row("s-3", 3))))
            target, _ = await fake.watch()
            assert target == "/discovery/hosts?watch=1"
            assert news.empty()

    run(test())


@pytest.mark.parametrize("known", [None, {}, [], {"generation": 1, "reset": True, "instances": [{}]}])
def test_malformed_known_list_is_not_fatal(known):
    async def test():
        async with watched() as (discovery, fake, news):
            discovery.use_cached_list(known)
            target, _ = await fake.watch()
            assert target == "/discovery/hosts?watch=1"
            assert news.empty()

    run(test())


def test_watch_without_a_line_is_dead_and_replaced(monkeypatch):
    monkeypatch.setattr(backoff_module, "MAX_SILENCE_S", 0.05)

    async def test():
        async with watched() as (_, fake, news):
            _, watch = await fake.watch()
            watch.write(chunk(listing(5, row("s-1", 1), reset=True)))
            await news.get()
            target, _ = await fake.watch()
            assert target == "/discovery/hosts?watch=1&from=5"

    run(test())


def test_watch_whose_line_never_ends_is_dead_too(monkeypatch):
    monkeypatch.setattr(backoff_module, "MAX_SILENCE_S", 0.2)

    async def test():
        async with watched() as (_, fake, news):
            _, watch = await fake.watch()
            watch.write(chunk(listing(5, row("s-1", 1), reset=True)))
            await news.get()
            again = asyncio.ensure_future(fake.watch())
            while not again.done():
                with suppress(RuntimeError):  # the watch is closed by now
                    watch.write(chunk(b" "))
                await asyncio.sleep(0.01)
            assert again.result()[0] == "/discovery/hosts?watch=1&from=5"

    run(test())


def test_agent_that_falls_silent_is_watched_on_at_once_however_many_gateways_there_are(monkeypatch):
    monkeypatch.setattr(backoff_module, "MAX_SILENCE_S", 0.05)
    monkeypatch.setattr(backoff_module, "MIN_BACKOFF_PER_GATEWAY_S", 1000.0)
    monkeypatch.setattr(backoff_module, "MAX_BACKOFF_PER_GATEWAY_S", 1000.0)

    async def test():
        async with watched(1, 200, DiscoveryMode.PUSH) as (_, fake, news):
            for _ in range(3):  # discovery is down for longer than a watch lasts
                target, watch = await fake.watch()
            watch.write(chunk(listing(5, row("s-1", 1, "Terminating"), reset=True)))
            told, _ = await news.get()
            assert told.entries[0].state is ServerState.DRAINING

    run(test())


@pytest.mark.parametrize("reachable", [True, False])
def test_discovery_that_moves_is_watched_at_its_new_address_at_once(monkeypatch, reachable):
    monkeypatch.setattr(backoff_module, "MIN_BACKOFF_S", 1000.0)
    monkeypatch.setattr(backoff_module, "MAX_BACKOFF_S", 1000.0)

    async def test():
        async with watched() as (discovery, fake, news):
            _, watch = await fake.watch()
            watch.write(chunk(listing(5, row("s-1", 1), reset=True)))
            await news.get()
            if not reachable:  # it waits to try again
                watch.close()
                await discovery.watch.done
            moved = await FakeDiscovery().start()
            discovery.move(("127.0.0.1", moved.port))
            target, watch = await moved.watch()
            assert target == "/discovery/hosts?watch=1&from=5"
            watch.write(chunk(listing(6, row("s-2", 2))))
            told, _ = await news.get()
            assert told.version == 6
            moved.server.close()

    run(test())


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 500 Odd\r\nContent-Length: 2\r\n\r\n{}",
        b"junk\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    ],
)
def test_answer_that_is_no_watch_is_asked_for_again(answer):
    async def test():
        asked = asyncio.Queue()

        async def odd(reader, writer):
            asked.put_nowait(await reader.readuntil(b"\r\n\r\n"))
            writer.write(answer)

        server = await asyncio.start_server(odd, "127.0.0.1", 0)
        discovery = Discovery(server.sockets[0].getsockname(), lambda *told: None)
        task = asyncio.get_running_loop().create_task(discovery.run())
        for _ in range(3):
            await asked.get()
        task.cancel()
        server.close()

    run(test())


def test_server_that_is_gone_is_forgotten_by_name():
    registry = EndpointRegistry()
    registry.apply({"generation": 1, "reset": True, "instances": [row("s-1", 1), row("s-2", 2)]})
    told = registry.apply({"generation": 2, "reset": False, "instances": [row("s-1", 1, "Gone")]})
    assert told.listing.entries[0].state is ServerState.REMOVED
    assert set(registry.numbers) == {"s-2"}
    (second,) = registry.numbers.values()
    registry.apply({"generation": 3, "reset": False, "instances": [row("s-2", 2, "Gone")]})
    registry.apply({"generation": 3, "reset": False, "instances": [row("s-4", 4)]})
    assert registry.numbers["s-4"] > second  # attempts on s-2 may still be out under its number
    registry.apply({"generation": 3, "reset": True, "instances": [row("s-3", 3)]})
    assert set(registry.numbers) == {"s-3"}


# ---- What crosses the end of a watch

TOLD_S = 6.0  # after a watch fell silent, or after a change: then it counts as told


def fleet(size: int, mode=DiscoveryMode.POLL):
    return [Discovery(("127.0.0.1", 1), lambda *_: None, seed, size, mode) for seed in range(size)]


def most_at_once(moments: list[float]) -> int:
    """Of these moments, the most that lie within a tenth of a second."""
    return max(sum(moment <= other < moment + 0.1 for other in moments) for moment in moments)


@pytest.mark.parametrize("silent", [True, False])
def test_watches_of_a_shared_discovery_that_ended_at_once_are_back_in_time_and_one_by_one(silent):
    watchers = fleet(200)
    moments = [one.backoff.silence_limit_s() * silent + one.backoff.pause_s(silent) for one in watchers]
    assert max(moments) <= TOLD_S - 1.4  # time for the answer, where 200 are answered in turn
    assert most_at_once(moments) <= 30
    for one in watchers:
        one.backoff.failures = PROMPT_FAILURES  # it does not answer: a storm of calls would keep it down
    assert min(one.backoff.pause_s(silent) for one in watchers) >= 5.0


@pytest.mark.parametrize("took_s", [0.0, 1.0, 3.0, 4.0, 4.5])
@pytest.mark.parametrize("silent", [True, False])
def test_calls_that_fail_one_after_the_other_are_in_time_for_what_is_told_and_come_one_by_one(silent, took_s):
    """Whatever the last call came to, and however long it waited."""
    for failures in range(PROMPT_FAILURES):
        watchers = fleet(200)
        for one in watchers:
            one.backoff.failures = failures
        pauses = [one.backoff.pause_s(silent, took_s) for one in watchers]
        assert max(pauses) + took_s <= TOLD_S - 1.4
        if took_s <= 3.0 and not (silent and failures == 0):
            assert most_at_once(pauses) <= 60


def test_call_that_is_turned_back_after_a_while_is_made_again_within_the_cycle(monkeypatch):
    """By the first call's beginning, not by its end."""
    monkeypatch.setattr(backoff_module, "MIN_BACKOFF_PER_GATEWAY_S", 1000.0)
    monkeypatch.setattr(backoff_module, "MAX_BACKOFF_PER_GATEWAY_S", 1000.0)
    waits = []

    async def test():
        fake = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        answered = asyncio.Event()
        discovery = Discovery(fake.sockets[0].getsockname(), lambda *_: None, 1, 200, DiscoveryMode.POLL)
        pause_s = discovery.backoff.pause_s

        def asked(silent, took_s):
            waits.append((silent, took_s))
            answered.set()
            return pause_s(silent, took_s)

        monkeypatch.setattr(discovery.backoff, "pause_s", asked)
        monkeypatch.setattr(backoff_module, "MAX_SILENCE_S", 0.05)
        task = asyncio.get_running_loop().create_task(discovery.run())
        await answered.wait()
        assert waits[0][0]
        assert waits[0][1] >= 0.05 * (1.0 - backoff_module.SILENCE_JITTER_RATIO)
        task.cancel()
        fake.close()

    run(test())


def test_agent_that_resets_its_watch_is_watched_on_at_once_however_many_gateways_there_are(monkeypatch):
    monkeypatch.setattr(backoff_module, "MIN_BACKOFF_PER_GATEWAY_S", 1000.0)
    monkeypatch.setattr(backoff_module, "MAX_BACKOFF_PER_GATEWAY_S", 1000.0)

    async def test():
        async with watched(1, 200, DiscoveryMode.PUSH) as (_, fake, news):
            for generation in range(1, 6):
                _, watch = await fake.watch()
                watch.write(chunk(listing(generation, row("s-1", 1), reset=True)))
                assert (await news.get())[0].version == generation
                watch.transport.abort()
            for _ in range(4):  # reset again before it told anything
                _, watch = await fake.watch()
                watch.transport.abort()
            _, watch = await fake.watch()
            watch.write(chunk(listing(9, row("s-1", 1, "Terminating"), reset=True)))
            assert (await news.get())[0].entries[0].state is ServerState.DRAINING

    run(test())


def test_watch_that_is_silent_again_from_its_start_is_opened_again(monkeypatch):
    monkeypatch.setattr(backoff_module, "MAX_SILENCE_S", 0.05)

    async def test():
        async with watched() as (discovery, fake, news):
            _, watch = await fake.watch()
            watch.write(chunk(listing(5, row("s-1", 1), reset=True)))
            await news.get()
            for _ in range(3):
                target, watch = await fake.watch()
                assert target == "/discovery/hosts?watch=1&from=5"
            watch.write(chunk(listing(6, row("s-1", 1, "Gone"))))
            assert (await news.get())[0].entries[0].state is ServerState.REMOVED

    run(test())


def indented(generation: int, *rows, indent: int | None = 2) -> bytes:
    document = json.loads(listing(generation, *rows, reset=True))
    return json.dumps(document, indent=indent).encode() + b"\n"


@pytest.mark.parametrize("indent", [0, 2])
@pytest.mark.parametrize("size", [1, 7, 100_000])
def test_indented_lists_are_taken_whole_in_pieces_of_any_size(indent, size):
    async def test():
        async with watched() as (_, fake, news):
            _, watch = await fake.watch()
            data = indented(1, row("s-1", 1), row("s-2", 2), indent=indent) + b"\n"
            data += indented(2, indent=indent) + listing(3, row("s-3", 3)) + indented(4, row("s-4", 4))
            for at in range(0, len(data), size):
                watch.write(chunk(data[at : at + size]))
            told = [(await news.get())[0] for _ in range(4)]
            assert [one.version for one in told] == [1, 2, 3, 4]
            assert [len(one.entries) for one in told] == [2, 0, 1, 1]

    run(test())


def test_long_indented_list_is_not_read_again_for_each_of_its_lines(monkeypatch):
    looks, loads = [], json.loads
    monkeypatch.setattr(json, "loads", lambda text: (looks.append(1), loads(text))[1])

    async def test():
        async with watched() as (_, fake, news):
            _, watch = await fake.watch()
            data = indented(1, *(row(f"s-{number}", number) for number in range(1, 400)))
            looks.clear()
            for line in data.splitlines(keepends=True):
                watch.write(chunk(line))
            assert len((await news.get())[0].entries) == 399
            assert len(looks) <= 4

    run(test())


@pytest.mark.parametrize("rest", [b"\n", b'{"generation":7,"reset":false,"instances":[]}\n\n'])
def test_object_that_breaks_off_within_a_watch_is_lost_and_all_is_asked_for_again(rest):
    async def test():
        async with watched() as (_, fake, news):
            _, watch = await fake.watch()
            watch.write(chunk(listing(1, row("s-1", 1), reset=True)))
            await news.get()
            half = indented(2, row("s-2", 2)).splitlines(keepends=True)[:4]
            watch.write(chunk(b"".join(half)) + chunk(rest))
            target, _ = await fake.watch()
            assert target == "/discovery/hosts?watch=1"
            assert news.empty()

    run(test())


HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: x/json\r\n"
LIST = listing(1, row("s-1", 1), reset=True)


@pytest.mark.parametrize(
    ("answer", "ends", "taken"),
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
def test_list_without_chunks_is_taken_if_it_is_whole_and_a_reset_is_no_end(answer, ends, taken):
    async def test():
        news, asked = asyncio.Queue(), 0

        async def serve(reader, writer):
            nonlocal asked
            await reader.readuntil(b"\r\n\r\n")
            asked += 1
            writer.write(answer)
            await writer.drain()
            if ends == "end":
                writer.close()
            elif ends == "reset":
                await until(
                    lambda: bool(
                        discovery.watch
                        and (
                            discovery.watch.stream.buffered_bytes
                            or discovery.watch.has_ended
                            or not news.empty()
                        )
                    )
                )
                writer.transport.abort()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        discovery = Discovery(server.sockets[0].getsockname(), lambda *told: news.put_nowait(told))
        task = asyncio.get_running_loop().create_task(discovery.run())
        await until(lambda: asked >= 3)
        assert news.empty() != taken
        assert not taken or (await news.get())[1] == {1: ("127.0.0.1", 1)}
        task.cancel()
        server.close()

    run(test())


def test_watch_that_ends_in_the_instant_in_which_discovery_moves_is_opened_at_the_new_address(monkeypatch):
    monkeypatch.setattr(backoff_module, "MIN_BACKOFF_S", 1000.0)
    monkeypatch.setattr(backoff_module, "MAX_BACKOFF_S", 1000.0)

    async def test():
        async with watched() as (discovery, fake, news):
            _, watch = await fake.watch()
            watch.write(chunk(listing(5, row("s-1", 1), reset=True)))
            await news.get()
            moved = await FakeDiscovery().start()
            watch.transport.abort()
            await discovery.watch.done  # its end is known, the pause has not begun
            discovery.move(("127.0.0.1", moved.port))
            target, watch = await moved.watch()
            watch.write(chunk(listing(6, row("s-2", 2))))
            assert (await news.get())[0].version == 6
            moved.server.close()

    run(test())


@pytest.mark.parametrize("status", [b"503 Busy", b"500 Odd"])
def test_body_of_a_refusal_is_no_list_and_no_sign_of_life(status, monkeypatch):
    monkeypatch.setattr(backoff_module, "MIN_BACKOFF_S", 0.0)
    monkeypatch.setattr(backoff_module, "MAX_BACKOFF_S", 0.0)
    monkeypatch.setattr(backoff_module, "MIN_BACKOFF_PER_GATEWAY_S", 0.0)
    monkeypatch.setattr(backoff_module, "MAX_BACKOFF_PER_GATEWAY_S", 0.0)
    body = b"\n\n" + listing(9, row("s-9", 9), reset=True)

    async def test():
        news, targets = asyncio.Queue(), []

        async def serve(reader, writer):
            targets.append((await reader.readuntil(b"\r\n\r\n")).split()[1])
            writer.write(b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        discovery = Discovery(server.sockets[0].getsockname(), lambda *told: news.put_nowait(told))
        discovery.use_cached_list({"generation": 4, "instances": []})
        task = asyncio.get_running_loop().create_task(discovery.run())
        await until(lambda: len(targets) >= 4)
        assert set(targets) == {b"/discovery/hosts?watch=1&from=4"}
        assert news.qsize() == 1
        assert discovery.backoff.failures >= 3
        task.cancel()
        server.close()

    run(test())
