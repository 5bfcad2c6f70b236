"""Files of measured slopes: JSON by msgspec's structs, each slope with what it takes to measure it again."""

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
    """A results file can't be used; the text is one plain line."""


class Source(msgspec.Struct, frozen=True):
    """Where figures come from. `load_average`: of the machine, over one minute, as the measurement began."""

    seed: int
    commit: str
    date: str
    load_average: float
    command: str


class CurveValue(NamedTuple):
    """A curve's y at some x, and what it is based on."""

    y: float
    basis: Basis


class Slope(msgspec.Struct, frozen=True):
    """A measured curve: points of y over x. `role`: whose y it is; `what`: y in words; `unit`: of y."""

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
        """The fit's residual, as a part of the mean y."""
        return self.fit.residual

    def at(self, x: float) -> CurveValue:
        """Return y at x: a point's, between two points on the straight line, beyond them the fit's."""
        for (x0, y0), (x1, y1) in pairwise(self.points):
            if x0 <= x <= x1:
                y = y0 + (y1 - y0) * (x - x0) / (x1 - x0)
                return CurveValue(y, "measured" if x in (x0, x1) else "interpolated")
        return CurveValue(self.fit.at(x), "extrapolated")


class Fact(msgspec.Struct, frozen=True):
    """A single figure that is measured but no slope."""

    name: str
    what: str
    value: float
    unit: str
    source: Source


Figure = TypeVar("Figure", Slope, Fact)


class Results(msgspec.Struct):
    """One file. `quick`: with fewer and smaller points, for tests; no figure of such a file is for a page."""

    quick: bool
    slopes: list[Slope] = []
    facts: list[Fact] = []


def source(seed: int, command: str) -> Source:
    """Return the source of a measurement that begins now."""
    date = datetime.now(UTC).isoformat(timespec="seconds")
    return Source(seed, commit(), date, round(os.getloadavg()[0], 2), command)


def slope(
    name: str, role: str, what: str, unit: str, x: str, points: Sequence[tuple[float, float]], source: Source
) -> Slope:
    """Return a curve with its fit, points in order of x and rounded to six digits."""
    ordered = sorted((float(a), float(f"{b:.6g}")) for a, b in points)
    return Slope(name, role, what, unit, x, ordered, best(ordered), source)


def write(path: str, results: Results) -> None:
    """Write a results file, indented so that differences are readable."""
    raw = msgspec.json.format(msgspec.json.encode(results), indent=1)
    Path(path).write_bytes(raw + b"\n")


def read(paths: list[str]) -> Results:
    """Read several files as one.

    Raises `ResultsError` with one line that names the file and the mistake.
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
            raise ResultsError(f"{path}: {figure.name} is there twice")
        known[figure.name] = figure
