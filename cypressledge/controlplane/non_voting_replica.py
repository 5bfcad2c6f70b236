"""In a voter's replica's place, for a control process that doesn't vote: it follows a voter as a broker does.

It keeps nothing on a disk, promises nothing, never leads; what it hands on was committed when it came.
"""

from collections.abc import Callable

import msgspec

from cypressledge.broker.metrics import Counters
from cypressledge.controlplane.messages import Change, Message, Snapshot
from cypressledge.controlplane.replica import NEVER, NotPrimary, Status
from cypressledge.controlplane.settings import ControlSettings
from cypressledge.controlplane.state import FleetState
from cypressledge.controlplane.subscriber import BrokerIdentity
from cypressledge.controlplane.subscriber_client import SubscriberClient, SubscriberOptions

TICK_US = 500_000


class Learner:
    """What `control_process.py` asks of a `Replica`. `committed` as there."""

    role, joining, until, epoch = "standby", False, NEVER, 0

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
        self.name, self.committed, self.primary, self.heard = name, committed, "", NEVER
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
        raise NotPrimary(self.primary)

    def tick(self, now: int) -> int:
        """Learn when a primary was heard last, by whom is followed; the moment of the next tick, µs."""
        told = self.agent.status()
        if told.primary:
            self.primary, self.heard = told.primary, now - told.stale_ms * 1_000
        self.epoch = told.epoch
        return now + TICK_US

    def status(self, now: int) -> Status:
        """As of now (µs)."""
        state = self.agent.state
        silent = -1 if self.heard == NEVER else (now - self.heard) // 1_000
        return Status(
            "learner",
            state.epoch,
            state.version,
            state.version,
            {},
            silent,
            self.primary,
            state.cluster_id,
            False,
        )
