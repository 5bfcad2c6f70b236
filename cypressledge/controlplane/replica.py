"""One replica of the fleet's replicated log: its role, and the entry point for messages, time and changes.

It does no I/O except through the storage that it is given, and every call passes the current time (µs, on the
process's own clock). The algorithm is Raft's log replication (Ongaro and Ousterhout, 2014) with the lease
`primary` in place of elections: the lease's token is the term, which is called epoch here. Safety depends on
the promises and the log alone: a wrong lease causes failed attempts but never loses history. The safety
argument is in docs/controlplane.md. Each safety check is a method of its own, so that tests can disable it.

`replicated_log.py` holds the log and the states built from it, `leader_role.py` acts on the lease,
`leader_recovery.py` brings a new lease holder up to the newest log, and `log_replication.py` replicates
entries to a majority.
"""

from collections.abc import Mapping

from cypressledge.controlplane.errors import LogInvariantError
from cypressledge.controlplane.leader_recovery import answer_fetch
from cypressledge.controlplane.leader_role import LeaderRole
from cypressledge.controlplane.log_replication import FollowerReplication
from cypressledge.controlplane.log_storage import LogStorage
from cypressledge.controlplane.messages import (
    AppendEntries,
    Denied,
    EntriesAppended,
    EntriesFetched,
    FetchEntries,
    InstallSnapshot,
    Message,
    Mismatch,
    Op,
    Prepare,
    Promise,
)
from cypressledge.controlplane.peer_progress import PeerProgress
from cypressledge.controlplane.proposals import ChangeOrigin, PendingProposal
from cypressledge.controlplane.replica_context import (
    NEVER,
    FirstVersion,
    ReplicaContext,
    ReplicaHandlers,
    ReplicaIdentity,
    Role,
)
from cypressledge.controlplane.replica_status import ReplicaStatus
from cypressledge.controlplane.replicated_log import ReplicatedLog
from cypressledge.controlplane.state import FleetState
from cypressledge.controlplane.state_validation import validate_change

REQUESTS = (Prepare, FetchEntries, AppendEntries, InstallSnapshot)
ANSWERS = (Promise, EntriesFetched, EntriesAppended, Mismatch)


