"""The processor budget of background work: a share of one core, in slices, by priority. No I/O.

A request that arrives while a step of a task runs waits for the end of that step, so steps should be short: a
slice is one step, meant to take at most `slice_us` of processor time. After it no task runs until the time
used is within the share again.
"""

import heapq
import itertools
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")
OVERRUN_FACTOR = 2  # a slice longer than this many times `slice_us` counts as an overrun


@dataclass(slots=True)
class CpuBudget:
    """A budget of processor time. `share`: the part of one core that may be used; `slice_us`: the intended
    length of a slice; `spent` and `longest_slice` in µs."""

    share: float
    slice_us: int = 300
    overruns: int = 0
    longest_slice: int = 0
    spent: int = 0
    next_slice_at: int = 0

    def spend(self, now: int, used: int) -> None:
        """Record a slice of `used` µs that has just been run."""
        self.spent += used
        self.longest_slice = max(self.longest_slice, used)
        self.overruns += used > OVERRUN_FACTOR * self.slice_us
        self.next_slice_at = max(now, self.next_slice_at) + round(used / self.share)

    def time_until_next_slice(self, now: int) -> int:
        """Return the µs until the next slice may be run."""
        return max(0, self.next_slice_at - now)


@dataclass(slots=True)
class PriorityQueue(Generic[T]):
    """A queue of items by priority: the lowest number first, equal numbers in order of arrival."""

    _heap: list[tuple[int, int, T]] = field(default_factory=list)
    _arrivals: itertools.count = field(default_factory=itertools.count)

    def put(self, priority: int, item: T) -> None:
        """Add an item; a lower `priority` number is taken earlier."""
        heapq.heappush(self._heap, (priority, next(self._arrivals), item))

    def take(self) -> T | None:
        """Remove and return the next item; None if the queue is empty."""
        return heapq.heappop(self._heap)[2] if self._heap else None
