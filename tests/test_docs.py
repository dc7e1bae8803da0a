"""The pages say what the code has: the glossary's names are found, and quoted log lines are printed.

An engineer on call looks a word of the operators' pages or a line of the log up; a row or a line that is no
longer true sends that engineer to the wrong place.
"""

from __future__ import annotations

import ast
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


LOG_TABLE_HEAD = "| line | meaning |"
PLACEHOLDER = re.compile(r"%(?:\.\d+)?[sdr]|\{[^{}]*\}")


def quoted_log_lines() -> list[str]:
    """Log lines that the on-call page quotes: in first columns of its tables, and heads of its list."""
    text = (ROOT / "docs" / "on-call.md").read_text()
    lines = []
    for table in text.split(LOG_TABLE_HEAD)[1:]:
        rows = table.strip().split("\n\n")[0].splitlines()[1:]
        lines += [quote for row in rows for quote in CODE.findall(row.split("|")[1])]
    rest = text.split("## What else the log tells")[1]
    heads = re.findall(r"^- `([^`]+)`", rest, re.MULTILINE)
    return [" ".join(line.split()) for line in lines + heads]


def literals(path: Path) -> list[str]:
    """The texts of a module, with {} where a value is formatted in."""
    found = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            found.append(PLACEHOLDER.sub("{}", node.value))
        elif isinstance(node, ast.JoinedStr):
            parts = (part.value if isinstance(part, ast.Constant) else "{}" for part in node.values)
            found.append("".join(map(str, parts)))
    return found


TEXTS = [text for path in PACKAGE.rglob("*.py") for text in literals(path)]


def is_printed(line: str) -> bool:
    """Whether a text of the code, with values in its places, is the quoted line, or begins with it."""
    quoted = line.removesuffix("...").rstrip(": ")
    for text in TEXTS:
        if text.startswith(quoted):
            return True
        pattern = ".+".join(map(re.escape, text.removesuffix(": {}").split("{}")))
        is_specific = len(text.replace("{}", "")) >= min(20, len(quoted) / 2)
        if is_specific and re.fullmatch(f"{pattern}(: .*)?", quoted):
            return True
    return False


@pytest.mark.parametrize("line", quoted_log_lines())
def test_every_log_line_that_the_on_call_page_quotes_is_printed(line):
    assert is_printed(line)


def test_the_on_call_page_quotes_log_lines():
    assert len(quoted_log_lines()) > 18
    assert not is_printed("the moon is in force, revision 2")
    assert not is_printed("handed over with 4 requests in foot")
