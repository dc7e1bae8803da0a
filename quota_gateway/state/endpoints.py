"""The servers that discovery lists: by number, and those that are ready. Decides nothing."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Collection, Mapping, Sequence
from math import inf
from random import Random
from typing import Any

from quota_gateway.api import ListKind, ServerEntry, ServerList, ServerState
from quota_gateway.state.server import Server

Group = tuple[()] | tuple[str] | tuple[str, int]  # all servers, those of a zone, of a cell in a zone


class ServersExcept(Sequence[Server]):
    """Servers of a list without those at some places (ascending), seen and not copied."""

    def __init__(self, servers: list[Server], places: Mapping[int, int], gaps: list[int]) -> None:
        self.servers = servers
        self.places = places
        self.gaps = gaps

    def __len__(self) -> int:
        return len(self.servers) - len(self.gaps)

    def __getitem__(self, number: Any) -> Any:
        for gap in self.gaps:
            if gap > number:
                break
            number += 1
        return self.servers[number]

    def __contains__(self, server: object) -> bool:
        place = self.places.get(server.id) if isinstance(server, Server) else None
        return place is not None and place not in self.gaps and self.servers[place] is server


class Endpoints:
    """Servers by number. What is ready, cold, owed and in a group is as of the last ``relist``, in the order
    of the lists: whoever alters a server calls it.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.out: set[int] = set()  # the numbers of servers that are out by hand, listed or not
        self.servers: dict[int, Server] = {}
        self.ready: list[Server] = []
        self.warming_up: list[Server] = []
        self.owed: list[Server] = []  # cold ones that were put back by hand and are not used yet
        self._groups: dict[Group, tuple[list[Server], dict[int, int]]] = {}
        self._phases: list[tuple[float, int]] = []  # of cold servers, with their places

    def update(self, event: ServerList) -> None:
        """Take over discovery's news; those that are not in a whole list are listed no more."""
        if event.kind in (ListKind.COMPLETE, ListKind.CACHED):
            listed = {entry.server for entry in event.entries}
            for number in [number for number in self.servers if number not in listed]:
                self._remove(number)
        for entry in event.entries:
            self._take(entry)

    def _take(self, entry: ServerEntry) -> None:
        """One entry of a list; a process that was started anew has shown nothing yet."""
        server = self.servers.get(entry.server)
        if entry.state is ServerState.REMOVED:
            self._remove(entry.server)
        elif server is None:
            self.servers[entry.server] = Server(entry, self.random.random())
        else:
            if entry.started_ms > server.started_ms:
                server.reset()
            server.update(entry)
        if entry.server in self.out and entry.server in self.servers:
            self.servers[entry.server].is_ready = False

    def _remove(self, number: int) -> None:
        server = self.servers.pop(number, None)
        if server:
            server.is_ready = False

    def take_out(self, number: int) -> None:
        """A server is out by hand, listed or not."""
        self.out.add(number)
        if server := self.servers.get(number):
            server.is_ready = False

    def put_back(self, number: int, started: float, owed_at: float) -> None:
        """It may serve again, as one that has just started, and is to be used by that time (ms)."""
        self.out.discard(number)
        if server := self.servers.get(number):
            server.reset()
            server.started_ms = server.restored_ms = started
            server.must_be_used_by_ms = owed_at
            server.is_ready = server.is_listed_ready

    def relist(self, warming_up: Callable[[Server], bool]) -> None:
        """Note which servers are ready, and which of them are cold."""
        self.ready = [server for server in self.servers.values() if server.is_ready]
        self.warming_up = [server for server in self.ready if warming_up(server)]
        self.owed = [server for server in self.warming_up if server.must_be_used_by_ms < inf]
        self._groups = {}
        self._phases = sorted(
            (server.slow_start_phase, place) for place, server in enumerate(self.warming_up)
        )

    def others(self, key: Group, tried: Collection[int]) -> ServersExcept:
        """The ready servers of a group but for those tried. A group is made once for each list."""
        found = self._groups.get(key)
        if found is None:
            servers = [s for s in self.ready if key == (s.zone, s.cell)[: len(key)]]
            found = self._groups[key] = servers, {server.id: n for n, server in enumerate(servers)}
        servers, places = found
        return ServersExcept(servers, places, sorted(places[number] for number in tried if number in places))

    def in_phase(self, low: float, width: float) -> list[Server]:
        """Cold servers with phases from ``low`` on, as far as ``width``, round one; in the lists' order."""
        if width >= 1.0:
            return self.warming_up
        phases = self._phases
        high = low + width
        found = phases[bisect_left(phases, (low, -1)) : bisect_left(phases, (high, -1))]
        if high > 1.0:
            found += phases[: bisect_left(phases, (high - 1.0, -1))]
        return [self.warming_up[place] for place in sorted(place for _, place in found)]

    def due(self, now: float) -> Server | None:
        """A cold server that was put back by hand and must be used by now; the first of the list."""
        return next(
            (server for server in self.owed if server.is_ready and server.must_be_used_by_ms <= now), None
        )
