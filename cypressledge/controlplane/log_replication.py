"""Replication of a leader's log: sending and counting by the leader, and receiving by the other voters.

The algorithm is Raft's (Ongaro and Ousterhout, 2014): entries follow a position that both logs contain, a
mismatch makes the leader continue from an earlier position, a snapshot replaces entries that are no longer
kept, and an entry of the leader's own epoch is committed once a majority has it on disk. Each safety check is
a method of its own, so that tests can disable it.
"""

from typing import Protocol

from cypressledge.controlplane.change_history import decompress_snapshot
from cypressledge.controlplane.errors import LogInvariantError, VersionConflictError
from cypressledge.controlplane.messages import (
    AppendEntries,
    Change,
    Denied,
    EntriesAppended,
    InstallSnapshot,
    Mismatch,
    Op,
)
from cypressledge.controlplane.peer_progress import PeerProgress
from cypressledge.controlplane.proposals import ChangeOrigin, PendingProposal, ProposalState
from cypressledge.controlplane.replica_context import HEARTBEAT_INTERVAL_US, NEVER, ReplicaContext, Role
from cypressledge.controlplane.replicated_log import ReplicatedLog
from cypressledge.controlplane.state_validation import find_conflicts, validate_change
from cypressledge.controlplane.state_values import StateError

RESEND_US = 1_000_000  # µs; time until an unanswered AppendEntries is sent again
SNAPSHOT_RESEND_US = 5_000_000  # µs; the same for a snapshot, which takes longer to transfer
MAX_PENDING_PROPOSALS = 1_000  # bounds the memory used while there is no majority
FIRST_ENTRY_REASON = "a new primary"  # stored in the log: the text must equal that of earlier versions
FIRST_VERSION_REASON = "the first version"


class LeaseHolder(Protocol):
    """The part of the replica that knows the lease and ends the leadership."""

    def holds_lease(self, now: int) -> bool:
        """Return whether the lease is held at `now` (µs)."""

    def step_down(self, reason: str) -> None:
        """End the leadership; `reason` is reported."""


