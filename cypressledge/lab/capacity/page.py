"""Writes the tables of docs/CAPACITY.md anew from results files, so that figures and page can't part.

A table stands between `<!-- table:NAME -->` and `<!-- end -->`; all else on the page is written by hand.
"""

import json
import re
from collections.abc import Callable
from numbers import Real
from pathlib import Path

import msgspec
from tabulate import tabulate

from cypressledge.lab.capacity.requirements import (
    BROKERS,
    CLIENTS,
    CONTROL,
    CPU,
    DIRECTORY,
    ENGINE,
    ENGINES,
    FAILURES,
    MACHINES,
    MEMORY,
    NET,
    PLANNER,
    PRIMARY,
    REQUEST,
    VOTER,
    Line,
    lines,
)
from cypressledge.lab.curve_fit import best
from cypressledge.lab.results import Results, ResultsError, read

MARK = re.compile(r"(<!-- table:([a-z-]+) -->\n).*?(<!-- end -->)", re.S)
SCALE = "scale.jsonl"  # beside the first results file: a run a line, as `lab capacity` appends them
SIZES_LEAST = 3  # sizes of a fleet from which a fit is shown
BY_ROLE = {
    "request-path": REQUEST,
    "control-part": CONTROL,
    "voter": VOTER,
    "planner": PLANNER,
    "primary": PRIMARY,
    "control-machines": MACHINES,
    "directory": DIRECTORY,
    "engine": ENGINE,
    "failures": FAILURES,
}
TARGET = {"engines": ENGINES, "brokers": BROKERS, "client connections": CLIENTS}
LIMITS = {"broker_cpu_pct": CPU, "broker_net_kb_s": NET, "broker_rss_mb": MEMORY}
SHOWN = (
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
)  # of a run; the file has the rest
NOW = (  # (role, what, figure of a run, unit, limit, where the limit is from): the most of all runs counts
    ("all", "a change in force at every broker, quiet times, p99", "p99_s", "s", 2.0, "the aim"),
    ("all", "a change in force at every broker, quiet times, most", "most_s", "s", 12.0, "the target"),
    ("all", "the same, with every fault of the day counted", "all_most_s", "s", None, "none set"),
    (PRIMARY, "from a primary's loss to the next one's word", "primary_most_s", "s", 8.0, "the target"),
    (
        CONTROL,
        "processor time of a real broker, its starts with it",
        "real_cpu_pct",
        "% of a core",
        CPU,
        "the target",
    ),
    (CONTROL, "processor time of a hollow broker", "hollow_cpu_pct", "% of a core", CPU, "the target"),
    (CONTROL, "members and distribution, payload in and out", "broker_net_kb_s", "KB/s", NET, "the target"),
    (CONTROL, "memory of a real broker, all of it", "broker_rss_mb", "MB", MEMORY, "the target"),
    (
        MACHINES,
        "processor time of a control process",
        "control_cpu_pct",
        "% of a core",
        100.0,
        "one core, one thread",
    ),
    (
        MACHINES,
        "payload in and out of a control process",
        "control_net_kb_s",
        "KB/s",
        125_000.0,
        "a link of 1 Gbit/s, assumed",
    ),
    (MACHINES, "memory of a control process", "control_rss_mb", "MB", None, "none set"),
    ("all", "acknowledged changes that a broker in reach never had", "lost", "", 0, "the target"),
    ("all", "brokers that went to an older version", "gone_back", "", 0, "the target"),
    ("all", "brokers whose state differs from the primary's", "wrong", "", 0, "the target"),
)
FITTED = ("cpu", "kb_s", "rss", "_mb")  # parts of names of figures that grow with the fleet


def number(value: object) -> str:
    """A figure as the page shows it: four digits that count, thousands set apart."""
    if isinstance(value, bool) or not isinstance(value, Real):
        return "" if value is None else str(value)
    if float(value).is_integer() and abs(value) < 1e9:
        return f"{int(value):,}"
    if abs(value) >= 1_000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def table(heads: list[str], rows: list[list]) -> str:
    """A table of the page."""
    told = [[number(cell).replace("|", "/").replace("\n", " ") for cell in row] for row in rows]
    return tabulate(told, heads, tablefmt="github", disable_numparse=True)


