"""What a control process keeps on its disk: one sqlite file, each change with a digest of its own.

WAL with synchronous=FULL: a step is on the disk when its call returns, whole or not at all. What was cut off,
garbled or mixed is found at the start and turned down: the file holds one snapshot and the changes behind
it without a gap, all of them with digests (BLAKE2b-128, against faults and not forgers), up to a last version
that another row names. Two things can't be told from what a power cut leaves, and are an earlier state: a
log without its end, and damage to the last step in it. Then, as when an old copy was put back: --rejoin.
"""

import contextlib
import sqlite3
import struct
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from hashlib import blake2b
from pathlib import Path
from typing import Literal

import msgspec

from cypressledge.controlplane.log_storage import StorageError, StoredLog
from cypressledge.controlplane.messages import Change, Snapshot

FORMAT = 1  # of the file
COMPACTION_CHANGES = 8_192  # changes behind the snapshot from which a compaction is due
COMPACTION_BYTES = 16 << 20  # or so many bytes of them
MAX_WAL_BYTES = 4 << 20  # bytes that the write-ahead log keeps once it has been copied back

_encode = msgspec.msgpack.Encoder().encode
_change = msgspec.msgpack.Decoder(Change).decode
_snapshot = msgspec.msgpack.Decoder(Snapshot).decode


class StorageUnusableError(Exception):
    """The file can't be used: one plain line that says what to do."""


class StorageHeader(msgspec.Struct, frozen=True, array_like=True):
    """The row that says what the others must be."""

    format: int
    name: str
    epoch: int = 0
    instance_id: int = 0
    joining: bool = False
    commit: int = 0
    last: int = -1  # the newest version; -1: no history


_mark = msgspec.msgpack.Decoder(StorageHeader).decode


def _digest(body: bytes) -> bytes:
    return blake2b(body, digest_size=16).digest()


def _checksum(words: tuple[int, ...], sums: tuple[int, int]) -> tuple[int, int]:
    """As in sqlite's file format, 4.2."""
    a, b = sums
    for i in range(0, len(words), 2):
        a = a + words[i] + b & 0xFFFFFFFF
        b = b + words[i + 1] + a & 0xFFFFFFFF
    return a, b


def steps_behind_damage(log: bytes) -> int:
    """Finished steps in a write-ahead log from the first damaged frame on. sqlite drops them without a word;
    but for one at the end, which a power cut may have torn, they had been durable."""
    if len(log) < 56:
        return 0
    magic, _, page = struct.unpack_from(">III", log)
    page = page if 512 <= page <= 1 << 16 else 4_096
    order = ">" if magic & 1 else "<"
    salt = log[40:48]  # of the first frame: the header itself may be damaged
    sums = _checksum(struct.unpack_from(order + "6I", log), (0, 0))
    whole, steps = sums == struct.unpack_from(">2I", log, 24) and salt == log[16:24], 0
    for at in range(32, len(log) - page - 23, 24 + page):
        if whole:
            sums = _checksum(struct.unpack_from(order + "2I", log, at), sums)
            sums = _checksum(struct.unpack_from(f"{order}{page // 4}I", log, at + 24), sums)
            # What ends it for sqlite; another salt is what an earlier round of the log left there.
            whole = sums == struct.unpack_from(">2I", log, at + 16) and log[at + 8 : at + 16] == salt
        if not whole and log[at + 8 : at + 16] == salt and log[at + 4 : at + 8] != bytes(4):
            steps += 1
    return steps


def _no_fault(step: str) -> None:
    pass


