"""Plays many schedules in parallel processes, prints a table and a summary line, and can draw a plot."""

from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from multiprocessing import get_context

from tabulate import tabulate

from cypressledge.lab.zone_simulation.scenario import Scenario
from cypressledge.lab.zone_simulation.schedules import SCHEDULES, Comparison, play_both
from cypressledge.lab.zone_simulation.world import PlayResult

HEADERS = (
    "kind",
    "seeds",
    "last send off, s",
    "on",
    "plan in force, s",
    "kept off, %",
    "on",
    "fallen off",
    "on",
    "whole again, s",
    "false departures",
)


@dataclass(frozen=True, slots=True)
class KindReport:
    """All comparisons of one kind of schedule."""

    kind: str
    comparisons: list[Comparison]

    @property
    def results_off(self) -> list[PlayResult]:
        """The results without zone failover."""
        return [comparison.off for comparison in self.comparisons]

    @property
    def results_on(self) -> list[PlayResult]:
        """The results with zone failover."""
        return [comparison.on for comparison in self.comparisons]

    @property
    def failed_engines(self) -> int:
        """The number of engines that failed under overload with failover on."""
        return sum(result.failed_engines for result in self.results_on)

    @property
    def false_departures(self) -> int:
        """The number of departures from a healthy zone with failover on."""
        return sum(result.false_departures for result in self.results_on)

    def row(self) -> list[object]:
        """Return the values of the table row, in the order of `HEADERS`."""
        results_off, results_on = self.results_off, self.results_on
        return [
            self.kind,
            len(self.comparisons),
            _largest(result.last_send for result in results_off),
            _largest(result.last_send for result in results_on),
            _largest(result.in_force_after_s for result in results_on),
            sum(result.kept for result in results_off) / len(results_off),
            sum(result.kept for result in results_on) / len(results_on),
            sum(result.failed_engines for result in results_off),
            self.failed_engines,
            _largest(result.recovered_after_s for result in results_on),
            self.false_departures,
        ]


def _largest(values: Iterable[float | None]) -> float | None:
    """Return the largest value that is not None, or None if there is no such value."""
    return max((value for value in values if value is not None), default=None)


@dataclass(frozen=True, slots=True)
class SimulationOptions:
    """The command's options.

    `zones`: 0 derives 2 to 6 from the seed; `kind`: comma-separated kinds of fault, or empty for all; `seed`:
    the first seed; `runs`: number of seeds per kind; `load`: work as a fraction of all engines' cores;
    `workers`: number of processes; `plot`: file for a plot of the first scenario, or empty.
    """

    brokers: int
    engines: int
    zones: int
    kind: str
    seed: int
    runs: int
    load: float
    workers: int
    plot: str

    def kinds(self) -> tuple[str, ...]:
        """Return the kinds of fault that are played."""
        return tuple(kind.strip() for kind in self.kind.split(",")) if self.kind else SCHEDULES

    def scenarios(self) -> list[Scenario]:
        """Return all scenarios, ordered by kind and seed."""
        return [
            Scenario(seed, kind, self.brokers, self.engines, self.zones or 2 + seed % 5, self.load)
            for kind in self.kinds()
            for seed in range(self.seed, self.seed + self.runs)
        ]


def run(options: SimulationOptions, echo: Callable[[str], None]) -> int:
    """Play all scenarios, print a table, and draw the first if a plot file is given; return the exit code.

    1: with failover on, an engine failed under overload or brokers left a healthy zone.
    """
    reports = _play_all(options)
    rows = [report.row() for report in reports]
    echo(tabulate(rows, floatfmt=".2f", missingval="-", headers=HEADERS))
    failed_engines = sum(report.failed_engines for report in reports)
    false_departures = sum(report.false_departures for report in reports)
    last_seed = options.seed + options.runs - 1
    echo(
        f"{options.brokers} brokers, {options.engines} engines, {options.zones or '2 to 6'} zones, "
        f"load {options.load:g} of the cores, seeds {options.seed} to {last_seed}: "
        f"engines fallen over on {failed_engines}, false departures {false_departures}"
    )
    if options.plot:
        draw(reports[0].comparisons[0], options.plot)
        echo(f"drawn: {options.plot}")
    return 1 if failed_engines or false_departures else 0


def _play_all(options: SimulationOptions) -> list[KindReport]:
    comparisons: dict[str, list[Comparison]] = {kind: [] for kind in options.kinds()}
    with ProcessPoolExecutor(options.workers, mp_context=get_context("spawn")) as pool:
        for comparison in pool.map(play_both, options.scenarios()):
            comparisons[comparison.scenario.kind].append(comparison)
    return [KindReport(kind, found) for kind, found in comparisons.items()]


def draw(comparison: Comparison, path: str) -> None:
    """Draw the samples of the lost zone over time, with zone failover off and on."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(3, 1, sharex=True, figsize=(8, 8))
    curves = {"share": "share", "load": "load / capacity", "kept": "kept so far"}
    for axis, (value, title) in zip(axes, curves.items(), strict=True):
        for result, name in ((comparison.off, "off"), (comparison.on, "on")):
            times = [sample.at for sample in result.curve]
            axis.plot(times, [getattr(sample, value) for sample in result.curve], label=name)
        axis.set_ylabel(title)
        axis.legend()
    scenario = comparison.scenario
    axes[0].set_title(
        f"{scenario.kind}, seed {scenario.seed}: {scenario.brokers} brokers, {scenario.engines} engines, "
        f"{scenario.zones} zones"
    )
    axes[-1].set_xlabel("s")
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
