"""A broker's subscription to the control plane: the protocol of its only connection to a control process.

`accepted_state.py` decides which states are accepted, `server_selection.py` which control process is tried.
No I/O; times are passed in, µs.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum

import msgspec

from cypressledge.broker.metrics import Counters
from cypressledge.controlplane.accepted_state import AcceptedState
from cypressledge.controlplane.change_history import decompress_snapshot
from cypressledge.controlplane.messages import (
    FORMAT,
    AppliedPosition,
    Change,
    CompleteSnapshot,
    Deltas,
    Disconnect,
    Heartbeat,
    Hello,
    HelloAccepted,
    Message,
)
from cypressledge.controlplane.server_selection import Server, ServerSelector, order_servers
from cypressledge.controlplane.state import FleetState
from cypressledge.controlplane.state_values import StateError

CONNECT_TIMEOUT = 1_500_000  # µs to establish a TCP connection
SILENCE_TIMEOUT = 3_500_000  # µs without a frame, after which another server is tried
STEADY_CONNECTION = 5_000_000  # µs; duration of a connection after which the backoff starts anew
# ms without leader contact after which another server is tried; a change of leader takes less.
STALE_MS = 10_000
IDLE_TICK = 3_600_000_000  # µs until the next tick if nothing is due
MAX_REASON_CHARS = 40  # characters of a server's reason in logs


class Phase(Enum):
    """The phase of a subscriber's only connection."""

    WAITING = "waiting"
    CONNECTING = "connecting"
    HANDSHAKE = "greeting"
    SUBSCRIBED = "following"


@dataclass(frozen=True, slots=True)
class BrokerIdentity:
    """The broker that subscribes.

    `instance_id`: of its process, never 0; `address`: HOST:PORT of its fleet socket, empty if the broker is
    not to be registered.
    """

    name: str
    instance_id: int
    zone: str = ""
    region: str = ""
    address: str = ""


@dataclass(slots=True)
class SubscriberCallbacks:
    """The callbacks of a subscriber.

    - `send(message)` sends a message over the connection.
    - `connect(server)` begins to connect; `connected` or `disconnected` must be called with the outcome.
    - `disconnect(why)` closes the connection; none of its messages may be passed in afterwards.
    - `changed(state, change)` is called after each applied change (None: a snapshot), and returns why a part
      of it was rejected, if it was.
    - `event(name, **fields)` logs an event, which is already counted.
    - `message_applied()`, if given, is called once everything in a message is applied, for work that need not
      be done for each change. It returns the same as `changed`.
    """

    send: Callable[[Message], None]
    connect: Callable[[Server], None]
    disconnect: Callable[[str], None]
    changed: Callable[[FleetState, Change | None], str | None]
    event: Callable[..., None]
    message_applied: Callable[[], str | None] | None = None


class SubscriberStatus(msgspec.Struct, frozen=True):
    """The status of a subscriber, for operators; its fields are the first ones of `BrokerStatusAnswer`."""

    phase: str
    server: str | None  # the server that is connected or tried next; None if the settings contain none
    address: str | None  # of that server
    cluster_id: str = msgspec.field(name="lineage")
    epoch: int
    version: int
    digest: str  # hexadecimal
    leader: str = msgspec.field(name="primary")  # the last one reported by a heartbeat
    stale_ms: int  # since the last known contact with a leader
    counts: Mapping[str, int]  # number of events, by name


