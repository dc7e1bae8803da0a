"""Another configuration while requests run: completely or not at all, with a rollback."""

from __future__ import annotations

import asyncio
import copy
import json
import socket
from contextlib import asynccontextmanager
from dataclasses import fields
from types import SimpleNamespace

import pytest
from fakes import FakeServer, array, call, node, resp, run, until
from test_config import GOOD

from quota_gateway import DrainChanged
from quota_gateway.config import read, read_file
from quota_gateway.errors import IllegalTransitionError
from quota_gateway.net import admin, configuration_trial, connection_budget
from quota_gateway.net import reload as module
from quota_gateway.net.discovery import Discovery
from quota_gateway.net.process_parts import ProcessParts
from quota_gateway.net.reload import ConfigurationReload
from quota_gateway.settings_reader import settings_from

SERVICE = {**GOOD["settings"]["services"][0], "name": "read", "slo_ms": 2000.0, "hard_limit_ms": 4000.0}
PLAN = {**GOOD["settings"]["tariffs"][0], "name": "free", "refill": 0.0, "most_at_once": 0.0}
DOCUMENT = {**GOOD, "settings": {**GOOD["settings"], "services": [SERVICE], "tariffs": [PLAN]}}


class Configured:
    """A gateway with a configuration file, and the admin commands."""

    def __init__(self, gateway, path, environment):
        self.gateway, self.path, self.driver = gateway, path, gateway.driver
        self.document = copy.deepcopy(DOCUMENT)
        self.write()
        config = read(read_file(str(path)), environment)
        self.discovery = Discovery(config.discovery, lambda *_: None)
        self.hot_restart = SimpleNamespace(handed_over=False)
        self.admin_endpoint = admin.AdminEndpoint({})
        self.reload = ConfigurationReload(
            config,
            environment,
            ProcessParts(gateway.driver, gateway.clients, gateway.servers, self.discovery),
            self.admin_endpoint,
            self.hot_restart,
        )
        self.admin_endpoint.commands.update(self.reload.commands())
        self.reload.serving.set()

    def write(self, **changes):
        """The file, with other settings."""
        self.document["settings"].update(changes)
        self.path.write_text(json.dumps(self.document))

    def plan(self, **changes):
        self.write(tariffs=[{**PLAN, **changes}])

    async def tell(self, line: str) -> str:
        yes, text = await self.admin_endpoint.answer(line.encode())
        return f"{'YES' if yes else 'NO'} {text}"

    def state(self):
        """All that a refused file must leave as it was."""
        decisions, clients, servers = self.driver.gateway, self.gateway.clients, self.gateway.servers
        return (
            decisions.context.settings,
            decisions.epochs.plans,
            decisions.context.classes,
            decisions.epochs.gateways,
            decisions.concurrency_limit.limit,
            decisions.epochs.epoch,
            {k: (c.excess_milliunits, c.excess_updated_ms) for k, c in decisions.customers.rows.items()},
            clients.dispatcher.parser,
            clients.most_connections,
            servers.reply_reader,
            servers.most_connections,
            servers.connect_timeout_s,
            servers.idle_limit_s,
            self.discovery.address,
            self.discovery.backoff.max_s,
            self.admin_endpoint.server,
            self.reload.in_force.config,
            self.reload.in_force.revision,
            self.reload.in_force.rollback_target,
            self.reload.trial.state,
            self.reload.trial.ends_at_s,
        )


@asynccontextmanager
async def configured(tmp_path, *fakes, **environment):
    path = tmp_path / "config.json"
    settings = settings_from(DOCUMENT["settings"])
    told = {field.name: getattr(settings, field.name) for field in fields(settings)}
    async with node(*fakes, **told) as gateway:
        made = Configured(gateway, path, {"EDGE_CONFIG": str(path), **environment})
        yield made
        made.reload.close()
        made.admin_endpoint.close()


def calm(kind=SERVICE, **more) -> dict:
    return {**kind, **more}


