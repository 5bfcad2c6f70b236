"""Publishers and subscribers in virtual time, over connections with delays, partitions and resets."""

import heapq
import itertools
import random
from dataclasses import dataclass

from cypressledge.controlplane import messages as m
from cypressledge.controlplane.change_history import ChangeHistory
from cypressledge.controlplane.publisher import Publisher, PublisherLimits
from cypressledge.controlplane.server_selection import Server
from cypressledge.controlplane.state import FleetState
from cypressledge.controlplane.state_values import Engine, encode_value
from cypressledge.controlplane.subscriber import BrokerIdentity, ConfigSubscriber, SubscriberCallbacks

SECOND_US = 1_000_000
CLUSTER_ID = "line"
LIMITS = PublisherLimits(
    answer_timeout_s=2.0,
    max_concurrent_snapshots=2,
    max_snapshots_per_s=5,
    max_subscribers=3,
    full_retry_after_ms=500,
)
FAULTS = ["reset", "partition", "new broker", "new publisher", "compact", "corrupt", "none"]


@dataclass(slots=True)
class Connection:
    """One connection between a subscriber and a publisher."""

    publisher: int
    subscriber: int
    is_partitioned: bool = False  # messages are lost, and neither end is notified
    last_to_publisher: int = 0  # when the last message in this direction arrives
    last_to_subscriber: int = 0
    unconfirmed: int = 0  # unanswered updates
    has_said_hello: bool = False


