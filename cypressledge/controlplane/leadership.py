"""Leadership among the control processes: passes the state of the lease `primary` to the replica.

The lease only decides which process tries to lead; the replica alone ensures the safety of the history.
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
RELEASE_BACKOFF_S = 1.0  # s; time after releasing a lease that could not be used until it is requested again


class Leadership:
    """Connects the lease with the replica of one control process.

    `lease_term` is in µs; `is_voter` tells whether this process may lead at all.
    """

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
        self.suspended_until = 0  # µs; until then the disk here is assumed to fail

    def voting_replica(self) -> Replica:
        """Return the replica if this process votes; raise `NotLeaderError` otherwise."""
        if not isinstance(self.replica, Replica):
            raise NotLeaderError(self.leader)
        return self.replica

    def latest_state(self) -> FleetState:
        """Return the state including uncommitted changes, on which the next change is based.

        Raises `NotLeaderError` if there is none.
        """
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
        """The name of the last known leader; empty if there is none."""
        if self.is_leader:
            return self.name
        return "" if self.replica.leader == self.name else self.replica.leader

    def is_suspended(self, now: int) -> bool:
        """Return whether this process currently neither leads nor accepts brokers."""
        return now < self.suspended_until

    def suspend(self, now: int) -> bool:
        """Stop requesting the lease for two terms after a disk failure; return whether the suspension is new.

        Otherwise this process could take the lease from the others again, and keep its brokers while its
        history makes no progress.
        """
        newly_suspended = not self.is_suspended(now)
        self.suspended_until = now + 2 * self.lease_term
        return newly_suspended

    def apply_lease(self, now: int) -> None:
        """Pass the state of the lease to the replica; request the lease only while the replica could lead."""
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
        """Report the time of the last contact with the leader to the publisher."""
        if self.is_leader:
            publisher.on_leader_contact(now, self.name)
        elif self.replica.leader and self.replica.leader != self.name:
            publisher.on_leader_contact(self.replica.last_leader_contact, self.replica.leader)
