"""Budgets of engines that are warming up."""

import pytest

from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.slow_start import SlowStart
from tests.decisions.parts import LOOKUP, SECOND, START, list_entry, make_context, make_registry, make_request

SLOW_START_SETTINGS = {
    "slow_start_window": 10 * SECOND,
    "slow_start_capacity": 0.3,
    "overload_multiple": 2.0,
    "overload_window": 2 * SECOND,
}
BUDGET = 2.0 * 0.3 * 8 * 2 * SECOND * 0.6  # µs; work in a window for 8 cores


def make_slow_start(work=0.0, **changes):
    context = make_context(LOOKUP, **(SLOW_START_SETTINGS | changes))
    estimates = ClassEstimates(context)
    estimates.work[0], estimates.has_cost_estimates = work, True
    engine = make_registry(context, list_entry(1, started_at=START - SECOND)).engines[1]
    return context, estimates, SlowStart(context, estimates), engine


def sends_until_full(context, slow_start, engine):
    sends = 0
    while slow_start.has_budget(engine, 0) and sends < 10_000:
        slow_start.record_send(engine, make_request(context, sends))
        sends += 1
    return sends


def test_the_budget_limits_an_engine_until_it_is_warm():
    context, _, slow_start, engine = make_slow_start(work=10 * BUDGET)
    assert not slow_start.has_budget(engine, 0)
    context.now = engine.warm_at
    assert slow_start.has_budget(engine, 0)


def test_work_of_a_window_stays_within_the_budget():
    work = BUDGET / 4
    context, _, slow_start, engine = make_slow_start(work=work)
    assert sends_until_full(context, slow_start, engine) == 4


def test_the_budget_is_shared_between_brokers():
    work = BUDGET / 4
    context, _, slow_start, engine = make_slow_start(work=work, broker_count=2)
    assert sends_until_full(context, slow_start, engine) == 2


def test_sends_leave_the_window():
    context, _, slow_start, engine = make_slow_start(work=BUDGET / 2)
    assert sends_until_full(context, slow_start, engine) == 2
    context.now += 2 * SECOND + 5_000
    assert not slow_start.has_budget(engine, 0)
    context.now += 1
    assert slow_start.has_budget(engine, 0)
    assert engine.recent_work == 0.0
    assert not engine.recent_sends


def test_random_sends_of_small_requests_add_up_to_the_budget():
    """Each broker's share is smaller than a request; the sum over all brokers is near the budget."""
    sends = 0
    for broker in range(400):
        context, _, slow_start, engine = make_slow_start(
            work=BUDGET / 100, broker_index=broker, broker_count=400
        )
        sends += sends_until_full(context, slow_start, engine)
    assert 60 <= sends <= 140


@pytest.mark.parametrize(("answers", "allowed"), [(0, 1), (8, 10_000)])
def test_unknown_work_counts_as_much_as_its_objective_allows(answers, allowed):
    """With few answers and no cost estimates, a request counts as one second, its latency objective."""
    context, estimates, slow_start, engine = make_slow_start(broker_count=9)
    estimates.has_cost_estimates, estimates.answer_counts = False, [answers]
    assert sends_until_full(context, slow_start, engine) in range(allowed - 1, allowed + 2)


def test_the_budget_limits_an_ejected_engine_even_when_warm():
    context, _, slow_start, engine = make_slow_start(work=10 * BUDGET)
    context.now = engine.warm_at
    engine.ejected = True
    assert not slow_start.has_budget(engine, 0)


def test_a_restart_begins_a_new_slow_start():
    context, _, slow_start, engine = make_slow_start()
    context.now = engine.warm_at
    slow_start.restart(engine)
    assert engine.warm_at == context.now + 10 * SECOND


def test_the_number_of_remembered_sends_is_limited():
    context, estimates, slow_start, engine = make_slow_start(work=1.0)
    for number in range(500):
        slow_start.record_send(engine, make_request(context, number))
    assert len(engine.recent_sends) == 400
    assert engine.recent_work == pytest.approx(400.0)
