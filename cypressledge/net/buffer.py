"""The one receive buffer of a connection: it grows as it needs and is compacted in place."""

FIRST = 4096
READ = 2048  # least free room before a read
LARGE = 65536  # a buffer that grew past this is given back once it is empty
ALL_MOST = 8 << 20  # until the configuration tells


class TooLong(Exception):
    """More than a connection may have unread."""


class Budget:
    """Bytes that all connections together may hold. Guards against many peers, each within its own cap."""

    def __init__(self, most: int) -> None:
        self.most, self.held = most, 0

    def take(self, n: int) -> bool:
        """Hold n bytes more, if there is room."""
        if self.held + n > self.most:
            return False
        self.held += n
        return True

    def give(self, n: int) -> None:
        """Hold n bytes less."""
        self.held -= n


GROWN = Budget(ALL_MOST)  # of all buffers of the process, what exceeds their first size


class Buffer:
    """Unread bytes lie between `start` and `end` of one bytearray."""

    __slots__ = ("data", "start", "end", "cap", "first", "full")

    def __init__(self, cap: int, first: int = FIRST) -> None:
        self.data, self.start, self.end, self.cap, self.first = bytearray(first), 0, 0, cap, first
        self.full = False  # the last read took all there was room for: the peer may have more

    def __del__(self) -> None:
        GROWN.give(len(self.data) - self.first)

    def __len__(self) -> int:
        return self.end - self.start

    def fill(self, sock) -> int:
        """Read once from the socket; 0 at its end. Once bytes are read nothing here lets others have a turn:
        a time-out that came there would leave them unseen."""
        self._room()
        with memoryview(self.data) as view, view[self.end :] as free:
            got = sock.recv_into(free)
            self.full = got == len(free)
        self.end += got
        return got

    def _room(self) -> None:
        if len(self.data) - self.end >= READ:
            return
        unread = len(self)
        if unread >= self.cap:
            raise TooLong(f"{unread} bytes unread")
        if self.start:
            self.data[:unread] = self.data[self.start : self.end]
            self.start, self.end = 0, unread
        if len(self.data) - unread < READ:
            more = max(len(self.data), READ)
            if not GROWN.take(more):
                raise TooLong("all buffers together hold too much")
            self.data.extend(bytes(more))

    def peek(self, mark: bytes, most: int) -> bytes | None:
        """What stands before the mark, left in place; None while the mark has not come."""
        at = self.data.find(mark, self.start, self.end)
        if at < 0 or at - self.start > most:
            if len(self) > most:
                raise TooLong(f"no end of line in {most} bytes")
            return None
        return bytes(self.data[self.start : at])

    def take(self, n: int) -> bytes | None:
        """Take n bytes; None while they have not all come."""
        if len(self) < n:
            return None
        got = bytes(self.data[self.start : self.start + n])
        self._skip(self.start + n)
        return got

    def rest(self) -> bytes:
        """Take all that is unread."""
        return self.take(len(self))

    def _skip(self, to: int) -> None:
        self.start = to
        if self.start == self.end:
            self.start = self.end = 0
            if len(self.data) > LARGE:
                GROWN.give(len(self.data) - self.first)
                self.data = bytearray(self.first)
