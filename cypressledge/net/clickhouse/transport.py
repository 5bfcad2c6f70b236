"""Connections to engines that speak the ClickHouse HTTP interface: one exchange at a time on each."""

from collections import deque
from dataclasses import dataclass

from gevent import Timeout, select, socket, spawn

from cypressledge.broker.core import BrokerCore
from cypressledge.broker.requests import Attempt, Endpoint
from cypressledge.clock import monotonic_us
from cypressledge.config import Limits
from cypressledge.decisions.contract import Outcome
from cypressledge.net.clickhouse.engine_exchange import EngineExchange
from cypressledge.net.socket_io import close_socket, connect


@dataclass(frozen=True, slots=True)
class IdleConnection:
    """A connection that waits for its next exchange."""

    sock: socket.socket
    since: int  # µs, monotonic


class ClickHouseTransport:
    """Runs attempts, each in a greenlet, and keeps idle connections for the next ones."""

    def __init__(self, core: BrokerCore, limits: Limits) -> None:
        self.core, self.limits = core, limits
        self.login_headers = ""
        self.idle: dict[Endpoint, deque[IdleConnection]] = {}  # longest idle first
        self.connection_count = 0  # idle or in use
        core.counters.gauge("clickhouse.engine_connections", lambda: self.connection_count)

    def set_login(self, user: str, key: str) -> None:
        """How the broker authenticates itself at the engines."""
        self.login_headers = f"X-ClickHouse-User: {user}\r\nX-ClickHouse-Key: {key}\r\n" if user else ""

    def send(self, attempt: Attempt) -> None:
        """Run the attempt in a greenlet of its own."""
        if self.connection_count >= self.limits.max_engine_connections(shared=True):
            self.core.counters.add("attempts.not_sent")
            self.core.ledger.attempt_ended(attempt, Outcome.NOT_SENT)
            return
        exchange = attempt.transport_state = EngineExchange(self, attempt)
        spawn(exchange.run)

    def cancel(self, attempt: Attempt) -> None:
        """Give the attempt up. Closing ends a read at the engine; a write is killed by its id."""
        exchange = attempt.transport_state
        if isinstance(exchange, EngineExchange):
            exchange.cancel()

    def update_resources(self, attempt: Attempt) -> None:
        """Nothing: ClickHouse cannot change the priority of a running query."""

    def take_idle(self, endpoint: Endpoint) -> socket.socket | None:
        """An idle connection that the engine has not closed meanwhile."""
        idle = self.idle.get(endpoint, ())
        while idle:
            sock = idle.pop().sock
            if not select.select([sock], [], [], 0)[0]:
                return sock
            self.close(sock)
        return None

    def connect(self, endpoint: Endpoint) -> socket.socket:
        """A new connection. Raises `OSError` and `gevent.Timeout`."""
        self.connection_count += 1
        try:
            with Timeout(self.limits.connect_timeout_s):
                sock = connect(endpoint.address)
        except BaseException:
            self.connection_count -= 1
            raise
        self.core.counters.add("clickhouse.engine_connects")
        return sock

    def keep_idle(self, endpoint: Endpoint, sock: socket.socket) -> None:
        """Keep a connection for the next exchange."""
        self.idle.setdefault(endpoint, deque()).append(IdleConnection(sock, monotonic_us()))

    def close(self, sock: socket.socket) -> None:
        """Close a connection for good."""
        self.connection_count -= 1
        close_socket(sock)

    def maintain(self) -> None:
        """Close connections that are idle for long, or whose engine takes no new work."""
        oldest = monotonic_us() - int(self.limits.idle_timeout_s * 1e6)
        for endpoint, idle in list(self.idle.items()):
            while idle and (idle[0].since < oldest or not self.core.engines.is_current(endpoint)):
                self.close(idle.popleft().sock)
            if not idle:
                del self.idle[endpoint]
