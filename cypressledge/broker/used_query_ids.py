"""Ids of queries that must not be executed again: engines tell queries apart by their ids."""

from typing import Protocol

# µs after a client has left; its query may be executed, and its cancellation be under way, for so long.
ABANDONED_ID_RETENTION_US = 60_000_000
MAX_ABANDONED_IDS = 16_384


class SharedQueryIds(Protocol):
    """The ids of this process, as other processes on the same listening socket see them, and theirs."""

    def add(self, query_id: str, until: int) -> None:
        """Show an id to the other processes until a time, in µs of the monotonic clock."""

    def remove(self, query_id: str) -> None:
        """Show an id no longer."""

    def is_used_elsewhere(self, query_id: str, now: int) -> bool:
        """Return whether another process shows the id."""


class UsedQueryIds:
    """The ids of open requests, and of requests that may have been executed when their clients left."""

    def __init__(self) -> None:
        self.shared: SharedQueryIds | None = None  # set only where processes share a listening socket
        self._open: set[str] = set()
        self._abandoned: dict[str, int] = {}  # µs until which an id is kept, the earliest first

    def open(self, query_id: str, deadline: int) -> None:
        """Add the id of a new request with this deadline, µs."""
        self._open.add(query_id)
        if self.shared is not None:
            self.shared.add(query_id, deadline + ABANDONED_ID_RETENTION_US)

    def abandon(self, query_id: str, now: int) -> None:
        """Keep an id beyond the end of its request: the client has left, and it may have been executed."""
        if len(self._abandoned) >= MAX_ABANDONED_IDS:
            self._drop(next(iter(self._abandoned)))
        self._abandoned.pop(query_id, None)
        self._abandoned[query_id] = now + ABANDONED_ID_RETENTION_US

    def close(self, query_id: str) -> None:
        """Remove the id of a request that has ended, unless it was abandoned."""
        self._open.discard(query_id)
        if self.shared is not None and query_id not in self._abandoned:
            self.shared.remove(query_id)

    def is_used(self, query_id: str, now: int) -> bool:
        """Return whether a new request must not have this id at `now`, µs."""
        while self._abandoned and self._abandoned[oldest := next(iter(self._abandoned))] <= now:
            self._drop(oldest)
        if query_id in self._open or query_id in self._abandoned:
            return True
        return self.shared is not None and self.shared.is_used_elsewhere(query_id, now)

    def _drop(self, query_id: str) -> None:
        del self._abandoned[query_id]
        if self.shared is not None and query_id not in self._open:
            self.shared.remove(query_id)
