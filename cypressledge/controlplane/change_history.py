"""The committed state and the most recent changes to it, from which brokers are updated. No I/O."""

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
MAX_KEPT_BYTES = 4 << 20  # bytes; total size of the changes kept, encoded
MAX_SNAPSHOT_BYTES = 64 << 20  # bytes; size of a snapshot before compression
COMPRESSION_LEVEL = 6  # zlib compression level

_encode = msgspec.msgpack.Encoder().encode
_decode_snapshot = msgspec.msgpack.Decoder(Snapshot).decode


class _KeptChange(NamedTuple):
    change: Change
    size: int  # encoded bytes


def compress_snapshot(snapshot: Snapshot) -> bytes:
    """Return the snapshot as messages carry it: its encoding compressed with zlib."""
    return zlib.compress(_encode(snapshot), COMPRESSION_LEVEL)


def decompress_snapshot(compressed: bytes) -> Snapshot:
    """Return the snapshot in a message; `FleetState.restore` checks its digest. Raises `StateError`."""
    reader = zlib.decompressobj()
    try:
        # The limit keeps a small message from exhausting the memory when it is decompressed.
        body = reader.decompress(compressed, MAX_SNAPSHOT_BYTES)
        if not reader.eof or reader.unused_data or len(compressed) > MAX_FRAME_BYTES:
            raise StateError(
                f"snapshot: incomplete, followed by other data, or over {MAX_SNAPSHOT_BYTES} bytes"
            )
        return _decode_snapshot(body)
    except (zlib.error, msgspec.MsgspecError, ValueError, RecursionError) as err:
        raise StateError(f"snapshot: {err}") from None


class CompressedSnapshotCache:
    """Caches the compressed snapshot of the newest version of a state."""

    def __init__(self) -> None:
        self._position: DigestPosition | None = None
        self._compressed = b""

    def get(self, state: FleetState) -> bytes:
        """Return the compressed snapshot of a state; it is built once per version."""
        position = state.digest_position
        if position != self._position:
            self._position, self._compressed = position, compress_snapshot(state.snapshot())
        return self._compressed


class ChangeHistory:
    """The state at its newest version, and the kept changes, which follow the position `base`."""

    def __init__(
        self, state: FleetState, max_changes: int = MAX_KEPT_CHANGES, max_bytes: int = MAX_KEPT_BYTES
    ) -> None:
        self.counters = Counters()
        self._max_changes, self._max_bytes = max_changes, max_bytes
        self._start_from(state)

    def _start_from(self, state: FleetState) -> None:
        self.state = state
        self.base = state.digest_position  # the kept changes follow this position
        self._kept: deque[_KeptChange] = deque()
        self.kept_bytes = 0  # bytes; total encoded size of the kept changes
        self._snapshots = CompressedSnapshotCache()

    @property
    def changes(self) -> list[Change]:
        """The kept changes, oldest first."""
        return [kept.change for kept in self._kept]

    def apply(self, change: Change) -> None:
        """Apply the next committed change. Raises `StateError` and changes nothing if it does not fit."""
        self.state.apply(change)
        size = len(_encode(change))
        self._kept.append(_KeptChange(change, size))
        self.kept_bytes += size
        while len(self._kept) > self._max_changes or self.kept_bytes > self._max_bytes:
            self._drop_oldest()
        self.counters.invariant(self.base.version + len(self._kept) == self.state.version, "history_whole")

    def reset(self, snapshot: Snapshot) -> None:
        """Replace the history by a snapshot. Raises `StateError` and changes nothing if it is invalid."""
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
        """Return the position and digest of a version; None if it is no longer or not yet known."""
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
        """Return changes after a position, up to `max_bytes` but at least one; empty if there are none.

        Returns None if only a snapshot can follow the position, because it is too old, not yet reached or not
        part of this history.
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
        """Return the newest version as a compressed snapshot for messages; it is built once per version."""
        return self._snapshots.get(self.state)
