"""Replicas in randomly simulated worlds keep one history."""

import struct

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.fakes.replica_random_walk import walk


@pytest.mark.parametrize(("names", "losses"), [("abc", False), ("abcde", False), ("abc", True)])
def test_random_schedules_keep_one_history(names, losses):
    totals = {"worlds": 0, "versions": 0, "acknowledged": 0, "epochs": 0, "joined": 0}

    @settings(
        max_examples=150,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(st.binary(min_size=500, max_size=900))
    def play(raw):
        world = walk(struct.unpack(f">{len(raw) // 2}H", raw[: len(raw) // 2 * 2]), names, losses=losses)
        totals["worlds"] += 1
        totals["versions"] += len(world.known_versions)
        totals["joined"] += sum(event == "joined" for _, event in world.events)
        totals["acknowledged"] += len(world.acknowledged) - 1  # except the last one, made without faults
        totals["epochs"] += len({epoch for epoch, *_ in world.known_versions.values()})

    play()
    print(totals)
    assert totals["acknowledged"] > 300
    assert totals["epochs"] > 300
    assert totals["joined"] > 50 or not losses
