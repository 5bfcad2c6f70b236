"""Timers of the event loop: callbacks by the time at which they are due."""

import itertools
from collections.abc import Callable, Iterator
from heapq import heappop, heappush

TimerCallback = Callable[..., object]


class TimerQueue:
    """Callbacks with one argument each, in the order of their due times; equal times in order of scheduling.

    A timer can't be cancelled. Its argument therefore names what it is about by number: timers outlive most
    requests, and must not keep what has been answered in memory.
    """

    __slots__ = ("_entries", "_sequence")

    def __init__(self) -> None:
        self._entries: list[tuple[int, int, TimerCallback, object]] = []
        self._sequence = itertools.count()

    def __len__(self) -> int:
        """Timers that have not run out yet."""
        return len(self._entries)

    def schedule(self, due_at: int, callback: TimerCallback, argument: object) -> None:
        """Have `callback(argument)` called at `due_at`, in µs of the monotonic clock."""
        heappush(self._entries, (due_at, next(self._sequence), callback, argument))

    def next_due(self) -> int | None:
        """When the first timer is due, in µs of the monotonic clock; None if there is none."""
        return self._entries[0][0] if self._entries else None

    def pop_due(self, now: int) -> Iterator[tuple[TimerCallback, object]]:
        """Take out the timers due at `now`, one by one; those scheduled meanwhile count as well."""
        entries = self._entries
        while entries and entries[0][0] <= now:
            _, _, callback, argument = heappop(entries)
            yield callback, argument
