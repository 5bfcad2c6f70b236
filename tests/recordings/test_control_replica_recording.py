"""What replicas say, report and hand on in seeded worlds, as recorded at 9c5e980: a digest of each world.

Messages count by their bytes, so names of classes and fields are free; events by the names of then (RENAMED).
"""

import json
import random
from hashlib import blake2b
from pathlib import Path

import pytest

from cypressledge.controlplane.messages import encode
from cypressledge.controlplane.replica import Replica
from cypressledge.controlplane.replica_context import ReplicaHandlers
from tests.fakes.replica_random_walk import walk
from tests.fakes.replica_world import World

RECORDED = json.loads((Path(__file__).parent / "control_replica.json").read_text())
# Events and reasons of stepping down: name of today -> name as recorded.
RENAMED = {
    "invalid_log_data": "unfit",
    "other_cluster": "lineage",
    "log_started": "origin",
    "voter_denied": "voter_refuses",
    "other_leader": "another",
    "quorum_lost": "alone",
}


def recording_replica(digest):
    """A replica class all of whose instances add what they say, in order, to one digest."""

    class Recording(Replica):
        def __init__(self, identity, disk, now, handlers, **more):
            name, out = identity.name, handlers.send
            committed, event = handlers.on_commit, handlers.report

            def say(peer, message):
                digest.update(b"%b>%b " % (name.encode(), peer.encode()) + encode(message))
                out(peer, message)

            def hand_on(changes, snapshot):
                of = [snapshot] if changes is None else changes
                positions = [(item.epoch, item.version, item.digest) for item in of]
                digest.update(f"{name} {changes is None} {positions}".encode())
                committed(changes, snapshot)

            def report(event_name, **what):
                values = [RENAMED.get(value, value) if key == "why" else value for key, value in what.items()]
                digest.update(f"{name} {RENAMED.get(event_name, event_name)} {values}".encode())
                event(event_name, **what)

            super().__init__(identity, disk, now, ReplicaHandlers(say, hand_on, report), **more)

    return Recording


def world_digest(seed, names, losses):
    numbers = [random.Random(seed * 1_000 + i).randrange(1 << 16) for i in range(800)]
    digest = blake2b(digest_size=8)
    world = walk(numbers, names, recording_replica(digest), losses)
    assert isinstance(world, World)
    digest.update(f"{sorted(world.known_versions.items())} {sorted(world.acknowledged.items())}".encode())
    return digest.hexdigest()


@pytest.mark.parametrize("world", RECORDED)
def test_what_replicas_say_in_seeded_worlds_is_as_recorded(world):
    names, losses = world.split()
    found = [world_digest(seed, names, losses == "losses") for seed in range(len(RECORDED[world]))]
    assert found == RECORDED[world]
