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
from brackenloft.net.discovery import Discovery, Roster
from brackenloft.net.driver import Clock, Driver
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


def _calls(driver: Driver, clients: Clients, roster: Roster) -> dict[str, admin.Handler]:
    """What each call of the operators does: an event, and yes once the decisions have taken it over."""
    gateway = driver.gateway

    async def health(_: str) -> admin.Answer:
        if not clients.ready:
            return False, "the list of servers is not known yet"
        return True, f"{'drained' if gateway.draining else 'serving'}, {len(gateway.by_hand)} servers out"

    async def offline(name: str) -> admin.Answer:
        number = roster.number(name)
        if not number:
            return False, "nobody has this id"
        roster.pin(name)
        driver.post(api.ServerByHand(number, True))
        if number not in gateway.by_hand:
            roster.unpin(name, number in gateway.servers)
            return False, "too many servers are out"
        return True, "out"

    async def online(name: str) -> admin.Answer:
        number = roster.number(name)
        if not number:
            return False, "nobody has this id"
        driver.post(api.ServerByHand(number, False))
        roster.unpin(name, number in gateway.servers)
        return True, "back" if number in gateway.servers else "back, once discovery lists it"

    def drain(active: bool) -> admin.Handler:
        async def call(_: str) -> admin.Answer:
            driver.post(api.Drain(active))
            return gateway.draining == active, "drained" if active else "taking clients"
        return call

    return {"HEALTH": health, "OFFLINE": offline, "ONLINE": online, "LEAVE": drain(True),
            "JOIN": drain(False)}


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

    discovery = Discovery(config.discovery, news)
    loop.add_signal_handler(signal.SIGHUP, _reload, discovery)
    discovery.known(config.known)
    watching = loop.create_task(discovery.run())
    await clients.listen(*config.listen, _passed(dict(os.environ), config.listen))
    loop.call_later(FIRST_LIST_S, lambda: setattr(clients, "ready", True))
    door = admin.Door(_calls(driver, clients, discovery.roster))
    if config.admin:
        await door.listen(*config.admin)
    log.info("listening")
    await stop.wait()
    await _leave(config.settings, driver, clients)
    door.close()
    watching.cancel()
    servers.close()


async def _leave(settings: api.Settings, driver: Driver, clients: Clients) -> None:
    """Serve on until shortly before the end, answer all that was taken, close; all before SIGKILL.

    Guards against requests that find no gateway: clients use the connections they have for as long as
    those stay open, and whoever sends them here learns late that they would be better off elsewhere.
    """
    loop = asyncio.get_running_loop()
    longest_s = max(item.deadline_ms for item in settings.classes) / 1000.0
    span_s = min(KILL_S[0], longest_s) + KILL_S[1] - SPARE_S
    end = loop.time() + span_s
    log.info("stopping")
    driver.post(api.Stopping(span_s * 1000.0))
    await asyncio.sleep(max(0.0, span_s - LAST_S))
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
