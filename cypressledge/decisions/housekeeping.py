"""Periodic tasks of the decision logic and the timer that runs them."""

from collections.abc import Callable, Sequence
from typing import Protocol

from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.contract import StartTimer
from cypressledge.decisions.inspection import INSPECTION_INTERVAL
from cypressledge.decisions.lifecycle import RequestLifecycle
from cypressledge.decisions.pace import CONTROL_PERIOD


class Periodic(Protocol):
    """A component of the decision logic that is updated at the end of each control period."""

    def end_period(self) -> None:
        """Update the component at the end of a control period."""


class Housekeeping:
    """Runs inspections and ends control periods when due; keeps a timer running while a request is open."""

    def __init__(
        self,
        context: DecisionContext,
        lifecycle: RequestLifecycle,
        inspections: Sequence[Callable[[], None]],
        periodic: Sequence[Periodic],
    ) -> None:
        self._context = context
        self._lifecycle = lifecycle
        self._inspections = inspections
        self._periodic = periodic
        self._next_period = self._next_inspection = 0  # µs; when each is due
        self._timer_at = 0  # µs; when the timer that was started last fires

    def start(self) -> None:
        """Start the intervals when the first events are handled."""
        now = self._context.now
        self._next_period, self._next_inspection = now + CONTROL_PERIOD, now + INSPECTION_INTERVAL

    def run(self) -> None:
        """Run the inspections and end the control period if they are due."""
        now = self._context.now
        if now >= self._next_inspection:
            self._next_inspection = now + INSPECTION_INTERVAL
            self.inspect()
        if now >= self._next_period:
            self._next_period = now + CONTROL_PERIOD
            self.end_period()

    def inspect(self) -> None:
        """Run the inspections of the attempts in flight."""
        for inspect in self._inspections:
            inspect()

    def end_period(self) -> None:
        """Run the PI loop, decay counts and sums, and adjust the concurrency bounds."""
        for component in self._periodic:
            component.end_period()

    def schedule_timer(self) -> None:
        """Start a timer for the next due time, unless an earlier one is running or no request is open."""
        if not self._lifecycle.requests:
            return
        now, due_at = self._context.now, self._next_inspection
        next_due_at = self._lifecycle.next_due_at()
        if next_due_at is not None and next_due_at < due_at:
            due_at = next_due_at
        if self._timer_at <= now or due_at < self._timer_at:
            self._timer_at = max(due_at, now + self._context.settings.timer_resolution)
            self._context.actions.append(StartTimer(self._timer_at - now))
