"""The operators' calls of a control process answer as recorded in operators_answers.json.

Each call goes over HTTP to processes of the program, so that nothing of the package's own names is pinned.
Values that differ between runs (times, ports, epochs, identities of processes) are replaced by key before the
comparison; the names of the control processes are replaced by their roles.

Run as a script, it writes the file anew.
"""

import json
import re
import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parents[2]))

from cypressledge.lab.capacity.control_process import call_management
from tests.fakes.control_cluster import ControlCluster

FILE = Path(__file__).with_name("operators_answers.json")
VOLATILE = frozenset(("at", "counters", "epoch", "lineage", "published", "run", "silent_ms", "traffic"))
ADDRESS = re.compile(r"127\.0\.0\.1:\d{4,5}")
ENGINE = {"address": "10.0.0.1:9000", "kind": "node-8c", "zone": "room1"}
TRAFFIC = frozenset(("in.hello", "in.welcome", "out.hello", "out.welcome"))  # that each has sent and received


def change(**more) -> dict:
    """A change's body; `more` is above its usual fields."""
    return {"request": "", "who": "ann", "why": "because", "ops": {"set": {"engine/e1": ENGINE}}} | more


CHANGES = {  # calls in this order, each at the primary; what one leaves is there for the next
    "change_dry_run": change(dry_run=True),
    "change_accepted": change(request="one"),
    "change_repeated": change(request="one"),
    "change_repeated_with_other_keys": change(request="one", ops={"set": {"engine/e9": ENGINE}}),
    "change_of_all_kinds": change(
        request="two",
        base=2,
        ops={
            "set": {
                "engine/e2": {"address": "10.0.0.2:9000", "state": "draining", "cell": 3, "born_ms": 4},
                "broker/b7": {"address": "10.0.0.7:9100", "zone": "z1", "region": "r1"},
            },
            "remove": ["engine/e0"],
        },
    ),
    "change_that_removes": change(request="three", ops={"remove": ["engine/e2", "engine/absent"]}),
    "change_that_removes_and_sets_again": change(
        request="four", ops={"set": {"engine/e0": {"address": "10.0.0.3:9000"}}}
    ),
    "change_of_nothing": change(request="five", ops={}),
    "clash": change(base=1),
    "clash_dry_run": change(base=1, dry_run=True),
    "clash_with_a_later_base": change(base=99),
    "bad_engine": change(ops={"set": {"engine/e4": {"address": "10.0.0.4:1", "color": "red"}}}),
    "bad_engine_address": change(ops={"set": {"engine/e4": {"address": "nowhere"}}}),
    "bad_engine_port": change(ops={"set": {"engine/e4": {"address": "10.0.0.4:0"}}}),
    "bad_engine_address_of_another": change(ops={"set": {"engine/e4": ENGINE}}),
    "bad_key": change(ops={"set": {"engine/a b": ENGINE}}),
    "bad_kind_of_key": change(ops={"set": {"queue/a": {}}}),
    "bad_key_twice": change(ops={"set": {"engine/e4": ENGINE}, "remove": ["engine/e4"]}),
    "bad_config": change(ops={"set": {"config/Classes": []}}),
    "bad_long_request": change(request="x" * 513),
    "bad_long_who": change(who="x" * 513),
    "bad_value": change(ops={"set": {"engine/e4": 1 << 70}}),
    "bad_many_keys": change(ops={"remove": [f"engine/n{n}" for n in range(2_001)]}),
    "bad_size": change(ops={"set": {"config/Note": "x" * (512 << 10)}}),
    "bad_field": change(colour="red"),
    "bad_body": ["a list"],
    "bad_base": change(base=-1),
    "bad_base_text": change(base="newest"),
    "bad_who": change(who=7),
    "bad_ops": change(ops=[]),
    "bad_ops_field": change(ops={"put": {}}),
    "bad_ops_set": change(ops={"set": []}),
    "bad_ops_remove": change(ops={"remove": [7]}),
}
READS = {
    "history": "history",
    "history_from": "history?from=3",
    "history_from_later": "history?from=99",
    "history_from_no_version": "history?from=new",
    "state": "state",
    "state_of_a_prefix": "state?prefix=broker/",
    "state_of_no_prefix": "state?prefix=none/",
    "lag": "lag",
    "lag_of_a_version": "lag?version=2",
    "lag_of_no_version": "lag?version=1.5",
    "unknown_call": "nothing",
}


