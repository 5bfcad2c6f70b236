"""What each control process tells the leader of its brokers: which version they hold, and where they are.

The leader takes its own part without a connection. A report that is lost is repeated when the connection to
the leader is new, or when another one leads.
"""

import time
from dataclasses import dataclass

from cypressledge.controlplane.applied_versions import MAX_NAMES, AppliedVersions
from cypressledge.controlplane.broker_registry import BrokerRegistry
from cypressledge.controlplane.change_history import ChangeHistory
from cypressledge.controlplane.errors import NotLeaderError
from cypressledge.controlplane.leadership import Leadership
from cypressledge.controlplane.messages import AppliedReport, Message, Op, RegisterBrokers
from cypressledge.controlplane.peer_connections import PeerSender
from cypressledge.controlplane.process_events import ProcessEvents
from cypressledge.controlplane.publisher import Publisher
from cypressledge.controlplane.replica_context import Role
from cypressledge.controlplane.state_values import StateError
from cypressledge.fleet.node import FleetNode

REPORT_INTERVAL_US = 200_000  # between reports of what brokers have in force
REGISTRATION_INTERVAL_US = 100_000  # in which registrations are gathered into one change


@dataclass(slots=True)
class AppliedVersionReports:
    """Reports which versions the brokers here have in force. `applied`: what the leader knows of all."""

    leadership: Leadership
    publisher: Publisher
    sender: PeerSender
    applied: AppliedVersions
    _due_at: int = 0
    _reported_to: tuple[str, int] = ("", 0)  # the leader and the epoch of the last report
    _is_complete_due: bool = True

    def send(self, now: int) -> int:
        """Tell the leader what has changed, if it is time; when to call again, µs."""
        if now < self._due_at:
            return self._due_at
        self._due_at = now + REPORT_INTERVAL_US
        leader, epoch = self.leadership.leader, self.leadership.replica.epoch
        if (leader, epoch) != self._reported_to:  # a new one knows nothing yet
            self._reported_to, self._is_complete_due = (leader, epoch), True
        is_self = leader == self.leadership.name
        if not leader or not is_self and leader not in self.sender.reachable:
            return self._due_at
        report = self.publisher.subscriptions.report(self._is_complete_due)
        self._is_complete_due = False
        if report is not None and is_self:
            self.applied.report(now, leader, report)
        elif report is not None:
            self.sender.send(leader, report)
        return self._due_at

    def send_all_next(self) -> None:
        """The next report tells of all brokers: what was sent before may be lost."""
        self._is_complete_due = True


@dataclass(slots=True)
class ConnectedBrokers:
    """Which brokers are connected anywhere, as the leader knows it. `server_names`: of all control
    processes in the settings, this one (`name`) among them."""

    name: str
    server_names: frozenset[str]
    node: FleetNode
    sender: PeerSender
    applied: AppliedVersions

    def names(self) -> set[str] | None:
        """Of all connected brokers; None while a control process of the settings is out of sight."""
        visible = self.node.alive() & {self.name, *self.sender.reachable}
        return self.applied.connected(self.server_names, visible)


@dataclass(slots=True)
class BrokerRegistrations:
    """Passes on where brokers are; the leader proposes it, and takes out those that are gone."""

    leadership: Leadership
    history: ChangeHistory
    publisher: Publisher
    sender: PeerSender
    registry: BrokerRegistry
    connected: ConnectedBrokers
    events: ProcessEvents
    _due_at: int = 0

    def send(self, now: int) -> int:
        """Pass on, or as the leader propose, what is due; when to call again, µs."""
        if now < self._due_at:
            return self._due_at
        self._due_at = now + REGISTRATION_INTERVAL_US
        leader, state = self.leadership.leader, self.history.state
        self.registry.request(self.publisher.subscriptions.registrations(state))
        ops = self.registry.take_unsent(now, state)
        if leader == self.leadership.name:
            self._propose(now, ops)
        elif ops and leader in self.sender.reachable:
            self.registry.mark_sent(now, ops)
            self.sender.send(leader, RegisterBrokers(ops))
        return self._due_at

    def _propose(self, now: int, ops: list[Op]) -> None:
        """Register brokers, and take out those that are gone, each in a change of its own."""
        registry = self.registry
        if not ops and not registry.is_observation_due(now):
            return
        state = self.leadership.latest_state()
        registry.observe(now, state, self.connected.names(), ops)
        registry.mark_sent(now, ops)
        change, rejected = registry.resolve(now, state, ops)
        for why in rejected:
            self.events.emit("registration_rejected", why=why)
        self._propose_change(now, change, "brokers' places", "registration_rejected")
        self._propose_change(
            now, registry.expired(now, self.leadership.latest_state()), "brokers gone", "removal_rejected"
        )

    def _propose_change(self, now: int, ops: list[Op], description: str, failure_event: str) -> None:
        if not ops:
            return
        try:
            self.leadership.replica.propose_internal(now, ops, description, time.time_ns() // 1_000_000)
        except (NotLeaderError, StateError) as err:
            self.events.emit(failure_event, why=str(err))
            return
        removed = [op.key for op in ops if op.value is None]
        if removed:
            self.events.emit("brokers_removed", count=len(removed), keys=removed[:MAX_NAMES])


@dataclass(frozen=True, slots=True)
class PeerMessageRouter:
    """Hands what other control processes send to the part that it is for."""

    leadership: Leadership
    applied: AppliedVersions
    registry: BrokerRegistry
    reports: AppliedVersionReports

    def received(self, now: int, peer: str, message: Message) -> None:
        """A message of a peer. Reports are taken by one that is about to lead, too."""
        replica = self.leadership.replica
        if isinstance(message, AppliedReport):
            if replica.role is not Role.FOLLOWER:
                self.applied.report(now, peer, message)
        elif isinstance(message, RegisterBrokers):
            if replica.role is not Role.FOLLOWER:
                self.registry.request(message.ops)
        else:
            replica.receive(now, peer, message)

    def disconnected(self, now: int, peer: str) -> None:
        """What a peer said of its brokers may no longer be so."""
        self.applied.drop(peer)

    def reachable(self, now: int, peer: str) -> None:
        """What was sent to the leader over the former connection may be lost."""
        if peer == self.leadership.leader:
            self.reports.send_all_next()
            self.registry.resend_all()
