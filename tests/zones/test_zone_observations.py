"""Counts of attempts by engine and result, in time windows."""

from cypressledge.decisions.contract import Outcome
from cypressledge.fleet.messages import EngineObservation
from cypressledge.fleet.zones.observations import AttemptObservations, EndedAttempt

S = 1_000_000


def test_each_silent_attempt_is_counted_once_and_leaves_the_windows():
    observations = AttemptObservations()
    for now in range(0, 2 * S, S // 4):
        observations.record_open(now, [("x", 1, now, 100_000), ("y", 2, 10_000, 100_000)])
    assert observations.snapshot(2 * S - 1) == [EngineObservation(1, 0, 0, 0, 0, 1, 0, 1)]
    observations.record_end(2 * S, EndedAttempt("x", 1, Outcome.CANCELLED, 2 * S, 100_000))
    observations.record_end(2 * S, EndedAttempt("y", 2, Outcome.OK, 100_000, 100_000, 70_000))
    observations.record_end(2 * S, EndedAttempt("z", 2, Outcome.OK, 3 * S, 100_000))
    observations.record_end(2 * S, EndedAttempt("w", 3, Outcome.CONNECT_FAILED, 1, 1))
    observations.record_end(2 * S, EndedAttempt("v", 3, Outcome.REJECTED, 1, 1))
    seen = {s.engine: s for s in observations.snapshot(2 * S)}
    assert seen[2] == EngineObservation(2, 1, 1, 0, 0, 0, 70_000, 0, 0)
    assert seen[3] == EngineObservation(3, 0, 0, 1, 0, 0, 0, 1)
    assert observations.snapshot(9 * S) == []


def test_an_attempt_cancelled_after_a_silence_counts_as_timed_out():
    observations = AttemptObservations()
    observations.record_end(0, EndedAttempt("x", 1, Outcome.CANCELLED, 350_000, 100_000, silent=True))
    observations.record_end(0, EndedAttempt("y", 1, Outcome.CANCELLED, 350_000, 100_000, silent=False))
    observations.record_end(0, EndedAttempt("z", 1, Outcome.CANCELLED, 250_000, 100_000, silent=True))
    assert observations.snapshot(0) == [EngineObservation(1, 0, 0, 0, 0, 1, 0, 1)]
