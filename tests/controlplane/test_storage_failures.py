"""Full, damaged and lost disks of control processes."""

import os
import resource
import shutil

from cypressledge.controlplane.server_selection import Server, order_servers
from cypressledge.lab.processes import until
from tests.controlplane.control_changes import ENGINE
from tests.fakes.command_line import run
from tests.fakes.control_cluster import engine
from tests.fakes.control_plane import WAIT


def test_full_disk_and_a_truncated_store(cluster):
    leader = cluster.wait_for_settled_leader()
    subscriber = cluster.follow("b1", "z1")
    keys = [f"engine/e{i}" for i in range(1, 6)]
    done = {key: cluster.change({key: engine(i)}, key)["version"] for i, key in enumerate(keys)}
    fill_disk(cluster, leader, subscriber, done)
    damaged = cluster.others(cluster.leader().name)[0]
    damage_last_page(damaged)
    answer = cluster.change({"engine/e9": engine(9)}, "r9")
    move_store_away(damaged)
    damaged.start("--rejoin")
    cluster.wait_for(lambda: damaged.logged("joined"), "a voter that has joined")
    cluster.wait_for_one_history(answer["version"])
    assert damaged.status()["joining"] is False
    assert subscriber.has_never_gone_back()


def fill_disk(cluster, leader, subscriber, done):
    """The leader's disk is full during a change, which another leader makes; later it has space again."""
    size = (leader.store / "history.sqlite-wal").stat().st_size
    assert size > 4 * leader.log_file.stat().st_size  # the limit applies to its log file too
    soft, hard = resource.prlimit(leader.process.pid, resource.RLIMIT_FSIZE)
    resource.prlimit(leader.process.pid, resource.RLIMIT_FSIZE, (size, hard))
    status, answer = cluster.post_change(leader, {"engine/full": engine(60)}, "full")
    assert (status, answer["answer"]) == (503, "unknown")
    assert leader.logged("disk_error")
    assert leader.logged("leader_stopped")
    cluster.leader(leader.name)
    answer = cluster.change({"engine/full": engine(60)}, "full")
    assert answer["primary"] != leader.name
    cluster.wait_for(lambda: subscriber.version >= answer["version"], "a subscriber of the others")
    assert leader.running()
    assert cluster.position(leader).version < answer["version"]
    resource.prlimit(leader.process.pid, resource.RLIMIT_FSIZE, (soft, hard))
    cluster.wait_for_one_history(answer["version"])
    assert cluster.times_in_history("full") == 1
    assert {key: cluster.version_of_key(key) for key in done} == done


def damage_last_page(control):
    """Truncate a process's store in the middle of the last page: the process does not start."""
    assert control.terminate() == 0
    file = control.store / "history.sqlite"
    os.truncate(file, file.stat().st_size - 2048)
    lines = lines_of_failed_start(control)
    assert len(lines) == 1, lines
    assert "damaged" in lines[0], lines
    assert "--rejoin" in lines[0], lines


def move_store_away(control):
    """Move the files of a process's store away: the process does not start without them either."""
    for left in control.store.iterdir():
        left.rename(control.folder / f"moved-{left.name}")
    lines = lines_of_failed_start(control)
    assert len(lines) == 1, lines
    assert "--rejoin" in lines[0], lines


def lines_of_failed_start(control) -> list[str]:
    """Return the lines that a process logs when it fails to start."""
    before = len(control.log_text().splitlines())
    control.start()
    assert control.process.wait(WAIT) == 2
    return control.log_text().splitlines()[before:]


def test_a_full_disk_ends_leadership_and_no_change_is_lost(plane):
    for name, control in plane.controls.items():
        control.start("--first", str(plane.seed_file), fault="disk-full:append:3" if name == "c1" else "")
    plane.leader()
    servers = [Server(name, "") for name in plane.controls]
    name = next(n for n in map(str, range(100)) if order_servers(n, "", "", servers)[0].name == "c1")
    broker = plane.broker(name)  # it follows the process whose disk will be full
    assert plane.broker_has_version(broker, 1), plane.log_text()
    assert broker.status()["server"] == "c1", plane.log_text()
    for number in range(4):
        engine = ENGINE | {"address": f"127.0.0.1:{number + 1}"}
        code, output = plane.change({"engines": {f"s-{number}": engine}})
        assert code == 0, output + plane.log_text()
        assert "in force at 1 of 1 brokers" in output, output + plane.log_text()
    assert plane.controls["c1"].logged("disk_error")
    assert broker.status()["server"] != "c1"
    primary = plane.controls[plane.leader("c1")]
    code, entries, _ = run(
        "control", "state", "--at", plane.servers[primary.name]["management"], "--prefix", "engine/"
    )
    assert [f"engine/s-{n}" in entries for n in range(4)] == [True] * 4


def test_a_lost_disk_requires_the_rejoin_option(plane):
    first = plane.start()
    lost = plane.controls[next(n for n in plane.controls if n != first)]
    assert plane.change({"engines": {"s-1": ENGINE}})[0] == 0
    lost.kill()
    shutil.rmtree(lost.store)
    log_length = len(lost.log_text())
    lost.start()
    assert lost.process.wait(WAIT) == 2
    output = lost.log_text()[log_length:]
    assert "Start with --rejoin" in output
    assert len(output.splitlines()) == 1
    lost.start("--rejoin")
    assert until(lambda: lost.status().get("version", 0) >= 2 and not lost.status()["joining"], WAIT), output
    assert plane.change({"engines": {"s-2": ENGINE | {"address": "127.0.0.1:8"}}})[0] == 0
    newest = plane.controls[plane.leader()].status()
    assert until(lambda: lost.status()["digest"] == newest["digest"], WAIT), plane.log_text()
