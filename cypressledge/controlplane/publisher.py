"""A control process towards its brokers: who holds what, and who is sent what next. No I/O; times in µs.

One message is in flight per broker until it has answered with its position, so a slow one costs no memory
here: it is disconnected, and gets a snapshot when it comes back. Snapshots are throttled and queue. Whoever
does the I/O ends connections whose socket takes nothing more: heartbeats alone are sent without an answer.
They are sent under a stream of changes too, as they alone say how long ago a leader was heard.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from cypressledge.broker.metrics import Counters
from cypressledge.controlplane.broker_hello import is_valid_hello, registration_of
from cypressledge.controlplane.change_history import ChangeHistory
from cypressledge.controlplane.messages import (
    FORMAT,
    AppliedPosition,
    CompleteSnapshot,
    Deltas,
    Disconnect,
    Heartbeat,
    Hello,
    HelloAccepted,
    Message,
    Op,
    SnapshotRequest,
    to_printable_line,
)
from cypressledge.controlplane.snapshot_throttle import SnapshotThrottle
from cypressledge.controlplane.state import DigestPosition
from cypressledge.controlplane.state_values import StateError
from cypressledge.controlplane.subscription import Subscription
from cypressledge.controlplane.subscription_table import SubscriptionTable

MIN_TICK_INTERVAL = 50_000  # µs between ticks at least: guards against one wake for each broker's heartbeat
MAX_NAME_CHARS = 64  # of a broker that is rejected, in logs
MAX_REASON_CHARS = 40  # of a broker's reason, in logs
MAX_ERROR_CHARS = 120  # of what is wrong with an address, in logs


@dataclass(frozen=True, slots=True)
class PublisherLimits:
    """What brokers may cost a control process."""

    answer_timeout_s: float = 10.0
    heartbeat_interval_s: float = 1.0
    ahead_tolerance_s: float = 5.0
    max_concurrent_snapshots: int = 8
    snapshot_slot_timeout_s: float = 2.0
    max_snapshots_per_s: int = 20
    max_subscribers: int = 600
    full_retry_after_ms: int = 5_000
    mismatch_retry_after_ms: int = 5_000  # for another format or history
    replaced_retry_after_ms: int = 1_000  # guards against two of one name that end each other without a pause


class Publisher:
    """Sends a history to brokers. `send(connection, message)`; `end(connection, disconnect)`: sends it and
    closes, and `disconnected` need not be called; `event(name, **fields)`: to be counted and logged."""

    def __init__(
        self,
        name: str,
        instance_id: int,
        history: ChangeHistory,
        limits: PublisherLimits,
        send: Callable[[int, Message], None],
        end: Callable[[int, Disconnect], None],
        event: Callable[..., None],
    ) -> None:
        self.name, self.instance_id, self.history, self.limits = name, instance_id, history, limits
        self._send_message, self._end_connection, self._event = send, end, event
        self.counters = Counters()
        self.subscriptions = SubscriptionTable(limits.max_subscribers)
        self.snapshot_queue: deque[int] = deque()  # connections, first come first
        self.throttle = SnapshotThrottle(
            limits.max_concurrent_snapshots,
            limits.max_snapshots_per_s,
            round(limits.snapshot_slot_timeout_s * 1e6),
        )
        self._heartbeat_interval = round(limits.heartbeat_interval_s * 1e6)
        self._leader = ""
        self._leader_heard_at: int | None = None

    # Connections

    def connected(self, now: int, connection: int, hello: Hello) -> None:
        """A broker's first frame has come."""
        rejection = self._rejection(connection, hello)
        if rejection is not None:
            self._reject(connection, hello.name, rejection)
            return
        subscription = Subscription(
            connection,
            hello.name,
            hello.instance_id,
            hello.cluster_id,
            DigestPosition(hello.epoch, hello.version, hello.digest),
            self._registration(hello),
            now,
            rejection_reason=to_printable_line(hello.rejection_reason),
        )
        self.subscriptions.add(subscription)
        self._send_message(
            connection, HelloAccepted(self.name, self.instance_id, self.history.state.cluster_id)
        )
        if connection in self.subscriptions:
            self._send_heartbeat(now, subscription)
            self._send_next(now, subscription)

    def _rejection(self, connection: int, hello: Hello) -> Disconnect | None:
        """Why a broker is not taken, if it isn't. One of the same name makes room for it."""
        limits = self.limits
        if hello.format != FORMAT:
            return Disconnect("format", limits.mismatch_retry_after_ms)
        if connection in self.subscriptions or hello.role != "broker" or not is_valid_hello(hello):
            return Disconnect("nonsense")
        former = self.subscriptions.by_broker(hello.name)
        if former is not None:
            replaced = Disconnect("replaced", limits.replaced_retry_after_ms)
            self._disconnect(former, replaced)
        if len(self.subscriptions) >= limits.max_subscribers:
            return Disconnect("full", limits.full_retry_after_ms)
        return None

    def received(self, now: int, connection: int, message: Message) -> None:
        """Another frame of a broker that `connected`."""
        subscription = self.subscriptions.get(connection)
        if subscription is None:
            return
        if isinstance(message, AppliedPosition) and subscription.expected_position is not None:
            position = DigestPosition(message.epoch, message.version, message.digest)
            self._on_position(subscription, position, to_printable_line(message.rejection_reason))
        elif isinstance(message, SnapshotRequest) and subscription.may_request_snapshot():
            subscription.expected_position, subscription.needs_snapshot = None, True
            self._event("snapshot_requested", broker=subscription.name, why=message.reason[:MAX_REASON_CHARS])
        else:
            self._disconnect(subscription, Disconnect("nonsense"))
            return
        self._send_next(now, subscription)
        self._send_queued_snapshots(now)

    def disconnected(self, now: int, connection: int) -> None:
        """A connection is down."""
        if connection in self.subscriptions:
            self._remove(self.subscriptions[connection])
            self._send_queued_snapshots(now)

    def stop(self) -> None:
        """This control process ends: its brokers go to others."""
        for subscription in self.subscriptions:
            self._disconnect(subscription, Disconnect("stopping"))

    def _reject(self, connection: int, name: str, disconnect: Disconnect) -> None:
        if connection in self.subscriptions:
            self._disconnect(self.subscriptions[connection], disconnect)
            return
        self._event(f"disconnected_{disconnect.reason}", broker=name[:MAX_NAME_CHARS])
        self._end_connection(connection, disconnect)

    def _disconnect(self, subscription: Subscription, disconnect: Disconnect) -> None:
        self._remove(subscription)
        self._event(f"disconnected_{disconnect.reason}", broker=subscription.name)
        self._end_connection(subscription.connection, disconnect)

    def _remove(self, subscription: Subscription) -> None:
        self._clear_in_flight(subscription)
        if subscription.is_queued:
            self.snapshot_queue.remove(subscription.connection)
        self.subscriptions.remove(subscription)

    # The history and time

    def committed(self, now: int) -> None:
        """The history has grown or was reset."""
        for subscription in self.subscriptions:
            self._send_next(now, subscription)

    def on_leader_contact(self, now: int, name: str) -> None:
        """A sign of the leader was heard."""
        self._leader, self._leader_heard_at = name, now

    def tick(self, now: int) -> int:
        """What time brings about; when to call again, µs."""
        due = now + self._heartbeat_interval
        for subscription in self.subscriptions:
            if subscription.connection in self.subscriptions:
                due = min(due, self._check_times(now, subscription))
        self._send_queued_snapshots(now)
        if self.snapshot_queue:
            due = min(due, self.throttle.free_at(now))
        return max(due, now + MIN_TICK_INTERVAL)

    def _check_times(self, now: int, subscription: Subscription) -> int:
        """One broker's timeouts; when the next of them is."""
        if subscription.expected_position is not None and now >= subscription.answer_deadline:
            self._disconnect(subscription, Disconnect("silent"))
            return now + MIN_TICK_INTERVAL
        if now - subscription.heartbeat_at >= self._heartbeat_interval:
            self._send_heartbeat(now, subscription)
        self._report_ahead(now, subscription)
        due = subscription.heartbeat_at + self._heartbeat_interval
        return due if subscription.expected_position is None else min(due, subscription.answer_deadline)

    def _report_ahead(self, now: int, subscription: Subscription) -> None:
        """Once, where a broker has been newer than this process for long."""
        if subscription.ahead_since is None or subscription.is_ahead_reported:
            return
        if now - subscription.ahead_since >= round(self.limits.ahead_tolerance_s * 1e6):
            subscription.is_ahead_reported = True
            self._event(
                "broker_ahead",
                broker=subscription.name,
                theirs=subscription.applied.position,
                ours=self.history.state.position,
            )

    def _send_heartbeat(self, now: int, subscription: Subscription) -> None:
        state, heard_at = self.history.state, self._leader_heard_at
        silent_ms = -1 if heard_at is None else max(now - heard_at, 0) // 1000
        subscription.heartbeat_at = now
        self._send_message(
            subscription.connection,
            Heartbeat(state.epoch, state.version, state.digest, self._leader, silent_ms),
        )

    # One message at a time

    def _on_position(
        self, subscription: Subscription, applied: DigestPosition, rejection_reason: str
    ) -> None:
        """An answer: what the broker holds after the message that was in flight."""
        expected, was_snapshot = subscription.expected_position, subscription.is_snapshot_in_flight
        assert expected is not None, "an answer to nothing"
        self._clear_in_flight(subscription)
        has_moved = applied.position != subscription.applied.position
        if has_moved or rejection_reason != subscription.rejection_reason:
            self.subscriptions.mark_changed(subscription)
        subscription.rejection_reason = rejection_reason
        if was_snapshot and applied.version:
            subscription.cluster_id = self.history.state.cluster_id
        # Guards against sending the same again and again to one who does not take it.
        if applied != expected and was_snapshot:
            subscription.rejected_snapshot = expected.position
            self._event(
                "snapshot_rejected", broker=subscription.name, theirs=applied.position, ours=expected.position
            )
        elif applied.position <= subscription.applied.position and not was_snapshot:
            subscription.needs_snapshot = True
        subscription.applied = applied

    def _clear_in_flight(self, subscription: Subscription) -> None:
        subscription.expected_position = None
        if subscription.is_snapshot_in_flight:
            subscription.is_snapshot_in_flight = False
            self.throttle.end(subscription.connection)

    def _send_next(self, now: int, subscription: Subscription) -> None:
        """Send a broker what follows what it holds, unless it is busy."""
        state = self.history.state
        if subscription.is_busy or subscription.connection not in self.subscriptions:
            return
        if subscription.cluster_id and state.cluster_id and subscription.cluster_id != state.cluster_id:
            self._disconnect(subscription, Disconnect("lineage", self.limits.mismatch_retry_after_ms))
            return
        if self._is_ahead(now, subscription) or not state.version:
            return
        if subscription.rejected_snapshot == state.position:
            return
        changes = None
        if subscription.cluster_id and not subscription.needs_snapshot:
            self._compare_digests(subscription)
            changes = self.history.changes_since(*subscription.applied)
        if changes is None:
            subscription.needs_snapshot = subscription.is_queued = True
            self.snapshot_queue.append(subscription.connection)
            self._send_queued_snapshots(now)
        elif changes:
            last = changes[-1]
            after = DigestPosition(last.epoch, last.version, last.digest)
            self._send(now, subscription, Deltas(changes), after)

    def _is_ahead(self, now: int, subscription: Subscription) -> bool:
        """Whether a broker holds what we have not heard of yet: a standby may be a moment behind."""
        state = self.history.state
        if subscription.applied.version <= state.version and subscription.applied.epoch <= state.epoch:
            subscription.ahead_since, subscription.is_ahead_reported = None, False
            return False
        if subscription.ahead_since is None:
            subscription.ahead_since = now
        return True

    def _compare_digests(self, subscription: Subscription) -> None:
        ours = self.history.position_at(subscription.applied.version)
        if ours is not None and ours != subscription.applied:
            theirs = subscription.applied.position
            self._event("digest_differs", broker=subscription.name, theirs=theirs, ours=ours.position)

    def _send_queued_snapshots(self, now: int) -> None:
        """Send the snapshots that the throttle allows."""
        while self.snapshot_queue and self.throttle.free_at(now) == now:
            subscription = self.subscriptions.get(self.snapshot_queue.popleft())
            if subscription is None or not subscription.is_queued:
                continue
            subscription.is_queued = subscription.needs_snapshot = False
            # Guards against a history that was put back behind the broker while it stood in line.
            if self._is_ahead(now, subscription) or not self.history.state.version:
                continue
            self.throttle.begin(now, subscription.connection)
            state, subscription.is_snapshot_in_flight = self.history.state, True
            self._send(
                now,
                subscription,
                CompleteSnapshot(self.history.compressed_snapshot()),
                state.digest_position,
            )

    def _send(self, now: int, subscription: Subscription, message: Message, after: DigestPosition) -> None:
        """Send a message; `after`: what the broker holds once it has taken it."""
        self.counters.invariant(subscription.expected_position is None, "one_message_out")
        subscription.expected_position = after
        subscription.answer_deadline = now + round(self.limits.answer_timeout_s * 1e6)
        self._send_message(subscription.connection, message)

    def _registration(self, hello: Hello) -> Op | None:
        """What the state should say of a broker; none where it isn't to be registered, or can't be."""
        try:
            return registration_of(hello)
        except StateError as err:
            self._event("invalid_address", broker=hello.name, why=str(err)[:MAX_ERROR_CHARS])
            return None
