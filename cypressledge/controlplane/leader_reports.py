"""Reports of each control process to the leader about its brokers: applied versions and addresses.

The leader passes its own report to itself without a connection. A lost report is repeated when a new
connection to the leader is up or when the leader has changed.
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

REPORT_INTERVAL_US = 200_000  # µs; time between reports of the versions that brokers have applied
REGISTRATION_INTERVAL_US = 100_000  # µs; registrations within it are combined into one change


@dataclass(slots=True)
class AppliedVersionReports:
    """Reports to the leader which versions the brokers connected to this process have applied.

    `applied` collects the reports about all brokers while this process leads.
    """

    leadership: Leadership
    publisher: Publisher
    sender: PeerSender
    applied: AppliedVersions
    _due_at: int = 0
    _reported_to: tuple[str, int] = ("", 0)  # leader and epoch of the last report
    _is_complete_due: bool = True

    def send(self, now: int) -> int:
        """Report changes to the leader if a report is due; return the time of the next call, µs."""
        if now < self._due_at:
            return self._due_at
        self._due_at = now + REPORT_INTERVAL_US
        leader, epoch = self.leadership.leader, self.leadership.replica.epoch
        if (leader, epoch) != self._reported_to:  # a new leader has no reports yet
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
        """Make the next report cover all brokers, because earlier reports may be lost."""
        self._is_complete_due = True


@dataclass(slots=True)
class ConnectedBrokers:
    """The brokers connected to any control process, as known to the leader.

    `server_names` are the names of all control processes in the settings, including this one (`name`).
    """

    name: str
    server_names: frozenset[str]
    node: FleetNode
    sender: PeerSender
    applied: AppliedVersions

    def names(self) -> set[str] | None:
        """Return the names of all connected brokers; None if a configured process is unreachable."""
        visible = self.node.alive() & {self.name, *self.sender.reachable}
        return self.applied.connected(self.server_names, visible)


@dataclass(slots=True)
class BrokerRegistrations:
    """Forwards the addresses of brokers to the leader, which proposes them and removes absent brokers."""

    leadership: Leadership
    history: ChangeHistory
    publisher: Publisher
    sender: PeerSender
    registry: BrokerRegistry
    connected: ConnectedBrokers
    events: ProcessEvents
    _due_at: int = 0

    def send(self, now: int) -> int:
        """Forward due registrations, or propose them as the leader; return the time of the next call, µs."""
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
        """Propose the registrations and the removal of absent brokers, each in a change of its own."""
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
    """Dispatches the messages of other control processes to the components that handle them."""

    leadership: Leadership
    applied: AppliedVersions
    registry: BrokerRegistry
    reports: AppliedVersionReports

    def received(self, now: int, peer: str, message: Message) -> None:
        """Dispatch a peer's message. A candidate, which is about to lead, accepts reports too."""
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
        """Discard a peer's reports about its brokers, as they may be out of date."""
        self.applied.drop(peer)

    def reachable(self, now: int, peer: str) -> None:
        """Repeat everything on a new connection to the leader: the previous messages may be lost."""
        if peer == self.leadership.leader:
            self.reports.send_all_next()
            self.registry.resend_all()