def test_hundred_reloads_while_requests_run_and_refused_files_among_them_lose_nothing(tmp_path):
    async def test():
        server = FakeServer(lambda words: array(words[2]))
        async with configured(tmp_path, server) as made:
            peers = [await made.gateway.peer() for _ in range(4)]
            answers, numbers = [], iter(range(1, 10_000))
            done = asyncio.Event()

            async def ask(peer):
                while not done.is_set():
                    number = next(numbers)
                    answers.append((number, await peer.ask(call(number))))

            asking = [asyncio.create_task(ask(peer)) for peer in peers]
            before = made.reload.in_force.revision
            for number in range(100):
                await made.gateway.servers.loop.create_task(asyncio.sleep(0))
                if number % 10 == 9:
                    kept = made.state()
                    made.write(tariffs=[{**PLAN, "refill": -1.0}])
                    assert "settings.tariffs[0].refill: -1.0, want" in await made.tell("RELOAD")
                    assert made.state()[:6] == kept[:6]
                    assert made.state()[7:] == kept[7:]
                made.write(tariffs=[{**PLAN, "value_factor": 2.0 + number}], balancers=2 + number % 3)
                assert (await made.tell("RELOAD")).startswith("YES")
            done.set()
            await asyncio.gather(*asking)
            assert made.reload.in_force.revision == before + 100
            assert len(answers) >= 4
            assert all(answer == b"%016x" % number for number, answer in answers)
            assert len({number for number, _ in answers}) == len(answers)
            assert not made.driver.requests
            assert not made.driver.gateway.pending_requests.by_id

    run(test())


@pytest.mark.parametrize(
    ("change", "told"),
    [
        ({"tick_ms": True}, "settings.tick_ms: true, want a number"),
        ({"tariffs": []}, "settings.tariffs: [], want a list"),
    ],
)
def test_refused_file_changes_nothing_and_is_remembered(tmp_path, change, told):
    async def test():
        async with configured(tmp_path, FakeServer()) as made:
            peer = await made.gateway.peer()
            await peer.ask(call(1))
            before = made.state()
            made.write(**change)
            assert (await made.tell("RELOAD")).startswith(f"NO refused, revision 1 stays: {told}")
            assert made.state() == before
            assert told in await made.tell("CONFIG")

    run(test())


@pytest.mark.parametrize("name", ["name", "listen", "seed"])
def test_what_can_not_change_fails_the_reload_whole_and_is_named(tmp_path, name):
    async def test():
        async with configured(tmp_path) as made:
            before = made.state()
            made.document.update({name: {"name": "x", "listen": "h:1", "seed": "ff"}[name]})
            made.plan(refill=3.0, most_at_once=5.0)
            assert f"{name}: " in await made.tell("RELOAD")
            assert made.state() == before

    run(test())


def test_fault_in_the_last_step_of_preparing_leaves_all_as_it_was(tmp_path):
    async def test():
        async with configured(tmp_path, FakeServer()) as made:
            with socket.create_server(("127.0.0.1", 0)) as taken:
                before = made.state()
                made.document["admin"] = f"127.0.0.1:{taken.getsockname()[1]}"
                made.document["discovery"] = "127.0.0.1:9"
                made.plan(refill=3.0, most_at_once=5.0)
                assert (await made.tell("RELOAD")).startswith("NO refused, revision 1 stays: admin: ")
                assert made.state() == before
            assert (await made.tell("RELOAD")).startswith("YES")  # the address is free now
            assert made.admin_endpoint.server
            assert made.discovery.address == ("127.0.0.1", 9)
            assert made.driver.gateway.epochs.plans["free"].rate == 3.0

    run(test())


def test_decisions_that_fail_leave_the_sockets_as_they_were_too(tmp_path, monkeypatch):
    async def test():
        async with configured(tmp_path, FakeServer()) as made:
            before = made.state()
            monkeypatch.setattr(
                type(made.driver.gateway.concurrency_limit), "mean_latencies_ms", lambda self, kinds: 1 / 0
            )
            made.document["discovery"] = "127.0.0.1:9"
            made.write(services=[SERVICE, calm(name="new")])
            assert "the decisions failed" in await made.tell("RELOAD")
            assert made.state() == before

    run(test())


