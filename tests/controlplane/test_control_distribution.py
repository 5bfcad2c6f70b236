"""How brokers follow the history: each rule by itself, then both sides in a small world that goes wrong."""

import heapq
import itertools
import random
from collections import defaultdict
from itertools import pairwise

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cypressledge.controlplane import messages as m
from cypressledge.controlplane.change_history import ChangeHistory, compress_snapshot
from cypressledge.controlplane.publisher import Publisher, PublisherLimits
from cypressledge.controlplane.server_selection import Server, order
from cypressledge.controlplane.state import FleetState
from cypressledge.controlplane.state_values import Broker, Engine, encode_value
from cypressledge.controlplane.subscriber import (
    SILENCE_TIMEOUT,
    BrokerIdentity,
    ConfigSubscriber,
    SubscriberCallbacks,
)

S = 1_000_000  # µs


def grow(history: ChangeHistory, count: int = 1, epoch: int = 1) -> None:
    for _ in range(count):
        n = history.state.version + 1
        ops = [m.Op(f"engine/e{n % 7}", encode_value(Engine(f"h{n}:1")) if n % 5 else None)]
        history.apply(history.state.draft_change(epoch, ops, request_id=f"r{n}"))


def where(state: FleetState) -> tuple:
    return state.epoch, state.version, state.digest


class PublisherHarness:
    """A publisher and what it says."""

    def __init__(self, versions: int = 3, **limits) -> None:
        self.history = ChangeHistory(FleetState("line"))
        grow(self.history, versions)
        self.sent, self.ended, self.events = defaultdict(list), {}, []
        self.publisher = Publisher(
            "c1",
            7,
            self.history,
            PublisherLimits(**limits),
            lambda conn, msg: self.sent[conn].append(msg),
            self.ended.__setitem__,
            lambda name, **what: self.events.append(name),
        )

    def hello(self, conn: int, position: tuple = (0, 0, b""), now: int = 0, **more) -> list:
        lineage = "line" if position[1] else ""
        told = {
            "format": m.FORMAT,
            "role": "broker",
            "name": f"b{conn}",
            "instance_id": 1,
            "cluster_id": lineage,
            "epoch": position[0],
            "version": position[1],
            "digest": position[2],
        } | more
        self.publisher.connected(now, conn, m.Hello(**told))
        return self.sent[conn]

    def have(self, conn: int, now: int = 0, position: tuple | None = None) -> None:
        self.publisher.received(now, conn, m.AppliedPosition(*(position or where(self.history.state))))

    def whole(self, conn: int) -> bool:
        return any(isinstance(msg, m.CompleteSnapshot) for msg in self.sent[conn])


def test_publisher_sends_changes_or_a_snapshot_and_one_at_a_time():
    desk = PublisherHarness()
    welcome, beat, whole = desk.hello(1)
    assert welcome == m.HelloAccepted("c1", 7, "line")
    assert beat.leader_silence_ms == -1
    assert isinstance(whole, m.CompleteSnapshot)
    welcome, beat, deltas = desk.hello(2, desk.history.position_at(1))
    assert [c.version for c in deltas.changes] == [2, 3]
    grow(desk.history, 2)
    desk.publisher.committed(0)
    assert len(desk.sent[2]) == 3  # the first is still out
    desk.have(2, position=desk.history.position_at(3))
    assert [c.version for c in desk.sent[2][3].changes] == [4, 5]
    desk.publisher.received(0, 2, m.SnapshotRequest("digest"))
    assert isinstance(desk.sent[2][4], m.CompleteSnapshot)
    assert "snapshot_requested" in desk.events
    desk.have(2)
    assert desk.publisher.applied_versions() == {"b1": (1, 0), "b2": (1, 5)}
    assert len(desk.sent[2]) == 5
    assert len(desk.hello(3, where(desk.history.state))) == 2  # has all
    desk.history.compact()
    assert isinstance(desk.hello(4, (1, 4, b"x" * 16))[2], m.CompleteSnapshot)
    assert "digest_differs" not in desk.events
    assert isinstance(desk.hello(5, (1, 5, b"x" * 16))[2], m.CompleteSnapshot)
    assert "digest_differs" in desk.events
    assert len(PublisherHarness(versions=0).hello(1)) == 2  # nothing to send yet


def test_publisher_does_not_repeat_what_was_rejected():
    desk = PublisherHarness()
    first = desk.history.position_at(1)
    desk.hello(1, first)
    desk.have(1, position=first)  # changes not taken: a snapshot
    assert isinstance(desk.sent[1][-1], m.CompleteSnapshot)
    desk.have(1, position=first)  # nor that: nothing before there is news
    desk.publisher.committed(0)
    assert isinstance(desk.sent[1][-1], m.CompleteSnapshot)
    assert len(desk.sent[1]) == 4
    assert "snapshot_rejected" in desk.events
    grow(desk.history)
    desk.publisher.committed(0)
    assert isinstance(desk.sent[1][-1], m.Deltas)


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
def test_publisher_rejects_who_does_not_fit(more, why):
    desk = PublisherHarness()
    desk.hello(1, **more)
    assert desk.ended[1].reason == why
    assert not desk.publisher.subscriptions
    assert f"disconnected_{why}" in desk.events


