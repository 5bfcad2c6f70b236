"""A priority queue of request ids by the time at which something about them is due."""

from collections.abc import Iterator
from heapq import heappop, heappush

from cypressledge.decisions.units import MS

DEADLINE_MARGIN = 30 * MS  # a final answer goes out this long before the client gives up


class DeadlineQueue:
    """Request ids by due time in µs; entries of requests that have ended stay until they are due."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int]] = []

    def schedule(self, due_at: int, request_id: int) -> None:
        """Add a request's id, due at `due_at`."""
        heappush(self._heap, (due_at, request_id))

    def expired(self, now: int) -> Iterator[int]:
        """Remove the ids that are due, earliest first."""
        heap = self._heap
        while heap and heap[0][0] <= now:
            yield heappop(heap)[1]

    def next_due_at(self) -> int | None:
        """The earliest due time; None for an empty queue."""
        return self._heap[0][0] if self._heap else None