class Recorder:
    """Answers with volatile values replaced."""

    def __init__(self, primary: str) -> None:
        self.primary = primary
        self.answers: dict[str, dict] = {}

    def keep(self, name: str, answer: tuple[int, object]) -> None:
        """One answer: (HTTP status, JSON)."""
        status, told = answer
        self.answers[name] = {"status": status, "json": self.normal(told)}

    def normal(self, value: object, key: str = "") -> object:
        """The same value in every run."""
        if key in VOLATILE:
            return self.volatile(key, value)
        if isinstance(value, dict):
            return {self.text(k): self.normal(v, k) for k, v in value.items()}
        if isinstance(value, list):
            plain = [self.normal(v) for v in value]
            return sorted(plain) if key == "peers" else plain
        return self.text(value) if isinstance(value, str) else value

    def text(self, text: str) -> str:
        """Roles for names of control processes, and one word for local addresses."""
        if text in ("c1", "c2", "c3"):
            return "PRIMARY" if text == self.primary else "OTHER" + str(self.others().index(text) + 1)
        return ADDRESS.sub("ADDRESS", text)

    def others(self) -> list[str]:
        return [name for name in ("c1", "c2", "c3") if name != self.primary]

    def volatile(self, key: str, value: object) -> str:
        """What kind of value it is; the kinds of frames, and the shape of their counts, are looked at."""
        if key == "traffic":
            assert all(set(v) == {"frames", "bytes"} for v in value.values()), value
            assert value.keys() >= TRAFFIC, value
        if key in ("traffic", "counters", "published"):
            return "COUNTS"
        if key == "at":
            return "TIME" if isinstance(value, int) else self.text(value)
        return f"{key.upper()}: {type(value).__name__}"


def record() -> dict[str, dict]:
    """Every call's answer, by its name."""
    cluster = ControlCluster()
    try:
        leader = cluster.leader()
        other = cluster.others(leader.name)[0]
        found = Recorder(leader.name)
        cluster.wait_for_one_history()
        cluster.wait_for(
            lambda: all(len(control.status().get("peers", ())) == 2 for control in cluster.controls.values()),
            "all links",
        )
        record_changes_and_reads(cluster, leader, found)
        record_at_a_standby(cluster, leader, other, found)
        record_status(cluster, leader, other, found)
        record_without_majority(cluster, leader, found)
        return found.answers
    finally:
        cluster.close()


def record_changes_and_reads(cluster, leader, found) -> None:
    """Two brokers follow, of which one refuses all, while an operator changes and reads."""
    taker = cluster.follow("b1", "z1")
    refuser = cluster.follow("b2", "z1")
    refuser.changed = lambda state, change: "not to my taste"
    cluster.wait_for(lambda: min(taker.version, refuser.version) == 1, "two brokers that follow")
    for name, body in CHANGES.items():
        found.keep(name, leader.call("change", "POST", body))
    newest = leader.status()["version"]
    cluster.wait_for(
        lambda: lag(leader).get("refused") == 1
        and lag(leader)["in_force"] == 1
        and lag(leader)["unheard"] == []
        and lag(leader)["newest"] == newest,
        "reports",
    )
    for name, path in READS.items():
        found.keep(name, leader.call(path))


def record_at_a_standby(cluster, leader, other, found) -> None:
    """Calls at one that does not lead, and calls that nobody answers."""
    newest = leader.status()["version"]
    cluster.wait_for(lambda: other.status()["version"] == newest, "a standby that has everything")
    found.keep("state_at_a_standby", other.call("state"))
    found.keep("lag_at_a_standby", other.call("lag"))
    found.keep("change_at_a_standby", other.call("change", "POST", change()))
    found.keep("change_by_get", leader.call("change"))
    found.keep("state_by_post", leader.call("state", "POST", {}))
    found.keep("unknown_path", call_management(leader.management, "GET", "/elsewhere"))


def record_status(cluster, leader, other, found) -> None:
    """The status of a leader and of another one, once all hold everything and no broker follows."""
    newest = leader.status()["version"]
    cluster.wait_for(
        lambda: leader.status()["match"].values() and set(leader.status()["match"].values()) == {newest},
        "voters that hold everything",
    )
    for subscriber in cluster.subscribers:
        subscriber.stop()
    cluster.wait_for(lambda: leader.status()["brokers"] == other.status()["brokers"] == 0, "no broker")
    found.keep("status", leader.call("status"))
    found.keep("status_at_a_standby", other.call("status"))


def record_without_majority(cluster, leader, found) -> None:
    for control in cluster.others(leader.name):
        control.kill()
    body = change(request="six", ops={"remove": ["engine/e0"]})
    found.keep("change_without_majority", leader.call("change", "POST", body))


def lag(server) -> dict:
    """What it says of its brokers."""
    return server.call("lag")[1]


@pytest.fixture(scope="module")
def answers() -> dict[str, dict]:
    return record()


def test_answers_are_those_recorded(answers):
    recorded = json.loads(FILE.read_text(encoding="utf-8"))
    assert answers.keys() == recorded.keys()
    different = {
        name: (answers[name], recorded[name]) for name in recorded if answers[name] != recorded[name]
    }
    assert not different, json.dumps(different, indent=1)


def test_the_order_of_fields_is_that_recorded(answers):
    assert json.dumps(answers) == json.dumps(json.loads(FILE.read_text(encoding="utf-8")))


if __name__ == "__main__":
    FILE.write_text(json.dumps(record(), indent=1) + "\n", encoding="utf-8")
