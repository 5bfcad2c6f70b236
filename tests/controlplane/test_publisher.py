"""The messages of a publisher to brokers, and the brokers that it rejects, disconnects and reports."""

import pytest

from cypressledge.controlplane import messages as m
from cypressledge.controlplane.state_values import Broker, encode_value
from tests.controlplane.distribution_harnesses import SECOND_US, PublisherHarness, grow_history, position_of


def test_publisher_sends_changes_or_a_snapshot_one_at_a_time():
    sender = PublisherHarness()
    accepted, beat, snapshot = sender.hello(1)
    assert accepted == m.HelloAccepted("c1", 7, "line")
    assert beat.leader_silence_ms == -1
    assert isinstance(snapshot, m.CompleteSnapshot)
    accepted, beat, deltas = sender.hello(2, sender.history.position_at(1))
    assert [c.version for c in deltas.changes] == [2, 3]
    grow_history(sender.history, 2)
    sender.publisher.committed(0)
    assert len(sender.sent[2]) == 3  # the first update is still in flight
    sender.confirm(2, position=sender.history.position_at(3))
    assert [c.version for c in sender.sent[2][3].changes] == [4, 5]
    sender.publisher.received(0, 2, m.SnapshotRequest("digest"))
    assert isinstance(sender.sent[2][4], m.CompleteSnapshot)
    assert "snapshot_requested" in sender.events
    sender.confirm(2)
    assert sender.publisher.subscriptions.applied_versions() == {"b1": (1, 0), "b2": (1, 5)}
    assert len(sender.sent[2]) == 5
    assert len(sender.hello(3, position_of(sender.history.state))) == 2  # it has the newest version
    sender.history.compact()
    assert isinstance(sender.hello(4, (1, 4, b"x" * 16))[2], m.CompleteSnapshot)
    assert "digest_differs" not in sender.events
    assert isinstance(sender.hello(5, (1, 5, b"x" * 16))[2], m.CompleteSnapshot)
    assert "digest_differs" in sender.events
    assert len(PublisherHarness(versions=0).hello(1)) == 2  # the history is empty


def test_publisher_does_not_repeat_what_was_rejected():
    sender = PublisherHarness()
    first = sender.history.position_at(1)
    sender.hello(1, first)
    sender.confirm(1, position=first)  # the changes were not applied, so a snapshot follows
    assert isinstance(sender.sent[1][-1], m.CompleteSnapshot)
    sender.confirm(1, position=first)  # nor was the snapshot: nothing more until a new version
    sender.publisher.committed(0)
    assert isinstance(sender.sent[1][-1], m.CompleteSnapshot)
    assert len(sender.sent[1]) == 4
    assert "snapshot_rejected" in sender.events
    grow_history(sender.history)
    sender.publisher.committed(0)
    assert isinstance(sender.sent[1][-1], m.Deltas)


@pytest.mark.parametrize(
    ("more", "why"),
    [
        ({"format": 99}, "format"),
        ({"role": "control"}, "nonsense"),
        ({"name": "-"}, "nonsense"),
        ({"cluster_id": "other", "epoch": 1, "version": 1, "digest": b"x" * 16}, "lineage"),
        ({"version": 5}, "nonsense"),
        ({"cluster_id": "line", "version": 5, "digest": b"x"}, "nonsense"),
    ],
)
def test_publisher_rejects_invalid_or_incompatible_hello(more, why):
    sender = PublisherHarness()
    sender.hello(1, **more)
    assert sender.ended[1].reason == why
    assert not sender.publisher.subscriptions
    assert f"disconnected_{why}" in sender.events


@pytest.mark.parametrize(
    "message",
    [m.Heartbeat(1, 1, b"", "", 0), m.AppliedPosition(1, 3, b""), m.SnapshotRequest("x"), m.Disconnect("x")],
)
def test_publisher_disconnects_on_unexpected_messages(message):
    sender = PublisherHarness()
    sender.hello(1, position_of(sender.history.state))
    sender.publisher.received(0, 1, message)
    assert sender.ended[1].reason == "nonsense"
    sender.publisher.received(0, 1, message)  # a frame received after the disconnect is ignored
    sender.publisher.disconnected(0, 1)


