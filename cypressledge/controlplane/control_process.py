"""Assembles, runs and stops one control process. Uses gevent.

Only one greenlet, the event loop, accesses the replica, the history and the publisher. The greenlets of
sockets pass calls to it through an inbox of bounded length.
"""

import os
import signal
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial

import gevent
from gevent.event import Event

from cypressledge.broker.metrics import Counters, log
from cypressledge.config import parse_address
from cypressledge.controlplane.activity_record import ActivityRecord
from cypressledge.controlplane.applied_versions import AppliedVersions
from cypressledge.controlplane.broker_connections import RETRY_AFTER_MS, BrokerConnections, reject_connection
from cypressledge.controlplane.broker_registry import BrokerRegistry
from cypressledge.controlplane.change_history import ChangeHistory
from cypressledge.controlplane.change_proposals import ChangeProposals, LeaderLocator
from cypressledge.controlplane.committed_changes import CommittedChanges
from cypressledge.controlplane.faults import FaultInjection
from cypressledge.controlplane.framing import (
    HELLO_TIMEOUT_S,
    ConnectionEndedError,
    FramedConnection,
)
from cypressledge.controlplane.inbox import Inbox
from cypressledge.controlplane.leader_reports import (
    AppliedVersionReports,
    BrokerRegistrations,
    ConnectedBrokers,
    PeerMessageRouter,
)
from cypressledge.controlplane.leadership import PRIMARY_LEASE, Leadership
from cypressledge.controlplane.messages import Disconnect, Hello, Op
from cypressledge.controlplane.non_voting_replica import NonVotingReplica
from cypressledge.controlplane.operator_api import OperatorApi, ProcessCounts
from cypressledge.controlplane.operator_calls import OperatorServer
from cypressledge.controlplane.peer_connections import PeerDialer, PeerHandshake, PeerReceiver, PeerSender
from cypressledge.controlplane.process_events import ProcessEvents
from cypressledge.controlplane.publisher import Publisher, PublisherLimits
from cypressledge.controlplane.replica import Replica
from cypressledge.controlplane.replica_context import ReplicaHandlers, ReplicaIdentity
from cypressledge.controlplane.settings import ControlSettings
from cypressledge.controlplane.sqlite_storage import SqliteStorage
from cypressledge.controlplane.state import FleetState
from cypressledge.controlplane.traffic_counters import TrafficCounters
from cypressledge.fleet.clock import LeaseClock
from cypressledge.fleet.event_log import event_logger
from cypressledge.fleet.leases.electorate import Electorate
from cypressledge.fleet.leases.lease import LeaseSlot
from cypressledge.fleet.node import FleetNode, NodeHooks, NodeSettings, new_instance_id
from cypressledge.net.connection_registry import ConnectionRegistry
from cypressledge.net.listener import Listener

MAX_HELLO_BYTES = 4 << 10  # bytes; the largest first frame of a connection
SPARE_CONNECTIONS = 64  # connections beyond the brokers': peers, and those that have not sent a Hello yet
STOP_DELAY_S = 0.5  # seconds; time for the last frames to be sent
FAILED_EXIT_CODE = 3  # exit code if a greenlet ends with an exception


@dataclass(frozen=True, slots=True)
class ProcessOptions:
    """How a control process is started.

    `disk`: its opened store, None if it doesn't vote. `seed`: the operations of a new history's first
    version, if this process may begin one. `rejoin`: its disk was lost.
    """

    name: str
    disk: SqliteStorage | None
    faults: FaultInjection
    seed: list[Op] | None = None
    rejoin: bool = False


