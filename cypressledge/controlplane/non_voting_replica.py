"""The replica of a control process that does not vote: it follows a voter in the same way as a broker.

It stores nothing on disk, makes no promises and never leads. Everything that it receives and passes on is
already committed.
"""

from typing import Any

import msgspec

from cypressledge.broker.metrics import Counters
from cypressledge.controlplane.errors import NotLeaderError
from cypressledge.controlplane.messages import Change, Message, Op
from cypressledge.controlplane.proposals import PendingProposal
from cypressledge.controlplane.replica_context import NEVER, CommitHandler, Role
from cypressledge.controlplane.replica_status import ReplicaStatus
from cypressledge.controlplane.settings import ControlSettings
from cypressledge.controlplane.state import FleetState
from cypressledge.controlplane.subscriber import BrokerIdentity
from cypressledge.controlplane.subscriber_client import SubscriberClient, SubscriberOptions

TICK_INTERVAL_US = 500_000  # µs; time between ticks


class NonVotingReplica:
    """A replica with the interface of `Replica`; `on_commit` is the same, `log` is a structured logger."""

    role = Role.FOLLOWER
    joining = False
    lease_until = NEVER

    def __init__(
        self,
        name: str,
        instance_id: int,
        settings: ControlSettings,
        zone: str,
        region: str,
        log: Any,
        on_commit: CommitHandler,
    ) -> None:
        self.epoch = 0
        self.leader = ""  # name of the last known leader; empty if there is none
        self.last_leader_contact = NEVER  # µs; time of the last contact with a leader
        self._on_commit = on_commit
        voters = msgspec.structs.replace(settings, servers=[s for s in settings.servers if s.votes])
        self._subscriber = SubscriberClient(
            BrokerIdentity(name, instance_id, zone, region),
            voters,
            Counters(),
            self._on_state,
            options=SubscriberOptions(log=log),
        )
        self.loops = self._subscriber.loops

    def _on_state(self, state: FleetState, change: Change | None) -> None:
        if change is None:
            self._on_commit(None, state.snapshot())
        else:
            self._on_commit([change], None)

    @property
    def cluster_id(self) -> str:
        """The identity of the history that this process follows."""
        return self._subscriber.state.cluster_id

    @property
    def latest_state(self) -> FleetState:
        """The newest state received; all of it is committed."""
        return self._subscriber.state

    def permit_first_version(self, cluster_id: str, ops: list[Op]) -> None:
        """Raise `NotLeaderError`: only voters start a new log."""
        raise NotLeaderError(self.leader)

    def is_eligible(self, now: int) -> bool:
        """Return whether this replica could lead: never."""
        return False

    def update_lease(self, now: int, token: int | None, until: int) -> bool:
        """Return whether this replica can use the lease: never."""
        return False

    def receive(self, now: int, sender: str, message: Message) -> None:
        """Ignore the messages that voters exchange."""

    def propose(
        self,
        now: int,
        ops: list[Op],
        base_version: int,
        request_id: str = "",
        author: str = "",
        reason: str = "",
        created_at_ms: int = 0,
    ) -> PendingProposal:
        """Raise `NotLeaderError`: this replica never leads."""
        raise NotLeaderError(self.leader)

    def propose_internal(
        self, now: int, ops: list[Op], reason: str = "", created_at_ms: int = 0
    ) -> PendingProposal:
        """Raise `NotLeaderError`: this replica never leads."""
        raise NotLeaderError(self.leader)

    def tick(self, now: int) -> int:
        """Update the last contact with a leader from the followed voter; return the next tick's time, µs."""
        status = self._subscriber.status()
        if status.leader:
            self.leader = status.leader
            self.last_leader_contact = now - status.stale_ms * 1_000
        self.epoch = status.epoch
        return now + TICK_INTERVAL_US

    def status(self, now: int) -> ReplicaStatus:
        """Return the status of this replica at `now` (µs)."""
        state = self._subscriber.state
        contact_at = self.last_leader_contact
        return ReplicaStatus(
            role="learner",
            epoch=state.epoch,
            last=state.version,
            commit=state.version,
            match={},
            leader_silence_ms=-1 if contact_at == NEVER else (now - contact_at) // 1_000,
            leader=self.leader,
            cluster_id=state.cluster_id,
            joining=False,
        )
