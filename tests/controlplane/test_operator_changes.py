"""Changes by operators: applied at brokers, rejected, repeated, and concurrent."""

import signal

import gevent
import pytest
import yaml

from cypressledge.lab.engines import LabEngine
from cypressledge.lab.processes import until
from cypressledge.lab.site import SETTINGS
from tests.controlplane.control_changes import ENGINE, version_of
from tests.fakes.command_line import run
from tests.fakes.control_cluster import SEED, engine
from tests.fakes.control_plane import WAIT


def test_concurrent_and_invalid_operator_changes(cluster):
    leader = cluster.wait_for_settled_leader()
    version = make_concurrent_changes(cluster, leader)
    before = cluster.position(leader)
    check_bad_changes_are_rejected(cluster, leader)
    assert cluster.position(leader) == before
    assert cluster.wait_for_one_history() == version
    repeat_change_by_command(cluster)
    assert cluster.times_in_history("cli") == 1
    assert cluster.wait_for_one_history() == version + 1


def make_concurrent_changes(cluster, leader) -> int:
    """Make two concurrent changes of one key: one succeeds, one conflicts. Return the version after them."""
    base = leader.status()["version"]
    pending = [
        gevent.spawn(
            cluster.post_change,
            leader,
            {"engine/e1": engine(i), f"engine/o{i}": engine(10 + i)},
            f"two{i}",
            base=base,
        )
        for i in (1, 2)
    ]
    gevent.joinall(pending, WAIT)
    answers = sorted((post.value for post in pending), key=lambda answer: answer[0])
    assert [status for status, _ in answers] == [200, 409], answers
    assert answers[1][1]["answer"] == "clash"
    assert answers[1][1]["keys"] == ["engine/e1"]
    return cluster.wait_for_one_history(answers[0][1]["version"])


def check_bad_changes_are_rejected(cluster, leader):
    bad = [
        {"engine/e2": engine(1) | {"cell": -1}},
        {"engine/e2": SEED["engines"]["e0"]},
        {"nothing/e2": {}},
        {"config/Rules": {"Fall": 1}},
    ]
    for number, sets in enumerate(bad):
        status, answer = cluster.post_change(leader, sets, f"bad{number}")
        assert (status, answer["answer"]) == (400, "bad"), answer
        assert "\n" not in answer["why"], answer
        assert answer["why"], answer


def repeat_change_by_command(cluster):
    """Run a command that is rejected with one line, and one that is repeated with the same request id."""
    file = cluster.folder / "change.yaml"
    file.write_text(yaml.safe_dump({"engines": {"e2": SEED["engines"]["e0"]}}))
    at = [
        word for control in cluster.controls.values() for word in ("--at", f"127.0.0.1:{control.management}")
    ]
    code, out, err = run("control", "change", str(file), *at)
    assert (code, out, err.count("\n")) == (2, "", 1), (code, out, err)
    assert "engine/e0" in err, (code, out, err)
    file.write_text(yaml.safe_dump({"engines": {"e2": engine(30)}}))
    codes = [run("control", "change", str(file), *at, "--request", "cli", "--why", "twice") for _ in range(2)]
    assert [code for code, _, _ in codes] == [0, 0], codes
    assert codes[0][1] == codes[1][1], codes


def test_a_change_is_applied_by_a_broker(plane):
    plane.start()
    engine = LabEngine("s-1", "room1")
    broker = plane.broker("n1")
    assert plane.broker_has_version(broker, 1), plane.log_text()
    port = engine.server.server_port
    code, output = plane.change(
        {
            "engines": {"s-1": ENGINE | {"address": f"127.0.0.1:{port}"}},
            "config": {"Customers": [{"Name": "sahel"}, {"Name": "dune"}]},
        }
    )
    assert code == 0, output + plane.log_text()
    assert "in force at 1 of 1 brokers" in output
    status = broker.status()
    assert (status["version"], status["refused"], status["engines_from_here"]) == (
        version_of(output),
        "",
        True,
    )
    assert status["digest"] == plane.controls[plane.leader()].status()["digest"]
    assert broker.serves(), broker.log_text()
    assert broker.counter("reloads") == 2  # the settings of the first version and those of the change
    engine.server.stop()


MANY = {
    f"node-{n:04d}.cluster": ENGINE
    | {"address": f"10.0.{n // 250}.{n % 250}:8123", "born_ms": 1_790_000_000_000 + 977 * n}
    for n in range(1_500)
}


@pytest.mark.parametrize("plane", [{"seed": {"config": SETTINGS, "engines": MANY}}], indirect=True)
def test_a_large_state_reaches_all_voters_and_brokers(plane):
    """The first change exceeds the size limit of first frames, for voters and for brokers."""
    plane.start()
    broker = plane.broker("n1")
    assert plane.broker_has_version(broker, 1), plane.log_text()
    code, output = plane.change({"engines": {name: None for name in list(MANY)[:700]}})
    assert code == 0, output + plane.log_text()
    assert "in force at 1 of 1 brokers" in output, output + plane.log_text()
    digest = plane.controls[plane.leader()].status()["digest"]
    assert until(lambda: all(c.status()["digest"] == digest for c in plane.controls.values()), WAIT)
    assert broker.counter("ready_engines") == len(MANY) - 700


def test_a_rejected_change_leaves_the_state_unchanged(plane):
    plane.start()
    before = plane.controls[plane.leader()].status()["version"]
    code, output = plane.change({"config": {"Classes": []}})
    assert code == 2
    assert "refused: bad: config:" in output
    code, output = plane.change({"engines": {"s-1": ENGINE, "s-2": ENGINE}})
    assert code == 2
    assert "at the address of" in output
    code, output = plane.change({"engines": {"s-1": ENGINE}}, "--dry-run")
    assert (code, output) == (0, f"would be version {before + 1}: 1 keys\n")
    assert plane.controls[plane.leader()].status()["version"] == before
    assert plane.change({"engines": {"s-1": ENGINE}}, "--against", str(before))[0] == 0
    code, output = plane.change({"engines": {"s-1": ENGINE | {"zone": "x"}}}, "--against", str(before))
    assert code == 2
    assert "refused: clash: changed meanwhile: engine/s-1" in output


def test_a_repeated_request_returns_the_lost_answer(plane):
    first = plane.start("kill-before-answer:1")
    code, output = plane.change({"engines": {"s-1": ENGINE}}, "--request", "one", "--wait", "0.5")
    assert code == 1, output + plane.log_text()
    assert "repeat it with --request one" in output, output + plane.log_text()
    assert plane.controls[first].process.wait(WAIT) == -signal.SIGKILL
    before = {r["version"] for r in plane.records("committed")}
    code, output = plane.change({"engines": {"s-1": ENGINE}}, "--request", "one")
    assert code == 0, output + plane.log_text()
    assert version_of(output) in before, output + plane.log_text()
    primary = plane.controls[plane.leader(first)]
    code, history, _ = run("control", "history", "--at", plane.servers[primary.name]["management"], "--json")
    assert code == 0
    assert history.count('"request": "one"') == 1
