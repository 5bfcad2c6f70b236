"""A voter's replicated log on its storage: what is promised, held and committed, and the states it makes.

Every step is durable before anything is made of it. After a storage error what the disk holds is uncertain,
so it is read again before anything else. Guards are methods of their own, so that the tests can take each
out.
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

    `on_commit(changes, None)` or `on_commit(None, snapshot)` is called as versions become committed here, at
    the start too. `on_storage_failure()` is called once a durable step failed and was reported. Raises
    `StorageError` where the storage can't be read at the start, `LogInvariantError` at any call.
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
        self.needs_reload = False  # a durable step failed: the storage is read again before anything else
        self.commit = -1  # newest version known to be committed; -1: no history
        self.joining = False  # this voter has lost its disk, or has an old one: it does not count
        self.promised = NOTHING_PROMISED
        self.entries = LogEntries()
        self._committed_state: FleetState | None = None
        self._latest_state: FleetState | None = None
        self._load()

    @property
    def epoch(self) -> int:
        """The epoch promised last; the own one, while this replica leads or is a candidate."""
        return self.promised.epoch

    @property
    def last(self) -> Position:
        """Position of the newest entry."""
        return self.entries.last

    @property
    def has_history(self) -> bool:
        """Whether any history is held, be it the empty version 0."""
        return self._committed_state is not None

    @property
    def committed_state(self) -> FleetState:
        """The state at `commit`; only where there is a history."""
        if self._committed_state is None:
            raise LogInvariantError("no history is held")
        return self._committed_state

    @property
    def latest_state(self) -> FleetState:
        """The state with all entries, committed or not; only where there is a history."""
        if self._latest_state is None:
            raise LogInvariantError("no history is held")
        return self._latest_state

    @property
    def cluster_id(self) -> str:
        """Of the history held; empty before any of it is known to be committed: such a one may give way."""
        return self.committed_state.cluster_id if self.has_history and self.commit >= 1 else ""

    # Reading and writing the storage

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
            raise StorageError(f"the history kept does not fit together: {err}") from None
        if self.commit > max(previous_commit, 0):
            self._on_commit(None, state.snapshot())

    def reload_if_needed(self) -> bool:
        """Read the storage again after an error; whether it is known what it holds."""
        if not self.needs_reload:
            return True
        joining = self.joining
        try:
            self._load()
        except StorageError as err:
            self._context.report("disk_error", step="load", why=str(err))
            return False
        self.joining = joining  # guards against an end of joining that may or may not have been stored
        self.needs_reload = False
        return True

    def _rebuild_latest_state(self) -> None:
        """Kept up change by change, and made anew after a truncation."""
        self._latest_state = self.committed_state.copy()
        for change in self.entries.between(self.commit, self.last.version):
            self._latest_state.apply(change)

    def _persist(self, step: str, write: Callable[[], None]) -> bool:
        """One durable step of the storage, with its name in reports; whether it was taken."""
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
        """Promise an epoch to an instance (0: to whoever leads it); whether the promise is stored."""
        if (epoch, instance_id) == self.promised:
            return True
        if not self._persist("promise", partial(self._storage.promise, epoch, instance_id)):
            return False
        self.promised = PromisedEpoch(epoch, instance_id)
        return True

    def promise_message(self) -> Promise:
        """What this voter has promised and holds."""
        return Promise(self.epoch, *self.last, self.commit, self.joining)

    def may_promise(self, epoch: int, instance_id: int) -> bool:
        """Guards against two leaders of one epoch, and against the return of an old one."""
        return epoch > self.promised.epoch or (epoch, instance_id) == self.promised

    def is_stale(self, epoch: int) -> bool:
        """Guards against entries of a leader that a newer one may have been promised not to hear."""
        return epoch < self.promised.epoch

    # Entries

    def append_next(self, ops: list[Op], origin: ChangeOrigin) -> Change | None:
        """Write the leader's next entry; none where the storage failed, and this is no leader any more."""
        change = self.latest_state.draft_change(self.epoch, ops, *origin)
        if not self._persist("append", partial(self._storage.append, [change])):
            return None
        self.latest_state.apply(change)
        self.entries.extend([change])
        return change

    def append(self, changes: Sequence[Change]) -> bool:
        """Write what is new of entries that follow one held here; whether all of them are held now."""
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
        """Drop entries that were never committed."""
        if not self._may_truncate(after_version):
            raise LogInvariantError(
                f"entries after {after_version} would be dropped, committed up to {self.commit}"
            )
        if not self._persist("truncate", partial(self._storage.truncate, after_version)):
            return False
        self._context.report("truncated", after=after_version, last=self.last.version)
        self.entries.truncate(after_version)
        self._rebuild_latest_state()
        return True

    def _may_truncate(self, after_version: int) -> bool:
        """Guards against the loss of what is committed."""
        return after_version >= self.commit

    def contains(self, epoch: int, version: int) -> bool:
        """Guards against entries behind others than the leader has."""
        return self.entries.epoch_at(version) == epoch

    def is_of_current_epoch(self, version: int) -> bool:
        """Guards against counting copies of older epochs: a newer log may still replace those."""
        return self.entries.epoch_at(version) == self.epoch

    # Commit

    def advance_commit(self, version: int) -> bool:
        """Everything up to a version is committed: stored first, then handed on. Whether it is stored."""
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
        """Replace the changes up to the commit by a snapshot, here and in the storage."""
        if self._persist("compact", partial(self._storage.compact, self.committed_state.snapshot())):
            self.entries.drop_compacted(self.commit)

    def follower_commit(self, leader_commit: int, matching: int) -> int:
        """Guards against calling committed what is held here but not known to be the leader's."""
        return min(leader_commit, matching)

    # Snapshots

    def install(self, snapshot: Snapshot) -> bool:
        """Take a snapshot in place of what is held, unless it is held already; whether it is held now."""
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
        """Guards against two histories in one fleet."""
        return not self.cluster_id or cluster_id == self.cluster_id

    def compressed_snapshot(self) -> bytes:
        """The committed state as it goes into a message, made once a version."""
        return self._snapshots.get(self.committed_state)

    # Joining

    def finish_joining(self, epoch: int, leader_commit: int) -> bool:
        """Count in majorities again, where all is back; whether this voter has just begun to."""
        if not self.joining or not self._has_caught_up(epoch, leader_commit):
            return False
        if not self._persist("joined", self._storage.joined):
            return False
        self.joining = False
        return True

    def _has_caught_up(self, epoch: int, leader_commit: int) -> bool:
        """Guards against counting again before all is back that may have been acknowledged here.

        That is everything before an entry of the leader's own epoch that is committed.
        """
        return 1 <= leader_commit <= self.commit and self.contains(epoch, leader_commit)

    # Requests

    def version_of_request(self, request_id: str) -> int | None:
        """Guards against a request that is applied twice."""
        return self.latest_state.version_of_request(request_id)

    def has_different_ops(self, version: int, ops: list[Op]) -> bool:
        """Guards against "done" for a change that was never made: its request id was another one's.

        Known as long as the entry is held.
        """
        stored = self.entries.between(version - 1, version) if version > self.entries.base.version else []
        requested = {op.key: op.value for op in ops}
        return any({op.key: op.value for op in change.ops} != requested for change in stored)
