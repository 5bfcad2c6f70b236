"""Framed messages (`messages.py`) over TCP on gevent sockets, with one reader and a non-blocking writer.

Time and bytes are bounded for each connection. A peer that sends nothing, sends a byte per second, sends too
much or invalid frames, or doesn't read, therefore loses its own connection and doesn't affect others.
"""

import errno
import time

from gevent import Timeout, socket

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
from cypressledge.net.time_slice import let_others_run

HELLO_TIMEOUT_S = 5.0  # seconds from a connection's start to the end of its first frame
FRAME_TIMEOUT_S = 30.0  # seconds from a frame's first byte to its last
CONNECT_TIMEOUT_S = 1.5  # seconds to establish a connection
SEND_TIMEOUT_S = 8.0  # seconds that one send may take
UNACKNOWLEDGED_TIMEOUT_MS = 10_000  # ms; a connection ends if sent bytes stay unacknowledged this long
KEEPALIVE_IDLE_S = 5  # seconds of silence before the first keepalive probe
KEEPALIVE_INTERVAL_S = 2  # seconds between probes
KEEPALIVE_PROBES = 3  # unanswered probes that end a connection
MAX_QUEUED_BYTES = 16 << 20  # bytes queued for one peer: a few of the largest frames


class ConnectionEndedError(Exception):
    """The connection has ended; the message is the reason: closed, an invalid frame, too slow, an OS error.

    The text before a colon becomes a part of a counter's name.
    """


class FramedConnection:
    """One connection. The caller of `receive` must be its only reader, and must close it.

    `max_frame_bytes` bounds the frames that are accepted.
    """

    def __init__(
        self, sock: socket.socket, traffic: TrafficCounters, max_frame_bytes: int = MAX_FRAME_BYTES
    ) -> None:
        self.sock, self.traffic = sock, traffic
        self.writer = SocketWriter(sock, MAX_QUEUED_BYTES, SEND_TIMEOUT_S, self._on_send_failure)
        self.is_finishing = False  # whether `finish_sending` was called
        self._max_frame_bytes = max_frame_bytes
        self._buffer = ReceiveBuffer(max_frame_bytes + LENGTH_PREFIX_BYTES + 1)
        self._body_bytes = 0  # body size of the frame whose length prefix was received; 0: no such frame
        self._frame_began = 0.0  # s, monotonic; when the first byte of the incomplete frame was received
        self._send_failure = ""  # why the writer abandoned the connection
        set_socket_options(sock)

    def set_max_frame_bytes(self, limit: int) -> None:
        """Change the largest accepted frame, once the peer is known, and the buffer's limit accordingly."""
        self._max_frame_bytes = limit
        self._buffer.limit = limit + LENGTH_PREFIX_BYTES + 1

    def send(self, message: Message, encoded: bytes = b"") -> None:
        """Queue a frame without blocking. `encoded`: the encoded message, if the caller has it already."""
        encoded = encoded or encode(message)
        if not self.writer.closed:
            self.traffic.add("out", message, len(encoded))
            self.writer.write(encoded)

    def receive(self, seconds: float) -> Message | None:
        """Return the next message, or None if it is still incomplete after so many seconds.

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
        """Take a complete message out of the buffer; None if there is none."""
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
        """Read once, for at most so many seconds.

        If the previous read filled the buffer, other greenlets run first: the peer may always have more data.
        """
        if self._buffer.was_filled:
            let_others_run()
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
        """Close the socket after a write failure, which wakes the reader so that it ends the connection."""
        self._send_failure = reason
        close_socket(self.sock)

    def finish_sending(self) -> None:
        """Send the queued frames, then shut down the sending side; no further frames may be sent.

        The reader continues until the peer has closed the connection: closing it earlier could reset it, and
        the last frames would be lost.
        """
        self.is_finishing = True
        self.writer.close(lambda: shutdown_write(self.sock))

    def close(self) -> None:
        """Close the connection immediately; queued frames are dropped."""
        self.writer.close()
        close_socket(self.sock)


def set_socket_options(sock: socket.socket) -> None:
    """Disable send delays for small frames, and enable the detection of peers whose machine has failed."""
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    except OSError:
        pass  # the peer has already disconnected; the reader will notice


def connect(address: tuple[str, int], traffic: TrafficCounters) -> FramedConnection:
    """Connect to a numeric address within `CONNECT_TIMEOUT_S`. Raises `ConnectionEndedError`."""
    try:
        with Timeout(CONNECT_TIMEOUT_S, TimeoutError("no answer")):
            sock = socket_io.connect(address)
    except OSError as err:  # includes TimeoutError
        raise ConnectionEndedError(f"connect: {err}") from None
    return FramedConnection(sock, traffic)
