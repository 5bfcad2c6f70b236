"""Send queue of a connection, so that a peer that does not read blocks no other connection."""

from collections import deque
from collections.abc import Callable

from gevent import Timeout, socket, spawn
from gevent.event import Event

from cypressledge.net.byte_budget import ByteBudget

# Bytes in the whole process, held by all writers with queued bytes; default until the configuration is known.
QUEUED_BYTES = ByteBudget(8 << 20)
LOW_WATER = 256 << 10  # queued bytes up to which a streamed answer continues
SEND_SIZE = 65536  # bytes; one send takes at least this many from the queue, if there are as many

ShouldSend = Callable[[], bool]


def _ignore_failure(reason: str) -> None:
    """Handle a failure after the end of the connection."""


class SocketWriter:
    """Sends queued bytes in a greenlet that runs while there are any; `write` never blocks.

    If the peer stops reading, the connection fails: beyond `queue_limit` queued bytes, or after
    `send_timeout` seconds in one send, the queue is dropped and `on_failure` is called with the reason.
    """

    def __init__(
        self, sock: socket.socket, queue_limit: int, send_timeout: float, on_failure: Callable[[str], None]
    ) -> None:
        self.sock, self.queue_limit, self.send_timeout = sock, queue_limit, send_timeout
        self.on_failure = on_failure
        self.queue: deque[tuple[bytes, ShouldSend | None]] = deque()
        self.queued_bytes = 0
        self.flushed = Event()  # set while nothing is queued
        self.below_low_water = Event()
        self.flushed.set()
        self.below_low_water.set()
        self.closed = self.failed = self.sending = False
        self.on_drained: Callable[[], None] | None = None

    def write(self, *parts: bytes, should_send: ShouldSend | None = None) -> None:
        """Queue bytes; they are dropped if `should_send`, called just before the send, returns False."""
        raw = b"".join(parts)
        if self.closed or not QUEUED_BYTES.reserve_for(self, len(raw)):
            return
        self.queue.append((raw, should_send))
        self.queued_bytes += len(raw)
        self.flushed.clear()
        QUEUED_BYTES.holders.add(self)
        if not self.sending:  # no permanent greenlet: most connections are idle, and each would cost memory
            self.sending = True
            spawn(self._run)
        if self.queued_bytes > LOW_WATER:
            self.below_low_water.clear()
        if self.queued_bytes > self.queue_limit:
            self._fail("peer does not read")

    def detach(self) -> None:
        """Close, and report nothing more to the owner, which has ended the connection.

        The owner could otherwise be freed only by a garbage collection."""
        self.close()
        self.on_failure = _ignore_failure

    @property
    def held_bytes(self) -> int:
        """See `BudgetHolder`; bytes that are being sent count as well."""
        return self.queued_bytes

    def give_up_bytes(self) -> None:
        """See `BudgetHolder`; the connection fails, as its peer does not read."""
        self._fail("peers do not read")

    def close(self, on_drained: Callable[[], None] | None = None) -> None:
        """Accept no further writes. Bytes already queued are still sent, then `on_drained` is called."""
        self.closed, self.on_drained = True, on_drained
        if on_drained is not None and not self.sending:
            on_drained()

    def _fail(self, reason: str) -> None:
        if self.failed:
            return
        self.closed = self.failed = True
        QUEUED_BYTES.holders.discard(self)
        QUEUED_BYTES.release(sum(len(raw) for raw, _ in self.queue))
        self.queue.clear()
        self.queued_bytes = 0
        self.flushed.set()
        self.below_low_water.set()
        self.on_failure(reason)

    def _run(self) -> None:
        try:
            while self.queue:
                self._send_next()
        except (OSError, Timeout) as err:
            self._fail(f"write: {err}")
        self.sending = False
        QUEUED_BYTES.holders.discard(self)
        self.flushed.set()
        if self.on_drained is not None:
            self.on_drained()

    def _send_next(self) -> None:
        taken, parts = 0, []
        while self.queue and taken < SEND_SIZE:
            raw, should_send = self.queue.popleft()
            taken += len(raw)
            QUEUED_BYTES.release(len(raw))
            if should_send is None or should_send():
                parts.append(raw)
        with Timeout(self.send_timeout):
            self.sock.sendall(b"".join(parts))
        self.queued_bytes = max(self.queued_bytes - taken, 0)
        if self.queued_bytes <= LOW_WATER:
            self.below_low_water.set()
