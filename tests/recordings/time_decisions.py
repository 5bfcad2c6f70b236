"""Processor time of the decisions, in microseconds a statement, at 12 and at 36 engines: best of several.

    python -m tests.recordings.time_decisions [ROUNDS]

A statement is a request with all that happens to it. To compare two versions, run this in both trees
by turns.
"""

import sys
import time
from dataclasses import replace

from cypressledge.decisions.manager import WorkloadManager
from tests.recordings.decisions_recorder import ClosedLoop, Scenario, Traffic
from tests.recordings.decisions_scenarios import PLAIN

EVENTS = 6_000


class TimedManager:
    """The decisions with the processor time that they take."""

    def __init__(self, manager: WorkloadManager) -> None:
        self.manager, self.spent = manager, 0

    def handle(self, now: int, events: list) -> list:
        before = time.process_time_ns()
        actions = self.manager.handle(now, events)
        self.spent += time.process_time_ns() - before
        return actions


def microseconds_a_statement(engines: int) -> float:
    """One run of a fleet of so many engines with traffic in proportion."""
    busy = engines / 12
    scenario = Scenario(
        replace(
            PLAIN, broker_count=2, supports_priorities=True, load_report_fields=("util", "queue", "inflight")
        ),
        (Traffic(60.0 * busy, 180_000), Traffic(10.0 * busy, 2_000_000)),
        EVENTS,
        seed=21,
        engines=engines,
    )
    loop = ClosedLoop(scenario)
    timed = loop.manager = TimedManager(loop.manager)
    loop.run()
    return timed.spent / 1000 / len(loop.requests)


if __name__ == "__main__":
    rounds = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    for fleet in (12, 36):
        print(fleet, round(min(microseconds_a_statement(fleet) for _ in range(rounds)), 2))
