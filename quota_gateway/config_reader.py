"""Reads a JSON document field by field and notes every fault, where others stop at the first.

A fault tells the path, the value and what was expected. What could not be read is replaced by something
harmless, so that reading goes on; nothing may be built from it once there is a fault.
"""

from __future__ import annotations

import json
import re
from collections import Counter
from collections.abc import Iterable, Mapping
from math import inf, isfinite
from typing import Any, TypeVar

HIGHEST = 1e12  # of any number: beyond it a slip of the keyboard is likelier than a meaning
LONGEST_TEXT = 256
DEEPEST = 32  # tables in tables
MOST_TOLD = 100  # faults of one document
MISSING = object()
HOST = re.compile(r"[A-Za-z0-9]([A-Za-z0-9.-]{0,250}[A-Za-z0-9])?")

Choice = TypeVar("Choice")
Address = tuple[str, int]


class ConfigError(ValueError):
    """A document that can't be used, with all its faults. ``torn``: it may be whole a little later."""

    def __init__(self, faults: Iterable[str], torn: bool = False) -> None:
        told = list(faults)
        self.faults = told[:MOST_TOLD]
        if len(told) > MOST_TOLD:
            self.faults.append(f"and {len(told) - MOST_TOLD} more")
        self.torn = torn
        super().__init__("; ".join(self.faults))


class Table(dict[str, Any]):
    """An object of the document that remembers which names stood in it twice."""

    def __init__(self, pairs: list[tuple[str, Any]]) -> None:
        super().__init__(pairs)
        counts = Counter(name for name, _ in pairs) if len(self) < len(pairs) else {}
        self.twice = [name for name, count in counts.items() if count > 1]


def parse(raw: bytes) -> Table:
    """The document's outermost table."""
    if not raw.strip():
        raise ConfigError(["the file is empty"], torn=True)
    try:
        document = json.loads(raw, object_pairs_hook=Table)
    except RecursionError:
        raise ConfigError(["nested too deep"]) from None
    except ValueError as error:
        raise ConfigError([f"not JSON: {error}"[:200]], torn=True) from None
    if not isinstance(document, Table):
        raise ConfigError([f"the document: {show(document)}, want a table of names and values"])
    return document


def show(value: object) -> str:
    """A value for the log: one short line."""
    text = "missing" if value is MISSING else json.dumps(value)
    return text if len(text) <= 60 else f"{text[:57]}..."


class Found:
    """What a document's reading has brought to light: faults, unknown names, and the values read."""

    def __init__(self) -> None:
        self.faults: list[str] = []
        self.unknown: list[str] = []
        self.values: dict[str, Any] = {}  # by path, with rows by name: what a change is told by
        self.bad: set[str] = set()  # paths with a fault: each is told once

    def fault(self, path: str, value: object, want: str) -> None:
        """Note a fault, the first of a path only."""
        if path not in self.bad:
            self.bad.add(path)
            self.faults.append(f"{path}: {show(value)}, want {want}")

    def walk(self, path: str, value: object, depth: int = 0) -> None:
        """Note what is wrong wherever it stands: names given twice, numbers that are none, too deep nests."""
        if depth > DEEPEST:
            self.fault(path, "...", f"at most {DEEPEST} tables in one another")
        elif isinstance(value, float) and not isfinite(value):
            self.fault(path, value, "a finite number")
        elif isinstance(value, Table):
            for name in value.twice:
                self.fault(join(path, name), value[name], "each name once")
            for name, item in value.items():
                self.walk(join(path, name), item, depth + 1)
        elif isinstance(value, list):
            for number, item in enumerate(value):
                self.walk(f"{path}[{number}]", item, depth + 1)


def join(path: str, name: str) -> str:
    """The path of a name in a table."""
    return f"{path}.{name[:LONGEST_TEXT]}" if path else name[:LONGEST_TEXT]


