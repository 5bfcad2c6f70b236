"""A sqlite file that one process has for itself, and its durable transactions.

WAL with synchronous=FULL: a transaction is on the disk when it is left, completely or not at all.
"""

import contextlib
import sqlite3
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

from cypressledge.controlplane.log_storage import StorageError

MAX_WAL_BYTES = 4 << 20  # that the write-ahead log keeps once it has been copied back


class SqliteFile:
    """An open file. `before_step(step)` is called before each transaction. Raises `sqlite3.Error`."""

    def __init__(self, path: Path, before_step: Callable[[str], None]) -> None:
        self.db = sqlite3.connect(path, isolation_level=None, timeout=0, check_same_thread=False)
        self._before_step = before_step

    def configure(self, is_new: bool) -> None:
        """Set sqlite up. Raises `sqlite3.Error` where another process has the file open."""
        execute = self.db.execute
        execute("PRAGMA locking_mode=EXCLUSIVE")  # guards against two processes on one file
        if is_new:
            execute("PRAGMA auto_vacuum=INCREMENTAL")
        execute("PRAGMA journal_mode=WAL")
        execute("PRAGMA synchronous=FULL")
        execute(f"PRAGMA journal_size_limit={MAX_WAL_BYTES}")

    def has_tables(self) -> bool:
        """Whether any table has been made."""
        return bool(self.db.execute("SELECT COUNT(*) FROM sqlite_master").fetchone()[0])

    def check(self) -> None:
        """Have sqlite look for damage. Raises `StorageError` with the first that it finds."""
        found = [row[0] for row in self.db.execute("PRAGMA quick_check(1)")]
        if found != ["ok"]:
            raise StorageError(found[0].splitlines()[-1])

    @contextmanager
    def transaction(self, step: str) -> Iterator[None]:
        """Durable when it is left, or nothing of it is done. Raises `StorageError`."""
        self._before_step(step)
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
        with contextlib.suppress(sqlite3.Error):  # sqlite has rolled back itself
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")

    def release_free_pages(self) -> None:
        """Guards against a file that only grows. A failure is ignored: the next call tries again."""
        with contextlib.suppress(sqlite3.Error):
            self.db.executescript("PRAGMA incremental_vacuum")  # execute would release one page
            self.db.execute("PRAGMA wal_checkpoint(TRUNCATE)").fetchall()

    def close(self) -> None:
        """No call follows."""
        with contextlib.suppress(sqlite3.Error):
            self.db.close()
