"""The configuration of a gateway: one reader for its start, for a reload and for a check without serving."""

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
    parse,
    parse_address,
    show,
)
from quota_gateway.errors import ConfigurationError
from quota_gateway.settings_reader import build_settings, read_settings

MAX_FILE_BYTES = 1024 * 1024  # a list of some five thousand servers
MAX_DESCRIPTORS = 1_000_000
MAX_SUMMARIZED = 12  # changes, or unknown names, in a line of the log
DIGEST_DIGITS = 12
FIXED_NAMES = ("name", "listen", "seed")  # what a running process can't change
ENVIRONMENT_DEFAULTS = {"EDGE_NAME": "name", "EDGE_LISTEN": "listen", "EDGE_DISCOVERY": "discovery"}
SEED = re.compile("[0-9a-fA-F]{1,64}")


@dataclass(frozen=True, slots=True)
class Config:
    """All that a gateway is configured with. Immutable: what is in force is replaced, never altered."""

    name: str
    listen: Address
    discovery: Address
    admin: Address | None
    seed: int
    descriptors: int
    endpoint_list: str  # the list of servers, in JSON, as it stood in the file; it may be old
    settings: api.Settings
    digest: str  # of the file's bytes, see file_digest
    fixed_values: Mapping[str, str]  # as the file states them, whatever the environment says
    values: Mapping[str, Any]  # by path: changes are listed by these
    unknown_names: tuple[str, ...]

    def changes(self, before: Config) -> list[str]:
        """What differs, each with its old and its new value."""
        paths = sorted(self.values.keys() | before.values.keys())
        return [
            f"{path} {before._show(path)} -> {self._show(path)}"
            for path in paths
            if self.values.get(path) != before.values.get(path)
        ]

    def faults_of_fixed_names(self, before: Config) -> list[str]:
        """The faults of a reload that would change what can't change while the process runs."""
        return [
            f"{name}: {show(self.fixed_values[name])}, want {show(before.fixed_values[name])}: "
            "it can't change in a running process"
            for name in FIXED_NAMES
            if self.fixed_values[name] != before.fixed_values[name]
        ]

    def _show(self, path: str) -> str:
        return show(self.values[path]) if path in self.values else "none"


def file_digest(raw: bytes) -> str:
    """Digest of a configuration file, as ``CONFIG`` shows it: the first digits that sha256sum shows."""
    return hashlib.sha256(raw).hexdigest()[:DIGEST_DIGITS]


def summarize(items: Sequence[str]) -> str:
    """The first items in a line, and how many more there are."""
    more = f" and {len(items) - MAX_SUMMARIZED} more" if len(items) > MAX_SUMMARIZED else ""
    return ", ".join(items[:MAX_SUMMARIZED]) + more


def read_file(path: str) -> bytes:
    """The file's bytes.

    Guards against a pipe, a device or a huge file in its place, which would block the event loop.

    Raises:
        ConfigurationError: It can't be read, or is too large. Transient where it may be there a little later.
    """
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except OSError as error:
        raise _unreadable(error) from None
    if not stat.S_ISREG(os.fstat(descriptor).st_mode):
        os.close(descriptor)
        raise ConfigurationError(["the file can't be read: it is no regular file"])
    with os.fdopen(descriptor, "rb") as file:
        try:
            raw = file.read(MAX_FILE_BYTES + 1)
        except OSError as error:
            raise _unreadable(error) from None
    if len(raw) > MAX_FILE_BYTES:
        raise ConfigurationError([f"the file is larger than {MAX_FILE_BYTES} bytes"])
    return raw


def _unreadable(error: OSError) -> ConfigurationError:
    return ConfigurationError([f"the file can't be read: {error.strerror}"], is_transient=True)


def read(raw: bytes, environment: Mapping[str, str], reload: bool = False) -> Config:
    """The configuration of a file's bytes.

    Which source wins where both name a value:

      value            at the start   on a reload
      name, listen     environment    environment; a changed value in the file is a fault
      discovery        environment    file
      admin            environment    environment

    EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY fill in what the file leaves out, too. What EDGE_DISCOVERY says
    was true at the start; a file that is reloaded is newer.

    Raises:
        ConfigurationError: There are faults, all of them in the error.
    """
    document = parse(raw)
    report = ConfigReport()
    # The endpoint list never stops a gateway and is of use at the start only: checked where it is used.
    listed = document.pop("known", None)
    report.check_everywhere("", document)
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
        endpoint_list="null" if reload else json.dumps(listed),
        settings=build_settings(file.settings),
        digest=file_digest(raw),
        fixed_values=MappingProxyType(
            {"name": file.name, "listen": _text(file.addresses.listen), "seed": file.seed}
        ),
        values=MappingProxyType(_comparable_values(report, addresses)),
        unknown_names=tuple(report.unknown_names),
    )


class _Addresses(NamedTuple):
    listen: Address
    discovery: Address
    admin: Address | None


class _FileValues(NamedTuple):
    """What the file says; without meaning where the report has faults."""

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
    """The addresses in force: the environment's, where it names them, else the file's."""
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
    """The values by which two configurations are compared: what can change, as it is in force."""
    values = {path: value for path, value in report.values.items() if path not in FIXED_NAMES}
    values["discovery"] = _text(addresses.discovery)
    values["admin"] = _text(addresses.admin) if addresses.admin else "none"
    return values


def _text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
