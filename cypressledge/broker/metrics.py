"""Counters and gauges of the broker, checks of its invariants, and its log output."""

import sys
from collections import Counter
from collections.abc import Callable


class Counters:
    """Named counters and gauges.

    `invariant` raises `AssertionError` in debug builds, and counts violations with `python -O` (release)."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._gauges: dict[str, Callable[[], int]] = {}

    def add(self, name: str, count: int = 1) -> None:
        """Add `count` to the counter of this name."""
        self.counts[name] += count

    def reply(self, class_name: str, outcome: str) -> None:
        """Count a final answer to a request of a class, or an attempt that has been sent (`dispatches`)."""
        self.counts[f"replies.{class_name}.{outcome}"] += 1

    def invariant(self, holds: bool, name: str) -> bool:
        """Check an invariant, and return `holds`; a debug build raises `AssertionError` if it is violated."""
        assert holds, f"broken invariant: {name}"
        if not holds:
            self.counts[f"broken.{name}"] += 1
        return holds

    def gauge(self, name: str, read: Callable[[], int]) -> None:
        """Register a gauge: `read` returns its value and is called whenever the counters are shown."""
        self._gauges[name] = read

    def show(self) -> dict[str, int]:
        """Return all counters and gauges, sorted by name."""
        gauges = {name: read() for name, read in self._gauges.items()}
        return dict(sorted((gauges | self.counts).items()))

    def print(self, why: str) -> None:
        """Write all counters and gauges as one log line; `why` names the occasion."""
        figures = " ".join(f"{name}={value}" for name, value in self.show().items())
        log(f"counters ({why}): {figures}")


def log(text: str) -> None:
    """Write one line to the broker's log, which is standard error."""
    sys.stderr.write(text + "\n")
    sys.stderr.flush()
