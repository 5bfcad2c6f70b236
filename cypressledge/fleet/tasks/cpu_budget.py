"""What background work may take: a share of one core, in slices, the important first. No I/O.

A request that arrives while a task's step runs waits for the step at most, so steps are kept short and a
slice ends after `slice_us` of processor time; after it the tasks rest until their share has caught up.
"""

import heapq
import itertools
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")
OVERRUN_FACTOR = 2  # times a slice, over which a step counts as an overrun


@dataclass(slots=True)
class CpuBudget:
    """Processor time as it may be spent. `share`: of one core; `slice_us`: at once; `spent`,
    `longest_slice` in µs."""

    share: float
    slice_us: int = 300
    overruns: int = 0
    longest_slice: int = 0
    spent: int = 0
    next_slice_at: int = 0

    def spend(self, now: int, used: int) -> None:
        """Account for a slice of `used` µs that has just been run."""
        self.spent += used
        self.longest_slice = max(self.longest_slice, used)
        self.overruns += used > OVERRUN_FACTOR * self.slice_us
        self.next_slice_at = max(now, self.next_slice_at) + round(used / self.share)

    def time_until_next_slice(self, now: int) -> int:
        """µs until the next slice may be run."""
        return max(0, self.next_slice_at - now)


@dataclass(slots=True)
class PriorityQueue(Generic[T]):
    """Items by priority: those of the lowest number first, in order of arrival among equals."""

    _heap: list[tuple[int, int, T]] = field(default_factory=list)
    _arrivals: itertools.count = field(default_factory=itertools.count)

    def put(self, priority: int, item: T) -> None:
        """Add an item."""
        heapq.heappush(self._heap, (priority, next(self._arrivals), item))

    def take(self) -> T | None:
        """Remove the next item; None if there is none."""
        return heapq.heappop(self._heap)[2] if self._heap else None
