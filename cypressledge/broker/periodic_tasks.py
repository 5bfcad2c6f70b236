"""Periodic tasks of a broker: checks of connections, maintenance file and wall clock; logging of counters."""

import traceback
from collections.abc import Callable, Sequence
from typing import NoReturn

import gevent

from cypressledge.broker.core import BrokerCore
from cypressledge.broker.event_log import EventKind
from cypressledge.broker.metrics import Counters, log
from cypressledge.clock import ClockStepDetector

MAINTENANCE_INTERVAL_S = 0.5  # seconds between two runs of the periodic tasks
US_PER_MS = 1_000


class WallClockWatch:
    """Logs each step of the wall clock, which affects time stamps of other programs, but not the broker."""

    def __init__(self, core: BrokerCore) -> None:
        self._core = core
        self._detector = ClockStepDetector()

    def check(self) -> None:
        """Log and count a clock step that happened since the last check."""
        if step := self._detector.check():
            self._core.counters.add("clock.steps")
            self._core.event_log.write(EventKind.CLOCK_STEPPED, by_ms=step // US_PER_MS)


def run_maintenance(tasks: Sequence[Callable[[], None]], counters: Counters) -> NoReturn:
    """Call each task once in every interval.

    A release build logs and counts an exception and continues: a fault of one connection must not end the
    process, and the next run may succeed."""
    while True:
        gevent.sleep(MAINTENANCE_INTERVAL_S)
        for task in tasks:
            try:
                task()
            except Exception:
                log("periodic task failed:\n" + traceback.format_exc())
                counters.invariant(False, "periodic_task")


def log_counters(counters: Counters, interval_s: Callable[[], float]) -> NoReturn:
    """Write all counters as one log line every `interval_s()` seconds, for fleet totals from the logs."""
    while True:
        gevent.sleep(interval_s())
        counters.print(f"every {interval_s():g}s")