class SqliteStorage:
    """A `replica.Disk`. `create`: "" opens a file that holds a history (or joins one); "first" also makes an
    empty one; "rejoin" makes one, or takes one that was put back: it joins. `faults(step)`: called before
    each durable step, for tests. Raises `StoreError`; its calls raise `DiskError` and work again once the
    disk does."""

    def __init__(
        self,
        path: str | Path,
        name: str,
        create: Literal["", "first", "rejoin"] = "",
        faults: Callable[[str], None] = _no_fault,
    ) -> None:
        self.path, self.name, self.faults = Path(path), name, faults
        self.count = self.bytes = 0  # of the changes behind the snapshot
        new = not self.path.exists() or not self.path.stat().st_size
        if new and not create:
            raise StorageUnusableError(
                f"{path}: there is no store. Start with --rejoin if this disk was lost, with "
                "--first if there has never been a history."
            )
        if new and any(Path(f"{path}{end}").exists() for end in ("-wal", "-journal")):
            # Guards against a log that belonged to the file that is lost: sqlite would take or drop it.
            raise StorageUnusableError(
                f"{path}: only a log of it is left. Move that away and start with --rejoin."
            )
        log = Path(f"{path}-wal")
        if log.exists() and steps_behind_damage(log.read_bytes()) > 1:
            raise StorageUnusableError(self._damaged("its log is garbled"))
        try:
            self._open(new, bool(create))
            self._load()
        except (sqlite3.Error, StorageError) as err:
            self._shut()
            raise StorageUnusableError(self._damaged(err)) from None
        except StorageUnusableError:
            self._shut()
            raise
        self._admit(create)

    def _damaged(self, err: Exception | str) -> str:
        if "locked" in str(err):
            return f"{self.path}: another process has it open. Stop that one first."
        return (
            f"{self.path}: damaged ({err}). Move it and its -wal file away and start with --rejoin, "
            "while a majority of the control processes runs."
        )

    def _open(self, new: bool, create: bool) -> None:
        self.db = sqlite3.connect(self.path, isolation_level=None, timeout=0, check_same_thread=False)
        run = self.db.execute
        run("PRAGMA locking_mode=EXCLUSIVE")  # guards against two processes on one file
        if new:
            run("PRAGMA auto_vacuum=INCREMENTAL")
        run("PRAGMA journal_mode=WAL")
        run("PRAGMA synchronous=FULL")
        run(f"PRAGMA journal_size_limit={MAX_WAL_BYTES}")
        # One that was stopped before its tables were there is new too.
        if create and not run("SELECT COUNT(*) FROM sqlite_master").fetchone()[0]:
            with self._step("create"):
                run("CREATE TABLE rows (name TEXT PRIMARY KEY, body BLOB NOT NULL, digest BLOB NOT NULL)")
                run(
                    "CREATE TABLE changes (version INTEGER PRIMARY KEY, body BLOB NOT NULL, "
                    "digest BLOB NOT NULL)"
                )
                self._put("mark", _encode(StorageHeader(FORMAT, self.name)))
        found = [row[0] for row in run("PRAGMA quick_check(1)")]
        if found != ["ok"]:
            raise StorageError(found[0].splitlines()[-1])

    def _shut(self) -> None:
        with contextlib.suppress(sqlite3.Error, AttributeError):  # it never opened
            self.db.close()

    def _admit(self, create: str) -> None:
        """What the start's flags allow."""
        if create == "rejoin":
            if not self.mark.joining:
                self._change_mark("rejoin", joining=True)
        elif self.mark.last < 0 and not self.mark.joining and create != "first":
            self._shut()
            raise StorageUnusableError(
                f"{self.path}: it holds no history. Start with --rejoin if there is one "
                "elsewhere, with --first if there has never been one."
            )

    def close(self) -> None:
        """No call follows."""
        self._shut()

    # Rows

    @contextmanager
    def _step(self, step: str) -> Iterator[None]:
        """A transaction: durable when it is left, or nothing of it. Raises `DiskError`."""
        self.faults(step)
        try:
            self.db.execute("BEGIN IMMEDIATE")
            yield
            self.db.execute("COMMIT")
        except sqlite3.Error as err:
            self._roll_back()
            raise StorageError(f"{step}: {err}") from None
        except BaseException:
            self._roll_back()
            raise

    def _roll_back(self) -> None:
        try:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
        except sqlite3.Error:
            pass  # sqlite has done so itself

    def _put(self, name: str, body: bytes) -> None:
        self.db.execute("INSERT OR REPLACE INTO rows VALUES (?, ?, ?)", (name, body, _digest(body)))

    def _get(self, name: str) -> bytes | None:
        row = self.db.execute("SELECT body, digest FROM rows WHERE name = ?", (name,)).fetchone()
        if row is None:
            return None
        if _digest(row[0]) != row[1]:
            raise StorageError(f"the digest of its {name} differs")
        return row[0]

    def _change_mark(self, step: str, **fields: object) -> None:
        mark = msgspec.structs.replace(self.mark, **fields)
        with self._step(step):
            self._put("mark", _encode(mark))
        self.mark = mark

    # Loading

    def load(self) -> StoredLog:
        """All of it, read from the file and checked. Raises `DiskError`."""
        try:
            return self._load()
        except (sqlite3.Error, StorageUnusableError) as err:
            raise StorageError(str(err)) from None

    def _load(self) -> StoredLog:
        try:
            body = self._get("mark")
            if body is None:
                raise StorageError("a row is lost")
            self.mark = _mark(body)
            self._check_owner()
            base = self._get("base")
            snapshot = None if base is None else _snapshot(base)
            changes = list(self._changes(-1 if snapshot is None else snapshot.version))
        except (msgspec.MsgspecError, RecursionError, TypeError, ValueError) as err:
            raise StorageError(f"a row can't be read: {err}") from None
        self._check_whole(snapshot, changes)
        mark = self.mark
        return StoredLog(snapshot, changes, mark.commit, (mark.epoch, mark.instance_id), mark.joining)

    def _check_owner(self) -> None:
        if self.mark.format != FORMAT:
            raise StorageUnusableError(
                f"{self.path}: of format {self.mark.format}, this program's is {FORMAT}. Start "
                "the program that wrote it."
            )
        if self.mark.name != self.name:
            raise StorageUnusableError(
                f"{self.path}: it is the store of {self.mark.name}, not of {self.name}. Give " "each its own."
            )

    def _changes(self, after: int) -> Iterator[Change]:
        self.count = self.bytes = 0
        for version, body, digest in self.db.execute("SELECT * FROM changes ORDER BY version"):
            after += 1
            if _digest(body) != digest:
                raise StorageError(f"the digest of change {version} differs")
            change = _change(body)
            if not version == change.version == after:
                raise StorageError(f"change {after} is lost")
            self.count += 1
            self.bytes += len(body)
            yield change

    def _check_whole(self, snapshot: Snapshot | None, changes: list[Change]) -> None:
        base = -1 if snapshot is None else snapshot.version
        last = base + len(changes)
        if snapshot is None and changes:
            raise StorageError("its snapshot is lost")
        if self.mark.last != last:
            raise StorageError(f"its last change is {last}, not {self.mark.last}")
        if not max(base, 0) <= self.mark.commit <= max(last, 0):
            raise StorageError("its committed version is not among its changes")

    # Durable steps

    @property
    def needs_compaction(self) -> bool:
        """Whether a compaction is due."""
        return self.count > COMPACTION_CHANGES or self.bytes > COMPACTION_BYTES

    def promise(self, epoch: int, run: int) -> None:
        """See `Disk`."""
        self._change_mark("promise", epoch=epoch, instance_id=run)

    def commit(self, version: int) -> None:
        """See `Disk`."""
        self._change_mark("commit", commit=version)

    def joined(self) -> None:
        """See `Disk`."""
        self._change_mark("joined", joining=False)

    def append(self, changes: list[Change]) -> None:
        """See `Disk`."""
        bodies = [_encode(c) for c in changes]
        rows = [(c.version, b, _digest(b)) for c, b in zip(changes, bodies, strict=True)]
        if [row[0] for row in rows] != list(range(self.mark.last + 1, self.mark.last + 1 + len(rows))):
            raise StorageError(f"append: the changes don't follow {self.mark.last}")
        mark = msgspec.structs.replace(self.mark, last=self.mark.last + len(rows))
        with self._step("append"):
            self.db.executemany("INSERT INTO changes VALUES (?, ?, ?)", rows)
            self._put("mark", _encode(mark))
        self.mark = mark
        self.count += len(rows)
        self.bytes += sum(map(len, bodies))

    def truncate(self, after_version: int) -> None:
        """See `Disk`."""
        mark = msgspec.structs.replace(self.mark, last=min(after_version, self.mark.last))
        with self._step("truncate"):
            self.db.execute("DELETE FROM changes WHERE version > ?", (after_version,))
            self._put("mark", _encode(mark))
        self.mark = mark
        self._count()

    def install(self, snapshot: Snapshot) -> None:
        """See `Disk`."""
        mark = msgspec.structs.replace(self.mark, commit=snapshot.version, last=snapshot.version)
        self._rebase("install", snapshot, mark, 1 << 62)

    def compact(self, snapshot: Snapshot) -> None:
        """See `Disk`."""
        self._rebase("compact", snapshot, self.mark, snapshot.version)

    def _rebase(self, step: str, snapshot: Snapshot, mark: StorageHeader, to: int) -> None:
        with self._step(step):
            self.db.execute("DELETE FROM changes WHERE version <= ?", (to,))
            self._put("base", _encode(snapshot))
            self._put("mark", _encode(mark))
        self.mark = mark
        self._count()
        self._shrink()

    def _count(self) -> None:
        try:
            row = self.db.execute("SELECT COUNT(*), COALESCE(SUM(LENGTH(body)), 0) FROM changes").fetchone()
        except sqlite3.Error as err:
            raise StorageError(f"count: {err}") from None
        self.count, self.bytes = row

    def _shrink(self) -> None:
        """Give the pages back that are free now: guards against a file that only grows."""
        try:
            self.db.executescript("PRAGMA incremental_vacuum")  # execute would give back one page
            self.db.execute("PRAGMA wal_checkpoint(TRUNCATE)").fetchall()
        except sqlite3.Error:
            pass  # what was asked for is on the disk; the next compaction tries again
