"""Plots of measured curves with their fits and limits."""

from pathlib import Path

from cypressledge.lab.capacity.evaluation import evaluate
from cypressledge.lab.capacity.markdown import format_number
from cypressledge.lab.capacity.targets import FAILURES, TARGET_BROKERS, TARGET_CLIENTS, TARGET_ENGINES
from cypressledge.lab.results import Results, Slope

TARGET_SIZES = {"engines": TARGET_ENGINES, "brokers": TARGET_BROKERS, "client connections": TARGET_CLIENTS}


def slope_limits(results: Results) -> dict[str, float]:
    """Return, by curve, the y at which the strictest requirement on this curve alone reaches its limit."""
    curves = {slope.name: slope for slope in results.slopes}
    limits: dict[str, float] = {}
    for result in evaluate(results):
        if not result.ratio or len(result.sources) != 1:
            continue
        if not result.requirement.figure.is_direct and result.requirement.role == FAILURES:
            continue
        name = next(iter(result.sources))
        curve = curves.get(name)
        if curve is not None and curve.x in TARGET_SIZES:
            y = curve.at(TARGET_SIZES[curve.x]).y / result.ratio
            limits[name] = min(y, limits.get(name, y))
    return limits


def draw_plots(results: Results, folder: str) -> int:
    """Draw each curve with its fit, and with its limit if it has one; return how many were drawn."""
    import matplotlib

    matplotlib.use("Agg")
    limits = slope_limits(results)
    Path(folder).mkdir(parents=True, exist_ok=True)
    for slope in results.slopes:
        _draw(slope, limits.get(slope.name), Path(folder) / f"{slope.name}.png")
    return len(results.slopes)


def _draw(slope: Slope, limit: float | None, path: Path) -> None:
    from matplotlib import pyplot

    figure, axis = pyplot.subplots(figsize=(6, 4))
    xs = [x for x, _ in slope.points]
    end = max(xs[-1], TARGET_SIZES.get(slope.x, xs[-1]))
    grid = [xs[0] + (end - xs[0]) * i / 100 for i in range(101)]
    fit_label = f"{slope.fit.kind} fit, off by {slope.residual:.1%}"
    axis.plot(grid, [slope.fit.at(x) for x in grid], "--", label=fit_label)
    axis.plot(xs, [y for _, y in slope.points], "o", label="measured")
    if limit is not None:
        axis.axhline(limit, color="red", label=f"limit {format_number(limit)} {slope.unit}")
    axis.set(title=f"{slope.name}: {slope.what}"[:70], xlabel=slope.x, ylabel=slope.unit)
    axis.title.set_fontsize(8)
    axis.legend(fontsize=8)
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
