"""Reloads while requests run: they apply completely or not at all, and can be rolled back."""

from __future__ import annotations

import asyncio
import copy
import json
import socket
from contextlib import asynccontextmanager
from dataclasses import fields
from types import SimpleNamespace

import pytest
from fakes import FakeServer, call, local_gateway, resp, run, server_reply, until
from test_config import GOOD

from quota_gateway import DrainChanged
from quota_gateway.config import read, read_file
from quota_gateway.errors import IllegalTransitionError
from quota_gateway.net import admin, configuration_trial, connection_budget
from quota_gateway.net import reload as reload_module
from quota_gateway.net.discovery import Discovery
from quota_gateway.net.process_parts import ProcessParts
from quota_gateway.net.reload import ConfigurationReload
from quota_gateway.settings_reader import settings_from

SERVICE = {**GOOD["settings"]["services"][0], "name": "read", "slo_ms": 2000.0, "hard_limit_ms": 4000.0}
PLAN = {**GOOD["settings"]["tariffs"][0], "name": "free", "refill": 0.0, "most_at_once": 0.0}
DOCUMENT = {**GOOD, "settings": {**GOOD["settings"], "services": [SERVICE], "tariffs": [PLAN]}}


class ReloadFixture:
    """A gateway with a configuration file and the admin commands of reloads."""

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
        """Write the configuration file with some settings changed."""
        self.document["settings"].update(changes)
        self.path.write_text(json.dumps(self.document))

    def write_plan(self, **changes):
        self.write(tariffs=[{**PLAN, **changes}])

    async def command(self, line: str) -> str:
        yes, text = await self.admin_endpoint.answer(line.encode())
        return f"{'YES' if yes else 'NO'} {text}"

    def state(self):
        """All state that a rejected file must leave unchanged."""
        policy, clients, servers = self.driver.gateway, self.gateway.clients, self.gateway.servers
        return (
            policy.context.settings,
            policy.epochs.plans,
            policy.context.classes,
            policy.epochs.gateways,
            policy.concurrency_limit.limit,
            policy.epochs.epoch,
            {k: (c.excess_milliunits, c.excess_updated_ms) for k, c in policy.customers.rows.items()},
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
async def reload_fixture(tmp_path, *fakes, **environment):
    path = tmp_path / "config.json"
    settings = settings_from(DOCUMENT["settings"])
    values = {field.name: getattr(settings, field.name) for field in fields(settings)}
    async with local_gateway(*fakes, **values) as gateway:
        fixture = ReloadFixture(gateway, path, {"EDGE_CONFIG": str(path), **environment})
        yield fixture
        fixture.reload.close()
        fixture.admin_endpoint.close()


def changed_service(service=SERVICE, **changes) -> dict:
    return {**service, **changes}


def test_hundred_reloads_and_some_rejected_files_lose_no_running_request(tmp_path):
    async def test():
        server = FakeServer(lambda words: server_reply(words[2]))
        async with reload_fixture(tmp_path, server) as fixture:
            peers = [await fixture.gateway.connect_client() for _ in range(4)]
            answers, numbers = [], iter(range(1, 10_000))
            done = asyncio.Event()

            async def ask(peer):
                while not done.is_set():
                    number = next(numbers)
                    answers.append((number, await peer.ask(call(number))))

            ask_tasks = [asyncio.create_task(ask(peer)) for peer in peers]
            before = fixture.reload.in_force.revision
            for number in range(100):
                await fixture.gateway.servers.loop.create_task(asyncio.sleep(0))
                if number % 10 == 9:
                    state_before = fixture.state()
                    fixture.write(tariffs=[{**PLAN, "refill": -1.0}])
                    assert "settings.tariffs[0].refill: -1.0, want" in await fixture.command("RELOAD")
                    assert fixture.state()[:6] == state_before[:6]
                    assert fixture.state()[7:] == state_before[7:]
                fixture.write(tariffs=[{**PLAN, "value_factor": 2.0 + number}], balancers=2 + number % 3)
                assert (await fixture.command("RELOAD")).startswith("YES")
            done.set()
            await asyncio.gather(*ask_tasks)
            assert fixture.reload.in_force.revision == before + 100
            assert len(answers) >= 4
            assert all(answer == b"%016x" % number for number, answer in answers)
            assert len({number for number, _ in answers}) == len(answers)
            assert not fixture.driver.requests
            assert not fixture.driver.gateway.pending_requests.by_id

    run(test())


@pytest.mark.parametrize(
    ("change", "fault"),
    [
        ({"tick_ms": True}, "settings.tick_ms: true, want a number"),
        ({"tariffs": []}, "settings.tariffs: [], want a list"),
    ],
)
def test_rejected_file_changes_nothing_and_config_shows_the_reason(tmp_path, change, fault):
    async def test():
        async with reload_fixture(tmp_path, FakeServer()) as fixture:
            peer = await fixture.gateway.connect_client()
            await peer.ask(call(1))
            before = fixture.state()
            fixture.write(**change)
            assert (await fixture.command("RELOAD")).startswith(f"NO refused, revision 1 stays: {fault}")
            assert fixture.state() == before
            assert fault in await fixture.command("CONFIG")

    run(test())


@pytest.mark.parametrize("name", ["name", "listen", "seed"])
def test_change_of_a_fixed_name_rejects_the_whole_reload_and_is_named(tmp_path, name):
    async def test():
        async with reload_fixture(tmp_path) as fixture:
            before = fixture.state()
            fixture.document.update({name: {"name": "x", "listen": "h:1", "seed": "ff"}[name]})
            fixture.write_plan(refill=3.0, most_at_once=5.0)
            assert f"{name}: " in await fixture.command("RELOAD")
            assert fixture.state() == before

    run(test())


def test_admin_address_in_use_rejects_the_reload_and_changes_nothing(tmp_path):
    async def test():
        async with reload_fixture(tmp_path, FakeServer()) as fixture:
            with socket.create_server(("127.0.0.1", 0)) as listener:
                before = fixture.state()
                fixture.document["admin"] = f"127.0.0.1:{listener.getsockname()[1]}"
                fixture.document["discovery"] = "127.0.0.1:9"
                fixture.write_plan(refill=3.0, most_at_once=5.0)
                assert (await fixture.command("RELOAD")).startswith("NO refused, revision 1 stays: admin: ")
                assert fixture.state() == before
            assert (await fixture.command("RELOAD")).startswith("YES")  # the address is no longer in use
            assert fixture.admin_endpoint.server
            assert fixture.discovery.address == ("127.0.0.1", 9)
            assert fixture.driver.gateway.epochs.plans["free"].rate == 3.0

    run(test())


def test_policy_that_fails_on_new_settings_leaves_the_sockets_unchanged_too(tmp_path, monkeypatch):
    async def test():
        async with reload_fixture(tmp_path, FakeServer()) as fixture:
            before = fixture.state()
            monkeypatch.setattr(
                type(fixture.driver.gateway.concurrency_limit), "mean_latencies_ms", lambda self, kinds: 1 / 0
            )
            fixture.document["discovery"] = "127.0.0.1:9"
            fixture.write(services=[SERVICE, changed_service(name="new")])
            assert "the policy failed on the new settings" in await fixture.command("RELOAD")
            assert fixture.state() == before

    run(test())


def test_requests_in_flight_finish_though_their_plan_is_removed_and_later_ones_are_rejected(tmp_path):
    async def test():
        server = FakeServer(lambda words: None)
        async with reload_fixture(tmp_path, server) as fixture:
            peer = await fixture.gateway.connect_client()
            peer.send(call(1))
            await server.until(lambda: len(server.commands) == 1)
            fixture.write_plan(name="other")
            assert (await fixture.command("RELOAD")).startswith("YES")
            server.writers[0].write(server_reply(b"v"))
            assert await peer.reply() == b"v"
            assert (await peer.ask(call(2))).startswith("-ERR unknown class or plan")
            fixture.write_plan()
            assert (await fixture.command("RELOAD")).startswith("YES")
            server.answer = lambda words: server_reply(b"w")
            assert await peer.ask(call(3)) == b"w"

    run(test())


def test_lower_descriptor_limit_closes_idle_connections_first_and_none_in_flight(tmp_path):
    async def test():
        server = FakeServer(lambda words: None)
        async with reload_fixture(tmp_path, server) as fixture:
            clients, servers = fixture.gateway.clients, fixture.gateway.servers
            peers = [await fixture.gateway.connect_client() for _ in range(8)]
            for number, peer in enumerate(peers[:6]):
                peer.send(call(number + 1))
            await server.until(lambda: len(server.commands) == 6)
            server.writers[0].write(server_reply(b"v"))
            server.writers[1].write(server_reply(b"v"))
            answered_peers = [
                peer
                for number, peer in enumerate(peers[:6])
                if server.commands[server.connection_numbers.index(0)][2].endswith(b"%x" % (number + 1))
                or server.commands[server.connection_numbers.index(1)][2].endswith(b"%x" % (number + 1))
            ]
            for peer in answered_peers:
                assert await peer.reply() == b"v"
            await until(lambda: sum(len(host.idle) for host in servers.hosts.values()) == 2)
            fixture.document["limits"] = {
                "sockets": connection_budget.OTHER_DESCRIPTORS + 4
            }  # two connections for clients, two for servers
            fixture.write()
            assert (await fixture.command("RELOAD")).startswith("YES")
            assert len(servers.connections) == 4
            assert not any(host.idle for host in servers.hosts.values())
            for peer in [*answered_peers, *peers[6:]]:
                assert await peer.reply() is None
            assert len(clients.connections) == 4
            for writer in server.writers[2:]:
                writer.write(server_reply(b"late"))
            waiting_peers = [peer for peer in peers[:6] if peer not in answered_peers]
            assert [await peer.reply() for peer in waiting_peers] == [b"late"] * 4
            await until(lambda: len(clients.connections) <= 2 and len(servers.connections) <= 2)

    run(test())


# ---- Rollback and trial


def test_config_shows_what_is_in_force_and_rollback_works_once(tmp_path):
    async def test():
        async with reload_fixture(tmp_path) as fixture:
            assert await fixture.command("ROLLBACK") == "NO there is nothing to go back to"
            first_config = fixture.reload.in_force.config
            fixture.write_plan(refill=3.0, most_at_once=5.0)
            assert await fixture.command("RELOAD") == "YES revision 2, 2 changes"
            assert await fixture.command("RELOAD") == "YES nothing changed, revision 2"
            config_answer = await fixture.command("CONFIG")
            assert config_answer.startswith(
                f"YES revision 2, digest {fixture.reload.in_force.config.digest}, since 20"
            )
            assert f"way back to {first_config.digest}" in config_answer
            assert "trial" not in config_answer
            assert (await fixture.command("ROLLBACK")).startswith("YES revision 3")
            assert fixture.driver.gateway.epochs.plans["free"].rate == 0.0
            assert fixture.reload.in_force.config is first_config
            assert await fixture.command("ROLLBACK") == "NO there is nothing to go back to"

    run(test())


def test_rollback_keeps_customers_excess(tmp_path):
    async def test():
        async with reload_fixture(tmp_path, FakeServer()) as fixture:
            fixture.write_plan(refill=0.001, most_at_once=8.0)
            await fixture.command("RELOAD")
            peer = await fixture.gateway.connect_client()
            for number in range(1, 5):
                assert await peer.ask(call(number))
            fixture.write_plan(refill=0.002, most_at_once=8.0)
            assert (await fixture.command("RELOAD")).startswith("YES")
            assert (await fixture.command("ROLLBACK")).startswith("YES")
            (customer,) = fixture.driver.gateway.customers.rows.values()
            assert customer.excess_milliunits > 3990.0
            assert [await peer.ask(call(number)) for number in range(6, 16)][-1] == "-BUSY"

    run(test())


def test_unconfirmed_trial_is_rolled_back_and_a_confirmed_one_stays(tmp_path):
    async def test():
        async with reload_fixture(tmp_path) as fixture:
            assert await fixture.command("CONFIRM") == "NO nothing is on trial"
            first_config = fixture.reload.in_force.config
            fixture.write_plan(refill=3.0, most_at_once=5.0)
            assert "unless confirmed" in await fixture.command("RELOAD CONFIRM 30")
            assert "on trial for" in await fixture.command("CONFIG")
            fixture.reload.trial.expire()  # as a timer that fires early would: nothing is rolled back
            await fixture.reload.trial.rollback_task
            assert fixture.reload.trial.active
            assert fixture.reload.in_force.config is not first_config
            fixture.reload.trial.ends_at_s = 0.0
            fixture.reload.trial.expire()
            await until(lambda: fixture.reload.in_force.config is first_config)
            assert not fixture.reload.trial.active
            assert fixture.driver.gateway.epochs.plans["free"].rate == 0.0
            assert (await fixture.command("RELOAD CONFIRM 1")).startswith("YES")
            assert (await fixture.command("CONFIRM")).startswith("YES confirmed")
            fixture.reload.trial.expire()
            await fixture.reload.trial.rollback_task
            assert fixture.driver.gateway.epochs.plans["free"].rate == 3.0
            assert fixture.reload.in_force.rollback_target is first_config

    run(test())


def test_trial_must_end_before_another_begins(tmp_path):
    """Otherwise two timers would run, and the older one would roll back the newer trial too early."""

    async def test():
        async with reload_fixture(tmp_path) as fixture:
            trial = fixture.reload.trial
            trial.end()  # without a trial this does nothing
            trial.begin(30.0)
            with pytest.raises(IllegalTransitionError):
                trial.begin(60.0)
            trial.end()
            assert trial.state is configuration_trial.ReloadState.STEADY

    run(test())


def test_trial_of_one_second_is_rolled_back_by_its_timer(tmp_path):
    async def test():
        async with reload_fixture(tmp_path) as fixture:
            first_config = fixture.reload.in_force.config
            fixture.write_plan(refill=3.0, most_at_once=5.0)
            assert (await fixture.command("RELOAD CONFIRM 1")).startswith("YES")
            while fixture.reload.in_force.config is not first_config:
                await asyncio.sleep(0.01)
            assert not fixture.reload.trial.active

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
def test_malformed_commands_are_answered_no_and_change_nothing(tmp_path, line):
    async def test():
        async with reload_fixture(tmp_path) as fixture:
            fixture.write_plan(refill=3.0, most_at_once=5.0)
            before = fixture.state()
            assert (await fixture.command(line)).startswith("NO ")
            assert fixture.state() == before

    run(test())


def test_reload_during_a_trial_replaces_it_and_keeps_the_rollback_target(tmp_path):
    async def test():
        async with reload_fixture(tmp_path) as fixture:
            first_config = fixture.reload.in_force.config
            fixture.write_plan(refill=3.0, most_at_once=5.0)
            await fixture.command("RELOAD CONFIRM 30")
            fixture.write_plan(refill=4.0, most_at_once=5.0)
            assert (await fixture.command("RELOAD")).startswith("YES")
            assert not fixture.reload.trial.active
            assert fixture.reload.in_force.rollback_target is first_config
            fixture.write_plan(refill=5.0, most_at_once=5.0)
            await fixture.command("RELOAD CONFIRM 30")
            assert (await fixture.command("ROLLBACK")).startswith("YES")
            assert not fixture.reload.trial.active
            assert fixture.driver.gateway.epochs.plans["free"].rate == 4.0

    run(test())


def test_trial_that_expires_during_a_drain_is_rolled_back_and_the_drain_stays(tmp_path):
    async def test():
        async with reload_fixture(tmp_path) as fixture:
            fixture.driver.on_set_serving = fixture.gateway.clients.set_serving
            first_config = fixture.reload.in_force.config
            fixture.write_plan(refill=3.0, most_at_once=5.0)
            await fixture.command("RELOAD CONFIRM 30")
            fixture.driver.post(DrainChanged(True))
            fixture.reload.trial.ends_at_s = 0.0
            fixture.reload.trial.expire()
            await until(lambda: fixture.reload.in_force.config is first_config)
            assert fixture.driver.gateway.drain.is_draining
            peer = await fixture.gateway.connect_client()
            assert (await peer.ask(resp("PING"))).startswith("-DRAINING")

    run(test())


def test_rollback_is_retried_until_the_next_process_no_longer_serves(tmp_path, monkeypatch):
    monkeypatch.setattr(configuration_trial, "RETRY_INTERVAL_S", 0.01)

    async def test():
        async with reload_fixture(tmp_path) as fixture:
            first_config = fixture.reload.in_force.config
            fixture.write_plan(refill=3.0, most_at_once=5.0)
            await fixture.command("RELOAD CONFIRM 30")
            fixture.hot_restart.handed_over = True  # the next process has taken over
            fixture.reload.trial.ends_at_s = 0.0
            fixture.reload.trial.expire()
            await fixture.reload.trial.rollback_task
            assert fixture.reload.in_force.config is not first_config
            assert fixture.reload.trial.active
            assert "has taken over" in await fixture.command("RELOAD CONFIRM 9")
            assert "has taken over" in await fixture.command("CONFIRM")
            assert "has taken over" in await fixture.command("ROLLBACK")
            fixture.hot_restart.handed_over = False  # the next process died
            await until(lambda: fixture.reload.in_force.config is first_config)

    run(test())


# ---- SIGHUP


def record_reads(monkeypatch) -> list[str]:
    reads = []

    def record_read(path):
        reads.append(path)
        return read_file(path)

    monkeypatch.setattr(reload_module, "read_file", record_read)
    return reads


def test_two_signals_at_once_cause_one_reload_and_a_later_one_causes_another(tmp_path, monkeypatch):
    async def test():
        async with reload_fixture(tmp_path) as fixture:
            reads = record_reads(monkeypatch)
            fixture.write_plan(refill=3.0, most_at_once=5.0)
            fixture.reload.signal()
            fixture.reload.signal()
            await until(lambda: fixture.reload.signal_task is None)
            assert len(reads) == 1
            assert fixture.reload.in_force.revision == 2
            fixture.reload.signal()
            await until(lambda: fixture.reload.signal_task is None)
            assert len(reads) == 2
            assert fixture.reload.in_force.revision == 2

    run(test())


def test_truncated_file_is_read_again_and_a_signal_meanwhile_is_not_lost(tmp_path, monkeypatch):
    monkeypatch.setattr(reload_module, "READ_INTERVAL_S", 0.001)

    async def test():
        async with reload_fixture(tmp_path) as fixture:
            reads = record_reads(monkeypatch)
            fixture.path.write_text("")
            fixture.reload.signal()
            await until(lambda: len(reads) >= 2)
            fixture.path.write_text('{"half')
            fixture.reload.signal()
            fixture.document["discovery"] = "127.0.0.1:9"
            fixture.write()
            await until(lambda: fixture.reload.signal_task is None)
            assert fixture.discovery.address == ("127.0.0.1", 9)
            assert fixture.reload.in_force.revision == 2
            assert reads
            assert not fixture.reload.signal_pending

    run(test())


def test_file_that_stays_truncated_is_rejected_and_the_next_signal_reloads(tmp_path, monkeypatch):
    monkeypatch.setattr(reload_module, "READ_INTERVAL_S", 0.0)

    async def test():
        async with reload_fixture(tmp_path) as fixture:
            reads, before = record_reads(monkeypatch), fixture.state()
            fixture.path.write_text("{")
            fixture.reload.signal()
            await until(lambda: fixture.reload.signal_task is None)
            assert len(reads) == reload_module.MAX_READS_ON_SIGHUP
            assert fixture.state() == before
            assert "not JSON" in fixture.reload.last_rejection
            fixture.write_plan(refill=3.0, most_at_once=5.0)
            fixture.reload.signal()
            await until(lambda: fixture.reload.signal_task is None)
            assert fixture.reload.in_force.revision == 2

    run(test())


def test_signal_waits_until_the_process_serves_and_changes_nothing_once_it_stops(tmp_path):
    async def test():
        async with reload_fixture(tmp_path) as fixture:
            fixture.reload.serving.clear()
            fixture.write_plan(refill=3.0, most_at_once=5.0)
            fixture.reload.signal()
            await asyncio.sleep(0)
            assert fixture.reload.in_force.revision == 1
            fixture.reload.serving.set()
            await until(lambda: fixture.reload.signal_task is None)
            assert fixture.reload.in_force.revision == 2
            fixture.reload.close()
            fixture.write_plan(refill=4.0, most_at_once=5.0)
            fixture.reload.signal()
            await until(lambda: fixture.reload.signal_task is None)
            assert fixture.reload.in_force.revision == 2
            assert "stops" in await fixture.command("RELOAD")

    run(test())


def test_discovery_address_of_the_file_takes_precedence_on_reload(tmp_path):
    async def test():
        async with reload_fixture(tmp_path, EDGE_DISCOVERY="127.0.0.1:7") as fixture:
            assert fixture.discovery.address == ("127.0.0.1", 7)
            assert (await fixture.command("RELOAD")).startswith("YES revision 2")
            assert fixture.discovery.address == ("127.0.0.1", 8500)

    run(test())


def test_log_has_one_line_for_a_change_and_one_for_a_rejected_file(tmp_path, caplog):
    async def test():
        async with reload_fixture(tmp_path) as fixture:
            caplog.set_level("INFO")
            fixture.write_plan(refill=3.0, most_at_once=5.0)
            await fixture.command("RELOAD")
            fixture.write_plan(refill=-3.0)
            await fixture.command("RELOAD")

    run(test())
    lines = [record.getMessage() for record in caplog.records if "configuration" in record.getMessage()]
    assert len(lines) >= 2
    assert "settings.tariffs[free].refill 0.0 -> 3.0" in lines[-2]
    assert "revision 2" in lines[-2]
    assert "refused, revision 2 stays: settings.tariffs[0].refill: -3.0, want a number" in lines[-1]


@pytest.mark.parametrize("content", [b"", b'{"name": "n', b" " * 10 * 1024 * 1024, None, "a folder"])
def test_unusable_file_is_rejected_before_the_command_times_out_and_changes_nothing(tmp_path, content):
    async def test():
        async with reload_fixture(tmp_path) as fixture:
            before = fixture.state()
            fixture.path.unlink()
            if isinstance(content, bytes):
                fixture.path.write_bytes(content)
            elif content:
                fixture.path.mkdir()
            answer = await fixture.command("RELOAD")
            assert answer.startswith("NO refused, revision 1 stays: ")
            assert fixture.state() == before

    run(test())


def test_sighup_during_the_handover_is_applied_before_it_or_not_at_all(tmp_path):
    """The state is handed over in one step of the event loop, here in each turn that a reload takes."""

    async def test():
        seen = set()
        for turns in range(8):
            async with reload_fixture(tmp_path) as fixture:
                fixture.write_plan(value_factor=2.0 + turns)
                fixture.reload.signal()
                for _ in range(turns):
                    await asyncio.sleep(0)
                fixture.hot_restart.handed_over = True
                state_at_handover = fixture.state()
                while fixture.reload.signal_task:
                    await asyncio.sleep(0)
                assert fixture.state() == state_at_handover  # the state that was handed over
                is_applied = fixture.reload.in_force.revision > 1
                assert is_applied != ("the next process has taken over" in fixture.reload.last_rejection)
                seen.add(is_applied)
        assert seen == {True, False}

    run(test())
