"""Work that is done at intervals, and the timer that asks for it."""

from collections.abc import Callable, Sequence
from typing import Protocol

from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.contract import StartTimer
from cypressledge.decisions.inspection import INSPECTION_INTERVAL
from cypressledge.decisions.lifecycle import RequestLifecycle
from cypressledge.decisions.pace import CONTROL_PERIOD


class Periodic(Protocol):
    """A part of the decisions that does something at the end of each control period."""

    def end_period(self) -> None:
        """The period ends."""


class Housekeeping:
    """Runs what is due, and asks for a timer while a request is open."""

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
        self._next_period = self._next_inspection = 0  # µs
        self._timer_at = 0  # µs, moment of the timer that was last started

    def start(self) -> None:
        """The first events have come: intervals begin."""
        now = self._context.now
        self._next_period, self._next_inspection = now + CONTROL_PERIOD, now + INSPECTION_INTERVAL

    def run(self) -> None:
        """Do what is due."""
        now = self._context.now
        if now >= self._next_inspection:
            self._next_inspection = now + INSPECTION_INTERVAL
            self.inspect()
        if now >= self._next_period:
            self._next_period = now + CONTROL_PERIOD
            self.end_period()

    def inspect(self) -> None:
        """Look at what runs."""
        for inspect in self._inspections:
            inspect()

    def end_period(self) -> None:
        """Run the PI loop, fade counts and means, and adjust the concurrency bounds."""
        for part in self._periodic:
            part.end_period()

    def schedule_timer(self) -> None:
        """Ask for the next timer; with no request open there is none."""
        if not self._lifecycle.requests:
            return
        now, at = self._context.now, self._next_inspection
        next_moment = self._lifecycle.next_moment()
        if next_moment is not None and next_moment < at:
            at = next_moment
        if self._timer_at <= now or at < self._timer_at:
            self._timer_at = max(at, now + self._context.settings.timer_resolution)
            self._context.actions.append(StartTimer(self._timer_at - now))
