"""Retries execute no request twice: idempotency, deduplication scope and window, one attempt at a time."""

import dataclasses

import pytest

from cypressledge.decisions.contract import (
    DeduplicationScope,
    FailRequest,
    Outcome,
    RejectRequest,
    StartAttempt,
)
from tests.decisions.manager_driver import (
    LOOKUP,
    NOT_IDEMPOTENT,
    SECOND,
    ManagerDriver,
    actions_of,
    cancellations,
    entry,
    final_answers,
    run_with_silent_engine,
    settings,
    with_key,
)


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED])
def test_a_not_idempotent_request_that_may_have_executed_fails(outcome):
    driver = ManagerDriver(settings(NOT_IDEMPOTENT))
    driver.arrive(1)
    actions = driver.end(1, outcome)
    assert final_answers(actions) == [FailRequest(1)]
    assert not actions_of(StartAttempt, actions)


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED])
def test_a_not_idempotent_request_that_never_executed_is_retried(outcome):
    driver = ManagerDriver(settings(NOT_IDEMPOTENT))
    driver.arrive(1)
    assert actions_of(StartAttempt, driver.end(1, outcome))


def test_a_not_idempotent_request_fails_after_a_rejection_and_a_reset():
    driver = ManagerDriver(settings(NOT_IDEMPOTENT))
    driver.arrive(1)
    driver.end(1, Outcome.REJECTED)
    assert final_answers(driver.end(1, Outcome.RESET)) == [FailRequest(1)]


def test_a_not_idempotent_request_in_flight_fails_at_its_deadline_uncancelled():
    driver = ManagerDriver(settings(NOT_IDEMPOTENT))
    driver.arrive(1, time_limit=SECOND)
    actions = driver.run(SECOND)
    assert final_answers(actions) == [FailRequest(1)]
    assert not cancellations(actions)


def test_a_request_with_a_key_is_retried_only_within_its_deduplication_scope():
    for request in range(20):
        zones = [entry(i, zone=i % 2) for i in range(1, 7)]
        driver = ManagerDriver(settings(with_key(DeduplicationScope.ZONE)), entries=zones, seed=request)
        driver.arrive(request)
        first = driver.engine_of(request)
        driver.end(request, Outcome.RESET)
        again = driver.sends[-1].engine
        assert len(driver.sends) == 2
        assert again != first
        assert again % 2 == first % 2


def test_a_request_with_a_key_fails_outside_its_deduplication_window():
    driver = ManagerDriver(settings(with_key(DeduplicationScope.CELL)))
    driver.arrive(1)
    actions = driver.end(1, Outcome.RESET, after=5 * SECOND)
    assert final_answers(actions) == [FailRequest(1)]
    assert not actions_of(StartAttempt, actions)


def test_a_request_with_a_key_is_not_retried_if_the_send_may_be_after_its_window():
    """A transport may delay a send by up to 0.5 s while it waits for its connection."""
    for window, again in ((SECOND // 2, 0), (SECOND, 1)):
        driver = ManagerDriver(
            settings(dataclasses.replace(with_key(DeduplicationScope.ALL), deduplication_window=window))
        )
        driver.arrive(1)
        actions = driver.end(1, Outcome.RESET, after=SECOND // 10)
        assert len(actions_of(StartAttempt, actions)) == again


def test_a_request_with_a_key_is_not_queued_beyond_its_window():
    """A retry that waits for an engine must not be sent if one becomes free only after the window."""
    driver = ManagerDriver(
        settings(
            dataclasses.replace(
                with_key(DeduplicationScope.ALL), latency_objective=15 * SECOND, deduplication_window=SECOND
            )
        ),
        engines=1,
    )
    for request in range(30):
        driver.arrive(request)
    first = driver.sends[0].request
    actions = driver.end(first, Outcome.RESET, after=SECOND // 10)  # the next queued request is sent instead
    assert not final_answers(actions)
    assert RejectRequest(first) in driver.run(SECOND)
    for number in range(1, 30):  # engines become free
        if number < len(driver.sends):
            driver.end(driver.sends[number].request, after=SECOND // 20)
    assert [s.request for s in driver.sends].count(first) == 1
    assert len(driver.sends) == 30


def test_a_request_never_has_two_attempts_in_flight():
    """A cancelled attempt is in flight until its AttemptEnded arrives; only then may a retry start."""
    driver = ManagerDriver(settings(dataclasses.replace(LOOKUP, latency_objective=4 * SECOND)))
    run_with_silent_engine(driver)
    moved = {a.request for a in cancellations(driver.actions)}
    assert moved
    again = [s.request for s in driver.sends if s.request in moved]
    assert len(again) == len(moved)
    for request in moved:
        driver.end(request, Outcome.CANCELLED)
    assert len([s for s in driver.sends if s.request in moved]) == 2 * len(moved)
