"""Clocks of the process, and a watch that tells when the wall clock was stepped."""

import time

CLOCK_ORIGIN_US = (
    1 << 50
)  # µs, 35 years: what the clock is taken to read at boot, so that 0 can stand for "never"
MIN_STEP_US = 50_000  # µs that the wall clock must move against the monotonic one to count as stepped


def monotonic_us() -> int:
    """µs of the monotonic clock (CLOCK_MONOTONIC), by which all spans are measured: no step of the wall clock
    touches it. Processes of one machine read the same value, until it boots anew; 0 is always long ago."""
    return CLOCK_ORIGIN_US + time.monotonic_ns() // 1000


def wall_us() -> int:
    """µs of the Unix clock, which may be stepped at any time, forward or back: never for spans."""
    return time.time_ns() // 1000


def wall_offset_us() -> int:
    """µs by which the wall clock is ahead of the monotonic one at this moment."""
    return wall_us() - monotonic_us()


class ClockStepDetector:
    """Compares the wall clock with the monotonic one, look by look."""

    def __init__(self) -> None:
        self.offset = wall_offset_us()

    def check(self) -> int:
        """µs by which the wall clock was stepped since the last look; 0 where it was not."""
        offset = wall_offset_us()
        moved = offset - self.offset
        self.offset = offset
        return moved if abs(moved) >= MIN_STEP_US else 0
