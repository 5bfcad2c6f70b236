"""Responses that never come, and attempts that make no progress."""

from dataclasses import replace
from types import SimpleNamespace

import pytest

from cypressledge.decisions.attempts import AttemptControl
from cypressledge.decisions.contract import AttemptProgress, Idempotency, ProgressKind, Reason
from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.lost_responses import LostResponses
from cypressledge.decisions.progress import ProgressNotifications
from cypressledge.decisions.retries import RetryBudget, RetryPolicy
from tests.decisions.parts import LOOKUP, SECOND, context, registry, request, sent

PATIENT = replace(LOOKUP, latency_objective=4 * SECOND)
INTERVAL = SECOND // 2


class InFlight:
    """One attempt in flight, with what watches it."""

    def __init__(self, class_settings=PATIENT, **changes):
        self.context = context(class_settings, **({"progress_interval": INTERVAL} | changes))
        self.engine = registry(self.context, 1).engines[1]
        self.request = sent(self.context, request(self.context), self.engine)
        self.given_up = []
        lifecycle = SimpleNamespace(
            requests={1: self.request},
            give_up=lambda made, reason: self.given_up.append(reason),
        )
        control = AttemptControl(self.context, RetryPolicy(self.context, RetryBudget(self.context)))
        estimates = ClassEstimates(self.context)
        self.losses = LostResponses(self.context, estimates, control, lifecycle)
        self.progress = ProgressNotifications(self.context, estimates, control, lifecycle)

    def check(self, after, engine_speaks=True):
        self.context.now += after
        if engine_speaks:
            self.engine.last_activity_at = self.context.now
        return self.losses.check(self.engine, self.request)

    def notify(self, kind, value, after=0, attempt=0):
        self.context.now += after
        self.progress.received(AttemptProgress(1, attempt, 1, kind, value))

    def cancelled(self):
        return [action.reason for action in self.context.actions]


def test_a_response_is_lost_after_nearly_two_intervals_without_news():
    f = InFlight()
    assert not f.check(900_000)
    assert f.check(1)
    assert f.cancelled() == [Reason.RESPONSE_LOST]
    assert f.losses.loss_rate == pytest.approx(0.01)


def test_it_counts_as_lost_once():
    f = InFlight()
    assert f.check(SECOND)
    f.request.cancelling = False
    assert f.check(SECOND)
    assert f.losses.loss_rate == pytest.approx(0.01)


def test_an_engine_that_is_quiet_itself_loses_nothing():
    f = InFlight()
    f.engine.last_activity_at = f.context.now
    assert not f.check(5 * SECOND, engine_speaks=False)


def test_nothing_is_lost_where_there_are_no_notifications():
    assert not InFlight(progress_interval=0).check(60 * SECOND)


@pytest.mark.parametrize("state", ["finished", "cancelling"])
def test_what_is_over_is_not_looked_for(state):
    f = InFlight()
    setattr(f.request, state, True)
    assert not f.check(60 * SECOND)


def test_late_idempotent_work_of_little_weight_is_given_up():
    f = InFlight(LOOKUP)
    f.check(SECOND)
    assert f.given_up == [Reason.RESPONSE_LOST]
    assert f.cancelled() == []


def test_work_with_a_key_is_cancelled_and_work_that_may_not_be_repeated_is_left():
    keyed = replace(PATIENT, idempotency=Idempotency.WITH_KEY, deduplication_window=60 * SECOND)
    f = InFlight(keyed)
    assert f.check(SECOND)
    assert f.cancelled() == [Reason.RESPONSE_LOST]
    f = InFlight(replace(PATIENT, idempotency=Idempotency.NOT_IDEMPOTENT))
    assert f.check(SECOND)
    assert f.cancelled() == f.given_up == []


@pytest.mark.parametrize(
    ("rate", "blocked", "moved"), [(0.02, False, 0), (0.021, False, 1), (0.021, True, 0)]
)
def test_where_many_are_lost_work_is_moved_as_soon_as_it_is_overdue(rate, blocked, moved):
    f = InFlight()
    f.losses.loss_rate, f.request.blocked = rate, blocked
    f.check(340_000)  # three times 100 ms, and 40
    assert f.cancelled() == []
    f.check(1)
    assert len(f.cancelled()) == moved


def test_answers_lower_the_rate():
    f = InFlight()
    f.losses.loss_rate = 0.5
    f.losses.record_answer()
    assert f.losses.loss_rate == pytest.approx(0.495)


def test_a_runaway_is_moved_once_a_fresh_start_would_take_a_third_of_its_rest():
    f = InFlight()
    f.notify(ProgressKind.PROGRESS, 0.1, after=100_000)
    assert f.cancelled() == []  # not older than a fresh start
    f.notify(ProgressKind.PROGRESS, 0.5, after=150_000)
    assert f.cancelled() == []  # its rest is 250 ms
    f.notify(ProgressKind.PROGRESS, 0.4)
    assert f.cancelled() == [Reason.RUNAWAY]  # 375 ms


def test_an_attempt_behind_a_load_is_moved_and_its_group_kept_off():
    f = InFlight()
    f.notify(ProgressKind.WAITING, 1.0)  # for memory
    assert f.cancelled() == []
    assert f.request.blocked
    f.notify(ProgressKind.WAITING, 2.0)
    assert f.cancelled() == [Reason.BEHIND_LOAD]
    assert f.engine.blocked_until == {0: f.context.now + 2 * SECOND}


def test_news_is_activity_of_attempt_and_engine_and_ends_the_wait():
    f = InFlight()
    f.request.blocked = True
    f.notify(ProgressKind.SPILLING, 12.0, after=SECOND)
    assert f.request.last_activity_at == f.engine.last_activity_at == f.context.now
    assert not f.request.blocked


@pytest.mark.parametrize("what", ["former attempt", "finished", "cancelling", "no attempt"])
def test_notifications_of_what_is_over_say_nothing(what):
    f = InFlight()
    if what == "former attempt":
        f.request.attempts = 2
    elif what == "no attempt":
        f.request.engine = None
    else:
        setattr(f.request, what, True)
    f.notify(ProgressKind.WAITING, 2.0, after=SECOND)
    assert f.engine.blocked_until == {}
    assert f.engine.last_activity_at == 0
