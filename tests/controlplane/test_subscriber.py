"""The states that a subscriber accepts, and the messages that it answers with."""

import msgspec

from cypressledge.controlplane import messages as m
from cypressledge.controlplane.change_history import compress_snapshot
from cypressledge.controlplane.state import FleetState
from cypressledge.controlplane.state_values import encode_value
from tests.controlplane.distribution_harnesses import (
    SECOND_US,
    PublisherHarness,
    SubscriberHarness,
    changes_after,
    grow_history,
    position_of,
    snapshot_of,
)


def test_messages_of_releases_without_rejections_are_decoded():
    """Control processes and brokers of an older release neither send nor expect rejections."""
    assert m.decode(msgspec.msgpack.encode(["have", 1, 2, b"x"])) == m.AppliedPosition(1, 2, b"x", "")
    assert m.decode(msgspec.msgpack.encode(["seen", True, [["b", 1, 2]]])) == m.AppliedReport(
        True, [("b", 1, 2)], {}
    )
    assert m.decode(msgspec.msgpack.encode(["have", 1, 2, b"x", "why", "later"])).rejection_reason == "why"


def test_subscriber_reports_a_rejection_until_the_settings_are_applied():
    sender, receiver, why = PublisherHarness(), SubscriberHarness().connect(), [""]
    receiver.subscriber.callbacks.changed = lambda state, change: why[0]
    assert receiver.receive(snapshot_of(sender.history.state)).rejection_reason == ""
    for why[0] in ("other classes need a restart", ""):
        held = sender.history.state.version
        grow_history(sender.history)
        assert receiver.receive(m.Deltas(changes_after(sender.history, held))).rejection_reason == why[0]
        receiver.subscriber.disconnected(receiver.now, "closed")
        hello = receiver.connect(receiver.now).sent[-1]
        assert (hello.version, hello.rejection_reason) == (sender.history.state.version, why[0])


def test_subscriber_applies_a_snapshot_and_the_changes_that_follow():
    sender, receiver = PublisherHarness(), SubscriberHarness().connect()
    assert receiver.sent[0] == m.Hello(m.FORMAT, "broker", "b1", 3, address="b1:1", zone="z", region="r")
    snapshot = snapshot_of(sender.history.state)
    assert receiver.receive(snapshot) == m.AppliedPosition(*position_of(sender.history.state))
    assert receiver.applied == [None]
    grow_history(sender.history, 2)
    assert receiver.receive(m.Deltas(changes_after(sender.history, 3))).version == 5
    assert len(receiver.applied) == 3
    receiver.subscriber.disconnected(receiver.now, "reset")
    receiver.connect(receiver.now)
    assert receiver.sent[-1].version == 5
    assert receiver.sent[-1].cluster_id == "line"
    status = receiver.subscriber.status(receiver.now)
    assert status.version == 5
    assert status.counts["changes_applied"] == 2
    assert status.server == "c0"


def test_subscriber_never_returns_to_an_older_state():
    sender, receiver = PublisherHarness(versions=4), SubscriberHarness().connect()
    old = PublisherHarness(versions=2)
    receiver.receive(snapshot_of(sender.history.state))
    held = m.AppliedPosition(*position_of(sender.history.state))
    assert receiver.receive(m.Deltas(changes_after(sender.history, 2))) == held
    assert receiver.counts("update_rejected") == 2
    assert receiver.receive(snapshot_of(old.history.state)) == held
    assert receiver.counts("update_rejected") == 3
    below = sender.history.state.copy()
    change = below.draft_change(1, [])
    low = m.Change(0, 5, [], change.digest)
    assert receiver.receive(m.Deltas([low])) == held
    assert receiver.counts("update_rejected") == 4
    assert receiver.receive(snapshot_of(sender.history.state)) == held
    assert receiver.applied == [None]
    assert receiver.receive(m.Deltas([m.Change(1, 6, [], change.digest)])) == m.SnapshotRequest("gap")
    assert position_of(receiver.subscriber.state) == position_of(sender.history.state)


