"""Cancelling and moving of attempts, and the resources of attempts."""

from dataclasses import replace

import pytest

from cypressledge.decisions.attempt_resources import AttemptResources
from cypressledge.decisions.attempts import AttemptControl
from cypressledge.decisions.contract import CancelAttempt, Idempotency, Reason, SetAttemptResources
from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.retries import RetryBudget, RetryPolicy
from tests.decisions.parts import (
    LOOKUP,
    SECOND,
    START,
    make_context,
    make_registry,
    make_request,
    start_attempt,
)

KEYED = replace(LOOKUP, idempotency=Idempotency.WITH_KEY, deduplication_window=60 * SECOND)
LOAD = replace(LOOKUP, is_load=True)


def make_in_flight(*classes, **changes):
    """Return a context, a request of the first class with an attempt in flight, and its AttemptControl."""
    context = make_context(*classes, **changes)
    request = start_attempt(context, make_request(context), make_registry(context, 1).engines[1])
    return context, request, AttemptControl(context, RetryPolicy(context, RetryBudget(context)))


def test_cancelling_an_attempt_sends_the_action_and_marks_the_request():
    context, request, control = make_in_flight()
    request.attempts = 3
    control.cancel(request, Reason.RUNAWAY)
    assert context.actions == [CancelAttempt(1, 2, Reason.RUNAWAY)]
    assert context.actions[0].reason is Reason.RUNAWAY
    assert request.cancelling


def test_a_moved_attempt_is_cancelled_once():
    context, request, control = make_in_flight()
    control.move(request, Reason.BEHIND_LOAD)
    control.move(request, Reason.BEHIND_LOAD)
    assert len(context.actions) == 1


@pytest.mark.parametrize(
    ("class_settings", "changes"),
    [
        (KEYED, {}),
        (LOOKUP, {"supports_cancel": False}),
        (LOOKUP, {"max_attempts": 1}),
        (LOOKUP, {"retry_budget_ratio": 0.0, "retry_budget_window": SECOND}),
    ],
)
def test_attempts_are_not_moved_against_idempotency_settings_or_budget(class_settings, changes):
    context, request, control = make_in_flight(class_settings, **changes)
    control.move(request, Reason.BEHIND_LOAD)
    assert context.actions == []


@pytest.mark.parametrize(("weight", "moved"), [(0.0, 0), (0.19, 0), (0.2, 1)])
def test_late_requests_of_low_weight_are_not_moved(weight, moved):
    context, request, control = make_in_flight(replace(LOOKUP, late_priority_weight=weight))
    context.now += SECOND - request.run_time + 1
    control.move(request, Reason.BEHIND_LOAD)
    assert len(context.actions) == moved


def make_resources(*classes, mean_run_time=200_000.0, **changes):
    context = make_context(*(classes or (LOOKUP,)), **({"supports_priorities": True} | changes))
    estimates = ClassEstimates(context)
    estimates.mean_run_time = mean_run_time
    return context, AttemptResources(context, estimates)


def priorities(context):
    return [action.priority for action in context.actions]


def test_no_resources_are_set_where_neither_is_supported():
    context, resources = make_resources(supports_priorities=False)
    resources.update(make_request(context))
    assert context.actions == []


def test_short_requests_have_the_highest_priority():
    context, resources = make_resources()
    resources.update(make_request(context, 1, cost=200_000))
    resources.update(make_request(context, 2, cost=200_001))
    assert priorities(context) == [3, 1]


def test_priority_of_long_requests_is_raised_near_the_objective_and_lowered_past_it():
    context, resources = make_resources()
    long = make_request(context, cost=500_000)
    for after in (0, SECOND // 2, 1, SECOND // 2 - 1, 1):
        context.now += after
        resources.update(long)
    assert priorities(context) == [1, 2, 0]  # an action only at each change


def test_priority_of_short_requests_is_lowered_once_they_are_late():
    context, resources = make_resources()
    short = make_request(context, cost=100)
    context.now += SECOND + 1
    resources.update(short)
    assert priorities(context) == [0]


def test_loads_keep_the_highest_priority_when_late():
    context, resources = make_resources(LOAD)
    load = make_request(context, cost=5 * SECOND)
    resources.update(load)
    context.now += 60 * SECOND
    resources.update(load)
    assert priorities(context) == [3]


def test_a_memory_grant_covers_most_requests_and_changes_only_at_a_start():
    context, resources = make_resources(supports_priorities=False, supports_memory_grants=True)
    request = make_request(context, memory_mb=100.0)
    request.sent_at = START
    resources.update(request)
    assert context.actions == [SetAttemptResources(1, 125.0, 1)]
    resources._estimates.grant_ratios[0] = 2.0
    context.now += 1
    resources.update(request)
    assert len(context.actions) == 1
    request.sent_at = context.now
    resources.update(request)
    assert context.actions[1:] == [SetAttemptResources(1, 200.0, 1)]
