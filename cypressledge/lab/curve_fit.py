"""Least-squares fits of measured points: linear, quadratic, or a power of x."""

import math
from typing import Literal

import msgspec
import numpy as np

Kind = Literal["linear", "quadratic", "power"]
DEGREE = {"linear": 1, "quadratic": 2}
MAX_QUADRATIC_RESIDUAL_RATIO = 0.5  # of the linear residual; `best` takes a quadratic fit below it
QUADRATIC_MIN_POINTS = 5  # with fewer points, the three parameters of a quadratic would overfit them


class Fit(msgspec.Struct, frozen=True):
    """A curve fitted to measured points.

    `coefficients`: highest degree first; for a power, exponent and factor. `residual`: root mean square of
    the points' deviations, relative to the mean of the absolute y.
    """

    kind: Kind
    coefficients: list[float]
    residual: float

    def at(self, x: float) -> float:
        """Return the fit's y at x."""
        if self.kind == "power":
            exponent, factor = self.coefficients
            return factor * x**exponent
        return float(np.polyval(self.coefficients, x))

    def formula(self, x: str) -> str:
        """Return the formula with three significant digits for each coefficient; `x`: the name of x."""
        digits = [f"{value:.3g}" for value in self.coefficients]
        if self.kind == "power":
            return f"{digits[1]}·{x}^{digits[0]}"
        names = [f"·{x}²", f"·{x}", ""][-len(digits) :]
        return " + ".join(value + name for value, name in zip(digits, names, strict=True)).replace(
            "+ -", "− "
        )


def fit(points: list[tuple[float, float]], kind: Kind) -> Fit:
    """Fit a curve of one kind to the points.

    Raises `ValueError` for too few distinct x, and for a power if any x or y is not above 0.
    """
    needed = 2 if kind == "power" else DEGREE[kind] + 1
    if len({x for x, _ in points}) < needed:
        raise ValueError(f"a {kind} fit needs {needed} different x, got {len({x for x, _ in points})}")
    x, y = (np.array(column, float) for column in zip(*points, strict=True))
    if kind == "power":
        if min(x) <= 0 or min(y) <= 0:
            raise ValueError(f"a power fit needs x and y above 0, got {points}")
        exponent, log_factor = np.polyfit(np.log(x), np.log(y), 1)
        coefficients = [float(exponent), math.exp(log_factor)]
    else:
        coefficients = [float(c) for c in np.polyfit(x, y, DEGREE[kind])]
    exact = Fit(kind, coefficients, 0.0)
    squares = [(exact.at(a) - b) ** 2 for a, b in points]
    mean = float(np.mean(np.abs(y)))
    return Fit(kind, coefficients, math.sqrt(sum(squares) / len(squares)) / mean if mean else 0.0)


def best(points: list[tuple[float, float]]) -> Fit:
    """Return the quadratic fit if there are enough points and it fits them much better, else the linear."""
    linear = fit(points, "linear")
    if len({x for x, _ in points}) < QUADRATIC_MIN_POINTS:
        return linear
    quadratic = fit(points, "quadratic")
    return quadratic if quadratic.residual < MAX_QUADRATIC_RESIDUAL_RATIO * linear.residual else linear
