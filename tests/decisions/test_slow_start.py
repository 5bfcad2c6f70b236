"""Budgets of engines that warm up."""

import pytest

from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.slow_start import SlowStart
from tests.decisions.parts import LOOKUP, SECOND, START, context, entry, registry, request

SITE = {
    "slow_start_window": 10 * SECOND,
    "slow_start_capacity": 0.3,
    "overload_multiple": 2.0,
    "overload_window": 2 * SECOND,
}
BUDGET = 2.0 * 0.3 * 8 * 2 * SECOND * 0.6  # µs of work in a window, of 8 cores


def warming(work=0.0, **changes):
    ctx = context(LOOKUP, **(SITE | changes))
    estimates = ClassEstimates(ctx)
    estimates.work[0], estimates.has_cost_estimates = work, True
    engine = registry(ctx, entry(1, started_at=START - SECOND)).engines[1]
    return ctx, estimates, SlowStart(ctx, estimates), engine


def sends_until_full(ctx, slow_start, engine):
    sends = 0
    while slow_start.has_budget(engine, 0) and sends < 10_000:
        slow_start.record_send(engine, request(ctx, sends))
        sends += 1
    return sends


def test_a_warm_engine_has_no_budget():
    ctx, _, slow_start, engine = warming(work=10 * BUDGET)
    assert not slow_start.has_budget(engine, 0)
    ctx.now = engine.warm_at
    assert slow_start.has_budget(engine, 0)


def test_work_of_a_window_stays_within_the_budget():
    work = BUDGET / 4
    ctx, _, slow_start, engine = warming(work=work)
    assert sends_until_full(ctx, slow_start, engine) == 4


def test_the_budget_is_shared_between_brokers():
    work = BUDGET / 4
    ctx, _, slow_start, engine = warming(work=work, broker_count=2)
    assert sends_until_full(ctx, slow_start, engine) == 2


def test_sends_leave_the_window():
    ctx, _, slow_start, engine = warming(work=BUDGET / 2)
    assert sends_until_full(ctx, slow_start, engine) == 2
    ctx.now += 2 * SECOND + 5_000
    assert not slow_start.has_budget(engine, 0)
    ctx.now += 1
    assert slow_start.has_budget(engine, 0)
    assert engine.recent_work == 0.0
    assert not engine.recent_sends


def test_small_work_is_sent_by_a_chance_that_adds_up_to_the_budget():
    """Over all brokers: each has a share of less than a request."""
    sends = 0
    for broker in range(400):
        ctx, _, slow_start, engine = warming(work=BUDGET / 100, broker_index=broker, broker_count=400)
        sends += sends_until_full(ctx, slow_start, engine)
    assert 60 <= sends <= 140


@pytest.mark.parametrize(("answers", "allowed"), [(0, 1), (8, 10_000)])
def test_unknown_work_counts_as_what_its_objective_allows(answers, allowed):
    """Without estimates: BUDGET holds 11 seconds and a half of it, a share of five brokers two and a bit."""
    ctx, estimates, slow_start, engine = warming(broker_count=9)
    estimates.has_cost_estimates, estimates.answer_counts = False, [answers]
    assert sends_until_full(ctx, slow_start, engine) in range(allowed - 1, allowed + 2)


def test_an_ejected_engine_has_a_budget_however_warm():
    ctx, _, slow_start, engine = warming(work=10 * BUDGET)
    ctx.now = engine.warm_at
    engine.ejected = True
    assert not slow_start.has_budget(engine, 0)


def test_a_restart_begins_the_slow_start_anew():
    ctx, _, slow_start, engine = warming()
    ctx.now = engine.warm_at
    slow_start.restart(engine)
    assert engine.warm_at == ctx.now + 10 * SECOND


def test_only_so_many_sends_are_remembered():
    ctx, estimates, slow_start, engine = warming(work=1.0)
    for number in range(500):
        slow_start.record_send(engine, request(ctx, number))
    assert len(engine.recent_sends) == 400
    assert engine.recent_work == pytest.approx(400.0)
