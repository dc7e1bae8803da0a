"""The servers of the endpoint list, with the indexes by which a few of them are found quickly."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Collection, Mapping, Sequence
from math import inf
from random import Random
from typing import Any, NamedTuple

from quota_gateway.api import ListKind, ServerEntry, ServerList, ServerState
from quota_gateway.state.server import Server


class ServerGroup(NamedTuple):
    """Servers of a zone, or of a cell in a zone; all servers where neither is given."""

    zone: str | None = None
    cell: int | None = None

    def contains(self, server: Server) -> bool:
        """Whether the server belongs to the group."""
        if self.zone is None:
            return True
        if self.cell is None:
            return server.zone == self.zone
        return server.zone == self.zone and server.cell == self.cell


class GroupIndex(NamedTuple):
    """The ready servers of a group, and the place of each in them by its number."""

    servers: list[Server]
    places: dict[int, int]


class SlowStartPlace(NamedTuple):
    """A warming server's phase, and its place in the list of warming servers."""

    phase: float
    place: int


class ServersExcept(Sequence[Server]):
    """Servers of a list without those at some places: a view, as a copy would cost as much as the list."""

    def __init__(self, servers: list[Server], places: Mapping[int, int], left_out: list[int]) -> None:
        self.servers = servers
        self.places = places
        self.left_out = left_out  # places, ascending

    def __len__(self) -> int:
        return len(self.servers) - len(self.left_out)

    def __getitem__(self, number: Any) -> Any:
        for place in self.left_out:
            if place > number:
                break
            number += 1
        return self.servers[number]

    def __contains__(self, server: object) -> bool:
        place = self.places.get(server.id) if isinstance(server, Server) else None
        return place is not None and place not in self.left_out and self.servers[place] is server


class Endpoints:
    """Servers by number, as discovery lists them and as operators took them out.

    Which servers are ready, warming up, in a group or overdue holds as of the last `refresh`, in the order of
    the endpoint list; it is due after every change of a server.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.admin_down: set[int] = set()  # numbers of servers that operators took out, listed or not
        self.servers: dict[int, Server] = {}
        self.ready: list[Server] = []
        self.warming_up: list[Server] = []
        self.restored: list[Server] = []  # warming up, put back by operators and not used since
        self._groups: dict[ServerGroup, GroupIndex] = {}
        self._slow_start_places: list[SlowStartPlace] = []  # sorted

    def update(self, event: ServerList) -> None:
        """Take over a list or a change of it; servers that a complete list lacks are removed."""
        if event.kind in (ListKind.COMPLETE, ListKind.CACHED):
            listed = {entry.server for entry in event.entries}
            for number in [number for number in self.servers if number not in listed]:
                self._remove(number)
        for entry in event.entries:
            self._update_server(entry)

    def _update_server(self, entry: ServerEntry) -> None:
        """Take over one entry; what a server showed before it was started anew is forgotten."""
        if entry.state is ServerState.REMOVED:
            self._remove(entry.server)
            return
        server = self.servers.get(entry.server)
        if server is None:
            server = self.servers[entry.server] = Server(entry, self.random.random())
        else:
            if entry.started_ms > server.started_ms:
                server.reset()
            server.update(entry)
        if entry.server in self.admin_down:
            server.is_ready = False

    def _remove(self, number: int) -> None:
        server = self.servers.pop(number, None)
        if server:
            server.is_ready = False

    def mark_admin_down(self, number: int) -> None:
        """Mark a server as administratively down, listed or not."""
        self.admin_down.add(number)
        if server := self.servers.get(number):
            server.is_ready = False

    def clear_admin_down(self, number: int, started_ms: float, must_be_used_by_ms: float) -> None:
        """Let a server serve again, as one that was started at this time."""
        self.admin_down.discard(number)
        if server := self.servers.get(number):
            server.reset()
            server.started_ms = server.restored_ms = started_ms
            server.must_be_used_by_ms = must_be_used_by_ms
            server.is_ready = server.is_listed_ready

    def refresh(self, is_warming_up: Callable[[Server], bool]) -> None:
        """Build the lists and indexes anew."""
        self.ready = [server for server in self.servers.values() if server.is_ready]
        self.warming_up = [server for server in self.ready if is_warming_up(server)]
        self.restored = [server for server in self.warming_up if server.must_be_used_by_ms < inf]
        self._groups = {}
        self._slow_start_places = sorted(
            SlowStartPlace(server.slow_start_phase, place) for place, server in enumerate(self.warming_up)
        )

    def ready_in_group(self, group: ServerGroup, excluded: Collection[int]) -> ServersExcept:
        """The ready servers of a group but for some numbers."""
        index = self._groups.get(group)
        if index is None:
            servers = [server for server in self.ready if group.contains(server)]
            places = {server.id: place for place, server in enumerate(servers)}
            index = self._groups[group] = GroupIndex(servers, places)
        left_out = sorted(index.places[number] for number in excluded if number in index.places)
        return ServersExcept(index.servers, index.places, left_out)

    def warming_up_in(self, low: float, width: float) -> list[Server]:
        """Warming servers with phases from `low` over `width` of the circle 0 to 1, in the list's order."""
        if width >= 1.0:
            return self.warming_up
        places = self._slow_start_places
        high = low + width
        found = places[self._first_from(low) : self._first_from(high)]
        if high > 1.0:
            found += places[: self._first_from(high - 1.0)]
        return [self.warming_up[place] for place in sorted(item.place for item in found)]

    def _first_from(self, phase: float) -> int:
        """Where in the sorted places the phases from this one on begin."""
        return bisect_left(self._slow_start_places, SlowStartPlace(phase, -1))

    def overdue(self, now_ms: float) -> Server | None:
        """The first server that was put back by operators and must be used by now."""
        for server in self.restored:
            if server.is_ready and server.must_be_used_by_ms <= now_ms:
                return server
        return None
