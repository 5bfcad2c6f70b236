"""PI loop and weighted draw, checked against hand calculations (Pan et al., Equations 11 and 12)."""

from random import Random

import pytest

from cypressledge.decisions.odds import OddsController

TICK = 5_000  # µs; shortest measurable delay


def run_period(odds, delays, count=10, references=None):
    """Run one control period in which the classes had these mean delays, in µs."""
    for class_index, delay in enumerate(delays):
        for _ in range(count):
            odds.record_delay(class_index, delay)
    odds.update((references or [1.0] * len(delays)).__getitem__, TICK)


def test_the_first_step_is_the_current_gain_times_the_error():
    odds = OddsController(2)
    run_period(odds, [100_000, 200_000])  # e = 1 - 0.5
    assert odds.ratios == pytest.approx([1 + 0.42 * 0.5])
    assert odds.odds == pytest.approx([1 / 2.21, 1.21 / 2.21])
    assert odds.previous_errors == [0.5]


def test_the_second_step_subtracts_the_previous_error():
    odds = OddsController(2)
    run_period(odds, [100_000, 200_000])
    run_period(odds, [300_000, 200_000])  # e = 1 - 1.5
    assert odds.ratios == pytest.approx([1.21 + 0.42 * -0.5 - 0.1 * 0.5])


def test_errors_and_ratios_are_clamped():
    odds = OddsController(2)
    run_period(odds, [900_000, 100_000])  # e = 1 - 9
    assert odds.previous_errors == [-2.0]
    for _ in range(100):
        run_period(odds, [900_000, 100_000])
    assert odds.ratios == [1 / 16]
    for _ in range(400):
        run_period(odds, [TICK, 900_000])
    assert odds.ratios == [16.0]


def test_delays_at_the_resolution_keep_the_ratio():
    odds = OddsController(2)
    run_period(odds, [TICK, 1_000])
    assert odds.ratios == [1.0]
    assert odds.previous_errors == [0.0]


def test_samples_are_kept_until_they_are_enough():
    odds = OddsController(2)
    run_period(odds, [100_000, 200_000], count=2)
    assert odds.ratios == [1.0]
    assert odds.sample_counts == [2, 2]
    run_period(odds, [100_000, 200_000], count=1)
    assert odds.ratios == pytest.approx([1.21])
    assert odds.sample_counts == [0, 0]


def test_references_set_the_ratio_that_is_held():
    odds = OddsController(2)
    run_period(odds, [100_000, 400_000], references=[1.0, 4.0])
    assert odds.ratios == [1.0]


def test_odds_of_three_classes_sum_to_one():
    odds = OddsController(3)
    run_period(odds, [100_000, 200_000, 100_000])
    assert odds.ratios == pytest.approx([1.21, 0.58])
    assert sum(odds.odds) == pytest.approx(1.0)
    assert odds.odds[2] / odds.odds[1] == pytest.approx(0.58)


def test_the_draw_follows_the_odds_of_the_classes_with_a_waiting_request():
    odds, random = OddsController(3), Random(1)
    odds.odds = [0.2, 0.5, 0.3]
    drawn = [odds.draw(["a", None, "c"], random) for _ in range(10_000)]
    assert drawn.count("b") == 0
    assert drawn.count("a") == pytest.approx(4_000, abs=150)
    assert drawn.count("c") == pytest.approx(6_000, abs=150)


def test_without_a_waiting_request_nothing_is_drawn():
    odds, random = OddsController(2), Random(1)
    before = random.getstate()
    assert odds.draw([None, None], random) is None
    assert random.getstate() == before
