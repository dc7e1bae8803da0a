#!/bin/bash
# Builds what the scripts of review/6 to review/10 start beside the gateway: Python files of their own, which
# need the interpreter of the deploy file's build and nothing else. No network.
set -euo pipefail
cd "$(dirname "$0")/.."
sh -c "$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/balancer.toml", "rb"))["build"])')"
for file in review/rig2.py review/{6,7,8,9,10}/case.py; do
  test ! -e "$file" || .venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
