"""Responses that never come although their engine speaks: found by missing progress notifications."""

from cypressledge.decisions.attempts import AttemptControl
from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.contract import Idempotency, Reason
from cypressledge.decisions.engines import Engine
from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.lifecycle import RequestLifecycle
from cypressledge.decisions.request import Request
from cypressledge.decisions.units import EWMA_WEIGHT, MS

LOST_AFTER_INTERVALS = 1.8  # progress intervals without news of an attempt, from which its response is lost
LOSS_RATE_WEIGHT = EWMA_WEIGHT / 10  # weight of one new response in the loss rate
LOSS_RATE_HIGH = 0.02  # part of responses lost, from which short work is moved as soon as it is overdue
OVERDUE_MULTIPLE = 3.0  # of the expected latency: silence from which work is overdue, with
OVERDUE_MIN = 40 * MS  # this beyond it


class LostResponses:
    """Finds lost responses and cancels their attempts, as far as class and budget allow.

    Guards against responses that never come, which hold capacity until the client leaves: an engine that
    speaks notifies of all it runs at each interval.
    """

    def __init__(
        self,
        context: DecisionContext,
        estimates: ClassEstimates,
        attempts: AttemptControl,
        lifecycle: RequestLifecycle,
    ) -> None:
        self._context = context
        self._estimates = estimates
        self._attempts = attempts
        self._lifecycle = lifecycle
        self.loss_rate = 0.0  # lost responses as a part of all, running mean

    def record_answer(self) -> None:
        """An answer came."""
        self.loss_rate -= LOSS_RATE_WEIGHT * self.loss_rate

    def check(self, engine: Engine, request: Request) -> bool:
        """Whether the response to the request's attempt is lost."""
        now, interval = self._context.now, self._context.settings.progress_interval
        engine_is_quiet = now - engine.last_activity_at > interval
        if not interval or request.finished or request.cancelling or engine_is_quiet:
            return request.response_lost
        quiet = now - request.last_activity_at
        if quiet > LOST_AFTER_INTERVALS * interval:
            self.loss_rate += LOSS_RATE_WEIGHT * (1.0 - self.loss_rate) * (not request.response_lost)
            request.response_lost = True
            self._end_attempt(request)
        elif self.loss_rate > LOSS_RATE_HIGH and not request.blocked and self._is_overdue(request, quiet):
            self._attempts.move(request, Reason.RESPONSE_LOST)
        return request.response_lost

    def _end_attempt(self, request: Request) -> None:
        idempotency = request.class_settings.idempotency
        is_of_low_value = self._attempts.is_late_and_of_low_value(request)
        if idempotency is Idempotency.IDEMPOTENT and is_of_low_value:
            self._lifecycle.give_up(request, Reason.RESPONSE_LOST)
        elif idempotency is not Idempotency.NOT_IDEMPOTENT and self._attempts.may_be_retried(request):
            self._attempts.cancel(request, Reason.RESPONSE_LOST)

    def _is_overdue(self, request: Request, quiet: int) -> bool:
        return quiet > OVERDUE_MULTIPLE * self._estimates.expected_latency(request) + OVERDUE_MIN
