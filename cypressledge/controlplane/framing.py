"""Messages (`messages.py`) framed over TCP, on a gevent socket: one reader, and a writer nobody waits for.

Guards against peers that send nothing, a byte a second, too much or invalid frames, and against those that
don't read: each is bounded in time and in bytes, and costs its own connection alone.
"""

import errno
import time

from gevent import Timeout, sleep, socket

from cypressledge.controlplane.messages import (
    LENGTH_PREFIX_BYTES,
    MAX_FRAME_BYTES,
    InvalidFrameError,
    Message,
    decode,
    encode,
)
from cypressledge.controlplane.traffic_counters import TrafficCounters
from cypressledge.net import socket_io
from cypressledge.net.receive_buffer import BufferLimitError, ReceiveBuffer
from cypressledge.net.socket_io import close_socket, shutdown_write
from cypressledge.net.socket_writer import SocketWriter

HELLO_TIMEOUT_S = 5.0  # seconds from a connection's beginning to the end of its first frame
FRAME_TIMEOUT_S = 30.0  # seconds from a frame's first byte to its last
CONNECT_TIMEOUT_S = 1.5  # seconds for a connection to come up
SEND_TIMEOUT_S = 8.0  # seconds that one send may take
UNACKNOWLEDGED_TIMEOUT_MS = 10_000  # after which bytes that nobody acknowledges end a connection
KEEPALIVE_IDLE_S = 5  # seconds of silence before the first keepalive probe
KEEPALIVE_INTERVAL_S = 2  # seconds between probes
KEEPALIVE_PROBES = 3  # probes without an answer that end a connection
MAX_QUEUED_BYTES = 16 << 20  # bytes that wait for one peer: a few of the largest frames


class ConnectionEndedError(Exception):
    """The connection has ended, and why: closed, an invalid frame, too slow, or the system's words."""


class FramedConnection:
    """One connection. Whoever calls `receive` is its only reader, and closes it in the end.

    `max_frame_bytes` bounds the frames that are accepted.
    """

    def __init__(
        self, sock: socket.socket, traffic: TrafficCounters, max_frame_bytes: int = MAX_FRAME_BYTES
    ) -> None:
        self.sock, self.traffic = sock, traffic
        self.writer = SocketWriter(sock, MAX_QUEUED_BYTES, SEND_TIMEOUT_S, self._on_send_failure)
        self.is_finishing = False  # nothing more is sent
        self._max_frame_bytes = max_frame_bytes
        self._buffer = ReceiveBuffer(max_frame_bytes + LENGTH_PREFIX_BYTES + 1)
        self._body_bytes = 0  # of the frame whose length prefix has come; 0: none has
        self._frame_began = 0.0  # s, monotonic: when the first byte of the unfinished frame came
        self._send_failure = ""  # why the writer gave the connection up
        set_socket_options(sock)

    def set_max_frame_bytes(self, limit: int) -> None:
        """Accept frames up to another size, now that it is known who this is; the buffer's limit follows."""
        self._max_frame_bytes = limit
        self._buffer.limit = limit + LENGTH_PREFIX_BYTES + 1

    def send(self, message: Message, encoded: bytes = b"") -> None:
        """Queue a frame; never blocks. `encoded`: the same message, encoded before."""
        encoded = encoded or encode(message)
        if not self.writer.closed:
            self.traffic.add("out", message, len(encoded))
            self.writer.write(encoded)

    def receive(self, seconds: float) -> Message | None:
        """The next message; none where it isn't complete within so many seconds, and may still become so.

        Raises `ConnectionEndedError`.
        """
        deadline = time.monotonic() + seconds
        while True:
            message = self._take_message()
            if message is not None:
                return message
            now = time.monotonic()
            if len(self._buffer) and now > self._frame_began + FRAME_TIMEOUT_S:
                raise ConnectionEndedError("too slow")
            if now >= deadline:
                return None
            self._read(deadline - now)

    def _take_message(self) -> Message | None:
        """A message that is complete, taken out of the buffer."""
        buffer = self._buffer
        if self._body_bytes == 0:
            prefix = buffer.take(LENGTH_PREFIX_BYTES)
            if prefix is None:
                return None
            self._body_bytes = int.from_bytes(prefix, "big")
            if not 0 < self._body_bytes <= self._max_frame_bytes:
                raise ConnectionEndedError(f"a frame of {self._body_bytes} bytes")
        body = buffer.take(self._body_bytes)
        if body is None:
            return None
        self._body_bytes, self._frame_began = 0, time.monotonic()
        try:
            message = decode(body)
        except InvalidFrameError as err:
            raise ConnectionEndedError(f"invalid frame: {err}") from None
        self.traffic.add("in", message, len(body) + LENGTH_PREFIX_BYTES)
        return message

    def _read(self, seconds: float) -> None:
        """Read once, within so many seconds. Yields first to others where the peer always has more."""
        if self._buffer.was_filled:
            sleep(0)
        is_new_frame = not len(self._buffer) and not self._body_bytes
        received = None
        try:
            with Timeout(seconds, False):
                received = self._buffer.receive(self.sock)
        except BufferLimitError as err:
            raise ConnectionEndedError(str(err)) from None
        except OSError as err:
            reason = errno.errorcode.get(err.errno or 0, str(err))
            raise ConnectionEndedError(self._send_failure or reason) from None
        if received == 0:
            raise ConnectionEndedError(self._send_failure or "closed")
        if received and is_new_frame:
            self._frame_began = time.monotonic()

    def _on_send_failure(self, reason: str) -> None:
        """The writer gave the connection up: the reader is woken, and ends it."""
        self._send_failure = reason
        close_socket(self.sock)

    def finish_sending(self) -> None:
        """Send what is queued, then shut our side; nothing more is sent.

        The reader goes on until the peer has closed, so that what was sent last isn't lost to a reset.
        """
        self.is_finishing = True
        self.writer.close(lambda: shutdown_write(self.sock))

    def close(self) -> None:
        """Close at once, for good."""
        self.writer.close()
        close_socket(self.sock)


def set_socket_options(sock: socket.socket) -> None:
    """Small frames leave at once, and a peer whose machine is gone is noticed."""
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    except OSError:
        pass  # the peer is gone already: the reader will find out


def connect(address: tuple[str, int], traffic: TrafficCounters) -> FramedConnection:
    """A connection to a numeric address, within `CONNECT_TIMEOUT_S`. Raises `ConnectionEndedError`."""
    try:
        with Timeout(CONNECT_TIMEOUT_S, TimeoutError("no answer")):
            sock = socket_io.connect(address)
    except OSError as err:  # TimeoutError is one
        raise ConnectionEndedError(f"connect: {err}") from None
    return FramedConnection(sock, traffic)
