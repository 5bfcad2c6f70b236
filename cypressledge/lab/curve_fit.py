"""Least squares through a slope's points: straight, bent (second degree), or a power of x."""

import math
from typing import Literal

import msgspec
import numpy as np

Kind = Literal["linear", "quadratic", "power"]
DEGREE = {"linear": 1, "quadratic": 2}
BETTER = 0.5  # part of the straight fit's residual that a bent one has to come below to be taken
FOR_BENT = 5  # points from which a bent fit says more than that it has a parameter for nearly each of them


class Fit(msgspec.Struct, frozen=True):
    """A fit. `coefficients`: highest degree first; of a power, exponent and factor. `residual`: root of the
    mean square of what the points are off, as a part of their mean."""

    kind: Kind
    coefficients: list[float]
    residual: float

    def at(self, x: float) -> float:
        """The fit's y at x."""
        if self.kind == "power":
            exponent, factor = self.coefficients
            return factor * x**exponent
        return float(np.polyval(self.coefficients, x))

    def words(self, x: str) -> str:
        """The formula, three digits each."""
        c = [f"{v:.3g}" for v in self.coefficients]
        if self.kind == "power":
            return f"{c[1]}·{x}^{c[0]}"
        names = [f"·{x}²", f"·{x}", ""][-len(c) :]
        return " + ".join(v + name for v, name in zip(c, names, strict=True)).replace("+ -", "− ")


def fit(points: list[tuple[float, float]], kind: Kind) -> Fit:
    """Fit the points. Raises `ValueError` for too few of them, and for a power where one is not above 0."""
    need = 2 if kind == "power" else DEGREE[kind] + 1
    if len({x for x, _ in points}) < need:
        raise ValueError(f"a {kind} fit needs {need} different x, got {len({x for x, _ in points})}")
    x, y = (np.array(column, float) for column in zip(*points, strict=True))
    if kind == "power":
        if min(x) <= 0 or min(y) <= 0:
            raise ValueError("a power fit needs x and y above 0")
        exponent, log_factor = np.polyfit(np.log(x), np.log(y), 1)
        coefficients = [float(exponent), math.exp(log_factor)]
    else:
        coefficients = [float(c) for c in np.polyfit(x, y, DEGREE[kind])]
    bare = Fit(kind, coefficients, 0.0)
    off = [(bare.at(a) - b) ** 2 for a, b in points]
    mean = float(np.mean(np.abs(y)))
    return Fit(kind, coefficients, math.sqrt(sum(off) / len(off)) / mean if mean else 0.0)


def best(points: list[tuple[float, float]]) -> Fit:
    """The straight fit, unless there are five points and more and a bent one comes much nearer to them."""
    straight = fit(points, "linear")
    if len({x for x, _ in points}) < FOR_BENT:
        return straight
    bent = fit(points, "quadratic")
    return bent if bent.residual < BETTER * straight.residual else straight
