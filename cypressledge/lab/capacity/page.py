"""Regenerates the tables of docs/CAPACITY.md from results files, so that the page agrees with the figures.

A table is between `<!-- table:NAME -->` and `<!-- end -->`; the rest of the page is not generated.
"""

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from cypressledge.lab.capacity.evaluation import evaluate
from cypressledge.lab.capacity.plots import draw_plots
from cypressledge.lab.capacity.requirement_tables import (
    facts_table,
    missing_table,
    over_limit_table,
    requirements_table,
    slopes_table,
    sources_table,
)
from cypressledge.lab.capacity.requirements import RequirementResult
from cypressledge.lab.capacity.run_tables import (
    RUNS_FILE,
    Run,
    control_fits_table,
    read_runs,
    run_limits_table,
    runs_table,
)
from cypressledge.lab.capacity.targets import (
    CONTROL_MACHINES,
    CONTROL_PART,
    DIRECTORY,
    ENGINE,
    FAILURES,
    LEADER,
    PLANNER,
    REQUEST_PATH,
    VOTER,
)
from cypressledge.lab.results import Results, ResultsError, read

TableMakers = Mapping[str, Callable[[], str]]  # functions that return a table, by name in its mark

TABLE_MARK = re.compile(r"(<!-- table:([a-z-]+) -->\n).*?(<!-- end -->)", re.S)
TABLES_BY_ROLE = {
    "request-path": REQUEST_PATH,
    "control-part": CONTROL_PART,
    "voter": VOTER,
    "planner": PLANNER,
    "primary": LEADER,
    "control-machines": CONTROL_MACHINES,
    "directory": DIRECTORY,
    "engine": ENGINE,
    "failures": FAILURES,
}


@dataclass(frozen=True, slots=True)
class PageInput:
    """Input of the page's tables: measured curves and facts, and capacity runs."""

    results: Results
    runs: list[Run]


def read_results(paths: list[str]) -> PageInput:
    """Read curves and runs from files.

    A `.jsonl` file or one with a JSON list contains runs; `RUNS_FILE` in the folder of the first file is read
    as well. Raises `ResultsError` if a file can't be read or holds figures of a `--quick` measurement.
    """
    curve_files: list[str] = []
    run_files: list[str] = []
    for path in paths:
        try:
            first_byte = Path(path).read_bytes().lstrip()[:1]
        except OSError as err:
            raise ResultsError(f"{path}: {err.strerror}") from None
        holds_runs = first_byte == b"[" or path.endswith(".jsonl")
        (run_files if holds_runs else curve_files).append(path)
    beside = Path(paths[0]).parent / RUNS_FILE
    if beside.exists() and str(beside) not in map(str, map(Path, run_files)):
        run_files.append(str(beside))
    results = read(curve_files)
    if results.quick:
        raise ResultsError("the slopes were measured with --quick and must not be written into the page")
    return PageInput(results, [run for path in run_files for run in read_runs(path)])


def tables(results: Results, runs: list[Run]) -> TableMakers:
    """Return the functions that return each table, by the name in the table's mark."""
    evaluated = evaluate(results)
    return {
        "first": lambda: over_limit_table(evaluated),
        "missing": lambda: missing_table(evaluated),
        "slopes": lambda: slopes_table(results),
        "facts": lambda: facts_table(results),
        "sources": lambda: sources_table(results),
        "scale": lambda: runs_table(runs),
        "now": lambda: run_limits_table(runs),
        "quiet": lambda: run_limits_table(runs, True),
        "control": lambda: control_fits_table(runs),
        **{name: partial(_role_table, evaluated, role) for name, role in TABLES_BY_ROLE.items()},
    }


def _role_table(evaluated: list[RequirementResult], role: str) -> str:
    return requirements_table([result for result in evaluated if result.requirement.role == role])


def render(page: str, makers: TableMakers) -> str:
    """Return the page with its tables regenerated.

    Raises `ResultsError` for a mark with an unknown name or without an end mark.
    """
    marks = page.count("<!-- table:")
    complete = len(TABLE_MARK.findall(page))
    if not marks or marks != complete or marks != page.count("<!-- end -->"):
        raise ResultsError(
            f"the page has {marks} table marks, {complete} of which have a name and an end mark"
        )

    return TABLE_MARK.sub(partial(_marked_table, makers), page)


def _marked_table(makers: TableMakers, mark: re.Match[str]) -> str:
    """Return the replacement of one match of `TABLE_MARK`: its marks, with the table between them."""
    name = mark[2]
    if name not in makers:
        raise ResultsError(
            f"the page has a mark of unknown table {name!r}; known tables: {', '.join(sorted(makers))}"
        )
    return f"{mark[1]}\n{makers[name]()}\n\n{mark[3]}"


def run(paths: list[str], page: str, check: bool, folder: str, echo: Callable[[str], None]) -> int:
    """Write the page's tables, or with `check` only compare them; return the exit code.

    1: the page differs from its results. `folder`: the folder for plots; empty for none. Raises
    `ResultsError` if a file can't be read or the page's marks are invalid.
    """
    page_input = read_results(paths)
    makers = tables(page_input.results, page_input.runs)
    try:
        current_text = Path(page).read_text(encoding="utf-8")
    except OSError as err:
        raise ResultsError(f"{page}: {err.strerror}") from None
    new_text = render(current_text, makers)
    if folder:
        echo(f"{draw_plots(page_input.results, folder)} slopes drawn in {folder}")
    if check:
        echo(
            f"{page} is as the results say"
            if new_text == current_text
            else f"{page} differs from its results files"
        )
        return int(new_text != current_text)
    Path(page).write_text(new_text, encoding="utf-8")
    echo(f"{page}: {len(TABLE_MARK.findall(new_text))} tables written")
    return 0