class ConfigSubscriber:
    """Subscribes to one control process at a time.

    `seed`: for random delays; `cluster_id`: the only cluster whose history is accepted; if it is empty, the
    first snapshot determines the cluster.
    """

    def __init__(
        self,
        identity: BrokerIdentity,
        servers: list[Server],
        seed: int,
        callbacks: SubscriberCallbacks,
        cluster_id: str = "",
    ) -> None:
        self.identity, self.callbacks = identity, callbacks
        self.selector = ServerSelector(
            order_servers(identity.name, identity.zone, identity.region, servers), seed
        )
        self.counters = Counters()
        self._accepted_state = AcceptedState(self.counters, callbacks, self._report, cluster_id)
        self.phase = Phase.WAITING
        self._started_at: int | None = None
        self._phase_at = 0  # end of the phase WAITING, start of any other phase
        self._last_frame = 0
        self._leader_heard_at: int | None = None
        self._leader = ""

    @property
    def state(self) -> FleetState:
        """The state that is held; its cluster id is empty until a first snapshot is accepted."""
        return self._accepted_state.state

    @property
    def rejection_reason(self) -> str:
        """The reason why a part of the state is not in force; empty if all of it is."""
        return self._accepted_state.rejection_reason

    # Timeouts and the connection

    def tick(self, now: int) -> int:
        """Do what is due: attempts, timeouts and changes of server. Returns when to call it again, µs."""
        if not self.selector.servers:
            return now + IDLE_TICK
        if self._started_at is None:
            self._started_at = now
            self._phase_at = self.selector.first_attempt_at(now)
        if self.phase is Phase.WAITING:
            if now >= self._phase_at:
                self._connect(now)
        elif self.phase is Phase.CONNECTING:
            if now - self._phase_at >= CONNECT_TIMEOUT:
                self._disconnect(now, "connect timeout")
        elif now - self._last_frame >= SILENCE_TIMEOUT:
            self._disconnect(now, "silent")
        elif self.selector.nearer_at is not None and now >= self.selector.nearer_at:
            self._try_nearer(now)
        return self._next_tick()

    def _next_tick(self) -> int:
        if self.phase is Phase.WAITING:
            return self._phase_at
        if self.phase is Phase.CONNECTING:
            return self._phase_at + CONNECT_TIMEOUT
        silent_at, nearer_at = self._last_frame + SILENCE_TIMEOUT, self.selector.nearer_at
        return silent_at if nearer_at is None else min(silent_at, nearer_at)

    def connected(self, now: int) -> None:
        """Handle that the requested connection is established: send the Hello."""
        if self.phase is not Phase.CONNECTING:
            return
        self.phase, self._phase_at, self._last_frame = Phase.HANDSHAKE, now, now
        state, identity = self.state, self.identity
        self.callbacks.send(
            Hello(
                FORMAT,
                "broker",
                identity.name,
                identity.instance_id,
                state.cluster_id,
                state.epoch,
                state.version,
                state.digest if state.cluster_id else b"",
                identity.address,
                identity.zone,
                identity.region,
                self.rejection_reason,
            )
        )

    def disconnected(self, now: int, why: str) -> None:
        """Handle that the connection has ended or could not be established."""
        if self.phase is not Phase.WAITING:
            self._on_connection_ended(now, why)

    def _connect(self, now: int) -> None:
        self.phase, self._phase_at = Phase.CONNECTING, now
        self.selector.on_attempt()
        self.callbacks.connect(self.selector.server)

    def _disconnect(self, now: int, why: str) -> None:
        """Close the connection, and select another server."""
        self.callbacks.disconnect(why)
        self._on_connection_ended(now, why)

    def _on_connection_ended(self, now: int, why: str) -> None:
        self._report("disconnected", server=self.selector.server.name, why=why)
        was_steady = (
            self.phase in (Phase.HANDSHAKE, Phase.SUBSCRIBED) and now - self._phase_at >= STEADY_CONNECTION
        )
        self.phase = Phase.WAITING
        self._phase_at = self.selector.failed(now, was_steady)

    def _try_nearer(self, now: int) -> None:
        """Try a nearer server once; the state is kept, and a failure leads back to the present server."""
        if self.selector.choose_nearer(now):
            self.callbacks.disconnect("nearer server")
            self._report("nearer_server_tried", server=self.selector.server.name)
            self._connect(now)

    # Messages

    def received(self, now: int, message: Message) -> None:
        """Handle a frame of the connected server."""
        if self.phase not in (Phase.HANDSHAKE, Phase.SUBSCRIBED):
            return
        self._last_frame = now
        is_subscribed = self.phase is Phase.SUBSCRIBED
        if isinstance(message, Disconnect):
            self.selector.rejected(now, message.retry_after_ms)
            self._disconnect(now, f"server disconnected: {message.reason[:MAX_REASON_CHARS]}")
        elif isinstance(message, HelloAccepted) and not is_subscribed:
            self._on_accepted(now, message)
        elif isinstance(message, Deltas) and is_subscribed:
            self._on_changes(message.changes)
        elif isinstance(message, CompleteSnapshot) and is_subscribed:
            self._on_snapshot(now, message.compressed)
        elif isinstance(message, Heartbeat) and is_subscribed:
            self._on_heartbeat(now, message)
        else:
            self._disconnect(now, "unexpected message")

    def _on_accepted(self, now: int, message: HelloAccepted) -> None:
        if not self._accepted_state.is_same_cluster(message.cluster_id):
            self._disconnect(now, "other cluster")
            return
        self.phase = Phase.SUBSCRIBED
        self.selector.accepted(now)
        self._report("subscribed", server=self.selector.server.name)

    def _on_heartbeat(self, now: int, heartbeat: Heartbeat) -> None:
        if heartbeat.leader_silence_ms >= 0:
            heard_at = now - heartbeat.leader_silence_ms * 1000
            if self._leader_heard_at is None or heard_at > self._leader_heard_at:
                self._leader_heard_at = heard_at
            self._leader = heartbeat.leader
        self._accepted_state.compare_digest(heartbeat)
        if 0 <= heartbeat.leader_silence_ms < STALE_MS:
            self.selector.on_leader_contact()
        elif self.selector.avoid_stale(now, self._phase_at):
            self._disconnect(now, "stale")

    def _on_changes(self, changes: list[Change]) -> None:
        """Apply changes, and send exactly one answer."""
        request = self._accepted_state.apply(changes)
        if request is None:
            self._send_position()
        else:
            self.callbacks.send(request)

    def _on_snapshot(self, now: int, compressed: bytes) -> None:
        try:
            snapshot = decompress_snapshot(compressed)
            state = FleetState.restore(snapshot)
        except StateError as err:
            self._report("invalid_snapshot", why=str(err))
            self._disconnect(now, "invalid snapshot")
            return
        if not snapshot.cluster_id or not self._accepted_state.is_same_cluster(snapshot.cluster_id):
            self._disconnect(now, "other cluster")
            return
        self._accepted_state.replace(snapshot, state)
        self._send_position()

    def _send_position(self) -> None:
        state = self.state
        self.callbacks.send(AppliedPosition(state.epoch, state.version, state.digest, self.rejection_reason))

    def _report(self, event: str, **fields: object) -> None:
        self.counters.add(event)
        self.callbacks.event(event, **fields)

    # For operators

    def stale_ms(self, now: int) -> int:
        """Return the time since the last known contact of a connected server with a leader, ms.

        It counts from the first tick if there was no such contact, and grows while there is no connection.
        """
        since = self._started_at if self._leader_heard_at is None else self._leader_heard_at
        return 0 if since is None else max(now - since, 0) // 1000

    def status(self, now: int) -> SubscriberStatus:
        """Return the connection's phase, the state's position and how stale the state may be."""
        server = self.selector.server if self.selector.servers else None
        state = self.state
        return SubscriberStatus(
            self.phase.value,
            server.name if server else None,
            server.address if server else None,
            state.cluster_id,
            state.epoch,
            state.version,
            state.digest.hex(),
            self._leader,
            self.stale_ms(now),
            self.counters.show(),
        )
