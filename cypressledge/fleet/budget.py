"""What background work may take: a share of one core, in slices, the important first. No I/O, told the time.

A request that comes while a task's step runs waits for the step at most, so steps are kept short and a slice
ends after `slice_us` of processor time; after it the tasks rest until their share has caught up.
"""

import heapq
import itertools
from dataclasses import dataclass, field


@dataclass(slots=True)
class Budget:
    """Processor time as it may be spent. `share`: of one core; `slice_us`: at once."""

    share: float
    slice_us: int = 300
    overruns: int = 0
    longest: int = 0
    spent: int = 0
    free_at: int = 0

    def spend(self, now: int, used: int, steps: int = 1) -> None:
        """A slice of `used` µs has just been run."""
        self.spent += used
        self.longest = max(self.longest, used)
        self.overruns += used > 2 * self.slice_us
        self.free_at = max(now, self.free_at) + round(used / self.share)

    def wait(self, now: int) -> int:
        """µs until the next slice may be run."""
        return max(0, self.free_at - now)


@dataclass(slots=True)
class Lane:
    """Acts that are ready for their next step: those of the highest priority (the lowest number) first, in
    turn of coming among equals."""

    ready: list = field(default_factory=list)
    numbers: itertools.count = field(default_factory=itertools.count)

    def put(self, priority: int, act: object) -> None:
        """An act is ready."""
        heapq.heappush(self.ready, (priority, next(self.numbers), act))

    def take(self) -> object | None:
        """The next act; None if there is none."""
        return heapq.heappop(self.ready)[2] if self.ready else None
