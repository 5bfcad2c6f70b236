"""Transport to engines with the ClickHouse HTTP interface: one exchange at a time on each connection."""

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
    """A connection kept for a later exchange."""

    sock: socket.socket
    since: int  # µs, monotonic; end of its last exchange


class ClickHouseTransport:
    """Runs each attempt in a greenlet, and keeps idle connections for later attempts."""

    def __init__(self, core: BrokerCore, limits: Limits) -> None:
        self.core, self.limits = core, limits
        self.login_headers = ""
        self.idle: dict[Endpoint, deque[IdleConnection]] = {}  # longest idle first
        self.connection_count = 0  # idle or in use
        core.counters.gauge("clickhouse.engine_connections", lambda: self.connection_count)

    def set_login(self, user: str, key: str) -> None:
        """Set the user and key with which the broker authenticates at engines; no user sends neither."""
        self.login_headers = f"X-ClickHouse-User: {user}\r\nX-ClickHouse-Key: {key}\r\n" if user else ""

    def send(self, attempt: Attempt) -> None:
        """Run the attempt in its own greenlet."""
        if self.connection_count >= self.limits.max_engine_connections(shared=True):
            self.core.counters.add("attempts.not_sent")
            self.core.ledger.attempt_ended(attempt, Outcome.NOT_SENT)
            return
        exchange = attempt.transport_state = EngineExchange(self, attempt)
        spawn(exchange.run)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel the attempt: closing the connection ends a read at the engine; a write is killed by id."""
        exchange = attempt.transport_state
        if isinstance(exchange, EngineExchange):
            exchange.cancel()

    def update_resources(self, attempt: Attempt) -> None:
        """Do nothing: ClickHouse cannot change the priority of a running query."""

    def take_idle(self, endpoint: Endpoint) -> socket.socket | None:
        """Return an idle connection that the engine has not closed meanwhile; None if there is none."""
        idle = self.idle.get(endpoint, ())
        while idle:
            sock = idle.pop().sock
            if not select.select([sock], [], [], 0)[0]:
                return sock
            self.close(sock)
        return None

    def connect(self, endpoint: Endpoint) -> socket.socket:
        """Open a new connection. Raises `OSError` and `gevent.Timeout`."""
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
        """Keep an idle connection for a later exchange."""
        self.idle.setdefault(endpoint, deque()).append(IdleConnection(sock, monotonic_us()))

    def close(self, sock: socket.socket) -> None:
        """Close a connection, which is then no longer counted."""
        self.connection_count -= 1
        close_socket(sock)

    def maintain(self) -> None:
        """Close connections that have been idle for too long, or whose engine accepts no new work."""
        oldest = monotonic_us() - int(self.limits.idle_timeout_s * 1e6)
        for endpoint, idle in list(self.idle.items()):
            while idle and (idle[0].since < oldest or not self.core.engines.is_current(endpoint)):
                self.close(idle.popleft().sock)
            if not idle:
                del self.idle[endpoint]
