"""Counters of what the broker takes in, sends and answers, and the checks of what must hold."""

import sys
from collections import Counter
from collections.abc import Callable


class Counters:
    """Named counts; `invariant` asserts in debug builds and counts in release builds (`python -O`)."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._gauges: dict[str, Callable[[], int]] = {}

    def add(self, name: str, count: int = 1) -> None:
        """Count one more of a name, or so many."""
        self.counts[name] += count

    def reply(self, class_name: str, outcome: str) -> None:
        """Count a final answer of a class, or an attempt that has been sent (`dispatches`)."""
        self.counts[f"replies.{class_name}.{outcome}"] += 1

    def invariant(self, holds: bool, name: str) -> bool:
        """State what must hold: a debug build stops here, a release build counts it."""
        assert holds, f"broken invariant: {name}"
        if not holds:
            self.counts[f"broken.{name}"] += 1
        return holds

    def gauge(self, name: str, read: Callable[[], int]) -> None:
        """Have a figure read whenever the counters are shown."""
        self._gauges[name] = read

    def show(self) -> dict[str, int]:
        """All counts and gauges, by name."""
        gauges = {name: read() for name, read in self._gauges.items()}
        return dict(sorted((gauges | self.counts).items()))

    def print(self, why: str) -> None:
        """Write all of them as one line of the log."""
        figures = " ".join(f"{name}={value}" for name, value in self.show().items())
        log(f"counters ({why}): {figures}")


def log(text: str) -> None:
    """Write a line of the broker's log, on standard error."""
    sys.stderr.write(text + "\n")
    sys.stderr.flush()