def test_requests_in_flight_end_under_the_plan_they_were_taken_under_and_later_ones_are_unknown(tmp_path):
    async def test():
        server = FakeServer(lambda words: None)
        async with configured(tmp_path, server) as made:
            peer = await made.gateway.peer()
            peer.send(call(1))
            await server.until(lambda: len(server.commands) == 1)
            made.plan(name="other")
            assert (await made.tell("RELOAD")).startswith("YES")
            server.writers[0].write(array(b"v"))
            assert await peer.reply() == b"v"
            assert (await peer.ask(call(2))).startswith("-ERR unknown class or plan")
            made.plan()
            assert (await made.tell("RELOAD")).startswith("YES")
            server.answer = lambda words: array(b"w")
            assert await peer.ask(call(3)) == b"w"

    run(test())


def test_fewer_descriptors_close_what_is_idle_first_and_never_what_is_in_flight(tmp_path):
    async def test():
        server = FakeServer(lambda words: None)
        async with configured(tmp_path, server) as made:
            clients, servers = made.gateway.clients, made.gateway.servers
            peers = [await made.gateway.peer() for _ in range(8)]
            for number, peer in enumerate(peers[:6]):
                peer.send(call(number + 1))
            await server.until(lambda: len(server.commands) == 6)
            server.writers[0].write(array(b"v"))
            server.writers[1].write(array(b"v"))
            first = [
                peer
                for number, peer in enumerate(peers[:6])
                if server.commands[server.by.index(0)][2].endswith(b"%x" % (number + 1))
                or server.commands[server.by.index(1)][2].endswith(b"%x" % (number + 1))
            ]
            for peer in first:
                assert await peer.reply() == b"v"
            await until(lambda: sum(len(host.idle) for host in servers.hosts.values()) == 2)
            made.document["limits"] = {
                "sockets": connection_budget.OTHER_DESCRIPTORS + 4
            }  # two for each side
            made.write()
            assert (await made.tell("RELOAD")).startswith("YES")
            assert len(servers.connections) == 4
            assert not any(host.idle for host in servers.hosts.values())
            for peer in [*first, *peers[6:]]:
                assert await peer.reply() is None
            assert len(clients.connections) == 4
            for writer in server.writers[2:]:
                writer.write(array(b"late"))
            kept = [peer for peer in peers[:6] if peer not in first]
            assert [await peer.reply() for peer in kept] == [b"late"] * 4
            await until(lambda: len(clients.connections) <= 2 and len(servers.connections) <= 2)

    run(test())


# ---- The way back


def test_admin_endpoint_tells_what_is_in_force_and_goes_back_one_step(tmp_path):
    async def test():
        async with configured(tmp_path) as made:
            assert await made.tell("ROLLBACK") == "NO there is nothing to go back to"
            first = made.reload.in_force.config
            made.plan(refill=3.0, most_at_once=5.0)
            assert await made.tell("RELOAD") == "YES revision 2, 2 changes"
            assert await made.tell("RELOAD") == "YES nothing changed, revision 2"
            told = await made.tell("CONFIG")
            assert told.startswith(f"YES revision 2, digest {made.reload.in_force.config.digest}, since 20")
            assert f"way back to {first.digest}" in told
            assert "trial" not in told
            assert (await made.tell("ROLLBACK")).startswith("YES revision 3")
            assert made.driver.gateway.epochs.plans["free"].rate == 0.0
            assert made.reload.in_force.config is first
            assert await made.tell("ROLLBACK") == "NO there is nothing to go back to"

    run(test())


