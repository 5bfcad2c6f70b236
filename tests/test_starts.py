"""When engines count as started: Unix times of lists tell one process from another, and nothing else."""

from cypressledge.clock import BEGINNING, StepWatch, monotonic_us
from cypressledge.maintenance import Maintenance
from cypressledge.starts import FORGET_SPARE, Starts

NOW = BEGINNING + 1_000_000


def test_a_process_counts_as_started_when_it_is_first_heard_of():
    starts = Starts()
    assert starts.heard("s-1", 0, NOW) == 0
    assert starts.heard("s-1", 1_700_000_000_000, NOW) == NOW
    assert starts.heard("s-1", 1_700_000_000_000, NOW + 5) == NOW
    assert starts.heard("s-1", 1_600_000_000_000, NOW + 9) == NOW + 9  # another process, by a clock set back


def test_engines_that_left_are_forgotten_once_there_are_many():
    starts = Starts()
    for n in range(1_000):
        starts.heard(f"s-{n}", 1 + n, NOW)
        starts.keep({f"s-{n}"})
    assert len(starts.starts) <= FORGET_SPARE + 2 and "s-999" in starts.starts


def test_a_return_kept_on_another_clock_counts_as_now():
    """The file of a former release holds Unix times; that of a former boot, larger ones than the clock."""
    kept = Maintenance.load(b'{"out": [], "back": {"s-1": 1790000000000000, "s-2": 5}}', NOW)
    assert kept.back == {"s-1": NOW, "s-2": 5}


def test_a_step_of_the_wall_clock_is_told_once(monkeypatch):
    wall = [1_790_000_000_000_000]
    monkeypatch.setattr("cypressledge.clock.wall_us", lambda: wall[0] + monotonic_us())
    watch = StepWatch()
    assert watch.look() == 0
    wall[0] -= 5_000_000
    assert abs(watch.look() + 5_000_000) < 1_000
    assert watch.look() == 0