class Node:
    """One table of a document. ``key`` is its path with rows by name, ``path`` with rows by number."""

    def __init__(self, found: Found, path: str, key: str, value: object) -> None:
        self.found = found
        self.path = path
        self.key = key
        self.whole_table = isinstance(value, dict)
        self.fields: Mapping[str, Any] = value if isinstance(value, dict) else {}
        self.names: set[str] = set()
        self.children: list[Node] = []
        if not self.whole_table:
            found.fault(path, value, "a table of names and values")

    def knows(self, *names: str) -> None:
        """Names that may stand here though they are not read."""
        self.names.update(names)

    def finish(self) -> None:
        """Note the names that nobody knows, here and in the tables read from here."""
        self.found.unknown.extend(join(self.path, name) for name in self.fields if name not in self.names)
        for child in self.children:
            child.finish()

    def raw(self, name: str, default: object = MISSING) -> Any:
        """A value as it stands; the default where there is none, or null."""
        self.names.add(name)
        value = self.fields.get(name, MISSING)
        if (value is MISSING or value is None) and default is not MISSING:
            return default
        return value

    def keep(self, name: str, value: Any) -> Any:
        """Remember what was read."""
        self.found.values[join(self.key, name)] = value
        return value

    def must(self, holds: bool, name: str, want: str) -> None:
        """Check what the single values can't tell."""
        if not holds:
            self.wrong(name, self.fields.get(name, MISSING), want)

    def wrong(self, name: str, value: object, want: str) -> None:
        """Note a fault, unless the whole table is missing, which has been told."""
        if self.whole_table:
            self.found.fault(join(self.path, name), value, want)

    def number(
        self,
        name: str,
        low: float = 0.0,
        high: float = HIGHEST,
        above: bool = False,
        default: object = MISSING,
    ) -> float:
        """A number within bounds."""
        value = self.raw(name, default)
        plain = isinstance(value, (int, float)) and not isinstance(value, bool)
        if not plain or not low <= value <= high or (above and value <= low):
            least = f"above {low:g}" if above else f"of at least {low:g}"
            most = f" and at most {high:g}" if high < inf and (plain and value > high) else ""
            self.wrong(name, value, f"a number {least}{most}")
            return max(low, 1.0) if above else low
        return float(self.keep(name, value))

    def whole(self, name: str, low: int = 0, high: int = int(1e9)) -> int:
        """A whole number within bounds."""
        value = self.number(name, low, high)
        if value != int(value):
            self.wrong(name, value, "a whole number")
        return int(value)

    def flag(self, name: str) -> bool:
        """True or false."""
        value = self.raw(name)
        if not isinstance(value, bool):
            self.wrong(name, value, "true or false")
            return False
        return bool(self.keep(name, value))

    def text(self, name: str, empty: bool = False, default: object = MISSING) -> str:
        """A short text that can be printed, and so be encoded."""
        value = self.raw(name, default)
        if not _is_text(value) or not (value or empty):
            self.wrong(name, value, f"a printable text of {0 if empty else 1} to {LONGEST_TEXT} characters")
            return ""
        return str(self.keep(name, value))

    def texts(self, name: str) -> list[str]:
        """A list of short texts."""
        value = self.raw(name)
        if not isinstance(value, list) or len(value) > LONGEST_TEXT or not all(map(_is_text, value)):
            self.wrong(name, value, "a list of texts")
            return []
        return list(self.keep(name, value))

    def choice(self, name: str, choices: Mapping[str, Choice]) -> Choice:
        """What one of these words stands for."""
        value = self.raw(name)
        if not isinstance(value, str) or value not in choices:
            self.wrong(name, value, "one of " + ", ".join(choices))
            return next(iter(choices.values()))
        return choices[self.keep(name, value)]

    def address(self, name: str, default: object = MISSING) -> Address:
        """``host:port``."""
        value = self.raw(name, default)
        found = address(value) if isinstance(value, str) else None
        if found is None:
            self.wrong(name, value, "host:port")
            return "", 0
        self.keep(name, value)
        return found

    def table(self, name: str) -> Node:
        """A table within this one."""
        value = self.raw(name)
        if not self.whole_table:
            value = {}
        child = Node(self.found, join(self.path, name), join(self.key, name), value)
        child.whole_table = child.whole_table and self.whole_table
        self.children.append(child)
        return child

    def rows(self, name: str, most: int) -> list[Node]:
        """A list of tables with names of their own, which no two share."""
        value = self.raw(name)
        if not isinstance(value, list) or not 0 < len(value) <= most:
            self.wrong(name, value, f"a list of 1 to {most} tables")
            return []
        path = join(self.path, name)
        key = join(self.key, name)
        taken: set[str] = set()
        rows: list[Node] = []
        for number, row in enumerate(value):
            own = row.get("name") if isinstance(row, dict) else None
            label = own if isinstance(own, str) else str(number)
            node = Node(self.found, f"{path}[{number}]", f"{key}[{label[:LONGEST_TEXT]}]", row)
            node.must(label not in taken, "name", "a name that no other has")
            taken.add(label)
            rows.append(node)
        self.children.extend(rows)
        return rows


def _is_text(value: object) -> bool:
    return isinstance(value, str) and len(value) <= LONGEST_TEXT and value.isprintable()


def address(text: str) -> Address | None:
    """Host and port; None if the text is none."""
    host, _, port = text.rpartition(":")
    if not HOST.fullmatch(host) or not (port.isascii() and port.isdecimal() and len(port) <= 5):
        return None
    return (host, int(port)) if 0 < int(port) < 65536 else None
