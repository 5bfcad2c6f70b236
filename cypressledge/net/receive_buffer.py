"""Receive buffer of a connection, which grows as needed and is compacted in place."""

from gevent import socket

INITIAL_SIZE = 4096  # bytes
MIN_READ_SIZE = 2048  # bytes; minimum free space before a read
SHRINK_THRESHOLD = 65536  # bytes; a larger buffer is replaced by one of the initial size once it is empty
DEFAULT_GROWTH_LIMIT = 8 << 20  # bytes; default until the configuration is known


class BufferLimitError(Exception):
    """One connection, or all connections together, would exceed the limit of unread bytes."""


class ByteBudget:
    """Limit on the bytes that all connections hold together, in addition to the limit of each connection."""

    def __init__(self, limit: int) -> None:
        self.limit, self.used = limit, 0

    def reserve(self, size: int) -> bool:
        """Reserve `size` bytes; return False, with nothing reserved, if they exceed the limit."""
        if self.used + size > self.limit:
            return False
        self.used += size
        return True

    def release(self, size: int) -> None:
        """Return `size` reserved bytes."""
        self.used -= size


BUFFER_GROWTH = ByteBudget(DEFAULT_GROWTH_LIMIT)  # bytes of all buffers beyond their initial sizes


class ReceiveBuffer:
    """Buffer in one bytearray, whose unread bytes lie between `start` and `end`."""

    __slots__ = ("data", "start", "end", "limit", "initial_size", "was_filled")

    def __init__(self, limit: int, initial_size: int = INITIAL_SIZE) -> None:
        self.data = bytearray(initial_size)
        self.start = self.end = 0
        self.limit, self.initial_size = limit, initial_size
        self.was_filled = False  # the last read used all free space; the peer may have sent more

    def __del__(self) -> None:
        BUFFER_GROWTH.release(len(self.data) - self.initial_size)

    def __len__(self) -> int:
        return self.end - self.start

    def receive(self, sock: socket.socket) -> int:
        """Read once from the socket; return the number of bytes, 0 at the end of the stream.

        Does not yield to other greenlets once bytes are read: a timeout raised there would lose them.
        Raises `BufferLimitError` and `OSError`."""
        self._make_space()
        with memoryview(self.data) as view, view[self.end :] as free:
            received = sock.recv_into(free)
            self.was_filled = received == len(free)
        self.end += received
        return received

    def _make_space(self) -> None:
        if len(self.data) - self.end >= MIN_READ_SIZE:
            return
        unread = len(self)
        if unread >= self.limit:
            raise BufferLimitError(f"{unread} bytes unread")
        if self.start:
            self.data[:unread] = self.data[self.start : self.end]
            self.start, self.end = 0, unread
        if len(self.data) - unread < MIN_READ_SIZE:
            growth = max(len(self.data), MIN_READ_SIZE)
            if not BUFFER_GROWTH.reserve(growth):
                raise BufferLimitError("all buffers together hold too much")
            self.data.extend(bytes(growth))

    def peek_until(self, delimiter: bytes, limit: int) -> bytes | None:
        """Return the bytes before the delimiter without removing them; None until it has been received.

        Raises `BufferLimitError` if the delimiter is not within the first `limit` bytes."""
        at = self.data.find(delimiter, self.start, self.end)
        if at < 0 or at - self.start > limit:
            if len(self) > limit:
                raise BufferLimitError(f"no end of line in {limit} bytes")
            return None
        return bytes(self.data[self.start : at])

    def take(self, size: int) -> bytes | None:
        """Remove and return `size` bytes; None until that many have been received."""
        if len(self) < size:
            return None
        taken = bytes(self.data[self.start : self.start + size])
        self._advance(self.start + size)
        return taken

    def take_all(self) -> bytes:
        """Remove and return all unread bytes."""
        taken = bytes(self.data[self.start : self.end])
        self._advance(self.end)
        return taken

    def _advance(self, start: int) -> None:
        self.start = start
        if self.start == self.end:
            self.start = self.end = 0
            if len(self.data) > SHRINK_THRESHOLD:
                BUFFER_GROWTH.release(len(self.data) - self.initial_size)
                self.data = bytearray(self.initial_size)
