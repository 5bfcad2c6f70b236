"""Frontend that listens for JSON-RPC clients."""

from gevent import sleep

from cypressledge.broker.core import BrokerCore
from cypressledge.broker.metrics import Counters
from cypressledge.clock import monotonic_us
from cypressledge.net.connection_registry import ConnectionRegistry
from cypressledge.net.jsonrpc.connection import JsonRpcConnection
from cypressledge.net.jsonrpc.query_parser import QueryParser
from cypressledge.net.listener import Listener
from cypressledge.net.socket_io import Address
from cypressledge.tenants import Tenants

FLUSH_INTERVAL = 0.01  # seconds between checks of the open connections during a shutdown


class JsonRpcFrontend:
    """The listener for JSON-RPC clients, and the state that its connections share."""

    def __init__(
        self,
        core: BrokerCore,
        address: Address,
        classes: tuple[str, ...],
        tenants: Tenants,
        counters: Counters,
        inherited: int | None = None,
    ) -> None:
        """`inherited`: descriptor of a listening socket of the platform, used instead of a new socket."""
        self.core, self.counters = core, counters
        self.query_parser = QueryParser(core, classes, tenants)
        self.connections: ConnectionRegistry[JsonRpcConnection] = ConnectionRegistry()
        self.draining = False
        self.listener = Listener(
            address,
            counters,
            "clients",
            lambda sock: JsonRpcConnection(self, sock).run(),
            self.connections,
            inherited,
        )

    def stop(self) -> None:
        """Accept no further connections."""
        self.listener.stop()

    def drain(self) -> None:
        """Close each connection once its calls are answered, as another process serves the clients now."""
        self.draining = True
        for connection in list(self.connections):
            connection.drain()

    def flush(self, seconds: float) -> None:
        """Send all answers, and wait up to `seconds` for clients to close their connections.

        When the process exits, the kernel resets sockets with unread bytes, which could lose the last
        answers. So received messages are read and answered; in the second half of the time, further
        messages on connections that are still open are ignored."""
        until = monotonic_us() + int(seconds * 1e6)
        while len(self.listener.pool) and (now := monotonic_us()) < until:
            for connection in list(self.connections):
                connection.ignores_input |= until - now < seconds * 5e5
                connection.drain()
            sleep(FLUSH_INTERVAL)
