"""Start times of engines, computed from Unix times when the clock of the broker or of an engine is wrong."""

from cypressledge.broker.engine_start_times import MAX_UNLISTED, EngineStartTimes
from cypressledge.clock import CLOCK_ORIGIN_US

S = 1_000_000
NOW = CLOCK_ORIGIN_US + 1_000 * S
UNIX_NOW = 1_790_000_000 * S  # µs; time of a correct wall clock at NOW
MAX_AGE_ERROR = 3 * S


def computed_ages(true_ages_s, ahead_s=0):
    """Return the ages of engines in seconds, as computed with a wall clock that is ahead by `ahead_s`."""
    starts = EngineStartTimes(UNIX_NOW + ahead_s * S - NOW)
    listed_ms = {engine: (UNIX_NOW - age * S) // 1_000 for engine, age in true_ages_s.items()}
    starts.update(listed_ms, NOW, MAX_AGE_ERROR)
    return {engine: (NOW - starts.started_at(engine, unix_ms)) / S for engine, unix_ms in listed_ms.items()}


def test_ages_by_a_correct_clock():
    assert computed_ages({"s-1": 2, "s-2": 30}) == {"s-1": 2, "s-2": 30}


def test_a_clock_that_is_ahead_overstates_ages_by_a_bounded_error():
    assert computed_ages({"s-1": 2, "s-2": 30}, ahead_s=3_600) == {"s-1": 3, "s-2": 31}


def test_an_engine_counts_as_just_started_by_a_clock_that_is_behind():
    assert computed_ages({"s-1": 2, "s-2": 30}, ahead_s=-3_600) == {"s-1": 0, "s-2": 0}


def test_one_engine_whose_clock_is_ahead_does_not_change_the_ages_of_others():
    assert computed_ages({"s-1": -3_600, "s-2": 2, "s-3": 30}) == {"s-1": 0, "s-2": 2, "s-3": 30}


def test_a_start_time_stays_as_first_computed_until_the_engine_restarts():
    starts = EngineStartTimes(UNIX_NOW - NOW)
    listed_ms = UNIX_NOW // 1_000
    starts.update({"s-1": listed_ms, "s-2": 0}, NOW, MAX_AGE_ERROR)
    starts.update({"s-1": listed_ms, "s-2": 0}, NOW + 60 * S, MAX_AGE_ERROR)
    assert (starts.started_at("s-1", listed_ms), starts.started_at("s-2", 0)) == (NOW, 0)
    starts.update(
        {"s-1": listed_ms - 1}, NOW + 60 * S, MAX_AGE_ERROR
    )  # a new process of the engine, started after its clock was set back
    assert starts.started_at("s-1", listed_ms - 1) == NOW + 60 * S - MAX_AGE_ERROR


def test_unlisted_engines_are_forgotten_once_there_are_many():
    starts = EngineStartTimes(UNIX_NOW - NOW)
    for number in range(1_000):
        starts.update({f"s-{number}": 1 + number}, NOW, MAX_AGE_ERROR)
    assert len(starts.starts) <= MAX_UNLISTED + 3
    assert "s-999" in starts.starts
