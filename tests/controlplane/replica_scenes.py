"""Scenes of replicas in a virtual world, each with what goes wrong where one guard is missing."""

from cypressledge.controlplane.change_history import compress_snapshot
from cypressledge.controlplane.log_storage import StoredLog
from cypressledge.controlplane.messages import AppendEntries, Denied, InstallSnapshot
from cypressledge.controlplane.state import FleetState
from tests.fakes.replica_world import SECOND, SafetyViolationError, World, engine


def started_world(replica_class, among="abc", names="abc", quarantine=0):
    """`a` leads in epoch 1, and these have its first version."""
    world = World(names, replica_class, quarantine)
    world.lease("a", 1)
    world.run(among)
    assert world.running["a"].role == "primary"
    return world


def is_epoch_start(message):
    """The first entry of an epoch, or what follows it."""
    return isinstance(message, AppendEntries) and any(not c.ops for c in message.changes)


def one_epoch_two_instances(replica_class):
    world = started_world(replica_class)
    world.lease("a", 2)
    world.run("ab")
    world.lease("c", 2)
    world.run("bc")
    world.propose("a", "x")
    world.run("abc")


def deposed_leader_appends(replica_class):
    world = started_world(replica_class)
    world.lease("b", 2)
    world.run("bc")
    world.propose("a", "x")
    world.run("ac")


def stale_entries_of_an_old_epoch(replica_class):
    world = started_world(replica_class)
    world.propose("a", "x")
    world.propose("a", "y")
    world.run("")
    world.crash("a")
    world.lease("b", 2)
    world.run("bc")
    world.propose("b", "z")
    world.run("bc")
    world.start("a")
    world.lease("b", 3)
    world.run("bc")
    world.pass_time(SECOND, "abc")


def commit_beyond_matching_entries(replica_class):
    world = started_world(replica_class)
    world.propose("a", "x")
    world.propose("a", "y")
    world.run("")
    world.crash("a")
    world.lease("b", 2)
    world.run("bc")
    world.start("a")
    progress = world.running["b"].progress["a"]
    progress.in_flight_end = 2  # an AppendEntries to a is out: only heartbeats go there
    progress.resend_at = 1 << 60
    world.pass_time(SECOND, "abc")


def entry_of_an_older_epoch_counted(replica_class):
    """Figure 8 of Raft's paper."""
    world = started_world(replica_class, "abcde", "abcde")
    world.propose("a", "x", engine("x", 1_200))  # so large that it goes alone
    world.run("ab")
    world.crash("a")
    world.lease("e", 2)
    world.run("cde", is_epoch_start)
    world.crash("e")
    world.start("a")
    world.lease("a", 3)
    world.run("abc", is_epoch_start)
    world.crash("a")
    world.start("e")
    world.lease("e", 4)
    world.run("bcde")


def acknowledgement_after_lease_expiry(replica_class):
    world = started_world(replica_class)
    world.lease("a", 1, world.now + 10)
    proposal = world.propose("a", "x")
    world.now += 10
    world.run("abc")
    assert proposal.state == "unknown"


def lost_disk_counted_for_a_promise(replica_class):
    world = started_world(replica_class)
    world.propose("a", "x")
    world.run("ab")
    world.crash("a")
    world.lose_disk("b")
    world.lease("c", 2)
    world.pass_time(SECOND, "bc")
    world.start("a")
    world.pass_time(2 * SECOND, "abc")
    assert world.running["c"].role == "primary"
    assert world.requests == {"x": 2}


def empty_disk_counted(replica_class):
    """As above, but the operator said --first."""
    world = started_world(replica_class)
    world.propose("a", "x")
    world.run("ab")
    world.crash("a")
    world.lose_disk("b")
    world.crash("b")
    world.disks["b"].kept = StoredLog()
    world.start("b")
    world.lease("c", 2)
    world.pass_time(SECOND, "bc")


def lost_disk_counted_for_an_entry(replica_class):
    world = started_world(replica_class)
    world.lease("a", 2)
    world.run("ac", is_epoch_start)
    world.lease("c", 3)
    world.run("bc", is_epoch_start)  # c has b's promise, and b loses it
    world.lose_disk("b")
    world.pass_time(SECOND, "ab")
    world.pass_time(2 * SECOND, "bc")


def joined_too_early(replica_class):
    world = started_world(replica_class)
    world.lease("a", None)
    world.lease("b", 2)
    world.run("abc")
    world.propose("b", "x")
    world.run("ab", lambda m: isinstance(m, AppendEntries) and m.commit > 2)
    world.lose_disk("b")
    world.lease("a", 3)
    world.run("ac", is_epoch_start)
    world.pass_time(2 * SECOND, "ab", lambda m: isinstance(m, AppendEntries) and m.changes)
    world.crash("a")
    world.lease("c", 4)
    world.pass_time(SECOND, "bc")


def promise_lost_with_the_disk(replica_class):
    world = started_world(replica_class, quarantine=5 * SECOND)
    world.lease("c", 2, world.now + 5 * SECOND)
    world.run("bc", is_epoch_start)
    world.lose_disk("b")
    world.propose("a", "x")
    world.pass_time(4 * SECOND, "ab")
    world.pass_time(4 * SECOND, "bc")


def disks_restored_from_old_copies(replica_class):
    world = started_world(replica_class)
    old = {n: world.disks[n].load() for n in "bc"}
    world.propose("a", "x")
    world.propose("a", "y")
    world.run("abc")
    for name in "abc":
        world.crash(name)
    for name in "bc":
        world.disks[name].kept = old[name]
        world.start(name)
    world.truth.clear()  # what was acknowledged is lost by now
    world.lease("b", 2)
    world.run("bc")
    world.start("a")
    world.truth.clear()
    world.lease("b", 3)
    world.pass_time(SECOND, "ab")
    assert world.running["b"].role == "recovering"
    assert world.events.count(("b", "history_behind")) == 1


def promises_of_a_minority(replica_class):
    world = started_world(replica_class)
    world.propose("a", "x")
    world.run("ab")
    world.lease("c", 2)
    world.run("c")
    world.run("abc")
    world.pass_time(SECOND, "bc")


def other_cluster(replica_class):
    world = started_world(replica_class)
    other = FleetState("of another fleet")
    other.epoch = 5
    other.apply(other.draft_change(5, engine("x")))
    message = InstallSnapshot(5, compress_snapshot(other.snapshot()), 1)
    world.call("c", lambda: world.running["c"].receive(world.now, "b", message))
    if world.running["c"].cluster_id != "of a":
        raise SafetyViolationError("a history has been taken in place of another")
    assert ("c", "other_cluster") in world.events
    assert world.network.pop() == ("c", "b", Denied(5, "lineage"))


def repeated_request(replica_class):
    world = started_world(replica_class)
    first = world.propose("a", "x")
    world.propose("a", "x")
    world.run("abc")
    world.lease("b", 2)
    world.run("abc")
    again = world.propose("b", "x")
    world.run("abc")
    assert (again.version, again.state) == (first.version, "done")


def promise_not_persisted(replica_class):
    world = started_world(replica_class)
    world.lease("c", 2)
    world.run("bc", is_epoch_start)
    world.crash("b")
    world.start("b")
    world.propose("a", "x")
    world.run("ab")
    world.pass_time(2 * SECOND, "bc")


def entry_not_persisted(replica_class):
    world = started_world(replica_class)
    world.propose("a", "x")
    world.run("ab")
    world.crash("a")
    world.crash("b")
    world.start("b")
    world.lease("c", 2)
    world.run("bc")
