"""The committed state with the last changes that made it: what followers are sent from. No I/O."""

import zlib
from collections import deque
from itertools import islice

import msgspec

from cypressledge.broker.metrics import Counters
from cypressledge.controlplane.messages import MAX_BATCH_BYTES, MAX_FRAME_BYTES, Change, Snapshot
from cypressledge.controlplane.state import FleetState
from cypressledge.controlplane.state_values import StateError

MAX_KEPT_CHANGES = 4_096  # changes kept
MAX_KEPT_BYTES = 4 << 20  # of changes kept
MAX_SNAPSHOT_BYTES = 64 << 20  # bytes of a snapshot before packing

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Snapshot).decode


def compress_snapshot(snapshot: Snapshot) -> bytes:
    """As it goes into a frame: zlib over the encoded snapshot."""
    return zlib.compress(_encode(snapshot), 6)


def decompress_snapshot(packed: bytes) -> Snapshot:
    """A snapshot from a frame; its digest is checked by `FleetState.restore`. Raises `StateError`."""
    reader = zlib.decompressobj()
    try:
        # Guards against a few bytes that unpack into all memory.
        body = reader.decompress(packed, MAX_SNAPSHOT_BYTES)
        if not reader.eof or reader.unused_data or len(packed) > MAX_FRAME_BYTES:
            raise StateError("snapshot: cut short, or too large")
        return _decode(body)
    except (zlib.error, msgspec.MsgspecError, ValueError, RecursionError) as err:
        raise StateError(f"snapshot: {err}") from None


class ChangeHistory:
    """Versions `base` to `state.version`: all that can be sent as changes."""

    def __init__(
        self, state: FleetState, changes_most: int = MAX_KEPT_CHANGES, bytes_most: int = MAX_KEPT_BYTES
    ) -> None:
        self.changes_most, self.bytes_most = changes_most, bytes_most
        self.counters = Counters()
        self._begin(state)

    def _begin(self, state: FleetState) -> None:
        self.state = state
        self.base = (state.epoch, state.version, state.digest)  # what the first change kept follows
        self.changes: deque[tuple[Change, int]] = deque()  # and their bytes
        self.bytes = 0
        self._compressed: tuple[tuple[int, int, bytes], bytes] | None = None

    def apply(self, change: Change) -> None:
        """Take the next committed change. Raises `StateError`, and changes nothing, where it doesn't fit."""
        self.state.apply(change)
        size = len(_encode(change))
        self.changes.append((change, size))
        self.bytes += size
        while len(self.changes) > self.changes_most or self.bytes > self.bytes_most:
            self._drop()
        self.counters.invariant(self.base[1] + len(self.changes) == self.state.version, "history_whole")

    def reset(self, snapshot: Snapshot) -> None:
        """Begin again from a snapshot. Raises `StateError`, and changes nothing, where it doesn't verify."""
        self._begin(FleetState.restore(snapshot))

    def compact(self, keep: int = 0) -> None:
        """Drop all changes but the last `keep`."""
        while len(self.changes) > keep:
            self._drop()

    def _drop(self) -> None:
        change, size = self.changes.popleft()
        self.bytes -= size
        self.base = (change.epoch, change.version, change.digest)

    def position_at(self, version: int) -> tuple[int, int, bytes] | None:
        """(epoch, version, digest) at a version; none where it is no longer or not yet known."""
        index = version - self.base[1]
        if not 0 <= index <= len(self.changes):
            return None
        if not index:
            return self.base
        change = self.changes[index - 1][0]
        return change.epoch, change.version, change.digest

    def changes_since(
        self, epoch: int, version: int, digest: bytes, most_bytes: int = MAX_BATCH_BYTES
    ) -> list[Change] | None:
        """The changes after a position, up to `most_bytes` of them but one at least; empty where there are
        none. None: only a snapshot can follow it (too old, not yet here, or not of this history)."""
        if self.position_at(version) != (epoch, version, digest):
            return None
        found, total = [], 0
        for change, size in islice(self.changes, version - self.base[1], None):
            total += size
            if found and total > most_bytes:
                break
            found.append(change)
        return found

    def compressed_snapshot(self) -> bytes:
        """The snapshot of now as it goes into a frame; made once a version."""
        state = self.state
        position = (state.epoch, state.version, state.digest)
        if self._compressed is None or self._compressed[0] != position:
            self._compressed = position, compress_snapshot(state.snapshot())
        return self._compressed[1]
