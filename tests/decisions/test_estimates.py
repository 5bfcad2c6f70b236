"""What requests cost, learnt from answers."""

from dataclasses import replace

import pytest

from cypressledge.decisions.contract import RequestReceived
from cypressledge.decisions.estimates import ClassEstimates
from tests.decisions.parts import LOOKUP, SECOND, context, ended, request

WIDE = replace(LOOKUP, threads=2, priority_weight=4.0, latency_objective_stretch=2.0)


def estimates(**changes):
    ctx = context(LOOKUP, WIDE, **({"reports_cost": True} | changes))
    return ctx, ClassEstimates(ctx)


def test_a_cost_is_the_estimate_as_such_estimates_turn_out():
    ctx, made = estimates()
    made.cost_ratios[0] = 1.5
    assert made.corrected_cost(RequestReceived(1, 0, 0, cost=1_000)) == 1_500


def test_without_an_estimate_it_is_the_usual_work():
    ctx, made = estimates()
    made.work[0] = 700.0
    assert made.corrected_cost(RequestReceived(1, 0, 0)) == 700.0


def test_the_first_request_sets_the_usual_work_and_the_mean_run_time():
    ctx, made = estimates()
    made.record_request(request(ctx, class_index=1, cost=1_000))
    assert made.work == [0.0, 1_000]
    assert made.mean_run_time == 500.0
    made.record_request(request(ctx, class_index=1, cost=2_000))
    assert made.work == [0.0, 1_000]
    assert made.mean_run_time == pytest.approx(505.0)
    assert made.has_cost_estimates


def test_requests_without_estimates_are_noticed():
    ctx, made = estimates()
    made.record_request(request(ctx, cost=0))
    assert not made.has_cost_estimates


def test_an_answer_moves_work_and_ratios_by_a_tenth():
    ctx, made = estimates()
    made.work[1] = 1_000.0
    run_time = made.record_answer(request(ctx, class_index=1, cost=1_000), ended_of(ctx, 1, 2_000, 5_000))
    assert run_time == 1_000.0
    assert made.work[1] == pytest.approx(1_100.0)
    assert made.cost_ratios[1] == pytest.approx(1.1)
    assert made.latency_ratios[1] == pytest.approx(1.4)
    assert made.answer_counts == [0, 1]


def ended_of(ctx, class_index, work, latency, memory_mb=0.0):
    made = request(ctx, class_index=class_index)
    made.attempts = 1
    return ended(made, work=work, latency=latency, memory_mb=memory_mb)


def test_the_first_answer_sets_the_usual_work():
    ctx, made = estimates()
    made.record_answer(request(ctx), ended_of(ctx, 0, 2_000, 5_000))
    assert made.work[0] == 2_000


@pytest.mark.parametrize(("cost", "work"), [(3_000, 3_000), (0, 10_000)])
def test_where_cost_is_not_reported_the_estimate_counts_or_the_latency(cost, work):
    ctx, made = estimates(reports_cost=False)
    made.record_answer(request(ctx, class_index=1, cost=cost), ended_of(ctx, 1, 2_000, 5_000))
    assert made.work[1] == work


def test_extremes_are_limited():
    ctx, made = estimates()
    made.record_answer(request(ctx, cost=1), ended_of(ctx, 0, 1_000, 1_000_000))
    assert made.cost_ratios[0] == pytest.approx(1 + 0.1 * 7)
    assert made.latency_ratios[0] == pytest.approx(1 + 0.1 * 19)


def test_memory_follows_what_answers_used():
    ctx, made = estimates()
    asked = request(ctx, memory_mb=100.0)
    made.record_answer(asked, ended_of(ctx, 0, 1_000, 1_000, memory_mb=200.0))
    assert made.memory_ratios[0] == pytest.approx(1.05)
    assert made.grant_ratios[0] == pytest.approx(1.25 * 1.036)
    assert made.memory_grant_mb(asked) == pytest.approx(129.5)
    assert made.memory_to_reserve_mb(asked) == pytest.approx(100 * (1.05 + 1.295) / 2)
    made.record_answer(asked, ended_of(ctx, 0, 1_000, 1_000, memory_mb=50.0))
    assert made.grant_ratios[0] == pytest.approx(1.295 * 0.996)


def test_nine_in_ten_needs_are_within_the_grant():
    ctx, made = estimates()
    asked = request(ctx, memory_mb=100.0)
    for number in range(5_000):
        made.record_answer(asked, ended_of(ctx, 0, 1_000, 1_000, memory_mb=100.0 + number * 37 % 100))
    assert made.memory_grant_mb(asked) == pytest.approx(190, abs=12)


def test_expected_latency_is_the_run_time_as_the_fleet_answers():
    ctx, made = estimates()
    assert made.expected_latency(request(ctx, cost=100_000)) == 100_000
    assert made.expected_latency(request(ctx, cost=1)) == 5_000  # nothing is told sooner
    made.latency_ratios[0] = 0.5
    assert made.expected_latency(request(ctx, cost=100_000)) == 100_000
    made.latency_ratios[0] = 3.0
    assert made.expected_latency(request(ctx, cost=100_000)) == 300_000


def test_the_reference_is_the_objective_by_work_against_weight():
    ctx, made = estimates()
    assert made.delay_reference(0) == SECOND
    made.work = [1_000.0, 8_000.0]
    assert made.delay_reference(0) == SECOND * 1_000.0
    assert made.delay_reference(1) == (SECOND + 2.0 * 8_000 / 2) * 8_000.0 / 4.0


def test_large_memory_follows_long_attempts():
    ctx, made = estimates()
    made.mean_run_time = 100_000.0
    for cost, expected in ((100_000, 5.0), (10_000_000, 28.75)):
        sent = request(ctx, cost=cost)
        sent.reserved_memory_mb = 100.0
        made.record_attempt(sent)
        assert made.large_memory_mb == pytest.approx(expected)
