"""The event loop: the only greenlet that calls the decision module.

Socket code reaches the module only through `post`, which returns immediately. The loop passes events to the
module in batches, at most one in each interval of the timer resolution, and executes the module's actions.
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

MAX_IDLE_WAIT_US = 1_000_000  # µs; longest wait without a posted callback or a due timer
US_PER_SECOND = 1e6

ActionHandler = Callable[..., None]


class EventLoop:
    """Runs the decision module: collects events, passes them to the module, and dispatches its actions."""

    def __init__(self, settings: c.Settings, seed: int, counters: Counters) -> None:
        self.settings = settings
        self.manager = WorkloadManager(settings, seed)
        self.timers = TimerQueue()
        self.pending_events: list[c.Event] = []  # events of the module's next batch
        self.decided_at = 0  # µs; time of the module's last batch, which never decreases
        self._counters = counters
        self._inbox: deque[tuple[Callable[..., object], tuple]] = deque()
        self._woken = Event()
        self._action_handlers: dict[type, ActionHandler] = {
            c.StartTimer: self._start_timer,
            c.Subscribe: lambda action: None,  # no effect: the directory is always polled
        }

    # Called by socket code

    def post(self, callback: Callable[..., object], *args: object) -> None:
        """Schedule `callback(*args)` on the loop, to be called before the module's next batch."""
        self._inbox.append((callback, args))
        self._woken.set()

    def now(self) -> int:
        """Return the current time as the module uses it, in µs of the monotonic clock."""
        return monotonic_us()

    def wake(self) -> None:
        """Wake the loop so that it checks its timers now."""
        self._woken.set()

    def is_idle(self) -> bool:
        """Return whether the loop has no posted callbacks to call."""
        return not self._inbox

    def reconfigure(self, settings: c.Settings) -> None:
        """Apply new site settings, which must have the same classes as the current ones.

        Queries are read with the new settings from now on, and the module gets the settings in inbox order. A
        request is therefore never read under one configuration and handled under the other."""
        self.settings = settings
        self.post(self._reconfigure_module, settings)

    # Called while the broker is assembled

    def register_actions(self, handlers: Mapping[type, ActionHandler]) -> None:
        """Register the functions that execute actions of these types."""
        self._action_handlers.update(handlers)

    # The loop itself

    def run(self) -> None:
        """Pass events to the module, one batch in each interval, and execute its actions. Never returns."""
        while True:
            self._wait()
            self.run_once(monotonic_us())

    def run_once(self, now: int) -> None:
        """Run one iteration: posted callbacks, due timers, then the module's batch.

        `now`: µs of the monotonic clock."""
        while self._inbox:
            callback, args = self._inbox.popleft()
            self._call_and_log_errors(callback, *args)
        for callback, argument in self.timers.pop_due(now):
            self._call_and_log_errors(callback, argument)
        self._decide(now)

    def _wait(self) -> None:
        """Wait for a posted callback or a due timer, then for the end of the interval of the last batch."""
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
        """Pass the pending events to the module. `now` may be older than the time of the last batch."""
        self.decided_at = now = max(now, self.decided_at)
        if self.pending_events:
            events, self.pending_events = self.pending_events, []
            for action in self._call_and_log_errors(self.manager.handle, now, events) or ():
                self._call_and_log_errors(self._action_handlers[type(action)], action)

    def _call_and_log_errors(self, callback: Callable, *args: object) -> Any:
        """Call a function; a release build logs and counts an exception instead of raising it.

        A single faulty event must not stop the broker. The ledger still answers the affected requests."""
        try:
            return callback(*args)
        except Exception:
            log(f"event loop: {callback.__name__} failed:\n" + traceback.format_exc())
            self._counters.invariant(False, "exception")
            return None

    def _reconfigure_module(self, settings: c.Settings) -> None:
        self._decide(monotonic_us())  # earlier events are handled under the previous settings
        self.manager.configure(settings)

    def _start_timer(self, action: c.StartTimer) -> None:
        self.timers.schedule(self.decided_at + action.after, self._fire_timer, action.token)

    def _fire_timer(self, token: int) -> None:
        self.pending_events.append(c.TimerFired(token))
