"""The decision module's rules on further attempts: the retry budget, and the window of keyed requests.

Free of I/O and told the time, µs. Used by cypressledge/control.py.
"""

from collections import deque

from cypressledge.decisions.contract import ClassSettings, DeduplicationScope, Idempotency, Reason, Settings

WINDOW_MARGIN = 600_000  # µs before a repeat's window ends: a send may wait 500 ms for its connection


class RetryBudget:
    """Further attempts allowed over a sliding window: so many, and a part of the requests taken in it."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.taken: deque[int] = deque()
        self.further: deque[int] = deque()

    def take(self, now: int) -> None:
        """A request was taken."""
        if self.settings.retry_budget_ratio is not None:
            self.taken.append(now)

    def take_back(self, at: int) -> None:
        """A request taken at that moment was never sent, and its client has left: it buys no attempt.

        Guards against clients that take back hundreds at once."""
        if self.taken and self.taken[0] <= at:
            self.taken.remove(at)

    def spend(self, now: int) -> None:
        """A further attempt was made."""
        if self.settings.retry_budget_ratio is not None:
            self.further.append(now)

    def allows(self, now: int) -> bool:
        """Whether one more attempt keeps within the budget, whenever it leaves."""
        s = self.settings
        if s.retry_budget_ratio is None:
            return True
        slack = s.timer_resolution + s.max_send_delay
        _forget_until(self.taken, now - s.retry_budget_window + slack)
        _forget_until(self.further, now - s.retry_budget_window - slack)
        return len(self.further) + 1 <= s.retry_budget_floor + s.retry_budget_ratio * len(self.taken)


def _forget_until(moments: deque[int], last: int) -> None:
    while moments and moments[0] <= last:
        moments.popleft()


def window_end(spec: ClassSettings, maybe_ran_at: int) -> int:
    """The last moment at which a keyed request that may have run since then is handed to an engine again."""
    return maybe_ran_at + spec.deduplication_window - WINDOW_MARGIN


def repeat_bar(spec: ClassSettings, maybe_ran_at: int | None, now: int) -> Reason | None:
    """What keeps a request that may have run since a moment (None: it surely never ran) from being sent again
    now; None where nothing does."""
    if maybe_ran_at is None or spec.idempotency is Idempotency.IDEMPOTENT:
        return None
    if spec.idempotency is not Idempotency.WITH_KEY:
        return Reason.MAY_HAVE_EXECUTED
    return None if now < window_end(spec, maybe_ran_at) else Reason.DEDUPLICATION_WINDOW_OVER


def drops_repeats_of(spec: ClassSettings, first, engine) -> bool:
    """Whether an engine drops the repeat of a request that may have run at the first one; for classes of
    other effects no engine is ruled out. Both are what the module knows of an engine: its zone and cell."""
    if spec.idempotency is not Idempotency.WITH_KEY or spec.deduplication_scope is DeduplicationScope.ALL:
        return True
    return (
        engine.zone == first.zone
        if spec.deduplication_scope is DeduplicationScope.ZONE
        else engine.cell == first.cell
    )
