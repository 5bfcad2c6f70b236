"""Parts of the control plane: frames, lag reports, operators' changes, fault injection, engine lists."""

import json
import time
from types import SimpleNamespace

import gevent
import msgspec
import pytest
from gevent import socket

from cypressledge.broker.metrics import Counters
from cypressledge.config import ConfigError
from cypressledge.controlplane import cli
from cypressledge.controlplane import framing as frames_module
from cypressledge.controlplane.applied_versions import MAX_NAMES, AppliedVersions, LagReport
from cypressledge.controlplane.broker_integration import BrokerIntegration
from cypressledge.controlplane.change_history import ChangeHistory
from cypressledge.controlplane.change_proposals import check_new_change
from cypressledge.controlplane.faults import FaultInjection
from cypressledge.controlplane.framing import ConnectionEndedError, FramedConnection
from cypressledge.controlplane.log_storage import StorageError
from cypressledge.controlplane.messages import (
    MAX_FRAME_BYTES,
    AppliedPosition,
    AppliedReport,
    CompleteSnapshot,
    Deltas,
    Disconnect,
    HelloAccepted,
    Op,
    encode,
)
from cypressledge.controlplane.operator_calls import BadRequestError, ChangeRequest, read_change
from cypressledge.controlplane.operator_messages import LagAnswer
from cypressledge.controlplane.state import FleetState
from cypressledge.controlplane.state_values import StateError, decode_value, encode_value
from cypressledge.controlplane.traffic_counters import TrafficCounters

ONE, TWO = AppliedPosition(7, 3, bytes(16)), Disconnect("stopping", 5)


def pair():
    """Two ends of a loopback TCP connection."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(1)
    near = socket.create_connection(listener.getsockname())
    far, _ = listener.accept()
    listener.close()
    return near, far


@pytest.fixture
def ends():
    near, far = pair()
    frames = FramedConnection(near, TrafficCounters())
    yield frames, far
    frames.close()
    far.close()


def test_frames_are_reassembled_from_segments_of_any_size(ends):
    frames, far = ends
    raw = encode(ONE) + encode(TWO) + encode(CompleteSnapshot(bytes(300_000)))

    def send():
        for size in (1, 2, 3, 5, 8, 13):
            nonlocal raw
            far.sendall(raw[:size])
            raw = raw[size:]
            gevent.sleep(0)
        far.sendall(raw)

    sending = gevent.spawn(send)
    assert [frames.receive(2), frames.receive(2)] == [ONE, TWO]
    assert len(frames.receive(2).compressed) == 300_000
    assert frames.receive(0.01) is None
    sending.join()
    assert frames.traffic.show()["in.have"] == {"frames": 1, "bytes": len(encode(ONE))}
    far.close()
    with pytest.raises(ConnectionEndedError, match="closed"):
        frames.receive(2)


def test_larger_frames_are_accepted_after_the_first_one():
    near, far = pair()
    frames, peer = FramedConnection(near, TrafficCounters(), 4096), FramedConnection(far, TrafficCounters())
    peer.send(ONE)
    peer.send(CompleteSnapshot(bytes(3_000_000)))
    assert frames.receive(2) == ONE
    frames.set_max_frame_bytes(MAX_FRAME_BYTES)
    assert len(frames.receive(5).compressed) == 3_000_000
    frames.close()
    peer.close()


@pytest.mark.parametrize(
    ("raw", "why"),
    [
        (b"\x00\x00\x00\x00", "a frame of 0 bytes"),
        (b"\xff\xff\xff\xff", "a frame of 4294967295 bytes"),
        (b"\x00\x00\x00\x03abc", "invalid frame"),
        ((MAX_FRAME_BYTES + 1).to_bytes(4, "big"), "a frame of 4194305 bytes"),
    ],
)
def test_invalid_frame_ends_the_connection(ends, raw, why):
    frames, far = ends
    far.sendall(raw)
    with pytest.raises(ConnectionEndedError, match=why):
        frames.receive(2)


def test_incomplete_frame_times_out(ends, monkeypatch):
    monkeypatch.setattr(frames_module, "FRAME_TIMEOUT_S", 0.3)
    frames, far = ends
    far.sendall(encode(ONE) + b"\x00\x00\x00\x40half")
    assert frames.receive(1) == ONE
    began = time.monotonic()
    with pytest.raises(ConnectionEndedError, match="too slow"):
        while True:
            assert frames.receive(0.05) is None
    assert 0.2 < time.monotonic() - began < 2


def test_peer_that_does_not_read_is_dropped_without_blocking_the_sender(ends, monkeypatch):
    monkeypatch.setattr(frames_module, "MAX_QUEUED_BYTES", 1 << 20)
    near, far = pair()
    frames = FramedConnection(near, TrafficCounters())
    began = time.monotonic()
    for _ in range(100):
        frames.send(CompleteSnapshot(bytes(100_000)))
    assert time.monotonic() - began < 1
    with pytest.raises(ConnectionEndedError, match="peer does not read"):
        frames.receive(2)
    far.close()


def test_last_message_arrives_before_the_connection_ends(ends):
    frames, far = ends
    far.sendall(encode(ONE) * 3)  # never read: closing the socket with unread data would reset the connection
    frames.send(TWO)
    frames.finish_sending()
    reader = FramedConnection(far, TrafficCounters())
    assert reader.receive(2) == TWO
    with pytest.raises(ConnectionEndedError, match="closed"):
        reader.receive(2)


def lag_json(report: LagReport) -> dict:
    """Return a report as the JSON answer of the operators' call."""
    return msgspec.to_builtins(LagAnswer.from_report(report, newest=report.version))


