"""The entries of the replicated log that are held in memory."""

from collections.abc import Sequence

import msgspec

from cypressledge.controlplane.messages import MAX_BATCH_BYTES, Change
from cypressledge.controlplane.state import Position

MAX_KEPT_ENTRIES = 1_024  # committed entries kept after a compaction, for voters that are slightly behind
MAX_KEPT_BYTES = 2 << 20  # bytes; total size of those entries, encoded

NO_HISTORY = Position(0, -1)  # position of a log without even the empty version 0

_encode = msgspec.msgpack.Encoder().encode


class LogEntries:
    """The log entries that follow the position `base` without a gap."""

    __slots__ = ("_changes", "_sizes", "base")

    def __init__(self, base: Position = NO_HISTORY, changes: Sequence[Change] = ()) -> None:
        self.base = base
        self._changes: list[Change] = []
        self._sizes: list[int] = []  # encoded bytes of each change
        self.extend(changes)

    @property
    def last(self) -> Position:
        """The position of the newest entry; `base` if there is none."""
        if not self._changes:
            return self.base
        newest = self._changes[-1]
        return Position(newest.epoch, newest.version)

    def epoch_at(self, version: int) -> int | None:
        """Return the epoch of the entry at a version or of the base; None if the version is not held."""
        index = version - self.base.version
        if version < 0 or not 0 <= index <= len(self._changes):
            return None
        return self._changes[index - 1].epoch if index else self.base.epoch

    def extend(self, changes: Sequence[Change]) -> None:
        """Append changes that follow the last entry."""
        self._changes += changes
        self._sizes += [len(_encode(change)) for change in changes]

    def truncate(self, after_version: int) -> None:
        """Drop the entries after a version."""
        start = after_version - self.base.version
        del self._changes[start:], self._sizes[start:]

    def between(self, after_version: int, to_version: int) -> list[Change]:
        """Return the entries after one version, up to and including another."""
        return self._changes[after_version - self.base.version : to_version - self.base.version]

    def batch_after(self, version: int) -> list[Change]:
        """Return entries after a version, up to `MAX_BATCH_BYTES` but at least one if there is one."""
        start = end = version - self.base.version
        total = 0
        while end < len(self._changes) and (end == start or total + self._sizes[end] <= MAX_BATCH_BYTES):
            total += self._sizes[end]
            end += 1
        return self._changes[start:end]

    def drop_compacted(self, commit: int) -> None:
        """Drop old entries; keep the last committed ones, up to the limits, and all uncommitted ones."""
        committed = commit - self.base.version
        keep = total = 0
        while keep < min(committed, MAX_KEPT_ENTRIES):
            total += self._sizes[committed - keep - 1]
            if total > MAX_KEPT_BYTES:
                break
            keep += 1
        if drop := committed - keep:
            newest_dropped = self._changes[drop - 1]
            self.base = Position(newest_dropped.epoch, newest_dropped.version)
            del self._changes[:drop], self._sizes[:drop]
