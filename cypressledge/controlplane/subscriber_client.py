"""A broker's connection to the control plane: one greenlet that runs a `ConfigSubscriber`. Uses gevent.

The greenlet wakes only if a message has arrived or something is due. It needs no other greenlet except, for
short times, that of a writer, so that many clients in one process are cheap.
"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from gevent.event import Event

from cypressledge.broker.metrics import Counters
from cypressledge.config import parse_address
from cypressledge.controlplane.activity_record import ActivityRecord
from cypressledge.controlplane.framing import ConnectionEndedError, FramedConnection, connect
from cypressledge.controlplane.messages import Change, HelloAccepted, Message
from cypressledge.controlplane.process_events import EventLogger
from cypressledge.controlplane.server_selection import Server
from cypressledge.controlplane.settings import ControlSettings
from cypressledge.controlplane.state import FleetState
from cypressledge.controlplane.subscriber import (
    BrokerIdentity,
    ConfigSubscriber,
    SubscriberCallbacks,
    SubscriberStatus,
)
from cypressledge.controlplane.traffic_counters import TrafficCounters
from cypressledge.fleet.clock import LeaseClock
from cypressledge.fleet.event_log import event_logger

MAX_MESSAGES_PER_TURN = 16  # messages handled before other greenlets run again
UNLOGGED_EVENTS = frozenset(("disconnected", "subscribed", "nearer_server_tried"))  # only counted
MAX_NAME_CHARS = 64  # of a peer's name in a log line
MAX_SLEEP_S = 4.0  # seconds; longest sleep, because timers do not advance while a machine is suspended


@dataclass(frozen=True, slots=True)
class SubscriberOptions:
    """Options that few callers need.

    `record`: path of a file that records, for test runs, which state is in force when; `log`: replaces the
    client's own logger; `seed`: for random delays, replaces the instance id.
    """

    record: str = ""
    log: EventLogger | None = None
    seed: int | None = None


class SubscriberClient:
    """Subscribes one broker to the control plane.

    `changed(state, change)` is called by the client's greenlet after each applied change (None: a snapshot).
    It returns why a part of it was rejected, or nothing if all of it is in force. `message_applied()`, if
    given, is called once everything in a message is applied: only then is the state in force, and its result
    replaces that of `changed`.

    The caller spawns the functions in `loops`; `stop` ends them.
    """

    def __init__(
        self,
        identity: BrokerIdentity,
        settings: ControlSettings,
        counters: Counters,
        changed: Callable[[FleetState, Change | None], str | None],
        message_applied: Callable[[], str | None] | None = None,
        options: SubscriberOptions | None = None,
    ) -> None:
        options = options or SubscriberOptions()
        self.changed, self.message_applied, self.counters = changed, message_applied, counters
        self.clock, self.traffic = LeaseClock(), TrafficCounters()
        self._log = options.log or event_logger(identity.name, identity.instance_id)
        self._record = ActivityRecord(options.record, {"broker": identity.name, "run": identity.instance_id})
        self._frames: FramedConnection | None = None
        self._pending_server: Server | None = None
        self._server_name = ""  # of the process that was dialled last
        self._woken, self._is_stopped = Event(), False
        servers = [Server(s.name, s.address, s.zone, s.region) for s in settings.servers]
        callbacks = SubscriberCallbacks(
            self._send,
            self._connect,
            self._disconnect,
            self._on_changed,
            self._on_event,
            None if message_applied is None else partial(self._on_message_applied, message_applied),
        )
        seed = identity.instance_id if options.seed is None else options.seed
        self.subscriber = ConfigSubscriber(identity, servers, seed, callbacks)
        self.loops = [self.run]
        self._record.write("start")

    @property
    def state(self) -> FleetState:
        """The state that is held."""
        return self.subscriber.state

    def status(self) -> SubscriberStatus:
        """Return the status for operators: server, position and how stale the state may be."""
        return self.subscriber.status(self.clock.now())

    def stop(self) -> None:
        """Close the connection; the greenlet ends soon afterwards."""
        self._is_stopped = True
        self._woken.set()
        if self._frames is not None:
            self._frames.close()

    # Main loop

    def run(self) -> None:
        """Connect as the subscriber requests, pass messages to it, and call its ticks, until stopped."""
        while not self._is_stopped:
            due = self.subscriber.tick(self.clock.now())
            if self._pending_server is not None:
                server, self._pending_server = self._pending_server, None
                self._dial(server)
            else:
                self._wait(min(max((due - self.clock.now()) / 1e6, 0.0), MAX_SLEEP_S))
        if self._frames is not None:
            self._frames.close()

    def _dial(self, server: Server) -> None:
        self._server_name = server.name
        try:
            self._frames = connect(parse_address(server.address), self.traffic)
        except ConnectionEndedError as err:
            self.subscriber.disconnected(self.clock.now(), str(err))
            return
        self.subscriber.connected(self.clock.now())

    def _check_server(self, message: Message) -> None:
        """Raise `ConnectionEndedError` if another process than the one in the settings has come up at its
        address: it may belong to another control plane, and a broker without a state would take its own from
        it."""
        if isinstance(message, HelloAccepted) and message.name != self._server_name:
            raise ConnectionEndedError(f"other server: {message.name[:MAX_NAME_CHARS]!r}")

    def _wait(self, seconds: float) -> None:
        """Wait until messages have arrived and been handled, or until the time has passed."""
        frames = self._frames
        if frames is None:
            self._woken.wait(seconds)
            return
        try:
            for _ in range(MAX_MESSAGES_PER_TURN):
                message = frames.receive(seconds)
                if message is None:
                    break
                self._check_server(message)
                self.subscriber.received(self.clock.now(), message)
                if self._frames is not frames:
                    break  # the subscriber has closed the connection
                seconds = 0.0
        except ConnectionEndedError as err:
            frames.close()
            if self._frames is frames:
                self._frames = None
                self.subscriber.disconnected(self.clock.now(), str(err))

    # The subscriber's callbacks

    def _send(self, message: Message) -> None:
        if self._frames is not None:
            self._frames.send(message)

    def _connect(self, server: Server) -> None:
        self._pending_server = server

    def _disconnect(self, why: str) -> None:
        """Close the connection; none of its messages may be passed to the subscriber afterwards."""
        self._pending_server = None
        if self._frames is not None:
            self._frames.close()
            self._frames = None

    def _on_changed(self, state: FleetState, change: Change | None) -> str | None:
        rejection = self.changed(state, change)
        if self.message_applied is None:
            self._record_in_force()
        return rejection

    def _on_message_applied(self, message_applied: Callable[[], str | None]) -> str | None:
        rejection = message_applied()
        self._record_in_force()
        return rejection

    def _on_event(self, event: str, **fields: object) -> None:
        self.counters.add(f"control.{event}")
        if event not in UNLOGGED_EVENTS:
            self._log.info(f"control_{event}", **fields)

    def _record_in_force(self) -> None:
        """Record, for test runs, the state that is in force from now on."""
        if self._record.is_open:
            state = self.subscriber.state  # in force by now: the callbacks have applied it
            self._record.write(
                "in_force", epoch=state.epoch, version=state.version, digest=state.digest.hex()
            )
