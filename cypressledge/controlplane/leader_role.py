"""A replica's actions on the lease: recovering the newest log, leading, and stepping down."""

from collections.abc import Mapping

from cypressledge.controlplane.errors import NotLeaderError
from cypressledge.controlplane.leader_recovery import LeaderRecovery, RecoveryPhase
from cypressledge.controlplane.log_replication import LeaderReplication
from cypressledge.controlplane.messages import (
    Denied,
    EntriesAppended,
    EntriesFetched,
    Message,
    Mismatch,
    Promise,
)
from cypressledge.controlplane.peer_progress import PeerProgress
from cypressledge.controlplane.replica_context import HEARTBEAT_INTERVAL_US, NEVER, ReplicaContext, Role
from cypressledge.controlplane.replicated_log import ReplicatedLog

QUORUM_TIMEOUT_US = 10_000_000  # µs; time without a majority's answers before it lets another replica try


class LeaderRole:
    """The candidate and leader roles of a replica, from taking over the lease to stepping down."""

    def __init__(self, context: ReplicaContext, log: ReplicatedLog) -> None:
        self._context = context
        self._log = log
        self._recovery: LeaderRecovery | None = None  # set while a candidate recovers the newest log
        self._replication: LeaderReplication | None = None  # set from the first entry of its own epoch on
        self._answered_at: dict[str, int] = {}  # µs; time of each peer's last answer in this epoch
        self.lease_until = NEVER  # µs; expiry of the lease held here

    @property
    def progress(self) -> Mapping[str, PeerProgress]:
        """Replication progress of each other voter by name, while this replica leads or is about to lead."""
        return {} if self._replication is None else self._replication.progress

    @property
    def is_preparing(self) -> bool:
        """Whether this replica is a candidate that waits for promises."""
        return self._recovery is not None and self._recovery.phase is RecoveryPhase.PREPARE

    # Role changes

    def holds_lease(self, now: int) -> bool:
        """Return whether the lease is held at `now` (µs); without it another replica may be the leader."""
        return now < self.lease_until

    def renew_lease(self, token: int | None, until: int) -> None:
        """Record the lease (see `Replica.update_lease`); step down unless it is valid for this epoch."""
        self.lease_until = until if token is not None else NEVER
        if token != self._log.epoch or not self.holds_lease(self._context.now):
            self.step_down("lease")

    def take_over(self, token: int) -> bool:
        """Become a candidate in the epoch `token`; return whether the promise is stored."""
        context = self._context
        if not self._log.promise(token, context.instance_id):
            return False
        context.role = Role.CANDIDATE
        context.report("recovering", epoch=token)
        self._answered_at = dict.fromkeys(context.peers, context.now)
        self._recovery = LeaderRecovery(context, self._log, self._start_leading)
        self._recovery.start()
        return True

    def _start_leading(self) -> None:
        """Write and send the first entry of this epoch, after the newest log of a majority is held here."""
        replication = self._replication = LeaderReplication(self._context, self._log, self)
        self._recovery = None
        if replication.write_first_entry():
            self._context.leader = self._context.name
            replication.start()

    def step_down(self, reason: str) -> None:
        """Become a follower without a known leader; `reason` is reported."""
        context = self._context
        if context.role is Role.FOLLOWER:
            return
        context.report("stepped_down", epoch=self._log.epoch, was=context.role.value, why=reason)
        if self._replication is not None:
            self._replication.stop()
        self._recovery = self._replication = None
        context.role = Role.FOLLOWER
        context.leader = ""

    def _has_lost_quorum(self, now: int) -> bool:
        """Return whether no majority has answered for `QUORUM_TIMEOUT_US`.

        A leader without a majority keeps a lease that it cannot use and that another replica could.
        """
        answers = sorted((now, *self._answered_at.values()), reverse=True)
        return now >= answers[len(self._context.voters) // 2] + QUORUM_TIMEOUT_US

    # Message handling

    def on_answer(self, sender: str, message: Message) -> None:
        """Pass a voter's answer in this epoch to the recovery or replication that requested it, if active."""
        self._answered_at[sender] = self._context.now
        recovery, replication = self._recovery, self._replication
        if recovery is not None:
            if isinstance(message, Promise):
                recovery.on_promise(sender, message)
            elif isinstance(message, EntriesFetched):
                recovery.on_entries_fetched(sender, message)
        elif replication is not None:
            if isinstance(message, EntriesAppended):
                replication.on_entries_appended(sender, message)
            elif isinstance(message, Mismatch):
                replication.on_mismatch(sender, message)

    def on_denied(self, sender: str, message: Denied) -> None:
        """Process a voter's `Denied`: step down if the epoch was promised elsewhere, else report it."""
        if self._context.role is Role.FOLLOWER:
            return
        if message.reason != "epoch":
            self._context.report("voter_denied", voter=sender, why=message.reason)
        # Same epoch: the voter has promised it to another instance. A leader has its majority and continues.
        elif message.epoch > self._log.epoch or message.epoch == self._log.epoch and self.is_preparing:
            self.step_down("denied")

    # Proposals and timers

    def require_leader_replication(self) -> LeaderReplication:
        """Return the leader's replication.

        Raises `NotLeaderError` if this replica does not lead and `StateError` while too many changes are
        pending.
        """
        context = self._context
        if context.role is not Role.FOLLOWER and not self.holds_lease(context.now):
            self.step_down("lease")
        if context.role is not Role.LEADER or self._replication is None:
            raise NotLeaderError("" if context.leader == context.name else context.leader)
        self._replication.check_capacity()
        return self._replication

    def tick(self) -> int:
        """Perform the actions that are due; return the latest time for the next call, µs."""
        now = self._context.now
        if self._context.role is not Role.FOLLOWER:
            if not self.holds_lease(now):
                self.step_down("lease")
            elif self._has_lost_quorum(now):
                self.step_down("quorum_lost")
        if self._replication is not None:
            return self._replication.tick()
        recovery = self._recovery
        if recovery is None:
            return now + HEARTBEAT_INTERVAL_US
        if now >= recovery.requested_at + HEARTBEAT_INTERVAL_US:
            recovery.retry()
        return recovery.requested_at + HEARTBEAT_INTERVAL_US
