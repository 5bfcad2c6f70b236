"""Results files: measured slopes and facts as JSON, each with the seed, commit and command to repeat it."""

import os
from collections.abc import Sequence
from datetime import UTC, datetime
from itertools import pairwise
from pathlib import Path
from typing import Literal, NamedTuple, TypeVar

import msgspec

from cypressledge.lab.curve_fit import Fit, best
from cypressledge.lab.processes import commit

Basis = Literal["measured", "interpolated", "extrapolated"]


class ResultsError(Exception):
    """Raised if a results file can't be used; the message is one line."""


class Source(msgspec.Struct, frozen=True):
    """The origin of figures. `load_average`: the machine's one-minute load when the measurement began."""

    seed: int
    commit: str
    date: str
    load_average: float
    command: str


class CurveValue(NamedTuple):
    """A curve's y at some x, and whether it is measured, interpolated or extrapolated."""

    y: float
    basis: Basis


class Slope(msgspec.Struct, frozen=True):
    """A measured curve: points of y over x.

    `role`: the part of the system that y belongs to; `what`: description of y; `unit`: unit of y.
    """

    name: str
    role: str
    what: str
    unit: str
    x: str
    points: list[tuple[float, float]]
    fit: Fit
    source: Source

    @property
    def residual(self) -> float:
        """The fit's residual, relative to the mean of the absolute y."""
        return self.fit.residual

    def at(self, x: float) -> CurveValue:
        """Return y at x: measured at a point, interpolated linearly between points, else from the fit."""
        for (x0, y0), (x1, y1) in pairwise(self.points):
            if x0 <= x <= x1:
                y = y0 + (y1 - y0) * (x - x0) / (x1 - x0)
                return CurveValue(y, "measured" if x in (x0, x1) else "interpolated")
        return CurveValue(self.fit.at(x), "extrapolated")


class Fact(msgspec.Struct, frozen=True):
    """A single measured figure that is not part of a slope."""

    name: str
    what: str
    value: float
    unit: str
    source: Source


Figure = TypeVar("Figure", Slope, Fact)


class Results(msgspec.Struct):
    """The content of a results file.

    `quick`: measured with fewer and smaller points, for tests; its figures must not be published in pages.
    """

    quick: bool
    slopes: list[Slope] = []
    facts: list[Fact] = []


def source(seed: int, command: str) -> Source:
    """Return the source of a measurement that begins now, with the present commit, time and load average."""
    date = datetime.now(UTC).isoformat(timespec="seconds")
    return Source(seed, commit(), date, round(os.getloadavg()[0], 2), command)


def slope(
    name: str, role: str, what: str, unit: str, x: str, points: Sequence[tuple[float, float]], source: Source
) -> Slope:
    """Return a slope with its fit; its points are sorted by x, and y is rounded to six significant digits."""
    ordered = sorted((float(a), float(f"{b:.6g}")) for a, b in points)
    return Slope(name, role, what, unit, x, ordered, best(ordered), source)


def write(path: str, results: Results) -> None:
    """Write a results file, indented so that diffs are readable."""
    raw = msgspec.json.format(msgspec.json.encode(results), indent=1)
    Path(path).write_bytes(raw + b"\n")


def read(paths: list[str]) -> Results:
    """Read several results files and merge them.

    Raises `ResultsError`, with one line that names the file and the error, if a file can't be read or decoded
    or if a slope or fact occurs more than once.
    """
    slopes: dict[str, Slope] = {}
    facts: dict[str, Fact] = {}
    quick = False
    for path in paths:
        try:
            results = msgspec.json.decode(Path(path).read_bytes(), type=Results)
        except OSError as err:
            raise ResultsError(f"{path}: {err.strerror}") from None
        except msgspec.MsgspecError as err:
            raise ResultsError(f"{path} is no results file: {err}") from None
        _add(slopes, results.slopes, path)
        _add(facts, results.facts, path)
        quick = quick or results.quick
    return Results(quick, list(slopes.values()), list(facts.values()))


def _add(known: dict[str, Figure], figures: list[Figure], path: str) -> None:
    for figure in figures:
        if figure.name in known:
            raise ResultsError(f"{path}: {figure.name} occurs more than once in the results files")
        known[figure.name] = figure
