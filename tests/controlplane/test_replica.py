"""Replicas of the fleet's history: each guard is seen to be needed, and random worlds keep one history."""

import struct

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cypressledge.controlplane import log_entries
from cypressledge.controlplane.change_history import compress_snapshot
from cypressledge.controlplane.errors import LogInvariantError, NotLeaderError, VersionConflictError
from cypressledge.controlplane.leader_recovery import LeaderRecovery
from cypressledge.controlplane.leader_role import LeaderRole
from cypressledge.controlplane.log_replication import LeaderReplication
from cypressledge.controlplane.log_storage import PromisedEpoch, StoredLog
from cypressledge.controlplane.messages import AppendEntries, Denied, InstallSnapshot
from cypressledge.controlplane.replica import Replica
from cypressledge.controlplane.replica_context import ReplicaContext, Role
from cypressledge.controlplane.replicated_log import ReplicatedLog
from cypressledge.controlplane.state import FleetState
from cypressledge.controlplane.state_values import StateError
from tests.fakes.replica_world import SECOND, Fault, World, engine, walk


def begun(kind, among="abc", names="abc", mute=0):
    """`a` leads in epoch 1, and these have its first version."""
    w = World(names, kind, mute)
    w.lease("a", 1)
    w.run(among)
    assert w.up["a"].role == "primary"
    return w


def opening(message):
    """The first entry of an epoch, or what follows it."""
    return isinstance(message, AppendEntries) and any(not c.ops for c in message.changes)


def one_epoch_two_runs(kind):
    w = begun(kind)
    w.lease("a", 2)
    w.run("ab")
    w.lease("c", 2)
    w.run("bc")
    w.propose("a", "x")
    w.run("abc")


def an_old_primary_speaks(kind):
    w = begun(kind)
    w.lease("b", 2)
    w.run("bc")
    w.propose("a", "x")
    w.run("ac")


def a_tail_of_an_old_epoch(kind):
    w = begun(kind)
    w.propose("a", "x")
    w.propose("a", "y")
    w.run("")
    w.crash("a")
    w.lease("b", 2)
    w.run("bc")
    w.propose("b", "z")
    w.run("bc")
    w.start("a")
    w.lease("b", 3)
    w.run("bc")
    w.pass_time(SECOND, "abc")


def committed_behind_a_tail(kind):
    w = begun(kind)
    w.propose("a", "x")
    w.propose("a", "y")
    w.run("")
    w.crash("a")
    w.lease("b", 2)
    w.run("bc")
    w.start("a")
    w.up["b"].progress["a"].in_flight_end = 2  # an AppendEntries to a is out: only signs of life go there
    w.up["b"].progress["a"].resend_at = 1 << 60
    w.pass_time(SECOND, "abc")


def an_older_epoch_counted(kind):
    """Figure 8 of Raft's paper."""
    w = begun(kind, "abcde", "abcde")
    w.propose("a", "x", engine("x", 1_200))  # so large that it goes alone
    w.run("ab")
    w.crash("a")
    w.lease("e", 2)
    w.run("cde", opening)
    w.crash("e")
    w.start("a")
    w.lease("a", 3)
    w.run("abc", opening)
    w.crash("a")
    w.start("e")
    w.lease("e", 4)
    w.run("bcde")


def a_word_after_the_lease(kind):
    w = begun(kind)
    w.lease("a", 1, w.now + 10)
    ticket = w.propose("a", "x")
    w.now += 10
    w.run("abc")
    assert ticket.state == "unknown"


def a_lost_disk_counted_for_a_promise(kind):
    w = begun(kind)
    w.propose("a", "x")
    w.run("ab")
    w.crash("a")
    w.lose_disk("b")
    w.lease("c", 2)
    w.pass_time(SECOND, "bc")
    w.start("a")
    w.pass_time(2 * SECOND, "abc")
    assert w.up["c"].role == "primary"
    assert w.requests == {"x": 2}