class ControlProcess:
    """One control process with all its parts.

    Raises `ConfigError`, `StateError`, `StorageError`, `OSError`.
    """

    def __init__(self, settings: ControlSettings, options: ProcessOptions) -> None:
        self.settings, self.options, self.name = settings, options, options.name
        self.server = settings.server(self.name)
        self.instance_id = new_instance_id()
        self._is_stopping, self._stop_asked = False, Event()
        self.clock = LeaseClock(settings.lab.clock_rate, round(settings.lab.clock_offset_s * 1e6))
        self.counters, self.traffic = Counters(), TrafficCounters()
        self.log = event_logger(self.name, self.instance_id)
        self.record = ActivityRecord(settings.lab.record, {"who": self.name, "run": self.instance_id})
        self.events = ProcessEvents(self.counters, self.log)
        self.inbox = Inbox(self.clock)

        # The history, and its publication to brokers
        self.history, self.applied = ChangeHistory(FleetState()), AppliedVersions()
        self.registry = BrokerRegistry(round(settings.forget_s * 1e6))
        self.committed = CommittedChanges(self.history, self.record, self.inbox)
        self.brokers = BrokerConnections(self.inbox)
        self.publisher = self._make_publisher()

        # The lease and the replicated log
        self.sender = PeerSender(self.counters, options.faults)
        now = self.clock.now()
        self.node = self._make_node(now)
        self.replica = self._make_replica(now)
        self.leadership = self._make_leadership()
        self._subscribe()
        self._permit_first_version()

        # The other control processes
        self.reports = AppliedVersionReports(self.leadership, self.publisher, self.sender, self.applied)
        self.registrations = self._make_registrations()
        self._handshake = self._make_handshake()
        self._router = PeerMessageRouter(self.leadership, self.applied, self.registry, self.reports)
        self.receiver = PeerReceiver(self._handshake, self._router, self.inbox)

        # Listening sockets
        self.listener = self._make_listener()
        self._locator = LeaderLocator(self.leadership, settings.servers)
        self.proposals = self._make_proposals()
        self.operators = self._make_operator_server()
        self.loops = self._make_loops()

    # Assembly

    def _make_publisher(self) -> Publisher:
        limits = PublisherLimits(max_subscribers=self.settings.max_brokers)
        return Publisher(
            self.name,
            self.instance_id,
            self.history,
            limits,
            self.brokers.send,
            self.brokers.end,
            self.events.emit,
        )

    def _make_node(self, now: int) -> FleetNode:
        settings = self.settings
        electorate = Electorate(
            self.name,
            settings.term,
            {settings.version: settings.voters},
            settings.version,
            now,
            round(settings.grace_s * 1e6),
        )
        return FleetNode(
            self.name,
            NodeSettings(
                listen=parse_address(self.server.fleet),
                addresses={s.name: parse_address(s.fleet) for s in settings.servers},
                slots=[LeaseSlot(PRIMARY_LEASE, PRIMARY_LEASE, settings.term, on_demand=True)],
                drift_ppm=settings.drift_ppm,
                ping_s=settings.ping_s,
                instance_id=self.instance_id,
            ),
            electorate,
            self.counters,
            self.clock,
            NodeHooks(on_lease_event=lambda *_: self.inbox.wake()),
            self.log,
        )

    def _make_replica(self, now: int) -> Replica | NonVotingReplica:
        settings, options = self.settings, self.options
        if options.disk is None:
            return NonVotingReplica(
                self.name,
                self.instance_id,
                settings,
                self.server.zone,
                self.server.region,
                self.log,
                self.committed.apply_from_other_greenlet,
            )
        return Replica(
            ReplicaIdentity(self.name, self.instance_id, settings.voters),
            options.disk,
            now,
            ReplicaHandlers(self.sender.send, self.committed.apply, self.events.emit),
            options.rejoin,
            settings.term,
        )

    def _subscribe(self) -> None:
        """Connect the parts to each other's events."""
        for event in ("primary", "stepped_down"):
            self.events.subscribe(event, partial(self._record_leadership_event, event))
        for event in ("recovering", "stepped_down"):
            self.events.subscribe(event, self._clear_reports)
        self.events.subscribe("disk_error", self._suspend)

    def _make_leadership(self) -> Leadership:
        return Leadership(
            self.name, self.server.votes, self.settings.term, self.clock, self.node, self.replica
        )

    def _permit_first_version(self) -> None:
        """Allow the replica to begin a new history with the seed. Raises `StateError` if it is invalid."""
        seed = self.options.seed
        if seed is not None and isinstance(self.replica, Replica):
            self.replica.permit_first_version(f"{self.name}-{self.instance_id:x}", seed)

    def _make_registrations(self) -> BrokerRegistrations:
        connected = ConnectedBrokers(self.name, self._server_names(), self.node, self.sender, self.applied)
        return BrokerRegistrations(
            self.leadership, self.history, self.publisher, self.sender, self.registry, connected, self.events
        )

    def _server_names(self) -> frozenset[str]:
        return frozenset(spec.name for spec in self.settings.servers)

    def _make_handshake(self) -> PeerHandshake:
        return PeerHandshake(
            self.name, self.instance_id, self._server_names(), self.history, self.replica, self.events
        )

    def _make_listener(self) -> Listener:
        address = parse_address(self.server.address)
        listener = Listener(address, self.counters, "control", self._serve, ConnectionRegistry())
        listener.max_connections = self.settings.max_brokers + SPARE_CONNECTIONS
        return listener

    def _make_proposals(self) -> ChangeProposals:
        return ChangeProposals(
            self.leadership, self._locator, self.inbox, self.events, self.record, self.options.faults
        )

    def _make_operator_server(self) -> OperatorServer:
        counts = ProcessCounts(self.traffic, self.counters, self.publisher, self.sender, self.proposals)
        api = OperatorApi(
            self.instance_id, self.leadership, self.history, self.applied, self._locator, counts
        )
        return OperatorServer(
            parse_address(self.server.management), self.counters, self.proposals.submit, api.calls()
        )

    def _make_loops(self) -> list[Callable[[], None]]:
        """Return the functions that each run in a greenlet of their own for the life of the process."""
        own_loops = [self.run_event_loop, self.listener.run, self.operators.run]
        replica_loops = self.replica.loops if isinstance(self.replica, NonVotingReplica) else []
        return [*self.node.loops, *own_loops, *self._peer_loops(), *replica_loops]

    def _peer_loops(self) -> Iterator[Callable[[], None]]:
        """Yield a loop for each other control process, which keeps a connection to it."""
        dialer = PeerDialer(
            self._handshake,
            self.sender,
            self._router,
            self.inbox,
            self.traffic,
            self.counters,
            self.log,
        )
        for spec in self.settings.servers:
            if spec.name != self.name:
                yield partial(dialer.maintain, spec, lambda: self._is_stopping)

    # Events

    def _record_leadership_event(self, event: str, fields: dict[str, object]) -> None:
        self.record.write(event, epoch=fields["epoch"], version=fields.get("version", 0))

    def _clear_reports(self, fields: dict[str, object]) -> None:
        """Discard registrations and applied versions, because this process has begun or ceased to lead."""
        self.registry.clear()
        self.applied.clear()

    def _suspend(self, fields: dict[str, object]) -> None:
        """Disconnect the brokers after a disk error, so that they switch to other control processes."""
        if self.leadership.suspend(self.clock.now()):
            self.publisher.stop()

    # Event loop

    def run_event_loop(self) -> None:
        """Run due work and pending calls until the process stops; runs in a greenlet of its own."""
        while not self._is_stopping:
            now = self.clock.now()
            self.leadership.apply_lease(now)
            due = min(self.replica.tick(now), self.reports.send(now), self.registrations.send(now))
            if self.committed.take_unpublished():
                self.publisher.committed(now)
            self.leadership.report_contact(now, self.publisher)
            due = min(due, self.publisher.tick(now), self.proposals.settle(now))
            self.inbox.run_pending(due)

    # Connections

    def _serve(self, sock: gevent.socket.socket) -> None:
        """Serve one accepted connection; its greenlet is the connection's only reader, and closes it."""
        frames = FramedConnection(sock, self.traffic, MAX_HELLO_BYTES)
        try:
            hello = frames.receive(HELLO_TIMEOUT_S)
            if not isinstance(hello, Hello):
                raise ConnectionEndedError("no hello")
            if hello.role == "control":
                self.receiver.serve(hello, frames)
            elif self._is_stopping or self.leadership.is_suspended(self.clock.now()):
                reject_connection(frames, Disconnect("stopping", RETRY_AFTER_MS))
            else:
                self.brokers.serve(hello, frames, self.publisher)
        except ConnectionEndedError as err:
            self.counters.add(f"control.connection_ended.{str(err).partition(':')[0][:24]}")
        finally:
            frames.close()

    # Run and stop

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT; then release the lease and close the connections."""
        log(f"{self.name}: control process, brokers at {self.server.address}")
        for greenlet in map(gevent.spawn, self.loops):
            greenlet.link_exception(self._exit_failed)
        gevent.signal_handler(signal.SIGTERM, self._stop_asked.set)
        gevent.signal_handler(signal.SIGINT, self._stop_asked.set)
        gevent.signal_handler(signal.SIGUSR1, lambda: self.counters.print("asked"))
        self._stop_asked.wait()
        self.stop()
        self.counters.print("exit")

    def stop(self) -> None:
        """Stop within slightly more than `STOP_DELAY_S`.

        Changes that still wait for a majority are answered with an unknown outcome.
        """
        now = self.clock.now()
        self._is_stopping = True
        self.listener.stop()
        self.replica.update_lease(now, None, 0)
        self.node.stop()
        self.proposals.settle(now)
        self.publisher.stop()
        self.sender.finish()
        self.receiver.finish()
        gevent.sleep(STOP_DELAY_S)
        if self.options.disk is not None:
            self.options.disk.close()

    def _exit_failed(self, greenlet: gevent.Greenlet) -> None:
        """Exit the process, to be restarted: it can't run without the part that ended with an exception."""
        log(f"a part of the control process failed: {greenlet.exception!r}")
        os._exit(FAILED_EXIT_CODE)
