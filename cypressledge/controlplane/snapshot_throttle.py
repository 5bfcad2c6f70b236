"""Limits the number and the rate of snapshots that a control process sends. No I/O; times in µs."""

from collections import deque

ONE_SECOND = 1_000_000


class SnapshotThrottle:
    """The snapshots in flight, by connection, and when the last ones were sent.

    At most `max_concurrent` are in flight, and at most `max_per_s` are sent per second. `slot_timeout`: time
    after which an unanswered snapshot no longer occupies a slot, because others wait for it.
    """

    def __init__(self, max_concurrent: int, max_per_s: int, slot_timeout: int) -> None:
        self.max_concurrent, self.max_per_s, self.slot_timeout = max_concurrent, max_per_s, slot_timeout
        self.in_flight: dict[int, int] = {}  # by connection: when the snapshot was sent
        self._recent_starts: deque[int] = deque()

    def free_at(self, now: int) -> int:
        """Return when the next snapshot may be sent, unless one in flight is answered earlier."""
        timeouts = [began + self.slot_timeout for began in self.in_flight.values()]
        occupied_until = [at for at in timeouts if at > now]
        slot_at = now if len(occupied_until) < self.max_concurrent else min(occupied_until)
        if len(self._recent_starts) < self.max_per_s:
            return slot_at
        return max(slot_at, self._recent_starts[0] + ONE_SECOND)

    def begin(self, now: int, connection: int) -> None:
        """Record that a snapshot is sent over a connection now."""
        self.in_flight[connection] = now
        self._recent_starts.append(now)
        if len(self._recent_starts) > self.max_per_s:
            self._recent_starts.popleft()

    def end(self, connection: int) -> None:
        """Release the slot of a snapshot that was answered or whose connection has ended."""
        del self.in_flight[connection]
