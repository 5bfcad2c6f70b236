"""Tables of the capacity page for capacity runs."""

import json
from dataclasses import dataclass
from numbers import Real
from pathlib import Path
from typing import Any

from cypressledge.lab.capacity.markdown import markdown_table
from cypressledge.lab.capacity.requirements import (
    LINK,
    NO_LIMIT,
    ONE_CORE,
    TARGET_CPU,
    TARGET_MEMORY,
    TARGET_NETWORK,
    Limit,
)
from cypressledge.lab.capacity.targets import (
    CONTROL_CPU_PCT,
    CONTROL_MACHINES,
    CONTROL_MEMORY_MB,
    CONTROL_NETWORK_KB_S,
    CONTROL_PART,
    LEADER,
    TARGET_BROKERS,
    TARGET_ENGINES,
)
from cypressledge.lab.curve_fit import best
from cypressledge.lab.results import ResultsError

RUNS_FILE = "scale.jsonl"  # beside the first results file; one run per line, appended by `lab capacity`
FIT_MIN_SIZES = 3  # number of different fleet sizes that a fit needs
BROKER_LIMITS = {
    "broker_cpu_pct": CONTROL_CPU_PCT,
    "broker_net_kb_s": CONTROL_NETWORK_KB_S,
    "broker_rss_mb": CONTROL_MEMORY_MB,
}
SHOWN_FIGURES = (
    "brokers",
    "engines",
    "seconds",
    "seed",
    "quiet",
    "commit",
    "changes",
    "p99_s",
    "most_s",
    "all_most_s",
    "primary_most_s",
    "broker_cpu_pct",
    "broker_net_kb_s",
    "broker_rss_mb",
    "control_cpu_pct",
    "control_net_kb_s",
    "control_rss_mb",
    "lost",
    "gone_back",
    "wrong",
    "snapshots",
    "reconnects",
    "late_ms_p99",
    "load_average",
    "exit",
    "passed",
)  # figures of a run that are shown; the file has more


@dataclass(frozen=True, slots=True)
class RunLimit:
    """A figure of a run with its limit; `figure` is its key in the results file."""

    role: str
    what: str
    figure: str
    unit: str
    limit: Limit = NO_LIMIT


RUN_LIMITS = (  # compared with the maximum over all runs
    RunLimit(
        "all", "a change in force at every broker, quiet times, p99", "p99_s", "s", Limit(2.0, "the aim")
    ),
    RunLimit(
        "all",
        "a change in force at every broker, quiet times, most",
        "most_s",
        "s",
        Limit(12.0, "the target"),
    ),
    RunLimit("all", "the same, with every fault of the day counted", "all_most_s", "s"),
    RunLimit(
        LEADER,
        "from a primary's loss to the next one's word",
        "primary_most_s",
        "s",
        Limit(8.0, "the target"),
    ),
    RunLimit(
        CONTROL_PART,
        "processor time of a real broker, its starts with it",
        "real_cpu_pct",
        "% of a core",
        TARGET_CPU,
    ),
    RunLimit(
        CONTROL_PART,
        "processor time of a hollow broker",
        "hollow_cpu_pct",
        "% of a core",
        TARGET_CPU,
    ),
    RunLimit(
        CONTROL_PART,
        "members and distribution, payload in and out",
        "broker_net_kb_s",
        "KB/s",
        TARGET_NETWORK,
    ),
    RunLimit(
        CONTROL_PART,
        "memory of a real broker, all of it",
        "broker_rss_mb",
        "MB",
        TARGET_MEMORY,
    ),
    RunLimit(
        CONTROL_MACHINES,
        "processor time of a control process",
        "control_cpu_pct",
        "% of a core",
        ONE_CORE,
    ),
    RunLimit(
        CONTROL_MACHINES,
        "payload in and out of a control process",
        "control_net_kb_s",
        "KB/s",
        LINK,
    ),
    RunLimit(CONTROL_MACHINES, "memory of a control process", "control_rss_mb", "MB"),
    RunLimit(
        "all", "acknowledged changes that a broker in reach never had", "lost", "", Limit(0, "the target")
    ),
    RunLimit("all", "brokers that went to an older version", "gone_back", "", Limit(0, "the target")),
    RunLimit("all", "brokers whose state differs from the primary's", "wrong", "", Limit(0, "the target")),
)
FITTED_NAME_PARTS = ("cpu", "kb_s", "rss", "_mb")  # substrings of names of figures that grow with the fleet


Run = dict[str, Any]  # a run's figures by name, as the results file has them


