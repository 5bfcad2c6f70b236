"""The model at size, small: the program's own decision modules in virtual time, off and on."""

import pytest

from cypressledge.lab.zone_simulation.engine import SECOND, WARM_UP_TIME, ModelEngine
from cypressledge.lab.zone_simulation.report import draw
from cypressledge.lab.zone_simulation.scenario import Scenario
from cypressledge.lab.zone_simulation.schedules import ZONE_LOSS_KINDS, play, play_both
from cypressledge.lab.zone_simulation.world import EPOCH

SMALL = {"brokers": 12, "engines": 12, "zones": 3}


@pytest.mark.parametrize("kind", ZONE_LOSS_KINDS)
def test_a_lost_zone_is_left_by_all_and_come_back_to_without_a_fall(kind):
    off, on = (play(Scenario(5, kind, **SMALL), failover) for failover in (False, True))
    print(off.kept, on.kept, on.departed_after_s, on.last_send, on.recovered_after_s)
    assert off.last_send > 5  # each broker goes on trying it for as long as it is gone
    assert on.last_send < {"silent": 2.0, "reset": 2.0, "slow": 3.5, "planner": 5.0}[kind]
    assert on.kept >= off.kept - 0.3
    assert on.failed_engines == 0
    assert on.false_departures == 0
    assert on.in_force_after_s is not None
    assert on.in_force_after_s <= 1.0
    assert on.recovered_after_s is not None
    assert on.recovered_after_s <= 1.5 * WARM_UP_TIME / 1e6 + 6


@pytest.mark.parametrize("kind", ["cut", "blind", "release"])
def test_on_days_that_are_no_zones_fault_nothing_is_left(kind):
    assert play(Scenario(3, kind, **SMALL), failover=True).false_departures == 0


def test_a_cold_engine_falls_when_it_is_pushed_and_the_model_sees_it():
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


def test_the_plot_is_drawn(tmp_path):
    pytest.importorskip("matplotlib")
    done = play_both(Scenario(1, "reset", 6, 6, 2, 0.4))
    draw(done, str(tmp_path / "zones.png"))
    assert (tmp_path / "zones.png").read_bytes()[:4] == b"\x89PNG"
