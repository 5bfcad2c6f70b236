"""The simulation of zones with few brokers and engines, without and with failover.

It runs the program's own decision modules in virtual time.
"""

import pytest

from cypressledge.lab.zone_simulation.engine import SECOND, WARM_UP_TIME, ModelEngine
from cypressledge.lab.zone_simulation.report import draw
from cypressledge.lab.zone_simulation.scenario import Scenario
from cypressledge.lab.zone_simulation.schedules import ZONE_LOSS_KINDS, play, play_both
from cypressledge.lab.zone_simulation.world import EPOCH

SMALL = {"brokers": 12, "engines": 12, "zones": 3}


@pytest.mark.parametrize("kind", ZONE_LOSS_KINDS)
def test_all_brokers_evacuate_a_lost_zone_and_return_without_overloading_engines(kind):
    off, on = (play(Scenario(5, kind, **SMALL), failover) for failover in (False, True))
    print(off.kept, on.kept, on.departed_after_s, on.last_send, on.recovered_after_s)
    assert off.last_send > 5  # without failover, each broker keeps sending to the lost zone
    assert on.last_send < {"silent": 2.0, "reset": 2.0, "slow": 3.5, "planner": 5.0}[kind]
    assert on.kept >= off.kept - 0.3
    assert on.failed_engines == 0
    assert on.false_departures == 0
    assert on.in_force_after_s is not None
    assert on.in_force_after_s <= 1.0
    assert on.recovered_after_s is not None
    assert on.recovered_after_s <= 1.5 * WARM_UP_TIME / 1e6 + 6


@pytest.mark.parametrize("kind", ["cut", "blind", "release"])
def test_faults_that_are_not_a_lost_zone_evacuate_nothing(kind):
    assert play(Scenario(3, kind, **SMALL), failover=True).false_departures == 0


def test_the_model_of_a_cold_engine_fails_under_a_load_that_a_warm_one_serves():
    engine = ModelEngine(1, 0, started_at=EPOCH)
    for number in range(60):
        assert engine.receive(EPOCH + number * 10_000, (0, number, 0)) or engine.overload_failed
        engine.step(EPOCH + number * 10_000)
    assert engine.overload_failed
    assert not engine.receive(EPOCH + SECOND, (0, 99, 0))
    warm = ModelEngine(2, 0)
    for number in range(60):
        warm.receive(number * 10_000, (0, number, 0))
        warm.step(number * 10_000)
    assert not warm.overload_failed


def test_the_plot_of_a_comparison_is_written_as_png(tmp_path):
    pytest.importorskip("matplotlib")
    comparison = play_both(Scenario(1, "reset", 6, 6, 2, 0.4))
    draw(comparison, str(tmp_path / "zones.png"))
    assert (tmp_path / "zones.png").read_bytes()[:4] == b"\x89PNG"