def test_going_back_keeps_what_customers_have_used(tmp_path):
    async def test():
        async with configured(tmp_path, FakeServer()) as made:
            made.plan(refill=0.001, most_at_once=8.0)
            await made.tell("RELOAD")
            peer = await made.gateway.peer()
            for number in range(1, 5):
                assert await peer.ask(call(number))
            made.plan(refill=0.002, most_at_once=8.0)
            assert (await made.tell("RELOAD")).startswith("YES")
            assert (await made.tell("ROLLBACK")).startswith("YES")
            (customer,) = made.driver.gateway.customers.rows.values()
            assert customer.excess_milliunits > 3990.0
            assert [await peer.ask(call(number)) for number in range(6, 16)][-1] == "-BUSY"

    run(test())


def test_trial_that_nobody_confirms_is_left_and_one_that_is_confirmed_stays(tmp_path):
    async def test():
        async with configured(tmp_path) as made:
            assert await made.tell("CONFIRM") == "NO nothing is on trial"
            first = made.reload.in_force.config
            made.plan(refill=3.0, most_at_once=5.0)
            assert "unless confirmed" in await made.tell("RELOAD CONFIRM 30")
            assert "on trial for" in await made.tell("CONFIG")
            made.reload.trial.expire()  # as a timer that fires early would: nothing yet
            await made.reload.trial.rollback_task
            assert made.reload.trial.active
            assert made.reload.in_force.config is not first
            made.reload.trial.ends_at_s = 0.0
            made.reload.trial.expire()
            await until(lambda: made.reload.in_force.config is first)
            assert not made.reload.trial.active
            assert made.driver.gateway.epochs.plans["free"].rate == 0.0
            assert (await made.tell("RELOAD CONFIRM 1")).startswith("YES")
            assert (await made.tell("CONFIRM")).startswith("YES confirmed")
            made.reload.trial.expire()
            await made.reload.trial.rollback_task
            assert made.driver.gateway.epochs.plans["free"].rate == 3.0
            assert made.reload.in_force.rollback_target is first

    run(test())


def test_a_trial_that_is_replaced_ends_first(tmp_path):
    """Two timers would run: the older one would roll back a configuration that has more time."""

    async def test():
        async with configured(tmp_path) as made:
            trial = made.reload.trial
            trial.end()  # nothing is on trial: nothing happens
            trial.begin(30.0)
            with pytest.raises(IllegalTransitionError):
                trial.begin(60.0)
            trial.end()
            assert trial.state is configuration_trial.ReloadState.STEADY

    run(test())


def test_trial_of_a_second_goes_back_by_itself(tmp_path):
    async def test():
        async with configured(tmp_path) as made:
            first = made.reload.in_force.config
            made.plan(refill=3.0, most_at_once=5.0)
            assert (await made.tell("RELOAD CONFIRM 1")).startswith("YES")
            while made.reload.in_force.config is not first:
                await asyncio.sleep(0.01)
            assert not made.reload.trial.active

    run(test())


@pytest.mark.parametrize(
    "line",
    [
        "RELOAD CONFIRM",
        "RELOAD CONFIRM x",
        "RELOAD CONFIRM 0",
        "RELOAD SOON 5",
        "RELOAD CONFIRM 9999999999999",
        "RELOAD CONFIRM -1",
        "CONFIG x",
        "RELOAD CONFIRM 5 5",
        "ROLLBACK 2",
    ],
)
def test_calls_that_are_none_are_told_no_and_change_nothing(tmp_path, line):
    async def test():
        async with configured(tmp_path) as made:
            made.plan(refill=3.0, most_at_once=5.0)
            before = made.state()
            assert (await made.tell(line)).startswith("NO ")
            assert made.state() == before

    run(test())


