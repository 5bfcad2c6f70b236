"""When engines' processes started, on this broker's monotonic clock. Free of I/O, told the time.

Lists tell it as Unix time, read off other machines' clocks. Ours may have been stepped before this process
began, so an age by our clock alone may be wrong by an hour: an engine that has just started would pass for
warm. Of two estimates of "now" on the lists' clock the earlier one counts, as too small an age is safe:

- our wall clock as it was when this process began, carried on by the monotonic clock;
- the newest start that is listed, and what may have passed since then for it to make no difference: `doubt`.
"""

from collections.abc import Mapping
from dataclasses import dataclass

US_PER_MS = 1_000  # µs
MAX_UNLISTED = 64  # engines no longer listed that are kept, for those that come back as they were


@dataclass(frozen=True, slots=True)
class EngineStart:
    """One process of an engine: `told_ms` as lists tell it, `at` µs of the monotonic clock."""

    listed_ms: int
    started_at: int


class EngineStartTimes:
    """The starts of all engines heard of. `wall_offset`: µs by which the wall clock was ahead of the
    monotonic one as this process began."""

    def __init__(self, wall_offset: int) -> None:
        self.wall_offset = wall_offset
        self.starts: dict[str, EngineStart] = {}

    def update(self, told: Mapping[str, int], now: int, doubt: int) -> None:
        """A whole list: engines' starts in ms of Unix time, 0 being long ago. `now`: the monotonic clock, µs;
        `doubt`: µs by which an engine may be taken for older than it is.

        What was made of a start stays as it was when first heard of, so a later step changes nothing."""
        newest = max(told.values(), default=0) * US_PER_MS
        reference = min(now + self.wall_offset, newest + doubt)
        for engine, told_ms in told.items():
            held = self.starts.get(engine)
            if told_ms and (held is None or held.listed_ms != told_ms):
                age = max(reference - told_ms * US_PER_MS, 0)
                self.starts[engine] = EngineStart(told_ms, now - age)
        self._forget(told)

    def started_at(self, engine: str, told_ms: int) -> int:
        """µs of the monotonic clock at which an engine of the last list counts as started; 0 is long ago."""
        return self.starts[engine].started_at if told_ms else 0

    def _forget(self, told: Mapping[str, int]) -> None:
        if len(self.starts) > 2 * len(told) + MAX_UNLISTED:
            self.starts = {engine: start for engine, start in self.starts.items() if engine in told}