# Tables of measured slopes


def needs_table(told: list[Line]) -> str:
    """Needs of one role."""
    return table(
        ["of", "what", "need", "unit", "limit", "need/limit", "limit from", "basis", "slopes", "carried by"],
        [
            [
                line.need.kind,
                line.need.what,
                line.value,
                line.need.unit,
                "-" if line.limit is None else line.limit,
                "-" if line.ratio is None else f"{line.ratio:.2f}",
                line.need.limit_words,
                line.basis,
                ", ".join(line.sources) or "-",
                line.need.carried,
            ]
            for line in told
        ],
    )


def first_table(told: list[Line]) -> str:
    """What is over its limit, the furthest first."""
    over = [line for line in told if line.ratio is not None and line.ratio > 1]
    over.sort(key=lambda line: -line.ratio)
    return table(
        ["need/limit", "passed from brokers", "role", "what", "need", "limit", "unit", "basis", "carried by"],
        [
            [
                f"{line.ratio:.1f}",
                round(line.reached) or "any",
                line.need.role,
                line.need.what,
                line.value,
                line.limit,
                line.need.unit,
                line.basis,
                line.need.carried,
            ]
            for line in over
        ],
    )


def missing_table(told: list[Line]) -> str:
    """Each thing that is missing: how many figures it fails, and the furthest over."""
    by_name: dict[str, list[Line]] = {}
    for line in told:
        if "missing: " in line.need.carried:
            by_name.setdefault(line.need.carried.partition("missing: ")[2], []).append(line)
    rows = []
    for name, wanting in by_name.items():
        over = [line for line in wanting if line.ratio is not None and line.ratio > 1]
        most = max(over, key=lambda line: line.ratio, default=None)
        first = min(over, key=lambda line: line.reached, default=None)
        rows.append(
            [
                first.reached if first else float("inf"),
                name,
                f"{len(over)} of {len(wanting)}",
                f"{most.ratio:.1f}, {most.need.role}: {most.need.what}" if most else "-",
                f"{round(first.reached) or 'any'}, {first.need.role}: {first.need.what}" if first else "-",
            ]
        )
    rows.sort(key=lambda row: row[0])
    return table(
        ["missing", "figures over their limit", "furthest over", "passed first, from brokers"],
        [row[1:] for row in rows],
    )


def slopes_table(results: Results) -> str:
    """All slopes with points and fits."""
    return table(
        ["slope", "what", "unit", "over", "points", "fit", "residual"],
        [
            [
                s.name,
                s.what,
                s.unit,
                s.x,
                "; ".join(f"{number(x)}: {number(y)}" for x, y in s.points),
                f"{s.fit.kind}: {s.fit.words('x')}",
                f"{s.residual:.1%}",
            ]
            for s in results.slopes
        ],
    )


def facts_table(results: Results) -> str:
    """All single figures."""
    rows = [[fact.name, fact.what, fact.value, fact.unit] for fact in results.facts]
    return table(["fact", "what", "value", "unit"], rows)


def sources_table(results: Results) -> str:
    """Which run gave which figures."""
    by_source: dict = {}
    for one in (*results.slopes, *results.facts):
        by_source.setdefault(msgspec.json.encode(one.source), (one.source, []))[1].append(one.name)
    return table(
        ["figures", "command", "seed", "commit", "date", "load average"],
        [
            [
                f"{names[0]} to {names[-1]} ({len(names)})",
                f"`{s.command}`",
                s.seed,
                s.commit,
                s.date,
                s.load_average,
            ]
            for s, names in by_source.values()
        ],
    )


# Tables of the scale run


def flat(told: dict, before: str = "") -> dict:
    """An object's keys, those of objects within it joined with a dot."""
    found = {}
    for key, value in told.items():
        if isinstance(value, dict):
            found |= flat(value, f"{before}{key}.")
        else:
            found[before + key] = json.dumps(value) if isinstance(value, list) else value
    return found


