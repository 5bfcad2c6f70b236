"""The history of committed changes for brokers: its limits, and snapshots in messages."""

import zlib

import pytest

from cypressledge.controlplane.change_history import (
    MAX_SNAPSHOT_BYTES,
    ChangeHistory,
    compress_snapshot,
    decompress_snapshot,
)
from cypressledge.controlplane.messages import Change, Op
from cypressledge.controlplane.state import FleetState
from cypressledge.controlplane.state_values import StateError, encode_value
from tests.controlplane.fleet_states import engine, populated_state


def test_decompression_is_bounded_and_raises_one_error():
    packed = compress_snapshot(populated_state().snapshot())
    assert decompress_snapshot(packed) == populated_state().snapshot()
    bomb = zlib.compress(b"\0" * (MAX_SNAPSHOT_BYTES + 1))
    for bad in (b"", packed[:-5], packed + b"x", b"x" * 50, bomb, zlib.compress(b"\xc1")):
        with pytest.raises(StateError):
            decompress_snapshot(bad)


def test_history_returns_only_the_changes_that_it_keeps():
    history = ChangeHistory(FleetState("line"), max_changes=5)
    positions = [(0, 0, history.state.digest)]
    for number in range(8):
        history.apply(history.state.draft_change(1 + number // 4, [engine(f"e{number}", f"h:{number + 1}")]))
        positions.append((*history.state.position, history.state.digest))
    assert [history.changes_since(*p) is None for p in positions] == [True] * 3 + [False] * 6
    assert [c.version for c in history.changes_since(*positions[4])] == [5, 6, 7, 8]
    assert [c.version for c in history.changes_since(*positions[4], max_bytes=1)] == [5]
    assert history.changes_since(*positions[8]) == []
    assert history.changes_since(2, 9, b"\0" * 16) is None
    assert history.changes_since(1, 5, positions[5][2]) is None
    assert history.changes_since(2, 5, b"\0" * 16) is None
    packed = history.compressed_snapshot()
    assert history.compressed_snapshot() is packed
    history.compact(keep=1)
    assert history.changes_since(*positions[6]) is None
    assert len(history.changes_since(*positions[7])) == 1
    with pytest.raises(StateError):
        history.apply(Change(2, 9, [], b"\0" * 16))
    assert history.compressed_snapshot() is packed
    assert history.position_at(8) == positions[8]
    history.apply(history.state.draft_change(2, []))
    assert decompress_snapshot(history.compressed_snapshot()).version == 9
    history.reset(decompress_snapshot(packed))
    assert history.state.version == 8
    assert history.changes_since(*positions[8]) == []
    assert history.changes_since(*positions[7]) is None


def test_history_is_bounded_in_bytes():
    history = ChangeHistory(FleetState("line"), max_bytes=10_000)
    for number in range(50):
        history.apply(
            history.state.draft_change(1, [Op("config/Extra", encode_value("x" * 1000 + str(number)))])
        )
    assert 0 < len(history.changes) < 10
    assert history.kept_bytes <= 10_000
