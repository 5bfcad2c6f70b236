"""The client connections of a listener, and which of them is closed first where another needs its place."""

from collections.abc import Iterator
from itertools import islice
from typing import Generic, NamedTuple, Protocol, TypeVar

from gevent import socket

from cypressledge.net.socket_writer import SocketWriter

MAX_EXAMINED = (
    8  # connections of each kind that one search for an idle one examines, and searches for one place
)
REUSE_WINDOW = 4_500_000  # µs: clients close what was idle for 4 s, so what is idle for longer is not reused
CONNECT_GRACE = 300_000  # µs in which a client that has just connected does not count as silent
ACTIVE_WINDOW = 100_000  # µs in which a client that has just been active is not closed

RANK_UNUSED, RANK_SILENT, RANK_IDLE, RANK_NEVER = 0, 1, 2, 9


class EvictionPriority(NamedTuple):
    """The order in which connections are closed where room is needed: the one with the least goes first."""

    rank: int  # one of `RANK_…`
    since: int  # µs, monotonic: of two of one rank the longer one goes first


NOT_EVICTABLE = EvictionPriority(RANK_NEVER, 0)


class ClientConnection(Protocol):
    """A connection as its registry and listener see it."""

    sock: socket.socket
    writer: SocketWriter
    has_requested: bool  # a complete request has been received
    last_active_at: int  # µs, monotonic: when bytes were last received or an answer was queued

    def eviction_priority(self, now: int) -> EvictionPriority:
        """The least is closed first, `NOT_EVICTABLE` never."""

    def close_idle(self) -> None:
        """Make room for another client: answer what has been requested, and read nothing more."""


Connection = TypeVar("Connection", bound=ClientConnection)


class ConnectionRegistry(Generic[Connection]):
    """The open connections, those with and without a request apart, each in order of the last activity.

    Guards against examining all of them for each new client: of many connections that took a whole core."""

    def __init__(self) -> None:
        # In order of the last activity, oldest first; dicts as ordered sets.
        self.without_request: dict[Connection, None] = {}
        self.with_request: dict[Connection, None] = {}
        self.closing: set[Connection] = set()  # shut down by us, not closed by their clients yet

    def __iter__(self) -> Iterator[Connection]:
        return iter([*self.without_request, *self.with_request])

    def __len__(self) -> int:
        return len(self.without_request) + len(self.with_request)

    def add(self, connection: Connection) -> None:
        """Register a connection as the one last active."""
        (self.with_request if connection.has_requested else self.without_request)[connection] = None

    def discard(self, connection: Connection) -> None:
        """Forget a connection that is closed."""
        self.without_request.pop(connection, None)
        self.with_request.pop(connection, None)
        self.closing.discard(connection)

    def mark_closing(self, connection: Connection) -> None:
        """Count the connection no longer, though its client has not closed it yet."""
        self.discard(connection)
        self.closing.add(connection)

    def mark_active(self, connection: Connection) -> None:
        """Bytes have just been received, or an answer queued, on the connection."""
        if connection in self.without_request or connection in self.with_request:
            self.discard(connection)
            self.add(connection)

    def eviction_candidate(self, now: int) -> Connection | None:
        """Of those inactive for longest, the one with the least eviction priority; None if there is none.

        Those that were examined in vain go to the end, so that the next search finds others."""
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
    """The priority of a client's connection; where room is needed, the least is closed.

    Guards against clients that send nothing, or one request and stay, excluding others: first goes what will
    not be used again, then who has never sent a complete request, then who has been idle for longest. A
    client whose next request crosses such a close repeats it on a new connection."""
    if not has_requested and now - connected_at > CONNECT_GRACE:
        return EvictionPriority(RANK_SILENT, connected_at)
    if not has_requested or is_busy or now - last_active_at < ACTIVE_WINDOW:
        return NOT_EVICTABLE
    rank = RANK_UNUSED if now - last_active_at > REUSE_WINDOW else RANK_IDLE
    return EvictionPriority(rank, last_active_at)
