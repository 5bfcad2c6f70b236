"""Limits how many snapshots a control process sends at once and a second. No I/O; times in µs."""

from collections import deque

ONE_SECOND = 1_000_000


class SnapshotThrottle:
    """Snapshots in flight, by connection, and when the last ones began. `slot_timeout`: after which one that
    isn't answered takes up a place no more: others wait behind it."""

    def __init__(self, max_concurrent: int, max_per_s: int, slot_timeout: int) -> None:
        self.max_concurrent, self.max_per_s, self.slot_timeout = max_concurrent, max_per_s, slot_timeout
        self.in_flight: dict[int, int] = {}  # connection -> when it began
        self._recent_starts: deque[int] = deque()

    def free_at(self, now: int) -> int:
        """When the next may begin: once one in flight has been answered, or its slot has timed out."""
        timeouts = [began + self.slot_timeout for began in self.in_flight.values()]
        occupied_until = [at for at in timeouts if at > now]
        slot_at = now if len(occupied_until) < self.max_concurrent else min(occupied_until)
        if len(self._recent_starts) < self.max_per_s:
            return slot_at
        return max(slot_at, self._recent_starts[0] + ONE_SECOND)

    def begin(self, now: int, connection: int) -> None:
        """A snapshot is sent now."""
        self.in_flight[connection] = now
        self._recent_starts.append(now)
        if len(self._recent_starts) > self.max_per_s:
            self._recent_starts.popleft()

    def end(self, connection: int) -> None:
        """It has been answered, or its connection is gone."""
        del self.in_flight[connection]
