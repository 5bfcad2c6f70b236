"""A voter's durable log (`log_storage.py`) in one sqlite file, where each change has its own digest.

WAL mode with synchronous=FULL: a step is on the disk when its call returns, either completely or not at all.
A truncated, corrupted or mixed file is detected at the start and rejected: the file holds one snapshot and
the changes after it without a gap, all with digests (BLAKE2b-128, which detects faults but does not withstand
forgery), up to a last version that the header row names. Two kinds of damage cannot be distinguished from the
effects of a power failure and are read as an earlier state: a write-ahead log without its end, and damage to
its last step. In these cases, as after restoring an old copy, the process has to be started with --rejoin.
"""

import sqlite3
from collections.abc import Callable, Iterator
from enum import StrEnum
from hashlib import blake2b
from pathlib import Path

import msgspec

from cypressledge.controlplane.log_storage import PromisedEpoch, StorageError, StoredLog
from cypressledge.controlplane.messages import Change, Snapshot
from cypressledge.controlplane.sqlite_file import SqliteFile
from cypressledge.controlplane.sqlite_wal import count_transactions_after_damage

FORMAT = 1  # version of the file format
COMPACTION_CHANGES = 8_192  # a compaction is due above this number of changes after the snapshot
COMPACTION_BYTES = 16 << 20  # bytes; a compaction is due above this size of the changes, too
DIGEST_BYTES = 16  # bytes; size of a row's digest
ALL_VERSIONS = 1 << 62  # higher than any version

# Names of the rows in the table `rows`:
HEADER_ROW = "mark"
SNAPSHOT_ROW = "base"

_encode = msgspec.msgpack.Encoder().encode
_decode_change = msgspec.msgpack.Decoder(Change).decode
_decode_snapshot = msgspec.msgpack.Decoder(Snapshot).decode


class StorageUnusableError(Exception):
    """The file cannot be used; the message is one line that tells the operator what to do."""


class OpenMode(StrEnum):
    """The files that the start options allow."""

    EXISTING = ""  # a file that holds a history or is joining one
    FIRST = "first"  # the same, or a new file without a history
    REJOIN = "rejoin"  # a new file or a restored old copy, which then joins


class StorageHeader(msgspec.Struct, frozen=True, array_like=True):
    """The header row, which describes what the other rows must contain."""

    format: int
    name: str
    epoch: int = 0
    instance_id: int = 0
    joining: bool = False
    commit: int = 0
    last: int = -1  # the newest version; -1: no history


_decode_header = msgspec.msgpack.Decoder(StorageHeader).decode


def _digest(body: bytes) -> bytes:
    return blake2b(body, digest_size=DIGEST_BYTES).digest()


def _ignore_step(step: str) -> None:
    pass


