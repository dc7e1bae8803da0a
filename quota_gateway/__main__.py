"""The command line: run a gateway, check a configuration file, or print what a rollout needs to know."""

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
from quota_gateway.process.signals import SighupHandler

log = logging.getLogger("quota_gateway")

USAGE = """usage: python -m quota_gateway [--check FILE | --about]

Without arguments, runs a gateway with the configuration file that EDGE_CONFIG names, until SIGTERM.

  --check FILE  check a configuration file and exit with 0 if it has no faults; else print
                them to standard error and exit with 2
  --about       print as JSON the version of the hot-restart handover protocol and whether the admin command
                RETIRE is supported, and exit"""
LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
EXIT_OK = 0
EXIT_CONFIGURATION = 2  # invalid configuration, at a start or a check, or invalid command line


def main(arguments: Sequence[str] = ()) -> int:
    """Run the command line.

    Returns:
        The exit code: 0 after SIGTERM, or for a configuration without faults; 2 for a configuration or a
        command line that can't be used.
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
    sighup_handler = SighupHandler()
    _configure_logging()
    config = _load(os.environ)
    if config is None:
        return EXIT_CONFIGURATION
    if config.unknown_names:
        log.warning("unknown names in the configuration, ignored: %s", summarize(config.unknown_names))
    gc.freeze()  # objects of the start-up live until the end: exclude them from garbage collection
    uvloop.run(serve(config, sighup_handler))
    sighup_handler.ignore()
    return EXIT_OK


def _configure_logging() -> None:
    """Send the log to standard error, at a bounded rate; handlers that exist already are left unchanged."""
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(RateLimitedLog())
    logging.basicConfig(handlers=[handler], level=logging.INFO, format=LOG_FORMAT)


def _check(path: str) -> int:
    """Check a configuration file without serving; prints its faults, if any, to standard error."""
    config = _load({**os.environ, "EDGE_CONFIG": path})
    if config is None:
        return EXIT_CONFIGURATION
    for name in config.unknown_names:
        print(f"warning: {name}: unknown name, ignored", file=sys.stderr)
    return EXIT_OK


def _load(environment: Mapping[str, str]) -> Config | None:
    """Read the configuration; if it has faults, print them to standard error and return None."""
    try:
        return read(read_file(environment.get("EDGE_CONFIG", "")), environment)
    except ConfigurationError as error:
        for fault in error.faults:
            print(fault, file=sys.stderr)
        return None


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
