"""Events of requests, attempts, connections and engines, as log lines of the form `event key=value …`.

`at` is the time in seconds since the start of the program on the monotonic clock, so that the intervals
between lines are correct even if the wall clock is stepped. The rate of each kind of event is limited, so
that a fault does not flood the log.
"""

from enum import StrEnum

from cypressledge.broker.metrics import Counters, log
from cypressledge.clock import monotonic_us

SECOND_US = 1_000_000  # µs in one second
MAX_LINES_PER_SECOND = 10  # lines of one kind of event; the next line states how many were suppressed


class EventKind(StrEnum):
    """The kinds of events; the value is the first word of the log line."""

    ATTEMPT_ENDED = "attempt-ended"
    ATTEMPT_CANCELLED = "attempt-cancelled"
    CLOCK_STEPPED = "clock-stepped"
    CLIENT_CLOSED = "client-closed"
    ENGINE_CLOSED = "engine-connection-closed"
    ENGINE_STATE = "engine-state"
    FAILED = "request-failed"
    REJECTED = "request-rejected"
    RETRY = "retry"


class _RateLimit:
    """The number of lines of one kind that were written in the current second."""

    __slots__ = ("since", "lines", "suppressed")

    def __init__(self) -> None:
        self.since = self.lines = self.suppressed = 0

    def admits(self, now: int) -> bool:
        """Count one more line, and return whether it is within the limit. `now`: µs."""
        if now - self.since >= SECOND_US:
            self.since, self.lines = now, 0
        self.lines += 1
        if self.lines > MAX_LINES_PER_SECOND:
            self.suppressed += 1
            return False
        return True


class EventLog:
    """Writes events to the log, and counts those beyond the rate limit as `events.suppressed`."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._started = monotonic_us()
        self._rates = {kind: _RateLimit() for kind in EventKind}

    def write(self, kind: EventKind, **fields: object) -> None:
        """Write one event; the values of its fields must not contain blanks.

        A field whose name is a Python keyword is passed with a trailing underscore, which is not written."""
        now = monotonic_us()
        rate = self._rates[kind]
        if not rate.admits(now):
            self._counters.add("events.suppressed")
            return
        if rate.suppressed:
            fields["suppressed"] = rate.suppressed
            rate.suppressed = 0
        values = " ".join(f"{name.rstrip('_')}={value}" for name, value in fields.items())
        log(f"{kind} at={(now - self._started) / SECOND_US:.3f} {values}")
