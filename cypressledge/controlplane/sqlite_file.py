"""A sqlite file that one process uses exclusively, and its durable transactions.

WAL mode with synchronous=FULL: when a transaction ends, it is on the disk either completely or not at all.
"""

import contextlib
import sqlite3
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

from cypressledge.controlplane.log_storage import StorageError

MAX_WAL_BYTES = 4 << 20  # bytes; size to which the write-ahead log is cut after a checkpoint


class SqliteFile:
    """An open sqlite file; the constructor raises `sqlite3.Error`.

    `before_step(step)` is called before each transaction.
    """

    def __init__(self, path: Path, before_step: Callable[[str], None]) -> None:
        self.db = sqlite3.connect(path, isolation_level=None, timeout=0, check_same_thread=False)
        self._before_step = before_step

    def configure(self, is_new: bool) -> None:
        """Set sqlite's options. Raises `sqlite3.Error` if another process has the file open."""
        execute = self.db.execute
        execute("PRAGMA locking_mode=EXCLUSIVE")  # two processes must not use one file
        if is_new:
            execute("PRAGMA auto_vacuum=INCREMENTAL")
        execute("PRAGMA journal_mode=WAL")
        execute("PRAGMA synchronous=FULL")
        execute(f"PRAGMA journal_size_limit={MAX_WAL_BYTES}")

    def has_tables(self) -> bool:
        """Return whether the file contains any table."""
        return bool(self.db.execute("SELECT COUNT(*) FROM sqlite_master").fetchone()[0])

    def check(self) -> None:
        """Run sqlite's integrity check. Raises `StorageError` with the first problem that it finds."""
        found = [row[0] for row in self.db.execute("PRAGMA quick_check(1)")]
        if found != ["ok"]:
            raise StorageError(found[0].splitlines()[-1])

    @contextmanager
    def transaction(self, step: str) -> Iterator[None]:
        """Run a block as a transaction that is durable when it ends, or not done at all.

        Raises `StorageError`.
        """
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
        with contextlib.suppress(sqlite3.Error):  # sqlite has already rolled back
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")

    def release_free_pages(self) -> None:
        """Return free pages to the file system, so that the file does not only grow.

        A failure is ignored, since the next call tries again.
        """
        with contextlib.suppress(sqlite3.Error):
            self.db.executescript("PRAGMA incremental_vacuum")  # `execute` would release only one page
            self.db.execute("PRAGMA wal_checkpoint(TRUNCATE)").fetchall()

    def close(self) -> None:
        """Close the file; it cannot be used afterwards."""
        with contextlib.suppress(sqlite3.Error):
            self.db.close()
