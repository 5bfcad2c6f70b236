"""The simulated operator against made-up answers: it finds answers that must not be. And its records."""

import json
from types import SimpleNamespace

import pytest

from cypressledge.lab.capacity import simulated_operator
from cypressledge.lab.capacity.checks import AcknowledgedChange
from cypressledge.lab.capacity.day import Event
from cypressledge.lab.capacity.event_records import current_leader, read_tail
from cypressledge.lab.capacity.fault_injector import FaultInjector, Kill
from cypressledge.lab.capacity.observations import harness_observations
from cypressledge.lab.capacity.process_cost import ProcessCost


class FakeControlPlane:
    """Answers as a control process does, or with one fault."""

    def __init__(self, fault=""):
        self.fault, self.version, self.requests, self.keys, self.calls = fault, 0, {}, {}, 0

    def http(self, port, method, path, body, seconds):
        self.calls += 1
        request = json.loads(body)
        ops = request["ops"]
        keys = [*ops.get("set", ()), *ops.get("remove", ())]
        if self.fault == "moved" and self.calls == 1:
            return 503, {"answer": "not primary", "at": "127.0.0.1:102"}
        if self.fault != "twice" and request["request"] in self.requests:
            return 200, self.done(self.requests[request["request"]])
        if self.fault != "takes all" and self.is_invalid(ops):
            return 422, {"answer": "invalid", "why": "bad"}
        base = request["base"]
        if self.fault != "no clash" and base is not None and any(self.keys.get(k, 0) > base for k in keys):
            return 409, {"answer": "clash", "why": "changed"}
        if self.fault == "refuses":
            return 409, {"answer": "clash", "why": "changed"}
        self.version += 1
        self.requests[request["request"]] = self.version
        self.keys |= {k: self.version for k in keys}
        if self.fault == "lost answers" and self.calls % 2:
            raise TimeoutError
        return 200, self.done(self.version)

    @staticmethod
    def done(version):
        return {"answer": "done", "version": version, "epoch": 1}

    @staticmethod
    def is_invalid(ops):
        values = ops.get("set", {})
        return (
            "remove" in ops
            and "config/Classes" in ops["remove"]
            or any(
                k in ("engine/bad", "engine/no good", "nothing/x") or v == {"DrainGrace": 1}
                for k, v in values.items()
            )
        )


def operator_and_control_plane(monkeypatch, fault=""):
    plane = FakeControlPlane(fault)
    monkeypatch.setattr(simulated_operator, "call_management", plane.http)
    monkeypatch.setattr(simulated_operator, "RETRY_INTERVAL_S", 0.001)
    fake_engine = SimpleNamespace(member=lambda: {"host_port": "127.0.0.1:5"})
    fleet = SimpleNamespace(
        size=SimpleNamespace(engines=9),
        fake_engines=[fake_engine],
        controls=[SimpleNamespace(management=101), SimpleNamespace(management=102)],
    )
    return simulated_operator.SimulatedOperator(fleet, 1), plane


KINDS = ("settings", "engine drains", "engine goes", "engine comes", "repeat", "clash", "bad")


@pytest.mark.parametrize("fault", ["", "lost answers", "moved"])
def test_a_sound_plane_has_nothing_wrong(monkeypatch, fault):
    operator, plane = operator_and_control_plane(monkeypatch, fault)
    for kind in KINDS * 3:
        operator.play(Event(0, kind))
    assert operator.wrong_answers == []
    assert operator.counts["bad refused"] == 3
    assert operator.counts["clashed"] == 3
    assert operator.counts["repeated"] == 3
    assert {a.version for a in operator.acknowledged} == set(range(1, plane.version + 1))


@pytest.mark.parametrize(
    ("fault", "kind", "words"),
    [
        ("twice", "repeat", "and then"),
        ("no clash", "clash", "both taken"),
        ("takes all", "bad", "was taken"),
        ("refuses", "settings", "good change"),
    ],
)
def test_a_fault_is_found(monkeypatch, fault, kind, words):
    operator, _ = operator_and_control_plane(monkeypatch, fault)
    operator.play(Event(0, kind))
    assert len(operator.wrong_answers) == 1
    assert words in operator.wrong_answers[0]


def test_the_leader_is_followed(monkeypatch):
    operator, _ = operator_and_control_plane(monkeypatch, "moved")
    operator.play(Event(0, "settings"))
    assert operator.leader_port == 102
    assert len(operator.acknowledged) == 1


def test_what_the_harness_observed_becomes_the_checks_input():
    operator = SimpleNamespace(
        acknowledged=[AcknowledgedChange(900, 3, "r3"), AcknowledgedChange(950, 4, "r4")], wrong_answers=[]
    )
    faults = FaultInjector(None, None, kills=[Kill("a", 50), Kill("a", 500)])
    records = [
        {"at": at, "broker": "a", "run": run, "event": "start"}
        for at, run in ((10, 1), (20, 1), (60, 2), (600, 3))
    ]
    controls = [
        {"at": 800, "who": "c1", "event": "acknowledged", "version": 3, "request": "r3"},
        {"at": 990, "who": "c1", "event": "acknowledged", "version": 4, "request": "r4"},
    ]
    observed = harness_observations(
        operator, faults, records, controls, frozenset("ab"), 1000, {("b", 7): 77}
    )
    assert observed.ends == {("a", 1): 50, ("a", 2): 500, ("b", 7): 77}
    assert [a.at for a in observed.acked] == [800, 950]


def test_the_tail_of_a_file_is_complete_lines(tmp_path):
    path = tmp_path / "a"
    path.write_text("".join(json.dumps({"n": n, "x": "y" * 50}) + "\n" for n in range(3_000)) + '{"n": 3')
    found = read_tail(path)
    assert found[-1]["n"] == 2_999
    assert 500 < len(found) < 1_200


def test_a_cost_counts_over_restarts():
    cost = ProcessCost()
    for total in (100, 250, 40, 60):  # a new life begins at 0
        cost.add_total(total)
    assert cost.net_bytes == 310


def test_the_current_leader():
    def leader_record(who, event, epoch):
        return {"who": who, "event": event, "epoch": epoch}

    assert current_leader([]) == ""
    both = [
        leader_record("c1", "primary", 5),
        leader_record("c2", "primary", 9),
        leader_record("c1", "stepped_down", 5),
    ]
    assert current_leader(both) == "c2"  # whatever the former one says later
    assert current_leader([*both, leader_record("c2", "stepped_down", 9)]) == ""
