"""The clock that leases use. Reads the system's clock and nothing else.

CLOCK_BOOTTIME keeps running while the machine is suspended, as the voters' clocks on other machines do.
CLOCK_MONOTONIC stops then, so that a holder on a resumed machine would count on a lease that expired long
ago. CLOCK_BOOTTIME never steps, whatever happens to the wall clock. Rate and offset are for simulations,
which run clocks fast and slow within the drift bound.
"""

import time
from dataclasses import dataclass

NEVER = -(1 << 62)  # µs; earlier than any time that a clock shows, since a clock may start at any value


@dataclass(frozen=True, slots=True)
class LeaseClock:
    """A clock in µs since an arbitrary moment, with a rate and an offset relative to the machine's clock."""

    rate: float = 1.0
    offset_us: int = 0

    def now(self) -> int:
        """Return the time on this process's clock, µs."""
        return round(time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1000 * self.rate) + self.offset_us

    def to_machine_time(self, moment: int) -> int:
        """Return the machine's time, µs, at a time of this clock. Simulated processes share the machine's."""
        return round((moment - self.offset_us) / self.rate)
