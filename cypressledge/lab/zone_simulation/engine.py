"""A modelled engine: cores, a cold start, and falling over when pushed while cold. Times in virtual µs."""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

SECOND = 1_000_000
STEP = 10_000  # µs of one step of the model
CORES = 8
START_CAPACITY = 0.31
WARM_UP_TIME = 14 * SECOND
OVERLOAD_MULTIPLE = 2.0
OVERLOAD_WINDOW = 2 * SECOND
SLOW_CAPACITY = 0.1  # part of its cores that a slow engine has
WORK = 300_000  # µs of a lookup


class AttemptKey(NamedTuple):
    """Names an attempt: the numbers of its broker, its request and itself."""

    broker: int
    request: int
    attempt: int


@dataclass(slots=True)
class ModelEngine:
    """One engine.

    `started_at`: 0 for one that has been warm all along; `failure`: silent, reset, slow or empty.
    """

    number: int
    zone: int
    started_at: int = 0
    failure: str = ""
    overload_failed: bool = False
    running: dict[AttemptKey, float] = field(default_factory=dict)  # work left, µs
    received: deque[int] = field(default_factory=deque)  # when queries came
    recent_work: float = 0.0

    def capacity(self, now: int) -> float:
        """Return the cores that it has at a moment."""
        warm = 1.0
        if self.started_at:
            warm = min(1.0, START_CAPACITY + (1 - START_CAPACITY) * (now - self.started_at) / WARM_UP_TIME)
        return CORES * warm * (SLOW_CAPACITY if self.failure == "slow" else 1.0)

    def receive(self, now: int, attempt: AttemptKey) -> bool:
        """Take an attempt; return whether its connection holds."""
        if self.failure == "reset" or self.overload_failed:
            return False
        if self.failure != "silent":
            self.running[attempt] = WORK
            self.received.append(now)
            self.recent_work += WORK
        return True

    def fail(self, failure: str) -> None:
        """Fail from now on; `failure`: silent, reset or slow."""
        self.failure = failure
        if failure != "slow":
            self.running.clear()

    def step(self, now: int) -> list[AttemptKey]:
        """Let a step pass; return the attempts that it has answered."""
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
