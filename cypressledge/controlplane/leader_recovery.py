"""How a candidate becomes ready to lead: promises of a majority, then the newest log that one of them holds.

The lease takes the place of Raft's elections: its token is the epoch. A candidate sends `Prepare`, takes from
a majority's promises, its own among them, who holds the newest log, fetches what it lacks, and hands over to
`log_replication.py`. Where all of a majority are empty it starts a new log, if it has been permitted to.
"""

from collections.abc import Callable
from enum import Enum

from cypressledge.controlplane.change_history import decompress_snapshot
from cypressledge.controlplane.messages import (
    Denied,
    EntriesFetched,
    FetchEntries,
    Prepare,
    Promise,
    Snapshot,
)
from cypressledge.controlplane.replica_context import NEVER, ReplicaContext
from cypressledge.controlplane.replicated_log import ReplicatedLog
from cypressledge.controlplane.state import FleetState, Position
from cypressledge.controlplane.state_values import StateError

MAX_FETCH_ATTEMPTS = 5  # requests to one voter before a candidate begins again without it


class RecoveryPhase(Enum):
    """What a candidate waits for."""

    PREPARE = "prepare"  # promises of a majority
    FETCH = "fetch"  # entries of the voter with the newest log
    DONE = "done"  # nothing: it has handed over


