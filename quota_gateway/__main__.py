"""One real gateway: reads its environment and configuration, runs until it is told to stop."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import os
import signal
import socket
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING

import uvloop

from quota_gateway import api
from quota_gateway.config import Config, read, read_file, told
from quota_gateway.config_reader import ConfigError
from quota_gateway.net import admin
from quota_gateway.net.admin_commands import Operators
from quota_gateway.net.clients import Clients
from quota_gateway.net.discovery import Discovery
from quota_gateway.net.driver import Clock, Driver
from quota_gateway.net.hot_restart import ABOUT, GatewayIdentity, HotRestart, ProcessParts
from quota_gateway.net.reload import Reload, budget
from quota_gateway.net.servers import Address, Servers
from quota_gateway.policy.gateway import Gateway

if TYPE_CHECKING:
    from quota_gateway.failover.gateway import Survivor

log = logging.getLogger("quota_gateway")

LINES_PER_S = 20  # of the log, at most
FIRST_LIST_S = 1.0  # how long the known list, which may be old, waits for discovery's before it must do
LAST_S = 0.5  # before its end a gateway that stops takes no more: what it took last is answered in that time
KILL_S = (3.0, 0.7)  # after SIGTERM comes SIGKILL: the longest deadline, this at most, and so much more
SPARE_S = 0.3  # of that time, in which all is answered but not yet killed
CLOSE_S = 0.15  # of that, in which the last answers are written, and clients see their connections end
BAD_CONFIGURATION = 2  # the exit code, of a start and of a check


class Sparing(logging.Filter):
    """Lets so many lines through in a second and tells how many it kept back.

    Guards against peers that write the log: each broken answer of a server is a line.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self.clock = clock
        self.second = -1
        self.lines = 0
        self.kept_back = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the line is written."""
        second = int(self.clock())
        if second != self.second:
            if self.kept_back:
                record.msg = f"{record.getMessage()} ({self.kept_back} lines left out)"
                record.args = ()
            self.second = second
            self.lines = 0
            self.kept_back = 0
        self.lines += 1
        if self.lines > LINES_PER_S:
            self.kept_back += 1
        return self.lines <= LINES_PER_S


def _passed(environment: dict[str, str], listen: Address) -> socket.socket | None:
    """The clients' listener as the platform passes it on; None where there is none, or it is another one."""
    text = environment.get("EDGE_PASSED_SOCKET")
    if not text:
        return None
    try:
        sock = socket.socket(fileno=int(text))
    except (OSError, ValueError) as error:
        log.error("the passed socket %r is none: %r", text, error)
        return None
    if sock.type == socket.SOCK_STREAM and sock.family == socket.AF_INET and sock.getsockname() == listen:
        sock.setblocking(False)
        return sock
    log.error("the passed socket %r does not listen at %s:%d", text, *listen)
    sock.detach()  # not ours: left as it was
    return None


class HangUp:
    """SIGHUP, from the start of the program to its very end.

    Guards against a signal that ends the process: the loop's own handlers come late, and as the loop closes
    they give way to the default, which is to die.
    """

    def __init__(self) -> None:
        self.came = False
        self.tell: Callable[[], object] = self._nobody
        signal.signal(signal.SIGHUP, self._handle)

    def _handle(self, *_: object) -> None:
        self.came = True
        self.tell()

    def _nobody(self) -> None:
        pass

    def follow(self, tell: Callable[[], object]) -> None:
        """Tell each signal from now on, and one that came before."""
        self.tell = tell
        if self.came:
            tell()

    def leave(self) -> None:
        """Tell nobody any more."""
        self.tell = self._nobody

    def ignore(self) -> None:
        """At the end of the program, whose finalization restores the default of any handler."""
        signal.signal(signal.SIGHUP, signal.SIG_IGN)


