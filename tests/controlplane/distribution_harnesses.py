"""Harnesses that run a publisher or a subscriber on its own, and record its messages and events."""

from collections import defaultdict

from cypressledge.controlplane import messages as m
from cypressledge.controlplane.change_history import ChangeHistory, compress_snapshot
from cypressledge.controlplane.publisher import Publisher, PublisherLimits
from cypressledge.controlplane.server_selection import Server
from cypressledge.controlplane.state import FleetState
from cypressledge.controlplane.state_values import Engine, encode_value
from cypressledge.controlplane.subscriber import BrokerIdentity, ConfigSubscriber, SubscriberCallbacks

SECOND_US = 1_000_000


def grow_history(history: ChangeHistory, count: int = 1, epoch: int = 1) -> None:
    for _ in range(count):
        version = history.state.version + 1
        ops = [m.Op(f"engine/e{version % 7}", encode_value(Engine(f"h{version}:1")) if version % 5 else None)]
        history.apply(history.state.draft_change(epoch, ops, request_id=f"r{version}"))


def position_of(state: FleetState) -> tuple:
    return state.epoch, state.version, state.digest


def changes_after(history: ChangeHistory, version: int) -> list:
    return history.changes_since(*history.position_at(version))


def snapshot_of(state: FleetState) -> m.CompleteSnapshot:
    return m.CompleteSnapshot(compress_snapshot(state.snapshot()))


class PublisherHarness:
    """A publisher with its history, and a record of its messages, disconnects and events."""

    def __init__(self, versions: int = 3, **limits) -> None:
        self.history = ChangeHistory(FleetState("line"))
        grow_history(self.history, versions)
        self.sent, self.ended, self.events = defaultdict(list), {}, []
        self.publisher = Publisher(
            "c1",
            7,
            self.history,
            PublisherLimits(**limits),
            lambda connection, message: self.sent[connection].append(message),
            self.ended.__setitem__,
            lambda name, **what: self.events.append(name),
        )

    def hello(self, connection: int, position: tuple = (0, 0, b""), now: int = 0, **more) -> list:
        cluster_id = "line" if position[1] else ""
        fields = {
            "format": m.FORMAT,
            "role": "broker",
            "name": f"b{connection}",
            "instance_id": 1,
            "cluster_id": cluster_id,
            "epoch": position[0],
            "version": position[1],
            "digest": position[2],
        } | more
        self.publisher.connected(now, connection, m.Hello(**fields))
        return self.sent[connection]

    def confirm(self, connection: int, now: int = 0, position: tuple | None = None) -> None:
        self.publisher.received(
            now, connection, m.AppliedPosition(*(position or position_of(self.history.state)))
        )

    def report(self, is_complete: bool) -> m.AppliedReport | None:
        return self.publisher.subscriptions.report(is_complete)

    def has_sent_snapshot(self, connection: int) -> bool:
        return any(isinstance(message, m.CompleteSnapshot) for message in self.sent[connection])


class SubscriberHarness:
    """A subscriber, and a record of its messages, connection attempts, applied changes and events."""

    def __init__(self, server_count: int = 1, **more) -> None:
        self.sent, self.dialled, self.ended, self.applied, self.events = [], [], [], [], []
        servers = [
            Server(f"c{i}", f"c{i}:1", "" if i else "z", "r" if i < 2 else "") for i in range(server_count)
        ]
        self.subscriber = ConfigSubscriber(
            BrokerIdentity("b1", 3, "z", "r", "b1:1"),
            servers,
            5,
            SubscriberCallbacks(
                self.sent.append,
                self.dialled.append,
                self.ended.append,
                lambda state, change: self.applied.append(change),
                lambda name, **what: self.events.append(name),
            ),
            **more,
        )

    def connect(self, now: int = 0, cluster_id: str = "line") -> "SubscriberHarness":
        """Advance the time until the subscriber connects, and accept it."""
        while self.subscriber.phase.value != "connecting":
            now = max(now, self.subscriber.tick(now))
        self.subscriber.connected(now)
        self.subscriber.received(now, m.HelloAccepted("c", 1, cluster_id))
        self.now = now
        return self

    def receive(self, *messages) -> object:
        """Pass messages to the subscriber; return the last message that it has sent."""
        for message in messages:
            self.subscriber.received(self.now, message)
        return self.sent[-1]

    def counts(self, name: str) -> int:
        return self.subscriber.counters.counts[name]
