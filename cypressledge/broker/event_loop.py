"""The event loop: the one greenlet that owns the decision module.

Socket code reaches the module only through `post`, which returns at once. The loop hands the module its
events in batches, at most one for each interval of the timer resolution, and carries out its actions.
"""

import traceback
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from gevent import sleep
from gevent.event import Event

from cypressledge.broker.metrics import Counters, log
from cypressledge.broker.timers import TimerQueue
from cypressledge.clock import monotonic_us
from cypressledge.decisions import contract as c
from cypressledge.decisions.manager import WorkloadManager

MAX_IDLE_WAIT_US = 1_000_000  # the loop looks at its clock so often even if nothing happens
US_PER_SECOND = 1e6

ActionHandler = Callable[..., None]


class EventLoop:
    """Runs the decision module: collects its events, calls it, and dispatches its actions."""

    def __init__(self, settings: c.Settings, seed: int, counters: Counters) -> None:
        self.settings = settings
        self.manager = WorkloadManager(settings, seed)
        self.timers = TimerQueue()
        self.pending_events: list[c.Event] = []  # for the module's next batch
        self.decided_at = 0  # µs of the module's last batch; its time never goes back
        self._counters = counters
        self._inbox: deque[tuple[Callable[..., object], tuple]] = deque()
        self._woken = Event()
        self._action_handlers: dict[type, ActionHandler] = {
            c.StartTimer: self._start_timer,
            c.Subscribe: lambda action: None,  # the directory is polled in any case
        }

    # Called by socket code

    def post(self, callback: Callable[..., object], *args: object) -> None:
        """Have the loop call `callback(*args)` before the module's next batch."""
        self._inbox.append((callback, args))
        self._woken.set()

    def now(self) -> int:
        """The module's time, µs of the monotonic clock."""
        return monotonic_us()

    def wake(self) -> None:
        """Have the loop look at its clock now."""
        self._woken.set()

    def is_idle(self) -> bool:
        """Whether nothing that was posted waits for the loop."""
        return not self._inbox

    def reconfigure(self, settings: c.Settings) -> None:
        """Take new site settings; their classes are the same.

        Guards against a request that was read under one configuration being handled under the other: queries
        are read by the new one from here on, and the module takes it in the same turn of the inbox."""
        self.settings = settings
        self.post(self._reconfigure_module, settings)

    # Called at assembly

    def register_actions(self, handlers: Mapping[type, ActionHandler]) -> None:
        """Have actions of these types carried out by these functions."""
        self._action_handlers.update(handlers)

    # The owner of the module

    def run(self) -> None:
        """Hand the module what came in, one batch each interval, and carry out its actions. Never returns."""
        while True:
            self._wait()
            self.run_once(monotonic_us())

    def run_once(self, now: int) -> None:
        """One turn: what was posted, the timers that are due, and the module's batch. `now`: µs."""
        while self._inbox:
            callback, args = self._inbox.popleft()
            self._call_and_log_errors(callback, *args)
        for callback, argument in self.timers.pop_due(now):
            self._call_and_log_errors(callback, argument)
        self._decide(now)

    def _wait(self) -> None:
        """Wait for a message or a timer, and out the interval that began with the last batch."""
        self._woken.clear()
        if not self._inbox:
            next_due = self.timers.next_due()
            wait = MAX_IDLE_WAIT_US if next_due is None else next_due - monotonic_us()
            if wait > 0:
                self._woken.wait(wait / US_PER_SECOND)
        resolution = self.settings.timer_resolution
        pause = self.decided_at + resolution - monotonic_us()
        sleep(min(max(pause, 0), resolution) / US_PER_SECOND)

    def _decide(self, now: int) -> None:
        """Hand the module its events. `now` may have been read before the last batch was decided."""
        self.decided_at = now = max(now, self.decided_at)
        if self.pending_events:
            events, self.pending_events = self.pending_events, []
            for action in self._call_and_log_errors(self.manager.handle, now, events) or ():
                self._call_and_log_errors(self._action_handlers[type(action)], action)

    def _call_and_log_errors(self, callback: Callable, *args: object) -> Any:
        """Guards against one odd event stopping all service: the ledger answers what was lost by it."""
        try:
            return callback(*args)
        except Exception:
            log(f"event loop: {callback.__name__} failed:\n" + traceback.format_exc())
            self._counters.invariant(False, "exception")
            return None

    def _reconfigure_module(self, settings: c.Settings) -> None:
        self._decide(monotonic_us())  # what has come before belongs to the settings before
        self.manager.configure(settings)

    def _start_timer(self, action: c.StartTimer) -> None:
        self.timers.schedule(self.decided_at + action.after, self._fire_timer, action.token)

    def _fire_timer(self, token: int) -> None:
        self.pending_events.append(c.TimerFired(token))
