"""The servers of the endpoint list, with indexes that find servers without a walk over the whole list."""

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
    """The ready servers of a group, and each one's position in that list by server number."""

    servers: list[Server]
    positions: dict[int, int]


class SlowStartPosition(NamedTuple):
    """A warming server's slow-start phase, and its position in the list of warming servers."""

    phase: float
    position: int


class ServersExcept(Sequence[Server]):
    """View of a list of servers without those at some positions. A copy would take as long as the list is."""

    def __init__(
        self, servers: list[Server], positions: Mapping[int, int], excluded_positions: list[int]
    ) -> None:
        self.servers = servers
        self.positions = positions
        self.excluded_positions = excluded_positions  # ascending

    def __len__(self) -> int:
        return len(self.servers) - len(self.excluded_positions)

    def __getitem__(self, index: Any) -> Any:
        for position in self.excluded_positions:
            if position > index:
                break
            index += 1
        return self.servers[index]

    def __contains__(self, server: object) -> bool:
        position = self.positions.get(server.id) if isinstance(server, Server) else None
        return (
            position is not None
            and position not in self.excluded_positions
            and self.servers[position] is server
        )


class Endpoints:
    """Servers by number, as discovery lists them, and those that operators took out of service.

    The lists of ready, warming and restored servers and of the servers in a group are as of the last
    `refresh`, in the order of the endpoint list. `refresh` must be called after every change of a server.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.admin_down: set[int] = set()  # numbers of servers that operators took out, listed or not
        self.servers: dict[int, Server] = {}
        self.ready: list[Server] = []
        self.warming_up: list[Server] = []
        self.restored: list[Server] = []  # warming up; put back into service by operators and not used since
        self._groups: dict[ServerGroup, GroupIndex] = {}
        self._slow_start_positions: list[SlowStartPosition] = []  # sorted

    def update(self, event: ServerList) -> None:
        """Apply an endpoint list or changes of it. Servers that a complete list lacks are removed."""
        if event.kind in (ListKind.COMPLETE, ListKind.CACHED):
            listed = {entry.server for entry in event.entries}
            for number in [number for number in self.servers if number not in listed]:
                self._remove(number)
        for entry in event.entries:
            self._update_server(entry)

    def _update_server(self, entry: ServerEntry) -> None:
        """Apply one entry. What was observed of a server before its last start is forgotten."""
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
        """Put a server back into service. It counts as started at ``started_ms``."""
        self.admin_down.discard(number)
        if server := self.servers.get(number):
            server.reset()
            server.started_ms = server.restored_ms = started_ms
            server.must_be_used_by_ms = must_be_used_by_ms
            server.is_ready = server.is_listed_ready

    def refresh(self, is_warming_up: Callable[[Server], bool]) -> None:
        """Rebuild the lists and indexes."""
        self.ready = [server for server in self.servers.values() if server.is_ready]
        self.warming_up = [server for server in self.ready if is_warming_up(server)]
        self.restored = [server for server in self.warming_up if server.must_be_used_by_ms < inf]
        self._groups = {}
        self._slow_start_positions = sorted(
            SlowStartPosition(server.slow_start_phase, position)
            for position, server in enumerate(self.warming_up)
        )

    def ready_in_group(self, group: ServerGroup, excluded: Collection[int]) -> ServersExcept:
        """The ready servers of a group, without those whose numbers are excluded."""
        index = self._groups.get(group)
        if index is None:
            servers = [server for server in self.ready if group.contains(server)]
            positions = {server.id: position for position, server in enumerate(servers)}
            index = self._groups[group] = GroupIndex(servers, positions)
        excluded_positions = sorted(
            index.positions[number] for number in excluded if number in index.positions
        )
        return ServersExcept(index.servers, index.positions, excluded_positions)

    def warming_up_in(self, low: float, width: float) -> list[Server]:
        """Warming servers whose phase lies in the `width` from `low` on, in the order of the endpoint list.

        Phases form a circle from 0 to 1: a range that passes 1 goes on from 0.
        """
        if width >= 1.0:
            return self.warming_up
        positions = self._slow_start_positions
        high = low + width
        found = positions[self._first_index_from(low) : self._first_index_from(high)]
        if high > 1.0:
            found += positions[: self._first_index_from(high - 1.0)]
        return [self.warming_up[position] for position in sorted(item.position for item in found)]

    def _first_index_from(self, phase: float) -> int:
        """Index of the first of the sorted slow-start positions whose phase is not below this one."""
        return bisect_left(self._slow_start_positions, SlowStartPosition(phase, -1))

    def overdue(self, now_ms: float) -> Server | None:
        """The first server that operators put back and that had to be used by now; None if there is none."""
        for server in self.restored:
            if server.is_ready and server.must_be_used_by_ms <= now_ms:
                return server
        return None