def an_empty_disk_counted(kind):
    """As above, but the operator said --first."""
    w = begun(kind)
    w.propose("a", "x")
    w.run("ab")
    w.crash("a")
    w.lose_disk("b")
    w.crash("b")
    w.disks["b"].kept = StoredLog()
    w.start("b")
    w.lease("c", 2)
    w.pass_time(SECOND, "bc")


def a_lost_disk_counted_for_an_entry(kind):
    w = begun(kind)
    w.lease("a", 2)
    w.run("ac", opening)
    w.lease("c", 3)
    w.run("bc", opening)  # c has b's promise, and b loses it
    w.lose_disk("b")
    w.pass_time(SECOND, "ab")
    w.pass_time(2 * SECOND, "bc")


def full_again_too_early(kind):
    w = begun(kind)
    w.lease("a", None)
    w.lease("b", 2)
    w.run("abc")
    w.propose("b", "x")
    w.run("ab", lambda m: isinstance(m, AppendEntries) and m.commit > 2)
    w.lose_disk("b")
    w.lease("a", 3)
    w.run("ac", opening)
    w.pass_time(2 * SECOND, "ab", lambda m: isinstance(m, AppendEntries) and m.changes)
    w.crash("a")
    w.lease("c", 4)
    w.pass_time(SECOND, "bc")


def a_lost_promise(kind):
    w = begun(kind, mute=5 * SECOND)
    w.lease("c", 2, w.now + 5 * SECOND)
    w.run("bc", opening)
    w.lose_disk("b")
    w.propose("a", "x")
    w.pass_time(4 * SECOND, "ab")
    w.pass_time(4 * SECOND, "bc")


def disks_put_back(kind):
    w = begun(kind)
    old = {n: w.disks[n].load() for n in "bc"}
    w.propose("a", "x")
    w.propose("a", "y")
    w.run("abc")
    for name in "abc":
        w.crash(name)
    for name in "bc":
        w.disks[name].kept = old[name]
        w.start(name)
    w.truth.clear()  # what was acknowledged is lost by now
    w.lease("b", 2)
    w.run("bc")
    w.start("a")
    w.truth.clear()
    w.lease("b", 3)
    w.pass_time(SECOND, "ab")
    assert w.up["b"].role == "recovering"
    assert w.events.count(("b", "history_behind")) == 1


def less_than_a_majority(kind):
    w = begun(kind)
    w.propose("a", "x")
    w.run("ab")
    w.lease("c", 2)
    w.run("c")
    w.run("abc")
    w.pass_time(SECOND, "bc")


def another_history(kind):
    w = begun(kind)
    other = FleetState("of another fleet")
    other.epoch = 5
    other.apply(other.draft_change(5, engine("x")))
    w.call(
        "c", lambda: w.up["c"].receive(w.now, "b", InstallSnapshot(5, compress_snapshot(other.snapshot()), 1))
    )
    if w.up["c"].cluster_id != "of a":
        raise Fault("a history has been taken in place of another")
    assert ("c", "other_cluster") in w.events
    assert w.net.pop() == ("c", "b", Denied(5, "lineage"))


def a_request_repeated(kind):
    w = begun(kind)
    first = w.propose("a", "x")
    w.propose("a", "x")
    w.run("abc")
    w.lease("b", 2)
    w.run("abc")
    again = w.propose("b", "x")
    w.run("abc")
    assert (again.version, again.state) == (first.version, "done")


def a_promise_not_kept(kind):
    w = begun(kind)
    w.lease("c", 2)
    w.run("bc", opening)
    w.crash("b")
    w.start("b")
    w.propose("a", "x")
    w.run("ab")
    w.pass_time(2 * SECOND, "bc")


def an_entry_not_kept(kind):
    w = begun(kind)
    w.propose("a", "x")
    w.run("ab")
    w.crash("a")
    w.crash("b")
    w.start("b")
    w.lease("c", 2)
    w.run("bc")


def memory_promise(self, epoch, instance_id):
    self.promised = PromisedEpoch(epoch, instance_id)
    return True


