"""Tells when the input of a peer has been read so far that its close would have been seen."""

from cypressledge.clock import monotonic_us

MIN_STREAM_SIZE = 64 << 10  # bytes read without a pause, from which more are expected
PAUSE_US = 2_000  # µs without input after which nothing more is on its way
US_PER_SECOND = 1e6
MAX_DEFERRAL_US = 1_000_000  # µs for which a request may wait for the end of a stream


class InputStream:
    """The bytes that a client sends without a pause.

    The end of a connection is behind all bytes that were sent before. A client that has sent much and closed
    must not have its requests sent on, so those in a long stream wait until it pauses.
    """

    def __init__(self) -> None:
        self._size = 0
        self._read_began_at = 0  # µs; when the current read began to wait, 0 between two reads
        self._deferred_since = 0  # µs; since when requests wait, 0 if none do

    def add(self, size: int) -> None:
        """Count the bytes of one read."""
        if monotonic_us() - self._read_began_at >= PAUSE_US:
            self._end()
        self._size += size
        self._read_began_at = 0

    def defers_requests(self) -> bool:
        """Return whether the requests that are there must wait: the client is probably still sending."""
        if self._size < MIN_STREAM_SIZE:
            return False
        now = monotonic_us()
        self._deferred_since = self._deferred_since or now
        return now - self._deferred_since < MAX_DEFERRAL_US

    def pause(self) -> float | None:
        """Return the seconds for which a read waits until the stream counts as ended; None if it has.

        Called before each wait of a read; the second call for a read means that nothing was received."""
        is_first_wait = not self._read_began_at
        if is_first_wait:
            self._read_began_at = monotonic_us()
        if is_first_wait and self._size >= MIN_STREAM_SIZE:
            return PAUSE_US / US_PER_SECOND
        if not is_first_wait:
            self._end()
        return None

    def _end(self) -> None:
        self._size = self._deferred_since = 0
