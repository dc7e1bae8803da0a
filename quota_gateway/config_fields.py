"""Kinds of configuration fields: each reads its value, checks it, and writes it back."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from quota_gateway.config_reader import MAX_NUMBER, MISSING, TableReader

Values = dict[str, Any]  # of settings, by attribute


class Field:
    """A field of the configuration, and the attribute of the settings that it becomes."""

    def __init__(self, key: str, attribute: str, unit: str = "", help: str = "") -> None:
        self.key = key
        self.attribute = attribute
        self.unit = unit
        self.help = help

    def read(self, table: TableReader) -> Any:
        """The value for the settings; a fault is noted, and something harmless is returned."""
        raise NotImplementedError

    def write(self, value: Any) -> Any:
        """The value as the configuration has it."""
        return value


class NumberField(Field):
    """A number; ``zero_means`` is the value of a 0 that stands for something else."""

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
        """The number, within its range."""
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
        """The whole number, within its range."""
        return table.integer(self.key, self.minimum, self.maximum)


class BooleanField(Field):
    """True or false."""

    def read(self, table: TableReader) -> bool:
        """The truth value."""
        return table.boolean(self.key)


class TextField(Field):
    """A short printable text."""

    def __init__(self, key: str, attribute: str, help: str = "", may_be_empty: bool = False) -> None:
        super().__init__(key, attribute, help=help)
        self.may_be_empty = may_be_empty

    def read(self, table: TableReader) -> str:
        """The text."""
        return table.text(self.key, self.may_be_empty)


class ChoiceField(Field):
    """One of some words, each of which stands for a member of an enum."""

    def __init__(self, key: str, attribute: str, choices: Mapping[str, Any], help: str = "") -> None:
        super().__init__(key, attribute, help=help)
        self.choices = choices

    def read(self, table: TableReader) -> Any:
        """What the word stands for."""
        return table.choice(self.key, self.choices)

    def write(self, value: Any) -> str:
        """The word."""
        return next(word for word, choice in self.choices.items() if choice is value)


class NamesField(Field):
    """A list of names, some of which have another name in the settings."""

    def __init__(self, key: str, attribute: str, renamed: Mapping[str, str], help: str = "") -> None:
        super().__init__(key, attribute, help=help)
        self.renamed = renamed

    def read(self, table: TableReader) -> tuple[str, ...]:
        """The names of the settings."""
        return tuple(self.renamed.get(name, name) for name in table.texts(self.key))

    def write(self, value: Iterable[str]) -> list[str]:
        """The names of the configuration."""
        keys = {attribute: key for key, attribute in self.renamed.items()}
        return [keys.get(name, name) for name in value]


def read_fields(fields: Iterable[Field], table: TableReader) -> Values:
    """The values of a table's fields, by attribute."""
    return {field.attribute: field.read(table) for field in fields}


def write_fields(fields: Iterable[Field], owner: object) -> dict[str, Any]:
    """A table of the configuration, from an object whose attributes the fields name."""
    return {field.key: field.write(getattr(owner, field.attribute)) for field in fields}
