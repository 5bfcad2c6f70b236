"""One replica of the fleet's replicated log: its role, and the entry point of messages, time and changes.

No I/O but for the storage it is given; it is told the time (µs, on the process's own clock). The method is
Raft's log (Ongaro and Ousterhout, 2014) with the lease `primary` in place of elections: its token is the
term, named epoch here. Safety rests on the promises and the log alone; a wrong lease costs attempts, never
history. The argument is in docs/controlplane.md. Guards are methods of their own, so that the tests can take
each of them out.

`replicated_log.py` has what is held, `leader_recovery.py` the way from a lease to the newest log,
`log_replication.py` the way of an entry to a majority.
"""

from collections.abc import Callable

from cypressledge.controlplane.errors import LogInvariantError, NotLeaderError
from cypressledge.controlplane.leader_recovery import LeaderRecovery, RecoveryPhase, answer_fetch
from cypressledge.controlplane.log_replication import FollowerReplication, LeaderReplication
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
from cypressledge.controlplane.proposals import PendingProposal
from cypressledge.controlplane.replica_context import (
    HEARTBEAT_INTERVAL_US,
    NEVER,
    FirstVersion,
    ReplicaContext,
    Role,
)
from cypressledge.controlplane.replica_status import ReplicaStatus
from cypressledge.controlplane.replicated_log import CommitHandler, ReplicatedLog
from cypressledge.controlplane.state import FleetState
from cypressledge.controlplane.state_validation import validate_change

QUORUM_TIMEOUT_US = 10_000_000  # without an answer from a majority for so long, another should try

REQUESTS = (Prepare, FetchEntries, AppendEntries, InstallSnapshot)
ANSWERS = (Promise, EntriesFetched, EntriesAppended, Mismatch)


