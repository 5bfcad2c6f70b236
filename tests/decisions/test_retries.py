"""Retry budget, and the rules on when a request may be sent again."""

import pytest

from cypressledge.broker.requests import MAX_SEND_DELAY
from cypressledge.decisions.contract import ClassSettings, DeduplicationScope, Idempotency, Reason
from cypressledge.decisions.request import PossibleExecution
from cypressledge.decisions.retries import (
    WINDOW_MARGIN,
    RetryBudget,
    RetryPolicy,
    deduplicates,
    reason_against_repeat,
    window_end,
)
from tests.decisions.parts import SECOND, START, list_entry, make_context, make_registry, make_request

EXECUTION = PossibleExecution(START, engine=None)  # the time rules don't use the engine
UNSAFE = ClassSettings(latency_objective=SECOND, deadline=5 * SECOND, idempotency=Idempotency.NOT_IDEMPOTENT)


def keyed(scope=DeduplicationScope.ALL, window=5 * SECOND):
    return ClassSettings(
        latency_objective=SECOND,
        deadline=5 * SECOND,
        idempotency=Idempotency.WITH_KEY,
        deduplication_scope=scope,
        deduplication_window=window,
    )


def make_budget(floor=1.0, ratio=0.5, window=10 * SECOND, delay=0):
    context = make_context(
        retry_budget_ratio=ratio,
        retry_budget_floor=floor,
        retry_budget_window=window,
        max_send_delay=delay,
    )
    return context, RetryBudget(context)


def test_without_a_budget_all_retries_are_allowed():
    context = make_context()
    budget = RetryBudget(context)
    for _ in range(1_000):
        budget.record_retry()
    assert budget.allows_retry()


def test_the_floor_and_a_part_of_the_requests_are_allowed():
    _, budget = make_budget()
    assert budget.allows_retry()  # the floor
    budget.record_retry()
    assert not budget.allows_retry()
    budget.record_request()
    assert not budget.allows_retry()  # 2 retries, 1.5 allowed
    budget.record_request()
    assert budget.allows_retry()  # 2 retries, 2 allowed


def test_requests_leave_the_window_early_and_retries_late():
    """The margin is the timer resolution plus the longest send delay, so the budget holds at the send."""
    context, budget = make_budget(floor=0.0, ratio=1.0, delay=500_000)
    budget.record_request()
    context.now = START + 10 * SECOND - 505_000 - 1
    assert budget.allows_retry()
    context.now += 1
    assert not budget.allows_retry()
    context, budget = make_budget(floor=1.0, ratio=0.0, delay=500_000)
    budget.record_retry()
    context.now = START + 10 * SECOND + 505_000 - 1
    assert not budget.allows_retry()
    context.now += 1
    assert budget.allows_retry()


def test_a_withdrawn_request_allows_no_retry():
    _, budget = make_budget(floor=0.0, ratio=1.0)
    budget.record_request()
    assert budget.allows_retry()
    budget.withdraw_request(START)
    assert not budget.allows_retry()


@pytest.mark.parametrize(
    ("attempts", "after", "reason"),
    [(1, 0, None), (4, 0, Reason.ATTEMPTS_USED), (1, 5 * SECOND - 130_000 + 1, Reason.NO_TIME)],
)
def test_attempts_and_time_limit_retries(attempts, after, reason):
    context = make_context()
    request = make_request(context)
    request.attempts = attempts
    context.now += after
    assert RetryPolicy(context, RetryBudget(context)).reason_against_retry(request) is reason


def test_the_budget_limits_retries():
    context, budget = make_budget(floor=0.0)
    assert RetryPolicy(context, budget).reason_against_sending(make_request(context)) is Reason.RETRY_BUDGET


def test_a_request_that_was_never_executed_may_be_sent_again_in_any_class():
    for class_settings in (UNSAFE, keyed()):
        assert reason_against_repeat(class_settings, None, START) is None


def test_a_request_that_may_have_executed_is_sent_again_only_if_idempotent():
    assert reason_against_repeat(ClassSettings(SECOND, SECOND), EXECUTION, START + 99 * SECOND) is None
    assert reason_against_repeat(UNSAFE, EXECUTION, START) is Reason.MAY_HAVE_EXECUTED


def test_with_a_key_retries_are_allowed_until_the_margin_before_the_windows_end():
    end = START + 5 * SECOND - 600_000
    assert window_end(keyed(), EXECUTION) == end
    assert reason_against_repeat(keyed(), EXECUTION, end - 1) is None
    assert reason_against_repeat(keyed(), EXECUTION, end) is Reason.DEDUPLICATION_WINDOW_OVER


def test_the_margin_covers_the_longest_wait_of_a_send():
    assert WINDOW_MARGIN > MAX_SEND_DELAY


@pytest.mark.parametrize(
    ("scope", "dropped_at"),
    [
        (DeduplicationScope.ALL, {1, 2, 3}),
        (DeduplicationScope.ZONE, {1, 2}),
        (DeduplicationScope.CELL, {1, 3}),
    ],
)
def test_duplicates_are_dropped_within_the_deduplication_scope(scope, dropped_at):
    engines = make_registry(
        make_context(), list_entry(1), list_entry(2, cell=1), list_entry(3, zone=1)
    ).engines
    dropping = {n for n, engine in engines.items() if deduplicates(keyed(scope), engines[1], engine)}
    assert dropping == dropped_at
