"""Retries: the retry budget, and the rules on sending a request again."""

from collections import deque

from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.contract import ClassSettings, DeduplicationScope, Idempotency, Reason
from cypressledge.decisions.deadlines import DEADLINE_MARGIN
from cypressledge.decisions.engines import Engine
from cypressledge.decisions.request import PossibleExecution, Request
from cypressledge.decisions.units import MS

# µs; time before the end of a deduplication window after which no request is sent again. It must exceed the
# time that a send may wait for its connection (Settings.max_send_delay, which the broker sets to 500 ms).
WINDOW_MARGIN = 600 * MS


class RetryBudget:
    """Limits retries in a sliding window to a fixed number plus a ratio of the requests received in it."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._received: deque[int] = deque()  # µs; times of requests received
        self._retries: deque[int] = deque()  # µs; times of retries started

    def record_request(self) -> None:
        """Count a request that was received."""
        if self._context.settings.retry_budget_ratio is not None:
            self._drop_requests_before_window()
            self._received.append(self._context.now)

    def withdraw_request(self, received_at: int) -> None:
        """Uncount a request that was never sent and whose client disconnected.

        Otherwise, clients that withdraw hundreds of requests at once would enlarge the budget.
        """
        if self._received and self._received[0] <= received_at:
            self._received.remove(received_at)

    def record_retry(self) -> None:
        """Count a retry that was started."""
        if self._context.settings.retry_budget_ratio is not None:
            self._retries.append(self._context.now)

    def allows_retry(self) -> bool:
        """Return whether one more retry is within the budget, however long its send is delayed."""
        settings, now = self._context.settings, self._context.now
        if settings.retry_budget_ratio is None:
            return True
        self._drop_requests_before_window()
        _drop_until(self._retries, now - settings.retry_budget_window - self._slack())
        allowed = settings.retry_budget_floor + settings.retry_budget_ratio * len(self._received)
        return len(self._retries) + 1 <= allowed

    def _drop_requests_before_window(self) -> None:
        """Remove the requests that no longer count, with a margin for the delay of a send."""
        window = self._context.settings.retry_budget_window
        _drop_until(self._received, self._context.now - window + self._slack())

    def _slack(self) -> int:
        """Return the time in µs by which a send may be delayed after its decision."""
        settings = self._context.settings
        return settings.timer_resolution + settings.max_send_delay


class RetryPolicy:
    """Decides on retries by the attempts, the time, the retry budget and the idempotency of the class."""

    def __init__(self, context: DecisionContext, budget: RetryBudget) -> None:
        self._context = context
        self._budget = budget

    def reason_against_retry(self, request: Request) -> Reason | None:
        """Return the reason why the request gets no further attempt; None if it gets one."""
        if request.attempts >= self._context.settings.max_attempts:
            return Reason.ATTEMPTS_USED
        if self._context.now + request.run_time > request.deadline - DEADLINE_MARGIN:
            return Reason.NO_TIME
        return self.reason_against_sending(request)

    def reason_against_sending(self, request: Request) -> Reason | None:
        """Return the reason why a retry must not be sent now; None if it may be sent.

        This is checked again when an engine is found, which may be long after the end of the last attempt.
        """
        if not self._budget.allows_retry():
            return Reason.RETRY_BUDGET
        execution = request.first_possible_execution
        return reason_against_repeat(request.class_settings, execution, self._context.now)


def _drop_until(times: deque[int], last: int) -> None:
    """Remove the times up to and including `last`, µs, which are before the window."""
    while times and times[0] <= last:
        times.popleft()


def window_end(class_settings: ClassSettings, execution: PossibleExecution) -> int:
    """Return the time, µs, from which a request with a key that may have been executed is not sent again."""
    return execution.started_at + class_settings.deduplication_window - WINDOW_MARGIN


def reason_against_repeat(
    class_settings: ClassSettings, execution: PossibleExecution | None, now: int
) -> Reason | None:
    """Return the reason why a request must not be sent again at `now`, µs; None if it may be.

    `execution` is the first attempt that may have been executed, None without any.
    """
    if execution is None or class_settings.idempotency is Idempotency.IDEMPOTENT:
        return None
    if class_settings.idempotency is not Idempotency.WITH_KEY:
        return Reason.MAY_HAVE_EXECUTED
    if now < window_end(class_settings, execution):
        return None
    return Reason.DEDUPLICATION_WINDOW_OVER


def deduplicates(class_settings: ClassSettings, first: Engine, engine: Engine) -> bool:
    """Return whether an engine drops a duplicate of a request that the engine `first` may have executed.

    The result is true for all engines if the class has no idempotency key.
    """
    scope = class_settings.deduplication_scope
    if class_settings.idempotency is not Idempotency.WITH_KEY or scope is DeduplicationScope.ALL:
        return True
    if scope is DeduplicationScope.ZONE:
        return engine.zone == first.zone
    return engine.cell == first.cell
