"""Slowdowns of the fleet and of engines."""

from types import SimpleNamespace

import pytest

from cypressledge.decisions.pace import FleetPace
from tests.decisions.parts import make_context, make_registry


def make_pace(engines=2, mean_run_time=1.0):
    registry = make_registry(make_context(), *range(1, engines + 1))
    return FleetPace(registry, SimpleNamespace(mean_run_time=mean_run_time)), registry.ready


def test_answers_as_fast_as_their_run_time_give_a_slowdown_of_one():
    pace, (one, _) = make_pace()
    for _ in range(50):
        pace.record_answer(one, 100_000, 100_000.0)
    assert pace.slowdown == one.slowdown == pytest.approx(1.0)


def test_slow_answers_raise_the_slowdown_of_their_engine_and_of_the_fleet():
    pace, (one, two) = make_pace()
    for _ in range(50):
        pace.record_answer(one, 300_000, 100_000.0)
        pace.record_answer(two, 100_000, 100_000.0)
    assert pace.slowdown == pytest.approx(1.95, abs=0.1)
    assert one.slowdown == pytest.approx(3.0, abs=0.1)
    assert two.slowdown == pytest.approx(1.0, abs=0.1)


def test_a_latency_counts_as_at_most_twenty_run_times():
    pace, (one, _) = make_pace()
    for _ in range(200):
        pace.record_answer(one, 10**9, 1_000.0)
    assert one.slowdown == pytest.approx(20.0, abs=0.1)


def test_the_slowdown_of_an_engine_is_at_least_one_half():
    pace, (one, _) = make_pace()
    for _ in range(50):
        pace.record_answer(one, 1, 100_000.0)
    assert one.slowdown == 0.5


def test_a_single_answer_changes_the_slowdown_little():
    pace, (one, _) = make_pace(mean_run_time=1_000_000.0)
    pace.record_answer(one, 300_000, 100_000.0)
    assert 1.0 < one.slowdown < 1.4


def test_old_answers_decay_with_each_period():
    pace, (one, _) = make_pace(mean_run_time=100_000.0)
    for _ in range(50):
        pace.record_answer(one, 300_000, 100_000.0)
    for _ in range(30):
        pace.end_period()
    assert one.slowdown == pytest.approx(1.0, abs=0.01)
    assert pace.slowdown == pytest.approx(1.0, abs=0.01)


def test_the_answer_rate_is_the_mean_of_this_period_and_the_previous_rate():
    pace, (one, _) = make_pace()
    for _ in range(20):
        pace.record_answer(one, 1, 1.0)
    pace.end_period()
    assert pace.answer_rate == (1.0 + 10.0) / 2  # 20 answers in 2 s
    pace.end_period()
    assert pace.answer_rate == 5.5 / 2
