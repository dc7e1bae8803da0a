"""The configuration of a gateway: one reader for its start, for a reload and for a check without serving."""

from __future__ import annotations

import hashlib
import json
import os
import re
import stat
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

from quota_gateway import api
from quota_gateway.config_reader import Address, ConfigError, Found, Node, address, parse, show
from quota_gateway.settings_reader import build_settings, read_settings

LARGEST = 1024 * 1024  # bytes of the file: a list of some five thousand servers
MOST_SOCKETS = 1_000_000
FIXED = ("name", "listen", "seed")  # what a running process can't change
VARIABLES = {"EDGE_NAME": "name", "EDGE_LISTEN": "listen", "EDGE_DISCOVERY": "discovery"}
DIGEST_DIGITS = 12
HEX = re.compile("[0-9a-fA-F]{1,64}")
MOST_TOLD = 12  # changes, or unknown names, in a line of the log


def file_digest(raw: bytes) -> str:
    """Digest of a configuration file, as ``CONFIG`` shows it: the first digits that sha256sum shows."""
    return hashlib.sha256(raw).hexdigest()[:DIGEST_DIGITS]


@dataclass(frozen=True, slots=True)
class Config:
    """All that a gateway is told. Immutable: what is in force is replaced, never altered."""

    name: str
    listen: Address
    discovery: Address
    admin: Address | None
    seed: int
    descriptors: int
    known: str  # the list of servers, in JSON, as it stood in the file
    settings: api.Settings
    digest: str  # of the file's bytes, see file_digest
    fixed: Mapping[str, str]  # as the file states it, whatever the environment says
    values: Mapping[str, Any]  # by path: what changes are told by
    unknown: tuple[str, ...]

    def changes(self, before: Config) -> list[str]:
        """What differs, each with its old and its new value."""
        paths = sorted(self.values.keys() | before.values.keys())
        return [
            f"{path} {_shown(before, path)} -> {_shown(self, path)}"
            for path in paths
            if self.values.get(path) != before.values.get(path)
        ]

    def unchangeable(self, before: Config) -> list[str]:
        """The faults of a reload that would change what can't change while the process runs."""
        return [
            f"{name}: {show(self.fixed[name])}, want {show(before.fixed[name])}: it can't change in a "
            "running process"
            for name in FIXED
            if self.fixed[name] != before.fixed[name]
        ]


def _shown(config: Config, path: str) -> str:
    return show(config.values[path]) if path in config.values else "none"


def told(items: list[str]) -> str:
    """Some items in a line, and how many more there are."""
    more = f" and {len(items) - MOST_TOLD} more" if len(items) > MOST_TOLD else ""
    return ", ".join(items[:MOST_TOLD]) + more


def read_file(path: str) -> bytes:
    """The file's bytes. Guards against what is no file, or too large to be one: it must not hold the loop."""
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    except OSError as error:
        raise ConfigError([f"the file can't be read: {error.strerror}"], torn=True) from None
    if not stat.S_ISREG(os.fstat(descriptor).st_mode):
        os.close(descriptor)
        raise ConfigError(["the file can't be read: it is no regular file"])
    with os.fdopen(descriptor, "rb") as file:
        try:
            raw = file.read(LARGEST + 1)
        except OSError as error:
            raise ConfigError([f"the file can't be read: {error.strerror}"], torn=True) from None
    if len(raw) > LARGEST:
        raise ConfigError([f"the file is larger than {LARGEST} bytes"])
    return raw


def read(raw: bytes, environment: Mapping[str, str], reload: bool = False) -> Config:
    """The configuration; ConfigError with all faults if there are any.

    EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and EDGE_ADMIN come first, as they say the same or are meant to
    override; but on a reload the file's discovery does, as EDGE_DISCOVERY is of the start.
    """
    document = parse(raw)
    found = Found()
    # Discovery's list never stops a gateway, and is of use at the start only: it is checked where it is used.
    listed = document.pop("known", None)
    known = "null" if reload else json.dumps(listed)
    found.walk("", document)
    for variable, name in VARIABLES.items():
        if environment.get(variable) and document.get(name) is None:
            document[name] = environment[variable]
    top = Node(found, "", "", document)
    name = top.text("name")
    seed = top.text("seed")
    top.must(bool(HEX.fullmatch(seed)), "seed", "1 to 64 hexadecimal digits")
    listen = top.address("listen")
    discovery = top.address("discovery")
    door = None if document.get("admin") is None else top.address("admin")
    limits = top.table("limits")
    limits.knows("cores", "memory_mb")
    descriptors = limits.whole("sockets", 1, MOST_SOCKETS)
    fields = read_settings(top.table("settings"))
    top.knows("counter", "admin")
    top.finish()
    fixed = {"name": name, "listen": f"{listen[0]}:{listen[1]}", "seed": seed}
    listen = _override(found, environment, "EDGE_LISTEN") or listen
    door = _override(found, environment, "EDGE_ADMIN") or door
    if not reload:
        discovery = _override(found, environment, "EDGE_DISCOVERY") or discovery
    if found.faults:
        raise ConfigError(found.faults)
    values = {path: value for path, value in found.values.items() if path not in FIXED}
    values["discovery"] = f"{discovery[0]}:{discovery[1]}"
    values["admin"] = f"{door[0]}:{door[1]}" if door else "none"
    return Config(
        name=environment.get("EDGE_NAME") or name,
        listen=listen,
        discovery=discovery,
        admin=door,
        seed=int(seed, 16),
        descriptors=descriptors,
        known=known,
        settings=build_settings(fields),
        digest=file_digest(raw),
        fixed=MappingProxyType(fixed),
        values=MappingProxyType(values),
        unknown=tuple(found.unknown),
    )


def _override(found: Found, environment: Mapping[str, str], variable: str) -> Address | None:
    text = environment.get(variable)
    if not text:
        return None
    override = address(text)
    if override is None:
        found.fault(variable, text, "host:port")
    return override