class LeaderRecovery:
    """One attempt to lead, in an epoch that is already promised to this replica.

    `on_recovered()` is called once the newest log of a majority is held here.
    """

    def __init__(self, context: ReplicaContext, log: ReplicatedLog, on_recovered: Callable[[], None]) -> None:
        self._context = context
        self._log = log
        self._on_recovered = on_recovered
        self.phase = RecoveryPhase.PREPARE
        self.requested_at = NEVER  # µs, when something was last asked for
        self._promises = {context.name: log.promise_message()}
        self._source = ""  # the voter whose log is fetched
        self._fetch_attempts = 0
        self._fetch_from = Position(0, 0)  # what is fetched follows it
        self._reported_voters: tuple[str, ...] = ()

    # Promises

    def start(self) -> None:
        """Ask those for promises who haven't answered."""
        self.phase, self.requested_at = RecoveryPhase.PREPARE, self._context.now
        for peer in self._context.peers:
            if peer not in self._promises:
                self._context.send(peer, Prepare(self._log.epoch, self._context.instance_id))
        self._evaluate_promises()

    def on_promise(self, sender: str, message: Promise) -> None:
        """A voter's promise in the candidate's epoch."""
        if self.phase is RecoveryPhase.PREPARE:
            self._promises[sender] = message
            self._evaluate_promises()

    def _evaluate_promises(self) -> None:
        """Go on from a majority's promises, as soon as there is one."""
        own_name, counted = self._context.name, self._counted_promises()
        if not self._context.is_majority(len(counted)) or own_name not in counted:
            return
        source = max(counted, key=lambda v: (counted[v].last_epoch, counted[v].last_version, v == own_name))
        newest = counted[source]
        if self._lacks_committed_entries(newest):
            self._report_missing_entries(newest)
        elif newest.last_version < 0:
            self._start_first_log()
        elif (newest.last_epoch, newest.last_version) == self._log.last:
            self._finish()
        else:
            self._fetch_missing(source)

    def _counted_promises(self) -> dict[str, Promise]:
        """Guards against a majority of those who have forgotten what they promised or held.

        Empty voters count only as long as nobody knows of anything committed.
        """
        is_any_committed = any(promise.commit >= 1 for promise in self._promises.values())
        return {
            voter: promise
            for voter, promise in self._promises.items()
            if not promise.joining and not (is_any_committed and promise.last_version < 0)
        }

    def _lacks_committed_entries(self, newest: Promise) -> bool:
        """Whether some voter knows of a commit that even the newest log lacks.

        Guards against a majority of disks that were put back.
        """
        return any(promise.commit > newest.last_version for promise in self._promises.values())

    def _report_missing_entries(self, newest: Promise) -> None:
        voters = tuple(sorted(self._promises))
        if voters != self._reported_voters:  # guards against a line in the log at each repeat
            self._reported_voters = voters
            known = max(promise.commit for promise in self._promises.values())
            self._context.report("history_behind", last=newest.last_version, committed=known, voters=voters)

    def _start_first_log(self) -> None:
        """Version 0 is empty and of this epoch, so that no other first log's entries can follow it."""
        first = self._context.first_version
        if first is None:
            return
        state = FleetState(first.cluster_id)
        state.epoch = self._log.epoch
        if self._log.install(state.snapshot()):
            self._context.report("log_started", cluster_id=first.cluster_id, epoch=self._log.epoch)
            self._finish()

    def _finish(self) -> None:
        self.phase = RecoveryPhase.DONE
        self._on_recovered()

    # Fetching the newest log

    def _fetch_missing(self, source: str) -> None:
        self._source, self._fetch_attempts, self.phase = source, 0, RecoveryPhase.FETCH
        version = max(self._log.commit, self._log.entries.base.version)
        self._fetch(Position(self._log.entries.epoch_at(version) or 0, version))

    def _fetch(self, position: Position) -> None:
        self._fetch_from, self.requested_at = position, self._context.now
        self._fetch_attempts += 1
        self._context.send(self._source, FetchEntries(self._log.epoch, *position))

    def on_entries_fetched(self, sender: str, message: EntriesFetched) -> None:
        """Entries, and a snapshot before them where needed, from the voter that was asked."""
        if self.phase is not RecoveryPhase.FETCH or sender != self._source:
            return
        version = self._fetch_from.version
        if message.compressed:
            snapshot = self._decompress(message.compressed)
            if snapshot is None or not self._log.install(snapshot):
                return
            version = snapshot.version
        if not self._append_fetched(version, message):
            return
        newest = self._promises[sender]
        end = message.changes[-1].version if message.changes else version
        if self._log.last == (newest.last_epoch, newest.last_version):
            self._promises[self._context.name] = self._log.promise_message()
            self._finish()
        elif message.has_more and end > self._fetch_from.version:
            self._fetch_attempts = 0
            self._fetch(Position(self._log.entries.epoch_at(end) or 0, end))

    def _append_fetched(self, version: int, message: EntriesFetched) -> bool:
        """Whether entries that should follow this version are held now."""
        changes = message.changes
        # Guards against a repeat of an earlier answer.
        if changes and (changes[0].version != version + 1 or self._log.entries.epoch_at(version) is None):
            return False
        return self._log.append(changes)

    def _decompress(self, compressed: bytes) -> Snapshot | None:
        try:
            return decompress_snapshot(compressed)
        except StateError as err:
            self._context.report("invalid_log_data", why=str(err))
            return None

    def retry(self) -> None:
        """Ask again; begin anew without a voter that does not answer."""
        if self.phase is RecoveryPhase.FETCH and self._fetch_attempts < MAX_FETCH_ATTEMPTS:
            self._fetch(self._fetch_from)
            return
        if self.phase is RecoveryPhase.FETCH:
            self._context.report("fetch_failed", voter=self._source)
            self._promises.pop(self._source, None)
        self._promises[self._context.name] = self._log.promise_message()
        self.start()


def answer_fetch(context: ReplicaContext, log: ReplicatedLog, sender: str, message: FetchEntries) -> None:
    """A voter's answer to a candidate: entries, or a snapshot first where those can't follow."""
    if message.epoch != log.epoch:
        context.send(sender, Denied(log.epoch))
        return
    if not log.has_history:
        return
    compressed, version = b"", message.prev_version
    if not log.contains(message.prev_epoch, message.prev_version):
        compressed, version = log.compressed_snapshot(), log.commit
    changes = log.entries.batch_after(version)
    has_more = version + len(changes) < log.last.version
    context.send(sender, EntriesFetched(message.epoch, changes, compressed, has_more))
