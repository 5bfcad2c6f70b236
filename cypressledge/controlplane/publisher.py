"""Publishes the history to the brokers of one control process. No I/O; times in µs.

At most one message per broker is in flight until the broker answers with its position, so that a slow broker
uses no memory here: it is disconnected, and receives a snapshot when it reconnects. Snapshots are throttled
and queued. Only heartbeats are sent without waiting for an answer; the I/O code therefore ends connections
whose socket accepts no more data. Heartbeats are also sent during a stream of changes, since only they
contain the time since the leader's last message.
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

# µs; minimum time between ticks. Otherwise each broker's heartbeat would cause a wakeup.
MIN_TICK_INTERVAL = 50_000
MAX_NAME_CHARS = 64  # characters of a rejected broker's name in logs
MAX_REASON_CHARS = 40  # characters of a broker's reason in logs
MAX_ERROR_CHARS = 120  # characters of the error about an address in logs


@dataclass(frozen=True, slots=True)
class PublisherLimits:
    """Limits and timeouts for the brokers of one control process."""

    answer_timeout_s: float = 10.0
    heartbeat_interval_s: float = 1.0
    ahead_tolerance_s: float = 5.0
    max_concurrent_snapshots: int = 8
    snapshot_slot_timeout_s: float = 2.0
    max_snapshots_per_s: int = 20
    max_subscribers: int = 600
    full_retry_after_ms: int = 5_000
    mismatch_retry_after_ms: int = 5_000  # after another message format or cluster
    replaced_retry_after_ms: int = 1_000  # so that two brokers of one name don't replace each other in a loop


class Publisher:
    """Publishes a history to brokers.

    `send(connection, message)` sends a message. `end(connection, disconnect)` sends the message and closes
    the connection; `disconnected` need not be called then. `event(name, **fields)` counts and logs an event.
    """

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
        self.snapshot_queue: deque[int] = deque()  # connections waiting for a snapshot, first come first
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
        """Handle the first frame of a broker: accept or reject it."""
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
        """Return the rejection of a broker, or None if it is accepted.

        An older connection of the same name is closed first.
        """
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
        """Handle a further frame of a broker."""
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
        """Handle the end of a connection."""
        if connection in self.subscriptions:
            self._remove(self.subscriptions[connection])
            self._send_queued_snapshots(now)

    def stop(self) -> None:
        """Disconnect all brokers, so that they switch to other control processes."""
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

    # Updates of the history, and the passage of time

    def committed(self, now: int) -> None:
        """Send brokers what they lack, after the history has grown or was reset."""
        for subscription in self.subscriptions:
            self._send_next(now, subscription)

    def on_leader_contact(self, now: int, name: str) -> None:
        """Record that a message of the leader was received."""
        self._leader, self._leader_heard_at = name, now

    def tick(self, now: int) -> int:
        """Do what is due: heartbeats, timeouts and queued snapshots. Returns when to call it again, µs."""
        due = now + self._heartbeat_interval
        for subscription in self.subscriptions:
            if subscription.connection in self.subscriptions:
                due = min(due, self._check_times(now, subscription))
        self._send_queued_snapshots(now)
        if self.snapshot_queue:
            due = min(due, self.throttle.free_at(now))
        return max(due, now + MIN_TICK_INTERVAL)

    def _check_times(self, now: int, subscription: Subscription) -> int:
        """Check one broker's timeouts; return when the next one is due, µs."""
        if subscription.expected_position is not None and now >= subscription.answer_deadline:
            self._disconnect(subscription, Disconnect("silent"))
            return now + MIN_TICK_INTERVAL
        if now - subscription.heartbeat_at >= self._heartbeat_interval:
            self._send_heartbeat(now, subscription)
        self._report_ahead(now, subscription)
        due = subscription.heartbeat_at + self._heartbeat_interval
        return due if subscription.expected_position is None else min(due, subscription.answer_deadline)

    def _report_ahead(self, now: int, subscription: Subscription) -> None:
        """Report, once, a broker that has been ahead of this process for longer than tolerated."""
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

    # Updates, of which one at a time is in flight

    def _on_position(
        self, subscription: Subscription, applied: DigestPosition, rejection_reason: str
    ) -> None:
        """Handle an answer: the position of the broker after the message that was in flight."""
        expected, was_snapshot = subscription.expected_position, subscription.is_snapshot_in_flight
        assert expected is not None, "position received without a message in flight"
        self._clear_in_flight(subscription)
        has_moved = applied.position != subscription.applied.position
        if has_moved or rejection_reason != subscription.rejection_reason:
            self.subscriptions.mark_changed(subscription)
        subscription.rejection_reason = rejection_reason
        if was_snapshot and applied.version:
            subscription.cluster_id = self.history.state.cluster_id
        # A broker that did not apply a message must not be sent the same message in a loop.
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
        """Send a broker the changes that it lacks, or queue a snapshot for it, unless it is busy."""
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
        """Return whether a broker is ahead of this process, which is possible if this is a standby."""
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
            # The history may have been reset to a position behind the broker while the broker was queued.
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
        """Send a message; `after`: the position of the broker once it has applied the message."""
        self.counters.invariant(subscription.expected_position is None, "one_message_out")
        subscription.expected_position = after
        subscription.answer_deadline = now + round(self.limits.answer_timeout_s * 1e6)
        self._send_message(subscription.connection, message)

    def _registration(self, hello: Hello) -> Op | None:
        """Return the operation that registers a broker; None if it has no address or an invalid one."""
        try:
            return registration_of(hello)
        except StateError as err:
            self._event("invalid_address", broker=hello.name, why=str(err)[:MAX_ERROR_CHARS])
            return None
