"""Listener that accepts a bounded number of concurrent client connections."""

import errno
from collections.abc import Callable

from gevent import Timeout, sleep, socket
from gevent.event import Event
from gevent.pool import Pool

from cypressledge.broker.metrics import Counters
from cypressledge.clock import monotonic_us
from cypressledge.net.connection_registry import MAX_EXAMINED, ConnectionRegistry
from cypressledge.net.socket_io import (
    Address,
    close_socket,
    create_listening_socket,
    disable_send_delay,
    has_unread_bytes,
)

QUEUE_DRAIN_TIMEOUT = 0.2  # seconds; time to accept the connections queued when a listener closes
ACCEPT_PAUSE = 0.05  # seconds until the next attempt when descriptors or memory are exhausted
RESOURCE_EXHAUSTION_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


class Listener:
    """Accepts connections on one address and serves each in a greenlet, at most `max_connections` at once."""

    max_connections = 16  # default until the configuration is known
    max_closing = 8  # evicted connections not closed by their clients yet, allowed beyond `max_connections`

    def __init__(
        self,
        address: Address,
        counters: Counters,
        name: str,
        serve: Callable[[socket.socket], None],
        connections: ConnectionRegistry,
        inherited: int | None = None,
    ) -> None:
        """`inherited`: descriptor of a listening socket of the platform, used instead of a new socket."""
        self.counters, self.name, self.serve, self.connections = counters, name, serve, connections
        self.pool = Pool()
        self.inherited = inherited is not None
        self.sock = create_listening_socket(address) if inherited is None else socket.socket(fileno=inherited)
        self.accepting = Event()
        counters.gauge(f"{name}.connections", lambda: len(self.pool))

    def run(self) -> None:
        """Accept connections until `stop` is called."""
        self.accepting.set()
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError as err:
                if self.sock.closed:
                    return
                self._handle_accept_error(err)
                continue
            if self._is_full() and not self._evict_idle():
                self.counters.add(f"{self.name}.rejected")
                close_socket(sock)
                continue
            self.counters.add(f"{self.name}.accepted")
            disable_send_delay(sock)
            self.pool.spawn(self.serve, sock)

    def _handle_accept_error(self, err: OSError) -> None:
        self.counters.add(f"{self.name}.accept_error.{err.errno}")
        if err.errno in RESOURCE_EXHAUSTION_ERRORS:
            self._evict_idle()  # nothing can be accepted until a descriptor is free: free one at once
            sleep(ACCEPT_PAUSE)

    def _is_full(self) -> bool:
        """Return whether the limit is reached; up to `max_closing` closing connections do not count."""
        return len(self.pool) - min(len(self.connections.closing), self.max_closing) >= self.max_connections

    def _evict_idle(self) -> bool:
        """Close the connection with the lowest eviction priority; return False if none is evictable."""
        now = monotonic_us()
        for _ in range(MAX_EXAMINED):
            candidate = self.connections.eviction_candidate(now)
            if candidate is None:
                continue
            if not has_unread_bytes(candidate.sock):
                self.counters.add(f"{self.name}.evicted")
                candidate.close_idle()
                if self._is_full():  # too many clients have not closed their evicted connections
                    close_socket(candidate.sock)
                    sleep(0)
                return True
            # A received request that is not read yet must not be lost: the connection counts as active.
            candidate.last_active_at = now
            self.connections.mark_active(candidate)
        return False

    def stop(self) -> None:
        """Accept no further connection.

        An inherited socket stays open in the process that listens on it, and the next broker accepts the
        connections in its queue."""
        self.accepting.clear()
        with Timeout(QUEUE_DRAIN_TIMEOUT, False):
            # Closing the socket would reset connections that the kernel has already accepted.
            while not self.inherited and has_unread_bytes(self.sock):
                sleep(0)
        self.sock.close()