class Replica:
    """A voter, and the leader while it holds the lease.

    `send(peer, message)`, `on_commit` (see `ReplicatedLog`) and `report(event, **fields)` must not call back
    into here. `mute_us`: how long one that joins says nothing, the longest term of the lease. Raises
    `StorageError` where the storage can't be read at the start, `LogInvariantError` at any call.
    """

    def __init__(
        self,
        name: str,
        instance_id: int,
        voters: tuple[str, ...],
        storage: LogStorage,
        now: int,
        send: Callable[[str, Message], None],
        on_commit: CommitHandler,
        report: Callable[..., None],
        joining: bool = False,
        mute_us: int = 0,
    ) -> None:
        self._context = ReplicaContext(name, instance_id, voters, send, report, now)
        self.log = ReplicatedLog(self._context, storage, on_commit, lambda: self.step_down("disk"))
        self.log.joining = self.log.joining or joining
        self._muted_until = now + mute_us if self.log.joining else NEVER
        self._recovery: LeaderRecovery | None = None  # while a candidate gathers the newest log
        self._leading: LeaderReplication | None = None  # from the first entry of the own epoch on
        self._following = FollowerReplication(self._context, self.log)
        self._answered_at: dict[str, int] = {}  # µs, when a peer last answered in the own epoch
        self.lease_until = NEVER  # µs
        self.leader = ""  # the last one known; empty: none
        self.leader_heard_at = NEVER  # µs

    @property
    def role(self) -> Role:
        """What this replica is now."""
        return self._context.role

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
    def progress(self) -> dict[str, PeerProgress]:
        """How far each other voter is, while this replica leads or is about to."""
        return {} if self._leading is None else self._leading.progress

    # The lease

    def permit_first_version(self, cluster_id: str, ops: list[Op]) -> None:
        """Permit to start a new log, should a majority be empty. Raises `StateError`."""
        validate_change(FleetState(cluster_id), ops)
        self._context.first_version = FirstVersion(cluster_id, ops)

    def is_eligible(self, now: int) -> bool:
        """Whether this replica could lead: it makes no sense to ask for the lease otherwise."""
        if self.log.joining or self._is_muted(now) or self.log.is_uncertain:
            return False
        return self.log.has_history or self._context.first_version is not None

    def lease(self, now: int, token: int | None, until: int) -> bool:
        """Tell what is known of the lease now: its token, where it is held here, and until when (µs).

        Answers whether it is of use: one that isn't should be given back, to be had again with a higher
        token.
        """
        self._context.now = now
        self.lease_until = until if token is not None else NEVER
        if self.role is not Role.FOLLOWER and (token != self.epoch or not self.is_leased(now)):
            self.step_down("lease")
        if token is None:
            return False
        if self.role is not Role.FOLLOWER:
            return True
        if not self.log.reload_if_uncertain() or not self.is_eligible(now) or not self.is_leased(now):
            return False
        if token <= self.epoch:
            self._context.report("token_behind", token=token, promised=self.epoch)
            return False
        return self._take_over(token)

    def is_leased(self, now: int) -> bool:
        """Guards against a message from one who may no longer be the leader."""
        return now < self.lease_until

    def _take_over(self, token: int) -> bool:
        """Become a candidate in the lease's epoch."""
        context = self._context
        if not self.log.promise(token, context.instance_id):
            return False
        context.role = Role.CANDIDATE
        context.report("recovering", epoch=token)
        self._answered_at = dict.fromkeys(context.peers, context.now)
        self._recovery = LeaderRecovery(context, self.log, self._begin_leading)
        self._recovery.start()
        return True

    def _begin_leading(self) -> None:
        """The newest log of a majority is held here: write and send the first entry of the own epoch."""
        leading = self._leading = LeaderReplication(self._context, self.log, self)
        self._recovery = None
        if leading.write_first_entry():
            self.leader = self._context.name
            leading.start()

    def step_down(self, reason: str) -> None:
        """Be a follower again, without a known leader."""
        if self.role is Role.FOLLOWER:
            return
        self._context.report("stepped_down", epoch=self.epoch, was=self.role.value, why=reason)
        if self._leading is not None:
            self._leading.stop()
        self._recovery = self._leading = None
        self._context.role = Role.FOLLOWER
        self.leader = ""

    def _has_lost_quorum(self, now: int) -> bool:
        """Guards against a lease that is of no use to whoever has it and is missing elsewhere."""
        answers = sorted((now, *self._answered_at.values()), reverse=True)
        return now >= answers[len(self._context.voters) // 2] + QUORUM_TIMEOUT_US

    def _is_muted(self, now: int) -> bool:
        """Guards against a promise that was lost with the disk, until its leader has lost the lease."""
        return now < self._muted_until

    # Messages

    def receive(self, now: int, sender: str, message: Message) -> None:
        """Take a message of another control process; those of no voter are ignored."""
        self._context.now = now
        if sender not in self._context.peers or self._is_muted(now):
            return
        if not isinstance(message, (*REQUESTS, *ANSWERS, Denied)):
            return
        if not self.log.reload_if_uncertain():
            if isinstance(message, REQUESTS):
                self._deny(sender, "disk")
            return
        if isinstance(message, ANSWERS):
            if message.epoch == self.epoch:
                self._answered_at[sender] = now
                self._on_answer(sender, message)
            return
        self._on_request(sender, message)
        if self.log.is_uncertain and isinstance(message, Prepare | AppendEntries | InstallSnapshot):
            self._deny(sender, "disk")

    def _on_answer(self, sender: str, message: Message) -> None:
        """A voter's answer in this replica's epoch, to whatever part has asked, if it is still there."""
        recovery, leading = self._recovery, self._leading
        if recovery is not None:
            if isinstance(message, Promise):
                recovery.on_promise(sender, message)
            elif isinstance(message, EntriesFetched):
                recovery.on_entries_fetched(sender, message)
        elif leading is not None:
            if isinstance(message, EntriesAppended):
                leading.on_entries_appended(sender, message)
            elif isinstance(message, Mismatch):
                leading.on_mismatch(sender, message)

    def _on_request(self, sender: str, message: Message) -> None:
        """What a candidate or leader says, or a refusal."""
        if isinstance(message, AppendEntries):
            if self._accepts_leader(sender, message.epoch):
                self._following.on_append_entries(sender, message)
        elif isinstance(message, InstallSnapshot):
            if self._accepts_leader(sender, message.epoch):
                self._following.on_install_snapshot(sender, message)
        elif isinstance(message, Prepare):
            self._on_prepare(sender, message)
        elif isinstance(message, FetchEntries):
            answer_fetch(self._context, self.log, sender, message)
        elif isinstance(message, Denied):
            self._on_denied(sender, message)

    def _deny(self, sender: str, reason: str = "epoch") -> None:
        self._context.send(sender, Denied(self.epoch, reason))

    def _on_prepare(self, sender: str, message: Prepare) -> None:
        if not self.log.may_promise(message.epoch, message.instance_id):
            self._deny(sender)
            return
        self.step_down("another")
        if self.log.promise(message.epoch, message.instance_id):
            self._context.send(sender, self.log.promise_message())

    def _accepts_leader(self, sender: str, epoch: int) -> bool:
        """Whether what the leader of an epoch says is to be taken: it is the one that is heard from now."""
        if self.log.is_stale(epoch):
            self._deny(sender)
            return False
        if self.role is not Role.FOLLOWER and epoch == self.epoch and not self._is_preparing():
            raise LogInvariantError(f"two primaries of epoch {epoch}: {sender} and {self._context.name}")
        self.step_down("another")
        if epoch > self.epoch and not self.log.promise(epoch, 0):
            return False
        self.leader, self.leader_heard_at = sender, self._context.now
        return True

    def _on_denied(self, sender: str, message: Denied) -> None:
        if self.role is Role.FOLLOWER:
            return
        if message.reason != "epoch":
            self._context.report("voter_refuses", voter=sender, why=message.reason)
        # The same epoch: another instance has it at that voter. A leader has its majority, and goes on.
        elif message.epoch > self.epoch or message.epoch == self.epoch and self._is_preparing():
            self.step_down("denied")

    def _is_preparing(self) -> bool:
        return self._recovery is not None and self._recovery.phase is RecoveryPhase.PREPARE

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
        leading = self._must_lead(now)
        return leading.propose(ops, base_version, request_id, author, reason, created_at_ms)

    def propose_own(
        self, now: int, ops: list[Op], reason: str = "", created_at_ms: int = 0
    ) -> PendingProposal:
        """A change that the leader makes by itself. Raises `NotLeaderError`, `StateError`."""
        return self._must_lead(now).propose_own(ops, reason, created_at_ms)

    def _must_lead(self, now: int) -> LeaderReplication:
        self._context.now = now
        if self.role is not Role.FOLLOWER and not self.is_leased(now):
            self.step_down("lease")
        if self.role is not Role.LEADER or self._leading is None:
            raise NotLeaderError("" if self.leader == self._context.name else self.leader)
        self._leading.check_capacity()
        return self._leading

    # Time

    def tick(self, now: int) -> int:
        """Do what is due; when to be called again at the latest, µs."""
        self._context.now = now
        if self._is_muted(now):
            return self._muted_until
        self.log.reload_if_uncertain()
        if self.role is not Role.FOLLOWER:
            if not self.is_leased(now):
                self.step_down("lease")
            elif self._has_lost_quorum(now):
                self.step_down("alone")
        if self._leading is not None:
            return self._leading.tick()
        recovery = self._recovery
        if recovery is None:
            return now + HEARTBEAT_INTERVAL_US
        if now >= recovery.requested_at + HEARTBEAT_INTERVAL_US:
            recovery.retry()
        return recovery.requested_at + HEARTBEAT_INTERVAL_US

    def status(self, now: int) -> ReplicaStatus:
        """As of now (µs)."""
        if self.role is Role.LEADER:
            silence_ms = 0
        elif self.leader_heard_at == NEVER:
            silence_ms = -1
        else:
            silence_ms = (now - self.leader_heard_at) // 1_000
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