def read_scale(path: str) -> list[dict]:
    """Runs: a list, or a run a line. Raises `ResultsError` with one line."""
    try:
        raw = Path(path).read_bytes()
        told = list(map(json.loads, raw.splitlines())) if path.endswith("l") else json.loads(raw)
    except OSError as err:
        raise ResultsError(f"{path}: {err.strerror}") from None
    except ValueError as err:
        raise ResultsError(f"{path} is no JSON: {err}") from None
    if not isinstance(told, list) or not all(isinstance(run, dict) and "brokers" in run for run in told):
        raise ResultsError(f"{path} is no list of runs, each an object with `brokers`")
    return [flat(run) for run in told]


def scale_table(runs: list[dict]) -> str:
    """The runs, a column each: there are more figures than runs."""
    if not runs:
        return f"No run yet: there is no `{SCALE}` beside the slopes."
    keys = [key for key in SHOWN if any(key in run for run in runs)]
    keys += [key for key in dict.fromkeys(key for run in runs for key in run) if key.startswith("faults.")]
    return table(
        ["figure", *(f"run {i + 1}" for i in range(len(runs)))],
        [[key, *(run.get(key) for run in runs)] for key in keys],
    )


def now_table(runs: list[dict], quiet: bool = False) -> str:
    """The most of all runs at the target's size against limits; of those in which nothing was broken, or of
    the others."""
    runs = [
        run
        for run in runs
        if run["brokers"] == BROKERS and run.get("engines") == ENGINES and run.get("quiet", False) is quiet
    ]
    if not runs:
        return f"No run yet with {BROKERS} brokers and {ENGINES} engines."
    rows = []
    for role, what, key, unit, limit, source in NOW:
        values = [run[key] for run in runs if key in run]
        if values:
            ratio = f"{max(values) / limit:.2f}" if limit else "-"
            rows.append(
                [
                    role,
                    what,
                    max(values),
                    unit,
                    "-" if limit is None else limit,
                    ratio,
                    source,
                    f"measured, {len(values)} runs",
                ]
            )
    return table(["role", "what", "most", "unit", "limit", "need/limit", "limit from", "basis"], rows)


def control_table(runs: list[dict]) -> str:
    """Fits of what a broker and a control process spend, against brokers, where there are enough sizes."""
    runs = [run for run in runs if not run.get("quiet")]
    keys = [
        key
        for key in dict.fromkeys(key for run in runs for key in run)
        if any(part in key for part in FITTED)
    ]
    rows = []
    for key in keys:
        points = [
            (float(run["brokers"]), float(run[key]))
            for run in runs
            if isinstance(run.get(key), Real) and not isinstance(run.get(key), bool)
        ]
        if len({x for x, _ in points}) < SIZES_LEAST:
            continue
        fit, limit = best(points), LIMITS.get(key)
        reached = any(x == BROKERS for x, _ in points)
        rows.append(
            [
                key,
                f"{fit.kind}: {fit.words('x')}",
                f"{fit.residual:.1%}",
                fit.at(BROKERS),
                "within the sizes run" if reached else "extrapolated",
                "-" if limit is None else limit,
                "-" if limit is None else f"{fit.at(BROKERS) / limit:.2f}",
            ]
        )
    if not rows:
        return f"No fit yet: fewer than {SIZES_LEAST} sizes of fleet have been run."
    heads = ["figure", "fit over brokers", "residual", f"at {BROKERS}", "basis", "limit", "need/limit"]
    return table(heads, rows)


# The page


def split(paths: list[str]) -> tuple[Results, list[dict]]:
    """Slopes and runs: a file that holds a list holds runs; `scale.json` beside the first is read too."""
    slopes, scale = [], []
    for path in paths:
        try:
            begins = Path(path).read_bytes().lstrip()[:1]
        except OSError as err:
            raise ResultsError(f"{path}: {err.strerror}") from None
        (scale if begins == b"[" or path.endswith(".jsonl") else slopes).append(path)
    beside = Path(paths[0]).parent / SCALE
    if beside.exists() and str(beside) not in map(str, map(Path, scale)):
        scale.append(str(beside))
    results = read(slopes)
    if results.quick:
        raise ResultsError("the slopes were measured with --quick: no figures for a page")
    return results, [run for path in scale for run in read_scale(path)]


