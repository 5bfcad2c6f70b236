"""Replicas of the fleet's history: rejections, request ids, disk failures, majorities and snapshots."""

import pytest

from cypressledge.controlplane import log_entries
from cypressledge.controlplane.errors import NotLeaderError, VersionConflictError
from cypressledge.controlplane.replica import Replica
from cypressledge.controlplane.state_values import StateError
from tests.controlplane.replica_scenes import started_world
from tests.fakes.replica_world import SECOND, engine


def test_rejected_proposals_and_leases():
    world = started_world(Replica)
    with pytest.raises(NotLeaderError) as raised:
        world.running["b"].propose(world.now, engine("x"), 1, "r", "me", "", 0)
    assert raised.value.leader == "a"
    leader = world.running["a"]
    leader.propose(world.now, engine("x"), 1, "r", "me", "", 0)
    with pytest.raises(VersionConflictError) as conflict:
        leader.propose(world.now, engine("x"), 1, "s", "me", "", 0)
    assert conflict.value.keys == ["engine/x-0"]
    with pytest.raises(StateError):
        leader.propose_internal(world.now, engine("/"))
    # The epoch is promised already, so the lease needs a higher token.
    assert not world.running["b"].update_lease(world.now, 1, 1 << 60)


def test_a_request_id_identifies_one_change():
    world = started_world(Replica)
    first = world.propose("a", "x")
    for _ in range(2):  # while the change is pending, and once it is committed
        with pytest.raises(StateError, match=f"became version {first.version}, with other contents"):
            world.running["a"].propose(world.now, engine("y"), 1, "x", "me", "", 0)
        again = world.running["a"].propose(world.now, engine("x"), 0, "x", "me", "", 0)
        assert again.version == first.version
        world.run("abc")
    world.lease("b", 2)
    world.run("abc")
    with pytest.raises(StateError, match="with other contents"):  # a new leader knows the request, too
        world.running["b"].propose(world.now, engine("x", 2), 1, "x", "me", "", 0)
    assert world.running["b"].latest_state.entries.keys() == {"engine/x-0"}


def test_a_full_disk_costs_leadership_but_no_change():
    world = started_world(Replica)
    world.disks["b"].planned_faults = ["full"]
    proposal = world.propose("a", "x")
    world.run("abc")
    assert proposal.state == "done"
    assert ("a", "voter_denied") in world.events
    world.disks["a"].planned_faults = ["full"]
    assert world.propose("a", "y").state == "unknown"
    assert world.running["a"].role == "standby"
    world.settle(5)


def test_a_leader_without_a_majority_steps_down():
    world = started_world(Replica)
    proposal = world.propose("a", "x")
    world.pass_time(9 * SECOND, "a")
    assert world.running["a"].role == "primary"
    assert proposal.state == "open"
    world.pass_time(SECOND, "a")
    assert world.running["a"].role == "standby"
    assert proposal.state == "unknown"
    assert not world.lease("a", 1)
    world.lease("b", 2)
    world.pass_time(20 * SECOND, "bc")
    assert world.running["b"].role == "primary"
    assert world.running["b"].status(world.now).match == {"a": -1, "c": 2}


def test_a_voter_far_behind_gets_a_snapshot(monkeypatch):
    monkeypatch.setattr(log_entries, "MAX_KEPT_ENTRIES", 4)
    world = started_world(Replica)
    world.crash("c")
    for number in range(40):
        world.propose("a", f"r{number}")
        world.run("ab")
    world.start("c")
    world.pass_time(8 * SECOND, "abc")
    assert world.running["c"].log.committed_state.digest == world.running["a"].log.committed_state.digest
    assert world.running["c"].log.commit == 41
    assert world.running["a"].log.entries.base.version > 20


def test_a_voter_that_lost_its_disk_rejoins():
    world = started_world(Replica, quarantine=5 * SECOND)
    world.lose_disk("b")
    world.propose("a", "x")
    world.pass_time(4 * SECOND, "ab")
    assert world.running["a"].log.commit == 1
    assert not world.running["b"].is_eligible(world.now)
    world.pass_time(8 * SECOND, "ab")
    assert world.acknowledged == {"x": 2}
    assert not world.disks["b"].stored.joining
    world.settle(5)
