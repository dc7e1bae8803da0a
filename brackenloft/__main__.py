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
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import uvloop

from brackenloft import interface as api
from brackenloft.logic import Gateway
from brackenloft.net import admin
from brackenloft.net.clients import Clients
from brackenloft.net.discovery import Discovery
from brackenloft.net.driver import Clock, Driver
from brackenloft.net.handover import Handover
from brackenloft.net.operators import Operators
from brackenloft.net.servers import Address, Servers
from brackenloft.settings import settings_from

log = logging.getLogger("brackenloft")

OTHER_DESCRIPTORS = 32  # beside clients and servers: the log, the loop, discovery, the listener, a margin
LINES_PER_S = 20  # of the log, at most
FIRST_LIST_S = 1.0  # how long the known list, which may be old, waits for discovery's before it must do
LAST_S = 0.5  # before its end a gateway that stops takes no more: what it took last is answered in that time
KILL_S = (3.0, 0.7)  # after SIGTERM comes SIGKILL: the longest deadline, this at most, and so much more
SPARE_S = 0.3  # of that time, in which all is answered but not yet killed
READ_AGAIN_S = (0.1, 20)  # after SIGHUP: between readings of a file that can't be read, and how many


class Sparing(logging.Filter):
    """Lets so many lines through in a second and tells how many it kept back.

    Guards against peers that write the log: each broken answer of a server is a line.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self.clock, self.second, self.lines, self.kept_back = clock, -1, 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the line is written."""
        second = int(self.clock())
        if second != self.second:
            if self.kept_back:
                record.msg, record.args = f"{record.getMessage()} ({self.kept_back} lines left out)", ()
            self.second, self.lines, self.kept_back = second, 0, 0
        self.lines += 1
        if self.lines > LINES_PER_S:
            self.kept_back += 1
        return self.lines <= LINES_PER_S


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host, int(port)


@dataclass(frozen=True)
class Config:
    """What the gateway is told at its start."""

    name: str
    listen: Address
    discovery: Address
    admin: Address | None
    seed: int
    descriptors: int
    known: Any
    settings: api.Settings

    @staticmethod
    def load(environment: dict[str, str]) -> Config:
        """From EDGE_CONFIG; EDGE_LISTEN and EDGE_DISCOVERY, where set, say the same or come first."""
        document = json.loads(Path(environment["EDGE_CONFIG"]).read_text())
        door = environment.get("EDGE_ADMIN") or document.get("admin")
        return Config(
            name=environment.get("EDGE_NAME") or document["name"],
            listen=_address(environment.get("EDGE_LISTEN") or document["listen"]),
            discovery=_address(environment.get("EDGE_DISCOVERY") or document["discovery"]),
            admin=_address(door) if door else None,
            seed=int(document["seed"], 16), descriptors=int(document["limits"]["sockets"]),
            known=document["known"], settings=settings_from(document["settings"]),
        )


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


def _reload(discovery: Discovery, tries: int = READ_AGAIN_S[1]) -> None:
    """Read the configuration again: discovery may have moved. Decisions keep the settings of the start.

    The file comes before EDGE_DISCOVERY here, which is of the start. Guards against a file that is being
    written: it is read again a little later; meanwhile all stays as it was.
    """
    try:
        document = json.loads(Path(os.environ["EDGE_CONFIG"]).read_text())
        discovery.move(_address(document["discovery"]))
    except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
        log.error("the configuration can't be read: %r", error)
        if tries > 1:
            asyncio.get_running_loop().call_later(READ_AGAIN_S[0], _reload, discovery, tries - 1)


async def serve(config: Config) -> None:
    """Serve until SIGTERM, then see to what was taken and return."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    others = OTHER_DESCRIPTORS + (admin.DESCRIPTORS if config.admin else 0)
    budget = max(2, config.descriptors - others)
    servers = Servers(config.settings, budget // 2)
    driver = Driver(Gateway(config.settings, config.seed), servers, Clock())
    clients = Clients(driver, config.settings, budget // 2)
    driver.on_admit = clients.admit

    def news(listing: api.ServerList, addresses: dict[int, Address]) -> None:
        servers.update(listing, addresses)
        driver.post(listing)
        if listing.kind is not api.ListKind.CACHED:
            clients.ready = True

    discovery = Discovery(config.discovery, news, config.seed, config.settings.gateways)
    loop.add_signal_handler(signal.SIGHUP, _reload, discovery)
    who = {"name": config.name, "listen": f"{config.listen[0]}:{config.listen[1]}"}
    handover = Handover(os.environ.get("TMPDIR"), who, driver, clients, servers, discovery)
    operators = Operators(driver, clients, discovery.roster, handover)
    door = admin.Door(operators.calls())
    if config.admin:
        await door.listen(*config.admin)
    passed = _passed(dict(os.environ), config.listen)
    if await handover.take():
        clients.ready = True
    else:
        discovery.known(config.known)
        loop.call_later(FIRST_LIST_S, lambda: setattr(clients, "ready", True))
    watching = loop.create_task(discovery.run())
    await clients.listen(*config.listen, passed or handover.take_listener())
    handover.offer()
    operators.up.set()
    log.info("listening")
    await stop.wait()
    await _leave(config.settings, driver, clients, handover)
    handover.close()
    door.close()
    watching.cancel()
    servers.close()


async def _leave(
    settings: api.Settings, driver: Driver, clients: Clients, handover: Handover | None = None,
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
    driver.post(api.Stopping(span_s * 1000.0))
    while loop.time() < end - LAST_S:
        if handover and handover.done() and not clients.connections and not driver.calls:
            break
        await asyncio.sleep(0.01)
    clients.stop_listening()
    while clients.connections and loop.time() < end:
        await asyncio.sleep(0.01)
    clients.abort()


def main() -> int:
    """Run the gateway; 0 after SIGTERM."""
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s %(message)s")
    for handler in logging.getLogger().handlers:
        handler.addFilter(Sparing())
    config = Config.load(dict(os.environ))
    gc.freeze()
    uvloop.run(serve(config))
    return 0


if __name__ == "__main__":
    sys.exit(main())