@pytest.mark.parametrize(
    "message",
    [m.Heartbeat(1, 1, b"", "", 0), m.AppliedPosition(1, 3, b""), m.SnapshotRequest("x"), m.Disconnect("x")],
)
def test_publisher_ends_nonsense(message):
    desk = PublisherHarness()
    desk.hello(1, where(desk.history.state))
    desk.publisher.received(0, 1, message)
    assert desk.ended[1].reason == "nonsense"
    desk.publisher.received(0, 1, message)  # what was under way already
    desk.publisher.gone(0, 1)


def test_publisher_replaces_refuses_when_full_and_says_who_is_here():
    desk = PublisherHarness(max_subscribers=2)
    desk.hello(1)
    desk.hello(2)
    assert desk.publisher.report(False) == m.AppliedReport(False, [("b1", 1, 0), ("b2", 1, 0)])
    desk.hello(3)
    assert desk.ended[3].reason == "full"
    assert desk.ended[3].retry_after_ms > 0
    desk.hello(4, name="b1", instance_id=9)
    assert desk.ended[1].reason == "replaced"
    assert desk.publisher.applied_versions()["b1"] == (9, 0)
    desk.have(2)
    assert desk.publisher.report(False) == m.AppliedReport(False, [("b1", 9, 0), ("b2", 1, 3)])
    assert desk.publisher.report(False) is None
    desk.publisher.gone(0, 2)
    assert desk.publisher.report(False) == m.AppliedReport(False, [("b2", 0, -1)])
    assert desk.publisher.report(True) == m.AppliedReport(True, [("b1", 9, 0)])
    desk.publisher.stop()
    assert desk.ended[4].reason == "stopping"
    assert desk.publisher.report(True) == m.AppliedReport(True, [])


def test_publisher_tells_who_rejected_settings():
    desk, why = PublisherHarness(), "other classes need a restart"
    desk.hello(1)
    desk.hello(2, where(desk.history.state), rejection_reason=why)  # it was so before it came here
    assert desk.publisher.report(False) == m.AppliedReport(False, [("b1", 1, 0), ("b2", 1, 3)], {"b2": why})
    desk.publisher.received(
        0, 1, m.AppliedPosition(*where(desk.history.state), "  a\nlong\x1b[2J" + "x" * 999)
    )
    told = desk.publisher.report(False).rejections["b1"]
    assert told.startswith("a long?[2Jxxx")
    assert len(told) == m.MAX_REJECTION_REASON_LENGTH == 200
    grow(desk.history)
    desk.publisher.committed(0)
    desk.publisher.received(0, 1, m.AppliedPosition(*where(desk.history.state), "b"))
    desk.have(2)
    assert desk.publisher.report(False) == m.AppliedReport(False, [("b1", 1, 4), ("b2", 1, 4)], {"b1": "b"})
    assert desk.publisher.report(True).rejections == {"b1": "b"}
    desk.publisher.gone(0, 1)
    assert desk.publisher.report(False) == m.AppliedReport(False, [("b1", 0, -1)], {})
    desk.hello(3, (1, 4, b"x" * 16))
    desk.publisher.report(False)
    desk.publisher.received(
        0, 3, m.AppliedPosition(*where(desk.history.state), why)
    )  # a snapshot of the same version
    assert desk.publisher.report(False) == m.AppliedReport(False, [("b3", 1, 4)], {"b3": why})


def test_refusals_of_a_whole_fleet_fit_in_a_frame():
    desk, most = PublisherHarness(max_subscribers=20_000), 20_000
    for conn in range(most):
        desk.hello(conn, where(desk.history.state), name=f"b{conn:063d}", rejection_reason="\u20ac" * 999)
    seen = desk.publisher.report(True)
    assert len(m.encode(seen)) < m.MAX_FRAME_BYTES
    assert len(seen.rejections) == len(seen.brokers) == most


def test_words_without_refusals_are_read_by_old_and_new():
    """A control process or broker of the release before knows no refusals."""
    assert m.decode(msgspec.msgpack.encode(["have", 1, 2, b"x"])) == m.AppliedPosition(1, 2, b"x", "")
    assert m.decode(msgspec.msgpack.encode(["seen", True, [["b", 1, 2]]])) == m.AppliedReport(
        True, [("b", 1, 2)], {}
    )
    assert m.decode(msgspec.msgpack.encode(["have", 1, 2, b"x", "why", "later"])).rejection_reason == "why"


