"""The endpoint list as it was listed last, and the numbers by which the decisions know its servers."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import count
from typing import Any, NamedTuple

from quota_gateway import api
from quota_gateway.errors import DiscoveryError
from quota_gateway.net.endpoint_rows import EndpointRow, parse_row
from quota_gateway.net.servers import Address


class EndpointUpdate(NamedTuple):
    """What one list of discovery changes: servers for the decisions, addresses for the sockets."""

    listing: api.ServerList
    addresses: dict[int, Address]


class EndpointRegistry:
    """Applies discovery's lists, and gives each instance id a number.

    A number is never used again, as an attempt on a server that is gone may still be in flight.
    """

    def __init__(self) -> None:
        self.numbers: dict[str, int] = {}  # by instance id
        self.generation: int | None = None  # of the list applied last; None: all of it is needed
        self.rows: dict[str, Any] = {}  # by instance id, in discovery's form
        self._next_number = count(1)
        self._pinned: set[str] = set()

    def apply(self, document: Any, cached: bool = False) -> EndpointUpdate:
        """Apply a list, a complete one or changes; a cached one is complete whatever it says.

        Raises:
            DiscoveryError: The list is malformed. Nothing of it is kept.
        """
        complete = cached or bool(_field(document, "reset"))
        generation = _generation(document)
        documents = _instances(document)
        rows = [parse_row(item) for item in documents]
        entries = [row.entry(self.assign(row.instance_id)) for row in rows]
        addresses = {entry.server: row.address for entry, row in zip(entries, rows, strict=True)}
        if complete:
            self._forget_all_but(row.instance_id for row in rows)
        for row, item in zip(rows, documents, strict=True):
            self._keep(row, item)
        self.generation = generation
        kind = api.ListKind.COMPLETE if complete else api.ListKind.CHANGES
        if cached:
            kind = api.ListKind.CACHED
        return EndpointUpdate(api.ServerList(kind, tuple(entries), generation), addresses)

    def _forget_all_but(self, instance_ids: Iterable[str]) -> None:
        listed = {*instance_ids, *self._pinned}
        self.numbers = {name: number for name, number in self.numbers.items() if name in listed}
        self.rows.clear()

    def _keep(self, row: EndpointRow, document: Any) -> None:
        if not row.is_removed:
            self.rows[row.instance_id] = document
            return
        self.rows.pop(row.instance_id, None)
        if row.instance_id not in self._pinned:
            self.numbers.pop(row.instance_id, None)

    def request_complete_list(self) -> None:
        """Forget how far the lists have come, as one of them was lost."""
        self.generation = None

    def document(self) -> dict[str, Any]:
        """The complete list as it stands, in discovery's form."""
        return {"generation": self.generation or 0, "reset": True, "instances": list(self.rows.values())}

    # ---- Numbers

    def assign(self, instance_id: str) -> int:
        """An id's number, a new one if it has none."""
        if instance_id not in self.numbers:
            self.numbers[instance_id] = next(self._next_number)
        return self.numbers[instance_id]

    def number(self, instance_id: str) -> int:
        """An id's number; 0 for an unknown one."""
        return self.numbers.get(instance_id, 0)

    def pin(self, instance_id: str) -> None:
        """Keep an id's number, whatever is listed."""
        self._pinned.add(instance_id)

    def unpin(self, instance_id: str, listed: bool) -> None:
        """Keep an id's number for as long as it is listed."""
        self._pinned.discard(instance_id)
        if not listed:
            self.numbers.pop(instance_id, None)


def _field(document: Any, name: str) -> Any:
    try:
        return document[name]
    except (KeyError, TypeError, IndexError):  # any JSON value may stand in place of the list
        raise DiscoveryError(f"a list without {name}") from None


def _generation(document: Any) -> int:
    value = _field(document, "generation")
    try:
        return int(value)
    except (ValueError, TypeError, OverflowError):  # any JSON value may stand here
        raise DiscoveryError(f"a list with generation {value!r:.40}") from None


def _instances(document: Any) -> list[Any]:
    value = _field(document, "instances")
    try:
        return list(value)
    except TypeError:  # a number or null
        raise DiscoveryError(f"a list with instances {value!r:.40}") from None
