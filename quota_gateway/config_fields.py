"""Kinds of configuration fields: each reads and checks its value, and converts it back for writing."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from quota_gateway.config_reader import MAX_NUMBER, MISSING, TableReader

Values = dict[str, Any]  # values of settings, by attribute


class Field:
    """A field of the configuration and the attribute of the settings that it sets."""

    def __init__(self, key: str, attribute: str, unit: str = "", help: str = "") -> None:
        self.key = key
        self.attribute = attribute
        self.unit = unit
        self.help = help

    def read(self, table: TableReader) -> Any:
        """Read the value for the settings; on a fault, report it and return a harmless value."""
        raise NotImplementedError

    def write(self, value: Any) -> Any:
        """Convert a value of the settings to its form in the configuration."""
        return value


class NumberField(Field):
    """A number; where the configuration has 0, the settings get ``zero_means``."""

    def __init__(
        self,
        key: str,
        attribute: str,
        unit: str = "",
        help: str = "",
        maximum: float = MAX_NUMBER,
        is_positive: bool = False,
        default: object = MISSING,
        zero_means: float = 0.0,
    ) -> None:
        super().__init__(key, attribute, unit, help)
        self.maximum = maximum
        self.is_positive = is_positive
        self.default = default
        self.zero_means = zero_means

    def read(self, table: TableReader) -> float:
        """Read the number, which must be within its range."""
        number = table.number(
            self.key, maximum=self.maximum, above_minimum=self.is_positive, default=self.default
        )
        return number if number else self.zero_means


class IntegerField(Field):
    """A whole number."""

    def __init__(
        self,
        key: str,
        attribute: str,
        help: str = "",
        minimum: int = 0,
        maximum: int = 1_000_000_000,
    ) -> None:
        super().__init__(key, attribute, help=help)
        self.minimum = minimum
        self.maximum = maximum

    def read(self, table: TableReader) -> int:
        """Read the whole number, which must be within its range."""
        return table.integer(self.key, self.minimum, self.maximum)


class BooleanField(Field):
    """True or false."""

    def read(self, table: TableReader) -> bool:
        """Read the truth value."""
        return table.boolean(self.key)


class TextField(Field):
    """A short printable text."""

    def __init__(self, key: str, attribute: str, help: str = "", may_be_empty: bool = False) -> None:
        super().__init__(key, attribute, help=help)
        self.may_be_empty = may_be_empty

    def read(self, table: TableReader) -> str:
        """Read the text."""
        return table.text(self.key, self.may_be_empty)


class ChoiceField(Field):
    """A word out of a set, in which each word stands for a member of an enum."""

    def __init__(self, key: str, attribute: str, choices: Mapping[str, Any], help: str = "") -> None:
        super().__init__(key, attribute, help=help)
        self.choices = choices

    def read(self, table: TableReader) -> Any:
        """Read the word and return the enum member that it stands for."""
        return table.choice(self.key, self.choices)

    def write(self, value: Any) -> str:
        """The word that stands for an enum member."""
        return next(word for word, choice in self.choices.items() if choice is value)


class NamesField(Field):
    """A list of names; ``renamed`` maps those that the settings name differently to the settings' names."""

    def __init__(self, key: str, attribute: str, renamed: Mapping[str, str], help: str = "") -> None:
        super().__init__(key, attribute, help=help)
        self.renamed = renamed

    def read(self, table: TableReader) -> tuple[str, ...]:
        """Read the list and return the settings' names."""
        return tuple(self.renamed.get(name, name) for name in table.texts(self.key))

    def write(self, value: Iterable[str]) -> list[str]:
        """Convert the settings' names to those of the configuration."""
        keys = {attribute: key for key, attribute in self.renamed.items()}
        return [keys.get(name, name) for name in value]


def read_fields(fields: Iterable[Field], table: TableReader) -> Values:
    """Read the fields of a table; the values are returned by attribute."""
    return {field.attribute: field.read(table) for field in fields}


def write_fields(fields: Iterable[Field], owner: object) -> dict[str, Any]:
    """Convert an object with the fields' attributes to a table of the configuration."""
    return {field.key: field.write(getattr(owner, field.attribute)) for field in fields}
