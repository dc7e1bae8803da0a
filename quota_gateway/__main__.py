"""The command line of the gateway: run one, check a configuration, or show what a rollout has to know."""

from __future__ import annotations

import gc
import json
import logging
import os
import sys
from collections.abc import Mapping, Sequence

import uvloop

from quota_gateway.config import Config, read, read_file, summarize
from quota_gateway.errors import ConfigurationError
from quota_gateway.net.hot_restart import ABOUT
from quota_gateway.process.lifecycle import serve
from quota_gateway.process.log_limiter import RateLimitedLog
from quota_gateway.process.signals import HangUpSignal

log = logging.getLogger("quota_gateway")

USAGE = "usage: python -m quota_gateway [--check FILE | --about]"
LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
EXIT_OK = 0
EXIT_CONFIGURATION = 2  # a faulty configuration, at a start or a check, or a faulty command line


def main(arguments: Sequence[str] = ()) -> int:
    """Run the command line.

    Returns:
        The exit code: 0 after SIGTERM, or for a configuration without faults; 2 for one that can't be used.
    """
    if not arguments:
        return _run()
    if list(arguments) == ["--about"]:
        print(json.dumps(ABOUT))
        return EXIT_OK
    if len(arguments) == 2 and arguments[0] == "--check":
        return _check(arguments[1])
    print(USAGE, file=sys.stderr)
    return EXIT_CONFIGURATION


def _run() -> int:
    """Run one gateway until SIGTERM."""
    hang_up = HangUpSignal()
    _configure_logging()
    config = _load(os.environ)
    if config is None:
        return EXIT_CONFIGURATION
    if config.unknown_names:
        log.warning("unknown in the configuration, not read: %s", summarize(config.unknown_names))
    gc.freeze()  # what start-up has made lives to the end: the collector need not look at it
    uvloop.run(serve(config, hang_up))
    hang_up.ignore()
    return EXIT_OK


def _configure_logging() -> None:
    """Send the log to standard error, at a bounded rate; handlers that are there already stay as they are."""
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(RateLimitedLog())
    logging.basicConfig(handlers=[handler], level=logging.INFO, format=LOG_FORMAT)


def _check(path: str) -> int:
    """Check a file without serving; its faults, if any, go to standard error."""
    config = _load({**os.environ, "EDGE_CONFIG": path})
    if config is None:
        return EXIT_CONFIGURATION
    for name in config.unknown_names:
        print(f"warning: {name}: unknown, not read", file=sys.stderr)
    return EXIT_OK


def _load(environment: Mapping[str, str]) -> Config | None:
    """The configuration; None when it has faults, which go to standard error."""
    try:
        return read(read_file(environment.get("EDGE_CONFIG", "")), environment)
    except ConfigurationError as error:
        for fault in error.faults:
            print(fault, file=sys.stderr)
        return None


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