class Replica:
    """A voter, which is the leader while it holds the lease.

    `joining` is true if this voter has lost its disk or runs on an old copy. `quarantine_us` is how long a
    joining voter sends nothing: the longest term of the lease, in µs. The constructor raises `StorageError`
    if the storage cannot be read; any call can raise `LogInvariantError`.
    """

    def __init__(
        self,
        identity: ReplicaIdentity,
        storage: LogStorage,
        now: int,
        handlers: ReplicaHandlers,
        joining: bool = False,
        quarantine_us: int = 0,
    ) -> None:
        self._context = ReplicaContext(
            identity.name, identity.instance_id, identity.voters, handlers.send, handlers.report, now
        )
        self.log = ReplicatedLog(self._context, storage, handlers.on_commit, self._on_storage_failure)
        self.log.joining = self.log.joining or joining
        self._quarantined_until = now + quarantine_us if self.log.joining else NEVER
        self._leader_role = LeaderRole(self._context, self.log)
        self._follower_replication = FollowerReplication(self._context, self.log)
        self.last_leader_contact = NEVER  # µs; time of the last contact with a leader

    def _on_storage_failure(self) -> None:
        self._leader_role.step_down("disk")

    @property
    def role(self) -> Role:
        """The current role of this replica."""
        return self._context.role

    @property
    def leader(self) -> str:
        """The name of the last known leader; empty if there is none."""
        return self._context.leader

    @property
    def lease_until(self) -> int:
        """The time at which the lease held by this replica expires, µs."""
        return self._leader_role.lease_until

    @property
    def epoch(self) -> int:
        """The epoch promised last; for a candidate or leader, its own epoch."""
        return self.log.epoch

    @property
    def joining(self) -> bool:
        """Whether this voter lost its disk or runs on an old copy, and does not count in majorities yet."""
        return self.log.joining

    @property
    def cluster_id(self) -> str:
        """The identity of the stored history; empty until some of it is known to be committed."""
        return self.log.cluster_id

    @property
    def latest_state(self) -> FleetState:
        """The state after all entries, committed or not. Raises `LogInvariantError` without a history."""
        return self.log.latest_state

    @property
    def progress(self) -> Mapping[str, PeerProgress]:
        """Replication progress of each other voter by name, while this replica leads or is about to lead."""
        return self._leader_role.progress

    # Lease handling

    def permit_first_version(self, cluster_id: str, ops: list[Op]) -> None:
        """Permit this replica to start a new log if a majority of voters is empty. Raises `StateError`."""
        validate_change(FleetState(cluster_id), ops)
        self._context.first_version = FirstVersion(cluster_id, ops)

    def is_eligible(self, now: int) -> bool:
        """Return whether this replica could lead; if it could not, the lease should not be requested."""
        if self.log.joining or self._is_quarantined(now) or self.log.needs_reload:
            return False
        return self.log.has_history or self._context.first_version is not None

    def update_lease(self, now: int, token: int | None, until: int) -> bool:
        """Process the current state of the lease: its token (None if not held here) and its expiry (µs).

        Returns whether this replica can use the lease. A lease that it cannot use should be released, so that
        it can be acquired again with a higher token.
        """
        self._context.now = now
        leader_role = self._leader_role
        leader_role.renew_lease(token, until)
        if token is None:
            return False
        if self.role is not Role.FOLLOWER:
            return True
        if not self.log.reload_if_needed() or not self.is_eligible(now) or not leader_role.holds_lease(now):
            return False
        if token <= self.epoch:
            self._context.report("token_behind", token=token, promised=self.epoch)
            return False
        return leader_role.take_over(token)

    def _is_quarantined(self, now: int) -> bool:
        """Return whether this joining voter must still send nothing.

        A promise may have been lost with the disk. The quarantine lasts until the lease of the leader that
        received the promise has expired.
        """
        return now < self._quarantined_until

    # Message handling

    def receive(self, now: int, sender: str, message: Message) -> None:
        """Process a message from another control process; messages from non-voters are ignored."""
        self._context.now = now
        if sender not in self._context.peers or self._is_quarantined(now):
            return
        if not isinstance(message, (*REQUESTS, *ANSWERS, Denied)):
            return
        if not self.log.reload_if_needed():
            if isinstance(message, REQUESTS):
                self._deny(sender, "disk")
            return
        if isinstance(message, ANSWERS):
            if message.epoch == self.epoch:
                self._leader_role.on_answer(sender, message)
            return
        self._on_request(sender, message)
        if self.log.needs_reload and isinstance(message, Prepare | AppendEntries | InstallSnapshot):
            self._deny(sender, "disk")

    def _on_request(self, sender: str, message: Message) -> None:
        """Dispatch a candidate's or leader's request, or a voter's `Denied`."""
        if isinstance(message, AppendEntries):
            if self._accepts_leader(sender, message.epoch):
                self._follower_replication.on_append_entries(sender, message)
        elif isinstance(message, InstallSnapshot):
            if self._accepts_leader(sender, message.epoch):
                self._follower_replication.on_install_snapshot(sender, message)
        elif isinstance(message, Prepare):
            self._on_prepare(sender, message)
        elif isinstance(message, FetchEntries):
            answer_fetch(self._context, self.log, sender, message)
        elif isinstance(message, Denied):
            self._leader_role.on_denied(sender, message)

    def _deny(self, sender: str, reason: str = "epoch") -> None:
        self._context.send(sender, Denied(self.epoch, reason))

    def _on_prepare(self, sender: str, message: Prepare) -> None:
        if not self.log.may_promise(message.epoch, message.instance_id):
            self._deny(sender)
            return
        self._leader_role.step_down("other_leader")
        if self.log.promise(message.epoch, message.instance_id):
            self._context.send(sender, self.log.promise_message())

    def _accepts_leader(self, sender: str, epoch: int) -> bool:
        """Return whether messages from the leader of `epoch` are accepted; if so, follow that leader.

        A stale epoch is answered with `Denied`. Raises `LogInvariantError` if the epoch has two leaders.
        """
        if self.log.is_stale(epoch):
            self._deny(sender)
            return False
        is_candidate_or_leader = self.role is not Role.FOLLOWER
        if is_candidate_or_leader and epoch == self.epoch and not self._leader_role.is_preparing:
            raise LogInvariantError(f"two leaders of epoch {epoch}: {sender} and {self._context.name}")
        self._leader_role.step_down("other_leader")
        if epoch > self.epoch and not self.log.promise(epoch, 0):
            return False
        self._context.leader, self.last_leader_contact = sender, self._context.now
        return True

    # Proposing changes

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
        """Propose a requested change that is based on `base_version`; `created_at_ms` is the wall clock.

        A repeated request returns the proposal of the first one. Raises `NotLeaderError`, `StateError`,
        `VersionConflictError`.
        """
        self._context.now = now
        leader_replication = self._leader_role.require_leader_replication()
        origin = ChangeOrigin(request_id, author, reason, created_at_ms)
        return leader_replication.propose(ops, base_version, origin)

    def propose_internal(
        self, now: int, ops: list[Op], reason: str = "", created_at_ms: int = 0
    ) -> PendingProposal:
        """Propose a change that the leader itself originates. Raises `NotLeaderError`, `StateError`."""
        self._context.now = now
        return self._leader_role.require_leader_replication().propose_internal(ops, reason, created_at_ms)

    # Timers and status

    def tick(self, now: int) -> int:
        """Perform the actions that are due; return the latest time for the next call, µs."""
        self._context.now = now
        if self._is_quarantined(now):
            return self._quarantined_until
        self.log.reload_if_needed()
        return self._leader_role.tick()

    def status(self, now: int) -> ReplicaStatus:
        """Return the status of this replica at `now` (µs)."""
        if self.role is Role.LEADER:
            silence_ms = 0
        elif self.last_leader_contact == NEVER:
            silence_ms = -1
        else:
            silence_ms = (now - self.last_leader_contact) // 1_000
        return ReplicaStatus(
            self.role.value,
            self.epoch,
            self.log.last.version,
            max(self.log.commit, 0),
            {voter: peer.match_version for voter, peer in self.progress.items()},
            silence_ms,
            self.leader,
            self.cluster_id,
            self.joining,
        )
