"""Calls that the greenlets of sockets hand to the one greenlet that owns a control process's state.

The queue has a bound: a process that can't keep up reads more slowly from its sockets.
"""

import contextlib
from collections.abc import Callable

import gevent
from gevent.queue import Empty, Full, Queue

from cypressledge.fleet.clock import LeaseClock

MAX_PENDING_CALLS = 512
MAX_CALLS_PER_TURN = 64  # made before the sockets' greenlets have their turn
MAX_SLEEP_S = 0.2  # that the owner sleeps at the most: leases move without a message


class InboxFullError(Exception):
    """No further call is taken now."""


class Inbox:
    """A bounded queue of calls. Each call gets the current time (µs, on `clock`) as its first argument."""

    def __init__(self, clock: LeaseClock) -> None:
        self._clock = clock
        self._calls: Queue = Queue(MAX_PENDING_CALLS)

    def put(self, call: Callable[..., None], *arguments: object) -> None:
        """Hand over a call; waits while the queue is full."""
        self._calls.put((call, arguments))

    def put_nowait(self, call: Callable[..., None], *arguments: object) -> None:
        """Hand over a call. Raises `InboxFullError`."""
        try:
            self._calls.put_nowait((call, arguments))
        except Full:
            raise InboxFullError("the owner is busy") from None

    def wake(self) -> None:
        """Wake the owner: something is due that it does not know of."""
        with contextlib.suppress(Full):  # it is awake then
            self._calls.put_nowait((_do_nothing, ()))

    def run_pending(self, due: int) -> None:
        """Make the calls that are queued, or the first to come before `due` (µs)."""
        wait = min((due - self._clock.now()) / 1e6 / self._clock.rate, MAX_SLEEP_S)
        try:
            for _ in range(MAX_CALLS_PER_TURN):
                call, arguments = self._calls.get(block=wait > 0, timeout=wait if wait > 0 else None)
                call(self._clock.now(), *arguments)
                wait = 0
        except Empty:
            pass
        gevent.sleep(0)


def _do_nothing(now: int) -> None:
    """The call that only wakes the owner."""
