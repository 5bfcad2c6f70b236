"""Who leads the control processes: the lease `primary`, handed to the replica that it allows to lead.

The lease only decides who tries to lead; the safety of the history is the replica's alone.
"""

from cypressledge.controlplane.errors import NotLeaderError
from cypressledge.controlplane.non_voting_replica import NonVotingReplica
from cypressledge.controlplane.publisher import Publisher
from cypressledge.controlplane.replica import Replica
from cypressledge.controlplane.replica_context import Role
from cypressledge.controlplane.state import FleetState
from cypressledge.fleet.clock import LeaseClock
from cypressledge.fleet.node import FleetNode

PRIMARY_LEASE = "primary"
RELEASE_BACKOFF_S = 1.0  # after a lease of no use here was given back, until it is asked for again


class Leadership:
    """The lease's state towards the replica of one control process. `term`: of the lease, µs; `is_voter`:
    whether this process may lead at all."""

    def __init__(
        self,
        name: str,
        is_voter: bool,
        lease_term: int,
        clock: LeaseClock,
        node: FleetNode,
        replica: Replica | NonVotingReplica,
    ) -> None:
        self.name, self.is_voter, self.lease_term, self.clock = name, is_voter, lease_term, clock
        self.node, self.replica = node, replica
        self.suspended_until = 0  # µs: the disk here refuses until then, as far as is known

    def voting_replica(self) -> Replica:
        """The replica, where this process votes. Raises `NotLeaderError` where it doesn't."""
        if not isinstance(self.replica, Replica):
            raise NotLeaderError(self.leader)
        return self.replica

    def latest_state(self) -> FleetState:
        """The state with what isn't committed yet: what the next change is made on. Raises `NotLeaderError`
        where there is none."""
        state = self.voting_replica().latest_state
        if state is None:
            raise NotLeaderError(self.leader)
        return state

    @property
    def is_leader(self) -> bool:
        """Whether this process leads now."""
        return self.replica.role is Role.LEADER and self.clock.now() < self.replica.lease_until

    @property
    def leader(self) -> str:
        """The name of who leads, as far as is known here; empty where nobody does."""
        if self.is_leader:
            return self.name
        return "" if self.replica.leader == self.name else self.replica.leader

    def is_suspended(self, now: int) -> bool:
        """Whether this process neither leads nor takes brokers for now."""
        return now < self.suspended_until

    def suspend(self, now: int) -> bool:
        """The disk has refused: stay away from the lease for two terms. Whether this begins now. Guards
        against a process that takes the lease from the others again, and that keeps brokers while its
        history stands still."""
        newly_suspended = not self.is_suspended(now)
        self.suspended_until = now + 2 * self.lease_term
        return newly_suspended

    def apply_lease(self, now: int) -> None:
        """Tell the replica what holds of the lease; it is asked for only where that could lead."""
        self._request_lease(now)
        grant = self.node.held_lease(PRIMARY_LEASE)
        if grant is None:
            self.replica.update_lease(now, None, 0)
        elif not self.replica.update_lease(now, grant.token, grant.expires_at):
            if grant.token <= self.replica.epoch:
                self.node.token_rejected(PRIMARY_LEASE, self.replica.epoch)
            else:
                self.node.release(PRIMARY_LEASE, "replica cannot lead", RELEASE_BACKOFF_S)

    def _request_lease(self, now: int) -> None:
        is_eligible = self.replica.is_eligible(now) and not self.is_suspended(now) and self.is_voter
        if is_eligible != (PRIMARY_LEASE in self.node.lease_manager.requested_groups):
            (self.node.request_lease if is_eligible else self.node.release_group)(PRIMARY_LEASE)

    def report_contact(self, now: int, publisher: Publisher) -> None:
        """Tell the publisher when a leader was heard last."""
        if self.is_leader:
            publisher.on_leader_contact(now, self.name)
        elif self.replica.leader and self.replica.leader != self.name:
            publisher.on_leader_contact(self.replica.last_leader_contact, self.replica.leader)
