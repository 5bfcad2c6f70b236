"""Inputs of the PI loop that controls the classes' odds: delays of waiting requests, and the references."""

from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.odds import OddsController
from cypressledge.decisions.queues import ClassQueues


class OddsLoop:
    """Updates the odds at the end of each control period."""

    def __init__(
        self, context: DecisionContext, odds: OddsController, queues: ClassQueues, estimates: ClassEstimates
    ) -> None:
        self._context = context
        self._odds = odds
        self._queues = queues
        self._estimates = estimates

    def end_period(self) -> None:
        """Run one period of the loop; include requests that still wait for their first attempt."""
        for request in self._queues.waiting_for_first_attempt():
            self._odds.record_delay(request.class_index, self._context.now - request.received_at)
        self._odds.update(self._estimates.delay_reference, self._context.settings.timer_resolution)