persist = ReplicatedLog._persist


def memory_entries(self, step, *args):
    is_follower = self._context.role is Role.FOLLOWER
    return step in ("append", "commit") and is_follower or persist(self, step, *args)


def counts_all(self):
    return self._promises


def counts_empty(self):
    return {v: p for v, p in self._promises.items() if not p.joining}


def counts_joining(self, voter):
    return self._log.last.version if voter == self._context.name else self.progress[voter].match_version


# What happens, and the guard without which it goes wrong.
GUARDS = [
    (one_epoch_two_runs, ReplicatedLog, "may_promise", lambda self, epoch, instance_id: True),
    (an_old_primary_speaks, ReplicatedLog, "is_stale", lambda self, epoch: False),
    (
        a_tail_of_an_old_epoch,
        ReplicatedLog,
        "contains",
        lambda self, epoch, version: self.entries.epoch_at(version) is not None,
    ),
    (
        committed_behind_a_tail,
        ReplicatedLog,
        "committed_here",
        lambda self, commit, matching: min(commit, self.last.version),
    ),
    (an_older_epoch_counted, ReplicatedLog, "is_of_own_epoch", lambda self, version: True),
    (a_word_after_the_lease, LeaderRole, "is_leased", lambda self, now: True),
    (a_lost_disk_counted_for_a_promise, LeaderRecovery, "_counted_promises", counts_all),
    (an_empty_disk_counted, LeaderRecovery, "_counted_promises", counts_empty),
    (a_lost_disk_counted_for_an_entry, LeaderReplication, "_acknowledged_version", counts_joining),
    (
        full_again_too_early,
        ReplicatedLog,
        "_has_caught_up",
        lambda self, epoch, leader_commit: leader_commit <= self.commit,
    ),
    (a_lost_promise, Replica, "_is_muted", lambda self, now: False),
    (disks_put_back, LeaderRecovery, "_is_behind_commit", lambda self, newest: False),
    (less_than_a_majority, ReplicaContext, "is_majority", lambda self, count: True),
    (another_history, ReplicatedLog, "_is_same_cluster", lambda self, cluster_id: True),
    (a_request_repeated, ReplicatedLog, "version_of_request", lambda self, request_id: None),
    (a_promise_not_kept, ReplicatedLog, "promise", memory_promise),
    (an_entry_not_kept, ReplicatedLog, "_persist", memory_entries),
]


@pytest.mark.parametrize(("scene", "owner", "guard", "without"), GUARDS, ids=[g[0].__name__ for g in GUARDS])
def test_guard_holds_and_is_needed(scene, owner, guard, without, monkeypatch):
    scene(Replica)
    assert guard in vars(owner)
    monkeypatch.setattr(owner, guard, without)
    with pytest.raises(Fault) as found:
        scene(Replica)
    print(f"without {guard}: {found.value}")


def test_what_is_committed_is_never_dropped(monkeypatch):
    w = begun(Replica)
    w.propose("a", "x")
    w.run("abc")
    w.pass_time(SECOND, "abc")
    state = FleetState("of a")
    state.epoch, state.version = 1, 1
    other = state.draft_change(9, engine("y"))
    with pytest.raises(LogInvariantError):
        w.up["b"].receive(w.now, "c", AppendEntries(9, 1, 1, [other], 1))
    monkeypatch.setattr(ReplicatedLog, "_may_truncate", lambda self, after_version: True)
    w.crash("b")
    w.start("b")
    w.up["b"].receive(w.now, "c", AppendEntries(9, 1, 1, [other], 1))
    assert w.up["b"].log.last.version < w.up["b"].log.commit  # without the guard: gone, unnoticed


