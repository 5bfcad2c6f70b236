"""Constants, timing functions, test data and result types that all scaling measurements share."""

import gc
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from cypressledge.broker.stable_hash import stable_hash
from cypressledge.decisions import contract as c
from cypressledge.lab.results import Fact, Slope, Source, slope

SECOND_US = 1_000_000
HEADER_BYTES = 28  # bytes of UDP and IPv4 headers of each datagram
TARGET_BROKERS = 460
ENGINE_COUNTS = (12, 36, 60, 120, 245, 490)  # the last is that of the target fleet
ZONES = ("east-a", "east-b", "west-a", "west-b")
ZONE_REGIONS = {"east-a": "east", "east-b": "east", "west-a": "west", "west-b": "west"}

Points = Sequence[tuple[float, float]]


@dataclass(slots=True)
class Findings:
    """The slopes and facts that one measurement yields."""

    slopes: list[Slope]
    facts: list[Fact] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class CurveFamily:
    """Curves of one measurement over the same x.

    `role`: the part of the system that the figures belong to; `x`: description of what x counts.
    """

    role: str
    x: str
    source: Source

    def curve(self, name: str, what: str, unit: str, points: Points) -> Slope:
        """Return one curve with its fit. `what`: description of y; `unit`: unit of y."""
        return slope(name, self.role, what, unit, self.x, points, self.source)


def cpu_ms(call: Callable[[], object]) -> float:
    """Return the processor time (ms) of one call on this thread; collects garbage before the call."""
    gc.collect()
    began = time.thread_time_ns()
    call()
    return (time.thread_time_ns() - began) / 1e6


def median_cpu_ms(call: Callable[[], object], times: int) -> float:
    """Return the median processor time (ms) of several calls."""
    return sorted(cpu_ms(call) for _ in range(times))[times // 2]


def engine_entries(count: int) -> tuple[c.EngineListEntry, ...]:
    """Return the engine list entries of `count` engines."""
    return tuple(
        c.EngineListEntry(stable_hash(f"s-{i:08x}"), c.EngineState.READY, i % 2, i % 4, i % 2, 0)
        for i in range(count)
    )
