"""Progress notifications of attempts in flight."""

from cypressledge.decisions.attempts import AttemptControl
from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.contract import WAITS_FOR_LOAD, AttemptProgress, ProgressKind, Reason
from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.lifecycle import RequestLifecycle
from cypressledge.decisions.request import Request
from cypressledge.decisions.units import MS

RUNAWAY_MULTIPLE = 3.0  # of a fresh start's latency: an attempt whose rest is over this is moved
PROGRESS_MIN = 0.01  # least progress that the rest is worked out from
BLOCKED_BELIEF = 2_000 * MS  # a notification of waiting for a load counts against engine and group this long


class ProgressNotifications:
    """Moves attempts that make too little progress, or wait for a load."""

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
        """Take a notification; those of former attempts and of finished requests say nothing."""
        request = self._lifecycle.requests.get(progress.request)
        if request is None or request.finished or request.cancelling or request.engine is None:
            return
        if request.attempts - 1 != progress.attempt:
            return
        now = self._context.now
        request.engine.last_activity_at = request.last_activity_at = now
        request.blocked = progress.kind is ProgressKind.WAITING
        if progress.kind is ProgressKind.PROGRESS:
            if self._is_runaway(request, progress.value):
                self._attempts.move(request, Reason.RUNAWAY)
        elif progress.kind is ProgressKind.WAITING and progress.value == WAITS_FOR_LOAD:
            request.engine.blocked_until[request.table_group] = now + BLOCKED_BELIEF
            self._attempts.move(request, Reason.BEHIND_LOAD)

    def _is_runaway(self, request: Request, progress: float) -> bool:
        """Whether the rest of the attempt would take far longer than a fresh start."""
        age = self._context.now - request.sent_at
        fresh = self._estimates.expected_latency(request)
        rest = age * (1.0 - progress) / max(progress, PROGRESS_MIN)
        return rest > RUNAWAY_MULTIPLE * fresh and age > fresh
