"""A queue of requests by the moment at which something about them is due."""

from collections.abc import Iterator
from heapq import heappop, heappush

from cypressledge.decisions.units import MS

DEADLINE_MARGIN = 30 * MS  # a final answer goes out this long before the client gives up


class DeadlineQueue:
    """Request ids by moment in µs; entries of requests that have ended meanwhile stay until they are due."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int]] = []

    def schedule(self, moment: int, request_id: int) -> None:
        """Have the request's id come out once the moment has come."""
        heappush(self._heap, (moment, request_id))

    def expired(self, now: int) -> Iterator[int]:
        """Take out the ids that are due, earliest first."""
        heap = self._heap
        while heap and heap[0][0] <= now:
            yield heappop(heap)[1]

    def next_moment(self) -> int | None:
        """The earliest moment; None with nothing scheduled."""
        return self._heap[0][0] if self._heap else None
