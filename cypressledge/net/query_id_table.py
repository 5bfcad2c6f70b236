"""Tables of query ids in files below $TMPDIR, by which both processes of an upgrade know each other's ids.

Each process writes to a table of its own, and reads those of the others: no lock is needed. A table is a hash
table of fixed size, mapped into memory; an entry consists of a hash and of the time until which it is valid.
"""

import mmap
import os
import re
import struct
import tempfile
from pathlib import Path

from cypressledge.broker.metrics import log
from cypressledge.broker.stable_hash import stable_hash
from cypressledge.clock import monotonic_us

ENTRY = struct.Struct("<QQ")  # hash of an id, 0 if the entry is free; µs of the monotonic clock
BUCKET_ENTRIES = 4
BUCKETS = 2048
TABLE_SIZE = BUCKETS * BUCKET_ENTRIES * ENTRY.size  # bytes
HASH_SIZE = 8  # bytes


def _hash(query_id: str) -> int:
    return stable_hash(query_id, HASH_SIZE) or 1


def _offsets(hashed: int) -> range:
    """Return the offsets of the entries at which an id of this hash may stand."""
    begin = hashed % BUCKETS * BUCKET_ENTRIES * ENTRY.size
    return range(begin, begin + BUCKET_ENTRIES * ENTRY.size, ENTRY.size)


def _holds(table: mmap.mmap, hashed: int, now: int) -> bool:
    entries = (ENTRY.unpack_from(table, offset) for offset in _offsets(hashed))
    return any(found == hashed and until > now for found, until in entries)


class QueryIdTable:
    """`SharedQueryIds` of the processes that accept from the listening socket with one port."""

    def __init__(self, port: int, directory: str | None = None) -> None:
        """Raises `OSError` if the table cannot be created."""
        self._folder = Path(directory or tempfile.gettempdir())
        self._prefix = f"cypressledge-{port}-ids."
        self._table = self._create(self._folder / f"{self._prefix}{os.getpid()}")
        self._others: list[mmap.mmap] = []
        self._scanned_at_change = 0  # modification time of the folder at the last scan, ns

    @staticmethod
    def _create(path: Path) -> mmap.mmap:
        path.unlink(missing_ok=True)  # of a process that had the same id
        with open(path, "xb+") as file:
            os.posix_fallocate(file.fileno(), 0, TABLE_SIZE)  # a page without space would end the process
            return mmap.mmap(file.fileno(), TABLE_SIZE)

    def add(self, query_id: str, until: int) -> None:
        """See `SharedQueryIds`. In a full bucket, the entry that expires first is replaced."""
        hashed, now = _hash(query_id), monotonic_us()

        def rank(offset: int) -> tuple[bool, int]:
            found, expires_at = ENTRY.unpack_from(self._table, offset)
            return found != hashed, 0 if found == 0 or expires_at <= now else expires_at

        ENTRY.pack_into(self._table, min(_offsets(hashed), key=rank), hashed, until)

    def remove(self, query_id: str) -> None:
        """See `SharedQueryIds`."""
        hashed = _hash(query_id)
        for offset in _offsets(hashed):
            if ENTRY.unpack_from(self._table, offset)[0] == hashed:
                ENTRY.pack_into(self._table, offset, 0, 0)

    def is_used_elsewhere(self, query_id: str, now: int) -> bool:
        """See `SharedQueryIds`."""
        self._find_others(now)
        hashed = _hash(query_id)
        return any(_holds(table, hashed, now) for table in self._others)

    def _find_others(self, now: int) -> None:
        """Map the tables of the other processes, if files have been added to the folder or removed."""
        try:
            changed_at = self._folder.stat().st_mtime_ns
            if changed_at == self._scanned_at_change:
                return
            self._scanned_at_change = changed_at
            for table in self._others:
                table.close()
            found = [_open_other(path, now) for path in self._paths()]
            self._others = [other for other in found if other is not None]
        except OSError as err:
            log(f"query ids: the tables of other processes cannot be read: {err}")

    def _paths(self) -> list[Path]:
        own = f"{self._prefix}{os.getpid()}"
        pattern = re.compile(re.escape(self._prefix) + r"\d+")
        return [path for path in self._folder.iterdir() if pattern.fullmatch(path.name) and path.name != own]


def _open_other(path: Path, now: int) -> mmap.mmap | None:
    """Return the table of another process; one that has ended, and has no valid entry left, is deleted."""
    try:
        with open(path, "rb") as file:
            table = mmap.mmap(file.fileno(), TABLE_SIZE, prot=mmap.PROT_READ)
    except (OSError, ValueError):  # it is being created, or has just been deleted
        return None
    is_running = os.path.exists(f"/proc/{path.name.rpartition('.')[2]}")
    if is_running or any(until > now for _, until in ENTRY.iter_unpack(table)):
        return table
    table.close()
    path.unlink(missing_ok=True)
    return None