def test_file_changed_during_a_trial_takes_its_place_and_the_way_back_stays(tmp_path):
    async def test():
        async with configured(tmp_path) as made:
            first = made.reload.in_force.config
            made.plan(refill=3.0, most_at_once=5.0)
            await made.tell("RELOAD CONFIRM 30")
            made.plan(refill=4.0, most_at_once=5.0)
            assert (await made.tell("RELOAD")).startswith("YES")
            assert not made.reload.trial.active
            assert made.reload.in_force.rollback_target is first
            made.plan(refill=5.0, most_at_once=5.0)
            await made.tell("RELOAD CONFIRM 30")
            assert (await made.tell("ROLLBACK")).startswith("YES")
            assert not made.reload.trial.active
            assert made.driver.gateway.epochs.plans["free"].rate == 4.0

    run(test())


def test_trial_that_ends_during_a_drain_goes_back_and_the_drain_stays(tmp_path):
    async def test():
        async with configured(tmp_path) as made:
            made.driver.on_set_serving = made.gateway.clients.set_serving
            first = made.reload.in_force.config
            made.plan(refill=3.0, most_at_once=5.0)
            await made.tell("RELOAD CONFIRM 30")
            made.driver.post(DrainChanged(True))
            made.reload.trial.ends_at_s = 0.0
            made.reload.trial.expire()
            await until(lambda: made.reload.in_force.config is first)
            assert made.driver.gateway.drain.is_draining
            peer = await made.gateway.peer()
            assert (await peer.ask(resp("PING"))).startswith("-DRAINING")

    run(test())


def test_way_back_that_is_shut_is_tried_until_it_is_open(tmp_path, monkeypatch):
    monkeypatch.setattr(configuration_trial, "RETRY_INTERVAL_S", 0.01)

    async def test():
        async with configured(tmp_path) as made:
            first = made.reload.in_force.config
            made.plan(refill=3.0, most_at_once=5.0)
            await made.tell("RELOAD CONFIRM 30")
            made.hot_restart.handed_over = True  # the next process has taken over: nothing is changed here
            made.reload.trial.ends_at_s = 0.0
            made.reload.trial.expire()
            await made.reload.trial.rollback_task
            assert made.reload.in_force.config is not first
            assert made.reload.trial.active
            assert "has taken over" in await made.tell("RELOAD CONFIRM 9")
            assert "has taken over" in await made.tell("CONFIRM")
            assert "has taken over" in await made.tell("ROLLBACK")
            made.hot_restart.handed_over = False  # it died
            await until(lambda: made.reload.in_force.config is first)

    run(test())


# ---- SIGHUP


def count_readings(monkeypatch) -> list[str]:
    readings = []

    def counted(path):
        readings.append(path)
        return read_file(path)

    monkeypatch.setattr(module, "read_file", counted)
    return readings


def test_two_signals_at_once_are_one_reload_and_one_that_comes_later_is_another(tmp_path, monkeypatch):
    async def test():
        async with configured(tmp_path) as made:
            readings = count_readings(monkeypatch)
            made.plan(refill=3.0, most_at_once=5.0)
            made.reload.signal()
            made.reload.signal()
            await until(lambda: made.reload.signal_task is None)
            assert len(readings) == 1
            assert made.reload.in_force.revision == 2
            made.reload.signal()
            await until(lambda: made.reload.signal_task is None)
            assert len(readings) == 2
            assert made.reload.in_force.revision == 2

    run(test())


def test_file_that_is_being_written_is_read_again_and_no_signal_in_between_is_missed(tmp_path, monkeypatch):
    monkeypatch.setattr(module, "READ_INTERVAL_S", 0.001)

    async def test():
        async with configured(tmp_path) as made:
            readings = count_readings(monkeypatch)
            made.path.write_text("")
            made.reload.signal()
            await until(lambda: len(readings) >= 2)
            made.path.write_text('{"half')
            made.reload.signal()
            made.document["discovery"] = "127.0.0.1:9"
            made.write()
            await until(lambda: made.reload.signal_task is None)
            assert made.discovery.address == ("127.0.0.1", 9)
            assert made.reload.in_force.revision == 2
            assert readings
            assert not made.reload.signal_pending

    run(test())