def test_publisher_replaces_rejects_when_full_and_reports_connected_brokers():
    sender = PublisherHarness(max_subscribers=2)
    sender.hello(1)
    sender.hello(2)
    assert sender.report(False) == m.AppliedReport(False, [("b1", 1, 0), ("b2", 1, 0)])
    sender.hello(3)
    assert sender.ended[3].reason == "full"
    assert sender.ended[3].retry_after_ms > 0
    sender.hello(4, name="b1", instance_id=9)
    assert sender.ended[1].reason == "replaced"
    assert sender.publisher.subscriptions.applied_versions()["b1"] == (9, 0)
    sender.confirm(2)
    assert sender.report(False) == m.AppliedReport(False, [("b1", 9, 0), ("b2", 1, 3)])
    assert sender.report(False) is None
    sender.publisher.disconnected(0, 2)
    assert sender.report(False) == m.AppliedReport(False, [("b2", 0, -1)])
    assert sender.report(True) == m.AppliedReport(True, [("b1", 9, 0)])
    sender.publisher.stop()
    assert sender.ended[4].reason == "stopping"
    assert sender.report(True) == m.AppliedReport(True, [])


def test_publisher_reports_rejected_settings():
    sender, why = PublisherHarness(), "other classes need a restart"
    sender.hello(1)
    sender.hello(2, position_of(sender.history.state), rejection_reason=why)  # rejected before it connected
    assert sender.report(False) == m.AppliedReport(False, [("b1", 1, 0), ("b2", 1, 3)], {"b2": why})
    sender.publisher.received(
        0, 1, m.AppliedPosition(*position_of(sender.history.state), "  a\nlong\x1b[2J" + "x" * 999)
    )
    reason = sender.report(False).rejections["b1"]
    assert reason.startswith("a long?[2Jxxx")
    assert len(reason) == m.MAX_REJECTION_REASON_LENGTH == 200
    grow_history(sender.history)
    sender.publisher.committed(0)
    sender.publisher.received(0, 1, m.AppliedPosition(*position_of(sender.history.state), "b"))
    sender.confirm(2)
    assert sender.report(False) == m.AppliedReport(False, [("b1", 1, 4), ("b2", 1, 4)], {"b1": "b"})
    assert sender.report(True).rejections == {"b1": "b"}
    sender.publisher.disconnected(0, 1)
    assert sender.report(False) == m.AppliedReport(False, [("b1", 0, -1)], {})
    sender.hello(3, (1, 4, b"x" * 16))
    sender.report(False)
    sender.publisher.received(
        0, 3, m.AppliedPosition(*position_of(sender.history.state), why)
    )  # a snapshot of the same version
    assert sender.report(False) == m.AppliedReport(False, [("b3", 1, 4)], {"b3": why})


def test_rejections_of_the_largest_fleet_fit_in_one_frame():
    sender, broker_count = PublisherHarness(max_subscribers=20_000), 20_000
    for conn in range(broker_count):
        sender.hello(
            conn, position_of(sender.history.state), name=f"b{conn:063d}", rejection_reason="\u20ac" * 999
        )
    seen = sender.report(True)
    assert len(m.encode(seen)) < m.MAX_FRAME_BYTES
    assert len(seen.rejections) == len(seen.brokers) == broker_count


def test_publisher_bounds_names_kept_for_the_next_report():
    sender = PublisherHarness(max_subscribers=1)
    for conn in range(20):
        sender.hello(conn)
        sender.publisher.disconnected(0, conn)
        assert sender.publisher.subscriptions.changed_count <= 4
    assert sender.report(False) == m.AppliedReport(True, [])


