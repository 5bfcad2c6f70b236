"""In a voter's replica's place, for a control process that doesn't vote: it follows a voter as a broker does.

It keeps nothing on a disk, promises nothing, never leads; what it hands on was committed when it came.
"""

from collections.abc import Callable

import msgspec

from cypressledge.broker.metrics import Counters
from cypressledge.controlplane.errors import NotLeaderError
from cypressledge.controlplane.messages import Change, Message, Snapshot
from cypressledge.controlplane.replica_context import NEVER
from cypressledge.controlplane.replica_status import ReplicaStatus
from cypressledge.controlplane.settings import ControlSettings
from cypressledge.controlplane.state import FleetState
from cypressledge.controlplane.subscriber import BrokerIdentity
from cypressledge.controlplane.subscriber_client import SubscriberClient, SubscriberOptions

TICK_INTERVAL_US = 500_000


class NonVotingReplica:
    """What `control_process.py` asks of a `Replica`. `committed` as there."""

    role, joining, lease_until, epoch = "standby", False, NEVER, 0

    def __init__(
        self,
        name: str,
        run: int,
        settings: ControlSettings,
        zone: str,
        region: str,
        log,
        committed: Callable[[list[Change] | None, Snapshot | None], None],
    ) -> None:
        self.name, self.committed, self.leader, self.leader_heard_at = name, committed, "", NEVER
        voters = msgspec.structs.replace(settings, servers=[s for s in settings.servers if s.votes])
        self.agent = SubscriberClient(
            BrokerIdentity(name, run, zone, region),
            voters,
            Counters(),
            self._changed,
            options=SubscriberOptions(log=log),
        )
        self.parts = self.agent.parts

    def _changed(self, state: FleetState, change: Change | None) -> None:
        if change is None:
            self.committed(None, state.snapshot())
        else:
            self.committed([change], None)

    @property
    def cluster_id(self) -> str:
        """Of the history held."""
        return self.agent.state.cluster_id

    def is_eligible(self, now: int) -> bool:
        """Never to lead."""
        return False

    def lease(self, now: int, token: int | None, until: int) -> bool:
        """Of no use here."""
        return False

    def receive(self, now: int, sender: str, message: Message) -> None:
        """Voters' words are not for this one."""

    def propose_own(self, now: int, *_) -> None:
        """Never here."""
        raise NotLeaderError(self.leader)

    def tick(self, now: int) -> int:
        """Learn when a primary was heard last, by whom is followed; the moment of the next tick, µs."""
        told = self.agent.status()
        if told.primary:
            self.leader, self.leader_heard_at = told.primary, now - told.stale_ms * 1_000
        self.epoch = told.epoch
        return now + TICK_INTERVAL_US

    def status(self, now: int) -> ReplicaStatus:
        """As of now (µs)."""
        state = self.agent.state
        silent = -1 if self.leader_heard_at == NEVER else (now - self.leader_heard_at) // 1_000
        return ReplicaStatus(
            "learner",
            state.epoch,
            state.version,
            state.version,
            {},
            silent,
            self.leader,
            state.cluster_id,
            False,
        )