def test_file_that_stays_torn_is_given_up_after_a_while_and_the_next_signal_counts(tmp_path, monkeypatch):
    monkeypatch.setattr(module, "READ_INTERVAL_S", 0.0)

    async def test():
        async with configured(tmp_path) as made:
            readings, before = count_readings(monkeypatch), made.state()
            made.path.write_text("{")
            made.reload.signal()
            await until(lambda: made.reload.signal_task is None)
            assert len(readings) == module.MAX_READS_ON_SIGHUP
            assert made.state() == before
            assert "not JSON" in made.reload.last_rejection
            made.plan(refill=3.0, most_at_once=5.0)
            made.reload.signal()
            await until(lambda: made.reload.signal_task is None)
            assert made.reload.in_force.revision == 2

    run(test())


def test_signal_before_it_serves_waits_and_one_while_it_stops_changes_nothing(tmp_path):
    async def test():
        async with configured(tmp_path) as made:
            made.reload.serving.clear()
            made.plan(refill=3.0, most_at_once=5.0)
            made.reload.signal()
            await asyncio.sleep(0)
            assert made.reload.in_force.revision == 1
            made.reload.serving.set()
            await until(lambda: made.reload.signal_task is None)
            assert made.reload.in_force.revision == 2
            made.reload.close()
            made.plan(refill=4.0, most_at_once=5.0)
            made.reload.signal()
            await until(lambda: made.reload.signal_task is None)
            assert made.reload.in_force.revision == 2
            assert "stops" in await made.tell("RELOAD")

    run(test())


def test_discovery_of_the_file_comes_before_the_environments(tmp_path):
    async def test():
        async with configured(tmp_path, EDGE_DISCOVERY="127.0.0.1:7") as made:
            assert made.discovery.address == ("127.0.0.1", 7)
            assert (await made.tell("RELOAD")).startswith("YES revision 2")
            assert made.discovery.address == ("127.0.0.1", 8500)

    run(test())


def test_one_line_tells_what_changed_and_why_a_file_was_refused(tmp_path, caplog):
    async def test():
        async with configured(tmp_path) as made:
            caplog.set_level("INFO")
            made.plan(refill=3.0, most_at_once=5.0)
            await made.tell("RELOAD")
            made.plan(refill=-3.0)
            await made.tell("RELOAD")

    run(test())
    lines = [record.getMessage() for record in caplog.records if "configuration" in record.getMessage()]
    assert len(lines) >= 2
    assert "settings.tariffs[free].refill 0.0 -> 3.0" in lines[-2]
    assert "revision 2" in lines[-2]
    assert "refused, revision 2 stays: settings.tariffs[0].refill: -3.0, want a number" in lines[-1]


@pytest.mark.parametrize("content", [b"", b'{"name": "n', b" " * 10 * 1024 * 1024, None, "a folder"])
def test_file_that_is_none_is_refused_within_the_time_of_a_call_and_changes_nothing(tmp_path, content):
    async def test():
        async with configured(tmp_path) as made:
            before = made.state()
            made.path.unlink()
            if isinstance(content, bytes):
                made.path.write_bytes(content)
            elif content:
                made.path.mkdir()
            answer = await made.tell("RELOAD")
            assert answer.startswith("NO refused, revision 1 stays: ")
            assert made.state() == before

    run(test())


def test_sighup_that_crosses_the_hot_restart_is_carried_out_before_it_or_not_at_all(tmp_path):
    """The state is written in one step of the loop, which comes in each of the turns that a reload takes."""

    async def test():
        seen = set()
        for turns in range(8):
            async with configured(tmp_path) as made:
                made.plan(value_factor=2.0 + turns)
                made.reload.signal()
                for _ in range(turns):
                    await asyncio.sleep(0)
                made.hot_restart.handed_over = True
                then = made.state()
                while made.reload.signal_task:
                    await asyncio.sleep(0)
                assert made.state() == then  # what the next process was given is what holds here
                took = made.reload.in_force.revision > 1
                assert took != ("the next process has taken over" in made.reload.last_rejection)
                seen.add(took)
        assert seen == {True, False}

    run(test())
