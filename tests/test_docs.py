"""The documentation names only modules, tests, classes, members and constants that exist."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "cypressledge"
PLANS = "docs/ROADMAP.md"  # not checked, as it may name planned modules
PAGES = [
    "README.md",
    "CHANGELOG.md",
    *sorted(
        page for path in (ROOT / "docs").rglob("*.md") if (page := path.relative_to(ROOT).as_posix()) != PLANS
    ),
]
PAGES_OF_MODULES = ["README.md", "docs/architecture.md", "docs/design.md", "docs/glossary.md"]
FILE_NAME = re.compile(r"`(?:cypressledge/)?((?:\w+/)*\w+\.py)`")
FOLDER_NAME = re.compile(r"`cypressledge/((?:\w+/)+)`")
MODULE_NAME = re.compile(r"\bcypressledge((?:\.[a-z_]\w*)+)")
TEST_NAME = re.compile(r"\b(tests/(?:\w+/)*(?:\w+\.py)?)")
CONSTANT_NAME = re.compile(r"`([A-Z][A-Z_]+)`")
MEMBER_NAME = re.compile(r"`([A-Z]\w*)\.(\w+)(?:\(\))?`")


def page_text(page: str) -> str:
    """Return the text of a page."""
    return (ROOT / page).read_text()


def named_files(text: str) -> set[str]:
    """Return the files and folders of the package that a page names, relative to the package."""
    files = {name for name in FILE_NAME.findall(text) if not name.startswith("tests/")}
    folders = {name.rstrip("/") for name in FOLDER_NAME.findall(text)}
    modules = {dotted.strip(".").replace(".", "/") for dotted in MODULE_NAME.findall(text)}
    return files | folders | modules


def exists(name: str) -> bool:
    path = PACKAGE / name
    return path.exists() or path.with_suffix(".py").exists()


def class_members(source: str) -> dict[str, set[str]]:
    """Return the classes of a module, each with its methods, its fields and the attributes set on `self`."""
    members: dict[str, set[str]] = {}
    for node in ast.walk(ast.parse(source)):
        if not isinstance(node, ast.ClassDef):
            continue
        names = members.setdefault(node.name, set())
        for inner in ast.walk(node):
            if isinstance(inner, ast.FunctionDef):
                names.add(inner.name)
            elif isinstance(inner, ast.Attribute) and isinstance(inner.ctx, ast.Store):
                names.add(inner.attr)
            elif isinstance(inner, ast.Name) and isinstance(inner.ctx, ast.Store):
                names.add(inner.id)
    return members


@pytest.fixture(scope="module")
def members_by_class() -> dict[str, set[str]]:
    """Return the members of all classes of the package; classes with the same name are merged."""
    members: dict[str, set[str]] = {}
    for path in PACKAGE.rglob("*.py"):
        for name, found in class_members(path.read_text()).items():
            members.setdefault(name, set()).update(found)
    return members


@pytest.mark.parametrize("page", PAGES)
def test_modules_that_a_page_names_exist(page):
    assert sorted(name for name in named_files(page_text(page)) if not exists(name)) == []


@pytest.mark.parametrize("page", PAGES)
def test_tests_that_a_page_names_exist(page):
    assert sorted(name for name in TEST_NAME.findall(page_text(page)) if not (ROOT / name).exists()) == []


@pytest.mark.parametrize("page", PAGES)
def test_members_that_a_page_names_exist(page, members_by_class):
    named = set(MEMBER_NAME.findall(page_text(page)))
    unknown = [(owner, member) for owner, member in named if member not in members_by_class.get(owner, ())]
    assert sorted(unknown) == []


def missing_from_modules(row: str) -> list[str]:
    """Return the constants in a table row that none of the row's modules defines."""
    sources = "".join((PACKAGE / name).read_text() for name in named_files(row) if exists(name))
    return [
        name for name in CONSTANT_NAME.findall(row) if not re.search(rf"^{name}\b.*=", sources, re.MULTILINE)
    ]


def test_constants_stand_in_the_module_that_a_row_names():
    section = page_text("docs/architecture.md").partition("## Where do I look")[2]
    rows = [row for row in section.splitlines() if CONSTANT_NAME.search(row)]
    assert rows, "the section names no constant: has its format changed?"
    missing = {row: missing_from_modules(row) for row in rows}
    assert {row: names for row, names in missing.items() if names} == {}


def test_a_constant_of_another_module_is_noticed():
    assert missing_from_modules("| `decisions/health.py` | `TRIAL_INTERVAL`, `SAFETY` |") == ["SAFETY"]


@pytest.mark.parametrize("page", PAGES_OF_MODULES)
def test_a_page_of_the_code_names_modules(page):
    assert named_files(page_text(page)), "the page names no module: has its format changed?"


def test_a_module_that_is_not_there_is_noticed():
    names = named_files("see `net/nothing.py`, `cypressledge/nowhere/` and cypressledge.missing.module")
    assert names == {"net/nothing.py", "nowhere", "missing/module"}
    assert not any(map(exists, names))


def test_a_member_that_is_not_there_is_noticed(members_by_class):
    assert MEMBER_NAME.findall("`RequestLedger.submit` and `RequestLedger.take()`") == [
        ("RequestLedger", "submit"),
        ("RequestLedger", "take"),
    ]
    assert "submit" in members_by_class["RequestLedger"]
    assert "take" not in members_by_class["RequestLedger"]


def test_a_test_that_is_not_there_is_noticed():
    names = TEST_NAME.findall(
        "see `tests/race_conditions/`, `tests/test_docs.py` and `tests/fakes/nothing.py`"
    )
    assert names == ["tests/race_conditions/", "tests/test_docs.py", "tests/fakes/nothing.py"]
    assert [(ROOT / name).exists() for name in names] == [True, True, False]
