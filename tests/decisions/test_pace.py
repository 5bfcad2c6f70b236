"""Slowdowns of the fleet and of engines."""

from types import SimpleNamespace

import pytest

from cypressledge.decisions.pace import FleetPace
from tests.decisions.parts import make_context, make_registry


def paced(engines=2, mean_run_time=1.0):
    registry = make_registry(make_context(), *range(1, engines + 1))
    return FleetPace(registry, SimpleNamespace(mean_run_time=mean_run_time)), registry.ready


def test_answers_at_the_pace_of_their_work_are_no_slowdown():
    pace, (one, _) = paced()
    for _ in range(50):
        pace.record_answer(one, 100_000, 100_000.0)
    assert pace.slowdown == one.slowdown == pytest.approx(1.0)


def test_slow_answers_slow_the_fleet_and_most_of_all_their_engine():
    pace, (one, two) = paced()
    for _ in range(50):
        pace.record_answer(one, 300_000, 100_000.0)
        pace.record_answer(two, 100_000, 100_000.0)
    assert pace.slowdown == pytest.approx(1.95, abs=0.1)
    assert one.slowdown == pytest.approx(3.0, abs=0.1)
    assert two.slowdown == pytest.approx(1.0, abs=0.1)


def test_a_latency_counts_as_twenty_run_times_at_most():
    pace, (one, _) = paced()
    for _ in range(200):
        pace.record_answer(one, 10**9, 1_000.0)
    assert one.slowdown == pytest.approx(20.0, abs=0.1)


def test_an_engine_is_never_twice_as_fast_as_its_work():
    pace, (one, _) = paced()
    for _ in range(50):
        pace.record_answer(one, 1, 100_000.0)
    assert one.slowdown == 0.5


def test_one_answer_of_usual_work_moves_little():
    pace, (one, _) = paced(mean_run_time=1_000_000.0)
    pace.record_answer(one, 300_000, 100_000.0)
    assert 1.0 < one.slowdown < 1.4


def test_old_answers_fade_with_the_periods():
    pace, (one, _) = paced(mean_run_time=100_000.0)
    for _ in range(50):
        pace.record_answer(one, 300_000, 100_000.0)
    for _ in range(30):
        pace.end_period()
    assert one.slowdown == pytest.approx(1.0, abs=0.01)
    assert pace.slowdown == pytest.approx(1.0, abs=0.01)


def test_the_rate_is_the_mean_of_the_periods_answers_and_what_it_was():
    pace, (one, _) = paced()
    for _ in range(20):
        pace.record_answer(one, 1, 1.0)
    pace.end_period()
    assert pace.answer_rate == (1.0 + 10.0) / 2  # twenty in two seconds
    pace.end_period()
    assert pace.answer_rate == 5.5 / 2
