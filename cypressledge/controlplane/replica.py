"""One replica of the fleet's history: what a control process promises, keeps, and takes for committed.

No I/O but for the disk it is given, told the time (µs, on the process's own clock). The method is Raft's
log (Ongaro and Ousterhout, 2014) with the lease `primary` in place of elections: its token is the term, named
epoch here. Safety is the promises' and the log's; a wrong lease costs tries, never history. The argument is
in docs/controlplane.md. Guards are methods of their own, so that the tests can take each of them out.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import ClassVar, Literal, Protocol

import msgspec

from cypressledge.controlplane.change_history import compress_snapshot, decompress_snapshot
from cypressledge.controlplane.messages import (
    MAX_BATCH_BYTES,
    AppendEntries,
    Change,
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
    Snapshot,
)
from cypressledge.controlplane.state import FleetState, StateError, find_conflicts, validate_change

NEVER = -(1 << 62)  # µs: a moment before all others
HEARTBEAT_INTERVAL_US = (
    500_000  # between a primary's signs of life, and between repeats of a candidate's questions
)
RESEND_US = 1_000_000  # an AppendEntries that wasn't answered for so long is sent again
SNAPSHOT_RESEND_US = 5_000_000  # as long for a snapshot, which takes longer on its way
QUORUM_TIMEOUT_US = 10_000_000  # without an answer from a majority for so long, another should try
MAX_FETCH_ATTEMPTS = 5  # questions to one voter before a candidate begins again without it
MAX_PENDING_PROPOSALS = (
    1_000  # changes that wait for a majority: guards against memory that grows while there is none
)
MAX_KEPT_ENTRIES = (
    1_024  # changes kept in memory when the disk has been compacted, for voters a little behind
)
MAX_KEPT_BYTES = 2 << 20  # of those

_encode = msgspec.msgpack.Encoder().encode


class StorageError(Exception):
    """The disk did not take or give something: full, damaged."""


class LogInvariantError(Exception):
    """What must not be: a committed entry would be dropped or changed. The process has to stop."""


class NotLeaderError(Exception):
    """Not here. `primary`: who it is, as far as is known; empty where it isn't."""

    def __init__(self, primary: str) -> None:
        super().__init__(f"the primary is {primary or 'not known'}")
        self.leader = primary


class VersionConflictError(Exception):
    """`keys` have changed since the version that a request was made on."""

    def __init__(self, keys: list[str]) -> None:
        super().__init__(f"changed meanwhile: {', '.join(keys)}")
        self.keys = keys


@dataclass(frozen=True, slots=True)
class StoredLog:
    """All that a disk holds. `base`: none before there is any history; `changes` follow it, without a gap."""

    base: Snapshot | None = None
    changes: list[Change] = field(default_factory=list)
    commit: int = 0
    promised: tuple[int, int] = (0, 0)
    joining: bool = False


class LogStorage(Protocol):
    """What a replica keeps. Each call is durable when it returns, whole or not at all; raises `DiskError`."""

    needs_compaction: bool  # it holds so many changes that a `compact` is due

    def load(self) -> StoredLog:
        """Everything."""

    def promise(self, epoch: int, run: int) -> None:
        """What was promised, and to which run (0: to whoever leads that epoch)."""

    def append(self, changes: list[Change]) -> None:
        """They follow the last one kept."""

    def truncate(self, after_version: int) -> None:
        """Drop the changes after a version."""

    def commit(self, version: int) -> None:
        """All up to here is known to be committed."""

    def install(self, snapshot: Snapshot) -> None:
        """This in place of all history, and committed."""

    def compact(self, snapshot: Snapshot) -> None:
        """This in place of the changes up to its version; those after it stay."""

    def joined(self) -> None:
        """No longer joining."""


@dataclass(slots=True)
class PendingProposal:
    """What becomes of a proposed change. `unknown`: the primary stepped down; it may or may not be committed
    later, and asking again under the same request name tells."""

    version: int
    epoch: int
    state: Literal["open", "done", "unknown"] = "open"


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """For pages and counters. `match`: by voter, the version known to be on its disk (-1: none known), while
    primary. `silent_ms`: since a primary was last heard of; -1: never."""

    role: str
    epoch: int
    last: int
    commit: int
    match: dict[str, int]
    leader_silence_ms: int
    leader: str
    cluster_id: str
    joining: bool


