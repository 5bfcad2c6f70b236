"""Cancellation of attempts in flight, and moving of their requests to other engines."""

from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.contract import CancelAttempt, Idempotency, Reason
from cypressledge.decisions.request import Request
from cypressledge.decisions.retries import RetryPolicy

LOW_LATE_PRIORITY_WEIGHT = 0.2  # late priority weight below which late requests are not moved


class AttemptControl:
    """Cancels and moves attempts as far as the retry rules allow."""

    def __init__(self, context: DecisionContext, retry_policy: RetryPolicy) -> None:
        self._context = context
        self._retry_policy = retry_policy

    def cancel(self, request: Request, reason: Reason) -> None:
        """Cancel the request's attempt; its AttemptEnded event still follows."""
        request.cancelling = True
        self._context.actions.append(CancelAttempt(request.id, request.last_attempt, reason))

    def may_be_retried(self, request: Request) -> bool:
        """Return whether engines support cancellation and the request may have another attempt."""
        if not self._context.settings.supports_cancel:
            return False
        return self._retry_policy.reason_against_retry(request) is None

    def move(self, request: Request, reason: Reason) -> None:
        """Cancel an attempt so that its request is retried at another engine.

        Only idempotent requests are moved, and only while the time and the retry budget allow a retry.
        """
        if self.is_late_and_of_low_value(request) or request.cancelling:
            return
        if request.class_settings.idempotency is Idempotency.IDEMPOTENT and self.may_be_retried(request):
            self.cancel(request, reason)

    def is_late_and_of_low_value(self, request: Request) -> bool:
        """Return whether a new attempt would miss the latency objective and late answers have a low weight.

        The retry budget is not spent on such requests.
        """
        is_late = self._context.now + request.run_time > request.objective_at
        return is_late and request.class_settings.late_priority_weight < LOW_LATE_PRIORITY_WEIGHT