class LeaderReplication:
    """The leader's side of replication, from its first entry until it steps down."""

    def __init__(self, context: ReplicaContext, log: ReplicatedLog, lease_holder: LeaseHolder) -> None:
        self._context = context
        self._log = log
        self._lease_holder = lease_holder
        self.is_active = True
        self.progress = {peer: PeerProgress(next_version=log.last.version) for peer in context.peers}
        self.heartbeat_at = NEVER  # µs; time of the last heartbeat
        self._proposals: dict[int, PendingProposal] = {}  # by version
        self._epoch_start_version = 0  # the first version of this leader's epoch

    def write_first_entry(self) -> bool:
        """Write the first entry of this epoch, which commits all before it; return whether it is stored."""
        ops, reason, first = [], FIRST_ENTRY_REASON, self._context.first_version
        if not self._log.last.version and first:  # a new log that contains only the empty version 0
            ops, reason = first.ops, FIRST_VERSION_REASON
        change = self._log.append_next(ops, ChangeOrigin(reason=reason))
        if change is None:
            return False
        self._epoch_start_version = change.version
        return True

    def start(self) -> None:
        """Send a heartbeat and the first entry to all peers."""
        self._send_heartbeats()
        self._replicate()

    def stop(self) -> None:
        """End replication when this replica steps down; the outcome of open proposals becomes unknown."""
        self.is_active = False
        for proposal in self._proposals.values():
            proposal.state = ProposalState.UNKNOWN
        self._proposals.clear()

    def tick(self) -> int:
        """Send due heartbeats and entries; return the time of the next call, µs."""
        if self._context.now >= self.heartbeat_at + HEARTBEAT_INTERVAL_US:
            self._send_heartbeats()
        for peer in self._context.peers:
            self._send_entries(peer)
        return self.heartbeat_at + HEARTBEAT_INTERVAL_US

    # Proposals

    def propose(self, ops: list[Op], base_version: int, origin: ChangeOrigin) -> PendingProposal:
        """Propose a requested change that is based on `base_version`; see `Replica.propose`."""
        known = self._log.version_of_request(origin.request_id)
        if known is not None:
            return self._existing_proposal(known, origin.request_id, ops)
        validate_change(self._log.latest_state, ops)
        if keys := find_conflicts(self._log.latest_state, base_version, ops):
            raise VersionConflictError(keys)
        return self._propose(ops, origin)

    def _existing_proposal(self, version: int, request_id: str, ops: list[Op]) -> PendingProposal:
        if self._log.has_different_ops(version, ops):
            raise StateError(
                f"request {request_id} became version {version}, with other contents: give this "
                "one a name of its own"
            )
        pending = self._proposals.get(version)
        epoch = self._log.entries.epoch_at(version) or 0
        return pending or PendingProposal(version, epoch, ProposalState.DONE)

    def propose_internal(self, ops: list[Op], reason: str, created_at_ms: int) -> PendingProposal:
        """Propose a change that the leader itself originates. Raises `StateError`."""
        validate_change(self._log.latest_state, ops)
        origin = ChangeOrigin(author=self._context.name, reason=reason, created_at_ms=created_at_ms)
        return self._propose(ops, origin)

    def check_capacity(self) -> None:
        """Raise `StateError` while too many proposals wait for a majority."""
        if len(self._proposals) >= MAX_PENDING_PROPOSALS:
            raise StateError(f"{MAX_PENDING_PROPOSALS} changes wait for a majority of the control processes")

    def _propose(self, ops: list[Op], origin: ChangeOrigin) -> PendingProposal:
        proposal = PendingProposal(self._log.latest_state.version + 1, self._log.epoch)
        if self._log.append_next(ops, origin) is None:
            proposal.state = ProposalState.UNKNOWN
            return proposal
        self._proposals[proposal.version] = proposal
        self._replicate()
        return proposal

    # Sending

    def _replicate(self) -> None:
        """Send new entries to all peers and update the committed version."""
        for peer in self._context.peers:
            self._send_entries(peer)
        self._advance_commit()

    def _send_entries(self, peer: str) -> None:
        """Send the next entries or a snapshot to a voter, unless a message with some is in flight."""
        progress, log, now = self.progress[peer], self._log, self._context.now
        if progress.in_flight_end >= 0 and now < progress.resend_at:
            return
        if log.entries.epoch_at(progress.next_version) is None:
            progress.sent(log.committed_state.version, now + SNAPSHOT_RESEND_US)
            self._context.send(peer, InstallSnapshot(log.epoch, log.compressed_snapshot(), log.commit))
        elif progress.next_version < log.last.version:
            changes = log.entries.batch_after(progress.next_version)
            progress.sent(changes[-1].version, now + RESEND_US)
            self._append(peer, progress.next_version, changes)

    def _append(self, peer: str, after_version: int, changes: list[Change]) -> None:
        progress, log = self.progress[peer], self._log
        known = min(log.commit, after_version + len(changes))
        progress.notified_commit = max(progress.notified_commit, known)
        epoch = log.entries.epoch_at(after_version) or 0
        self._context.send(peer, AppendEntries(log.epoch, epoch, after_version, changes, log.commit))

    def _send_heartbeats(self) -> None:
        """Send heartbeats, whose answers also show how far each voter is."""
        self.heartbeat_at = self._context.now
        for peer, progress in self.progress.items():
            if self._log.entries.epoch_at(progress.next_version) is not None:
                self._append(peer, progress.next_version, [])

    def _notify_commit(self, peer: str) -> None:
        """Send a new committed version at once to a voter that already has its entries."""
        progress, log = self.progress[peer], self._log
        if (
            progress.notified_commit < min(log.commit, progress.match_version)
            and log.entries.epoch_at(progress.match_version) is not None
        ):
            self._append(peer, progress.match_version, [])

    # Answers of voters

    def on_entries_appended(self, sender: str, message: EntriesAppended) -> None:
        """Record that a voter has everything up to a version on its disk."""
        if message.version > self._log.last.version:
            return
        self.progress[sender].acknowledged(message.version, message.joining)
        self._send_entries(sender)
        self._advance_commit()
        if self.is_active:
            self._notify_commit(sender)

    def on_mismatch(self, sender: str, message: Mismatch) -> None:
        """Continue after an earlier version that the voter may have, since it lacks the previous entry."""
        progress = self.progress[sender]
        if message.version < 0 and progress.next_version < 0:
            return  # a repeated answer must not cause another snapshot
        progress.go_back(min(message.version, self._log.last.version))
        self._send_entries(sender)

    def _acknowledged_version(self, voter: str) -> int:
        """Return the version that counts as being on a voter's disk.

        It is -1 for a joining voter, which may have lost promises or entries.
        """
        if voter == self._context.name:
            return self._log.last.version
        progress = self.progress[voter]
        return -1 if progress.joining else progress.match_version

    def _advance_commit(self) -> None:
        """Commit what a majority has on disk, if its newest entry is of this leader's epoch."""
        voters, now = self._context.voters, self._context.now
        version = sorted(map(self._acknowledged_version, voters), reverse=True)[len(voters) // 2]
        if version <= self._log.commit or not self._log.is_of_current_epoch(version):
            return
        if not self._lease_holder.holds_lease(now):
            self._lease_holder.step_down("lease")
            return
        if not self._log.advance_commit(version):
            return
        for done in [pending for pending in self._proposals if pending <= version]:
            self._proposals.pop(done).state = ProposalState.DONE
        if self._context.role is Role.CANDIDATE and version >= self._epoch_start_version:
            self._context.role = Role.LEADER
            self._context.report("primary", epoch=self._log.epoch, version=version)
        for peer in self.progress:
            self._notify_commit(peer)


class FollowerReplication:
    """A follower's side of replication: stores what the leader of its epoch sends, and answers."""

    def __init__(self, context: ReplicaContext, log: ReplicatedLog) -> None:
        self._context = context
        self._log = log

    def on_append_entries(self, sender: str, message: AppendEntries) -> None:
        """Process entries, a heartbeat or a new committed version from the leader."""
        log = self._log
        if not log.contains(message.prev_epoch, message.prev_version):
            self._answer_mismatch(sender, message)
            return
        matching = message.prev_version + len(message.changes)
        versions = [change.version for change in message.changes]
        in_order = versions == list(range(message.prev_version + 1, matching + 1))
        if not in_order or not log.append(message.changes):
            if not log.needs_reload:
                self._context.send(sender, Denied(log.epoch, "state"))
            return
        if log.advance_commit(log.follower_commit(message.commit, matching)):
            self._answer_appended(sender, message.epoch, message.commit, matching)

    def _answer_mismatch(self, sender: str, message: AppendEntries) -> None:
        """Answer with a version after which the leader can continue; committed entries equal the leader's."""
        log = self._log
        if not log.has_history:
            self._context.send(sender, Mismatch(message.epoch, -1))
            return
        prev_version = message.prev_version
        held_epoch = log.entries.epoch_at(prev_version)
        if held_epoch is not None and prev_version <= log.commit and log.commit >= 1:
            raise LogInvariantError(
                f"committed version {prev_version} has epoch {held_epoch} here, but epoch "
                f"{message.prev_epoch} at {sender}"
            )
        # This voter has a first log of which nothing was committed: its version 0 is of another epoch.
        is_other_first_log = log.commit < 1 and held_epoch is not None and not prev_version
        if is_other_first_log:
            version = -1
        elif prev_version > log.last.version:
            version = log.last.version
        else:
            version = max(log.commit, log.entries.base.version)
        self._context.send(sender, Mismatch(message.epoch, version))

    def on_install_snapshot(self, sender: str, message: InstallSnapshot) -> None:
        """Install a snapshot from the leader in place of entries that it no longer keeps."""
        try:
            snapshot = decompress_snapshot(message.compressed)
        except StateError as err:
            self._context.report("invalid_log_data", why=str(err))
            return
        if self._log.install(snapshot):
            self._answer_appended(sender, message.epoch, message.commit, snapshot.version)
        elif not self._log.needs_reload:
            self._context.send(sender, Denied(self._log.epoch, "lineage"))

    def _answer_appended(self, sender: str, epoch: int, leader_commit: int, version: int) -> None:
        log = self._log
        if log.finish_joining(epoch, leader_commit):
            self._context.report("joined", version=log.last.version)
        if not log.needs_reload:
            self._context.send(sender, EntriesAppended(epoch, version, log.joining))