def test_subscriber_keeps_its_state_if_the_digest_of_a_change_differs():
    sender, receiver = PublisherHarness(), SubscriberHarness().connect()
    changes = m.Deltas(changes_after(sender.history, 0))
    assert receiver.receive(changes) == m.SnapshotRequest("gap")  # it holds no state yet
    receiver.receive(snapshot_of(sender.history.state))
    held = position_of(receiver.subscriber.state)
    grow_history(sender.history)
    good = sender.history.changes[-1]
    assert receiver.receive(m.Deltas([m.Change(1, 4, good.ops, b"x" * 16)])) == m.SnapshotRequest("digest")
    assert position_of(receiver.subscriber.state) == held
    assert receiver.counts("change_digest_differs") == 1
    assert receiver.receive(snapshot_of(sender.history.state)).version == 4


def other_state(epoch: int, version: int) -> FleetState:
    state = FleetState("line")
    for value in range(version):
        state.apply(state.draft_change(epoch, [m.Op("config/Other", encode_value(value))]))
    return state


def test_subscriber_receives_its_version_with_another_digest():
    sender, receiver = PublisherHarness(), SubscriberHarness().connect()
    receiver.receive(snapshot_of(sender.history.state))
    held = position_of(sender.history.state)
    other = snapshot_of(other_state(1, 3))
    assert receiver.receive(other) == m.AppliedPosition(*held)  # it is unknown which of the two is correct
    assert receiver.counts("digest_differs") == 1
    assert receiver.counts("update_rejected") == 1
    below = snapshot_of(other_state(0, 3))
    assert receiver.receive(below) == m.AppliedPosition(*held)
    above = other_state(2, 3)
    assert receiver.receive(snapshot_of(above)) == m.AppliedPosition(*position_of(above))
    receiver.subscriber.state.entries.clear()  # the state in memory is corrupted
    same = other_state(2, 3)
    assert receiver.receive(snapshot_of(same)) == m.AppliedPosition(*position_of(same))
    assert receiver.counts("state_corrupted") == 1
    assert receiver.subscriber.state.digest_matches()
    for _ in range(2):
        receiver.receive(m.Heartbeat(2, 3, b"x" * 16, "c", 0))
    assert receiver.counts("digest_differs") == 3  # a differing heartbeat is counted once per version


def test_subscriber_disconnects_on_invalid_snapshots_other_clusters_and_unexpected_messages():
    good = PublisherHarness().history.state.snapshot()
    bad = m.Snapshot("line", 1, 3, b"x" * 16, good.entries, [])
    other = PublisherHarness().history.state.copy()
    other.cluster_id = "other"
    snapshots = [
        m.CompleteSnapshot(packed)
        for packed in (b"x", compress_snapshot(bad), compress_snapshot(other.snapshot()))
    ]
    for message in (
        *snapshots,
        m.HelloAccepted("c", 1, "line"),
        m.AppliedPosition(1, 1, b""),
        m.Disconnect("stopping"),
    ):
        receiver = SubscriberHarness(server_count=2, cluster_id="line").connect()
        receiver.receive(message)
        assert len(receiver.ended) == 1
        assert not receiver.applied
        assert receiver.subscriber.selector.current == 1
    receiver = SubscriberHarness(server_count=2, cluster_id="line").connect(cluster_id="other")
    assert receiver.ended == ["other cluster"]
    receiver = SubscriberHarness().connect()
    receiver.receive(m.CompleteSnapshot(compress_snapshot(good)))
    receiver.subscriber.disconnected(receiver.now, "x")
    receiver.connect(receiver.now, "other")
    assert receiver.ended == ["other cluster"]
    assert position_of(receiver.subscriber.state)[1] == 3


def test_subscriber_reports_how_stale_its_state_is():
    receiver = SubscriberHarness(server_count=2).connect()
    assert receiver.subscriber.stale_ms(receiver.now + 2 * SECOND_US) >= 2_000
    receiver.receive(m.Heartbeat(0, 0, b"", "c3", 400))
    assert receiver.subscriber.stale_ms(receiver.now) == 400
    receiver.receive(m.Heartbeat(0, 0, b"", "c3", 9_000))  # an older contact is ignored
    receiver.receive(m.Heartbeat(0, 0, b"", "c3", -1))
    receiver.subscriber.disconnected(receiver.now, "reset")
    assert receiver.subscriber.stale_ms(receiver.now + SECOND_US) == 1_400