def test_lag_counts_only_what_control_processes_reported():
    table = AppliedVersions()
    table.report(1, "c1", AppliedReport(True, [("b1", 11, 5), ("b2", 12, 4)]))
    answer = lag_json(table.lag(5, {"b1", "b2", "b3"}, {"c1", "c2"}))
    assert (answer["connected"], answer["in_force"], answer["names"]) == (2, 1, ["b2"])
    assert (answer["unreachable_names"], answer["unheard"]) == (["b3"], ["c2"])
    table.report(2, "c2", AppliedReport(False, [("b3", 13, 5)]))  # incremental, without a complete one before
    assert lag_json(table.lag(5, {"b3"}, {"c1", "c2"}))["unheard"] == ["c2"]
    table.report(3, "c2", AppliedReport(True, [("b2", 12, 5)]))  # b2 has reconnected to c2
    assert lag_json(table.lag(5, (), {"c1", "c2"}))["lagging"] == 0
    table.report(4, "c1", AppliedReport(False, [("b2", 12, -1)]))
    assert table.latest()["b2"].version == 5
    table.drop("c2")
    assert lag_json(table.lag(5, {"b2"}, {"c1"}))["unreachable_names"] == ["b2"]
    table.report(5, "c1", AppliedReport(True, [(f"x{i}", 1, 0) for i in range(200)]))
    answer = lag_json(table.lag(1, (), {"c1"}))
    assert (answer["lagging"], len(answer["names"])) == (200, MAX_NAMES)


def test_version_is_not_in_force_at_brokers_that_rejected_it():
    table = AppliedVersions()
    why = "other classes need a restart"
    table.report(
        1, "c1", AppliedReport(True, [("b1", 1, 5), ("b2", 1, 4), ("b3", 1, 5)], {"b3": why, "b2": "older"})
    )
    answer = lag_json(table.lag(5, (), {"c1"}))
    assert (answer["connected"], answer["in_force"], answer["lagging"], answer["refused"]) == (3, 1, 1, 1)
    assert answer["refused_by"] == {"b3": why}  # b2 rejected an older version only
    table.report(2, "c1", AppliedReport(False, [("b3", 1, 6)]))
    answer = lag_json(table.lag(5, (), {"c1"}))
    assert (answer["in_force"], answer["refused"], answer["refused_by"]) == (2, 0, {})
    many = [(f"x{i}", 1, 9) for i in range(200)]
    table.report(3, "c1", AppliedReport(True, many, {f"x{i}": why for i in range(99)}))
    answer = lag_json(table.lag(9, (), {"c1"}))
    assert (answer["in_force"], answer["refused"], len(answer["refused_by"])) == (101, 99, MAX_NAMES)


@pytest.mark.parametrize(
    ("state", "words"),
    [
        ({}, []),
        ({"lagging": 1, "names": ["b1"]}, ["1 lag: b1"]),
        (
            {"refused": 1, "refused_by": {"b3": "other classes need a restart"}},
            ["refused by: b3: other classes need a restart"],
        ),
        ({"refused": 9, "refused_by": {"b3": "x", "b4": "y"}}, ["refused by: b3: x; b4: y; and 7 more"]),
    ],
)
def test_lag_exit_code_is_zero_only_if_the_version_is_in_force_everywhere(state, words, capsys):
    answer = {
        "version": 5,
        "in_force": 1,
        "connected": 2,
        "lagging": 0,
        "names": [],
        "unheard": [],
        "unreachable": 0,
        "unreachable_names": [],
    }  # as answered by a leader of the previous release
    lag = msgspec.convert(answer | state, LagAnswer)
    cli.show_lag(lag)
    out = capsys.readouterr().out
    assert all(word in out for word in words)
    assert ("refused" in out) == ("refused" in state)
    assert cli.lag_exit_code(lag) == (1 if state else 0)


