"""Priority queue of request ids by the time at which each has to be checked."""

from collections.abc import Iterator
from heapq import heappop, heappush

from cypressledge.decisions.units import MS

DEADLINE_MARGIN = 30 * MS  # µs; time before the client's deadline at which the final answer is sent


class DeadlineQueue:
    """Queue of request ids by due time in µs; ids of requests that have ended stay until they are due."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int]] = []

    def schedule(self, due_at: int, request_id: int) -> None:
        """Add a request id that is due at `due_at`, µs."""
        heappush(self._heap, (due_at, request_id))

    def expired(self, now: int) -> Iterator[int]:
        """Remove and yield the ids that are due at `now`, µs, earliest first."""
        heap = self._heap
        while heap and heap[0][0] <= now:
            yield heappop(heap)[1]

    def next_due_at(self) -> int | None:
        """Return the earliest due time in µs; None for an empty queue."""
        return self._heap[0][0] if self._heap else None
