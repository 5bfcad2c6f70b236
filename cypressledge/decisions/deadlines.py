"""Priority queue of request ids by the time at which each has to be checked."""

from collections.abc import Collection, Iterator
from heapq import heapify, heappop, heappush

from cypressledge.decisions.units import MS

MIN_LENGTH_TO_COMPACT = 16_384  # ids, which take about 2 MB
MAX_ENTRIES_PER_OPEN_REQUEST = 4  # beyond which the ids of ended requests are dropped

DEADLINE_MARGIN = 30 * MS  # µs; time before the client's deadline at which the final answer is sent


class DeadlineQueue:
    """Queue of request ids by due time in µs.

    The ids of requests that have ended stay until they are due, or are dropped by `compact`."""

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

    def compact(self, open_requests: Collection[int]) -> None:
        """Drop the ids of requests that have ended, if these are by far the most.

        Otherwise requests that are withdrawn at once would take memory until their deadlines."""
        max_length = MAX_ENTRIES_PER_OPEN_REQUEST * len(open_requests)
        if len(self._heap) > max(MIN_LENGTH_TO_COMPACT, max_length):
            self._heap = [entry for entry in self._heap if entry[1] in open_requests]
            heapify(self._heap)

    def next_due_at(self) -> int | None:
        """Return the earliest due time in µs; None for an empty queue."""
        return self._heap[0][0] if self._heap else None
