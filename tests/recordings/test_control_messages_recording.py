"""The bytes of one of each control message, of what is kept on disk, and of frames, as recorded at 9c5e980.

Keyed by the tag on the wire; messages are made by the position of their fields, so that neither a class's nor
a field's name is part of the recording.
"""

import json
from pathlib import Path

import gevent
import msgspec
import pytest
from gevent import socket

from cypressledge.controlplane import messages
from cypressledge.controlplane.change_history import compress_snapshot, decompress_snapshot
from cypressledge.controlplane.framing import FramedConnection
from cypressledge.controlplane.messages import Change, Message, Op, Snapshot, StateEntry
from cypressledge.controlplane.traffic_counters import TrafficCounters

RECORDED = json.loads((Path(__file__).parent / "control_messages.json").read_text())

OPS = [Op("engine/e1", b"\x81\xa1a\x01"), Op("broker/b1", None)]
CHANGES = [
    Change(3, 7, OPS, bytes(range(16)), "request-1", "someone", "a reason", 1_750_000_000_000),
    Change(3, 8, [], bytes(16)),
]
SNAPSHOT = Snapshot(
    "lineage-1",
    3,
    8,
    bytes(range(16, 32)),
    [StateEntry("config/Limits", b"\x80", 2)],
    [("request-1", 7), ("request-2", 8)],
)

FIELDS = {
    "hello": (
        1,
        "broker",
        "b1",
        1 << 40,
        "lineage-1",
        3,
        8,
        bytes(range(16)),
        "10.0.0.1:7000",
        "z1",
        "north",
        "a section is wrong",
    ),
    "welcome": ("control-1", 77, "lineage-1"),
    "goodbye": ("lineage", 5_000),
    "deltas": (CHANGES,),
    "whole": (b"packed \x00\xff",),
    "beat": (3, 8, bytes(range(16)), "control-1", -1),
    "have": (3, 8, bytes(range(16)), "a section is wrong"),
    "wholewanted": ("digest",),
    "prepare": (4, 77),
    "promised": (4, 3, 8, 7, True),
    "fetch": (4, 3, 7),
    "fetched": (4, CHANGES, b"packed", True),
    "append": (4, 3, 6, CHANGES, 7),
    "install": (4, b"packed", 8),
    "appended": (4, 8, True),
    "mismatch": (4, -1),
    "denied": (4, "disk"),
    "seen": (True, [("b1", 12, 8), ("b2", 13, -1)], {"b1": "a section is wrong"}),
    "register": ([Op("broker/b1", b"\x80")],),
}
# What a sender that says no more than it must leaves out: fields with a default, at the end.
REQUIRED = {
    "hello": 4,
    "goodbye": 1,
    "have": 3,
    "promised": 4,
    "fetched": 2,
    "appended": 2,
    "denied": 1,
    "seen": 2,
}
DEFAULTS = {
    "hello": ("", 0, 0, b"", "", "", "", ""),
    "goodbye": (0,),
    "have": ("",),
    "promised": (False,),
    "fetched": (b"", False),
    "appended": (False,),
    "denied": ("epoch",),
    "seen": ({},),
}

CLASSES = {kind.__struct_config__.tag: kind for kind in Message.__subclasses__()}
encode = msgspec.msgpack.encode


def test_the_tags_are_those_recorded():
    assert set(CLASSES) == set(RECORDED["messages"]) == set(FIELDS)
    assert RECORDED["format"] == messages.FORMAT


@pytest.mark.parametrize("tag", FIELDS)
def test_a_message_is_encoded_to_the_bytes_recorded(tag):
    assert messages.encode(CLASSES[tag](*FIELDS[tag])).hex() == RECORDED["messages"][tag]


@pytest.mark.parametrize("tag", FIELDS)
def test_the_bytes_recorded_are_decoded_to_the_message(tag):
    frame = bytes.fromhex(RECORDED["messages"][tag])
    assert int.from_bytes(frame[:4], "big") == len(frame) - 4
    message = messages.decode(frame[4:])
    assert type(message) is CLASSES[tag]
    assert msgspec.structs.astuple(message) == FIELDS[tag]


@pytest.mark.parametrize("tag", FIELDS)
def test_fields_left_out_have_the_defaults_recorded(tag):
    required = REQUIRED.get(tag, len(FIELDS[tag]))
    message = messages.decode(encode([tag, *FIELDS[tag][:required]]))
    assert msgspec.structs.astuple(message) == FIELDS[tag][:required] + DEFAULTS.get(tag, ())
    with pytest.raises(Exception, match="length"):
        messages.decode(encode([tag, *FIELDS[tag][: required - 1]]))


def test_what_is_kept_on_disk_is_encoded_to_the_bytes_recorded():
    assert [encode(change).hex() for change in CHANGES] == RECORDED["changes"]
    assert encode(SNAPSHOT).hex() == RECORDED["snapshot"]
    assert [msgspec.msgpack.decode(bytes.fromhex(raw), type=Change) for raw in RECORDED["changes"]] == CHANGES
    assert msgspec.msgpack.decode(bytes.fromhex(RECORDED["snapshot"]), type=Snapshot) == SNAPSHOT


def test_a_packed_snapshot_recorded_is_unpacked():
    assert (
        decompress_snapshot(bytes.fromhex(RECORDED["packed"]))
        == SNAPSHOT
        == decompress_snapshot(compress_snapshot(SNAPSHOT))
    )


def test_frames_on_a_socket_are_the_bytes_recorded():
    """Sent and received by a connection, all messages one after another."""
    ours, theirs = socket.socketpair()
    connection, traffic = FramedConnection(ours, TrafficCounters()), TrafficCounters()
    stream = b"".join(bytes.fromhex(frame) for frame in RECORDED["messages"].values())
    connection.traffic = traffic
    for tag in RECORDED["messages"]:
        connection.send(CLASSES[tag](*FIELDS[tag]))
    got = b""
    with gevent.Timeout(5):
        while len(got) < len(stream):
            got += theirs.recv(1 << 16)
        assert got == stream
        theirs.sendall(stream)
        received = [connection.receive(5) for _ in RECORDED["messages"]]
    assert received == [CLASSES[tag](*FIELDS[tag]) for tag in RECORDED["messages"]]
    assert traffic.show() == RECORDED["traffic"]
    connection.close()
    theirs.close()
