"""The documentation agrees with the code: names in the glossary, files, bounds and quoted log lines.

An engineer on call looks up a word of the operators' pages or a line of the log. An outdated entry sends that
engineer to the wrong place.
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
    """Each file that the glossary's last column names, paired with each name that it should contain."""
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
def test_every_glossary_row_names_an_existing_file_and_a_name_in_it(file, name):
    path = ROOT / file if file.startswith("docs/") else PACKAGE / file
    assert path.is_file()
    assert re.search(rf"\b{name}\b", path.read_text())


def test_the_glossary_has_rows():
    assert len(glossary_places()) > 60


PAGES = sorted(p for p in [*(ROOT / "docs").glob("*.md"), ROOT / "README.md"] if p.name != "ROADMAP.md")


def python_files_named(page: Path) -> list[str]:
    """Python files that a page names in backticks."""
    return sorted({code for code in CODE.findall(page.read_text()) if re.fullmatch(r"[\w/]+\.py", code)})


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.stem)
def test_every_python_file_that_a_page_names_exists(page):
    missing = [
        name
        for name in python_files_named(page)
        if not any((folder / name).is_file() for folder in (ROOT, PACKAGE, PACKAGE / "net"))
    ]
    assert missing == []


BOUND = re.compile(r"^\| .+ \| ([\d.]+)( [KM]iB)? \| .+ \| `([\w/]+)\.py` `([A-Z_]+)` \|$")
BYTES = {" KiB": 1024, " MiB": 1024 * 1024, None: 1}


def bounds() -> list[tuple[str, str, float]]:
    """Each bound on the capacity page: module, constant and the value that the page gives."""
    rows = map(BOUND.match, (ROOT / "docs" / "capacity.md").read_text().splitlines())
    return [(row[3].replace("/", "."), row[4], float(row[1]) * BYTES[row[2]]) for row in rows if row]


@pytest.mark.parametrize(("module", "constant", "value"), bounds())
def test_every_bound_on_the_capacity_page_equals_its_constant(module, constant, value):
    assert getattr(importlib.import_module(f"quota_gateway.{module}"), constant) == value


def test_the_capacity_page_has_bounds():
    assert len(bounds()) > 25


LOG_TABLE_HEAD = "| line | meaning |"
PLACEHOLDER = re.compile(r"%(?:\.\d+)?[sdr]|\{[^{}]*\}")


def quoted_log_lines() -> list[str]:
    """Log lines that the on-call page quotes in first columns of tables and at the start of list items."""
    text = (ROOT / "docs" / "on-call.md").read_text()
    lines = []
    for table in text.split(LOG_TABLE_HEAD)[1:]:
        rows = table.strip().split("\n\n")[0].splitlines()[1:]
        lines += [quote for row in rows for quote in CODE.findall(row.split("|")[1])]
    rest = text.split("## What else the log tells")[1]
    heads = re.findall(r"^- `([^`]+)`", rest, re.MULTILINE)
    return [" ".join(line.split()) for line in lines + heads]


def string_literals(path: Path) -> list[str]:
    """A module's string literals, with {} in place of each formatted value."""
    found = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            found.append(PLACEHOLDER.sub("{}", node.value))
        elif isinstance(node, ast.JoinedStr):
            parts = (part.value if isinstance(part, ast.Constant) else "{}" for part in node.values)
            found.append("".join(map(str, parts)))
    return found


TEXTS = [text for path in PACKAGE.rglob("*.py") for text in string_literals(path)]


def is_printed(line: str) -> bool:
    """Whether a string of the code, with its values filled in, equals the quoted line or begins with it."""
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
def test_every_log_line_that_the_on_call_page_quotes_is_in_the_code(line):
    assert is_printed(line)


def test_the_on_call_page_quotes_log_lines():
    assert len(quoted_log_lines()) > 18
    assert not is_printed("the moon is in force, revision 2")
    assert not is_printed("handed over with 4 requests in foot")
