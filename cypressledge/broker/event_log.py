"""What happens to requests, attempts, connections and engines, as log lines of the form `event key=value …`.

`at` is the monotonic clock, in seconds since the program's start: lines can be told apart in time whatever is
done to the wall clock. Each kind of event has a bounded rate, so that a fault does not flood the log.
"""

from enum import StrEnum

from cypressledge.broker.metrics import Counters, log
from cypressledge.clock import monotonic_us

SECOND_US = 1_000_000  # µs
MAX_LINES_PER_SECOND = 10  # of one kind of event; the next line states how many were left out


class EventKind(StrEnum):
    """The events, by the first word of their lines."""

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
    """Lines of one kind in the running second."""

    __slots__ = ("since", "lines", "suppressed")

    def __init__(self) -> None:
        self.since = self.lines = self.suppressed = 0

    def admits(self, now: int) -> bool:
        """Whether one more line fits."""
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
        """Write one event; a field's value must hold no blanks.

        A field named like a keyword of Python has an underscore behind it, which is not written."""
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
