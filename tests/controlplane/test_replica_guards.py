"""Each safety check of a replica works, and disabling it leads to a safety violation."""

from collections.abc import Callable
from typing import NamedTuple

import pytest

from cypressledge.controlplane.errors import LogInvariantError
from cypressledge.controlplane.leader_recovery import LeaderRecovery
from cypressledge.controlplane.leader_role import LeaderRole
from cypressledge.controlplane.log_replication import LeaderReplication
from cypressledge.controlplane.log_storage import PromisedEpoch
from cypressledge.controlplane.messages import AppendEntries
from cypressledge.controlplane.replica import Replica
from cypressledge.controlplane.replica_context import ReplicaContext, Role
from cypressledge.controlplane.replicated_log import ReplicatedLog
from cypressledge.controlplane.state import FleetState
from tests.controlplane import replica_scenes as scenes
from tests.controlplane.replica_scenes import started_world
from tests.fakes.replica_world import SECOND, SafetyViolationError, engine


class Guard(NamedTuple):
    """A scenario and the safety check without which it violates safety."""

    scene: Callable
    target: type  # class with the check
    method: str  # name of the check
    without: Callable  # replacement that disables the check


def promise_in_memory(self, epoch, instance_id):
    self.promised = PromisedEpoch(epoch, instance_id)
    return True


persist_on_disk = ReplicatedLog._persist


def persist_in_memory(self, step, *args):
    is_follower = self._context.role is Role.FOLLOWER
    return step in ("append", "commit") and is_follower or persist_on_disk(self, step, *args)


def count_all_promises(self):
    return self._promises


def count_promises_of_empty_disks(self):
    return {v: p for v, p in self._promises.items() if not p.joining}


def count_entries_of_joining(self, voter):
    return self._log.last.version if voter == self._context.name else self.progress[voter].match_version


GUARDS = [
    Guard(
        scenes.one_epoch_two_instances, ReplicatedLog, "may_promise", lambda self, epoch, instance_id: True
    ),
    Guard(scenes.deposed_leader_appends, ReplicatedLog, "is_stale", lambda self, epoch: False),
    Guard(
        scenes.stale_entries_of_an_old_epoch,
        ReplicatedLog,
        "contains",
        lambda self, epoch, version: self.entries.epoch_at(version) is not None,
    ),
    Guard(
        scenes.commit_beyond_matching_entries,
        ReplicatedLog,
        "follower_commit",
        lambda self, commit, matching: min(commit, self.last.version),
    ),
    Guard(
        scenes.entry_of_an_older_epoch_counted,
        ReplicatedLog,
        "is_of_current_epoch",
        lambda self, version: True,
    ),
    Guard(scenes.acknowledgement_after_lease_expiry, LeaderRole, "holds_lease", lambda self, now: True),
    Guard(scenes.lost_disk_counted_for_a_promise, LeaderRecovery, "_counted_promises", count_all_promises),
    Guard(scenes.empty_disk_counted, LeaderRecovery, "_counted_promises", count_promises_of_empty_disks),
    Guard(
        scenes.lost_disk_counted_for_an_entry,
        LeaderReplication,
        "_acknowledged_version",
        count_entries_of_joining,
    ),
    Guard(
        scenes.joined_too_early,
        ReplicatedLog,
        "_has_caught_up",
        lambda self, epoch, leader_commit: leader_commit <= self.commit,
    ),
    Guard(scenes.promise_lost_with_the_disk, Replica, "_is_quarantined", lambda self, now: False),
    Guard(
        scenes.disks_restored_from_old_copies,
        LeaderRecovery,
        "_lacks_committed_entries",
        lambda self, newest: False,
    ),
    Guard(scenes.promises_of_a_minority, ReplicaContext, "is_majority", lambda self, count: True),
    Guard(scenes.other_cluster, ReplicatedLog, "_is_same_cluster", lambda self, cluster_id: True),
    Guard(scenes.repeated_request, ReplicatedLog, "version_of_request", lambda self, request_id: None),
    Guard(scenes.promise_not_persisted, ReplicatedLog, "promise", promise_in_memory),
    Guard(scenes.entry_not_persisted, ReplicatedLog, "_persist", persist_in_memory),
]


@pytest.mark.parametrize("guard", GUARDS, ids=lambda guard: guard.scene.__name__)
def test_each_guard_prevents_a_safety_violation(guard, monkeypatch):
    guard.scene(Replica)
    assert guard.method in vars(guard.target)
    monkeypatch.setattr(guard.target, guard.method, guard.without)
    with pytest.raises(SafetyViolationError) as raised:
        guard.scene(Replica)
    print(f"without {guard.method}: {raised.value}")


def test_committed_entries_are_never_truncated(monkeypatch):
    world = started_world(Replica)
    world.propose("a", "x")
    world.run("abc")
    world.pass_time(SECOND, "abc")
    state = FleetState("of a")
    state.epoch, state.version = 1, 1
    other = state.draft_change(9, engine("y"))
    with pytest.raises(LogInvariantError):
        world.running["b"].receive(world.now, "c", AppendEntries(9, 1, 1, [other], 1))
    monkeypatch.setattr(ReplicatedLog, "_may_truncate", lambda self, after_version: True)
    world.crash("b")
    world.start("b")
    world.running["b"].receive(world.now, "c", AppendEntries(9, 1, 1, [other], 1))
    log = world.running["b"].log
    assert log.last.version < log.commit  # without the check, committed entries are lost silently
