"""Tables of the capacity page for measured curves and the requirements evaluated from them."""

from dataclasses import dataclass

import msgspec

from cypressledge.lab.capacity.markdown import format_number, markdown_table
from cypressledge.lab.capacity.requirements import RequirementResult
from cypressledge.lab.results import Fact, Results, Slope, Source


def requirements_table(results: list[RequirementResult]) -> str:
    """Return the table of one role's requirements."""
    return markdown_table(
        ["of", "what", "need", "unit", "limit", "need/limit", "limit from", "basis", "slopes", "carried by"],
        [
            [
                result.requirement.kind,
                result.requirement.what,
                result.value,
                result.requirement.unit,
                "-" if result.limit is None else result.limit,
                "-" if result.ratio is None else f"{result.ratio:.2f}",
                result.requirement.limit.source,
                result.basis,
                ", ".join(result.sources) or "-",
                result.requirement.carried_by,
            ]
            for result in results
        ],
    )


def over_limit_table(results: list[RequirementResult]) -> str:
    """Return the table of requirements over their limits, highest ratio first."""
    over = sorted(
        (result for result in results if result.is_over_limit), key=lambda result: -result.ratio_or_0
    )
    return markdown_table(
        ["need/limit", "passed from brokers", "role", "what", "need", "limit", "unit", "basis", "carried by"],
        [
            [
                f"{result.ratio:.1f}",
                round(result.passed_from or 0) or "any",
                result.requirement.role,
                result.requirement.what,
                result.value,
                result.limit,
                result.requirement.unit,
                result.basis,
                result.requirement.carried_by,
            ]
            for result in over
        ],
    )


def missing_table(results: list[RequirementResult]) -> str:
    """Return the table of missing features.

    For each: how many figures exceed their limits because of it, and the one with the highest ratio.
    """
    by_name: dict[str, list[RequirementResult]] = {}
    for result in results:
        if "missing: " in result.requirement.carried_by:
            by_name.setdefault(result.requirement.carried_by.partition("missing: ")[2], []).append(result)
    rows = sorted(
        (_missing_row(name, carried) for name, carried in by_name.items()), key=lambda row: row.passed_from
    )
    return markdown_table(
        ["missing", "figures over their limit", "furthest over", "passed first, from brokers"],
        [row.cells for row in rows],
    )


@dataclass(frozen=True, slots=True)
class _MissingRow:
    passed_from: float  # number of brokers; infinite if no limit is exceeded
    cells: list[object]


def _missing_row(name: str, carried: list[RequirementResult]) -> _MissingRow:
    over = [result for result in carried if result.is_over_limit]
    counts = f"{len(over)} of {len(carried)}"
    if not over:
        return _MissingRow(float("inf"), [name, counts, "-", "-"])
    furthest = max(over, key=lambda result: result.ratio_or_0)
    first = min(over, key=lambda result: result.passed_from or 0.0)
    passed_from = first.passed_from or 0.0
    brokers = round(passed_from) or "any"
    return _MissingRow(
        passed_from,
        [
            name,
            counts,
            f"{furthest.ratio:.1f}, {furthest.requirement.role}: {furthest.requirement.what}",
            f"{brokers}, {first.requirement.role}: {first.requirement.what}",
        ],
    )


def slopes_table(results: Results) -> str:
    """Return the table of all curves with their points and fits."""
    return markdown_table(
        ["slope", "what", "unit", "over", "points", "fit", "residual"],
        [
            [
                slope.name,
                slope.what,
                slope.unit,
                slope.x,
                "; ".join(f"{format_number(x)}: {format_number(y)}" for x, y in slope.points),
                f"{slope.fit.kind}: {slope.fit.formula('x')}",
                f"{slope.residual:.1%}",
            ]
            for slope in results.slopes
        ],
    )


def facts_table(results: Results) -> str:
    """Return the table of all single measured figures."""
    rows = [[fact.name, fact.what, fact.value, fact.unit] for fact in results.facts]
    return markdown_table(["fact", "what", "value", "unit"], rows)


def sources_table(results: Results) -> str:
    """Return the table of measurements with the figures that each produced."""
    by_source: dict[bytes, tuple[Source, list[str]]] = {}
    figures: list[Slope | Fact] = [*results.slopes, *results.facts]
    for figure in figures:
        by_source.setdefault(msgspec.json.encode(figure.source), (figure.source, []))[1].append(figure.name)
    return markdown_table(
        ["figures", "command", "seed", "commit", "date", "load average"],
        [
            [
                f"{names[0]} to {names[-1]} ({len(names)})",
                f"`{source.command}`",
                source.seed,
                source.commit,
                source.date,
                source.load_average,
            ]
            for source, names in by_source.values()
        ],
    )