class DistributionWorld:
    """A number of publishers and brokers, and the history, which the publishers receive in steps."""

    def __init__(self, seed: int, publishers: int = 3, brokers: int = 4) -> None:
        self.random, self.now, self.heap, self.order = random.Random(seed), 0, [], itertools.count()
        self.log: list[m.Change] = []
        self.truth = FleetState(CLUSTER_ID)
        self.digests = {0: self.truth.digest}
        self.connections: dict[int, Connection] = {}
        self.ids = itertools.count(1)
        self.messages_to_corrupt = 0
        self.publishers = [
            self._publisher(i, ChangeHistory(FleetState(CLUSTER_ID))) for i in range(publishers)
        ]
        self.brokers = [self._broker(i, 0) for i in range(brokers)]
        self.events: set[str] = set()

    def _publisher(self, index: int, history: ChangeHistory) -> Publisher:
        return Publisher(
            f"c{index}", next(self.ids), history, LIMITS, self._to_subscriber, self._disconnect, self._event
        )

    def _event(self, name: str, **what) -> None:
        self.events.add(name)

    def _broker(self, index: int, instance_id: int) -> ConfigSubscriber:
        servers = [Server(f"c{k}", f"c{k}:1", f"z{k % 2}", "r") for k in range(3)]
        positions = [(0, 0)]

        def changed(state: FleetState, change) -> None:
            assert state.epoch >= positions[-1][0], "the epoch decreased"
            assert state.version > positions[-1][1], "the version did not increase"
            assert state.digest == self.digests[state.version], "the digest differs from the history's"
            assert state.digest_matches(), "the entries do not match the digest"
            positions.append(state.position)

        return ConfigSubscriber(
            BrokerIdentity(f"b{index}", instance_id, f"z{index % 2}", "r"),
            servers,
            self.random.randrange(1 << 30),
            SubscriberCallbacks(
                lambda message: self._to_publisher(index, message),
                lambda server: self._dial(index, server),
                lambda why: self._close(index),
                changed,
                self._event,
            ),
        )

    # Connections

    def schedule(self, delay: int, act, *arguments) -> None:
        heapq.heappush(self.heap, (self.now + delay, next(self.order), act, arguments))

    def _connection_of(self, subscriber: int) -> tuple[int, Connection | None]:
        found = ((i, c) for i, c in self.connections.items() if c.subscriber == subscriber)
        return next(found, (0, None))

    def _close(self, subscriber: int) -> None:
        """Close the subscriber's end immediately; the publisher is notified after a delay."""
        number, connection = self._connection_of(subscriber)
        if connection:
            del self.connections[number]
            publisher = self.publishers[connection.publisher]
            self.schedule(self.random.randrange(SECOND_US), publisher.disconnected, self.now, number)

    def _dial(self, subscriber: int, server: Server) -> None:
        assert self._connection_of(subscriber)[1] is None, "two connections of one broker"
        number = next(self.ids)
        self.connections[number] = Connection(int(server.name[1:]), subscriber)
        self.schedule(self.random.randrange(SECOND_US // 10), self._established, number)

    def _established(self, number: int) -> None:
        if number in self.connections:
            self.brokers[self.connections[number].subscriber].connected(self.now)

    def _disconnect(self, number: int, reason: m.Disconnect) -> None:
        self._transmit_to_subscriber(number, reason)
        self.schedule(SECOND_US // 2, self._reset, number)

    def _reset(self, number: int) -> None:
        connection = self.connections.pop(number, None)
        if connection:
            self.brokers[connection.subscriber].disconnected(self.now, "reset")

    # Messages

    def _arrival_time(self, last_arrival: int) -> int:
        """Return when a message arrives: after a random delay, but not before the previous message."""
        return max(last_arrival, self.now + self.random.randrange(SECOND_US // 5))

    def _to_publisher(self, subscriber: int, message: m.Message) -> None:
        number, connection = self._connection_of(subscriber)
        if connection and not connection.is_partitioned:
            connection.last_to_publisher = self._arrival_time(connection.last_to_publisher)
            delay = connection.last_to_publisher - self.now
            self.schedule(delay, self._deliver_to_publisher, number, encode_and_decode(message))

    def _deliver_to_publisher(self, number: int, message: m.Message) -> None:
        connection = self.connections.get(number)
        if not connection:
            return
        is_answer = isinstance(message, m.AppliedPosition | m.SnapshotRequest)
        connection.unconfirmed = max(connection.unconfirmed - is_answer, 0)
        publisher = self.publishers[connection.publisher]
        if connection.has_said_hello:
            publisher.received(self.now, number, message)
        else:
            connection.has_said_hello = True
            publisher.connected(self.now, number, message)

    def _to_subscriber(self, number: int, message: m.Message) -> None:
        connection = self.connections.get(number)
        if connection and isinstance(message, m.Deltas | m.CompleteSnapshot):
            connection.unconfirmed += 1
            assert connection.unconfirmed <= 1, "more than one message in flight"
            if self.messages_to_corrupt:
                self.messages_to_corrupt -= 1
                message = self._corrupted(message)
        self._transmit_to_subscriber(number, message)

    def _transmit_to_subscriber(self, number: int, message: m.Message) -> None:
        connection = self.connections.get(number)
        if connection and not connection.is_partitioned:
            connection.last_to_subscriber = self._arrival_time(connection.last_to_subscriber)
            delay = connection.last_to_subscriber - self.now
            self.schedule(delay, self._deliver_to_subscriber, number, encode_and_decode(message))

    def _corrupted(self, message: m.Message) -> m.Message:
        if isinstance(message, m.CompleteSnapshot):
            cut = self.random.randrange(len(message.compressed))
            return m.CompleteSnapshot(message.compressed[:cut] + b"\x55" + message.compressed[cut + 1 :][:-1])
        *rest, last = message.changes
        bad = m.Change(last.epoch, last.version, [m.Op("engine/bad", b"\x01")], last.digest)
        return m.Deltas([*rest, bad])

    def _deliver_to_subscriber(self, number: int, message: m.Message) -> None:
        if number in self.connections:
            self.brokers[self.connections[number].subscriber].received(self.now, message)

    # Time, commits and faults

    def run(self, span: int) -> None:
        end = self.now + span
        while True:
            due = [node.tick(self.now) for node in (*self.publishers, *self.brokers)]
            self.now = max(self.now, min(due + [event[0] for event in self.heap[:1]]))
            if self.now > end:
                self.now = end
                return
            while self.heap and self.heap[0][0] <= self.now:
                act, arguments = heapq.heappop(self.heap)[2:]
                act(*arguments)

    def commit(self, count: int, epoch_step: int) -> None:
        """Append changes to the history; each publisher receives them when it catches up."""
        for _ in range(count):
            version = self.truth.version + 1
            value = encode_value(Engine(f"h{version}:1")) if version % 4 else None
            ops = [m.Op(f"engine/e{version % 5}", value)]
            change = self.truth.draft_change(self.truth.epoch + epoch_step, ops, request_id=f"r{version}")
            epoch_step = 0
            self.truth.apply(change)
            self.log.append(change)
            self.digests[version] = change.digest

    def catch_up(self, index: int, max_changes: int) -> None:
        publisher = self.publishers[index]
        for change in self.log[publisher.history.state.version :][:max_changes]:
            publisher.history.apply(change)
        publisher.on_leader_contact(self.now, "c0")
        publisher.committed(self.now)

    def fault(self, kind: str, number: int) -> None:
        """Inject one of `FAULTS` at the publisher or broker that the number selects."""
        publisher, broker = number % len(self.publishers), number % len(self.brokers)
        if kind == "reset":
            self._break(broker)
        elif kind == "partition":
            _, connection = self._connection_of(broker)
            if connection:
                connection.is_partitioned = True
        elif kind == "new broker":
            self._close(broker)
            self.brokers[broker] = self._broker(broker, number)
        elif kind == "new publisher":
            self._restart_publisher(publisher)
        elif kind == "compact":
            self.publishers[publisher].history.compact(keep=number % 3)
        elif kind == "corrupt":
            self.messages_to_corrupt += 1

    def _break(self, broker: int) -> None:
        number, connection = self._connection_of(broker)
        if connection:
            publisher = self.publishers[connection.publisher]
            self.schedule(0, self._reset, number)
            self.schedule(SECOND_US // 3, publisher.disconnected, self.now, number)

    def _restart_publisher(self, index: int) -> None:
        for number in [n for n, c in self.connections.items() if c.publisher == index]:
            self._reset(number)
        history = ChangeHistory(FleetState.restore(self.publishers[index].history.state.snapshot()))
        self.publishers[index] = self._publisher(index, history)


def encode_and_decode(message: m.Message) -> m.Message:
    """Return the message after encoding and decoding, as its receiver gets it."""
    return m.decode(m.encode(message)[4:])