def test_publisher_disconnects_silent_brokers_and_sends_heartbeats():
    sender = PublisherHarness()
    sender.hello(1)
    sender.hello(2, position_of(sender.history.state))
    sender.publisher.on_leader_contact(SECOND_US // 2, "c3")
    now = 0
    while now < 11 * SECOND_US:
        now = sender.publisher.tick(now)
    heartbeats = [b for b in sender.sent[2] if isinstance(b, m.Heartbeat)]
    assert sender.ended[1].reason == "silent"
    assert 2 not in sender.ended
    assert 10 <= len(heartbeats) <= 12
    assert heartbeats[-1].leader == "c3"
    assert heartbeats[-1].leader_silence_ms >= 9_000
    assert not sender.publisher.throttle.in_flight


def test_publisher_throttles_queued_snapshots():
    sender = PublisherHarness(max_concurrent_snapshots=2, max_snapshots_per_s=3)
    for conn in range(6):
        sender.hello(conn)
    assert [sender.has_sent_snapshot(conn) for conn in range(6)] == [True, True, False, False, False, False]
    sender.confirm(0)  # frees a slot for the third snapshot, the last one of this second
    sender.confirm(1)
    assert [sender.has_sent_snapshot(conn) for conn in range(6)] == [True, True, True, False, False, False]
    sender.publisher.disconnected(0, 3)
    assert list(sender.publisher.snapshot_queue) == [4, 5]
    sender.publisher.tick(SECOND_US - 1)
    assert not sender.has_sent_snapshot(4)
    sender.publisher.tick(SECOND_US)
    assert sender.has_sent_snapshot(4)
    assert not sender.has_sent_snapshot(5)
    sender.publisher.disconnected(SECOND_US, 4)
    assert sender.has_sent_snapshot(5)
    assert not sender.publisher.snapshot_queue


def test_unanswered_snapshots_do_not_block_new_brokers():
    sender = PublisherHarness(max_concurrent_snapshots=2, snapshot_slot_timeout_s=1.0)
    for conn in range(3):
        sender.hello(conn)
    assert [sender.has_sent_snapshot(conn) for conn in range(3)] == [True, True, False]
    assert sender.publisher.tick(SECOND_US - 100_000) <= SECOND_US  # the next tick is when the slot times out
    assert not sender.has_sent_snapshot(2)
    sender.publisher.tick(SECOND_US)
    assert sender.has_sent_snapshot(2)
    assert len(sender.publisher.throttle.in_flight) == 3
    sender.publisher.tick(11 * SECOND_US)
    assert not sender.publisher.throttle.in_flight  # disconnected as silent; each slot was released once


def test_publisher_behind_a_broker_waits_and_reports_it_once():
    sender = PublisherHarness()
    ahead = PublisherHarness(versions=5)
    sent = sender.hello(1, position_of(ahead.history.state))
    assert len(sent) == 2
    assert isinstance(sent[1], m.Heartbeat)
    for now in range(SECOND_US, 9 * SECOND_US, SECOND_US):
        sender.publisher.tick(now)
    assert sender.events.count("broker_ahead") == 1
    assert not sender.ended
    grow_history(sender.history, 3)
    sender.publisher.committed(9 * SECOND_US)
    assert [c.version for c in sender.sent[1][-1].changes] == [6]


def test_publisher_reset_to_an_older_state_sends_no_queued_snapshot():
    sender, older = (
        PublisherHarness(max_concurrent_snapshots=1),
        PublisherHarness(versions=1).history.state.snapshot(),
    )
    sender.hello(1)
    sender.hello(2, (1, 3, b"x" * 16))
    sender.history.reset(older)
    sender.publisher.committed(0)
    sender.publisher.disconnected(0, 1)
    assert not sender.has_sent_snapshot(2)
    assert not sender.publisher.snapshot_queue


def test_publisher_registers_brokers_at_new_addresses():
    sender = PublisherHarness()
    for conn, address in enumerate(["h:1", "h:2", "", "bad"]):
        sender.hello(conn, address=address, zone="z", region="r")
    state = sender.history.state
    ops = sender.publisher.subscriptions.registrations(state)
    assert [op.key for op in ops] == ["broker/b0", "broker/b1"]
    assert "invalid_address" in sender.events
    sender.history.apply(
        state.draft_change(1, [ops[0], m.Op("broker/b1", encode_value(Broker("h:2", "y", "r")))])
    )
    assert [op.key for op in sender.publisher.subscriptions.registrations(state)] == ["broker/b1"]
