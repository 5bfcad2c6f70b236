"""Attempts in flight: cancelling one, and moving its request to another engine."""

from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.contract import CancelAttempt, Idempotency, Reason
from cypressledge.decisions.request import Request
from cypressledge.decisions.retries import RetryPolicy

LOW_LATE_PRIORITY_WEIGHT = 0.2  # late priority weight under which late work is not moved


class AttemptControl:
    """Cancels attempts, within the rules on retries."""

    def __init__(self, context: DecisionContext, retry_policy: RetryPolicy) -> None:
        self._context = context
        self._retry_policy = retry_policy

    def cancel(self, request: Request, reason: Reason) -> None:
        """Cancel the request's attempt; its AttemptEnded is still to arrive."""
        request.cancelling = True
        self._context.actions.append(CancelAttempt(request.id, request.last_attempt, reason))

    def may_be_retried(self, request: Request) -> bool:
        """Whether engines can cancel the request's attempt, and another one is allowed."""
        if not self._context.settings.supports_cancel:
            return False
        return self._retry_policy.reason_against_retry(request) is None

    def move(self, request: Request, reason: Reason) -> None:
        """Cancel an attempt to try another engine: idempotent requests only, while time and budget allow."""
        if self.is_late_and_of_low_value(request) or request.cancelling:
            return
        if request.class_settings.idempotency is Idempotency.IDEMPOTENT and self.may_be_retried(request):
            self.cancel(request, reason)

    def is_late_and_of_low_value(self, request: Request) -> bool:
        """Whether a new attempt would miss the latency objective, and late answers have a low weight.

        Guards against spending the retry budget on such work.
        """
        is_late = self._context.now + request.run_time > request.objective_at
        return is_late and request.class_settings.late_priority_weight < LOW_LATE_PRIORITY_WEIGHT
