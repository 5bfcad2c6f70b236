"""A broker's connection to the control plane: one greenlet around a `ConfigSubscriber`. Uses gevent.

It wakes only when something has come or is due, and needs no other greenlet but a writer's for a moment:
many of them are cheap in one process.
"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from gevent.event import Event

from cypressledge.broker.metrics import Counters
from cypressledge.config import parse_address
from cypressledge.controlplane.activity_record import ActivityRecord
from cypressledge.controlplane.framing import ConnectionEndedError, FramedConnection, connect
from cypressledge.controlplane.messages import Change, Message
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

MAX_MESSAGES_PER_TURN = 16  # before other greenlets have their turn
UNLOGGED_EVENTS = frozenset(("disconnected", "subscribed", "nearer_server_tried"))  # these are counted only
MAX_SLEEP_S = 4.0  # at a time: a suspended machine's timers stand still


@dataclass(frozen=True, slots=True)
class SubscriberOptions:
    """What few callers need. `record`: for the laboratory, a file of what was in force when; `log`: in place
    of a logger of its own; `seed`: of random waits, in place of the instance id."""

    record: str = ""
    log: EventLogger | None = None
    seed: int | None = None


class SubscriberClient:
    """Follows the control plane for one broker.

    `changed(state, change)` is called by the client's greenlet once a newer state is held (no change: it came
    as a snapshot); it returns why some of it was rejected, nothing where all is in force.
    `message_applied()`, where given, is called once all that came together is held: only then is it in force,
    and it returns instead.

    Spawn what `loops` names; `stop` ends it."""

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
        """What is in force."""
        return self.subscriber.state

    def status(self) -> SubscriberStatus:
        """For operators: what is in force, from whom, and how stale it may be."""
        return self.subscriber.status(self.clock.now())

    def stop(self) -> None:
        """End the connection; the greenlet ends soon."""
        self._is_stopped = True
        self._woken.set()
        if self._frames is not None:
            self._frames.close()

    # The greenlet

    def run(self) -> None:
        """Until stopped: connect where the subscriber asks, pass on what comes, wait until more is due."""
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
        try:
            self._frames = connect(parse_address(server.address), self.traffic)
        except ConnectionEndedError as err:
            self.subscriber.disconnected(self.clock.now(), str(err))
            return
        self.subscriber.connected(self.clock.now())

    def _wait(self, seconds: float) -> None:
        """Until a message has come and been taken, or the time has passed."""
        frames = self._frames
        if frames is None:
            self._woken.wait(seconds)
            return
        try:
            for _ in range(MAX_MESSAGES_PER_TURN):
                message = frames.receive(seconds)
                if message is None:
                    break
                self.subscriber.received(self.clock.now(), message)
                if self._frames is not frames:
                    break  # the subscriber has ended it
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
        """The subscriber wants no more of this connection; nothing of it may be passed on any more."""
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
        """For the laboratory: what is in force from now on."""
        if self._record.is_open:
            state = self.subscriber.state  # the complete one: `changed` has taken it by now
            self._record.write(
                "in_force", epoch=state.epoch, version=state.version, digest=state.digest.hex()
            )
