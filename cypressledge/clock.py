"""Clocks of the process, and what detects steps of the wall clock."""

import time

CLOCK_ORIGIN_US = 1 << 50  # 35 years, the clock's value at boot: 0 can stand for "never"
MIN_STEP_US = 50_000  # that the wall clock must move against the monotonic one to count as stepped
NS_PER_US = 1_000


def monotonic_us() -> int:
    """The monotonic clock (CLOCK_MONOTONIC) in µs, by which all spans are measured.

    No step of the wall clock touches it. Processes of one machine read the same value, until it boots anew; 0
    is always long ago."""
    return CLOCK_ORIGIN_US + time.monotonic_ns() // NS_PER_US


def wall_us() -> int:
    """The Unix clock in µs, which may be stepped at any time, forward or back: never for spans."""
    return time.time_ns() // NS_PER_US


def wall_offset_us() -> int:
    """µs by which the wall clock is ahead of the monotonic one at this moment."""
    return wall_us() - monotonic_us()


class ClockStepDetector:
    """Compares the wall clock with the monotonic one, check by check."""

    def __init__(self) -> None:
        self._offset = wall_offset_us()

    def check(self) -> int:
        """µs by which the wall clock was stepped since the last check; 0 where it was not."""
        offset = wall_offset_us()
        step = offset - self._offset
        self._offset = offset
        return step if abs(step) >= MIN_STEP_US else 0