class LogEntries:
    """The entries in memory, behind the position `base` = (epoch, version); version -1: no history at all."""

    def __init__(self, base: tuple[int, int] = (0, -1), changes: list[Change] = ()) -> None:
        self.base = base
        self.entries: list[Change] = []
        self.sizes: list[int] = []
        self.extend(changes)

    @property
    def last(self) -> tuple[int, int]:
        """(epoch, version) of the newest entry."""
        return (self.entries[-1].epoch, self.entries[-1].version) if self.entries else self.base

    def epoch_at(self, version: int) -> int | None:
        """The epoch of an entry, the base included; none where it isn't held or no longer is."""
        index = version - self.base[1]
        if version < 0 or not 0 <= index <= len(self.entries):
            return None
        return self.entries[index - 1].epoch if index else self.base[0]

    def extend(self, changes: list[Change]) -> None:
        """They follow the last one."""
        self.entries += changes
        self.sizes += [len(_encode(c)) for c in changes]

    def cut(self, after: int) -> None:
        """Drop what follows a version."""
        del self.entries[after - self.base[1] :], self.sizes[after - self.base[1] :]

    def between(self, after: int, to: int) -> list[Change]:
        """The entries after one version, up to another."""
        return self.entries[after - self.base[1] : to - self.base[1]]

    def after(self, version: int, most: int = MAX_BATCH_BYTES) -> list[Change]:
        """The entries after a version, up to `most` bytes but one at least."""
        start = end = version - self.base[1]
        total = 0
        while end < len(self.entries) and (end == start or total + self.sizes[end] <= most):
            total += self.sizes[end]
            end += 1
        return self.entries[start:end]

    def trim(self, commit: int) -> None:
        """Keep the last committed ones only, `KEPT_MOST` of them and `KEPT_BYTES`, and all that aren't."""
        count = commit - self.base[1]
        keep, total = 0, 0
        while keep < min(count, MAX_KEPT_ENTRIES) and total + self.sizes[count - keep - 1] <= MAX_KEPT_BYTES:
            total += self.sizes[count - keep - 1]
            keep += 1
        if drop := count - keep:
            self.base = (self.entries[drop - 1].epoch, self.entries[drop - 1].version)
            del self.entries[:drop], self.sizes[:drop]


@dataclass(slots=True)
class PeerProgress:
    """How far a voter is, as its primary knows."""

    next: int  # the version that the next AppendEntries begins behind
    match: int = -1  # on its disk, as it said
    notified_commit: int = -1  # the commit it has been told of
    end: int = -1  # the last version of what is out; -1: nothing is
    resend: int = NEVER  # when that is sent again
    joining: bool = False


