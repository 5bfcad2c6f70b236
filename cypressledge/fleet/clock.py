"""The clock that leases go by. Reads the system's clock and nothing else.

CLOCK_BOOTTIME: it goes on over a suspended machine, as the voters' clocks elsewhere do (CLOCK_MONOTONIC
stands still there, and a holder that wakes up would believe in a lease long gone); it never steps, whatever
is done to the wall clock. Rate and offset are for the laboratory, which runs clocks fast and slow within the
bound.
"""

import time
from dataclasses import dataclass

NEVER = -(1 << 62)  # µs: before every other moment; a clock may begin anywhere


@dataclass(frozen=True, slots=True)
class LeaseClock:
    """µs since some moment, at a rate."""

    rate: float = 1.0
    offset_us: int = 0

    def now(self) -> int:
        """µs on this process's clock."""
        return round(time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1000 * self.rate) + self.offset_us

    def to_machine_time(self, moment: int) -> int:
        """A moment of this clock on the machine's own, µs: the laboratory's common scale."""
        return round((moment - self.offset_us) / self.rate)
