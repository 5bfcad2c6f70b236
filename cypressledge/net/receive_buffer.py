"""Receive buffer of a connection, whose size is charged to a budget that all buffers share."""

from collections.abc import Callable

from gevent import socket

from cypressledge.net.byte_budget import ByteBudget
from cypressledge.net.byte_queue import ByteQueue

UNCHARGED_SIZE = 4096  # bytes that each buffer may hold without a reservation
READ_SIZE = 16 << 10  # bytes of one read
DEFAULT_GROWTH_LIMIT = 8 << 20  # bytes; default until the configuration is known
# Receives the bytes of each read. All buffers share it: nothing runs between a read and the copy.
SHARED_READ_BUFFER = bytearray(64 << 10)


class BufferLimitError(Exception):
    """One connection, or all connections together, would exceed the limit of unread bytes."""


BUFFER_GROWTH = ByteBudget(DEFAULT_GROWTH_LIMIT)  # bytes of all buffers beyond their uncharged sizes


class ReceiveBuffer:
    """The received bytes of a connection that are not consumed yet."""

    __slots__ = (
        "limit",
        "was_filled",
        "_charged_bytes",
        "_bytes",
        "_on_give_up",
        "_read_size",
        "_uncharged_size",
    )

    def __init__(
        self,
        limit: int,
        read_size: int = READ_SIZE,
        uncharged_size: int = UNCHARGED_SIZE,
        on_give_up: Callable[[], None] | None = None,
    ) -> None:
        """`on_give_up` must consume all bytes; it is called when other connections need the memory. Without
        it, a read beyond the budget is an error, and other connections cannot take the bytes away. Sizes and
        limit are in bytes, `read_size` is at most that of the shared read buffer."""
        self.limit = limit
        self.was_filled = False  # the last read got all that it asked for; the peer may have sent more
        self._bytes = ByteQueue()
        self._read_size, self._uncharged_size = read_size, uncharged_size
        self._charged_bytes = 0
        self._on_give_up = on_give_up

    def __del__(self) -> None:
        self.close()

    def __len__(self) -> int:
        return len(self._bytes)

    @property
    def held_bytes(self) -> int:
        """See `BudgetHolder`."""
        return self._charged_bytes

    def give_up_bytes(self) -> None:
        """See `BudgetHolder`."""
        if self._on_give_up is not None:
            self._on_give_up()

    def receive(self, sock: socket.socket) -> int:
        """Read once from the socket; return the number of bytes, 0 at the end of the stream.

        Bytes that are still held from earlier reads are charged to the budget before the wait. Does not yield
        to other greenlets once bytes are read: a timeout raised there would lose them. Raises
        `BufferLimitError` and `OSError`."""
        self.charge_held_bytes()
        received = sock.recv_into(SHARED_READ_BUFFER, self._read_size)
        self.was_filled = received == self._read_size
        with memoryview(SHARED_READ_BUFFER) as view:
            self._bytes.append(view[:received])
        return received

    def charge_held_bytes(self) -> None:
        """Charge the bytes held to the budget, before others can run. Raises `BufferLimitError`."""
        if len(self) >= self.limit:
            raise BufferLimitError(f"{len(self)} bytes unread")
        growth = len(self) - self._uncharged_size - self._charged_bytes
        if growth <= 0:
            return
        if self._on_give_up is None:
            if not BUFFER_GROWTH.reserve(growth):
                raise BufferLimitError("all buffers together hold too much")
        elif not BUFFER_GROWTH.reserve_for(self, growth):
            return
        else:
            BUFFER_GROWTH.holders.add(self)
        self._charged_bytes += growth

    def peek_until(self, delimiter: bytes, limit: int) -> bytes | None:
        """Return the bytes before the delimiter without removing them; None until it has been received.

        Raises `BufferLimitError` if the delimiter is not within the first `limit` bytes."""
        at = self._bytes.find(delimiter, limit + len(delimiter))
        if at < 0:
            if len(self) > limit:
                raise BufferLimitError(f"no end of line in {limit} bytes")
            return None
        return self._bytes.peek(at)

    def take(self, size: int) -> bytes | None:
        """Remove and return `size` bytes; None until that many have been received."""
        if len(self) < size:
            return None
        taken = self._bytes.take(size)
        self._release_charge()
        return taken

    def take_part(self, max_size: int) -> bytes:
        """Remove and return some of the unread bytes, at least one if there are any."""
        taken = self._bytes.take_part(max_size) if len(self) and max_size else b""
        self._release_charge()
        return taken

    def take_all(self) -> bytes:
        """Remove and return all unread bytes."""
        taken = self._bytes.take(len(self))
        self._release_charge()
        return taken

    def close(self) -> None:
        """Drop all bytes and return what is charged for them. The buffer must not be used any more."""
        self._on_give_up = None  # it refers to the owner, which would be freed only by a garbage collection
        self._bytes.clear()
        self._release_charge()

    def _release_charge(self) -> None:
        surplus = self._charged_bytes - max(len(self) - self._uncharged_size, 0)
        if surplus <= 0:
            return
        BUFFER_GROWTH.release(surplus)
        self._charged_bytes -= surplus
        if not self._charged_bytes:
            BUFFER_GROWTH.holders.discard(self)
