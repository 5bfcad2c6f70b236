"""File under $TMPDIR with the engines in maintenance, shared by both processes of an upgrade."""

import fcntl
import os
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import IO

from gevent import sleep

from cypressledge.broker.core import BrokerCore
from cypressledge.broker.maintenance import Maintenance, MaintenanceError
from cypressledge.broker.metrics import log
from cypressledge.clock import monotonic_us
from cypressledge.net.http_exchange import HttpRequest
from cypressledge.net.management import Answer

LOCK_ATTEMPTS = 100
LOCK_PAUSE = 0.005  # seconds between two attempts to lock the file


class MaintenanceFile:
    """Synchronises the core's maintenance state with the file, so that maintenance outlives the process.

    Each change replaces the complete file by a rename. It is read at startup and whenever it has changed."""

    def __init__(self, core: BrokerCore, name: str, directory: str | None = None) -> None:
        """`name` is the broker's name, which becomes a part of the file name."""
        self.core = core
        safe_name = "".join(ch if ch.isalnum() or ch in "-_." else "_" for ch in name)
        folder = Path(directory or tempfile.gettempdir())
        self.path = folder / f"cypressledge-{safe_name}-maintenance.json"
        self.last_stamp: tuple[int, int] | None = None  # modification time and inode, as last read or written
        self.refresh()

    def refresh(self) -> None:
        """Apply the file's contents if another process has changed it."""
        try:
            stamp = self._stamp()
            if stamp == self.last_stamp:
                return
            raw = self.path.read_bytes()
        except OSError:
            return
        self.last_stamp = stamp
        stored = Maintenance.from_json(raw, monotonic_us())
        if stored != self.core.engines.maintenance:
            log(f"maintenance: engines out {sorted(stored.out_of_service)}")
            self.core.engines.set_maintenance(stored)

    def handle_call(self, request: HttpRequest, enter: bool) -> Answer:
        """Handle `POST /maintenance/enter` or `/maintenance/exit`; the body is an engine's id."""
        with self._exclusive():
            return self._change(request, enter)

    @contextmanager
    def _exclusive(self) -> Iterator[None]:
        """Hold the file's lock, so that neither process of an upgrade overwrites the other's change."""
        file = self._lock()
        try:
            yield
        finally:
            if file is not None:
                file.close()

    def _lock(self) -> IO[str] | None:
        """Return the locked lock file; None if it cannot be opened or locked in time.

        A suspended process that holds the lock must not block this one."""
        try:
            file = open(self.path.with_suffix(".lock"), "w")
        except OSError:
            return None
        for _ in range(LOCK_ATTEMPTS):
            try:
                fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
                return file
            except OSError:
                sleep(LOCK_PAUSE)
        file.close()
        return None

    def _stamp(self) -> tuple[int, int]:
        status = self.path.stat()
        return status.st_mtime_ns, status.st_ino

    def _change(self, request: HttpRequest, enter: bool) -> Answer:
        self.refresh()
        try:
            engine = request.body.decode("utf-8").strip()
        except UnicodeDecodeError:
            return 400, b"no engine id\n"
        state, is_listed = self.core.engines.maintenance, self.core.engines.is_listed(engine)
        try:
            if enter:
                changed = state.take_out(engine, is_listed)
            else:
                changed = state.put_back(engine, is_listed, monotonic_us())
        except MaintenanceError as err:
            return err.status, str(err).encode() + b"\n"
        if changed:
            self._save(state)
            self.core.engines.set_maintenance(state)
            log(f"maintenance: {engine} {'out' if enter else 'back'}")
        return 200, f"{engine} {'out' if engine in state.out_of_service else 'in'}\n".encode()

    def _save(self, state: Maintenance) -> None:
        temporary = self.path.with_suffix(f".{os.getpid()}")
        try:
            temporary.write_bytes(state.to_json())
            os.replace(temporary, self.path)
            self.last_stamp = self._stamp()
        except OSError as err:
            self.core.counters.add("maintenance.save_failures")
            log(f"maintenance: not saved: {err}")
