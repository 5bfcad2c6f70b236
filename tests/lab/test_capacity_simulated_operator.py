"""The simulated operator against a fake control plane, and the reading of event records."""

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
    """Answers as a control process does, correctly or with one given fault."""

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
    control_plane = FakeControlPlane(fault)
    monkeypatch.setattr(simulated_operator, "call_management", control_plane.http)
    monkeypatch.setattr(simulated_operator, "RETRY_INTERVAL_S", 0.001)
    fake_engine = SimpleNamespace(member=lambda: {"host_port": "127.0.0.1:5"})
    fleet = SimpleNamespace(
        size=SimpleNamespace(engines=9),
        fake_engines=[fake_engine],
        controls=[SimpleNamespace(management=101), SimpleNamespace(management=102)],
    )
    return simulated_operator.SimulatedOperator(fleet, 1), control_plane


KINDS = ("settings", "engine drains", "engine goes", "engine comes", "repeat", "clash", "bad")


@pytest.mark.parametrize("fault", ["", "lost answers", "moved"])
def test_correct_answers_are_not_reported_as_wrong(monkeypatch, fault):
    operator, control_plane = operator_and_control_plane(monkeypatch, fault)
    for kind in KINDS * 3:
        operator.play(Event(0, kind))
    assert operator.wrong_answers == []
    assert operator.counts["bad refused"] == 3
    assert operator.counts["clashed"] == 3
    assert operator.counts["repeated"] == 3
    assert {a.version for a in operator.acknowledged} == set(range(1, control_plane.version + 1))


@pytest.mark.parametrize(
    ("fault", "kind", "message"),
    [
        ("twice", "repeat", "its repetition returned"),
        ("no clash", "clash", "both accepted"),
        ("takes all", "bad", "was accepted"),
        ("refuses", "settings", "valid change"),
    ],
)
def test_an_incorrect_answer_is_reported(monkeypatch, fault, kind, message):
    operator, _ = operator_and_control_plane(monkeypatch, fault)
    operator.play(Event(0, kind))
    assert len(operator.wrong_answers) == 1
    assert message in operator.wrong_answers[0]


def test_the_operator_switches_to_the_leader_named_in_an_answer(monkeypatch):
    operator, _ = operator_and_control_plane(monkeypatch, "moved")
    operator.play(Event(0, "settings"))
    assert operator.leader_port == 102
    assert len(operator.acknowledged) == 1


def test_harness_observations_contain_ends_of_runs_and_times_of_acknowledgements():
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


def test_read_tail_returns_complete_lines_only(tmp_path):
    path = tmp_path / "a"
    path.write_text("".join(json.dumps({"n": n, "x": "y" * 50}) + "\n" for n in range(3_000)) + '{"n": 3')
    found = read_tail(path)
    assert found[-1]["n"] == 2_999
    assert 500 < len(found) < 1_200


def test_traffic_is_summed_over_restarts():
    cost = ProcessCost()
    for total in (100, 250, 40, 60):  # the count of a restarted process begins at 0
        cost.add_total(total)
    assert cost.net_bytes == 310


def test_the_current_leader_ignores_records_of_older_epochs():
    def leader_record(who, event, epoch):
        return {"who": who, "event": event, "epoch": epoch}

    assert current_leader([]) == ""
    two_leaders = [
        leader_record("c1", "primary", 5),
        leader_record("c2", "primary", 9),
        leader_record("c1", "stepped_down", 5),
    ]
    assert current_leader(two_leaders) == "c2"  # even if the former leader records its end later
    assert current_leader([*two_leaders, leader_record("c2", "stepped_down", 9)]) == ""
