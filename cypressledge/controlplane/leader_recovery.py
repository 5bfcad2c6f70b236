"""A candidate's recovery before it leads: it collects a majority's promises and fetches their newest log.

The lease takes the place of Raft's elections: its token is the epoch. A candidate sends `Prepare`, determines
from the promises of a majority (including its own) which voter holds the newest log, fetches the entries that
it lacks, and hands over to `log_replication.py`. If all voters of a majority are empty, it starts a new log,
provided that it is permitted to.
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

MAX_FETCH_ATTEMPTS = 5  # requests to one voter before the candidate starts over without it


class RecoveryPhase(Enum):
    """The phase of a candidate's recovery."""

    PREPARE = "prepare"  # waiting for the promises of a majority
    FETCH = "fetch"  # waiting for entries from the voter with the newest log
    DONE = "done"  # handed over to replication


class LeaderRecovery:
    """One attempt to lead, in an epoch that is already promised to this replica.

    `on_recovered()` is called once this replica holds the newest log of a majority.
    """

    def __init__(self, context: ReplicaContext, log: ReplicatedLog, on_recovered: Callable[[], None]) -> None:
        self._context = context
        self._log = log
        self._on_recovered = on_recovered
        self.phase = RecoveryPhase.PREPARE
        self.requested_at = NEVER  # µs; time of the last request
        self._promises = {context.name: log.promise_message()}
        self._source = ""  # name of the voter whose log is fetched
        self._fetch_attempts = 0
        self._fetch_from = Position(0, 0)  # the fetched entries follow this position
        self._reported_voters: tuple[str, ...] = ()

    # Promises

    def start(self) -> None:
        """Request promises from the voters that have not answered yet."""
        self.phase, self.requested_at = RecoveryPhase.PREPARE, self._context.now
        for peer in self._context.peers:
            if peer not in self._promises:
                self._context.send(peer, Prepare(self._log.epoch, self._context.instance_id))
        self._evaluate_promises()

    def on_promise(self, sender: str, message: Promise) -> None:
        """Process a voter's promise in the candidate's epoch."""
        if self.phase is RecoveryPhase.PREPARE:
            self._promises[sender] = message
            self._evaluate_promises()

    def _evaluate_promises(self) -> None:
        """Continue with the next phase once a majority, including this replica, has promised."""
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
        """Return the promises that count towards a majority, by voter.

        Joining voters do not count, since they may have lost promises or entries. Empty voters count only as
        long as no voter knows of a committed version.
        """
        is_any_committed = any(promise.commit >= 1 for promise in self._promises.values())
        return {
            voter: promise
            for voter, promise in self._promises.items()
            if not promise.joining and not (is_any_committed and promise.last_version < 0)
        }

    def _lacks_committed_entries(self, newest: Promise) -> bool:
        """Return whether some voter knows of a committed version that even the newest log lacks.

        This happens when a majority of the disks was restored from old copies.
        """
        return any(promise.commit > newest.last_version for promise in self._promises.values())

    def _report_missing_entries(self, newest: Promise) -> None:
        voters = tuple(sorted(self._promises))
        if voters != self._reported_voters:  # report once, not at each retry
            self._reported_voters = voters
            known = max(promise.commit for promise in self._promises.values())
            self._context.report("history_behind", last=newest.last_version, committed=known, voters=voters)

    def _start_first_log(self) -> None:
        """Start a new log if that is permitted.

        Its version 0 is empty and of this epoch, so that entries of another first log cannot follow it.
        """
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
        """Process the requested voter's entries, and the snapshot before them if there is one."""
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
        """Append the fetched entries after a version; return whether all of them are stored."""
        changes = message.changes
        # A repeated earlier answer does not continue the log.
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
        """Repeat the last request; start over without a voter that does not answer."""
        if self.phase is RecoveryPhase.FETCH and self._fetch_attempts < MAX_FETCH_ATTEMPTS:
            self._fetch(self._fetch_from)
            return
        if self.phase is RecoveryPhase.FETCH:
            self._context.report("fetch_failed", voter=self._source)
            self._promises.pop(self._source, None)
        self._promises[self._context.name] = self._log.promise_message()
        self.start()


def answer_fetch(context: ReplicaContext, log: ReplicatedLog, sender: str, message: FetchEntries) -> None:
    """Answer a candidate's request with entries, after a snapshot if they cannot follow its position."""
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
