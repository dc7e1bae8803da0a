"""Reads a JSON document field by field and reports all of its faults, not only the first.

A fault states the path, the value and what was expected. A value that can't be read is replaced by a
harmless one of its type, so that reading continues; once there is a fault, nothing may be built from the
values.
"""

from __future__ import annotations

import json
import re
from collections import Counter
from collections.abc import Mapping
from math import inf, isfinite
from typing import Any, TypeVar

from quota_gateway.errors import ConfigurationError

MAX_NUMBER = 1e12  # a larger number is more likely a typing error than intended
MAX_TEXT_CHARACTERS = 256
MAX_LIST_ITEMS = 256
MAX_DEPTH = 32  # levels of tables and lists within each other
MAX_SHOWN_CHARACTERS = 60  # of a value, in a fault or a log line
MAX_PORT = 65535
MISSING = object()
HOST = re.compile(r"[A-Za-z0-9]([A-Za-z0-9.-]{0,250}[A-Za-z0-9])?")

Choice = TypeVar("Choice")
Address = tuple[str, int]


class JsonTable(dict[str, Any]):
    """A JSON object that remembers which names occurred in it more than once."""

    def __init__(self, pairs: list[tuple[str, Any]]) -> None:
        super().__init__(pairs)
        counts = Counter(name for name, _ in pairs) if len(self) < len(pairs) else {}
        self.duplicates = [name for name, count in counts.items() if count > 1]


def parse(raw: bytes) -> JsonTable:
    """Parse a document and return its outermost table.

    Raises:
        ConfigurationError: The bytes are not a JSON object. Transient if the file may be only partly written.
    """
    if not raw.strip():
        raise ConfigurationError(["the configuration file is empty"], is_transient=True)
    try:
        document = json.loads(raw, object_pairs_hook=JsonTable)
    except RecursionError:
        raise ConfigurationError(["the configuration file is nested too deeply"]) from None
    except ValueError as error:  # not JSON, not UTF-8, or a number of too many digits
        raise ConfigurationError(
            [f"the configuration file is not JSON: {error}"[:200]], is_transient=True
        ) from None
    if not isinstance(document, JsonTable):
        raise ConfigurationError(
            [f"the configuration file: {format_value(document)}, want a table of names and values"]
        )
    return document


def format_value(value: object) -> str:
    """A value as JSON for a fault or a log line, cut to a short line."""
    text = "missing" if value is MISSING else json.dumps(value)
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return f"{text[: MAX_SHOWN_CHARACTERS - 3]}..."


def join_path(path: str, name: str) -> str:
    """The path of a name within the table at ``path``."""
    name = name[:MAX_TEXT_CHARACTERS]
    return f"{path}.{name}" if path else name


def parse_address(text: str) -> Address | None:
    """The host and port of a text; None if it is not ``host:port``."""
    host, _, port = text.rpartition(":")
    if not HOST.fullmatch(host) or not (port.isascii() and port.isdecimal() and len(port) <= 5):
        return None
    return (host, int(port)) if 0 < int(port) <= MAX_PORT else None


class ConfigReport:
    """What reading a document has found: faults, unknown names, and the values read."""

    def __init__(self) -> None:
        self.faults: list[str] = []
        self.unknown_names: list[str] = []
        self.values: dict[str, Any] = {}  # by path, with rows by name, for comparing configurations
        self._faulty_paths: set[str] = set()

    def fault(self, path: str, value: object, expected: str) -> None:
        """Add a fault, unless its path has one already."""
        if path not in self._faulty_paths:
            self._faulty_paths.add(path)
            self.faults.append(f"{path}: {format_value(value)}, want {expected}")

    def check_nested_values(self, path: str, value: object, depth: int = 0) -> None:
        """Report what is a fault at any path: duplicate names, numbers that are not finite, deep nesting."""
        if depth > MAX_DEPTH:
            self.fault(path, "...", f"at most {MAX_DEPTH} levels of nesting")
        elif isinstance(value, float) and not isfinite(value):
            self.fault(path, value, "a finite number")
        elif isinstance(value, JsonTable):
            for name in value.duplicates:
                self.fault(join_path(path, name), value[name], "each name once")
            for name, item in value.items():
                self.check_nested_values(join_path(path, name), item, depth + 1)
        elif isinstance(value, list):
            for number, item in enumerate(value):
                self.check_nested_values(f"{path}[{number}]", item, depth + 1)