class SqliteStorage:
    """A `LogStorage` in a sqlite file; the constructor raises `StorageUnusableError`.

    Its calls raise `StorageError` and succeed again once the disk works again. `before_step(step)` is called
    before each durable step, for tests.
    """

    def __init__(
        self,
        path: str | Path,
        name: str,
        mode: OpenMode | str = OpenMode.EXISTING,
        before_step: Callable[[str], None] = _ignore_step,
    ) -> None:
        self.path = Path(path)
        self.change_count = self.change_bytes = 0  # number and bytes of the changes after the snapshot
        self._name = name
        self._header = StorageHeader(FORMAT, name)
        mode = OpenMode(mode)
        is_new = not self.path.exists() or not self.path.stat().st_size
        self._check_files(is_new, mode)
        try:
            self._file = SqliteFile(self.path, before_step)
        except sqlite3.Error as err:
            raise StorageUnusableError(self._describe_failure(err)) from None
        self.db = self._file.db
        try:
            self._prepare(is_new, mode)
            self._load()
        except (sqlite3.Error, StorageError) as err:
            self.close()
            raise StorageUnusableError(self._describe_failure(err)) from None
        except StorageUnusableError:
            self.close()
            raise
        self._check_mode(mode)

    # Opening the file

    def _check_files(self, is_new: bool, mode: OpenMode) -> None:
        """Check the files before sqlite opens them. Raises `StorageUnusableError`."""
        path = self.path
        if is_new and mode is OpenMode.EXISTING:
            raise StorageUnusableError(
                f"{path}: there is no store. Start with --rejoin if this disk was lost, with "
                "--first if there has never been a history."
            )
        if is_new and any(Path(f"{path}{suffix}").exists() for suffix in ("-wal", "-journal")):
            # The log belongs to the lost file: sqlite would apply it to the new file or delete it.
            raise StorageUnusableError(
                f"{path}: the file is missing, only a log of it is left. Move the log away and start with "
                "--rejoin."
            )
        wal = Path(f"{path}-wal")
        if wal.exists() and count_transactions_after_damage(wal.read_bytes()) > 1:
            raise StorageUnusableError(self._describe_failure("its write-ahead log is corrupted"))

    def _describe_failure(self, err: Exception | str) -> str:
        """Return why the file cannot be read and what the operator has to do."""
        if "locked" in str(err):
            return f"{self.path}: another process has it open. Stop that process first."
        return (
            f"{self.path}: damaged ({err}). Move it and its -wal file away and start with --rejoin, "
            "while a majority of the control processes runs."
        )

    def _prepare(self, is_new: bool, mode: OpenMode) -> None:
        """Configure sqlite, create the tables if there are none, and check the file's integrity."""
        self._file.configure(is_new)
        # A file whose process was stopped before it created the tables is new, too.
        if mode is not OpenMode.EXISTING and not self._file.has_tables():
            self._create_tables()
        self._file.check()

    def _create_tables(self) -> None:
        with self._file.transaction("create"):
            self.db.execute(
                "CREATE TABLE rows (name TEXT PRIMARY KEY, body BLOB NOT NULL, digest BLOB NOT NULL)"
            )
            self.db.execute(
                "CREATE TABLE changes (version INTEGER PRIMARY KEY, body BLOB NOT NULL, digest BLOB NOT NULL)"
            )
            self._put(HEADER_ROW, _encode(self._header))

    def _check_mode(self, mode: OpenMode) -> None:
        """Check whether the mode allows a file without a history; raise `StorageUnusableError` otherwise."""
        if mode is OpenMode.REJOIN:
            if not self._header.joining:
                self._replace_header("rejoin", joining=True)
        elif self._header.last < 0 and not self._header.joining and mode is not OpenMode.FIRST:
            self.close()
            raise StorageUnusableError(
                f"{self.path}: it holds no history. Start with --rejoin if there is one "
                "elsewhere, with --first if there has never been one."
            )

    def close(self) -> None:
        """Close the file; the storage cannot be used afterwards."""
        self._file.close()

    # Rows

    def _put(self, name: str, body: bytes) -> None:
        self.db.execute("INSERT OR REPLACE INTO rows VALUES (?, ?, ?)", (name, body, _digest(body)))

    def _get(self, name: str) -> bytes | None:
        row = self.db.execute("SELECT body, digest FROM rows WHERE name = ?", (name,)).fetchone()
        if row is None:
            return None
        if _digest(row[0]) != row[1]:
            raise StorageError(f"the digest of row {name!r} does not match its body")
        return row[0]

    def _replace_header(self, step: str, **fields: object) -> None:
        header = msgspec.structs.replace(self._header, **fields)
        with self._file.transaction(step):
            self._put(HEADER_ROW, _encode(header))
        self._header = header

    # Loading

    def load(self) -> StoredLog:
        """See `LogStorage.load`; everything is read from the file and checked."""
        try:
            return self._load()
        except (sqlite3.Error, StorageUnusableError) as err:
            raise StorageError(str(err)) from None

    def _load(self) -> StoredLog:
        try:
            body = self._get(HEADER_ROW)
            if body is None:
                raise StorageError(f"row {HEADER_ROW!r} is missing")
            self._header = header = _decode_header(body)
            self._check_format_and_name()
            base = self._get(SNAPSHOT_ROW)
            snapshot = None if base is None else _decode_snapshot(base)
            changes = list(self._load_changes(-1 if snapshot is None else snapshot.version))
        except (msgspec.MsgspecError, RecursionError, TypeError, ValueError) as err:
            raise StorageError(f"a row cannot be decoded: {err}") from None
        self._check_complete(snapshot, changes)
        promised = PromisedEpoch(header.epoch, header.instance_id)
        return StoredLog(snapshot, changes, header.commit, promised, header.joining)

    def _check_format_and_name(self) -> None:
        header = self._header
        if header.format != FORMAT:
            raise StorageUnusableError(
                f"{self.path}: it has file format {header.format}, this program supports {FORMAT}. Start "
                "the version of the program that wrote it."
            )
        if header.name != self._name:
            raise StorageUnusableError(
                f"{self.path}: it is the store of {header.name}, not of {self._name}. Give each process "
                "a store of its own."
            )

    def _load_changes(self, after_version: int) -> Iterator[Change]:
        """Yield the stored changes, which must follow a version without a gap."""
        self.change_count = self.change_bytes = 0
        expected = after_version
        for version, body, digest in self.db.execute("SELECT * FROM changes ORDER BY version"):
            expected += 1
            if _digest(body) != digest:
                raise StorageError(f"the digest of change {version} does not match its body")
            change = _decode_change(body)
            if not version == change.version == expected:
                raise StorageError(f"change {expected} is missing")
            self.change_count += 1
            self.change_bytes += len(body)
            yield change

    def _check_complete(self, snapshot: Snapshot | None, changes: list[Change]) -> None:
        base = -1 if snapshot is None else snapshot.version
        last = base + len(changes)
        if snapshot is None and changes:
            raise StorageError(f"row {SNAPSHOT_ROW!r} is missing, but there are changes")
        if self._header.last != last:
            raise StorageError(
                f"the newest version is {last}, row {HEADER_ROW!r} names version {self._header.last}"
            )
        if not max(base, 0) <= self._header.commit <= max(last, 0):
            raise StorageError(
                f"committed version {self._header.commit} is not within the stored versions {base} to {last}"
            )

    # Durable steps

    @property
    def needs_compaction(self) -> bool:
        """See `LogStorage.needs_compaction`."""
        return self.change_count > COMPACTION_CHANGES or self.change_bytes > COMPACTION_BYTES

    def promise(self, epoch: int, instance_id: int) -> None:
        """See `LogStorage.promise`."""
        self._replace_header("promise", epoch=epoch, instance_id=instance_id)

    def commit(self, version: int) -> None:
        """See `LogStorage.commit`."""
        self._replace_header("commit", commit=version)

    def joined(self) -> None:
        """See `LogStorage.joined`."""
        self._replace_header("joined", joining=False)

    def append(self, changes: list[Change]) -> None:
        """See `LogStorage.append`."""
        bodies = [_encode(change) for change in changes]
        rows = [(change.version, body, _digest(body)) for change, body in zip(changes, bodies, strict=True)]
        last = self._header.last + len(rows)
        if [version for version, _, _ in rows] != list(range(self._header.last + 1, last + 1)):
            raise StorageError(f"append: the changes do not follow version {self._header.last}")
        header = msgspec.structs.replace(self._header, last=last)
        with self._file.transaction("append"):
            self.db.executemany("INSERT INTO changes VALUES (?, ?, ?)", rows)
            self._put(HEADER_ROW, _encode(header))
        self._header = header
        self.change_count += len(rows)
        self.change_bytes += sum(map(len, bodies))

    def truncate(self, after_version: int) -> None:
        """See `LogStorage.truncate`."""
        header = msgspec.structs.replace(self._header, last=min(after_version, self._header.last))
        with self._file.transaction("truncate"):
            self.db.execute("DELETE FROM changes WHERE version > ?", (after_version,))
            self._put(HEADER_ROW, _encode(header))
        self._header = header
        self._count_changes()

    def install(self, snapshot: Snapshot) -> None:
        """See `LogStorage.install`."""
        header = msgspec.structs.replace(self._header, commit=snapshot.version, last=snapshot.version)
        self._replace_base("install", snapshot, header, ALL_VERSIONS)

    def compact(self, snapshot: Snapshot) -> None:
        """See `LogStorage.compact`."""
        self._replace_base("compact", snapshot, self._header, snapshot.version)

    def _replace_base(self, step: str, snapshot: Snapshot, header: StorageHeader, to_version: int) -> None:
        """Replace the changes up to a version by a snapshot."""
        with self._file.transaction(step):
            self.db.execute("DELETE FROM changes WHERE version <= ?", (to_version,))
            self._put(SNAPSHOT_ROW, _encode(snapshot))
            self._put(HEADER_ROW, _encode(header))
        self._header = header
        self._count_changes()
        self._file.release_free_pages()

    def _count_changes(self) -> None:
        try:
            row = self.db.execute("SELECT COUNT(*), COALESCE(SUM(LENGTH(body)), 0) FROM changes").fetchone()
        except sqlite3.Error as err:
            raise StorageError(f"cannot count the stored changes: {err}") from None
        self.change_count, self.change_bytes = row
