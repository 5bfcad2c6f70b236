"""Means and quantiles of figures, as all experiments summarize theirs."""

from collections.abc import Iterable, Sequence


def mean(values: Sequence[float]) -> float:
    """Return the mean. Raises `ZeroDivisionError` where there are no values."""
    return sum(values) / len(values)


def quantile(values: Iterable[float], part: float) -> float:
    """Return the value under which this part of the values lies; 0 of none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))] if ordered else 0.0