class TableReader:
    """Reads one table of a document.

    ``path`` is the table's path with rows by number, for faults; ``key`` is the same path with rows by name,
    for comparing configurations.
    """

    def __init__(self, report: ConfigReport, path: str, key: str, value: object) -> None:
        self._report = report
        self._path = path
        self._key = key
        self._is_table = isinstance(value, dict)
        self._fields: Mapping[str, Any] = value if isinstance(value, dict) else {}
        self._known_names: set[str] = set()
        self._children: list[TableReader] = []
        if not self._is_table:
            report.fault(path, value, "a table of names and values")

    # ---- Faults

    def ignore(self, *names: str) -> None:
        """Accept names that may occur in this table though they are not read."""
        self._known_names.update(names)

    def report_unknown_names(self) -> None:
        """Report the names that were neither read nor ignored, in this table and in those read from it."""
        unknown = [join_path(self._path, name) for name in self._fields if name not in self._known_names]
        self._report.unknown_names.extend(unknown)
        for child in self._children:
            child.report_unknown_names()

    def require(self, holds: bool, name: str, expected: str) -> None:
        """Add a fault of a field unless ``holds``, for conditions on more than the value alone."""
        if not holds:
            self._fault(name, self._fields.get(name, MISSING), expected)

    def _fault(self, name: str, value: object, expected: str) -> None:
        """Add a fault, unless the whole table is missing, which is a fault already."""
        if self._is_table:
            self._report.fault(join_path(self._path, name), value, expected)

    def _raw(self, name: str, default: object = MISSING) -> Any:
        """A value as it is in the document; the default, if any, where it is missing or null."""
        self._known_names.add(name)
        value = self._fields.get(name, MISSING)
        if (value is MISSING or value is None) and default is not MISSING:
            return default
        return value

    def _accept(self, name: str, value: Any) -> Any:
        self._report.values[join_path(self._key, name)] = value
        return value

    # ---- Values

    def number(
        self,
        name: str,
        minimum: float = 0.0,
        maximum: float = MAX_NUMBER,
        above_minimum: bool = False,
        default: object = MISSING,
    ) -> float:
        """A number of at least the minimum, or above it, and at most the maximum."""
        value = self._raw(name, default)
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if not is_number or not minimum <= value <= maximum or (above_minimum and value <= minimum):
            least = f"above {minimum:g}" if above_minimum else f"of at least {minimum:g}"
            is_too_large = maximum < inf and is_number and value > maximum
            most = f" and at most {maximum:g}" if is_too_large else ""
            self._fault(name, value, f"a number {least}{most}")
            return max(minimum, 1.0) if above_minimum else minimum
        return float(self._accept(name, value))

    def integer(self, name: str, minimum: int = 0, maximum: int = int(1e9)) -> int:
        """A whole number within bounds."""
        value = self.number(name, minimum, maximum)
        if value != int(value):
            self._fault(name, value, "a whole number")
        return int(value)

    def boolean(self, name: str) -> bool:
        """True or false."""
        value = self._raw(name)
        if not isinstance(value, bool):
            self._fault(name, value, "true or false")
            return False
        return bool(self._accept(name, value))

    def text(self, name: str, may_be_empty: bool = False, default: object = MISSING) -> str:
        """A short text of printable characters, which therefore can be encoded."""
        value = self._raw(name, default)
        if not _is_short_text(value) or not (value or may_be_empty):
            least = 0 if may_be_empty else 1
            self._fault(name, value, f"a printable text of {least} to {MAX_TEXT_CHARACTERS} characters")
            return ""
        return str(self._accept(name, value))

    def texts(self, name: str) -> list[str]:
        """A list of short printable texts."""
        value = self._raw(name)
        if not isinstance(value, list) or len(value) > MAX_LIST_ITEMS or not all(map(_is_short_text, value)):
            self._fault(name, value, "a list of short printable texts")
            return []
        return list(self._accept(name, value))

    def choice(self, name: str, choices: Mapping[str, Choice]) -> Choice:
        """The member of ``choices`` that the word in the document stands for."""
        value = self._raw(name)
        if not isinstance(value, str) or value not in choices:
            self._fault(name, value, "one of " + ", ".join(choices))
            return next(iter(choices.values()))
        return choices[self._accept(name, value)]

    def address(self, name: str, default: object = MISSING) -> Address:
        """An address as ``host:port``."""
        value = self._raw(name, default)
        address = parse_address(value) if isinstance(value, str) else None
        if address is None:
            self._fault(name, value, "host:port")
            return "", 0
        self._accept(name, value)
        return address

    # ---- Tables

    def table(self, name: str) -> TableReader:
        """A table within this one."""
        value = self._raw(name)
        if not self._is_table:
            value = {}
        child = TableReader(self._report, join_path(self._path, name), join_path(self._key, name), value)
        child._is_table = child._is_table and self._is_table
        self._children.append(child)
        return child

    def rows(self, name: str, max_rows: int) -> list[TableReader]:
        """The readers of a list of tables; no two rows may have the same name."""
        value = self._raw(name)
        if not isinstance(value, list) or not 0 < len(value) <= max_rows:
            self._fault(name, value, f"a list of 1 to {max_rows} tables")
            return []
        used_labels: set[str] = set()
        rows = []
        for number, row in enumerate(value):
            row_name = row.get("name") if isinstance(row, dict) else None
            label = row_name if isinstance(row_name, str) else str(number)
            rows.append(self._row(name, number, label, row, is_unique=label not in used_labels))
            used_labels.add(label)
        self._children.extend(rows)
        return rows

    def _row(self, name: str, number: int, label: str, value: object, is_unique: bool) -> TableReader:
        path = f"{join_path(self._path, name)}[{number}]"
        key = f"{join_path(self._key, name)}[{label[:MAX_TEXT_CHARACTERS]}]"
        row = TableReader(self._report, path, key, value)
        row.require(is_unique, "name", "a name that no other row has")
        return row


def _is_short_text(value: object) -> bool:
    return isinstance(value, str) and len(value) <= MAX_TEXT_CHARACTERS and value.isprintable()
