"""A leader is killed or stopped during a change, and all control processes are killed at once."""

import signal
from typing import NamedTuple

import gevent
import pytest

from cypressledge.lab.processes import until
from tests.fakes.control_cluster import engine
from tests.fakes.control_processes import WAIT


@pytest.mark.parametrize("cluster", [{"fault": "kill-before-answer:3"}], indirect=True, ids=[""])
def test_leader_killed_before_its_answer_then_all_processes_killed(cluster):
    first = cluster.wait_for_settled_leader()
    subscriber = cluster.follow("b1", "z1")
    done = {f"engine/e{i}": cluster.change({f"engine/e{i}": engine(i)}, f"r{i}")["version"] for i in (1, 2)}
    check_leader_killed_before_answer(cluster, first)
    kill_and_restart_all(cluster, first, subscriber, done)


def check_leader_killed_before_answer(cluster, first):
    """The first leader is killed before it answers; a repetition at the next leader is applied once."""
    # The change is committed, but the connection ends without an answer.
    assert cluster.post_change(first, {"engine/e3": engine(3)}, "r3") == (0, {})
    first.process.wait(WAIT)
    assert first.process.returncode == -signal.SIGKILL
    answer = cluster.change({"engine/e3": engine(3)}, "r3")
    assert answer["primary"] != first.name
    assert answer["epoch"] < cluster.leader(first.name).status()["epoch"]
    first.start()
    cluster.wait_for_one_history(answer["version"])
    assert cluster.times_in_history("r3") == 1
    assert cluster.version_of_key("engine/e3") == answer["version"]
    assert cluster.change({"engine/e3": engine(3)}, "r3")["version"] == answer["version"]


def kill_and_restart_all(cluster, first, subscriber, done):
    position, entries = cluster.position(first), first.call("state")[1]["entries"]
    cluster.wait_for(lambda: subscriber.version == position.version, "the subscriber")
    digest = subscriber.state.digest
    for control in cluster.controls.values():
        control.kill()
    cluster.wait_for(lambda: not subscriber.server(), "a subscriber without a server")
    assert subscriber.version == position.version
    assert subscriber.state.digest == digest
    for control in cluster.controls.values():
        control.start()
    cluster.leader()
    version = cluster.wait_for_one_history(position.version + 1)
    entries_after = first.call("state")[1]["entries"]
    assert entries_after == entries
    assert {key: entries_after[key]["version"] for key in done} == done
    cluster.wait_for(lambda: subscriber.version == version, "a subscriber that receives changes again")
    answer = cluster.change({"engine/e3": engine(3)}, "r3")
    assert answer["version"] == cluster.version_of_key("engine/e3") < version  # the request is still known
    assert subscriber.has_never_gone_back()


class ChangesUntilFault(NamedTuple):
    """The changes requested from a leader until its injected fault took effect."""

    done: dict[str, int]  # acknowledged keys and their versions
    key: str  # key of the unacknowledged change
    request: str  # request id of the unacknowledged change


def change_until_fault(cluster, leader) -> ChangesUntilFault:
    """Request changes until the leader's injected fault takes effect."""
    done = {}
    for number in range(1, 30):
        key, request = f"engine/e{number}", f"r{number}"
        pending = gevent.spawn(cluster.post_change, leader, {key: engine(number)}, request)
        until(lambda a=pending: leader.is_halted() or not leader.running() or a.ready(), WAIT)
        if leader.is_halted() or not leader.running():
            return ChangesUntilFault(done, key, request)
        status, answer = pending.get(timeout=WAIT)
        assert status == 200, answer
        done[key] = answer["version"]
    raise AssertionError("the injected fault has not taken effect")


@pytest.mark.parametrize(
    "cluster",
    [{"fault": "kill-before:append:13"}, {"fault": "stop-before:append:13"}],
    indirect=True,
    ids=["killed", "stopped"],
)
def test_leader_killed_or_stopped_before_replicating_its_entry(cluster):
    leader = cluster.wait_for_settled_leader()
    other, away = cluster.others(leader.name)
    away.kill()  # so that every change has to be replicated to the same peer
    cluster.wait_for(lambda: leader.status()["peers"] == [other.name], "a connection that has ended")
    result = change_until_fault(cluster, leader)
    halted = leader.is_halted()
    assert len(result.done) > 2
    assert halted == leader.running()
    away.start()
    cluster.leader(leader.name)
    later = cluster.change({"engine/late": engine(99)}, "late")
    assert result.request not in {change[2] for change in cluster.changes(other)}  # no other process has it
    if halted:
        resume_deposed(cluster, leader)
    else:
        kept = leader.last_stored_position()
        assert kept[1] > max(result.done.values())
        assert kept[0] < later["epoch"]
        leader.start()
    check_dropped_and_repeated(cluster, leader, result, later["version"])


def resume_deposed(cluster, leader):
    """Resume a stopped leader, which steps down."""
    ended = len(leader.logged("leader_stopped"))
    leader.signal(signal.SIGCONT)
    cluster.wait_for(lambda: len(leader.logged("leader_stopped")) > ended, "a leader that steps down")

    def denials():
        return leader.status()["traffic"].get("in.denied", {}).get("frames", 0)

    # The resumed leader sent its AppendEntries, which both other voters deny.
    cluster.wait_for(lambda: denials() >= 1, "a denial")


def check_dropped_and_repeated(cluster, leader, result, later_version):
    """The unacknowledged change is dropped, acknowledged ones stay, and its repetition is applied once."""
    cluster.wait_for(lambda: leader.logged("truncated"), "truncated entries")
    cluster.wait_for_one_history(later_version)
    assert leader.status()["role"] == "standby"
    assert {key: cluster.version_of_key(key) for key in result.done} == result.done
    assert cluster.version_of_key(result.key) == -1
    again = cluster.change({result.key: engine(50)}, result.request)
    cluster.wait_for_one_history(again["version"])
    assert cluster.times_in_history(result.request) == 1
    assert cluster.version_of_key(result.key) == again["version"]
