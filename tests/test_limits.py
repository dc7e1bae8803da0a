"""Structure of the policy: files that the deploy file lists for the bench, line length, imports."""

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


def test_the_deploy_file_lists_every_policy_module_and_no_line_is_too_long():
    assert [ROOT / name for name in DEPLOY["policy"]] == FILES
    lines = [line for file in FILES for line in file.read_text().splitlines()]
    assert max(map(len, lines)) <= 110


def test_the_deploy_file_lists_every_file_that_a_gateway_process_loads():
    listed_paths = [ROOT / name for name in DEPLOY["policy"] + DEPLOY["node"]]
    loaded = set((ROOT / "quota_gateway" / "net").glob("*.py")) | {ROOT / "quota_gateway" / "__main__.py"}
    unvisited = list(loaded)
    while unvisited:
        for name in imported(unvisited.pop()):
            path = ROOT / name.replace(".", "/")
            module_file = path / "__init__.py" if path.is_dir() else path.with_suffix(".py")
            if module_file not in loaded:
                loaded.add(module_file)
                unvisited.append(module_file)
    listed = {file for file in loaded if any(file == name or name in file.parents for name in listed_paths)}
    assert loaded - listed <= {ROOT / "quota_gateway" / "__init__.py"}
    assert not any("recording" in str(file) or "adapter" in str(file) for file in loaded)


@pytest.mark.parametrize("file", FILES, ids=lambda file: file.stem)
def test_a_policy_module_imports_only_those_below_it_and_no_network_code(file):
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
def test_api_and_state_import_neither_policy_nor_network_code(part):
    for file in (ROOT / "quota_gateway" / part).glob("*.py"):
        assert not any(
            name.startswith(("quota_gateway.policy", "quota_gateway.net")) for name in imported(file)
        )
