"""Start times of engine processes on this broker's monotonic clock. Performs no I/O and reads no clock.

Engine lists contain start times as Unix times, taken from the clocks of other machines. This machine's clock
may have been stepped before the process started, so an age computed from it alone may be wrong by an hour: an
engine that has just started would be treated as if its slow start were over. Therefore the earlier of two
estimates of the current time on the lists' clock is used, because an age that is too small is safe:

- the wall clock as of the start of this process, advanced by the monotonic clock;
- the newest listed start time plus `max_age_error`, an error of the age that has no harmful effect.
"""

from collections.abc import Mapping
from dataclasses import dataclass

US_PER_MS = 1_000
MAX_UNLISTED = 64  # start times kept of unlisted engines, in case an engine is listed again unchanged


@dataclass(frozen=True, slots=True)
class EngineStart:
    """The start time of one engine process, as listed and as computed."""

    listed_ms: int  # ms, Unix time; the start as listed
    started_at: int  # µs of the monotonic clock; computed from `listed_ms`


class EngineStartTimes:
    """The start times of listed engines, and of some that are no longer listed.

    `wall_offset`: µs by which the wall clock was ahead of the monotonic clock when this process started."""

    def __init__(self, wall_offset: int) -> None:
        self.wall_offset = wall_offset
        self.starts: dict[str, EngineStart] = {}

    def update(self, listed: Mapping[str, int], now: int, max_age_error: int) -> None:
        """Update from a complete list of engine start times in ms of Unix time; 0 means long ago.

        `now`: µs of the monotonic clock; `max_age_error`: µs by which a computed age may exceed the true one.
        A start time is computed when it is first listed and then kept, so that later clock steps do not
        affect it."""
        newest = max(listed.values(), default=0) * US_PER_MS
        reference = min(now + self.wall_offset, newest + max_age_error)
        for engine, listed_ms in listed.items():
            known = self.starts.get(engine)
            if listed_ms and (known is None or known.listed_ms != listed_ms):
                age = max(reference - listed_ms * US_PER_MS, 0)
                self.starts[engine] = EngineStart(listed_ms, now - age)
        self._forget_unlisted(listed)

    def started_at(self, engine: str, listed_ms: int) -> int:
        """Return the start of an engine of the last list, in µs of the monotonic clock; 0 means long ago."""
        return self.starts[engine].started_at if listed_ms else 0

    def _forget_unlisted(self, listed: Mapping[str, int]) -> None:
        if len(self.starts) > 2 * len(listed) + MAX_UNLISTED:
            self.starts = {engine: start for engine, start in self.starts.items() if engine in listed}
