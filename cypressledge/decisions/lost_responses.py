"""Detection of lost responses of active engines by missing progress notifications."""

from cypressledge.decisions.attempts import AttemptControl
from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.contract import Idempotency, Reason
from cypressledge.decisions.engines import Engine
from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.lifecycle import RequestLifecycle
from cypressledge.decisions.request import Request
from cypressledge.decisions.units import EWMA_WEIGHT, MS

LOST_AFTER_INTERVALS = 1.8  # progress intervals without activity after which a response counts as lost
LOSS_RATE_WEIGHT = EWMA_WEIGHT / 10  # weight of one new response in the loss rate
LOSS_RATE_HIGH = 0.02  # loss rate above which short work is moved as soon as it is overdue
OVERDUE_MULTIPLE = 3.0  # multiple of its expected latency after which a silent attempt is overdue
OVERDUE_MIN = 40 * MS  # µs; added to that multiple


class LostResponses:
    """Detects lost responses and cancels their attempts, as far as idempotency and retry budget allow.

    An active engine sends a progress notification for each of its running attempts at each interval. Without
    detection, an attempt whose response never arrives keeps capacity reserved until the client disconnects.
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
        self.loss_rate = 0.0  # lost responses as a fraction of all responses, running mean

    def record_answer(self) -> None:
        """Lower the loss rate after an answer was received."""
        self.loss_rate -= LOSS_RATE_WEIGHT * self.loss_rate

    def check(self, engine: Engine, request: Request) -> bool:
        """Check the request's attempt in flight; return whether its response is lost.

        An attempt with a lost response is ended. While the loss rate is high, an overdue attempt is moved.
        """
        now, interval = self._context.now, self._context.settings.progress_interval
        engine_is_silent = now - engine.last_activity_at > interval
        if not interval or request.finished or request.cancelling or engine_is_silent:
            return request.response_lost
        silence = now - request.last_activity_at
        if silence > LOST_AFTER_INTERVALS * interval:
            self.loss_rate += LOSS_RATE_WEIGHT * (1.0 - self.loss_rate) * (not request.response_lost)
            request.response_lost = True
            self._end_attempt(request)
        elif self.loss_rate > LOSS_RATE_HIGH and not request.blocked and self._is_overdue(request, silence):
            self._attempts.move(request, Reason.RESPONSE_LOST)
        return request.response_lost

    def _end_attempt(self, request: Request) -> None:
        idempotency = request.class_settings.idempotency
        is_of_low_value = self._attempts.is_late_and_of_low_value(request)
        if idempotency is Idempotency.IDEMPOTENT and is_of_low_value:
            self._lifecycle.give_up(request, Reason.RESPONSE_LOST)
        elif idempotency is not Idempotency.NOT_IDEMPOTENT and self._attempts.may_be_retried(request):
            self._attempts.cancel(request, Reason.RESPONSE_LOST)

    def _is_overdue(self, request: Request, silence: int) -> bool:
        return silence > OVERDUE_MULTIPLE * self._estimates.expected_latency(request) + OVERDUE_MIN
