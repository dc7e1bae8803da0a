#!/bin/sh
# Builds the stand-ins of the cases: they are Python and need the standard library alone, so this compiles them.
set -e
cd "$(dirname "$0")"
../.venv/bin/python -m py_compile standins.py */case.py
