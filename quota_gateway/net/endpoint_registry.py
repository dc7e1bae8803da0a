"""The current endpoint list, and the numbers by which the policy identifies its servers."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import count
from typing import Any, NamedTuple

from quota_gateway import api
from quota_gateway.errors import DiscoveryError
from quota_gateway.net.endpoint_rows import EndpointRow, parse_row
from quota_gateway.net.servers import Address


class EndpointUpdate(NamedTuple):
    """Result of applying a list: servers for the policy, and addresses by server number for the sockets."""

    listing: api.ServerList
    addresses: dict[int, Address]


class EndpointRegistry:
    """Applies discovery's lists, and assigns a number to each instance id.

    A number is never reused, as an attempt at a removed server may still be in flight.
    """

    def __init__(self) -> None:
        self.numbers: dict[str, int] = {}  # by instance id
        self.generation: int | None = None  # of the last applied list; None: the complete list is needed
        self.rows: dict[str, Any] = {}  # by instance id, as sent by discovery
        self._next_number = count(1)
        self._pinned: set[str] = set()

    def apply(self, document: Any, cached: bool = False) -> EndpointUpdate:
        """Apply a list, either complete or changes; a cached list counts as complete whatever it declares.

        Raises:
            DiscoveryError: The list is malformed, and none of it has been applied.
        """
        complete = cached or bool(_field(document, "reset"))
        generation = _generation(document)
        documents = _instances(document)
        rows = [parse_row(item) for item in documents]
        entries = [row.entry(self.assign(row.instance_id)) for row in rows]
        addresses = {entry.server: row.address for entry, row in zip(entries, rows, strict=True)}
        if complete:
            self._remove_all_except(row.instance_id for row in rows)
        for row, item in zip(rows, documents, strict=True):
            self._store_or_remove(row, item)
        self.generation = generation
        kind = api.ListKind.COMPLETE if complete else api.ListKind.CHANGES
        if cached:
            kind = api.ListKind.CACHED
        return EndpointUpdate(api.ServerList(kind, tuple(entries), generation), addresses)

    def _remove_all_except(self, instance_ids: Iterable[str]) -> None:
        listed = {*instance_ids, *self._pinned}
        self.numbers = {name: number for name, number in self.numbers.items() if name in listed}
        self.rows.clear()

    def _store_or_remove(self, row: EndpointRow, document: Any) -> None:
        if not row.is_removed:
            self.rows[row.instance_id] = document
            return
        self.rows.pop(row.instance_id, None)
        if row.instance_id not in self._pinned:
            self.numbers.pop(row.instance_id, None)

    def request_complete_list(self) -> None:
        """Forget the generation of the last list, so that the next watch requests the complete list."""
        self.generation = None

    def document(self) -> dict[str, Any]:
        """The current complete list, in discovery's format."""
        return {"generation": self.generation or 0, "reset": True, "instances": list(self.rows.values())}

    # ---- Numbers

    def assign(self, instance_id: str) -> int:
        """The number of an instance id; assigns a new one if it has none."""
        if instance_id not in self.numbers:
            self.numbers[instance_id] = next(self._next_number)
        return self.numbers[instance_id]

    def number(self, instance_id: str) -> int:
        """The number of an instance id; 0 if it is unknown."""
        return self.numbers.get(instance_id, 0)

    def pin(self, instance_id: str) -> None:
        """Keep the number of an instance id even while discovery does not list it."""
        self._pinned.add(instance_id)

    def unpin(self, instance_id: str, listed: bool) -> None:
        """Undo ``pin``: keep the number of an instance id only as long as it is listed."""
        self._pinned.discard(instance_id)
        if not listed:
            self.numbers.pop(instance_id, None)


def _field(document: Any, name: str) -> Any:
    try:
        return document[name]
    except (KeyError, TypeError, IndexError):  # the document may be any JSON value
        raise DiscoveryError(f"endpoint list has no field {name}") from None


def _generation(document: Any) -> int:
    value = _field(document, "generation")
    try:
        return int(value)
    except (ValueError, TypeError, OverflowError):  # it may be any JSON value
        raise DiscoveryError(f"endpoint list has an invalid generation: {value!r:.40}") from None


def _instances(document: Any) -> list[Any]:
    value = _field(document, "instances")
    try:
        return list(value)
    except TypeError:  # a number or null
        raise DiscoveryError(f"endpoint list has invalid instances: {value!r:.40}") from None
