"""Detection of lost responses, and handling of progress notifications."""

from dataclasses import replace
from types import SimpleNamespace

import pytest

from cypressledge.decisions.attempts import AttemptControl
from cypressledge.decisions.contract import AttemptProgress, Idempotency, ProgressKind, Reason
from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.lost_responses import LostResponses
from cypressledge.decisions.progress import ProgressNotifications
from cypressledge.decisions.retries import RetryBudget, RetryPolicy
from tests.decisions.parts import LOOKUP, SECOND, make_context, make_registry, make_request, start_attempt

LONG_OBJECTIVE = replace(LOOKUP, latency_objective=4 * SECOND)
INTERVAL = SECOND // 2


class AttemptFixture:
    """One attempt in flight, with the components that check it for a lost response and for progress."""

    def __init__(self, class_settings=LONG_OBJECTIVE, **changes):
        self.context = make_context(class_settings, **({"progress_interval": INTERVAL} | changes))
        self.engine = make_registry(self.context, 1).engines[1]
        self.request = start_attempt(self.context, make_request(self.context), self.engine)
        self.given_up = []
        lifecycle = SimpleNamespace(
            requests={1: self.request},
            give_up=lambda request, reason: self.given_up.append(reason),
        )
        control = AttemptControl(self.context, RetryPolicy(self.context, RetryBudget(self.context)))
        estimates = ClassEstimates(self.context)
        self.losses = LostResponses(self.context, estimates, control, lifecycle)
        self.progress = ProgressNotifications(self.context, estimates, control, lifecycle)

    def check(self, after, engine_is_active=True):
        self.context.now += after
        if engine_is_active:
            self.engine.last_activity_at = self.context.now
        return self.losses.check(self.engine, self.request)

    def notify(self, kind, value, after=0, attempt=0):
        self.context.now += after
        self.progress.received(AttemptProgress(1, attempt, 1, kind, value))

    def cancelled(self):
        return [action.reason for action in self.context.actions]


def test_a_response_is_lost_after_nearly_two_intervals_without_activity():
    in_flight = AttemptFixture()
    assert not in_flight.check(900_000)
    assert in_flight.check(1)
    assert in_flight.cancelled() == [Reason.RESPONSE_LOST]
    assert in_flight.losses.loss_rate == pytest.approx(0.01)


def test_a_lost_response_is_counted_once():
    in_flight = AttemptFixture()
    assert in_flight.check(SECOND)
    in_flight.request.cancelling = False
    assert in_flight.check(SECOND)
    assert in_flight.losses.loss_rate == pytest.approx(0.01)


def test_responses_of_a_silent_engine_are_not_taken_for_lost():
    in_flight = AttemptFixture()
    in_flight.engine.last_activity_at = in_flight.context.now
    assert not in_flight.check(5 * SECOND, engine_is_active=False)


def test_without_progress_notifications_no_response_is_lost():
    assert not AttemptFixture(progress_interval=0).check(60 * SECOND)


@pytest.mark.parametrize("state", ["finished", "cancelling"])
def test_finished_and_cancelled_attempts_are_not_checked(state):
    in_flight = AttemptFixture()
    setattr(in_flight.request, state, True)
    assert not in_flight.check(60 * SECOND)


def test_late_idempotent_requests_of_low_weight_are_given_up():
    in_flight = AttemptFixture(LOOKUP)
    in_flight.check(SECOND)
    assert in_flight.given_up == [Reason.RESPONSE_LOST]
    assert in_flight.cancelled() == []


def test_attempts_with_a_key_are_cancelled_and_not_idempotent_ones_are_kept():
    keyed = replace(LONG_OBJECTIVE, idempotency=Idempotency.WITH_KEY, deduplication_window=60 * SECOND)
    in_flight = AttemptFixture(keyed)
    assert in_flight.check(SECOND)
    assert in_flight.cancelled() == [Reason.RESPONSE_LOST]
    in_flight = AttemptFixture(replace(LONG_OBJECTIVE, idempotency=Idempotency.NOT_IDEMPOTENT))
    assert in_flight.check(SECOND)
    assert in_flight.cancelled() == in_flight.given_up == []


@pytest.mark.parametrize(
    ("rate", "blocked", "moved"), [(0.02, False, 0), (0.021, False, 1), (0.021, True, 0)]
)
def test_at_a_high_loss_rate_overdue_attempts_are_moved(rate, blocked, moved):
    in_flight = AttemptFixture()
    in_flight.losses.loss_rate, in_flight.request.blocked = rate, blocked
    in_flight.check(340_000)  # three times 100 ms, plus 40 ms
    assert in_flight.cancelled() == []
    in_flight.check(1)
    assert len(in_flight.cancelled()) == moved


def test_answers_lower_the_loss_rate():
    in_flight = AttemptFixture()
    in_flight.losses.loss_rate = 0.5
    in_flight.losses.record_answer()
    assert in_flight.losses.loss_rate == pytest.approx(0.495)


def test_a_runaway_is_moved_if_a_new_attempt_would_take_a_third_of_the_remaining_time():
    in_flight = AttemptFixture()
    in_flight.notify(ProgressKind.PROGRESS, 0.1, after=100_000)
    assert in_flight.cancelled() == []  # not older than the expected latency of a new attempt
    in_flight.notify(ProgressKind.PROGRESS, 0.5, after=150_000)
    assert in_flight.cancelled() == []  # 250 ms remain
    in_flight.notify(ProgressKind.PROGRESS, 0.4)
    assert in_flight.cancelled() == [Reason.RUNAWAY]  # 375 ms remain


def test_an_attempt_that_waits_for_a_load_is_moved_and_its_group_blocked():
    in_flight = AttemptFixture()
    in_flight.notify(ProgressKind.WAITING, 1.0)  # waits for memory
    assert in_flight.cancelled() == []
    assert in_flight.request.blocked
    in_flight.notify(ProgressKind.WAITING, 2.0)
    assert in_flight.cancelled() == [Reason.BEHIND_LOAD]
    assert in_flight.engine.blocked_until == {0: in_flight.context.now + 2 * SECOND}


def test_a_notification_records_activity_and_clears_the_blocked_mark():
    in_flight = AttemptFixture()
    in_flight.request.blocked = True
    in_flight.notify(ProgressKind.SPILLING, 12.0, after=SECOND)
    assert in_flight.request.last_activity_at == in_flight.engine.last_activity_at == in_flight.context.now
    assert not in_flight.request.blocked


@pytest.mark.parametrize("state", ["former attempt", "finished", "cancelling", "no attempt"])
def test_notifications_of_finished_attempts_are_ignored(state):
    in_flight = AttemptFixture()
    if state == "former attempt":
        in_flight.request.attempts = 2
    elif state == "no attempt":
        in_flight.request.engine = None
    else:
        setattr(in_flight.request, state, True)
    in_flight.notify(ProgressKind.WAITING, 2.0, after=SECOND)
    assert in_flight.engine.blocked_until == {}
    assert in_flight.engine.last_activity_at == 0
