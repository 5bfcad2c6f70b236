"""A voter's replicated log on its storage: promises, entries, the committed version and the resulting states.

Every step is durable before it takes effect in memory. After a storage error the contents of the disk are
uncertain, so the storage is read again before anything else is done. Each safety check is a method of its
own, so that tests can disable it.
"""

from collections.abc import Callable, Sequence
from functools import partial

from cypressledge.controlplane.change_history import CompressedSnapshotCache
from cypressledge.controlplane.errors import LogInvariantError
from cypressledge.controlplane.log_entries import LogEntries
from cypressledge.controlplane.log_storage import NOTHING_PROMISED, LogStorage, PromisedEpoch, StorageError
from cypressledge.controlplane.messages import Change, Op, Promise, Snapshot
from cypressledge.controlplane.proposals import ChangeOrigin
from cypressledge.controlplane.replica_context import CommitHandler, ReplicaContext
from cypressledge.controlplane.state import FleetState, Position
from cypressledge.controlplane.state_values import StateError


class ReplicatedLog:
    """The log of one voter.

    `on_commit(changes, None)` or `on_commit(None, snapshot)` is called when versions become committed here,
    also during construction. `on_storage_failure()` is called after a durable step has failed and the failure
    was reported. The constructor raises `StorageError` if the storage cannot be read; any call can raise
    `LogInvariantError`.
    """

    def __init__(
        self,
        context: ReplicaContext,
        storage: LogStorage,
        on_commit: CommitHandler,
        on_storage_failure: Callable[[], None],
    ) -> None:
        self._context = context
        self._storage = storage
        self._on_commit = on_commit
        self._on_storage_failure = on_storage_failure
        self._snapshots = CompressedSnapshotCache()
        self.needs_reload = False  # a durable step failed: the storage must be read before anything else
        self.commit = -1  # newest version known to be committed; -1: no history
        self.joining = False  # whether the disk was lost or is an old copy; then this voter does not count
        self.promised = NOTHING_PROMISED
        self.entries = LogEntries()
        self._committed_state: FleetState | None = None
        self._latest_state: FleetState | None = None
        self._load()

    @property
    def epoch(self) -> int:
        """The epoch promised last; for a candidate or leader, its own epoch."""
        return self.promised.epoch

    @property
    def last(self) -> Position:
        """The position of the newest entry."""
        return self.entries.last

    @property
    def has_history(self) -> bool:
        """Whether any history is stored, even if only the empty version 0."""
        return self._committed_state is not None

    @property
    def committed_state(self) -> FleetState:
        """The state at version `commit`. Raises `LogInvariantError` if there is no history."""
        if self._committed_state is None:
            raise LogInvariantError("the log has no committed state: it holds no history")
        return self._committed_state

    @property
    def latest_state(self) -> FleetState:
        """The state after all entries, committed or not. Raises `LogInvariantError` without a history."""
        if self._latest_state is None:
            raise LogInvariantError("the log has no latest state: it holds no history")
        return self._latest_state

    @property
    def cluster_id(self) -> str:
        """The identity of the stored history; empty until some of it is known to be committed.

        A history of which nothing is committed may be replaced by another one.
        """
        return self.committed_state.cluster_id if self.has_history and self.commit >= 1 else ""

    # Reading from and writing to the storage

    def _load(self) -> None:
        stored = self._storage.load()
        self.promised, self.joining = PromisedEpoch(*stored.promised), stored.joining
        previous_commit = self.commit
        if stored.base is None:
            self.entries, self.commit = LogEntries(), -1
            self._committed_state = self._latest_state = None
            return
        try:
            state = self._committed_state = FleetState.restore(stored.base)
            self.entries = LogEntries(state.position, stored.changes)
            self.commit = stored.commit
            for change in self.entries.between(state.version, self.commit):
                state.apply(change)
            self._rebuild_latest_state()
        except StateError as err:
            raise StorageError(f"the stored snapshot and changes are inconsistent: {err}") from None
        if self.commit > max(previous_commit, 0):
            self._on_commit(None, state.snapshot())

    def reload_if_needed(self) -> bool:
        """Read the storage again after an error; return whether its contents are known."""
        if not self.needs_reload:
            return True
        joining = self.joining
        try:
            self._load()
        except StorageError as err:
            self._context.report("disk_error", step="load", why=str(err))
            return False
        self.joining = joining  # the failed step may or may not have stored the end of joining
        self.needs_reload = False
        return True

    def _rebuild_latest_state(self) -> None:
        """Compute the latest state from the committed one; otherwise it is updated with each change."""
        self._latest_state = self.committed_state.copy()
        for change in self.entries.between(self.commit, self.last.version):
            self._latest_state.apply(change)

    def _persist(self, step: str, write: Callable[[], None]) -> bool:
        """Run one durable step, named `step` in reports; return whether it succeeded."""
        try:
            write()
            return True
        except StorageError as err:
            self.needs_reload = True
            self._context.report("disk_error", step=step, why=str(err))
            self._on_storage_failure()
            return False

    # Promises

    def promise(self, epoch: int, instance_id: int) -> bool:
        """Promise `epoch` to a process instance (0: to any leader of it); return whether it is stored."""
        if (epoch, instance_id) == self.promised:
            return True
        if not self._persist("promise", partial(self._storage.promise, epoch, instance_id)):
            return False
        self.promised = PromisedEpoch(epoch, instance_id)
        return True

    def promise_message(self) -> Promise:
        """Return the `Promise` message with this voter's promised epoch and newest entry."""
        return Promise(self.epoch, *self.last, self.commit, self.joining)

    def may_promise(self, epoch: int, instance_id: int) -> bool:
        """Return whether `epoch` may be promised to this instance.

        Only a higher epoch or a repetition of the last promise is allowed. Otherwise one epoch could have two
        leaders, or a deposed leader could return.
        """
        return epoch > self.promised.epoch or (epoch, instance_id) == self.promised

    def is_stale(self, epoch: int) -> bool:
        """Return whether `epoch` is below the promised one: nothing from its leader may be accepted."""
        return epoch < self.promised.epoch

    # Entries

    def append_next(self, ops: list[Op], origin: ChangeOrigin) -> Change | None:
        """Append the leader's next entry; return None if the storage failed, which ends the leadership."""
        change = self.latest_state.draft_change(self.epoch, ops, *origin)
        if not self._persist("append", partial(self._storage.append, [change])):
            return None
        self.latest_state.apply(change)
        self.entries.extend([change])
        return change

    def append(self, changes: Sequence[Change]) -> bool:
        """Append the new ones of entries that follow a stored entry; return whether all of them are stored.

        Stored entries that conflict with them are truncated first.
        """
        new = [change for change in changes if change.version > self.entries.base.version]
        while new and self.entries.epoch_at(new[0].version) == new[0].epoch:
            del new[0]
        if not new:
            return True
        if new[0].version <= self.last.version and not self._truncate(new[0].version - 1):
            return False
        try:
            for change in new:
                self.latest_state.apply(change)
        except StateError as err:
            self._context.report("invalid_log_data", why=str(err))
            self._rebuild_latest_state()
            return False
        if not self._persist("append", partial(self._storage.append, new)):
            return False
        self.entries.extend(new)
        return True

    def _truncate(self, after_version: int) -> bool:
        """Drop the uncommitted entries after a version; return whether the storage has done so."""
        if not self._may_truncate(after_version):
            raise LogInvariantError(
                f"cannot truncate after version {after_version}: version {self.commit} is committed"
            )
        if not self._persist("truncate", partial(self._storage.truncate, after_version)):
            return False
        self._context.report("truncated", after=after_version, last=self.last.version)
        self.entries.truncate(after_version)
        self._rebuild_latest_state()
        return True

    def _may_truncate(self, after_version: int) -> bool:
        """Return whether the entries after a version may be dropped: committed ones must not be lost."""
        return after_version >= self.commit

    def contains(self, epoch: int, version: int) -> bool:
        """Return whether the log has an entry of this epoch at this version (Raft's consistency check).

        Entries may only follow one that the leader has too.
        """
        return self.entries.epoch_at(version) == epoch

    def is_of_current_epoch(self, version: int) -> bool:
        """Return whether the entry at a version is of the current epoch.

        Copies of entries of older epochs must not be counted: a newer log may still replace them.
        """
        return self.entries.epoch_at(version) == self.epoch

    # Commit

    def advance_commit(self, version: int) -> bool:
        """Mark everything up to a version as committed; return whether that is stored.

        It is stored first, then passed to `on_commit`.
        """
        if version <= self.commit:
            return True
        if not self._persist("commit", partial(self._storage.commit, version)):
            return False
        changes, is_first = self.entries.between(self.commit, version), self.commit < 1
        for change in changes:
            self.committed_state.apply(change)
        self.commit = version
        if is_first:
            self._on_commit(None, self.committed_state.snapshot())
        else:
            self._on_commit(changes, None)
        if self._storage.needs_compaction:
            self._compact()
        return not self.needs_reload

    def _compact(self) -> None:
        """Replace the changes up to the committed version by a snapshot, in the storage and in memory."""
        if self._persist("compact", partial(self._storage.compact, self.committed_state.snapshot())):
            self.entries.drop_compacted(self.commit)

    def follower_commit(self, leader_commit: int, matching: int) -> int:
        """Return the version that a follower may mark as committed.

        Entries after `matching` are not known to equal the leader's, so they must not be marked.
        """
        return min(leader_commit, matching)

    # Snapshots

    def install(self, snapshot: Snapshot) -> bool:
        """Replace the log by a snapshot unless the log contains it already; return whether it does now."""
        if not self._is_same_cluster(snapshot.cluster_id):
            self._context.report("other_cluster", own=self.cluster_id, other=snapshot.cluster_id)
            return False
        if self.has_history and snapshot.cluster_id == self.committed_state.cluster_id:
            if snapshot.version <= self.commit:
                return True
            if self.contains(snapshot.epoch, snapshot.version):
                return self.advance_commit(snapshot.version)
        try:
            state = FleetState.restore(snapshot)
        except StateError as err:
            self._context.report("invalid_log_data", why=str(err))
            return False
        if not self._persist("install", partial(self._storage.install, snapshot)):
            return False
        self._committed_state, self._latest_state = state, state.copy()
        self.entries = LogEntries(state.position)
        self.commit = state.version
        if self.commit >= 1:
            self._on_commit(None, snapshot)
        return True

    def _is_same_cluster(self, cluster_id: str) -> bool:
        """Return whether this identity is compatible with the stored history: a fleet has one history."""
        return not self.cluster_id or cluster_id == self.cluster_id

    def compressed_snapshot(self) -> bytes:
        """Return the committed state as a compressed snapshot for messages; built once per version."""
        return self._snapshots.get(self.committed_state)

    # Joining

    def finish_joining(self, epoch: int, leader_commit: int) -> bool:
        """Stop joining if this voter has caught up; return whether it counts in majorities from now on."""
        if not self.joining or not self._has_caught_up(epoch, leader_commit):
            return False
        if not self._persist("joined", self._storage.joined):
            return False
        self.joining = False
        return True

    def _has_caught_up(self, epoch: int, leader_commit: int) -> bool:
        """Return whether this voter holds all entries that it may have acknowledged before it lost its disk.

        That is the case once a committed entry of the leader's own epoch is held, with everything before it.
        Counting in majorities earlier could lose acknowledged entries.
        """
        return 1 <= leader_commit <= self.commit and self.contains(epoch, leader_commit)

    # Requests

    def version_of_request(self, request_id: str) -> int | None:
        """Return the version that a request became, None if it is not known.

        Keeps a repeated request from being applied twice.
        """
        return self.latest_state.version_of_request(request_id)

    def has_different_ops(self, version: int, ops: list[Op]) -> bool:
        """Return whether the entry at a version has other operations than `ops`.

        A reused request id must not be reported as done for a change that was never made. The check works as
        long as the entry is kept.
        """
        stored = self.entries.between(version - 1, version) if version > self.entries.base.version else []
        requested = {op.key: op.value for op in ops}
        return any({op.key: op.value for op in change.ops} != requested for change in stored)
