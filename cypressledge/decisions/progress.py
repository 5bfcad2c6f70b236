"""Handling of the progress notifications of attempts in flight."""

from cypressledge.decisions.attempts import AttemptControl
from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.contract import WAITS_FOR_LOAD, AttemptProgress, ProgressKind, Reason
from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.lifecycle import RequestLifecycle
from cypressledge.decisions.request import Request
from cypressledge.decisions.units import MS

RUNAWAY_MULTIPLE = 3.0  # multiple of a new attempt's expected latency; one with more time left is moved
PROGRESS_MIN = 0.01  # smallest progress used as a divisor to estimate the remaining time
BLOCKED_BY_LOAD_TTL = 2_000 * MS  # µs; how long a notification marks its group as blocked at its engine


class ProgressNotifications:
    """Moves attempts that make too little progress or wait for a load."""

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

    def received(self, progress: AttemptProgress) -> None:
        """Handle a notification; ignore those of former or cancelled attempts and of finished requests."""
        request = self._lifecycle.requests.get(progress.request)
        if request is None or request.finished or request.cancelling or request.engine is None:
            return
        if request.last_attempt != progress.attempt:
            return
        now = self._context.now
        request.engine.last_activity_at = request.last_activity_at = now
        request.blocked = progress.kind is ProgressKind.WAITING
        if progress.kind is ProgressKind.PROGRESS:
            if self._is_runaway(request, progress.value):
                self._attempts.move(request, Reason.RUNAWAY)
        elif progress.kind is ProgressKind.WAITING and progress.value == WAITS_FOR_LOAD:
            request.engine.blocked_until[request.table_group] = now + BLOCKED_BY_LOAD_TTL
            self._attempts.move(request, Reason.BEHIND_LOAD)

    def _is_runaway(self, request: Request, progress: float) -> bool:
        """Return whether the rest of the attempt would take far longer than a new attempt.

        `progress` is the fraction done.
        """
        age = self._context.now - request.sent_at
        fresh_latency = self._estimates.expected_latency(request)
        remaining = age * (1.0 - progress) / max(progress, PROGRESS_MIN)
        return remaining > RUNAWAY_MULTIPLE * fresh_latency and age > fresh_latency
