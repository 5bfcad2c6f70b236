"""Replicas in random worlds keep one history."""

import struct

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.fakes.replica_random_walk import walk


@pytest.mark.parametrize(("names", "losses"), [("abc", False), ("abcde", False), ("abc", True)])
def test_random_worlds_keep_one_history(names, losses):
    seen = {"worlds": 0, "versions": 0, "acknowledged": 0, "epochs": 0, "joined": 0}

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
        seen["worlds"] += 1
        seen["versions"] += len(world.known_versions)
        seen["joined"] += sum(event == "joined" for _, event in world.events)
        seen["acknowledged"] += len(world.acknowledged) - 1  # but for the last one, in peace
        seen["epochs"] += len({epoch for epoch, *_ in world.known_versions.values()})

    play()
    print(seen)
    assert seen["acknowledged"] > 300
    assert seen["epochs"] > 300
    assert seen["joined"] > 50 or not losses
