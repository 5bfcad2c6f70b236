"""The one receive buffer of a connection: it grows as it needs and is compacted in place."""

FIRST = 4096
READ = 2048  # least free room before a read


class TooLong(Exception):
    """More than a connection may have unread."""


class Buffer:
    """Unread bytes lie between `start` and `end` of one bytearray."""

    __slots__ = ("data", "start", "end", "cap")

    def __init__(self, cap: int) -> None:
        self.data, self.start, self.end, self.cap = bytearray(FIRST), 0, 0, cap

    def __len__(self) -> int:
        return self.end - self.start

    def fill(self, sock) -> int:
        """Read once from the socket; 0 at its end."""
        self._room()
        with memoryview(self.data) as view, view[self.end:] as free:
            got = sock.recv_into(free)
        self.end += got
        return got

    def _room(self) -> None:
        if len(self.data) - self.end >= READ:
            return
        unread = len(self)
        if unread >= self.cap:
            raise TooLong(f"{unread} bytes unread")
        if self.start:
            self.data[:unread] = self.data[self.start:self.end]
            self.start, self.end = 0, unread
        if len(self.data) - unread < READ:
            self.data.extend(bytes(max(len(self.data), READ)))

    def peek(self, mark: bytes, most: int) -> bytes | None:
        """What stands before the mark, left in place; None while the mark has not come."""
        at = self.data.find(mark, self.start, self.end)
        if at < 0 or at - self.start > most:
            if len(self) > most:
                raise TooLong(f"no end of line in {most} bytes")
            return None
        return bytes(self.data[self.start:at])

    def take(self, n: int) -> bytes | None:
        """Take n bytes; None while they have not all come."""
        if len(self) < n:
            return None
        got = bytes(self.data[self.start:self.start + n])
        self._skip(self.start + n)
        return got

    def rest(self) -> bytes:
        """Take all that is unread."""
        return self.take(len(self))

    def _skip(self, to: int) -> None:
        self.start = to
        if self.start == self.end:
            self.start = self.end = 0
