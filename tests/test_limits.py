"""The limits on the decisions: their size, and which module may import which."""

import ast
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
ORDER = ["meter", "resend", "cold", "health", "pressure", "ceilings", "customers", "choice", "handover",
         "answers", "attempts", "admission", "lists", "drain", "change", "gateway"]  # bottom to top
FILES = sorted((ROOT / "brackenloft" / "policy").glob("*.py"))


def imported(file: Path) -> set[str]:
    """Modules of this project that a file imports."""
    tree = ast.parse(file.read_text())
    names = {node.module for node in ast.walk(tree) if isinstance(node, ast.ImportFrom) and node.module}
    names |= {alias.name for node in ast.walk(tree) if isinstance(node, ast.Import) for alias in node.names}
    return {name for name in names if name.startswith("brackenloft")}


def test_the_decisions_are_short_and_the_deploy_file_names_them_all():
    assert [ROOT / name for name in DEPLOY["policy"]] == FILES
    lines = [line for file in FILES for line in file.read_text().splitlines()]
    assert sum(1 for line in lines if line.strip()) <= 1000
    assert max(map(len, lines)) <= 110


def test_the_bench_is_told_of_every_file_that_run_loads():
    named = [ROOT / name for name in DEPLOY["policy"] + DEPLOY["node"]]
    loaded = set((ROOT / "brackenloft" / "net").glob("*.py")) | {ROOT / "brackenloft" / "__main__.py"}
    todo = list(loaded)
    while todo:
        for name in imported(todo.pop()):
            path = ROOT / name.replace(".", "/")
            found = path / "__init__.py" if path.is_dir() else path.with_suffix(".py")
            if found not in loaded:
                loaded.add(found)
                todo.append(found)
    shown = {file for file in loaded if any(file == name or name in file.parents for name in named)}
    assert loaded - shown <= {ROOT / "brackenloft" / "__init__.py"}
    assert not any("recording" in str(file) or "adapter" in str(file) for file in loaded)


@pytest.mark.parametrize("file", FILES, ids=lambda file: file.stem)
def test_no_decision_imports_another_that_stands_above_it_or_a_socket(file):
    assert sorted(ORDER) == sorted(f.stem for f in FILES if f.stem != "__init__")
    below = ORDER[:ORDER.index(file.stem)] if file.stem in ORDER else []
    allowed = {"brackenloft.interface", *(f"brackenloft.policy.{name}" for name in below)}
    for name in imported(file):
        assert name in allowed or name == "brackenloft.tables" \
            or (name == "brackenloft" and file.stem == "gateway"), name


@pytest.mark.parametrize("part", ["interface", "tables"])
def test_what_stands_below_the_decisions_imports_none_of_them(part):
    for file in (ROOT / "brackenloft" / part).glob("*.py"):
        assert not any(name.startswith(("brackenloft.policy", "brackenloft.net")) for name in imported(file))
