"""The mean and quantile functions that all experiments share."""

from collections.abc import Iterable, Sequence


def mean(values: Sequence[float]) -> float:
    """Return the arithmetic mean. Raises `ZeroDivisionError` if there are no values."""
    return sum(values) / len(values)


def quantile(values: Iterable[float], part: float) -> float:
    """Return the value below which the fraction `part` of the values lies; 0 if there are no values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))] if ordered else 0.0
