"""Time slices, so that a peer that sends much work at once does not delay the other connections."""

from gevent import get_hub

from cypressledge.clock import monotonic_us

SLICE_US = 500  # µs for which a connection's greenlet works before others run


def let_others_run() -> None:
    """Poll the sockets and run the other greenlets that are ready, without a wait if there are none.

    `sleep(0)` does not poll: the greenlet would continue, many times over, before anything new has been read
    for the others. A timer of 0 seconds fires after the next poll."""
    hub = get_hub()
    with hub.loop.timer(0.0) as timer:
        hub.wait(timer)


class TimeSlice:
    """The slice of one greenlet, which ends it between two small pieces of work."""

    def __init__(self) -> None:
        self._ends_at = 0

    def begin(self) -> None:
        """Begin a slice; called after a wait."""
        self._ends_at = monotonic_us() + SLICE_US

    def end_if_over(self) -> bool:
        """If the slice is used up, let others run and begin the next one; return whether it was."""
        if monotonic_us() < self._ends_at:
            return False
        let_others_run()
        self.begin()
        return True
