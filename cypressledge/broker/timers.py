"""Timers of the event loop: callbacks that are called at a given time."""

import itertools
from collections.abc import Callable, Iterator
from heapq import heapify, heappop, heappush

TimerCallback = Callable[..., object]

MIN_LENGTH_TO_COMPACT = 16_384  # timers, which take about 3 MB


class TimerQueue:
    """Callbacks with one argument each, ordered by due time; timers with equal times in order of scheduling.

    A timer cannot be cancelled, and most timers outlive the request that they belong to. Their arguments are
    therefore numbers instead of references, so that they do not keep answered requests in memory. Of very
    many, `compact` removes those that are not needed.
    """

    __slots__ = ("_entries", "_sequence")

    def __init__(self) -> None:
        self._entries: list[tuple[int, int, TimerCallback, object]] = []
        self._sequence = itertools.count()

    def __len__(self) -> int:
        """Number of timers that have not expired yet."""
        return len(self._entries)

    def schedule(self, due_at: int, callback: TimerCallback, argument: object) -> None:
        """Schedule the call `callback(argument)` at `due_at`, in µs of the monotonic clock."""
        heappush(self._entries, (due_at, next(self._sequence), callback, argument))

    def compact(self, is_needed: Callable[[TimerCallback, object], bool], max_length: int) -> None:
        """Remove the timers that are not needed, if there are many more than `max_length`.

        Requests that are withdrawn at once would otherwise take memory until their deadlines."""
        if len(self._entries) > max(MIN_LENGTH_TO_COMPACT, max_length):
            self._entries = [entry for entry in self._entries if is_needed(entry[2], entry[3])]
            heapify(self._entries)

    def next_due(self) -> int | None:
        """Return the due time of the first timer, in µs of the monotonic clock; None without timers."""
        return self._entries[0][0] if self._entries else None

    def pop_due(self, now: int) -> Iterator[tuple[TimerCallback, object]]:
        """Remove and yield the timers due at `now`, including those scheduled during the iteration."""
        while self._entries and self._entries[0][0] <= now:
            _, _, callback, argument = heappop(self._entries)
            yield callback, argument
