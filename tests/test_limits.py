"""The limits on the decisions: what the deploy file names, and which module may import which."""

import ast
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
ORDER = [
    "quota_meter",
    "retry_budget",
    "retry_policy",
    "slow_start",
    "outlier_detection",
    "concurrency_limit",
    "rate_ceiling",
    "concurrency_cap",
    "customers",
    "server_selection",
    "peer_usage",
    "responses",
    "hedging",
    "attempts",
    "admission",
    "endpoint_list",
    "admin_down",
    "drain",
    "settings_change",
    "gateway",
]  # bottom to top
FILES = sorted((ROOT / "quota_gateway" / "policy").glob("*.py"))


def imported(file: Path) -> set[str]:
    """Modules of this project that a file imports."""
    tree = ast.parse(file.read_text())
    names = {node.module for node in ast.walk(tree) if isinstance(node, ast.ImportFrom) and node.module}
    names |= {alias.name for node in ast.walk(tree) if isinstance(node, ast.Import) for alias in node.names}
    return {name for name in names if name.startswith("quota_gateway")}


def test_the_deploy_file_names_every_decision_module_and_no_line_is_too_long():
    assert [ROOT / name for name in DEPLOY["policy"]] == FILES
    lines = [line for file in FILES for line in file.read_text().splitlines()]
    assert max(map(len, lines)) <= 110


def test_the_bench_is_told_of_every_file_that_run_loads():
    named = [ROOT / name for name in DEPLOY["policy"] + DEPLOY["node"]]
    loaded = set((ROOT / "quota_gateway" / "net").glob("*.py")) | {ROOT / "quota_gateway" / "__main__.py"}
    todo = list(loaded)
    while todo:
        for name in imported(todo.pop()):
            path = ROOT / name.replace(".", "/")
            found = path / "__init__.py" if path.is_dir() else path.with_suffix(".py")
            if found not in loaded:
                loaded.add(found)
                todo.append(found)
    shown = {file for file in loaded if any(file == name or name in file.parents for name in named)}
    assert loaded - shown <= {ROOT / "quota_gateway" / "__init__.py"}
    assert not any("recording" in str(file) or "adapter" in str(file) for file in loaded)


@pytest.mark.parametrize("file", FILES, ids=lambda file: file.stem)
def test_no_decision_imports_another_that_stands_above_it_or_a_socket(file):
    assert sorted(ORDER) == sorted(f.stem for f in FILES if f.stem != "__init__")
    below = ORDER[: ORDER.index(file.stem)] if file.stem in ORDER else []
    allowed = {"quota_gateway.api", *(f"quota_gateway.policy.{name}" for name in below)}
    for name in imported(file):
        assert (
            name in allowed
            or name == "quota_gateway.state"
            or (name == "quota_gateway" and file.stem == "gateway")
        ), name


@pytest.mark.parametrize("part", ["api", "state"])
def test_what_stands_below_the_decisions_imports_none_of_them(part):
    for file in (ROOT / "quota_gateway" / part).glob("*.py"):
        assert not any(
            name.startswith(("quota_gateway.policy", "quota_gateway.net")) for name in imported(file)
        )
