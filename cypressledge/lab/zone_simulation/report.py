"""Plays many schedules in processes, and reports: a table, a last line, and a plot where it is asked for."""

from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from multiprocessing import get_context

from tabulate import tabulate

from cypressledge.lab.zone_simulation.schedules import SCHEDULES, Comparison, Job, play_both
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
    def offs(self) -> list[PlayResult]:
        """The plays without zone failover."""
        return [comparison.off for comparison in self.comparisons]

    @property
    def ons(self) -> list[PlayResult]:
        """The plays with it."""
        return [comparison.on for comparison in self.comparisons]

    @property
    def fallen(self) -> int:
        """Engines that fell over with failover on."""
        return sum(result.fallen for result in self.ons)

    @property
    def false_departures(self) -> int:
        """Zones left for nothing with failover on."""
        return sum(result.false_departures for result in self.ons)

    def row(self) -> list:
        """The row of the table."""
        offs, ons = self.offs, self.ons
        return [
            self.kind,
            len(self.comparisons),
            _largest(result.last_send for result in offs),
            _largest(result.last_send for result in ons),
            _largest(result.in_force_after_s for result in ons),
            sum(result.kept for result in offs) / len(offs),
            sum(result.kept for result in ons) / len(ons),
            sum(result.fallen for result in offs),
            self.fallen,
            _largest(result.recovered_after_s for result in ons),
            self.false_departures,
        ]


def _largest(values: Iterable[float | None]) -> float | None:
    """The largest of the values that are known."""
    return max((value for value in values if value is not None), default=None)


def run(
    brokers: int,
    engines: int,
    zones: int,
    kind: str,
    seed: int,
    runs: int,
    load: float,
    workers: int,
    plot: str,
    say: Callable[[str], None],
) -> int:
    """Play so many seeds of each kind; a table, and a plot of the first. 1: an engine fell over with failover
    on, or a zone was left for nothing."""
    kinds = tuple(k.strip() for k in kind.split(",")) if kind else SCHEDULES
    seeds = range(seed, seed + runs)
    jobs = [Job(s, brokers, engines, zones or 2 + s % 5, k, load) for k in kinds for s in seeds]
    comparisons: dict[str, list[Comparison]] = {k: [] for k in kinds}
    with ProcessPoolExecutor(workers, mp_context=get_context("spawn")) as pool:
        for comparison in pool.map(play_both, jobs):
            comparisons[comparison.job.kind].append(comparison)
    reports = [KindReport(k, found) for k, found in comparisons.items()]
    rows = [report.row() for report in reports]
    say(tabulate(rows, floatfmt=".2f", missingval="-", headers=HEADERS))
    fallen = sum(report.fallen for report in reports)
    false_departures = sum(report.false_departures for report in reports)
    say(
        f"{brokers} brokers, {engines} engines, {zones or '2 to 6'} zones, load {load:g} of the cores, seeds "
        f"{seed} to {seed + runs - 1}: engines fallen over on {fallen}, false departures {false_departures}"
    )
    if plot:
        draw(reports[0].comparisons[0], plot)
        say(f"drawn: {plot}")
    return 1 if fallen or false_departures else 0


def draw(comparison: Comparison, path: str) -> None:
    """Draw the zone's share, its load over what it can do, and what was kept so far, over time; off and
    on."""
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
    job = comparison.job
    axes[0].set_title(
        f"{job.kind}, seed {job.seed}: {job.brokers} brokers, {job.engines} engines, {job.zones} zones"
    )
    axes[-1].set_xlabel("s")
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
