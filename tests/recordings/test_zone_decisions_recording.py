"""What the zones' decisions give for seeded inputs in virtual time, against digests in zone_decisions.json.

Each scenario feeds one module with a seeded stream and digests everything that comes out, by position: the
digests do not depend on the names of classes, fields or log events. Whatever names the
program here may follow a rename; the streams, and zone_decisions.json, may not change.
"""

import json
import random
from pathlib import Path

import pytest

from tests.recordings.zone_decisions_fleet import record_fleet
from tests.recordings.zone_decisions_recorder import Recorder
from tests.recordings.zone_decisions_scenarios import (
    record_follower,
    record_health,
    record_observations,
    record_planner,
    record_shedding,
)

RECORDED = json.loads((Path(__file__).parent / "zone_decisions.json").read_text())


SCENARIOS = {
    "observations": record_observations,
    "health": record_health,
    "planner": record_planner,
    "follower": record_follower,
    "shedding": record_shedding,
    "fleet": record_fleet,
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_the_decisions_are_as_recorded(name):
    out = Recorder()
    SCENARIOS[name](out, random.Random(20_261_202))
    assert out.result() == RECORDED[name]
