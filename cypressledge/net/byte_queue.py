"""Bytes in the order in which they were received, stored in parts of about the same size."""

from collections import deque

PART_SIZE = 16 << 10  # bytes; a growing block of any size would fragment the memory of the process


class ByteQueue:
    """A queue of bytes. The last part is filled up first, so that small pieces take no part of their own."""

    __slots__ = ("_parts", "_size")

    def __init__(self) -> None:
        self._parts: deque[bytearray] = deque()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def append(self, received: memoryview) -> None:
        """Add bytes at the end."""
        if not received:
            return
        if self._parts and len(self._parts[-1]) + len(received) <= PART_SIZE:
            self._parts[-1] += received
        else:
            self._parts.append(bytearray(received))
        self._size += len(received)

    def find(self, delimiter: bytes, end: int) -> int:
        """Return the position of a delimiter within the first `end` bytes, -1 if it is not there."""
        if not self._parts:
            return -1
        while len(self._parts) > 1 and len(self._parts[0]) < end:
            first = self._parts.popleft()
            self._parts[0][:0] = first
        return self._parts[0].find(delimiter, 0, end)

    def peek(self, size: int) -> bytes:
        """Return the first `size` bytes; they must lie in the range of a previous `find`."""
        return bytes(self._parts[0][:size]) if size else b""

    def take(self, size: int) -> bytes:
        """Remove and return the first `size` bytes, which the queue must hold."""
        if size and size <= len(self._parts[0]):
            return self.take_part(size)
        pieces = []
        while size:
            pieces.append(self.take_part(size))
            size -= len(pieces[-1])
        return b"".join(pieces)

    def take_part(self, max_size: int) -> bytes:
        """Remove and return at most `max_size` bytes, as many as lie in one part."""
        first = self._parts[0]
        if len(first) <= max_size:
            self._parts.popleft()
            taken = bytes(first)
        else:
            with memoryview(first) as view:
                taken = bytes(view[:max_size])
            del first[:max_size]
        self._size -= len(taken)
        return taken

    def clear(self) -> None:
        """Remove all bytes."""
        self._parts.clear()
        self._size = 0
