"""Detection of wall clock steps."""

from cypressledge.clock import ClockStepDetector, monotonic_us


def test_a_step_of_the_wall_clock_is_reported_once(monkeypatch):
    wall = [1_790_000_000_000_000]
    monkeypatch.setattr("cypressledge.clock.wall_us", lambda: wall[0] + monotonic_us())
    watch = ClockStepDetector()
    assert watch.check() == 0
    wall[0] -= 5_000_000
    assert abs(watch.check() + 5_000_000) < 1_000
    assert watch.check() == 0