def test_refusals():
    w = begun(Replica)
    with pytest.raises(NotLeaderError) as found:
        w.up["b"].propose(w.now, engine("x"), 1, "r", "me", "", 0)
    assert found.value.leader == "a"
    a = w.up["a"]
    a.propose(w.now, engine("x"), 1, "r", "me", "", 0)
    with pytest.raises(VersionConflictError) as clash:
        a.propose(w.now, engine("x"), 1, "s", "me", "", 0)
    assert clash.value.keys == ["engine/x-0"]
    with pytest.raises(StateError):
        a.propose_own(w.now, engine("/"))
    assert not w.up["b"].lease(w.now, 1, 1 << 60)  # the epoch was promised already: another token is needed


def test_a_name_stands_for_one_change():
    w = begun(Replica)
    first = w.propose("a", "x")
    for _ in range(2):  # while it waits, and once it is committed
        with pytest.raises(StateError, match=f"became version {first.version}, with other contents"):
            w.up["a"].propose(w.now, engine("y"), 1, "x", "me", "", 0)
        assert w.up["a"].propose(w.now, engine("x"), 0, "x", "me", "", 0).version == first.version
        w.run("abc")
    w.lease("b", 2)
    w.run("abc")
    with pytest.raises(StateError, match="with other contents"):  # a new primary knows it, too
        w.up["b"].propose(w.now, engine("x", 2), 1, "x", "me", "", 0)
    assert w.up["b"].latest_state.entries.keys() == {"engine/x-0"}


def test_a_full_disk_costs_the_lead_and_nothing_else():
    w = begun(Replica)
    w.disks["b"].plan = ["full"]
    ticket = w.propose("a", "x")
    w.run("abc")
    assert ticket.state == "done"
    assert ("a", "voter_denied") in w.events
    w.disks["a"].plan = ["full"]
    assert w.propose("a", "y").state == "unknown"
    assert w.up["a"].role == "standby"
    w.settle(5)


def test_a_primary_without_a_majority_gives_up():
    w = begun(Replica)
    ticket = w.propose("a", "x")
    w.pass_time(9 * SECOND, "a")
    assert w.up["a"].role == "primary"
    assert ticket.state == "open"
    w.pass_time(SECOND, "a")
    assert w.up["a"].role == "standby"
    assert ticket.state == "unknown"
    assert not w.lease("a", 1)
    w.lease("b", 2)
    w.pass_time(20 * SECOND, "bc")
    assert w.up["b"].role == "primary"
    assert w.up["b"].status(w.now).match == {"a": -1, "c": 2}


def test_a_voter_far_behind_gets_a_snapshot(monkeypatch):
    monkeypatch.setattr(log_entries, "MAX_KEPT_ENTRIES", 4)
    w = begun(Replica)
    w.crash("c")
    for i in range(40):
        w.propose("a", f"r{i}")
        w.run("ab")
    w.start("c")
    w.pass_time(8 * SECOND, "abc")
    assert w.up["c"].log.committed_state.digest == w.up["a"].log.committed_state.digest
    assert w.up["c"].log.commit == 41
    assert w.up["a"].log.entries.base.version > 20


def test_a_lost_disk_comes_back():
    w = begun(Replica, mute=5 * SECOND)
    w.lose_disk("b")
    w.propose("a", "x")
    w.pass_time(4 * SECOND, "ab")
    assert w.up["a"].log.commit == 1
    assert not w.up["b"].is_eligible(w.now)
    w.pass_time(8 * SECOND, "ab")
    assert w.acked == {"x": 2}
    assert not w.disks["b"].kept.joining
    w.settle(5)


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
        w = walk(struct.unpack(f">{len(raw) // 2}H", raw[: len(raw) // 2 * 2]), names, losses=losses)
        seen["worlds"] += 1
        seen["versions"] += len(w.truth)
        seen["joined"] += sum(event == "joined" for _, event in w.events)
        seen["acknowledged"] += len(w.acked) - 1  # but for the last one, in peace
        seen["epochs"] += len({epoch for epoch, *_ in w.truth.values()})

    play()
    print(seen)
    assert seen["acknowledged"] > 300
    assert seen["epochs"] > 300
    assert seen["joined"] > 50 or not losses
