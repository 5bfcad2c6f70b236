"""`lab capacity`: real control processes, real and simulated brokers on the loopback, changes and faults.

Prints the results of each run and of its checks. The figures come from one shared machine, so the load and
the lateness of wake-ups are printed with them.
"""

import json
import sys
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from cypressledge.lab.capacity.capacity_run import CapacityRun
from cypressledge.lab.capacity.fleet import CapacityRunError, FleetSize
from cypressledge.lab.capacity.run_plot import draw_plot
from cypressledge.lab.capacity.run_report import print_report, summary

QUICK_BROKERS = 60
QUICK_ENGINES = 60
QUICK_SECONDS = 30.0
QUICK_REAL_BROKERS = 3


@dataclass(slots=True)
class CapacityOptions:
    """The command's options; `points` is a comma-separated list of numbers of brokers."""

    brokers: int
    engines: int
    real: int
    seconds: float
    seed: int
    points: str
    json_file: str
    plot: str
    quick: bool
    without_faults: bool
    members: bool
    ping_s: float
    keep: str

    def __post_init__(self) -> None:
        if self.quick:
            self.brokers = QUICK_BROKERS
            self.engines = QUICK_ENGINES
            self.seconds = min(self.seconds, QUICK_SECONDS)
            self.real = min(self.real, QUICK_REAL_BROKERS)

    def sizes(self) -> list[FleetSize]:
        """Return the size of each run."""
        counts = [int(point) for point in self.points.split(",")] if self.points else [self.brokers]
        ping_s = self.ping_s if self.members else 0.0
        return [FleetSize(count, self.engines, min(self.real, count // 4), ping_s=ping_s) for count in counts]


def run(options: CapacityOptions, echo: Callable[[str], None], live: bool = False) -> int:
    """Play one run for each size; return the exit code.

    1: a change was lost, a broker went back to an older state, a record was wrong, a limit was exceeded, or
    there was too little activity. `live`: show progress on standard error.
    """
    runs: list[CapacityRun] = []
    for size in options.sizes():
        try:
            capacity_run = _play(options, size, live)
        except CapacityRunError as err:
            echo(f"the run at {size.brokers} brokers failed: {err}")
            return 1
        if live:
            sys.stderr.write("\r\x1b[K")
        print_report(capacity_run, echo)
        runs.append(capacity_run)
        if options.json_file:
            _append_figures(capacity_run, options.json_file)
        if options.plot and len(runs) == len(options.sizes()):
            draw_plot(runs, options.plot)
            echo(f"drawn: {options.plot}")
        echo(summary(capacity_run))
    return int(any(capacity_run.failed for capacity_run in runs))


def _play(options: CapacityOptions, size: FleetSize, live: bool) -> CapacityRun:
    with tempfile.TemporaryDirectory(prefix="cypressledge-capacity-") as temporary:
        folder = Path(options.keep or temporary) / str(size.brokers)
        folder.mkdir(parents=True, exist_ok=True)
        return CapacityRun(size, options.seconds, options.seed, folder, live, options.without_faults).play()


def _append_figures(capacity_run: CapacityRun, json_file: str) -> None:
    figures = capacity_run.figures | {"exit": int(capacity_run.failed), "passed": capacity_run.broken}
    with open(json_file, "a", encoding="utf-8") as file:
        file.write(json.dumps(figures) + "\n")
