"""What attempts show of engines, in windows of time."""

from cypressledge.decisions.contract import Outcome
from cypressledge.fleet.messages import EngineObservation
from cypressledge.fleet.zones.observations import AttemptObservations

S = 1_000_000


def test_each_silent_attempt_is_counted_once_and_forgotten_in_time():
    observations = AttemptObservations()
    for now in range(0, 2 * S, S // 4):
        observations.record_open(now, [("x", 1, now, 100_000), ("y", 2, 10_000, 100_000)])
    assert observations.snapshot(2 * S - 1) == [EngineObservation(1, 0, 0, 0, 0, 1, 0, 1)]
    observations.record_end(2 * S, 1, "x", Outcome.CANCELLED, 2 * S, 100_000)
    observations.record_end(2 * S, 2, "y", Outcome.OK, 100_000, 100_000, 70_000)
    observations.record_end(2 * S, 2, "z", Outcome.OK, 3 * S, 100_000)
    observations.record_end(2 * S, 3, "w", Outcome.CONNECT_FAILED, 1, 1)
    observations.record_end(2 * S, 3, "v", Outcome.REJECTED, 1, 1)
    seen = {s.engine: s for s in observations.snapshot(2 * S)}
    assert seen[2] == EngineObservation(2, 1, 1, 0, 0, 0, 70_000, 0, 0)
    assert seen[3] == EngineObservation(3, 0, 0, 1, 0, 0, 0, 1)
    assert observations.snapshot(9 * S) == []


def test_an_attempt_cancelled_after_a_silence_counts_as_timed_out():
    observations = AttemptObservations()
    observations.record_end(0, 1, "x", Outcome.CANCELLED, 350_000, 100_000, silent=True)
    observations.record_end(0, 1, "y", Outcome.CANCELLED, 350_000, 100_000, silent=False)
    observations.record_end(0, 1, "z", Outcome.CANCELLED, 250_000, 100_000, silent=True)
    assert observations.snapshot(0) == [EngineObservation(1, 0, 0, 0, 0, 1, 0, 1)]
