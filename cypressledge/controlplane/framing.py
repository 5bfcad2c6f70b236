"""Frames over TCP (`messages.py`) on a gevent socket: one reader, a writer that nobody waits for.

Guards against peers that say nothing, a byte a second, too much, or nonsense, and against those that don't
read: each is bounded in time and in bytes, and costs its own connection alone.
"""

import errno
import time
from collections import Counter

from gevent import Timeout, sleep, socket

from cypressledge.controlplane.messages import MAX_FRAME_BYTES, InvalidFrameError, Message, decode, encode
from cypressledge.net import socket_io
from cypressledge.net.receive_buffer import BufferLimitError, ReceiveBuffer
from cypressledge.net.socket_io import close_socket, shutdown_write
from cypressledge.net.socket_writer import SocketWriter

HELLO_TIMEOUT_S = 5.0  # seconds from a connection's beginning to its first frame, whole
FRAME_TIMEOUT_S = 30.0  # seconds from a frame's first byte to its last
CONNECT_TIMEOUT_S = 1.5  # seconds for a connection to come up
SEND_TIMEOUT_S = 8.0  # seconds that one send may take
UNACKNOWLEDGED_TIMEOUT_MS = 10_000  # after which bytes that nobody acknowledges end a connection
MAX_QUEUED_BYTES = 16 << 20  # bytes that wait for one peer: a few of the largest frames
LENGTH_PREFIX_BYTES = 4


class ConnectionEndedError(Exception):
    """The connection is at its end, and why: closed, nonsense, too long, too slow, or the system's words."""


class TrafficCounters:
    """Frames and bytes, by kind and direction."""

    def __init__(self) -> None:
        self.frames: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()

    def add(self, way: str, message: Message, size: int) -> None:
        """One more frame; `way` is `in` or `out`."""
        key = f"{way}.{message.__struct_config__.tag}"
        self.frames[key] += 1
        self.bytes[key] += size

    def show(self) -> dict[str, dict[str, int]]:
        """By kind and direction."""
        return {k: {"frames": n, "bytes": self.bytes[k]} for k, n in sorted(self.frames.items())}


class FramedConnection:
    """One connection. Whoever calls `receive` is its only reader, and closes it in the end. `most`: bytes of
    the largest frame that is taken."""

    def __init__(self, sock, traffic: TrafficCounters, most: int = MAX_FRAME_BYTES) -> None:
        self.sock, self.traffic, self.max_frame_bytes = sock, traffic, most
        self.buffer = ReceiveBuffer(most + LENGTH_PREFIX_BYTES + 1)
        self.need, self.began = 0, 0.0  # bytes of the frame whose head has come; s when its first byte came
        self.writer = SocketWriter(sock, MAX_QUEUED_BYTES, SEND_TIMEOUT_S, self._given_up)
        self.why = ""  # it was given up here
        self.is_finishing = False
        tune(sock)

    def set_max_frame_bytes(self, most: int) -> None:
        """Frames of so many bytes from now on, as it is known who this is: the buffer's bound goes along."""
        self.max_frame_bytes, self.buffer.limit = most, most + LENGTH_PREFIX_BYTES + 1

    def send(self, message: Message, raw: bytes = b"") -> None:
        """Queue a frame; never blocks. `raw`: the same message, encoded before."""
        raw = raw or encode(message)
        if not self.writer.closed:
            self.traffic.add("out", message, len(raw))
            self.writer.write(raw)

    def receive(self, seconds: float) -> Message | None:
        """The next message; None where it isn't whole within so many seconds: it may still become so. Raises
        `Ended`."""
        until = time.monotonic() + seconds
        while True:
            message = self._whole()
            if message is not None:
                return message
            now = time.monotonic()
            if len(self.buffer) and now > self.began + FRAME_TIMEOUT_S:
                raise ConnectionEndedError("too slow")
            if now >= until:
                return None
            self._fill(until - now)

    def _whole(self) -> Message | None:
        """A message that has come whole, taken out of the buffer."""
        buffer = self.buffer
        if self.need == 0:
            head = buffer.take(LENGTH_PREFIX_BYTES)
            if head is None:
                return None
            self.need = int.from_bytes(head, "big")
            if not 0 < self.need <= self.max_frame_bytes:
                raise ConnectionEndedError(f"a frame of {self.need} bytes")
        body = buffer.take(self.need)
        if body is None:
            return None
        self.need, self.began = 0, time.monotonic()
        try:
            message = decode(body)
        except InvalidFrameError as err:
            raise ConnectionEndedError(f"nonsense: {err}") from None
        self.traffic.add("in", message, len(body) + LENGTH_PREFIX_BYTES)
        return message

    def _fill(self, seconds: float) -> None:
        """Read once, within so many seconds. A peer that always has more keeps nobody from their turn."""
        if self.buffer.was_filled:
            sleep(0)
        empty = not len(self.buffer) and not self.need
        got = None
        try:
            with Timeout(seconds, False):
                got = self.buffer.receive(self.sock)
        except BufferLimitError as err:
            raise ConnectionEndedError(str(err)) from None
        except OSError as err:
            raise ConnectionEndedError(self.why or errno.errorcode.get(err.errno, str(err))) from None
        if got == 0:
            raise ConnectionEndedError(self.why or "closed")
        if got and empty:
            self.began = time.monotonic()

    def _given_up(self, why: str) -> None:
        """The writer has: the reader is woken, and ends the connection."""
        self.why = why
        close_socket(self.sock)

    def finish_sending(self) -> None:
        """Nothing more is sent; what is queued goes out, then our side is shut. The reader goes on reading
        until the peer has closed, so that the last words aren't lost to a reset."""
        self.is_finishing = True
        self.writer.close(lambda: shutdown_write(self.sock))

    def close(self) -> None:
        """For good, at once."""
        self.writer.close()
        close_socket(self.sock)


def tune(sock) -> None:
    """Small frames leave at once, and a peer whose machine is gone is found out."""
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 5)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 2)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3)
    except OSError:
        pass  # the peer is gone already: the reader will find out


def connect(address: tuple[str, int], traffic: TrafficCounters) -> FramedConnection:
    """A connection to a numeric address, within `DIAL_S` seconds. Raises `Ended`."""
    try:
        with Timeout(CONNECT_TIMEOUT_S, TimeoutError("no answer")):
            sock = socket_io.connect(address)
    except OSError as err:  # TimeoutError is one
        raise ConnectionEndedError(f"connect: {err}") from None
    return FramedConnection(sock, traffic)
