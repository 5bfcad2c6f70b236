"""Shared socket operations: connect, read with a deadline, close without losing bytes."""

import contextlib
import select
from collections.abc import Callable, Iterable
from typing import Protocol

from gevent import Timeout, sleep, socket

from cypressledge.clock import monotonic_us
from cypressledge.net.receive_buffer import ReceiveBuffer
from cypressledge.net.socket_writer import SocketWriter
from cypressledge.net.time_slice import let_others_run

LINGER_TIMEOUT = 2.0  # seconds for which a peer is still read after the local side was shut down
FIRST_MESSAGE_TIMEOUT = 2.0  # seconds from connecting to a client's first complete message, and to its answer
LISTEN_BACKLOG = 512  # connections that the kernel queues until they are accepted
DISCARD_BUFFER = bytearray(256 << 10)  # receives discarded bytes of all connections

Address = tuple[str, int]  # a numeric host and a port


class IdleTimeoutError(Exception):
    """No bytes, or no complete message, were received in time."""


class ClosableConnection(Protocol):
    """Interface of a connection that `flush_connections` can flush."""

    sock: socket.socket
    writer: SocketWriter


def create_listening_socket(address: Address) -> socket.socket:
    """Return a new bound and listening socket. Raises `OSError`."""
    sock = socket.socket(_family(address), socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(LISTEN_BACKLOG)
    return sock


def connect(address: Address) -> socket.socket:
    """Connect to a numeric address; unlike `create_connection`, this starts no resolver thread.

    Raises `OSError`, and the timeout that the caller has set, if any."""
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
    """Set TCP_NODELAY, to send small messages at once.

    Errors are ignored: a peer that has already closed is detected by the next read."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def has_unread_bytes(sock: socket.socket) -> bool:
    """Return whether received bytes, or the end of the stream, can be read."""
    return _poll(sock, select.POLLIN)


def peer_has_closed(sock: socket.socket) -> bool:
    """Return whether the peer has shut down its side, with or without unread bytes before that."""
    return _poll(sock, select.POLLRDHUP)


def _poll(sock: socket.socket, events: int) -> bool:
    """Return whether any of the events is pending.

    True for a closed socket, whose greenlet may not have ended yet: the end of its stream can be read."""
    if (descriptor := sock.fileno()) < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, events)
    return bool(poll.poll(0))


def remaining_seconds(since: int, seconds: float) -> float:
    """Return `seconds` minus the time since `since` (µs, monotonic). Raises `IdleTimeoutError` at 0."""
    remaining = seconds - (monotonic_us() - since) / 1e6
    if remaining <= 0:
        raise IdleTimeoutError
    return remaining


def receive(buffer: ReceiveBuffer, sock: socket.socket, read_timeout: Callable[[], float]) -> int:
    """Read once into the buffer; return the number of bytes, 0 at the end of the stream.

    `read_timeout` returns the seconds to wait for bytes. It is called again after each timeout, and raises
    to end the wait.

    After a read that filled the buffer, other greenlets run first, so that a peer that always has more to
    send does not starve the others. They run before the next read, when the last bytes have been processed,
    not between a read and its processing: an eviction at that point would take the connection for an idle
    one and close it despite the request in its buffer."""
    if buffer.was_filled:
        buffer.charge_held_bytes()
        let_others_run()
    while True:
        with Timeout(read_timeout(), False):
            return buffer.receive(sock)


def flush_connections(connections: Iterable[ClosableConnection], seconds: float) -> None:
    """Send what is queued on all connections, and wait up to `seconds` for clients to close them.

    Closing a socket with unread bytes resets it, which could lose the last answers. Therefore only the local
    side is shut down, and the connections' greenlets read what the clients still send."""
    with Timeout(seconds, False):
        for connection in list(connections):
            connection.writer.flushed.wait()
        for connection in list(connections):
            shutdown_write(connection.sock)
        while connections:
            sleep(0.01)


def discard_until_closed(sock: socket.socket, read_timeout: Callable[[], float]) -> None:
    """Read and discard bytes until the peer closes or `read_timeout` (as in `receive`) raises.

    Closing with unread bytes would send a reset, which may overtake the last bytes sent to the peer. Even
    60 MB are read to the end, into a buffer shared by all connections, without delaying other greenlets."""
    try:
        while True:
            received = None
            with Timeout(read_timeout(), False):
                received = sock.recv_into(DISCARD_BUFFER)
            if received == 0:
                return
            let_others_run()
    except (OSError, IdleTimeoutError):
        pass


def shutdown_write(sock: socket.socket) -> None:
    """Shut down the sending side; bytes of the peer can still be read."""
    try:
        sock.shutdown(socket.SHUT_WR)
    except OSError:
        close_socket(sock)


def close_socket(sock: socket.socket) -> None:
    """Shut down both directions, which wakes a greenlet that is reading, and close the socket."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
