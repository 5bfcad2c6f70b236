"""Calls that socket greenlets pass to the event loop, the only greenlet that accesses the process's state.

The queue is bounded, so that a process that can't keep up reads more slowly from its sockets.
"""

import contextlib
from collections.abc import Callable

import gevent
from gevent.queue import Empty, Full, Queue

from cypressledge.fleet.clock import LeaseClock

MAX_PENDING_CALLS = 512
MAX_CALLS_PER_TURN = 64  # calls made before the socket greenlets run again
MAX_SLEEP_S = 0.2  # seconds; longest sleep of the event loop, because leases change without a message


class InboxFullError(Exception):
    """The queue is full and accepts no further call."""


class Inbox:
    """A bounded queue of calls. The first argument of each call is the current time (µs, on `clock`)."""

    def __init__(self, clock: LeaseClock) -> None:
        self._clock = clock
        self._calls: Queue = Queue(MAX_PENDING_CALLS)

    def put(self, call: Callable[..., None], *arguments: object) -> None:
        """Queue a call; wait while the queue is full."""
        self._calls.put((call, arguments))

    def put_nowait(self, call: Callable[..., None], *arguments: object) -> None:
        """Queue a call without waiting. Raises `InboxFullError`."""
        try:
            self._calls.put_nowait((call, arguments))
        except Full:
            raise InboxFullError(f"inbox is full: {MAX_PENDING_CALLS} calls are pending") from None

    def wake(self) -> None:
        """Wake the event loop, because work is due earlier than it expects."""
        with contextlib.suppress(Full):  # with calls pending, the event loop does not sleep
            self._calls.put_nowait((_do_nothing, ()))

    def run_pending(self, due: int) -> None:
        """Make the queued calls; if there are none, wait for the first one until `due` (µs)."""
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
    """Do nothing; queued by `Inbox.wake` to end the event loop's sleep."""
