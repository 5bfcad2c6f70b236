"""Work that is done at intervals: inspection, the PI loop, bounds and means; the timer that asks for it."""

from cypressledge.decisions.affinity import Affinity
from cypressledge.decisions.concurrency_limits import ConcurrencyLimits
from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.contract import StartTimer
from cypressledge.decisions.engines import EngineRegistry
from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.inspection import INSPECTION_INTERVAL, Inspection
from cypressledge.decisions.lifecycle import RequestLifecycle
from cypressledge.decisions.odds import OddsController
from cypressledge.decisions.pace import CONTROL_PERIOD, FleetPace
from cypressledge.decisions.queues import ClassQueues


class Housekeeping:
    """Runs what is due, and asks for a timer while a request is open."""

    def __init__(
        self,
        context: DecisionContext,
        registry: EngineRegistry,
        estimates: ClassEstimates,
        odds: OddsController,
        pace: FleetPace,
        affinity: Affinity,
        queues: ClassQueues,
        lifecycle: RequestLifecycle,
        limits: ConcurrencyLimits,
        inspection: Inspection,
    ) -> None:
        self._context = context
        self._registry = registry
        self._estimates = estimates
        self._odds = odds
        self._pace = pace
        self._affinity = affinity
        self._queues = queues
        self._lifecycle = lifecycle
        self._limits = limits
        self._inspection = inspection
        self._next_period = self._next_inspection = 0  # µs
        self._timer_at = 0  # µs, moment of the timer that was last asked for

    def start(self) -> None:
        """The first events have come: intervals begin."""
        now = self._context.now
        self._next_period, self._next_inspection = now + CONTROL_PERIOD, now + INSPECTION_INTERVAL

    def run(self) -> None:
        """Do what is due."""
        now = self._context.now
        if now >= self._next_inspection:
            self._next_inspection = now + INSPECTION_INTERVAL
            self._inspection.run()
        if now >= self._next_period:
            self._next_period = now + CONTROL_PERIOD
            self.update_odds()
            self.end_period()

    def update_odds(self) -> None:
        """One period of the PI loop; requests that still wait for their first attempt count as well."""
        for request in self._queues.waiting_for_first_attempt():
            self._odds.record_delay(request.class_index, self._context.now - request.received_at)
        self._odds.update(self._estimates.delay_reference, self._context.settings.timer_resolution)

    def end_period(self) -> None:
        """Fade counts and means, and adjust the concurrency bounds."""
        self._affinity.end_period()
        self._lifecycle.key_order.end_period()
        self._limits.end_period()
        self._pace.end_period(self._registry.engines.values())

    def ask_for_timer(self) -> None:
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
