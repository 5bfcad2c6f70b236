"""Counters of what the broker takes in, sends and answers, and the checks of what must hold."""

import sys
from collections import Counter


class Counters:
    """Named counts; `invariant` asserts in debug builds and counts in release builds (`python -O`)."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.gauges: dict[str, object] = {}

    def add(self, name: str, n: int = 1) -> None:
        """Count one more of a name."""
        self.counts[name] += n

    def reply(self, cls: str, outcome: str) -> None:
        """One more final answer, or attempt written whole (`dispatches`), of a class."""
        self.counts[f"replies.{cls}.{outcome}"] += 1

    def invariant(self, holds: bool, name: str) -> bool:
        """State what must hold: a debug build stops here, a release build counts it."""
        assert holds, f"broken invariant: {name}"
        if not holds:
            self.counts[f"broken.{name}"] += 1
        return holds

    def gauge(self, name: str, read) -> None:
        """A figure read when the counters are shown."""
        self.gauges[name] = read

    def show(self) -> dict[str, int]:
        """All counts and gauges, by name."""
        now = {name: read() for name, read in self.gauges.items()}
        return dict(sorted((now | self.counts).items()))

    def print(self, why: str) -> None:
        """One line on standard error with all of them."""
        log(f"counters ({why}): " + " ".join(f"{k}={v}" for k, v in self.show().items()))


def log(text: str) -> None:
    """A line of the broker's log."""
    sys.stderr.write(text + "\n")
    sys.stderr.flush()
