"""A fake engine with cores that its queries share, a cold start, and failure under overload while cold."""

import contextlib
import re
import time
from collections import deque
from dataclasses import dataclass
from functools import partial
from typing import cast

import gevent
from gevent import socket
from gevent.server import StreamServer

from cypressledge.lab.engines import ROW, directory_member
from cypressledge.lab.site import SETTINGS

RULES = cast(dict[str, float], SETTINGS["Rules"])
START_CAPACITY = RULES["StartCapacity"]
WARM_S = RULES["WarmWithin"] / 1e6
OVERLOAD_MULTIPLE = RULES["FallMultiple"]
OVERLOAD_WINDOW_S = RULES["Fall"] / 1e6
SLOW_CAPACITY = 0.1  # fraction of its capacity that a slow engine has
DEFAULT_WORK_S = 0.05  # s; work of a statement without a work comment
WORK_COMMENT = re.compile(rb"/\* (\d+) ms \*/")  # comment with the work of a statement, ms
TICK_S = 0.01  # s; interval in which running queries are advanced


@dataclass(frozen=True, slots=True)
class ReceivedQuery:
    """A received attempt: its time (monotonic clock, s), broker and name."""

    received_at: float
    broker: str
    name: str


@dataclass(slots=True)
class RunningQuery:
    """A query in execution: its remaining work (s of one core), and the connection that awaits the answer."""

    remaining_work: float
    connection: socket.socket


class CoreEngine:
    """A fake engine with cores that its queries share.

    It starts at a fraction of its capacity and warms up. While it warms up, it fails if it receives more work
    than `OVERLOAD_MULTIPLE` times its capacity over `OVERLOAD_WINDOW_S`. Each broker has a separate address
    for it, so that single paths can fail.
    """

    def __init__(self, name: str, zone: str, cores: int, brokers: list[str], warm_s: float = WARM_S) -> None:
        self.name = name
        self.zone = zone
        self.cores = cores
        self.warm_s = warm_s
        self.started_at = time.monotonic() - 10 * warm_s  # long enough ago to be warm
        self.overload_failed = False
        self.overload_failures = 0
        self.failure = ""  # silent, reset or slow; empty: none
        self.running: dict[tuple[str, str], RunningQuery] = {}  # by broker and attempt name
        self.recent_work: deque[tuple[float, float]] = deque()  # arrival time and work, s
        self.received: list[ReceivedQuery] = []
        self.connections: dict[socket.socket, str] = {}  # connection -> broker
        self.blocked: dict[str, str] = {}  # broker -> failure of the path from it
        self.servers = {
            broker: StreamServer(("127.0.0.1", 0), partial(self._serve, broker)) for broker in brokers
        }
        for server in self.servers.values():
            server.start()
        self.greenlet = gevent.spawn(self._run)

    def member(self, broker: str) -> dict:
        """Return the engine's directory entry for a broker, with that broker's address for the engine."""
        return directory_member(self.name, self.servers[broker].server_port, self.zone)

    def capacity(self) -> float:
        """Return the number of cores that are effective now."""
        age = time.monotonic() - self.started_at
        warm = min(1.0, START_CAPACITY + (1 - START_CAPACITY) * age / self.warm_s)
        return self.cores * warm * (SLOW_CAPACITY if self.failure == "slow" else 1.0)

    def fail(self, failure: str) -> None:
        """Start to fail; `failure`: silent (no answers), reset (connections are closed) or slow (tenfold)."""
        self.failure = failure
        if failure != "slow":
            self.running.clear()
        if failure == "reset":
            self._close_connections(set(self.servers))

    def block(self, brokers: set[str], failure: str) -> None:
        """Let only the paths from some brokers fail; `failure`: silent or reset."""
        self.blocked |= dict.fromkeys(brokers, failure)
        if failure == "reset":
            self._close_connections(brokers)

    def repair(self, cold: bool = True) -> None:
        """Unblock all paths; `cold`: also restart the engine, cold and without failure."""
        self.blocked.clear()
        if cold:
            self.failure = ""
            self.overload_failed = False
            self.started_at = time.monotonic()
            self.recent_work.clear()
            self.running.clear()

    def close(self) -> None:
        """Stop the engine and its listeners."""
        self.greenlet.kill()
        for server in self.servers.values():
            server.stop(timeout=0.1)

    def _close_connections(self, brokers: set[str]) -> None:
        for connection in [c for c, broker in self.connections.items() if broker in brokers]:
            connection.close()

    def _serve(self, broker: str, connection: socket.socket, _: object) -> None:
        """Serve one connection, in a greenlet, with the part of the line protocol that the run uses."""
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections[connection] = broker
        file = connection.makefile("rb")
        try:
            while line := file.readline():
                words = line.decode().split()
                if words[0] == "want":
                    self._receive(broker, connection, words[1], file.read(int(words[3]) + 2))
                elif words[0] in ("stop", "drop", "cancel"):
                    self.running.pop((broker, words[1]), None)
        except (OSError, ValueError, IndexError):
            pass  # the connection broke, or this engine closed it
        finally:
            self.connections.pop(connection, None)

    def _receive(self, broker: str, connection: socket.socket, name: str, statement: bytes) -> None:
        self.received.append(ReceivedQuery(time.monotonic(), broker, name))
        failure = self.blocked.get(broker) or self.failure
        if failure == "reset" or self.overload_failed:
            connection.close()
        elif failure != "silent":
            found = WORK_COMMENT.search(statement)
            work = int(found[1]) / 1000 if found else DEFAULT_WORK_S
            self.running[broker, name] = RunningQuery(work, connection)
            self.recent_work.append((time.monotonic(), work))

    def _run(self) -> None:
        """Advance the running queries with the clock, in a greenlet."""
        last = time.monotonic()
        while True:
            gevent.sleep(TICK_S)
            now = time.monotonic()
            self._work(now - last)
            self._check_overload(now)
            last = now

    def _work(self, span: float) -> None:
        if not self.running or self.failure in ("silent", "reset"):
            return
        work_each = min(1.0, self.capacity() / len(self.running)) * span
        done = []
        for key, query in self.running.items():
            query.remaining_work -= work_each
            if query.remaining_work <= 0:
                done.append(key)
        for key in done:
            self._answer(key[1], self.running.pop(key).connection)

    @staticmethod
    def _answer(name: str, connection: socket.socket) -> None:
        with contextlib.suppress(OSError):  # the broker has closed the connection
            connection.sendall(f"{name} 200 count=1 {len(ROW)}\r\n".encode() + ROW + b"\r\n")

    def _check_overload(self, now: float) -> None:
        while self.recent_work and now - self.recent_work[0][0] > OVERLOAD_WINDOW_S:
            self.recent_work.popleft()
        is_cold = OVERLOAD_WINDOW_S < now - self.started_at < self.warm_s
        overload_threshold = OVERLOAD_MULTIPLE * self.capacity() * OVERLOAD_WINDOW_S
        if is_cold and not self.failure and sum(work for _, work in self.recent_work) > overload_threshold:
            self.overload_failed = True
            self.overload_failures += 1
            self.running.clear()
