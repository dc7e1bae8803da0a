"""The servers that discovery lists: by number, and those that are ready. Decides nothing."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from brackenloft.interface import ListKind, ServerEntry, ServerList, ServerState
from brackenloft.tables.rows import Server


class Fleet:
    """Servers by number. ``ready`` and ``cold`` are as of the last ``relist``, in the order of the lists."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.out: set[int] = set()  # the numbers of servers that are out by hand, listed or not
        self.servers: dict[int, Server] = {}
        self.ready: list[Server] = []
        self.cold: list[Server] = []

    def update(self, event: ServerList) -> None:
        """Take over discovery's news; those that are not in a whole list are listed no more."""
        if event.kind in (ListKind.FULL, ListKind.CACHED):
            listed = {entry.server for entry in event.entries}
            for number in [number for number in self.servers if number not in listed]:
                self._remove(number)
        for entry in event.entries:
            self._take(entry)

    def _take(self, entry: ServerEntry) -> None:
        """One entry of a list; a process that was started anew has shown nothing yet."""
        server = self.servers.get(entry.server)
        if entry.state is ServerState.GONE:
            self._remove(entry.server)
        elif server is None:
            self.servers[entry.server] = Server(entry, self.random.random())
        else:
            if entry.started_ms > server.started:
                server.reset()
            server.update(entry)
        if entry.server in self.out and entry.server in self.servers:
            self.servers[entry.server].ready = False

    def _remove(self, number: int) -> None:
        server = self.servers.pop(number, None)
        if server:
            server.ready = False

    def take_out(self, number: int) -> None:
        """A server is out by hand, listed or not."""
        self.out.add(number)
        if server := self.servers.get(number):
            server.ready = False

    def put_back(self, number: int, started: float, owed_at: float) -> None:
        """It may serve again, as one that has just started, and is to be used by that time (ms)."""
        self.out.discard(number)
        if server := self.servers.get(number):
            server.reset()
            server.started = server.back = started
            server.owed_at = owed_at
            server.ready = server.listed

    def relist(self, cold: Callable[[Server], bool]) -> None:
        """Note which servers are ready, and which of them are cold."""
        self.ready = [server for server in self.servers.values() if server.ready]
        self.cold = [server for server in self.ready if cold(server)]
