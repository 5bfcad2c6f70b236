"""Scenes of replicas in a virtual world, each with what goes wrong where one guard is missing."""

from cypressledge.controlplane.change_history import compress_snapshot
from cypressledge.controlplane.log_storage import StoredLog
from cypressledge.controlplane.messages import AppendEntries, Denied, InstallSnapshot
from cypressledge.controlplane.state import FleetState
from tests.fakes.replica_world import SECOND, SafetyViolationError, World, engine


def started_world(kind, among="abc", names="abc", quarantine=0):
    """`a` leads in epoch 1, and these have its first version."""
    world = World(names, kind, quarantine)
    world.lease("a", 1)
    world.run(among)
    assert world.running["a"].role == "primary"
    return world


def is_epoch_start(message):
    """The first entry of an epoch, or what follows it."""
    return isinstance(message, AppendEntries) and any(not c.ops for c in message.changes)


def one_epoch_two_instances(kind):
    world = started_world(kind)
    world.lease("a", 2)
    world.run("ab")
    world.lease("c", 2)
    world.run("bc")
    world.propose("a", "x")
    world.run("abc")


def deposed_leader_appends(kind):
    world = started_world(kind)
    world.lease("b", 2)
    world.run("bc")
    world.propose("a", "x")
    world.run("ac")


def tail_of_an_old_epoch(kind):
    world = started_world(kind)
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


def commit_behind_a_tail(kind):
    world = started_world(kind)
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


def entry_of_an_older_epoch_counted(kind):
    """Figure 8 of Raft's paper."""
    world = started_world(kind, "abcde", "abcde")
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


def acknowledgement_after_the_lease(kind):
    world = started_world(kind)
    world.lease("a", 1, world.now + 10)
    ticket = world.propose("a", "x")
    world.now += 10
    world.run("abc")
    assert ticket.state == "unknown"


def lost_disk_counted_for_a_promise(kind):
    world = started_world(kind)
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


def empty_disk_counted(kind):
    """As above, but the operator said --first."""
    world = started_world(kind)
    world.propose("a", "x")
    world.run("ab")
    world.crash("a")
    world.lose_disk("b")
    world.crash("b")
    world.disks["b"].stored = StoredLog()
    world.start("b")
    world.lease("c", 2)
    world.pass_time(SECOND, "bc")


def lost_disk_counted_for_an_entry(kind):
    world = started_world(kind)
    world.lease("a", 2)
    world.run("ac", is_epoch_start)
    world.lease("c", 3)
    world.run("bc", is_epoch_start)  # c has b's promise, and b loses it
    world.lose_disk("b")
    world.pass_time(SECOND, "ab")
    world.pass_time(2 * SECOND, "bc")


def joined_too_early(kind):
    world = started_world(kind)
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


def lost_promise(kind):
    world = started_world(kind, quarantine=5 * SECOND)
    world.lease("c", 2, world.now + 5 * SECOND)
    world.run("bc", is_epoch_start)
    world.lose_disk("b")
    world.propose("a", "x")
    world.pass_time(4 * SECOND, "ab")
    world.pass_time(4 * SECOND, "bc")


def disks_restored_from_old_copies(kind):
    world = started_world(kind)
    old = {n: world.disks[n].load() for n in "bc"}
    world.propose("a", "x")
    world.propose("a", "y")
    world.run("abc")
    for name in "abc":
        world.crash(name)
    for name in "bc":
        world.disks[name].stored = old[name]
        world.start(name)
    world.known_versions.clear()  # what was acknowledged is lost by now
    world.lease("b", 2)
    world.run("bc")
    world.start("a")
    world.known_versions.clear()
    world.lease("b", 3)
    world.pass_time(SECOND, "ab")
    assert world.running["b"].role == "recovering"
    assert world.events.count(("b", "history_behind")) == 1


def less_than_a_majority(kind):
    world = started_world(kind)
    world.propose("a", "x")
    world.run("ab")
    world.lease("c", 2)
    world.run("c")
    world.run("abc")
    world.pass_time(SECOND, "bc")


def other_cluster(kind):
    world = started_world(kind)
    other = FleetState("of another fleet")
    other.epoch = 5
    other.apply(other.draft_change(5, engine("x")))
    message = InstallSnapshot(5, compress_snapshot(other.snapshot()), 1)
    world.call("c", lambda: world.running["c"].receive(world.now, "b", message))
    if world.running["c"].cluster_id != "of a":
        raise SafetyViolationError("a history has been taken in place of another")
    assert ("c", "other_cluster") in world.events
    assert world.network.pop() == ("c", "b", Denied(5, "lineage"))


def repeated_request(kind):
    world = started_world(kind)
    first = world.propose("a", "x")
    world.propose("a", "x")
    world.run("abc")
    world.lease("b", 2)
    world.run("abc")
    again = world.propose("b", "x")
    world.run("abc")
    assert (again.version, again.state) == (first.version, "done")


def promise_not_persisted(kind):
    world = started_world(kind)
    world.lease("c", 2)
    world.run("bc", is_epoch_start)
    world.crash("b")
    world.start("b")
    world.propose("a", "x")
    world.run("ab")
    world.pass_time(2 * SECOND, "bc")


def entry_not_persisted(kind):
    world = started_world(kind)
    world.propose("a", "x")
    world.run("ab")
    world.crash("a")
    world.crash("b")
    world.start("b")
    world.lease("c", 2)
    world.run("bc")
