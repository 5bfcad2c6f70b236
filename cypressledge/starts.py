"""When engines' processes started, on this broker's monotonic clock. Free of I/O, told the time.

Lists tell it as Unix time, by a clock of another machine; ours may be stepped. So a start only says that a
process is another one than before, and it counts as started when this broker hears of it: later than it did,
never earlier, so that an engine is taken for cold for long enough whatever the clocks say.
"""

from dataclasses import dataclass

FORGET_SPARE = 64  # engines no longer listed that are kept, for those that come back as they were


@dataclass(frozen=True, slots=True)
class Start:
    """One process of an engine: `told_ms` as lists tell it, `at` µs of the monotonic clock."""

    told_ms: int
    at: int


class Starts:
    """The starts of all engines heard of."""

    def __init__(self) -> None:
        self.starts: dict[str, Start] = {}

    def heard(self, engine: str, told_ms: int, now: int) -> int:
        """µs at which the engine's process counts as started; 0, as in lists, is long ago."""
        if not told_ms:
            self.starts.pop(engine, None)
            return 0
        start = self.starts.get(engine)
        if start is None or start.told_ms != told_ms:
            start = self.starts[engine] = Start(told_ms, now)
        return start.at

    def keep(self, listed: set[str]) -> None:
        """Forget engines that are not listed, once there are many."""
        if len(self.starts) > 2 * len(listed) + FORGET_SPARE:
            self.starts = {engine: start for engine, start in self.starts.items() if engine in listed}
