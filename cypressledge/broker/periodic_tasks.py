"""Periodic tasks of a broker: connections, the maintenance file, the wall clock, counters in the log."""

import traceback
from collections.abc import Callable, Sequence
from typing import NoReturn

import gevent

from cypressledge.broker.core import BrokerCore
from cypressledge.broker.event_log import EventKind
from cypressledge.broker.metrics import Counters, log
from cypressledge.clock import ClockStepDetector

MAINTENANCE_INTERVAL_S = 0.5  # between looks at the engines' connections
US_PER_MS = 1_000


class WallClockWatch:
    """Logs each step of the wall clock: nothing here depends on it, other programs' time stamps do."""

    def __init__(self, core: BrokerCore) -> None:
        self._core = core
        self._detector = ClockStepDetector()

    def check(self) -> None:
        """Log and count a step since the last check."""
        if step := self._detector.check():
            self._core.counters.add("clock.steps")
            self._core.event_log.write(EventKind.CLOCK_STEPPED, by_ms=step // US_PER_MS)


def run_maintenance(tasks: Sequence[Callable[[], None]], counters: Counters) -> NoReturn:
    """Call each task in turn, every interval.

    Guards against one odd connection ending the process: the next turn may succeed."""
    while True:
        gevent.sleep(MAINTENANCE_INTERVAL_S)
        for task in tasks:
            try:
                task()
            except Exception:
                log("periodic task failed:\n" + traceback.format_exc())
                counters.invariant(False, "periodic_task")


def log_counters(counters: Counters, interval_s: Callable[[], float]) -> NoReturn:
    """Write all counters on one log line, every so often, for counting over a fleet from its logs."""
    while True:
        gevent.sleep(interval_s())
        counters.print(f"every {interval_s():g}s")
