"""The pages say what the code has: the glossary's names are found, and quoted log lines are printed.

An engineer on call looks a word of the operators' pages or a line of the log up; a row or a line that is no
longer true sends that engineer to the wrong place.
"""

from __future__ import annotations

import importlib
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "quota_gateway"
ROW = re.compile(r"^\| (.+) \| (.+) \| (.+) \|$")
CODE = re.compile(r"`([^`]+)`")


def glossary_places() -> list[tuple[str, str]]:
    """Each file of the last column, with each name that is to be found in it."""
    places = []
    for line in (ROOT / "docs" / "glossary.md").read_text().splitlines():
        row = ROW.match(line)
        if not row or row[3] in ("where", "---"):
            continue
        for place in row[3].split(";"):
            file, *names = CODE.findall(place)
            places += [(file, name) for name in names] or [(file, "")]
    return places


@pytest.mark.parametrize(("file", "name"), glossary_places())
def test_every_row_of_the_glossary_names_what_is_there(file, name):
    path = ROOT / file if file.startswith("docs/") else PACKAGE / file
    assert path.is_file()
    assert re.search(rf"\b{name}\b", path.read_text())


def test_the_glossary_has_rows():
    assert len(glossary_places()) > 60


PAGES = sorted(p for p in [*(ROOT / "docs").glob("*.md"), ROOT / "README.md"] if p.name != "ROADMAP.md")


def paths_named(page: Path) -> list[str]:
    """Python files that a page names in code marks."""
    return sorted({code for code in CODE.findall(page.read_text()) if re.fullmatch(r"[\w/]+\.py", code)})


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.stem)
def test_every_python_file_that_a_page_names_is_there(page):
    missing = [
        name
        for name in paths_named(page)
        if not any((folder / name).is_file() for folder in (ROOT, PACKAGE, PACKAGE / "net"))
    ]
    assert missing == []


BOUND = re.compile(r"^\| .+ \| ([\d.]+)( [KM]iB)? \| .+ \| `([\w/]+)\.py` `([A-Z_]+)` \|$")
BYTES = {" KiB": 1024, " MiB": 1024 * 1024, None: 1}


def bounds() -> list[tuple[str, str, float]]:
    """Each bound of the capacity page: its module, its constant and its value as the page has it."""
    rows = map(BOUND.match, (ROOT / "docs" / "capacity.md").read_text().splitlines())
    return [(row[3].replace("/", "."), row[4], float(row[1]) * BYTES[row[2]]) for row in rows if row]


@pytest.mark.parametrize(("module", "constant", "value"), bounds())
def test_every_bound_of_the_capacity_page_is_the_code_s(module, constant, value):
    assert getattr(importlib.import_module(f"quota_gateway.{module}"), constant) == value


def test_the_capacity_page_has_bounds():
    assert len(bounds()) > 25
