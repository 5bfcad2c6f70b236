"""One replica of the fleet's replicated log: its role, and the entry point of messages, time and changes.

No I/O but for the storage it is given; it is told the time (µs, on the process's own clock). The method is
Raft's log (Ongaro and Ousterhout, 2014) with the lease `primary` in place of elections: its token is the
term, named epoch here. Safety rests on the promises and the log alone; a wrong lease costs attempts, never
history. The argument is in docs/controlplane.md. Guards are methods of their own, so that the tests can take
each of them out.

`replicated_log.py` has what is held, `leader_role.py` what is done with the lease, `leader_recovery.py` the
way from a lease to the newest log, `log_replication.py` the way of an entry to a majority.
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
    """A voter, and the leader while it holds the lease.

    `joining`: this voter has lost its disk, or has an old one; `quarantine_us`: how long one that joins
    sends nothing, the longest term of the lease. Raises `StorageError` where the storage can't be read at the
    start, `LogInvariantError` at any call.
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
        self.last_leader_contact = NEVER  # µs

    def _on_storage_failure(self) -> None:
        self._leader_role.step_down("disk")

    @property
    def role(self) -> Role:
        """What this replica is now."""
        return self._context.role

    @property
    def leader(self) -> str:
        """The last leader known; empty: none."""
        return self._context.leader

    @property
    def lease_until(self) -> int:
        """Until when the lease is held here, µs."""
        return self._leader_role.lease_until

    @property
    def epoch(self) -> int:
        """The epoch promised last; the own one, unless this is a follower."""
        return self.log.epoch

    @property
    def joining(self) -> bool:
        """Whether this voter has lost its disk, or has an old one, and does not count yet."""
        return self.log.joining

    @property
    def cluster_id(self) -> str:
        """Of the history held; empty before any of it is known to be committed."""
        return self.log.cluster_id

    @property
    def latest_state(self) -> FleetState:
        """The state with all entries, committed or not; only where there is a history."""
        return self.log.latest_state

    @property
    def progress(self) -> Mapping[str, PeerProgress]:
        """By name, how far each other voter is, while this replica leads or is about to."""
        return self._leader_role.progress

    # The lease

    def permit_first_version(self, cluster_id: str, ops: list[Op]) -> None:
        """Permit to start a new log, should a majority be empty. Raises `StateError`."""
        validate_change(FleetState(cluster_id), ops)
        self._context.first_version = FirstVersion(cluster_id, ops)

    def is_eligible(self, now: int) -> bool:
        """Whether this replica could lead: it makes no sense to ask for the lease otherwise."""
        if self.log.joining or self._is_quarantined(now) or self.log.needs_reload:
            return False
        return self.log.has_history or self._context.first_version is not None

    def update_lease(self, now: int, token: int | None, until: int) -> bool:
        """Tell what is known of the lease now: its token, where it is held here, and until when (µs).

        Answers whether it is of use: one that isn't should be given back, to be had again with a higher
        token.
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
        """Guards against a promise that was lost with the disk, until its leader has lost the lease."""
        return now < self._quarantined_until

    # Messages

    def receive(self, now: int, sender: str, message: Message) -> None:
        """Take a message of another control process; those of no voter are ignored."""
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
        """What a candidate or leader says, or a refusal."""
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
        """Whether what the leader of an epoch says is to be taken: it is the one that is heard from now."""
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

    # Changes

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
        """A change that someone asks for, who looked at `base_version`; `created_at_ms`: wall clock.

        A repeated request is answered with what the first became. Raises `NotLeaderError`, `StateError`,
        `VersionConflictError`.
        """
        self._context.now = now
        leader_replication = self._leader_role.require_leader_replication()
        origin = ChangeOrigin(request_id, author, reason, created_at_ms)
        return leader_replication.propose(ops, base_version, origin)

    def propose_internal(
        self, now: int, ops: list[Op], reason: str = "", created_at_ms: int = 0
    ) -> PendingProposal:
        """A change that the leader makes by itself. Raises `NotLeaderError`, `StateError`."""
        self._context.now = now
        return self._leader_role.require_leader_replication().propose_internal(ops, reason, created_at_ms)

    # Time

    def tick(self, now: int) -> int:
        """Do what is due; when to be called again at the latest, µs."""
        self._context.now = now
        if self._is_quarantined(now):
            return self._quarantined_until
        self.log.reload_if_needed()
        return self._leader_role.tick()

    def status(self, now: int) -> ReplicaStatus:
        """As of now (µs)."""
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
