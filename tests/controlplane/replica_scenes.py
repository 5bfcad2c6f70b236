"""Scenarios of replicas in a simulated world; each one violates safety if a certain check is disabled."""

from cypressledge.controlplane.change_history import compress_snapshot
from cypressledge.controlplane.log_storage import StoredLog
from cypressledge.controlplane.messages import AppendEntries, Denied, InstallSnapshot
from cypressledge.controlplane.state import FleetState
from tests.fakes.replica_world import SECOND, SafetyViolationError, World, engine


def started_world(replica_class, among="abc", names="abc", quarantine=0):
    """Return a world in which `a` leads in epoch 1 and the replicas `among` have its first version."""
    world = World(names, replica_class, quarantine)
    world.lease("a", 1)
    world.run(among)
    assert world.running["a"].role == "primary"
    return world


def is_epoch_start(message):
    """Return whether a message contains the first entry of an epoch, which has no operations."""
    return isinstance(message, AppendEntries) and any(not c.ops for c in message.changes)


def one_epoch_two_instances(replica_class):
    """Two replicas get the lease with the same epoch; a voter must not promise it to both."""
    world = started_world(replica_class)
    world.lease("a", 2)
    world.run("ab")
    world.lease("c", 2)
    world.run("bc")
    world.propose("a", "x")
    world.run("abc")


def deposed_leader_appends(replica_class):
    """A leader of epoch 1 sends entries to a voter that has promised epoch 2; they must be rejected."""
    world = started_world(replica_class)
    world.lease("b", 2)
    world.run("bc")
    world.propose("a", "x")
    world.run("ac")


def stale_entries_of_an_old_epoch(replica_class):
    """A voter has uncommitted entries of epoch 1; newer entries must replace them, not follow them."""
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
    """A heartbeat's commit version must not commit stale entries that differ from the leader's."""
    world = started_world(replica_class)
    world.propose("a", "x")
    world.propose("a", "y")
    world.run("")
    world.crash("a")
    world.lease("b", 2)
    world.run("bc")
    world.start("a")
    progress = world.running["b"].progress["a"]
    progress.in_flight_end = 2  # an AppendEntries to `a` is in flight, so only heartbeats are sent to it
    progress.resend_at = 1 << 60
    world.pass_time(SECOND, "abc")


def entry_of_an_older_epoch_counted(replica_class):
    """The scenario of figure 8 in the Raft paper: an entry of an older epoch must not be counted."""
    world = started_world(replica_class, "abcde", "abcde")
    world.propose("a", "x", engine("x", 1_200))  # so large that it is sent in a message of its own
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
    """The answers of a majority arrive after the lease has expired; the change must not be done."""
    world = started_world(replica_class)
    world.lease("a", 1, world.now + 10)
    proposal = world.propose("a", "x")
    world.now += 10
    world.run("abc")
    assert proposal.state == "unknown"


def lost_disk_counted_for_a_promise(replica_class):
    """A voter that lost its disk, and a committed entry with it, must not count for a promise."""
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
    """A voter lost its disk like in the scenario before, but the operator started it with --first."""
    world = started_world(replica_class)
    world.propose("a", "x")
    world.run("ab")
    world.crash("a")
    world.lose_disk("b")
    world.crash("b")
    world.disks["b"].stored = StoredLog()
    world.start("b")
    world.lease("c", 2)
    world.pass_time(SECOND, "bc")


def lost_disk_counted_for_an_entry(replica_class):
    """A voter that lost its disk, and a promise with it, must not count for an entry."""
    world = started_world(replica_class)
    world.lease("a", 2)
    world.run("ac", is_epoch_start)
    world.lease("c", 3)
    world.run("bc", is_epoch_start)  # `c` has received the promise of `b`, which `b` loses with its disk
    world.lose_disk("b")
    world.pass_time(SECOND, "ab")
    world.pass_time(2 * SECOND, "bc")


def joined_too_early(replica_class):
    """A voter that lost its disk must hold a committed entry of the leader's epoch before it counts again."""
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
    """A voter loses a promise with its disk; it must send nothing until the other leader's lease expires."""
    world = started_world(replica_class, quarantine=5 * SECOND)
    world.lease("c", 2, world.now + 5 * SECOND)
    world.run("bc", is_epoch_start)
    world.lose_disk("b")
    world.propose("a", "x")
    world.pass_time(4 * SECOND, "ab")
    world.pass_time(4 * SECOND, "bc")


def disks_restored_from_old_copies(replica_class):
    """A majority runs on old copies; it must not lead, as another voter knows of a newer commit."""
    world = started_world(replica_class)
    old = {n: world.disks[n].load() for n in "bc"}
    world.propose("a", "x")
    world.propose("a", "y")
    world.run("abc")
    for name in "abc":
        world.crash(name)
    for name in "bc":
        world.disks[name].stored = old[name]
        world.start(name)
    world.known_versions.clear()  # the acknowledged changes are lost with a majority's disks
    world.lease("b", 2)
    world.run("bc")
    world.start("a")
    world.known_versions.clear()
    world.lease("b", 3)
    world.pass_time(SECOND, "ab")
    assert world.running["b"].role == "recovering"
    assert world.events.count(("b", "history_behind")) == 1


def promises_of_a_minority(replica_class):
    """A candidate must not lead with its own promise alone."""
    world = started_world(replica_class)
    world.propose("a", "x")
    world.run("ab")
    world.lease("c", 2)
    world.run("c")
    world.run("abc")
    world.pass_time(SECOND, "bc")


def other_cluster(replica_class):
    """A snapshot of another cluster must not replace a voter's history."""
    world = started_world(replica_class)
    other = FleetState("of another fleet")
    other.epoch = 5
    other.apply(other.draft_change(5, engine("x")))
    message = InstallSnapshot(5, compress_snapshot(other.snapshot()), 1)
    world.call("c", lambda: world.running["c"].receive(world.now, "b", message))
    if world.running["c"].cluster_id != "of a":
        raise SafetyViolationError("a replica replaced its history by that of another cluster")
    assert ("c", "other_cluster") in world.events
    assert world.network.pop() == ("c", "b", Denied(5, "lineage"))


def repeated_request(replica_class):
    """A request that is repeated at its leader and at the next one is applied once."""
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
    """A voter that restarts must still know its promise."""
    world = started_world(replica_class)
    world.lease("c", 2)
    world.run("bc", is_epoch_start)
    world.crash("b")
    world.start("b")
    world.propose("a", "x")
    world.run("ab")
    world.pass_time(2 * SECOND, "bc")


def entry_not_persisted(replica_class):
    """A voter that restarts must still have the entry that it acknowledged."""
    world = started_world(replica_class)
    world.propose("a", "x")
    world.run("ab")
    world.crash("a")
    world.crash("b")
    world.start("b")
    world.lease("c", 2)
    world.run("bc")
