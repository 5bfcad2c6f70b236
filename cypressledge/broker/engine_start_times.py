"""When engines' processes started, on this broker's monotonic clock. No I/O, no clock of its own.

Lists give it as Unix time, read off other machines' clocks. Ours may have been stepped before this
process began, so an age by our clock alone may be wrong by an hour: an engine that has just started would
pass for one whose slow start is over. Of two estimates of "now" on the lists' clock the earlier one counts,
as too small an age is safe:

- our wall clock as it was when this process began, carried on by the monotonic clock;
- the newest start that is listed, and what may have passed since then for it to make no difference:
  `max_age_error`.
"""

from collections.abc import Mapping
from dataclasses import dataclass

US_PER_MS = 1_000
MAX_UNLISTED = 64  # engines no longer listed that are remembered, for those that come back as they were


@dataclass(frozen=True, slots=True)
class EngineStart:
    """One process of an engine."""

    listed_ms: int  # Unix time of its start, as lists give it
    started_at: int  # µs of the monotonic clock, as computed from it


class EngineStartTimes:
    """The starts of all engines that lists have named.

    `wall_offset`: µs by which the wall clock was ahead of the monotonic one as this process began."""

    def __init__(self, wall_offset: int) -> None:
        self.wall_offset = wall_offset
        self.starts: dict[str, EngineStart] = {}

    def update(self, listed: Mapping[str, int], now: int, max_age_error: int) -> None:
        """Take a complete list: engines' starts in ms of Unix time, 0 being long ago.

        `now`: the monotonic clock, µs; `max_age_error`: µs by which an engine may be taken for older
        than it is.
        The time computed when a start is first listed stays, so a later step of the clock changes nothing."""
        newest = max(listed.values(), default=0) * US_PER_MS
        reference = min(now + self.wall_offset, newest + max_age_error)
        for engine, listed_ms in listed.items():
            known = self.starts.get(engine)
            if listed_ms and (known is None or known.listed_ms != listed_ms):
                age = max(reference - listed_ms * US_PER_MS, 0)
                self.starts[engine] = EngineStart(listed_ms, now - age)
        self._forget_unlisted(listed)

    def started_at(self, engine: str, listed_ms: int) -> int:
        """µs of the monotonic clock at which an engine of the last list counts as started; 0 is long ago."""
        return self.starts[engine].started_at if listed_ms else 0

    def _forget_unlisted(self, listed: Mapping[str, int]) -> None:
        if len(self.starts) > 2 * len(listed) + MAX_UNLISTED:
            self.starts = {engine: start for engine, start in self.starts.items() if engine in listed}