class Replica:
    """A voter, and its primary while it holds the lease.

    `out(peer, message)`; `committed(changes, None)` or `committed(None, snapshot)` as versions become
    committed here, at the start too; `event(name, **what)`: none of them may call back into here. `mute_us`:
    how long one that joins says nothing; the longest term of the lease. Raises `DiskError` where the disk
    can't be read at the start, `HistoryError` at any call.
    """

    def __init__(
        self,
        name: str,
        run: int,
        voters: tuple[str, ...],
        disk: LogStorage,
        now: int,
        out: Callable[[str, Message], None],
        committed: Callable[[list[Change] | None, Snapshot | None], None],
        event: Callable[..., None],
        joining: bool = False,
        mute_us: int = 0,
    ) -> None:
        self.name, self.instance_id, self.voters, self.disk = name, run, voters, disk
        self.peers = tuple(v for v in voters if v != name)
        self.out, self.committed, self.event = out, committed, event
        self.now = now
        self.role: Literal["standby", "recovering", "primary"] = "standby"
        self.phase = ""  # of a recovery: prepare, fetch, open
        self.leader, self.leader_heard_at = "", NEVER
        self.lease_until = NEVER  # of the lease
        self.genesis: tuple[str, list[Op]] | None = None
        self.promises: dict[str, Promise] = {}
        self.progress: dict[str, PeerProgress] = {}
        self.tickets: dict[int, PendingProposal] = {}
        self.source, self.tries, self.asked = "", 0, NEVER
        self.contact: dict[str, int] = {}  # when a peer last answered in the own epoch
        self.opened = 0  # the first version of the own epoch
        self.beat = NEVER
        self.told_behind = ()
        self.packed: tuple[tuple[int, int], bytes] = ((-1, -1), b"")
        self.dirty = False  # a durable step failed: the disk is read again before anything else
        self.commit = -1
        self._load()
        self.joining = self.joining or joining
        self.mute_until = now + mute_us if self.joining else NEVER

    # What is kept

    def _load(self) -> None:
        loaded = self.disk.load()
        self.promised, self.joining = loaded.promised, loaded.joining
        handed = self.commit
        if loaded.base is None:
            self.log, self.commit = LogEntries(), -1
            self.state = self.latest_state = None
            return
        try:
            self.state = FleetState.restore(loaded.base)
            self.log = LogEntries(self.state.position, loaded.changes)
            self.commit = loaded.commit
            for change in self.log.between(self.state.version, self.commit):
                self.state.apply(change)
            self._rebuild_tail()
        except StateError as err:
            raise StorageError(f"the history kept does not fit together: {err}") from None
        if self.commit > max(handed, 0):
            self.committed(None, self.state.snapshot())

    def _rebuild_tail(self) -> None:
        """The state with what isn't committed yet: kept up change by change, made anew after a truncation."""
        self.latest_state = self.state.copy()
        for change in self.log.between(self.commit, self.log.last[1]):
            self.latest_state.apply(change)

    def _durable(self, step: str, *args: object) -> bool:
        """One step on the disk; whether it is there. If not, what the disk holds is no longer certain."""
        try:
            getattr(self.disk, step)(*args)
            return True
        except StorageError as err:
            self.dirty = True
            self.event("disk_error", step=step, why=str(err))
            self._step_down("disk")
            return False

    def _clean(self) -> bool:
        """Read the disk again after an error; whether it could be."""
        if not self.dirty:
            return True
        joining = self.joining
        try:
            self._load()
        except StorageError as err:
            self.event("disk_error", step="load", why=str(err))
            return False
        self.joining = joining  # guards against an end that the disk may or may not have taken
        self.dirty = False
        return True

    def _promise(self, epoch: int, run: int) -> bool:
        if (epoch, run) == self.promised:
            return True
        if not self._durable("promise", epoch, run):
            return False
        self.promised = (epoch, run)
        return True

    def _advance(self, version: int) -> bool:
        """All up to here is committed: on the disk first, then handed on."""
        if version <= self.commit:
            return True
        if not self._durable("commit", version):
            return False
        changes, first = self.log.between(self.commit, version), self.commit < 1
        for change in changes:
            self.state.apply(change)
        self.commit = version
        if first:
            self.committed(None, self.state.snapshot())
        else:
            self.committed(changes, None)
        if self.disk.needs_compaction and self._durable("compact", self.state.snapshot()):
            self.log.trim(self.commit)
        return not self.dirty

    def _cut(self, after: int) -> bool:
        """Drop entries that were never committed."""
        if not self._droppable(after):
            raise LogInvariantError(f"entries after {after} would be dropped, committed up to {self.commit}")
        if not self._durable("truncate", after):
            return False
        self.event("truncated", after=after, last=self.log.last[1])
        self.log.cut(after)
        self._rebuild_tail()
        return True

    def _take(self, changes: list[Change]) -> bool:
        """Entries that follow one that is held: what is new is written; whether all of them are here now."""
        new = [c for c in changes if c.version > self.log.base[1]]
        while new and self.log.epoch_at(new[0].version) == new[0].epoch:
            del new[0]
        if not new:
            return True
        if new[0].version <= self.log.last[1] and not self._cut(new[0].version - 1):
            return False
        try:
            for change in new:
                self.latest_state.apply(change)
        except StateError as err:
            self.event("unfit", why=str(err))
            self._rebuild_tail()
            return False
        if not self._durable("append", new):
            return False
        self.log.extend(new)
        return True

    def _install(self, snapshot: Snapshot) -> bool:
        """A snapshot in place of what is held, unless it is held already; whether it is here now."""
        if not self._is_same_cluster(snapshot.cluster_id):
            self.event("lineage", own=self.cluster_id, other=snapshot.cluster_id)
            return False
        if self.state is not None and snapshot.cluster_id == self.state.cluster_id:
            if snapshot.version <= self.commit:
                return True
            if self.log.epoch_at(snapshot.version) == snapshot.epoch:
                return self._advance(snapshot.version)
        try:
            state = FleetState.restore(snapshot)
        except StateError as err:
            self.event("unfit", why=str(err))
            return False
        if not self._durable("install", snapshot):
            return False
        self.state, self.latest_state, self.log = state, state.copy(), LogEntries(state.position)
        self.commit = state.version
        if self.commit >= 1:
            self.committed(None, snapshot)
        return True

    # Guards

    @property
    def cluster_id(self) -> str:
        """Of the history held. Empty before any of it is known to be committed: such a one may give way."""
        return self.state.cluster_id if self.state is not None and self.commit >= 1 else ""

    def _is_same_cluster(self, lineage: str) -> bool:
        """Guards against two histories in one fleet."""
        return not self.cluster_id or lineage == self.cluster_id

    def _may_promise(self, epoch: int, run: int) -> bool:
        """Guards against two primaries of one epoch, and an old one's return."""
        return epoch > self.promised[0] or (epoch, run) == self.promised

    def _stale(self, epoch: int) -> bool:
        """Guards against entries of a primary that a newer one may have been promised not to hear."""
        return epoch < self.promised[0]

    def _fits(self, epoch: int, version: int) -> bool:
        """Guards against entries behind others than the primary has."""
        return self.log.epoch_at(version) == epoch

    def _droppable(self, after: int) -> bool:
        """Guards against the loss of what is committed."""
        return after >= self.commit

    def _covered(self, commit: int, held: int) -> int:
        """Guards against calling committed what is held here but not known to be the primary's."""
        return min(commit, held)

    def _own(self, version: int) -> bool:
        """Guards against counting copies of older epochs: a newer history may still replace those."""
        return self.log.epoch_at(version) == self.epoch

    def _leased(self, now: int) -> bool:
        """Guards against a word from one who may no longer be the primary."""
        return now < self.lease_until

    def _counted(self) -> dict[str, Promise]:
        """Guards against a majority of those who have forgotten what they promised or held. Empty ones count
        only as long as nobody knows of anything committed."""
        known = any(p.commit >= 1 for p in self.promises.values())
        return {
            v: p for v, p in self.promises.items() if not p.joining and not (known and p.last_version < 0)
        }

    def _behind(self, newest: Promise) -> bool:
        """Guards against a majority of disks that were put back."""
        return any(p.commit > newest.last_version for p in self.promises.values())

    def _enough(self, count: int) -> bool:
        """Guards against two halves that don't meet."""
        return count > len(self.voters) // 2

    def _held(self, voter: str) -> int:
        """The version that counts as being on a voter's disk. Guards as `_counted` does."""
        if voter == self.name:
            return self.log.last[1]
        progress = self.progress[voter]
        return -1 if progress.joining else progress.match

    def _caught_up(self, epoch: int, commit: int) -> bool:
        """Guards against counting again before all is back that may have been acknowledged here: what an own
        entry of the primary's epoch, committed, comes after."""
        return 1 <= commit <= self.commit and self.log.epoch_at(commit) == epoch

    def _has_lost_quorum(self, now: int) -> bool:
        """Guards against a lease that is of no use to whoever has it and is missing elsewhere."""
        answered = sorted((now, *self.contact.values()), reverse=True)
        return now >= answered[len(self.voters) // 2] + QUORUM_TIMEOUT_US

    def _muted(self, now: int) -> bool:
        """Guards against a promise that was lost with the disk, until whoever had it has lost the lease."""
        return now < self.mute_until

    def _known(self, request: str) -> int | None:
        """Guards against a request that comes into force twice."""
        return self.latest_state.version_of_request(request)

    def _differs(self, version: int, ops: list[Op]) -> bool:
        """Guards against "done" for a change that never was made: its name was another one's. Told as long as
        the entry is held."""
        held = self.log.between(version - 1, version) if version > self.log.base[1] else []
        return any({op.key: op.value for op in c.ops} != {op.key: op.value for op in ops} for c in held)

    # The lease

    @property
    def epoch(self) -> int:
        """The epoch promised last; while not a standby, the own one."""
        return self.promised[0]

    def is_eligible(self, now: int) -> bool:
        """Whether this replica could lead: it makes no sense to ask for the lease else."""
        return not (self.joining or self._muted(now) or self.dirty) and (
            self.state is not None or self.genesis is not None
        )

    def permit_first_version(self, lineage: str, ops: list[Op]) -> None:
        """Leave to begin a new history, should a majority be empty. Raises `StateError`."""
        validate_change(FleetState(lineage), ops)
        self.genesis = (lineage, ops)

    def lease(self, now: int, token: int | None, until: int) -> bool:
        """What is known of the lease `primary` now: the token, where it is held here, and until when (µs).
        Whether it is of use: one that isn't should be given back, to be had again with a higher token."""
        self.now, self.lease_until = now, until if token is not None else NEVER
        if self.role != "standby" and (token != self.epoch or not self._leased(now)):
            self._step_down("lease")
        if token is None:
            return False
        if self.role != "standby":
            return True
        if not self._clean() or not self.is_eligible(now) or not self._leased(now):
            return False
        if token <= self.epoch:
            self.event("token_behind", token=token, promised=self.epoch)
            return False
        return self._take_over(token)

    def _step_down(self, why: str) -> None:
        if self.role == "standby":
            return
        self.event("stepped_down", epoch=self.epoch, was=self.role, why=why)
        for ticket in self.tickets.values():
            ticket.state = "unknown"
        self.tickets.clear()
        self.progress.clear()
        self.promises.clear()
        self.role, self.phase, self.leader = "standby", "", ""

    def _take_over(self, token: int) -> bool:
        if not self._promise(token, self.instance_id):
            return False
        self.role, self.told_behind = "recovering", ()
        self.event("recovering", epoch=token)
        self.promises = {self.name: self._own_promise()}
        self.contact = dict.fromkeys(self.peers, self.now)
        self._prepare()
        return True

    def _own_promise(self) -> Promise:
        return Promise(self.epoch, *self.log.last, self.commit, self.joining)

    def _prepare(self) -> None:
        """Ask those who haven't answered."""
        self.phase, self.asked = "prepare", self.now
        for peer in self.peers:
            if peer not in self.promises:
                self.out(peer, Prepare(self.epoch, self.instance_id))
        self._consider()

    def _consider(self) -> None:
        """Go on from a majority's promises, as soon as there is one."""
        counted = self._counted()
        if not self._enough(len(counted)) or self.name not in counted:
            return
        source = max(counted, key=lambda v: (counted[v].last_epoch, counted[v].last_version, v == self.name))
        newest = counted[source]
        if self._behind(newest):
            self._tell_behind(newest)
        elif newest.last_version < 0:
            self._originate()
        elif (newest.last_epoch, newest.last_version) == self.log.last:
            self._open([], "a new primary")
        else:
            self.source, self.tries, self.phase = source, 0, "fetch"
            at = max(self.commit, self.log.base[1])
            self._fetch((self.log.epoch_at(at) or 0, at))

    def _tell_behind(self, newest: Promise) -> None:
        said = tuple(sorted(self.promises))
        if said != self.told_behind:  # guards against a line in the log at each repeat
            self.told_behind = said
            known = max(p.commit for p in self.promises.values())
            self.event("history_behind", last=newest.last_version, committed=known, voters=said)

    def _originate(self) -> None:
        """The first history: version 0 is empty and of this epoch, so that no other's entries can fit it."""
        if self.genesis is None:
            return
        lineage = self.genesis[0]
        state = FleetState(lineage)
        state.epoch = self.epoch
        if self._install(state.snapshot()):
            self.event("origin", lineage=lineage, epoch=self.epoch)
            self._open([], "a new primary")

    def _open(self, ops: list[Op], why: str) -> None:
        """The first entry of the own epoch: what commits all before it."""
        self.phase = "open"
        last = self.log.last[1]
        if not last and self.genesis:  # a first history whose beginning got no further than its name
            ops, why = self.genesis[1], "the first version"
        self.progress = {peer: PeerProgress(next=last) for peer in self.peers}
        change = self._write(ops, why=why)
        if change is None:
            return
        self.opened, self.leader = change.version, self.name
        self._beat_all()
        self._spread()

    # A candidate takes in the newest history

    def _fetch(self, position: tuple[int, int]) -> None:
        self.fetching, self.asked = position, self.now
        self.tries += 1
        self.out(self.source, FetchEntries(self.epoch, *position))

    def _on_fetch(self, sender: str, m: FetchEntries) -> None:
        if m.epoch != self.epoch:
            self._deny(sender)
            return
        if self.state is None:
            return
        packed, at = b"", m.prev_version
        if not self._fits(m.prev_epoch, m.prev_version):
            packed, at = self._packed(), self.commit
        changes = self.log.after(at)
        more = at + len(changes) < self.log.last[1]
        self.out(sender, EntriesFetched(m.epoch, changes, packed, more))

    def _on_fetched(self, sender: str, m: EntriesFetched) -> None:
        if m.epoch != self.epoch or self.phase != "fetch" or sender != self.source:
            return
        at = self.fetching[1]
        try:
            snapshot = decompress_snapshot(m.compressed) if m.compressed else None
        except StateError as err:
            self.event("unfit", why=str(err))
            return
        if snapshot is not None:
            if not self._install(snapshot):
                return
            at = snapshot.version
        # Guards against a repeat of an earlier answer.
        if m.changes and (m.changes[0].version != at + 1 or self.log.epoch_at(at) is None):
            return
        if not self._take(m.changes):
            return
        source = self.promises[sender]
        end = m.changes[-1].version if m.changes else at
        if self.log.last == (source.last_epoch, source.last_version):
            self.promises[self.name] = self._own_promise()
            self._open([], "a new primary")
        elif m.has_more and end > self.fetching[1]:
            self.tries = 0
            self._fetch((self.log.epoch_at(end), end))

    # A voter

    def receive(self, now: int, sender: str, message: Message) -> None:
        """A message of another control process. Those of no voter are passed over."""
        self.now = now
        if sender not in self.peers or self._muted(now):
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            return
        if not self._clean():
            if isinstance(message, Prepare | AppendEntries | InstallSnapshot | FetchEntries):
                self._deny(sender, "disk")
            return
        if (
            isinstance(message, Promise | EntriesFetched | EntriesAppended | Mismatch)
            and message.epoch == self.epoch
        ):
            self.contact[sender] = now
        handler(self, sender, message)
        if self.dirty and isinstance(message, Prepare | AppendEntries | InstallSnapshot):
            self._deny(sender, "disk")

    def _deny(self, sender: str, why: str = "epoch") -> None:
        self.out(sender, Denied(self.epoch, why))

    def _on_prepare(self, sender: str, m: Prepare) -> None:
        if not self._may_promise(m.epoch, m.instance_id):
            self._deny(sender)
            return
        self._step_down("another")
        if self._promise(m.epoch, m.instance_id):
            self.out(sender, self._own_promise())

    def _on_promised(self, sender: str, m: Promise) -> None:
        if m.epoch == self.epoch and self.phase == "prepare":
            self.promises[sender] = m
            self._consider()

    def _follow(self, sender: str, epoch: int) -> bool:
        """Whether what the primary of an epoch says is to be taken: it is the one that is heard from now."""
        if self._stale(epoch):
            self._deny(sender)
            return False
        if self.role != "standby" and epoch == self.epoch and self.phase != "prepare":
            raise LogInvariantError(f"two primaries of epoch {epoch}: {sender} and {self.name}")
        self._step_down("another")
        if epoch > self.epoch and not self._promise(epoch, 0):
            return False
        self.leader, self.leader_heard_at = sender, self.now
        return True

    def _on_append(self, sender: str, m: AppendEntries) -> None:
        if not self._follow(sender, m.epoch):
            return
        if not self._fits(m.prev_epoch, m.prev_version):
            self._mismatch(sender, m)
            return
        held = m.prev_version + len(m.changes)
        in_order = all(c.version == m.prev_version + 1 + i for i, c in enumerate(m.changes))
        if not in_order or not self._take(m.changes):
            if not self.dirty:
                self._deny(sender, "state")
            return
        if self._advance(self._covered(m.commit, held)):
            self._appended(sender, m.epoch, m.commit, held)

    def _mismatch(self, sender: str, m: AppendEntries) -> None:
        """Where the primary may begin again: all that is committed is the same there."""
        if self.state is None:
            self.out(sender, Mismatch(m.epoch, -1))
            return
        held = self.log.epoch_at(m.prev_version)
        if held is not None and m.prev_version <= self.commit and self.commit >= 1:
            raise LogInvariantError(
                f"version {m.prev_version}, committed, is of epoch {held} here, of "
                f"{m.prev_epoch} at {sender}"
            )
        fork = self.commit < 1 and held is not None and not m.prev_version
        at = self.log.last[1] if m.prev_version > self.log.last[1] else max(self.commit, self.log.base[1])
        # Guards against a first history that was never committed: version 0 is of another epoch there.
        self.out(sender, Mismatch(m.epoch, -1 if fork else at))

    def _on_install(self, sender: str, m: InstallSnapshot) -> None:
        if not self._follow(sender, m.epoch):
            return
        try:
            snapshot = decompress_snapshot(m.compressed)
        except StateError as err:
            self.event("unfit", why=str(err))
            return
        if self._install(snapshot):
            self._appended(sender, m.epoch, m.commit, snapshot.version)
        elif not self.dirty:
            self._deny(sender, "lineage")

    def _appended(self, sender: str, epoch: int, commit: int, held: int) -> None:
        if self.joining and self._caught_up(epoch, commit) and self._durable("joined"):
            self.joining = False
            self.event("joined", version=self.log.last[1])
        if not self.dirty:
            self.out(sender, EntriesAppended(epoch, held, self.joining))

    # A primary

    def _write(
        self, ops: list[Op], request: str = "", who: str = "", why: str = "", at: int = 0
    ) -> Change | None:
        """The next entry, on the own disk. None: the disk refused, and this is no primary any more."""
        change = self.latest_state.draft_change(self.epoch, ops, request, who, why, at)
        if not self._durable("append", [change]):
            return None
        self.latest_state.apply(change)
        self.log.extend([change])
        return change

    def propose(
        self, now: int, ops: list[Op], base: int, request: str = "", who: str = "", why: str = "", at: int = 0
    ) -> PendingProposal:
        """A change that someone asks for, who looked at version `base`; `at`: wall clock, ms. A repeated
        request is answered with what the first became. Raises `NotPrimary`, `StateError`, `Clash`."""
        self._must_lead(now)
        known = self._known(request)
        if known is not None:
            if self._differs(known, ops):
                raise StateError(
                    f"request {request} became version {known}, with other contents: give this "
                    "one a name of its own"
                )
            return self.tickets.get(known) or PendingProposal(known, self.log.epoch_at(known) or 0, "done")
        validate_change(self.latest_state, ops)
        if keys := find_conflicts(self.latest_state, base, ops):
            raise VersionConflictError(keys)
        return self._propose(ops, request, who, why, at)

    def propose_own(self, now: int, ops: list[Op], why: str = "", at: int = 0) -> PendingProposal:
        """A change that the primary makes by itself. Raises `NotPrimary`, `StateError`."""
        self._must_lead(now)
        validate_change(self.latest_state, ops)
        return self._propose(ops, "", self.name, why, at)

    def _must_lead(self, now: int) -> None:
        self.now = now
        if self.role != "standby" and not self._leased(now):
            self._step_down("lease")
        if self.role != "primary":
            raise NotLeaderError("" if self.leader == self.name else self.leader)
        if len(self.tickets) >= MAX_PENDING_PROPOSALS:
            raise StateError(f"{MAX_PENDING_PROPOSALS} changes wait for a majority of the control processes")

    def _propose(self, ops: list[Op], request: str, who: str, why: str, at: int) -> PendingProposal:
        epoch, version = self.epoch, self.latest_state.version + 1
        change = self._write(ops, request, who, why, at)
        if change is None:
            return PendingProposal(version, epoch, "unknown")
        ticket = self.tickets[version] = PendingProposal(version, epoch)
        self._spread()
        return ticket

    def _spread(self) -> None:
        """Send what is new, and see what is committed."""
        for peer in self.peers:
            self._pump(peer)
        self._reckon()

    def _pump(self, peer: str) -> None:
        """The next entries to a voter, unless some are on their way: one AppendEntries is out at a time."""
        progress = self.progress[peer]
        if progress.end >= 0 and self.now < progress.resend:
            return
        if self.log.epoch_at(progress.next) is None:
            progress.end, progress.resend = self.state.version, self.now + SNAPSHOT_RESEND_US
            self.out(peer, InstallSnapshot(self.epoch, self._packed(), self.commit))
        elif progress.next < self.log.last[1]:
            changes = self.log.after(progress.next)
            progress.end, progress.resend = changes[-1].version, self.now + RESEND_US
            self._append(peer, progress.next, changes)

    def _packed(self) -> bytes:
        """The committed state as it goes into a frame, made once a version."""
        if self.packed[0] != self.state.position:
            self.packed = (self.state.position, compress_snapshot(self.state.snapshot()))
        return self.packed[1]

    def _append(self, peer: str, prev: int, changes: list[Change]) -> None:
        progress = self.progress[peer]
        progress.notified_commit = max(progress.notified_commit, min(self.commit, prev + len(changes)))
        self.out(peer, AppendEntries(self.epoch, self.log.epoch_at(prev), prev, changes, self.commit))

    def _beat_all(self) -> None:
        """A sign of life, which also finds out where a voter is."""
        self.beat = self.now
        for peer, progress in self.progress.items():
            if self.log.epoch_at(progress.next) is not None:
                self._append(peer, progress.next, [])

    def _tell(self, peer: str) -> None:
        """What is committed, at once, to a voter that holds it."""
        progress = self.progress[peer]
        if (
            progress.notified_commit < min(self.commit, progress.match)
            and self.log.epoch_at(progress.match) is not None
        ):
            self._append(peer, progress.match, [])

    def _on_appended(self, sender: str, m: EntriesAppended) -> None:
        if m.epoch != self.epoch or self.phase != "open" or m.version > self.log.last[1]:
            return
        progress = self.progress[sender]
        progress.joining = m.joining
        progress.match = m.version if m.joining else max(m.version, progress.match)
        progress.next = max(m.version, progress.next)
        if m.version >= progress.end:
            progress.end = -1
        self._pump(sender)
        self._reckon()
        if self.phase == "open":
            self._tell(sender)

    def _on_mismatch(self, sender: str, m: Mismatch) -> None:
        if m.epoch == self.epoch and self.phase == "open":
            progress = self.progress[sender]
            if m.version < 0 and progress.next < 0:
                return  # guards against a snapshot for each repeat
            progress.next, progress.end = min(m.version, self.log.last[1]), -1
            self._pump(sender)

    def _on_denied(self, sender: str, m: Denied) -> None:
        if self.role == "standby":
            return
        if m.reason != "epoch":
            self.event("voter_refuses", voter=sender, why=m.reason)
        # The same epoch: another run has it at that voter. A primary has its majority, and goes on.
        elif m.epoch > self.epoch or m.epoch == self.epoch and self.phase == "prepare":
            self._step_down("denied")

    def _reckon(self) -> None:
        """What a majority has on disk is committed, if it is of the own epoch."""
        version = sorted(map(self._held, self.voters), reverse=True)[len(self.voters) // 2]
        if version <= self.commit or not self._own(version):
            return
        if not self._leased(self.now):
            self._step_down("lease")
            return
        if not self._advance(version):
            return
        for done in [v for v in self.tickets if v <= version]:
            self.tickets.pop(done).state = "done"
        if self.role == "recovering" and version >= self.opened:
            self.role = "primary"
            self.event("primary", epoch=self.epoch, version=version)
        for peer in self.progress:
            self._tell(peer)

    _handlers: ClassVar = {
        Prepare: _on_prepare,
        Promise: _on_promised,
        FetchEntries: _on_fetch,
        EntriesFetched: _on_fetched,
        AppendEntries: _on_append,
        InstallSnapshot: _on_install,
        EntriesAppended: _on_appended,
        Mismatch: _on_mismatch,
        Denied: _on_denied,
    }

    # Time

    def tick(self, now: int) -> int:
        """Do what is due; when to be called again at the latest, µs."""
        self.now = now
        if self._muted(now):
            return self.mute_until
        self._clean()
        if self.role != "standby" and (not self._leased(now) or self._has_lost_quorum(now)):
            self._step_down("alone" if self._leased(now) else "lease")
        if self.role == "standby":
            return now + HEARTBEAT_INTERVAL_US
        if self.phase == "open":
            self._tick_open()
            return self.beat + HEARTBEAT_INTERVAL_US
        if now >= self.asked + HEARTBEAT_INTERVAL_US:
            self._ask_again()
        return self.asked + HEARTBEAT_INTERVAL_US

    def _tick_open(self) -> None:
        if self.now >= self.beat + HEARTBEAT_INTERVAL_US:
            self._beat_all()
        for peer in self.peers:
            self._pump(peer)

    def _ask_again(self) -> None:
        if self.phase == "fetch" and self.tries < MAX_FETCH_ATTEMPTS:
            self._fetch(self.fetching)
            return
        if self.phase == "fetch":
            self.event("fetch_failed", voter=self.source)
            self.promises.pop(self.source, None)
        self.promises[self.name] = self._own_promise()
        self._prepare()

    def status(self, now: int) -> ReplicaStatus:
        """As of now (µs)."""
        silent = (
            0
            if self.role == "primary"
            else -1
            if self.leader_heard_at == NEVER
            else (now - self.leader_heard_at) // 1_000
        )
        return ReplicaStatus(
            self.role,
            self.epoch,
            self.log.last[1],
            max(self.commit, 0),
            {v: p.match for v, p in self.progress.items()},
            silent,
            self.leader,
            self.cluster_id,
            self.joining,
        )
