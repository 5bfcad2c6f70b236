"""A region is cut off during a change, and a control process starts on an old copy of its store."""

import shutil

import gevent
import pytest

from tests.fakes.control_cluster import LEASE_TERM, engine
from tests.fakes.control_processes import WAIT


@pytest.mark.parametrize("cluster", [{"proxied": True}], indirect=True, ids=[""])
def test_partition_during_a_change_and_a_restored_old_store(cluster):
    leader = cluster.wait_for_settled_leader()
    cluster.change({"engine/e1": engine(1)}, "r1")
    inside = cluster.follow("inside", only=(leader.name,))
    outside = cluster.follow("outside", only=tuple(other.name for other in cluster.others(leader.name)))
    cluster.wait_for(lambda: inside.version == outside.version == leader.status()["version"], "subscribers")
    second = partition_leader_during_change(cluster, leader, inside, outside)
    old = next(iter(cluster.others(cluster.leader().name)))
    restore_old_store(cluster, old)
    assert second.running()
    assert all(subscriber.has_never_gone_back() for subscriber in cluster.subscribers)


def partition_leader_during_change(cluster, leader, inside, outside):
    """Cut off a leader during a change; return the next leader."""
    cluster.cut(leader.name)
    pending = gevent.spawn(cluster.post_change, leader, {"engine/e2": engine(2)}, "r2")
    second = cluster.leader(leader.name)
    change = cluster.change({"engine/e3": engine(3)}, "r3")
    cluster.wait_for(lambda: outside.version >= change["version"], "subscribers on the majority's side")
    status, answer = pending.get(timeout=WAIT)
    assert (status, answer["answer"]) == (503, "unknown"), answer
    check_deposed(cluster, leader, inside, change["version"])
    cluster.heal()
    cluster.wait_for_one_history(change["version"])
    assert cluster.times_in_history("r2") == cluster.times_in_history("r4") == 0
    again = cluster.change({"engine/e2": engine(2)}, "r2")
    cluster.wait_for(lambda: inside.version >= again["version"] <= outside.version, "all subscribers")
    assert cluster.times_in_history("r2") == 1
    assert inside.status().stale_ms < 3000 * LEASE_TERM
    return second


def check_deposed(cluster, leader, inside, newer_version):
    """A leader that is cut off has stepped down, and its subscriber detects that it is stale."""
    status_of_deposed = leader.status()
    assert status_of_deposed["role"] != "primary"
    assert status_of_deposed["primary"] == ""
    assert status_of_deposed["version"] < newer_version
    assert cluster.post_change(leader, {"engine/e4": engine(4)}, "r4")[0] == 421
    cluster.wait_for(
        lambda: inside.status().stale_ms > 2000 * LEASE_TERM, "a subscriber that knows it is stale"
    )
    assert inside.server() == leader.name
    assert inside.version == status_of_deposed["version"]


def restore_old_store(cluster, old):
    """Restore an old copy of a store; a subscriber that holds a newer version does not go back."""
    subscriber = cluster.follow("after", only=(old.name,))
    old.kill()
    shutil.copytree(old.store, cluster.folder / "copy")
    old.start()
    for number in range(5, 9):
        change = cluster.change({f"engine/e{number}": engine(number)}, f"r{number}")
    cluster.wait_for(
        lambda: subscriber.version >= change["version"], "a subscriber of the process to be restored"
    )
    held = subscriber.version
    old.kill()
    shutil.rmtree(old.store)
    shutil.copytree(cluster.folder / "copy", old.store)
    cluster.cut(old.name)  # it has only its old copy, and its subscriber no other server
    old.start()
    check_old_store_is_not_followed(cluster, old, subscriber, held)
    cluster.heal()
    change = cluster.change({"engine/e9": engine(9)}, "r9")
    cluster.wait_for(lambda: subscriber.version >= change["version"], "the subscriber")
    cluster.wait_for_one_history(change["version"])


def check_old_store_is_not_followed(cluster, old, subscriber, held):
    """The process's subscriber keeps its newer version."""
    cluster.wait_for(
        lambda: subscriber.server() and old.status().get("brokers"), "a subscriber of the restored process"
    )
    assert old.status()["version"] < held
    heartbeats = subscriber.traffic.frames["in.beat"]
    cluster.wait_for(
        lambda: subscriber.traffic.frames["in.beat"] > heartbeats + 2, "heartbeats of the restored process"
    )
    assert subscriber.version == held
    assert subscriber.subscriber.counters.show().get("update_rejected", 0) == 0
    assert old.status()["role"] == "standby"
