"""Estimates of the cost of requests from answers."""

from dataclasses import replace

import pytest

from cypressledge.decisions.contract import RequestReceived
from cypressledge.decisions.estimates import ClassEstimates
from tests.decisions.parts import LOOKUP, SECOND, attempt_ended, make_context, make_request

WIDE = replace(LOOKUP, threads=2, priority_weight=4.0, latency_objective_stretch=2.0)


def make_estimates(**changes):
    context = make_context(LOOKUP, WIDE, **({"reports_cost": True} | changes))
    return context, ClassEstimates(context)


def test_a_cost_estimate_is_corrected_by_earlier_requests():
    context, estimates = make_estimates()
    estimates.cost_ratios[0] = 1.5
    assert estimates.corrected_cost(RequestReceived(1, 0, 0, cost=1_000)) == 1_500


def test_without_an_estimate_the_cost_is_the_usual_work_of_the_class():
    context, estimates = make_estimates()
    estimates.work[0] = 700.0
    assert estimates.corrected_cost(RequestReceived(1, 0, 0)) == 700.0


def test_the_first_request_sets_the_usual_work_and_the_mean_run_time():
    context, estimates = make_estimates()
    estimates.record_request(make_request(context, class_index=1, cost=1_000))
    assert estimates.work == [0.0, 1_000]
    assert estimates.mean_run_time == 500.0
    estimates.record_request(make_request(context, class_index=1, cost=2_000))
    assert estimates.work == [0.0, 1_000]
    assert estimates.mean_run_time == pytest.approx(505.0)
    assert estimates.has_cost_estimates


def test_missing_cost_estimates_are_detected():
    context, estimates = make_estimates()
    estimates.record_request(make_request(context, cost=0))
    assert not estimates.has_cost_estimates


def test_an_answer_updates_work_and_ratios_with_a_weight_of_a_tenth():
    context, estimates = make_estimates()
    estimates.work[1] = 1_000.0
    run_time = estimates.record_answer(
        make_request(context, class_index=1, cost=1_000), make_attempt_ended(context, 1, 2_000, 5_000)
    )
    assert run_time == 1_000.0
    assert estimates.work[1] == pytest.approx(1_100.0)
    assert estimates.cost_ratios[1] == pytest.approx(1.1)
    assert estimates.latency_ratios[1] == pytest.approx(1.4)
    assert estimates.answer_counts == [0, 1]


def make_attempt_ended(context, class_index, work, latency, memory_mb=0.0):
    request = make_request(context, class_index=class_index)
    request.attempts = 1
    return attempt_ended(request, work=work, latency=latency, memory_mb=memory_mb)


def test_the_first_answer_sets_the_usual_work():
    context, estimates = make_estimates()
    estimates.record_answer(make_request(context), make_attempt_ended(context, 0, 2_000, 5_000))
    assert estimates.work[0] == 2_000


@pytest.mark.parametrize(("cost", "work"), [(3_000, 3_000), (0, 10_000)])
def test_without_reported_cost_the_estimate_or_the_latency_is_used(cost, work):
    context, estimates = make_estimates(reports_cost=False)
    estimates.record_answer(
        make_request(context, class_index=1, cost=cost), make_attempt_ended(context, 1, 2_000, 5_000)
    )
    assert estimates.work[1] == work


def test_extreme_ratios_are_capped():
    context, estimates = make_estimates()
    estimates.record_answer(make_request(context, cost=1), make_attempt_ended(context, 0, 1_000, 1_000_000))
    assert estimates.cost_ratios[0] == pytest.approx(1 + 0.1 * 7)
    assert estimates.latency_ratios[0] == pytest.approx(1 + 0.1 * 19)


def test_memory_ratios_follow_the_memory_that_answers_report():
    context, estimates = make_estimates()
    request = make_request(context, memory_mb=100.0)
    estimates.record_answer(request, make_attempt_ended(context, 0, 1_000, 1_000, memory_mb=200.0))
    assert estimates.memory_ratios[0] == pytest.approx(1.05)
    assert estimates.grant_ratios[0] == pytest.approx(1.25 * 1.036)
    assert estimates.memory_grant_mb(request) == pytest.approx(129.5)
    assert estimates.memory_to_reserve_mb(request) == pytest.approx(100 * (1.05 + 1.295) / 2)
    estimates.record_answer(request, make_attempt_ended(context, 0, 1_000, 1_000, memory_mb=50.0))
    assert estimates.grant_ratios[0] == pytest.approx(1.295 * 0.996)


def test_the_grant_covers_nine_in_ten_requests():
    context, estimates = make_estimates()
    request = make_request(context, memory_mb=100.0)
    for number in range(5_000):
        estimates.record_answer(
            request, make_attempt_ended(context, 0, 1_000, 1_000, memory_mb=100.0 + number * 37 % 100)
        )
    assert estimates.memory_grant_mb(request) == pytest.approx(190, abs=12)


def test_expected_latency_is_the_run_time_times_the_fleets_latency_ratio():
    context, estimates = make_estimates()
    assert estimates.expected_latency(make_request(context, cost=100_000)) == 100_000
    assert estimates.expected_latency(make_request(context, cost=1)) == 5_000  # at least the timer resolution
    estimates.latency_ratios[0] = 0.5
    assert estimates.expected_latency(make_request(context, cost=100_000)) == 100_000
    estimates.latency_ratios[0] = 3.0
    assert estimates.expected_latency(make_request(context, cost=100_000)) == 300_000


def test_the_delay_reference_is_the_objective_times_work_over_weight():
    context, estimates = make_estimates()
    assert estimates.delay_reference(0) == SECOND
    estimates.work = [1_000.0, 8_000.0]
    assert estimates.delay_reference(0) == SECOND * 1_000.0
    assert estimates.delay_reference(1) == (SECOND + 2.0 * 8_000 / 2) * 8_000.0 / 4.0


def test_weighted_memory_follows_long_attempts():
    context, estimates = make_estimates()
    estimates.mean_run_time = 100_000.0
    for cost, expected in ((100_000, 5.0), (10_000_000, 28.75)):
        sent = make_request(context, cost=cost)
        sent.reserved_memory_mb = 100.0
        estimates.record_attempt(sent)
        assert estimates.weighted_memory_mb == pytest.approx(expected)