def test_change_is_read_from_json():
    asked = read_change(
        json.dumps(
            {
                "base": 3,
                "request": "r",
                "who": "me",
                "why": "so",
                "ops": {"set": {"config/Step": 5000}, "remove": ["engine/s-1"]},
            }
        ).encode()
    )
    assert (asked.base, asked.request, asked.who, asked.why, asked.dry_run) == (3, "r", "me", "so", False)
    assert [(op.key, op.value and decode_value(op.value)) for op in asked.ops] == [
        ("config/Step", 5000),
        ("engine/s-1", None),
    ]


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{",
        b'{"ops": 1}',
        b'{"ops": {"put": {}}}',
        b'{"ops": {"set": []}}',
        b'{"ops": {"remove": [1]}}',
        b'{"base": -1, "ops": {}}',
        b'{"base": true, "ops": {}}',
        b'{"request": 1, "ops": {}}',
        b'{"x": 1}',
        b'{"ops": {"set": {"config/Step": ' + b"9" * 40 + b"}}}",
        b"[" * 100_000,
        b"\xff\xfe",
    ],
)
def test_unreadable_change_is_rejected(body):
    with pytest.raises(BadRequestError):
        read_change(body)


def test_fault_is_injected_at_its_step():
    faults = FaultInjection("kill-after:append:2")
    assert [
        faults.is_due("promised"),
        faults.is_due("append"),
        faults.is_due("append"),
        faults.is_due("append"),
    ] == [
        False,
        False,
        True,
        False,
    ]
    assert (faults.action, faults.timing) == ("kill", "after")
    assert FaultInjection("kill-before-answer:1").is_due("answer")
    full = FaultInjection("disk-full:append:2")
    full.check_disk("promise")
    full.check_disk("append")
    for _ in range(2):
        with pytest.raises(StorageError):
            full.check_disk("append")
    assert not full.is_due("append")
    assert not FaultInjection("").is_due("")
    with pytest.raises(ConfigError):
        FaultInjection("kill-sometime")


class FakeBroker:
    """The parts of a broker process that the control plane integration uses."""

    def __init__(self):
        self.config, self.counters = SimpleNamespace(name="b1"), Counters()
        self.fleet = self.management = None
        self.configuration = self
        self.sections, self.has_external_engine_list, self.lists = {}, False, []

    def apply_sections(self, sections):
        if "Bad" in sections:
            raise ConfigError("not these")
        self.sections = sections

    def apply_engine_list(self, engines):
        self.lists.append([e.name for e in engines])
        self.has_external_engine_list = True


def test_changes_of_one_message_cause_one_engine_list_update(tmp_path):
    record, file = tmp_path / "record", tmp_path / "control.yaml"
    file.write_text(
        json.dumps(
            {
                "lab": {"record": str(record)},
                "servers": [
                    {"name": n, "address": f"{n}:1", "fleet": f"{n}:2", "management": f"{n}:3"} for n in "abc"
                ],
            }
        )
    )
    broker = FakeBroker()
    integration = BrokerIntegration(str(file), broker, {})
    subscriber, now = integration.client.subscriber, 0
    while subscriber.phase.value != "connecting":
        now = max(now, subscriber.tick(now))
    subscriber.connected(now)
    subscriber.received(now, HelloAccepted("c", 1, "line"))

    def engine(number):
        return Op(f"engine/e{number:03}", encode_value({"address": f"e:{number + 1}"}))

    history = ChangeHistory(FleetState("line"))
    history.apply(history.state.draft_change(1, [engine(0)]))
    subscriber.received(now, CompleteSnapshot(history.compressed_snapshot()))
    for number in range(1, 300):
        history.apply(history.state.draft_change(1, [engine(number)]))
    history.apply(history.state.draft_change(1, [Op("config/Bad", encode_value(1))]))
    subscriber.received(now, Deltas(history.changes[1:]))
    assert [len(names) for names in broker.lists] == [1, 300]
    assert integration.rejection_reason == subscriber.rejection_reason == "not these"
    in_force = [answer for answer in map(json.loads, record.read_text().splitlines()) if "version" in answer]
    assert [answer["version"] for answer in in_force] == [1, 301]  # recorded only once in force
    invalid = history.state.draft_change(1, [engine(301)])
    subscriber.received(now, Deltas([history.state.draft_change(1, [engine(300)]), invalid]))
    assert len(broker.lists[-1]) == 301  # changes before a gap are applied


def test_other_classes_are_rejected_but_a_repeated_request_is_accepted():
    state = FleetState("line")
    first, other = ([Op("config/Classes", encode_value([{"Name": name}]))] for name in ("slow", "fast"))
    for ops, request in ((first, "r"), ([Op("config/Classes")], ""), (other, "s")):
        state.apply(state.draft_change(1, ops, request))
    check_new_change(state, ChangeRequest(None, "r", "", "", first, False))  # committed before, as version 1
    for request, dry in (("t", False), ("", False), ("r", True)):
        with pytest.raises(StateError, match="only at a restart"):
            check_new_change(state, ChangeRequest(None, request, "", "", first, dry))