def flatten(figures: Run, prefix: str = "") -> Run:
    """Return the figures with keys of nested objects joined by dots and lists encoded as JSON."""
    found: Run = {}
    for key, value in figures.items():
        if isinstance(value, dict):
            found |= flatten(value, f"{prefix}{key}.")
        else:
            found[prefix + key] = json.dumps(value) if isinstance(value, list) else value
    return found


def read_runs(path: str) -> list[Run]:
    """Read runs from a file with a JSON list, or from a JSON-lines file.

    Raises `ResultsError` with a message of one line if the file can't be read or decoded.
    """
    try:
        raw = Path(path).read_bytes()
        runs = list(map(json.loads, raw.splitlines())) if path.endswith("l") else json.loads(raw)
    except OSError as err:
        raise ResultsError(f"{path}: {err.strerror}") from None
    except ValueError as err:
        raise ResultsError(f"{path} is not valid JSON: {err}") from None
    if not isinstance(runs, list) or not all(isinstance(run, dict) and "brokers" in run for run in runs):
        raise ResultsError(f"{path} is not a list of runs: expected objects with `brokers`")
    return [flatten(run) for run in runs]


def runs_table(runs: list[Run]) -> str:
    """Return the table of runs with one column per run, since there are more figures than runs."""
    if not runs:
        return f"No run yet: there is no `{RUNS_FILE}` beside the slopes."
    keys = [key for key in SHOWN_FIGURES if any(key in run for run in runs)]
    keys += [key for key in _all_keys(runs) if key.startswith("faults.")]
    return markdown_table(
        ["figure", *(f"run {i + 1}" for i in range(len(runs)))],
        [[key, *(run.get(key) for run in runs)] for key in keys],
    )


def run_limits_table(runs: list[Run], quiet: bool = False) -> str:
    """Return the table of the largest figures of all runs at the target's size and their limits.

    With `quiet`, only runs without faults are used, else only runs with faults.
    """
    at_target = [run for run in runs if _is_at_target(run) and run.get("quiet", False) is quiet]
    if not at_target:
        return f"No run yet with {TARGET_BROKERS} brokers and {TARGET_ENGINES} engines."
    rows = []
    for entry in RUN_LIMITS:
        values = [run[entry.figure] for run in at_target if entry.figure in run]
        if values:
            rows.append(_run_limit_row(entry, values))
    headers = ["role", "what", "most", "unit", "limit", "need/limit", "limit from", "basis"]
    return markdown_table(headers, rows)


def _is_at_target(run: Run) -> bool:
    return run["brokers"] == TARGET_BROKERS and run.get("engines") == TARGET_ENGINES


def _run_limit_row(entry: RunLimit, values: list[float]) -> list[object]:
    largest = max(values)
    limit = entry.limit.value
    return [
        entry.role,
        entry.what,
        largest,
        entry.unit,
        "-" if limit is None else limit,
        f"{largest / limit:.2f}" if limit else "-",
        entry.limit.source,
        f"measured, {len(values)} runs",
    ]


def control_fits_table(runs: list[Run]) -> str:
    """Return the table of fits over brokers of the costs of a broker and a control process.

    A figure is left out if fewer than `FIT_MIN_SIZES` sizes were run.
    """
    faulty = [run for run in runs if not run.get("quiet")]
    rows = []
    for key in _all_keys(faulty):
        if not any(part in key for part in FITTED_NAME_PARTS):
            continue
        points = [(float(run["brokers"]), float(run[key])) for run in faulty if _is_number(run.get(key))]
        if len({x for x, _ in points}) >= FIT_MIN_SIZES:
            rows.append(_fit_row(key, points))
    if not rows:
        return f"No fit yet: fewer than {FIT_MIN_SIZES} sizes of fleet have been run."
    headers = [
        "figure",
        "fit over brokers",
        "residual",
        f"at {TARGET_BROKERS}",
        "basis",
        "limit",
        "need/limit",
    ]
    return markdown_table(headers, rows)


def _fit_row(key: str, points: list[tuple[float, float]]) -> list[object]:
    fit = best(points)
    limit = BROKER_LIMITS.get(key)
    at_target = fit.at(TARGET_BROKERS)
    was_run = any(brokers == TARGET_BROKERS for brokers, _ in points)
    return [
        key,
        f"{fit.kind}: {fit.formula('x')}",
        f"{fit.residual:.1%}",
        at_target,
        "within the sizes run" if was_run else "extrapolated",
        "-" if limit is None else limit,
        "-" if limit is None else f"{at_target / limit:.2f}",
    ]


def _all_keys(runs: list[Run]) -> list[str]:
    """Return the figures' names in the order of their first appearance."""
    return list(dict.fromkeys(key for run in runs for key in run))


def _is_number(value: object) -> bool:
    return isinstance(value, Real) and not isinstance(value, bool)
