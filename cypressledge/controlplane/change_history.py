"""The committed state and the last changes that made it: what brokers are sent. No I/O."""

import zlib
from collections import deque
from itertools import islice
from typing import NamedTuple

import msgspec

from cypressledge.broker.metrics import Counters
from cypressledge.controlplane.messages import MAX_BATCH_BYTES, MAX_FRAME_BYTES, Change, Snapshot
from cypressledge.controlplane.state import DigestPosition, FleetState
from cypressledge.controlplane.state_values import StateError

MAX_KEPT_CHANGES = 4_096
MAX_KEPT_BYTES = 4 << 20  # of the changes kept, encoded
MAX_SNAPSHOT_BYTES = 64 << 20  # of a snapshot before compression
COMPRESSION_LEVEL = 6  # zlib's

_encode = msgspec.msgpack.Encoder().encode
_decode_snapshot = msgspec.msgpack.Decoder(Snapshot).decode


class _KeptChange(NamedTuple):
    change: Change
    size: int  # encoded bytes


def compress_snapshot(snapshot: Snapshot) -> bytes:
    """The snapshot as it goes into a message: zlib over its encoding."""
    return zlib.compress(_encode(snapshot), COMPRESSION_LEVEL)


def decompress_snapshot(compressed: bytes) -> Snapshot:
    """A snapshot from a message; its digest is checked by `FleetState.restore`. Raises `StateError`."""
    reader = zlib.decompressobj()
    try:
        # Guards against a few bytes that decompress into all memory.
        body = reader.decompress(compressed, MAX_SNAPSHOT_BYTES)
        if not reader.eof or reader.unused_data or len(compressed) > MAX_FRAME_BYTES:
            raise StateError("snapshot: cut short, or too large")
        return _decode_snapshot(body)
    except (zlib.error, msgspec.MsgspecError, ValueError, RecursionError) as err:
        raise StateError(f"snapshot: {err}") from None


class CompressedSnapshotCache:
    """The last snapshot made of one state, as it goes into a message."""

    def __init__(self) -> None:
        self._position: DigestPosition | None = None
        self._compressed = b""

    def get(self, state: FleetState) -> bytes:
        """The snapshot of a state; made once a version."""
        position = state.digest_position
        if position != self._position:
            self._position, self._compressed = position, compress_snapshot(state.snapshot())
        return self._compressed


class ChangeHistory:
    """The state at its newest version, and the changes from version `base` on that can be sent."""

    def __init__(
        self, state: FleetState, max_changes: int = MAX_KEPT_CHANGES, max_bytes: int = MAX_KEPT_BYTES
    ) -> None:
        self.counters = Counters()
        self._max_changes, self._max_bytes = max_changes, max_bytes
        self._start_from(state)

    def _start_from(self, state: FleetState) -> None:
        self.state = state
        self.base = state.digest_position  # the changes kept follow it
        self._kept: deque[_KeptChange] = deque()
        self.kept_bytes = 0  # encoded
        self._snapshots = CompressedSnapshotCache()

    @property
    def changes(self) -> list[Change]:
        """The changes kept, oldest first."""
        return [kept.change for kept in self._kept]

    def apply(self, change: Change) -> None:
        """Take the next committed change. Raises `StateError`, and changes nothing, where it doesn't fit."""
        self.state.apply(change)
        size = len(_encode(change))
        self._kept.append(_KeptChange(change, size))
        self.kept_bytes += size
        while len(self._kept) > self._max_changes or self.kept_bytes > self._max_bytes:
            self._drop_oldest()
        self.counters.invariant(self.base.version + len(self._kept) == self.state.version, "history_whole")

    def reset(self, snapshot: Snapshot) -> None:
        """Start again from a snapshot. Raises `StateError`, and changes nothing, where it isn't sound."""
        self._start_from(FleetState.restore(snapshot))

    def compact(self, keep: int = 0) -> None:
        """Drop all changes but the last `keep`."""
        while len(self._kept) > keep:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        change, size = self._kept.popleft()
        self.kept_bytes -= size
        self.base = DigestPosition(change.epoch, change.version, change.digest)

    def position_at(self, version: int) -> DigestPosition | None:
        """The position and digest of a version; none where it is no longer or not yet known."""
        index = version - self.base.version
        if not 0 <= index <= len(self._kept):
            return None
        if not index:
            return self.base
        change = self._kept[index - 1].change
        return DigestPosition(change.epoch, change.version, change.digest)

    def changes_since(
        self, epoch: int, version: int, digest: bytes, max_bytes: int = MAX_BATCH_BYTES
    ) -> list[Change] | None:
        """The changes after a position, up to `max_bytes` of them but at least one; empty if there are none.

        None: only a snapshot can follow it, as it is too old, not yet reached, or not of this history.
        """
        if self.position_at(version) != (epoch, version, digest):
            return None
        changes: list[Change] = []
        total = 0
        for change, size in islice(self._kept, version - self.base.version, None):
            total += size
            if changes and total > max_bytes:
                break
            changes.append(change)
        return changes

    def compressed_snapshot(self) -> bytes:
        """The snapshot of the newest version as it goes into a message; made once a version."""
        return self._snapshots.get(self.state)