async def serve(config: Config, hang_up: HangUp) -> None:
    """Serve until SIGTERM, then see to what was taken and return."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    servers = Servers(config.settings, budget(config))
    driver = Driver(Gateway(config.settings, config.seed), servers, Clock())
    clients = Clients(driver, config.settings, budget(config))
    driver.on_admit = clients.admit

    def news(listing: api.ServerList, addresses: dict[int, Address]) -> None:
        servers.update(listing, addresses)
        driver.post(listing)
        if listing.kind is not api.ListKind.CACHED:
            clients.ready = True

    discovery = Discovery(
        config.discovery, news, config.seed, config.settings.gateways, config.settings.discovery
    )
    identity = GatewayIdentity(config.name, f"{config.listen[0]}:{config.listen[1]}")
    survivor = _survivor(clients)
    # Under a keeper the next process stands by already: it must not take over from one that serves.
    folder = None if survivor else os.environ.get("TMPDIR")
    hot_restart = HotRestart(folder, identity, ProcessParts(driver, clients, servers, discovery))
    operators = Operators(driver, clients, discovery.roster, hot_restart)
    door = admin.Door(operators.calls(), operators.fence)
    reload = Reload(config, os.environ, driver, servers, clients, discovery, door, hot_restart)
    door.calls.update(reload.calls())
    operators.revision = lambda: reload.config.digest
    hang_up.follow(lambda: loop.call_soon_threadsafe(reload.signal))
    watching: asyncio.Task[None] | None = None
    if survivor:  # whoever stands by knows the list as its turn comes
        _begin_with_known(config, discovery, clients)
        watching = loop.create_task(discovery.run())
        if not await survivor.turn(stop):
            watching.cancel()
            survivor.close()
            hang_up.leave()
            return
    if config.admin:
        await door.listen(*config.admin)
    passed = (survivor and survivor.listener()) or _passed(dict(os.environ), config.listen)
    if await hot_restart.take_over():
        clients.ready = True
    elif not survivor:
        _begin_with_known(config, discovery, clients)
    watching = watching or loop.create_task(discovery.run())
    await clients.listen(*config.listen, passed or hot_restart.take_listener())
    if survivor:
        await survivor.serve()
    hot_restart.offer()
    operators.up.set()
    reload.up.set()
    log.info("listening")
    await stop.wait()
    reload.close()
    await _leave(driver.gateway.settings, driver, clients, hot_restart)
    hot_restart.close()
    if survivor:
        survivor.close()
    door.close()
    watching.cancel()
    servers.close()
    hang_up.leave()


def _begin_with_known(config: Config, discovery: Discovery, clients: Clients) -> None:
    """The configuration's list, which may be old: it must do where no other comes soon."""
    discovery.known(json.loads(config.known))
    asyncio.get_running_loop().call_later(FIRST_LIST_S, lambda: setattr(clients, "ready", True))


def _survivor(clients: Clients) -> Survivor | None:
    """This process's end of a keeper, where there is one; nothing of it is loaded elsewhere."""
    path = os.environ.get("EDGE_KEEPER")
    if not path:
        return None
    from quota_gateway.failover.gateway import Survivor

    return Survivor(path, clients)


async def _leave(
    settings: api.Settings,
    driver: Driver,
    clients: Clients,
    hot_restart: HotRestart | None = None,
) -> None:
    """Serve on until shortly before the end, answer all that was taken, close; all before SIGKILL.

    Guards against requests that find no gateway: clients use the connections they have for as long as
    those stay open, and whoever sends them here learns late that they would be better off elsewhere. Where
    the next process has taken over, the end comes as soon as nothing is in hand.
    """
    loop = asyncio.get_running_loop()
    longest_s = max(item.deadline_ms for item in settings.classes) / 1000.0
    span_s = min(KILL_S[0], longest_s) + KILL_S[1] - SPARE_S
    end = loop.time() + span_s
    log.info("stopping")
    driver.post(api.ShutdownBegun(span_s * 1000.0))
    while loop.time() < end - LAST_S:
        if hot_restart and hot_restart.complete() and not clients.connections and not driver.calls:
            break
        await asyncio.sleep(0.01)
    clients.stop_listening()
    # The decisions give their last answers just before the end; each connection closes behind its own. One
    # that the loop has just accepted is known a turn later: so a turn comes before the first look.
    while True:
        await asyncio.sleep(0.01)
        if clients.over() or loop.time() >= end + CLOSE_S:
            break
    clients.abort()


def _check(path: str) -> int:
    """Check a file without serving: its faults, if any, on standard error."""
    config = _load({**os.environ, "EDGE_CONFIG": path})
    if config is None:
        return BAD_CONFIGURATION
    for name in config.unknown:
        print(f"warning: {name}: unknown, not read", file=sys.stderr)
    return 0


def _load(environment: Mapping[str, str]) -> Config | None:
    """The configuration; None when its faults have been told."""
    try:
        return read(read_file(environment.get("EDGE_CONFIG", "")), environment)
    except ConfigError as error:
        for fault in error.faults:
            print(fault, file=sys.stderr)
        return None


def main(arguments: Sequence[str] = ()) -> int:
    """Run the gateway; 0 after SIGTERM. ``--check FILE`` checks a file, ``--about`` tells what hands over."""
    if list(arguments) == ["--about"]:
        print(json.dumps(ABOUT))
        return 0
    if arguments:
        if len(arguments) != 2 or arguments[0] != "--check":
            print("usage: python -m quota_gateway [--check FILE | --about]", file=sys.stderr)
            return BAD_CONFIGURATION
        return _check(arguments[1])
    hang_up = HangUp()
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s %(message)s"
    )
    for handler in logging.getLogger().handlers:
        handler.addFilter(Sparing())
    config = _load(os.environ)
    if config is None:
        return BAD_CONFIGURATION
    if config.unknown:
        log.warning("unknown in the configuration, not read: %s", told(list(config.unknown)))
    gc.freeze()
    uvloop.run(serve(config, hang_up))
    hang_up.ignore()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
