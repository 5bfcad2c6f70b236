"""The second address, for operators: HTTP/1.1, one call a connection, answered from the socket greenlets.

Guards against a busy broker keeping operators waiting: nothing here goes through the core's inbox, so a
long queue of work or a stalled engine never delays an answer; slow and silent callers are the
`HttpServer`'s, each on a greenlet of its own, with the limits it keeps for every HTTP front."""

import fcntl
import os
import tempfile
from collections.abc import Callable
from contextlib import contextmanager
from pathlib import Path

from gevent import sleep

from cypressledge.broker.core import BrokerCore
from cypressledge.broker.maintenance import Maintenance, MaintenanceError
from cypressledge.broker.metrics import Counters, log
from cypressledge.clock import monotonic_us
from cypressledge.decisions.contract import EngineState
from cypressledge.net.http import Exchange, HttpRequest, HttpServer

PREFIX = "svc"
FIGURES = ("success", "overload", "error", "dispatches")
BODY_MOST = 256  # bytes: an engine's id
LOCK_TRIES = 100  # of 5 ms
CALLERS_LEAST, CALLERS_MOST = 4, 64  # until the limits are known; and at the most


class Management:
    """Answers `GET /status`; further calls are added by name."""

    def __init__(self, listen: tuple[str, int], counters: Counters, taking: Callable[[], bool]) -> None:
        self.counters, self.taking = counters, taking
        self.calls: dict[str, tuple[str, Callable[[HttpRequest], tuple[int, bytes]]]] = {
            "/status": ("GET", self._status),
        }
        self.server = HttpServer(listen, counters, "management", BODY_MOST, self._handle)
        self.server.listener.most = CALLERS_LEAST

    def add(self, path: str, method: str, call: Callable[[HttpRequest], tuple[int, bytes]]) -> None:
        """One more call."""
        self.calls[path] = (method, call)

    def _handle(self, request: HttpRequest, exchange: Exchange) -> None:
        request.keep = False  # one call a connection
        status, body = self._route(request)
        self.counters.add(f"management.{status}")
        exchange.answer(status, {"Content-Type": "text/plain"}, body)

    def _route(self, request: HttpRequest) -> tuple[int, bytes]:
        known = self.calls.get(request.path)
        if known is None:
            return 404, b"no such call\n"
        method, call = known
        if request.method != method:
            return 405, f"only {method}\n".encode()
        return call(request)

    def _status(self, request: HttpRequest) -> tuple[int, bytes]:
        return (200, b"taking clients\n") if self.taking() else (503, b"not taking clients\n")


def figures(core: BrokerCore, classes: tuple[str, ...]) -> bytes:
    """`GET /status/metrics`: statsd lines, counts from the start of this process and gauges as they are."""
    counts = core.counters.counts
    lines = [
        f"{PREFIX}.replies.{cls}.{name}:{counts[f'replies.{cls}.{name}']}|c"
        for cls in classes
        for name in FIGURES
    ]
    dispatches = sum(counts[f"replies.{cls}.dispatches"] for cls in classes)
    targets, disabled = engines(core)
    lines += [
        f"{PREFIX}.dispatches:{dispatches}|c",
        f"{PREFIX}.concurrent:{len(core.ledger.requests)}|g",
        f"{PREFIX}.targets:{targets}|g",
        f"{PREFIX}.targets_disabled:{disabled}|g",
        f"{PREFIX}.reload_success:{counts['reloads']}|c",
        f"{PREFIX}.reload_failure:{counts['reload_failures']}|c",
    ]
    return "\n".join(lines).encode() + b"\n"


def engines(core: BrokerCore) -> tuple[int, int]:
    """Engines that the lists name, and those of them the broker avoids: out by hand, draining, held off."""
    held = core.loop.manager.engines
    listed = [
        (core.engines.maintenance.effective_entry(p.name, e), p)
        for lst in core.engines.engine_lists.values()
        for e, p in lst
        if e.state is not EngineState.REMOVED
    ]
    avoided = sum(
        e.state is not EngineState.READY or (e.engine in held and held[e.engine].held_off) for e, _ in listed
    )
    return len(listed), avoided


class Kept:
    """The engines out by hand, in a file under $TMPDIR that both processes of an upgrade read and write.

    Guards against a ban that ends with the process: the file is written whole, by rename, on each change,
    and read at the start and whenever it has changed since."""

    def __init__(self, core: BrokerCore, name: str, directory: str | None = None) -> None:
        self.core = core
        safe = "".join(ch if ch.isalnum() or ch in "-_." else "_" for ch in name)
        self.path = Path(directory or tempfile.gettempdir()) / f"cypressledge-{safe}-maintenance.json"
        self.seen: tuple[int, int] | None = None  # when the file was written, and which file it is
        self.look()

    def look(self) -> None:
        """Take what the file holds, if another process has changed it."""
        try:
            stamp = self._stamp()
            if stamp == self.seen:
                return
            raw = self.path.read_bytes()
        except OSError:
            return
        self.seen = stamp
        kept = Maintenance.from_json(raw, monotonic_us())
        if (kept.out_of_service, kept.returned_at) != (
            self.core.engines.maintenance.out_of_service,
            self.core.engines.maintenance.returned_at,
        ):
            log(f"maintenance: out by hand {sorted(kept.out_of_service)}")
            self.core.engines.set_maintenance(kept)

    def call(self, request: HttpRequest, enter: bool) -> tuple[int, bytes]:
        """`POST /maintenance/enter` or `exit` with an engine's id as the body."""
        with self._alone():
            return self._call(request, enter)

    @contextmanager
    def _alone(self):
        """Guards against two processes of an upgrade, each reading the file before the other has written."""
        file = self._lock()
        try:
            yield
        finally:
            if file is not None:
                file.close()

    def _lock(self):
        """The lock's file; None where there is no place to write, or the other process holds it for too long:
        one that stands still must not make this one stand still, too."""
        try:
            file = open(self.path.with_suffix(".lock"), "w")
        except OSError:
            return None
        for _ in range(LOCK_TRIES):
            try:
                fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
                return file
            except OSError:
                sleep(0.005)
        file.close()
        return None

    def _stamp(self) -> tuple[int, int]:
        told = self.path.stat()
        return told.st_mtime_ns, told.st_ino

    def _call(self, request: HttpRequest, enter: bool) -> tuple[int, bytes]:
        self.look()
        try:
            name = request.body.decode("utf-8").strip()
        except UnicodeDecodeError:
            return 400, b"no engine id\n"
        held, known = self.core.engines.maintenance, self.core.engines.is_listed(name)
        try:
            changed = held.take_out(name, known) if enter else held.put_back(name, known, monotonic_us())
        except MaintenanceError as err:
            status, text = err.args
            return status, text.encode() + b"\n"
        if changed:
            self._save(held)
            self.core.engines.set_maintenance(held)
            log(f"maintenance: {name} {'out' if enter else 'back'}")
        return 200, f"{name} {'out' if name in held.out_of_service else 'in'}\n".encode()

    def _save(self, held: Maintenance) -> None:
        part = self.path.with_suffix(f".{os.getpid()}")
        try:
            part.write_bytes(held.to_json())
            os.replace(part, self.path)
            self.seen = self._stamp()
        except OSError as err:
            self.core.counters.add("maintenance.unsaved")
            log(f"maintenance: not kept on disk: {err}")
