"""Socket operations that all connections share: connect, read with a deadline, close without losing bytes."""

import contextlib
import select
from collections.abc import Callable, Iterable
from typing import Protocol

from gevent import Timeout, sleep, socket

from cypressledge.clock import monotonic_us
from cypressledge.net.receive_buffer import ReceiveBuffer
from cypressledge.net.socket_writer import SocketWriter

LINGER_TIMEOUT = 2.0  # seconds for which a peer is still read after our side was shut down
FIRST_MESSAGE_TIMEOUT = 2.0  # seconds from connecting to a client's first complete message, and to its answer
LISTEN_BACKLOG = 512  # connections that the kernel holds until they are accepted
DISCARD_BUFFER = bytearray(256 << 10)  # receives the bytes that nobody reads, of all connections

Address = tuple[str, int]  # a numeric host and a port


class IdleTimeoutError(Exception):
    """Nothing was received for too long."""


class ClosableConnection(Protocol):
    """A connection as `flush_connections` sees it."""

    sock: socket.socket
    writer: SocketWriter


def create_listening_socket(address: Address) -> socket.socket:
    """A new socket, bound and listening. Raises `OSError`."""
    sock = socket.socket(_family(address), socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(LISTEN_BACKLOG)
    return sock


def connect(address: Address) -> socket.socket:
    """A connection to a numeric address. Unlike `create_connection`, no thread resolves it first.

    Raises `OSError`, and whatever timeout the caller runs it under."""
    sock = socket.socket(_family(address), socket.SOCK_STREAM)
    try:
        sock.connect(address)
    except BaseException:
        sock.close()
        raise
    disable_send_delay(sock)
    return sock


def _family(address: Address) -> int:
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


def disable_send_delay(sock: socket.socket) -> None:
    """Send small messages at once. A peer that has closed already is left to the reader to find."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def has_unread_bytes(sock: socket.socket) -> bool:
    """Whether received bytes, or the end of the stream, can be read."""
    return _poll(sock, select.POLLIN)


def peer_has_closed(sock: socket.socket) -> bool:
    """Whether the peer has shut down its side, with or without unread bytes before that."""
    return _poll(sock, select.POLLRDHUP)


def _poll(sock: socket.socket, events: int) -> bool:
    """Guards against polling a socket that was closed a moment ago, while its greenlet has not ended yet: its
    end can be read."""
    if (descriptor := sock.fileno()) < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, events)
    return bool(poll.poll(0))


def remaining_seconds(since: int, seconds: float) -> float:
    """What remains of `seconds` from `since` (µs, monotonic). Raises `IdleTimeoutError` once nothing does."""
    remaining = seconds - (monotonic_us() - since) / 1e6
    if remaining <= 0:
        raise IdleTimeoutError
    return remaining


def receive(buffer: ReceiveBuffer, sock: socket.socket, read_timeout: Callable[[], float]) -> int:
    """Read once into the buffer; 0 at the end of the stream. `read_timeout`: seconds to wait for bytes, asked
    again when they have passed; it raises once waiting is over.

    Guards against a peer that always has more starving the others: they run before the next read, when all
    bytes of the last one have been processed. Nobody else runs between a read and its processing: whoever
    made room then took the connection for an idle one, and closed it over the request in its buffer."""
    if buffer.was_filled:
        sleep(0)
    while True:
        with Timeout(read_timeout(), False):
            return buffer.receive(sock)


def flush_connections(connections: Iterable[ClosableConnection], seconds: float) -> None:
    """Send what is queued on all connections, and wait for the clients to close theirs.

    Guards against the last answers being lost with the process: a socket that is closed with bytes unread is
    reset. So only our side is shut down, and the connections' greenlets read what the clients still send."""
    with Timeout(seconds, False):
        for connection in list(connections):
            connection.writer.flushed.wait()
        for connection in list(connections):
            shutdown_write(connection.sock)
        while connections:
            sleep(0.01)


def discard_until_closed(sock: socket.socket, read_timeout: Callable[[], float]) -> None:
    """Read and discard until the peer closes or `read_timeout` (as in `receive`) raises.

    Guards against the reset that closing with bytes unread would send: it may overtake our last bytes. A peer
    that sends 60 MB is read to the end, into one piece of memory for all, and delays nobody."""
    try:
        while True:
            received = None
            with Timeout(read_timeout(), False):
                received = sock.recv_into(DISCARD_BUFFER)
            if received == 0:
                return
            sleep(0)
    except (OSError, IdleTimeoutError):
        pass


def shutdown_write(sock: socket.socket) -> None:
    """Shut down our side; the peer is still read."""
    try:
        sock.shutdown(socket.SHUT_WR)
    except OSError:
        close_socket(sock)


def close_socket(sock: socket.socket) -> None:
    """Close both sides, waking a greenlet that reads."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
