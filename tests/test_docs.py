"""Pages name only modules that are there."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "cypressledge"
PAGES = ["README.md", "docs/architecture.md", "docs/design.md", "docs/glossary.md"]
FILE_NAME = re.compile(r"`(?:cypressledge/)?((?:\w+/)*\w+\.py)`")
FOLDER_NAME = re.compile(r"`cypressledge/((?:\w+/)+)`")
MODULE_NAME = re.compile(r"\bcypressledge((?:\.[a-z_]\w*)+)")


def named_files(text: str) -> set[str]:
    """Files and folders of the package that a page names, relative to the package."""
    files = {name for name in FILE_NAME.findall(text) if not name.startswith("tests/")}
    folders = {name.rstrip("/") for name in FOLDER_NAME.findall(text)}
    modules = {dotted.strip(".").replace(".", "/") for dotted in MODULE_NAME.findall(text)}
    return files | folders | modules


def exists(name: str) -> bool:
    path = PACKAGE / name
    return path.exists() or path.with_suffix(".py").exists()


@pytest.mark.parametrize("page", [page for page in PAGES if (ROOT / page).exists()])
def test_modules_that_a_page_names_exist(page):
    names = named_files((ROOT / page).read_text())
    assert names, "the page names no module: is its form another than this test reads?"
    assert sorted(name for name in names if not exists(name)) == []


def test_a_module_that_is_not_there_is_noticed():
    names = named_files("see `net/nothing.py`, `cypressledge/nowhere/` and cypressledge.missing.module")
    assert names == {"net/nothing.py", "nowhere", "missing/module"}
    assert not any(map(exists, names))