def test_subscriber_says_what_was_rejected_until_it_is_taken():
    desk, seat, why = PublisherHarness(), SubscriberHarness().greet(), [""]
    seat.subscriber.callbacks.changed = lambda state, change: why[0]
    assert seat.take(m.CompleteSnapshot(desk.history.compressed_snapshot())).rejection_reason == ""
    for why[0] in ("other classes need a restart", ""):
        held = desk.history.state.version
        grow(desk.history)
        assert seat.take(m.Deltas(after(desk.history, held))).rejection_reason == why[0]
        seat.subscriber.disconnected(seat.now, "closed")
        hello = seat.greet(seat.now).said[-1]
        assert (hello.version, hello.rejection_reason) == (desk.history.state.version, why[0])


def test_publisher_bounds_names_nobody_asks_for():
    desk = PublisherHarness(max_subscribers=1)
    for conn in range(20):
        desk.hello(conn)
        desk.publisher.gone(0, conn)
        assert len(desk.publisher._changed) <= 4
    assert desk.publisher.report(False) == m.AppliedReport(True, [])


def test_publisher_ends_the_silent_and_beats():
    desk = PublisherHarness()
    desk.hello(1)
    desk.hello(2, where(desk.history.state))
    desk.publisher.leader_heard(S // 2, "c3")
    now = 0
    while now < 11 * S:
        now = desk.publisher.tick(now)
    beats = [b for b in desk.sent[2] if isinstance(b, m.Heartbeat)]
    assert desk.ended[1].reason == "silent"
    assert 2 not in desk.ended
    assert 10 <= len(beats) <= 12
    assert beats[-1].leader == "c3"
    assert beats[-1].leader_silence_ms >= 9_000
    assert not desk.publisher.throttle.in_flight


def test_publisher_rations_snapshots_in_line():
    desk = PublisherHarness(max_concurrent_snapshots=2, max_snapshots_per_s=3)
    for conn in range(6):
        desk.hello(conn)
    assert [desk.whole(conn) for conn in range(6)] == [True, True, False, False, False, False]
    desk.have(0)  # gives the third, the last of this second
    desk.have(1)
    assert [desk.whole(conn) for conn in range(6)] == [True, True, True, False, False, False]
    desk.publisher.gone(0, 3)
    assert list(desk.publisher.snapshot_queue) == [4, 5]
    desk.publisher.tick(S - 1)
    assert not desk.whole(4)
    desk.publisher.tick(S)
    assert desk.whole(4)
    assert not desk.whole(5)
    desk.publisher.gone(S, 4)
    assert desk.whole(5)
    assert not desk.publisher.snapshot_queue


def test_publisher_lets_newcomers_past_those_that_never_answer():
    desk = PublisherHarness(max_concurrent_snapshots=2, snapshot_slot_timeout_s=1.0)
    for conn in range(3):
        desk.hello(conn)
    assert [desk.whole(conn) for conn in range(3)] == [True, True, False]
    assert desk.publisher.tick(S - 100_000) <= S  # it wakes for it
    assert not desk.whole(2)
    desk.publisher.tick(S)
    assert desk.whole(2)
    assert len(desk.publisher.throttle.in_flight) == 3
    desk.publisher.tick(11 * S)
    assert not desk.publisher.throttle.in_flight  # ended as silent, and counted once


def test_publisher_behind_a_broker_waits_and_says_so_once():
    desk = PublisherHarness()
    ahead = PublisherHarness(versions=5)
    sent = desk.hello(1, where(ahead.history.state))
    assert len(sent) == 2
    assert isinstance(sent[1], m.Heartbeat)
    for now in range(S, 9 * S, S):
        desk.publisher.tick(now)
    assert desk.events.count("broker_ahead") == 1
    assert not desk.ended
    grow(desk.history, 3)
    desk.publisher.committed(9 * S)
    assert [c.version for c in desk.sent[1][-1].changes] == [6]


def test_publisher_put_back_sends_nobody_in_line_an_older_snapshot():
    desk, older = (
        PublisherHarness(max_concurrent_snapshots=1),
        PublisherHarness(versions=1).history.state.snapshot(),
    )
    desk.hello(1)
    desk.hello(2, (1, 3, b"x" * 16))
    desk.history.reset(older)
    desk.publisher.committed(0)
    desk.publisher.gone(0, 1)
    assert not desk.whole(2)
    assert not desk.publisher.snapshot_queue


def test_publisher_registers_who_moved():
    desk = PublisherHarness()
    for conn, address in enumerate(["h:1", "h:2", "", "bad"]):
        desk.hello(conn, address=address, zone="z", region="r")
    state = desk.history.state
    ops = desk.publisher.registrations(state)
    assert [op.key for op in ops] == ["broker/b0", "broker/b1"]
    assert "invalid_address" in desk.events
    desk.history.apply(
        state.draft_change(1, [ops[0], m.Op("broker/b1", encode_value(Broker("h:2", "y", "r")))])
    )
    assert [op.key for op in desk.publisher.registrations(state)] == ["broker/b1"]


class SubscriberHarness:
    """A subscriber and what it does."""

    def __init__(self, servers: int = 1, **more) -> None:
        self.said, self.tried, self.ended, self.took, self.events = [], [], [], [], []
        near = [Server(f"c{i}", f"c{i}:1", "" if i else "z", "r" if i < 2 else "") for i in range(servers)]
        self.subscriber = ConfigSubscriber(
            BrokerIdentity("b1", 3, "z", "r", "b1:1"),
            near,
            5,
            SubscriberCallbacks(
                self.said.append,
                self.tried.append,
                self.ended.append,
                lambda state, change: self.took.append(change),
                lambda name, **what: self.events.append(name),
            ),
            **more,
        )

    def greet(self, now: int = 0, lineage: str = "line") -> "SubscriberHarness":
        """Wait until it connects; let it."""
        while self.subscriber.phase.value != "connecting":
            now = max(now, self.subscriber.tick(now))
        self.subscriber.connected(now)
        self.subscriber.received(now, m.HelloAccepted("c", 1, lineage))
        self.now = now
        return self

    def take(self, *messages) -> object:
        """What it last said to them."""
        for message in messages:
            self.subscriber.received(self.now, message)
        return self.said[-1]

    def counts(self, name: str) -> int:
        return self.subscriber.counters.counts[name]


def after(history: ChangeHistory, version: int) -> list:
    return history.changes_since(*history.position_at(version))


def test_order_is_zone_region_then_by_hash():
    servers = [Server(f"c{i}", "", z, r) for i, (z, r) in enumerate(["xp", "zr", "yr", "zr", "xp", "yr"])]
    found = [order(f"b{i}", "z", "r", servers) for i in range(64)]
    assert {tuple(s.zone for s in one) for one in found} == {("z", "z", "y", "y", "x", "x")}
    assert 20 < sum(one[0].name == "c1" for one in found) < 44


def test_subscriber_takes_a_snapshot_and_what_follows():
    desk, seat = PublisherHarness(), SubscriberHarness().greet()
    assert seat.said[0] == m.Hello(m.FORMAT, "broker", "b1", 3, address="b1:1", zone="z", region="r")
    whole = m.CompleteSnapshot(desk.history.compressed_snapshot())
    assert seat.take(whole) == m.AppliedPosition(*where(desk.history.state))
    assert seat.took == [None]
    grow(desk.history, 2)
    assert seat.take(m.Deltas(after(desk.history, 3))).version == 5
    assert len(seat.took) == 3
    seat.subscriber.disconnected(seat.now, "reset")
    seat.greet(seat.now)
    assert seat.said[-1].version == 5
    assert seat.said[-1].cluster_id == "line"
    status = seat.subscriber.status(seat.now)
    assert status.version == 5
    assert status.counts["changes_applied"] == 2
    assert status.server == "c0"


def test_subscriber_never_goes_back():
    desk, seat = PublisherHarness(versions=4), SubscriberHarness().greet()
    old = PublisherHarness(versions=2)
    seat.take(m.CompleteSnapshot(desk.history.compressed_snapshot()))
    held = m.AppliedPosition(*where(desk.history.state))
    assert seat.take(m.Deltas(after(desk.history, 2))) == held
    assert seat.counts("update_rejected") == 2
    assert seat.take(m.CompleteSnapshot(old.history.compressed_snapshot())) == held
    assert seat.counts("update_rejected") == 3
    below = desk.history.state.copy()
    change = below.draft_change(1, [])
    low = m.Change(0, 5, [], change.digest)
    assert seat.take(m.Deltas([low])) == held
    assert seat.counts("update_rejected") == 4
    assert seat.take(m.CompleteSnapshot(desk.history.compressed_snapshot())) == held
    assert seat.took == [None]
    assert seat.take(m.Deltas([m.Change(1, 6, [], change.digest)])) == m.SnapshotRequest("gap")
    assert where(seat.subscriber.state) == where(desk.history.state)


def test_subscriber_keeps_what_it_had_where_a_digest_differs():
    desk, seat = PublisherHarness(), SubscriberHarness().greet()
    assert seat.take(m.Deltas(after(desk.history, 0))) == m.SnapshotRequest("gap")  # holds nothing
    seat.take(m.CompleteSnapshot(desk.history.compressed_snapshot()))
    held = where(seat.subscriber.state)
    grow(desk.history)
    good = desk.history.changes[-1]
    assert seat.take(m.Deltas([m.Change(1, 4, good.ops, b"x" * 16)])) == m.SnapshotRequest("digest")
    assert where(seat.subscriber.state) == held
    assert seat.counts("change_digest_differs") == 1
    assert seat.take(m.CompleteSnapshot(desk.history.compressed_snapshot())).version == 4


def other_at(epoch: int, version: int) -> FleetState:
    state = FleetState("line")
    for n in range(version):
        state.apply(state.draft_change(epoch, [m.Op("config/Other", encode_value(n))]))
    return state


def test_subscriber_at_one_version_with_two_digests():
    desk, seat = PublisherHarness(), SubscriberHarness().greet()
    seat.take(m.CompleteSnapshot(desk.history.compressed_snapshot()))
    held = where(desk.history.state)
    assert seat.take(m.CompleteSnapshot(compress_snapshot(other_at(1, 3).snapshot()))) == m.AppliedPosition(
        *held
    )  # who is right isn't known
    assert seat.counts("digest_differs") == 1
    assert seat.counts("update_rejected") == 1
    assert seat.take(m.CompleteSnapshot(compress_snapshot(other_at(0, 3).snapshot()))) == m.AppliedPosition(
        *held
    )  # below
    above = other_at(2, 3)
    assert seat.take(m.CompleteSnapshot(compress_snapshot(above.snapshot()))) == m.AppliedPosition(
        *where(above)
    )
    seat.subscriber.state.entries.clear()  # memory spoilt
    same = other_at(2, 3)
    assert seat.take(m.CompleteSnapshot(compress_snapshot(same.snapshot()))) == m.AppliedPosition(
        *where(same)
    )
    assert seat.counts("state_corrupted") == 1
    assert seat.subscriber.state.digest_matches()
    for _ in range(2):
        seat.take(m.Heartbeat(2, 3, b"x" * 16, "c", 0))
    assert seat.counts("digest_differs") == 3  # a beat that differs: once a version


def test_subscriber_leaves_bad_snapshots_other_lineages_and_nonsense():
    good = PublisherHarness().history.state.snapshot()
    bad = m.Snapshot("line", 1, 3, b"x" * 16, good.entries, [])
    other = PublisherHarness().history.state.copy()
    other.cluster_id = "other"
    wholes = [
        m.CompleteSnapshot(packed)
        for packed in (b"x", compress_snapshot(bad), compress_snapshot(other.snapshot()))
    ]
    for message in (
        *wholes,
        m.HelloAccepted("c", 1, "line"),
        m.AppliedPosition(1, 1, b""),
        m.Disconnect("stopping"),
    ):
        seat = SubscriberHarness(servers=2, cluster_id="line").greet()
        seat.take(message)
        assert len(seat.ended) == 1
        assert not seat.took
        assert seat.subscriber.selector.current == 1
    seat = SubscriberHarness(servers=2, cluster_id="line").greet(lineage="other")
    assert seat.ended == ["lineage"]
    seat = SubscriberHarness().greet()
    seat.take(m.CompleteSnapshot(compress_snapshot(good)))
    seat.subscriber.disconnected(seat.now, "x")
    seat.greet(seat.now, "other")
    assert seat.ended == ["lineage"]
    assert where(seat.subscriber.state)[1] == 3


def test_subscriber_waits_longer_each_time_and_honours_refusals():
    seat, now, tries = SubscriberHarness(servers=3), 0, []
    for _ in range(300):
        due = seat.subscriber.tick(now)
        if len(seat.tried) > len(tries):
            tries.append(now)
            seat.subscriber.disconnected(now, "refused")
        else:
            now = due
    gaps = [b - a for a, b in itertools.pairwise(tries)]
    assert all(gap <= min(0.1 * S * 2**i, 5 * S) for i, gap in enumerate(gaps))
    assert len(gaps) > 100
    assert max(gaps[10:]) > 4 * S
    assert min(gaps[10:]) < S
    assert [s.name for s in seat.tried[:4]] == ["c0", "c1", "c2", "c0"]
    seat = SubscriberHarness().greet()
    seat.take(m.Disconnect("full", 7_000))
    assert 7 * S <= seat.subscriber.tick(seat.now) - seat.now <= 9 * S
    seat = SubscriberHarness(servers=2).greet()
    seat.take(m.Disconnect("full", 7_000))
    seat.greet(seat.now)
    seat.subscriber.disconnected(seat.now, "x")
    assert seat.subscriber.tick(seat.now) - seat.now <= S
    assert seat.subscriber.selector.current == 1


def test_a_connection_that_held_makes_the_waits_short_again():
    seat = SubscriberHarness()
    for held in [0] * 8 + [5 * S] * 8:
        seat.greet(seat.now if seat.said else 0)
        seat.subscriber.disconnected(seat.now + held, "reset")
        wait = seat.subscriber.tick(seat.now + held) - seat.now - held
        if held:
            assert wait <= S // 10
    assert (
        ConfigSubscriber(BrokerIdentity("b", 1), [], 1, SubscriberCallbacks(*[None] * 5)).tick(0) > S
    )  # nobody to follow


def test_subscriber_leaves_the_silent_and_times_out():
    seat = SubscriberHarness(servers=2)
    now = seat.subscriber.tick(0)
    due = seat.subscriber.tick(now)
    assert due - now == 1.5 * S
    assert seat.tried[0].name == "c0"
    seat.subscriber.tick(due)
    assert seat.ended == ["connect timeout"]
    seat.greet(due)
    assert seat.tried[1].name == "c1"
    seat.subscriber.tick(seat.now + SILENCE_TIMEOUT - 1)
    assert len(seat.ended) == 1
    seat.subscriber.tick(seat.now + SILENCE_TIMEOUT)
    assert seat.ended[1:] == ["silent"]


def test_subscriber_goes_home_and_back_where_home_fails():
    seat = SubscriberHarness(servers=3)
    now = seat.subscriber.tick(0)
    seat.subscriber.tick(now)
    seat.subscriber.disconnected(now, "refused")
    seat.greet(now)
    assert seat.tried[-1].name == "c1"
    start, waits = seat.now, []
    for _ in range(2):
        while seat.tried[-1].name == "c1":
            due = seat.subscriber.tick(seat.now)
            seat.now = min(max(due, seat.now), seat.now + S)
            if seat.subscriber.phase.value == "following":
                seat.subscriber.received(seat.now, m.Heartbeat(0, 0, b"", "", 0))
        waits.append(seat.now - start)
        assert seat.ended[-1] == "nearer server"
        seat.subscriber.disconnected(seat.now, "refused")
        seat.greet(seat.now)
        start = seat.now
        assert seat.tried[-1].name == "c1"
    assert 20 * S <= waits[0] <= 41 * S
    assert 40 * S <= waits[1] <= 82 * S


def test_subscriber_says_how_stale_it_is():
    seat = SubscriberHarness(servers=2).greet()
    assert seat.subscriber.stale_ms(seat.now + 2 * S) >= 2_000
    seat.take(m.Heartbeat(0, 0, b"", "c3", 400))
    assert seat.subscriber.stale_ms(seat.now) == 400
    seat.take(m.Heartbeat(0, 0, b"", "c3", 9_000))  # another that heard less takes nothing back
    seat.take(m.Heartbeat(0, 0, b"", "c3", -1))
    seat.subscriber.disconnected(seat.now, "reset")
    assert seat.subscriber.stale_ms(seat.now + S) == 1_400


class World:
    """Control processes and brokers over connections that delay, go dark and break, in virtual time."""

    def __init__(self, seed: int, sites: int = 3, brokers: int = 4) -> None:
        self.random, self.now, self.heap, self.order = random.Random(seed), 0, [], itertools.count()
        self.log: list[m.Change] = []
        self.truth = FleetState("line")
        self.digests = {0: self.truth.digest}
        self.conns: dict[int, dict] = {}  # id -> site, broker, the last arrival each way, what is out
        self.ids = itertools.count(1)
        self.spoil = 0
        self.sites = [self._site(i, ChangeHistory(FleetState("line"))) for i in range(sites)]
        self.brokers = [self._broker(i, 0) for i in range(brokers)]
        self.events: set[str] = set()

    def _site(self, i: int, history: ChangeHistory) -> Publisher:
        limits = PublisherLimits(
            answer_timeout_s=2.0,
            max_concurrent_snapshots=2,
            max_snapshots_per_s=5,
            max_subscribers=3,
            full_retry_after_ms=500,
        )
        return Publisher(
            f"c{i}", next(self.ids), history, limits, self._to_broker, self._goodbye, self._event
        )

    def _event(self, name: str, **what) -> None:
        self.events.add(name)

    def _broker(self, i: int, life: int) -> ConfigSubscriber:
        servers = [Server(f"c{k}", f"c{k}:1", f"z{k % 2}", "r") for k in range(3)]
        seen = [(0, 0)]

        def changed(state: FleetState, change) -> None:
            assert state.epoch >= seen[-1][0], "went back"
            assert state.version > seen[-1][1], "went back"
            assert state.digest == self.digests[state.version], "not the history's"
            assert state.digest_matches(), "not the history's"
            seen.append(state.position)

        def end(why: str) -> None:
            self._cut(i)

        return ConfigSubscriber(
            BrokerIdentity(f"b{i}", life, f"z{i % 2}", "r"),
            servers,
            self.random.randrange(1 << 30),
            SubscriberCallbacks(
                lambda msg: self._to_site(i, msg),
                lambda server: self._dial(i, server),
                end,
                changed,
                self._event,
            ),
        )

    def later(self, delay: int, act, *args) -> None:
        heapq.heappush(self.heap, (self.now + delay, next(self.order), act, args))

    def _link(self, i: int):
        return next(((c, link) for c, link in self.conns.items() if link["broker"] == i), (0, None))

    def _cut(self, i: int) -> None:
        """The broker's side is closed at once; the site hears of it later."""
        conn, link = self._link(i)
        if link:
            del self.conns[conn]
            self.later(self.random.randrange(S), self.sites[link["site"]].gone, self.now, conn)

    def _dial(self, i: int, server: Server) -> None:
        assert self._link(i)[1] is None, "two connections of one broker"
        conn, site = next(self.ids), int(server.name[1:])
        self.conns[conn] = {
            "site": site,
            "broker": i,
            "dark": False,
            "there": 0,
            "back": 0,
            "out": 0,
            "hello": False,
        }
        self.later(self.random.randrange(S // 10), self._up, conn)

    def _up(self, conn: int) -> None:
        if conn in self.conns:
            self.brokers[self.conns[conn]["broker"]].connected(self.now)

    def _frame(self, conn: int, way: str, msg: m.Message, act) -> None:
        link = self.conns.get(conn)
        if link and not link["dark"]:
            link[way] = max(link[way], self.now + self.random.randrange(S // 5))
            self.later(link[way] - self.now, act, conn, m.decode(m.encode(msg)[4:]))

    def _to_site(self, i: int, msg: m.Message) -> None:
        self._frame(self._link(i)[0], "there", msg, self._at_site)

    def _at_site(self, conn: int, msg: m.Message) -> None:
        link = self.conns.get(conn)
        if not link:
            return
        link["out"] = max(link["out"] - isinstance(msg, m.AppliedPosition | m.SnapshotRequest), 0)
        hello, link["hello"] = not link["hello"], True
        site = self.sites[link["site"]]
        site.connected(self.now, conn, msg) if hello else site.received(self.now, conn, msg)

    def _to_broker(self, conn: int, msg: m.Message) -> None:
        link = self.conns.get(conn)
        if link and isinstance(msg, m.Deltas | m.CompleteSnapshot):
            link["out"] += 1
            assert link["out"] <= 1, "more than one message out"
            if self.spoil:
                self.spoil -= 1
                msg = self._spoilt(msg)
        self._frame(conn, "back", msg, self._at_broker)

    def _spoilt(self, msg: m.Message) -> m.Message:
        if isinstance(msg, m.CompleteSnapshot):
            cut = self.random.randrange(len(msg.compressed))
            return m.CompleteSnapshot(msg.compressed[:cut] + b"\x55" + msg.compressed[cut + 1 :][:-1])
        *rest, last = msg.changes
        bad = m.Change(last.epoch, last.version, [m.Op("engine/bad", b"\x01")], last.digest)
        return m.Deltas([*rest, bad])

    def _at_broker(self, conn: int, msg: m.Message) -> None:
        if conn in self.conns:
            self.brokers[self.conns[conn]["broker"]].received(self.now, msg)

    def _goodbye(self, conn: int, goodbye: m.Disconnect) -> None:
        self._frame(conn, "back", goodbye, self._at_broker)
        self.later(S // 2, self._down, conn)

    def _down(self, conn: int) -> None:
        link = self.conns.pop(conn, None)
        if link:
            self.brokers[link["broker"]].disconnected(self.now, "reset")

    def run(self, span: int) -> None:
        end = self.now + span
        while True:
            due = [site.tick(self.now) for site in self.sites] + [b.tick(self.now) for b in self.brokers]
            self.now = max(self.now, min(due + [event[0] for event in self.heap[:1]]))
            if self.now > end:
                self.now = end
                return
            while self.heap and self.heap[0][0] <= self.now:
                act, args = heapq.heappop(self.heap)[2:]
                act(*args)

    def commit(self, n: int, epoch_step: int) -> None:
        """The history grows; each control process learns of it when it catches up."""
        for _ in range(n):
            v = self.truth.version + 1
            ops = [m.Op(f"engine/e{v % 5}", encode_value(Engine(f"h{v}:1")) if v % 4 else None)]
            change = self.truth.draft_change(self.truth.epoch + epoch_step, ops, request_id=f"r{v}")
            epoch_step = 0
            self.truth.apply(change)
            self.log.append(change)
            self.digests[v] = change.digest

    def catch_up(self, i: int, most: int) -> None:
        site = self.sites[i]
        for change in self.log[site.history.state.version :][:most]:
            site.history.apply(change)
        site.leader_heard(self.now, "c0")
        site.committed(self.now)

    def fault(self, kind: str, n: int) -> None:
        site, broker = n % len(self.sites), n % len(self.brokers)
        conn, link = self._link(broker)
        if kind == "break" and link:
            self.later(0, self._down, conn)
            self.later(S // 3, self.sites[link["site"]].gone, self.now, conn)
        elif kind == "dark" and link:
            link["dark"] = True
        elif kind == "new broker":
            self._cut(broker)
            self.brokers[broker] = self._broker(broker, n)
        elif kind == "new site":
            for c in [c for c, held in self.conns.items() if held["site"] == site]:
                self._down(c)
            history = ChangeHistory(FleetState.restore(self.sites[site].history.state.snapshot()))
            self.sites[site] = self._site(site, history)
        elif kind == "compact":
            self.sites[site].history.compact(keep=n % 3)
        elif kind == "spoil":
            self.spoil += 1


FAULTS = ["break", "dark", "new broker", "new site", "compact", "spoil", "none"]
_steps = st.lists(
    st.tuples(
        st.sampled_from(FAULTS),
        st.integers(0, 11),
        st.integers(0, 4),
        st.integers(0, 1),
        st.integers(0, 2),
        st.integers(0, 3),
        st.integers(0, 4 * S),
    ),
    max_size=25,
)


@given(st.integers(0, 1 << 30), _steps)
@settings(max_examples=60, derandomize=True, deadline=None)
def test_no_broker_goes_back_and_all_end_equal_to_the_history(seed, steps):
    world = World(seed)
    for kind, n, commits, epoch, site, most, span in steps:
        world.commit(commits, epoch)
        world.catch_up(site, most)
        world.fault(kind, n)
        world.run(span)
    world.spoil = 0
    world.commit(1, 1)
    for site in range(3):
        world.catch_up(site, len(world.log))
    world.run(40 * S)
    want = where(world.truth)
    assert [where(b.state) for b in world.brokers] == [want] * 4
    assert all(b.state.snapshot() == world.truth.snapshot() for b in world.brokers)
    held = {name: v for site in world.sites for name, (_, v) in site.applied_versions().items()}
    assert held == {f"b{i}": want[1] for i in range(4)}
    assert not any(site.throttle.in_flight for site in world.sites)
    assert max(b.stale_ms(world.now) for b in world.brokers) <= 42_000


def outage(seat: SubscriberHarness, until: int) -> list[tuple[int, str]]:
    """Refuse each try until then; when each was made, and at whom."""
    now, made = 0, []
    while now < until:
        due = seat.subscriber.tick(now)
        if len(seat.tried) > len(made):
            made.append((now, seat.tried[-1].name))
            seat.subscriber.disconnected(now, "refused")
            due = seat.subscriber.tick(now)
        now = max(now, due)
    return made


def test_subscriber_tries_all_in_a_row_and_rests_between_rounds():
    seat = SubscriberHarness(servers=8)
    made = outage(seat, 60 * S)
    names = [name for _, name in made]
    assert names == ([s.name for s in seat.subscriber.selector.servers] * len(names))[: len(names)]
    waits = [b - a for (a, _), (b, _) in pairwise(made)]
    within = [w for i, w in enumerate(waits) if (i + 1) % 8]
    between = waits[7::8]
    assert max(within) <= 100_000  # the one that is up is found within a second
    assert all(w <= min(100_000 << (i + 1), 5 * S) for i, w in enumerate(between))
    assert max(between) > S
    assert len(made) < 8 * 40


def test_subscriber_leaves_a_server_that_hears_no_primary():
    seat, left = SubscriberHarness(servers=3).greet(), []
    stale = m.Heartbeat(0, 0, b"", "c1", 11_000)
    now = seat.now
    while now < 100 * S:
        now += S
        seat.subscriber.tick(now)
        if seat.subscriber.phase.value == "connecting":
            seat.subscriber.connected(now)
            seat.subscriber.received(now, m.HelloAccepted("c", 1, "line"))
        seat.subscriber.received(now, stale if now < 80 * S else m.Heartbeat(0, 0, b"", "c1", 100))
        if seat.ended.count("stale") > len(left):
            left.append((now, seat.tried[-1].name))
    assert left[0][0] - seat.now >= 10 * S
    assert left[0][1] == "c0"
    gaps = [b[0] - a[0] for a, b in pairwise(left)]
    assert len(left) >= 2
    assert gaps == sorted(gaps)
    assert gaps[0] >= 10 * S
    assert all(at < 81 * S for at, _ in left)


def test_subscriber_of_one_server_or_of_a_fresh_one_stays():
    for servers, silent in ((1, 60_000), (3, 9_000)):
        seat = SubscriberHarness(servers=servers).greet()
        for second in range(1, 15):
            seat.subscriber.received(seat.now + second * S, m.Heartbeat(0, 0, b"", "c1", silent))
        assert not seat.ended