def tables(results: Results, runs: list[dict]) -> dict[str, Callable[[], str]]:
    """All tables by name."""
    told = lines(results)

    def of_role(role: str) -> Callable[[], str]:
        return lambda: needs_table([line for line in told if line.need.role == role])

    return {
        "first": lambda: first_table(told),
        "missing": lambda: missing_table(told),
        "slopes": lambda: slopes_table(results),
        "facts": lambda: facts_table(results),
        "sources": lambda: sources_table(results),
        "scale": lambda: scale_table(runs),
        "now": lambda: now_table(runs),
        "quiet": lambda: now_table(runs, True),
        "control": lambda: control_table(runs),
        **{name: of_role(role) for name, role in BY_ROLE.items()},
    }


def rendered(page: str, made: dict[str, Callable[[], str]]) -> str:
    """The page with its tables written anew. Raises `ResultsError` for a mark of no table or no end."""
    marks, whole = page.count("<!-- table:"), len(MARK.findall(page))
    if not marks or marks != whole or marks != page.count("<!-- end -->"):
        raise ResultsError(f"the page has {marks} marks of tables, {whole} of them with a name and an end")

    def written(mark: re.Match) -> str:
        if mark[2] not in made:
            raise ResultsError(f"the page asks for a table {mark[2]}; there are {', '.join(sorted(made))}")
        return f"{mark[1]}\n{made[mark[2]]()}\n\n{mark[3]}"

    return MARK.sub(written, page)


def slope_limits(results: Results) -> dict[str, float]:
    """By slope: the y at which the tightest need that comes of it alone meets its limit."""
    by_name, found = {s.name: s for s in results.slopes}, {}
    for line in lines(results):
        if line.ratio and len(line.sources) == 1 and (line.need.plain or line.need.role != FAILURES):
            name = next(iter(line.sources))
            if (s := by_name.get(name)) is not None and s.x in TARGET:
                y = s.at(TARGET[s.x])[0] / line.ratio
                found[name] = min(y, found.get(name, y))
    return found


def plots(results: Results, folder: str) -> int:
    """Draw each slope with its fit, and its limit where one of the needs has it; how many were drawn."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    limits = slope_limits(results)
    Path(folder).mkdir(parents=True, exist_ok=True)
    for s in results.slopes:
        figure, axis = pyplot.subplots(figsize=(6, 4))
        xs = [x for x, _ in s.points]
        most = max(xs[-1], TARGET.get(s.x, xs[-1]))
        grid = [xs[0] + (most - xs[0]) * i / 100 for i in range(101)]
        axis.plot(grid, [s.fit.at(x) for x in grid], "--", label=f"{s.fit.kind} fit, off by {s.residual:.1%}")
        axis.plot(xs, [y for _, y in s.points], "o", label="measured")
        if s.name in limits:
            axis.axhline(limits[s.name], color="red", label=f"limit {number(limits[s.name])} {s.unit}")
        axis.set(title=f"{s.name}: {s.what}"[:70], xlabel=s.x, ylabel=s.unit)
        axis.title.set_fontsize(8)
        axis.legend(fontsize=8)
        figure.savefig(Path(folder) / f"{s.name}.png", dpi=80)
        pyplot.close(figure)
    return len(results.slopes)


def run(paths: list[str], page: str, check: bool, folder: str, say: Callable[[str], None]) -> int:
    """Write the page's tables, or only compare: 1 where they differ. Raises `ResultsError`."""
    results, runs = split(paths)
    made = tables(results, runs)
    try:
        before = Path(page).read_text(encoding="utf-8")
    except OSError as err:
        raise ResultsError(f"{page}: {err.strerror}") from None
    after = rendered(before, made)
    if folder:
        say(f"{plots(results, folder)} slopes drawn in {folder}")
    if check:
        say(f"{page} is as the results say" if after == before else f"{page} differs from its results files")
        return int(after != before)
    Path(page).write_text(after, encoding="utf-8")
    say(f"{page}: {len(MARK.findall(after))} tables written")
    return 0
