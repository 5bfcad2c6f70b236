"""A modelled engine with cores, a cold start, and failure under overload while cold. Times in virtual µs."""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

SECOND = 1_000_000
STEP = 10_000  # µs; time step of the simulation
CORES = 8
START_CAPACITY = 0.31  # fraction of its cores that are effective at a cold start
WARM_UP_TIME = 14 * SECOND  # µs; from a cold start until the full capacity
OVERLOAD_MULTIPLE = 2.0  # more work than this multiple of its capacity makes a cold engine fail
OVERLOAD_WINDOW = 2 * SECOND  # µs; window in which the work is summed up
SLOW_CAPACITY = 0.1  # fraction of its capacity that a slow engine has
WORK = 300_000  # µs; work of a lookup on one core


class AttemptKey(NamedTuple):
    """The key of an attempt: the numbers of its broker, its request and the attempt."""

    broker: int
    request: int
    attempt: int


@dataclass(slots=True)
class ModelEngine:
    """A modelled engine.

    `started_at`: 0 for an engine that is warm from the beginning; `failure`: silent, reset, slow or empty.
    """

    number: int
    zone: int
    started_at: int = 0
    failure: str = ""
    overload_failed: bool = False
    running: dict[AttemptKey, float] = field(default_factory=dict)  # remaining work, µs
    received: deque[int] = field(default_factory=deque)  # arrival times of recent queries
    recent_work: float = 0.0

    def capacity(self, now: int) -> float:
        """Return the number of cores that are effective at `now`."""
        warm = 1.0
        if self.started_at:
            warm = min(1.0, START_CAPACITY + (1 - START_CAPACITY) * (now - self.started_at) / WARM_UP_TIME)
        return CORES * warm * (SLOW_CAPACITY if self.failure == "slow" else 1.0)

    def receive(self, now: int, attempt: AttemptKey) -> bool:
        """Receive an attempt; return False if its connection is reset."""
        if self.failure == "reset" or self.overload_failed:
            return False
        if self.failure != "silent":
            self.running[attempt] = WORK
            self.received.append(now)
            self.recent_work += WORK
        return True

    def fail(self, failure: str) -> None:
        """Start to fail; `failure`: silent, reset or slow."""
        self.failure = failure
        if failure != "slow":
            self.running.clear()

    def step(self, now: int) -> list[AttemptKey]:
        """Advance by one time step; return the attempts that were answered in it."""
        self._check_overload(now)
        if self.failure in ("silent", "reset") or not self.running:
            return []
        work_each = min(1.0, self.capacity(now) / len(self.running)) * STEP
        done = []
        for attempt in self.running:
            self.running[attempt] -= work_each
            if self.running[attempt] <= 0:
                done.append(attempt)
        for attempt in done:
            del self.running[attempt]
        return done

    def _check_overload(self, now: int) -> None:
        while self.received and now - self.received[0] > OVERLOAD_WINDOW:
            self.received.popleft()
            self.recent_work -= WORK
        is_cold = self.started_at and now - self.started_at < WARM_UP_TIME
        if not is_cold or self.failure:
            return
        if self.recent_work > OVERLOAD_MULTIPLE * self.capacity(now) * OVERLOAD_WINDOW:
            self.overload_failed = True
            self.running.clear()
