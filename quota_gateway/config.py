"""Reads the configuration of a gateway: at its start, on a reload and for a check without serving."""

from __future__ import annotations

import hashlib
import json
import os
import re
import stat
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, NamedTuple

from quota_gateway import api
from quota_gateway.config_fields import Values
from quota_gateway.config_reader import (
    Address,
    ConfigReport,
    JsonTable,
    TableReader,
    format_value,
    parse,
    parse_address,
)
from quota_gateway.errors import ConfigurationError
from quota_gateway.settings_reader import build_settings, read_settings

MAX_FILE_BYTES = 1024 * 1024  # enough for a list of about five thousand servers
MAX_DESCRIPTORS = 1_000_000
MAX_SUMMARIZED = 12  # changes, or unknown names, listed in one log line
DIGEST_DIGITS = 12
FIXED_NAMES = ("name", "listen", "seed")  # values that a running process can't change
ENVIRONMENT_DEFAULTS = {"EDGE_NAME": "name", "EDGE_LISTEN": "listen", "EDGE_DISCOVERY": "discovery"}
SEED = re.compile("[0-9a-fA-F]{1,64}")


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of a gateway. Immutable: a reload replaces the one in force and never alters it."""

    name: str
    listen: Address
    discovery: Address
    admin: Address | None
    seed: int
    descriptors: int
    endpoint_list: str  # the file's endpoint list, as JSON; it may be out of date
    settings: api.Settings
    digest: str  # of the file's bytes, see file_digest
    fixed_values: Mapping[str, str]  # of FIXED_NAMES, from the file even if the environment overrides it
    values: Mapping[str, Any]  # by path; ``changes`` compares these
    unknown_names: tuple[str, ...]

    def changes(self, previous: Config) -> list[str]:
        """The values that differ from a previous configuration, each with its old and its new value."""
        paths = sorted(self.values.keys() | previous.values.keys())
        return [
            f"{path} {previous._format(path)} -> {self._format(path)}"
            for path in paths
            if self.values.get(path) != previous.values.get(path)
        ]

    def faults_of_fixed_names(self, previous: Config) -> list[str]:
        """A fault for each value that differs from a previous configuration and must not in one process."""
        return [
            f"{name}: {format_value(self.fixed_values[name])}, "
            f"want {format_value(previous.fixed_values[name])}: it can't change in a running process"
            for name in FIXED_NAMES
            if self.fixed_values[name] != previous.fixed_values[name]
        ]

    def _format(self, path: str) -> str:
        return format_value(self.values[path]) if path in self.values else "none"


def file_digest(raw: bytes) -> str:
    """Digest of a configuration file, as the command CONFIG shows it: the first digits of its SHA-256."""
    return hashlib.sha256(raw).hexdigest()[:DIGEST_DIGITS]


def summarize(items: Sequence[str]) -> str:
    """The first items, separated by commas, and how many more there are."""
    more = f" and {len(items) - MAX_SUMMARIZED} more" if len(items) > MAX_SUMMARIZED else ""
    return ", ".join(items[:MAX_SUMMARIZED]) + more


def read_file(path: str) -> bytes:
    """Read the configuration file's bytes.

    Guards against a path that names a pipe, a device or a huge file, which would block the event loop.

    Raises:
        ConfigurationError: The file can't be read, or is too large. Transient if a read a little later may
            succeed.
    """
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except OSError as error:
        raise _unreadable(error) from None
    if not stat.S_ISREG(os.fstat(descriptor).st_mode):
        os.close(descriptor)
        raise ConfigurationError(["the configuration file can't be read: it is not a regular file"])
    with os.fdopen(descriptor, "rb") as file:
        try:
            raw = file.read(MAX_FILE_BYTES + 1)
        except OSError as error:
            raise _unreadable(error) from None
    if len(raw) > MAX_FILE_BYTES:
        raise ConfigurationError([f"the configuration file is larger than {MAX_FILE_BYTES} bytes"])
    return raw


def _unreadable(error: OSError) -> ConfigurationError:
    return ConfigurationError([f"the configuration file can't be read: {error.strerror}"], is_transient=True)


def read(raw: bytes, environment: Mapping[str, str], reload: bool = False) -> Config:
    """Read the configuration from a file's bytes and the environment.

    Which source takes precedence where both give a value:

      value            at the start   on a reload
      name, listen     environment    environment; a changed value in the file is a fault
      discovery        environment    file
      admin            environment    environment

    EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY also supply values that the file leaves out. The value of
    EDGE_DISCOVERY dates from the start; a file that is reloaded is newer.

    Raises:
        ConfigurationError: The configuration has faults; the error lists all of them.
    """
    document = parse(raw)
    report = ConfigReport()
    # A faulty endpoint list must not stop a gateway, and only the start needs it: it is checked there.
    endpoint_list = document.pop("known", None)
    report.check_nested_values("", document)
    _fill_from_environment(document, environment)
    file = _read_document(document, report)
    addresses = _override(file, report, environment, reload)
    if report.faults:
        raise ConfigurationError(report.faults)
    return Config(
        name=environment.get("EDGE_NAME") or file.name,
        listen=addresses.listen,
        discovery=addresses.discovery,
        admin=addresses.admin,
        seed=int(file.seed, 16),
        descriptors=file.descriptors,
        endpoint_list="null" if reload else json.dumps(endpoint_list),
        settings=build_settings(file.settings),
        digest=file_digest(raw),
        fixed_values=MappingProxyType(
            {"name": file.name, "listen": _address_text(file.addresses.listen), "seed": file.seed}
        ),
        values=MappingProxyType(_comparable_values(report, addresses)),
        unknown_names=tuple(report.unknown_names),
    )


class _Addresses(NamedTuple):
    listen: Address
    discovery: Address
    admin: Address | None


class _FileValues(NamedTuple):
    """The values read from the file; meaningless if the report has faults."""

    name: str
    seed: str
    addresses: _Addresses
    descriptors: int
    settings: Values


def _fill_from_environment(document: JsonTable, environment: Mapping[str, str]) -> None:
    for variable, name in ENVIRONMENT_DEFAULTS.items():
        if environment.get(variable) and document.get(name) is None:
            document[name] = environment[variable]


def _read_document(document: JsonTable, report: ConfigReport) -> _FileValues:
    top = TableReader(report, "", "", document)
    name = top.text("name")
    seed = top.text("seed")
    top.require(bool(SEED.fullmatch(seed)), "seed", "1 to 64 hexadecimal digits")
    addresses = _Addresses(
        listen=top.address("listen"),
        discovery=top.address("discovery"),
        admin=None if document.get("admin") is None else top.address("admin"),
    )
    limits = top.table("limits")
    limits.ignore("cores", "memory_mb")
    descriptors = limits.integer("sockets", 1, MAX_DESCRIPTORS)
    settings = read_settings(top.table("settings"))
    top.ignore("counter", "admin")
    top.report_unknown_names()
    return _FileValues(name, seed, addresses, descriptors, settings)


def _override(
    file: _FileValues,
    report: ConfigReport,
    environment: Mapping[str, str],
    reload: bool,
) -> _Addresses:
    """The addresses in force: those of the environment if it has them, else those of the file."""
    listen = _environment_address(report, environment, "EDGE_LISTEN")
    admin = _environment_address(report, environment, "EDGE_ADMIN")
    discovery = None if reload else _environment_address(report, environment, "EDGE_DISCOVERY")
    return _Addresses(
        listen=listen or file.addresses.listen,
        discovery=discovery or file.addresses.discovery,
        admin=admin or file.addresses.admin,
    )


def _environment_address(
    report: ConfigReport, environment: Mapping[str, str], variable: str
) -> Address | None:
    text = environment.get(variable)
    if not text:
        return None
    address = parse_address(text)
    if address is None:
        report.fault(variable, text, "host:port")
    return address


def _comparable_values(report: ConfigReport, addresses: _Addresses) -> dict[str, Any]:
    """The values by which two configurations are compared: those that may change, as they are in force."""
    values = {path: value for path, value in report.values.items() if path not in FIXED_NAMES}
    values["discovery"] = _address_text(addresses.discovery)
    values["admin"] = _address_text(addresses.admin) if addresses.admin else "none"
    return values


def _address_text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
