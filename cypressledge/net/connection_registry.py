"""Registry of a listener's client connections, and the order in which they are evicted for new clients."""

from collections.abc import Iterator
from itertools import islice
from typing import Generic, NamedTuple, Protocol, TypeVar

from gevent import socket

from cypressledge.net.socket_writer import SocketWriter

# Maximum number of connections of each group that one search examines, and of searches for one eviction.
MAX_EXAMINED = 8
REUSE_WINDOW = 4_500_000  # µs; clients close after 4 s of idle time, so a longer idle one is not reused
CONNECT_GRACE = 300_000  # µs after connecting in which a client does not count as silent
ACTIVE_WINDOW = 100_000  # µs after its last activity in which a client is not evicted

RANK_UNUSED, RANK_SILENT, RANK_IDLE, RANK_NEVER = 0, 1, 2, 9


class EvictionPriority(NamedTuple):
    """Sort key for the eviction of connections: the connection with the lowest value is closed first."""

    rank: int  # one of `RANK_…`
    since: int  # µs, monotonic; within a rank, the earliest is closed first


NOT_EVICTABLE = EvictionPriority(RANK_NEVER, 0)


class ClientConnection(Protocol):
    """Interface of a client connection towards its registry and listener."""

    sock: socket.socket
    writer: SocketWriter
    last_active_at: int  # µs, monotonic; when bytes were last received or an answer was queued

    @property
    def has_requested(self) -> bool:
        """Whether a complete request has been received."""

    def eviction_priority(self, now: int) -> EvictionPriority:
        """Return the eviction priority: the lowest is closed first, `NOT_EVICTABLE` never."""

    def close_idle(self) -> None:
        """Make room for another client: answer what has been requested, and read nothing more."""


Connection = TypeVar("Connection", bound=ClientConnection)


class ConnectionRegistry(Generic[Connection]):
    """The open connections, in two groups (with and without a request), each in order of last activity.

    A search examines only the oldest of each group: examining all of many connections for each new client
    used a full core."""

    def __init__(self) -> None:
        # In order of last activity, oldest first; dicts serve as ordered sets.
        self.without_request: dict[Connection, None] = {}
        self.with_request: dict[Connection, None] = {}
        self.closing: set[Connection] = set()  # shut down by the broker, not closed by their clients yet

    def __iter__(self) -> Iterator[Connection]:
        return iter([*self.without_request, *self.with_request])

    def __len__(self) -> int:
        return len(self.without_request) + len(self.with_request)

    def add(self, connection: Connection) -> None:
        """Register a connection as the most recently active one."""
        (self.with_request if connection.has_requested else self.without_request)[connection] = None

    def discard(self, connection: Connection) -> None:
        """Remove a closed connection."""
        self.without_request.pop(connection, None)
        self.with_request.pop(connection, None)
        self.closing.discard(connection)

    def mark_closing(self, connection: Connection) -> None:
        """Stop counting the connection as open, although its client has not closed it yet."""
        self.discard(connection)
        self.closing.add(connection)

    def mark_active(self, connection: Connection) -> None:
        """Move the connection to the end: it has just received bytes or queued an answer."""
        if connection in self.without_request or connection in self.with_request:
            self.discard(connection)
            self.add(connection)

    def eviction_candidate(self, now: int) -> Connection | None:
        """Return the connection to evict first among the longest inactive; None if none is evictable.

        If none is, the examined connections move to the end, so that the next search examines others."""
        oldest = [*islice(self.without_request, MAX_EXAMINED), *islice(self.with_request, MAX_EXAMINED)]
        priorities = ((connection.eviction_priority(now), n) for n, connection in enumerate(oldest))
        priority, position = min(priorities, default=(NOT_EVICTABLE, 0))
        if priority != NOT_EVICTABLE:
            return oldest[position]
        for connection in oldest:
            self.mark_active(connection)
        return None


def eviction_priority(
    now: int, connected_at: int, last_active_at: int, has_requested: bool, is_busy: bool
) -> EvictionPriority:
    """Return the eviction priority of a client connection; times are µs of the monotonic clock.

    Clients that send nothing, or send one request and stay connected, must not exclude others. The order is:
    connections idle for too long to be reused, connections without a complete request, then the longest
    idle. A client whose next request crosses the close repeats it on a new connection."""
    if not has_requested and now - connected_at > CONNECT_GRACE:
        return EvictionPriority(RANK_SILENT, connected_at)
    if not has_requested or is_busy or now - last_active_at < ACTIVE_WINDOW:
        return NOT_EVICTABLE
    rank = RANK_UNUSED if now - last_active_at > REUSE_WINDOW else RANK_IDLE
    return EvictionPriority(rank, last_active_at)
