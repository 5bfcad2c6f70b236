"""Cancelling and moving attempts, and the resources they get."""

from dataclasses import replace

import pytest

from cypressledge.decisions.attempt_resources import AttemptResources
from cypressledge.decisions.attempts import AttemptControl
from cypressledge.decisions.contract import CancelAttempt, Idempotency, Reason, SetAttemptResources
from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.retries import RetryBudget, RetryPolicy
from tests.decisions.parts import LOOKUP, SECOND, START, context, registry, request, sent

KEYED = replace(LOOKUP, idempotency=Idempotency.WITH_KEY, deduplication_window=60 * SECOND)
LOAD = replace(LOOKUP, is_load=True)


def in_flight(*classes, **changes):
    """An attempt in flight of the first class, with the control over it."""
    ctx = context(*classes, **changes)
    made = sent(ctx, request(ctx), registry(ctx, 1).engines[1])
    return ctx, made, AttemptControl(ctx, RetryPolicy(ctx, RetryBudget(ctx)))


def test_a_cancelled_attempt_is_so_until_its_outcome_comes():
    ctx, made, control = in_flight()
    made.attempts = 3
    control.cancel(made, Reason.RUNAWAY)
    assert ctx.actions == [CancelAttempt(1, 2, Reason.RUNAWAY)]
    assert ctx.actions[0].reason is Reason.RUNAWAY
    assert made.cancelling


def test_a_moved_attempt_is_cancelled_once():
    ctx, made, control = in_flight()
    control.move(made, Reason.BEHIND_LOAD)
    control.move(made, Reason.BEHIND_LOAD)
    assert len(ctx.actions) == 1


@pytest.mark.parametrize(
    ("class_settings", "changes"),
    [
        (KEYED, {}),
        (LOOKUP, {"supports_cancel": False}),
        (LOOKUP, {"max_attempts": 1}),
        (LOOKUP, {"retry_budget_ratio": 0.0, "retry_budget_window": SECOND}),
    ],
)
def test_nothing_is_moved_against_class_site_or_budget(class_settings, changes):
    ctx, made, control = in_flight(class_settings, **changes)
    control.move(made, Reason.BEHIND_LOAD)
    assert ctx.actions == []


@pytest.mark.parametrize(("weight", "moved"), [(0.0, 0), (0.19, 0), (0.2, 1)])
def test_late_work_of_little_weight_is_not_moved(weight, moved):
    ctx, made, control = in_flight(replace(LOOKUP, late_priority_weight=weight))
    ctx.now += SECOND - made.run_time + 1
    control.move(made, Reason.BEHIND_LOAD)
    assert len(ctx.actions) == moved


def resources(*classes, mean_run_time=200_000.0, **changes):
    ctx = context(*(classes or (LOOKUP,)), **({"supports_priorities": True} | changes))
    estimates = ClassEstimates(ctx)
    estimates.mean_run_time = mean_run_time
    return ctx, AttemptResources(ctx, estimates)


def priorities(ctx):
    return [action.priority for action in ctx.actions]


def test_sites_without_either_are_told_nothing():
    ctx, made = resources(supports_priorities=False)
    made.update(request(ctx))
    assert ctx.actions == []


def test_short_work_goes_first():
    ctx, made = resources()
    made.update(request(ctx, 1, cost=200_000))
    made.update(request(ctx, 2, cost=200_001))
    assert priorities(ctx) == [3, 1]


def test_long_work_is_raised_near_its_objective_and_lowered_behind_it():
    ctx, made = resources()
    long = request(ctx, cost=500_000)
    for after in (0, SECOND // 2, 1, SECOND // 2 - 1, 1):
        ctx.now += after
        made.update(long)
    assert priorities(ctx) == [1, 2, 0]  # set where they change


def test_short_work_is_lowered_too_once_it_is_late():
    ctx, made = resources()
    short = request(ctx, cost=100)
    ctx.now += SECOND + 1
    made.update(short)
    assert priorities(ctx) == [0]


def test_loads_go_first_however_late():
    ctx, made = resources(LOAD)
    load = request(ctx, cost=5 * SECOND)
    made.update(load)
    ctx.now += 60 * SECOND
    made.update(load)
    assert priorities(ctx) == [3]


def test_a_grant_covers_what_most_use_and_is_set_anew_only_at_a_start():
    ctx, made = resources(supports_priorities=False, supports_memory_grants=True)
    asked = request(ctx, memory_mb=100.0)
    asked.sent_at = START
    made.update(asked)
    assert ctx.actions == [SetAttemptResources(1, 125.0, 1)]
    made._estimates.grant_ratios[0] = 2.0
    ctx.now += 1
    made.update(asked)
    assert len(ctx.actions) == 1
    asked.sent_at = ctx.now
    made.update(asked)
    assert ctx.actions[1:] == [SetAttemptResources(1, 200.0, 1)]
