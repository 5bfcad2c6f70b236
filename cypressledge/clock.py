"""The clocks of the process, and a detector of steps of the wall clock."""

import time

CLOCK_ORIGIN_US = 1 << 50  # µs (35 years); value of the clock at boot, so that 0 can stand for "never"
MIN_STEP_US = 50_000  # µs; smaller changes between wall clock and monotonic clock do not count as steps
NS_PER_US = 1_000


def monotonic_us() -> int:
    """Return the monotonic clock (CLOCK_MONOTONIC) in µs, with which all durations are measured.

    Steps of the wall clock do not affect it. All processes of one machine read the same clock, until the
    machine reboots; 0 is always long ago."""
    return CLOCK_ORIGIN_US + time.monotonic_ns() // NS_PER_US


def wall_us() -> int:
    """Return the Unix time in µs. Not for durations: the clock may be stepped forward or back at any time."""
    return time.time_ns() // NS_PER_US


def wall_offset_us() -> int:
    """Return the time in µs by which the wall clock is currently ahead of the monotonic clock."""
    return wall_us() - monotonic_us()


class ClockStepDetector:
    """Detects steps of the wall clock by comparing it with the monotonic clock at each check."""

    def __init__(self) -> None:
        self._offset = wall_offset_us()

    def check(self) -> int:
        """Return the time in µs by which the wall clock was stepped since the last check; 0 if it was not."""
        offset = wall_offset_us()
        step = offset - self._offset
        self._offset = offset
        return step if abs(step) >= MIN_STEP_US else 0
