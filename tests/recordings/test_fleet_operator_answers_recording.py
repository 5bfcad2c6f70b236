"""What brokers of a fleet answer to operators' calls, held against fleet_operator_answers.json.

Three brokers of the program as processes, asked over their management address. Values that differ from run to
run are put by their kind: times, tokens and incarnations as "number", whoever happens to hold a lease as
"broker". Only the imports may follow a rename; the recorded answers may not change.
"""

import http.client
import json
import re
from pathlib import Path

import pytest

from cypressledge.lab.processes import Brokers, until
from cypressledge.lab.site import free_port

RECORDED = Path(__file__).parent / "fleet_operator_answers.json"
WAIT_S = 20
NAMES = ("n0", "n1", "n2")
VOLATILE = {
    "incarnation",
    "heard_s",
    "token",
    "left_s",
    "acts",
    "cpu_ms",
    "longest_step_ms",
    "turn_p99_ms",
    "age_s",
    "number",
    "overdue",
    "rank",
}
HOLDERS = {"holder", "planner"}


def call(broker, method, path, body=""):
    conn = http.client.HTTPConnection("127.0.0.1", broker.management, timeout=5)
    try:
        conn.request(method, path, body.encode())
        answer = conn.getresponse()
        return answer.status, answer.read().decode()
    except OSError:
        return 0, ""
    finally:
        conn.close()


def shown(broker, path):
    status, text = call(broker, "GET", path)
    return json.loads(text) if status == 200 else None


def normal(value, key=""):
    """A value of an answer without what differs from run to run."""
    if isinstance(value, dict):
        return {k: normal(v, k) for k, v in value.items()}
    if isinstance(value, list):
        return [normal(v, key) for v in value]
    if key in HOLDERS and value in NAMES:
        return "broker"
    if key in VOLATILE and not isinstance(value, str | bool):
        return "number"
    return re.sub(r"\b\d+ tries at \d+ of|\bn\d\b", "…", value) if key == "why" else value


def fleet_file(ports):
    return {
        "peers": [
            {"name": n, "address": f"127.0.0.1:{ports[n]}", "zone": f"room{i + 1}"}
            for i, n in enumerate(NAMES)
        ],
        "voters": [{"version": 1, "names": list(NAMES)}],
        "term_s": 1.0,
        "ping_s": 0.2,
        "grace_s": 1.0,
        "leases": [{"name": "zones"}, {"name": "summary"}, {"name": "restart", "wanted": True}],
        "regions": [{"name": "north", "zones": ["room1"]}],
        "tasks": [
            {"kind": "zones", "lease": "zones", "longest_s": 0.4, "priority": 0},
            {"kind": "summary", "lease": "summary", "every_s": 0.5, "longest_s": 0.5},
        ],
    }


@pytest.fixture(scope="module")
def brokers():
    fleet = Brokers()
    try:
        ports = {n: free_port() for n in NAMES}
        for name in NAMES:
            members = [
                {
                    "id": f"e{i}",
                    "host_port": "127.0.0.1:9",
                    "locality": f"room{i}",
                    "cell": 0,
                    "flavor": "node-8c",
                    "phase": "Ready",
                    "size": 4,
                    "up_since_ms": 0,
                }
                for i in (1, 2)
            ]
            fleet.add(name, fleet_file(ports), members).start()
        made = [fleet.all[n] for n in NAMES]
        assert until(lambda: all(settled(b) for b in made), WAIT_S, 0.1), "\n".join(b.words() for b in made)
        yield made
    finally:
        fleet.end()


def settled(broker):
    peers, leases, zones = (shown(broker, p) for p in ("/fleet/peers", "/fleet/leases", "/zone/status"))
    summary = shown(broker, "/fleet/summary")
    return (
        peers
        and all(p["state"] == "alive" and p["heard_s"] is not None for p in peers)
        and all(p["voters_version"] == 1 for p in peers)
        and leases
        and all(s["holder"] and len(s["line"]) == 3 for s in leases if s["lease"] != "restart")
        and zones
        and zones["token"]
        and summary
        and summary["brokers"] == 3
        and not summary["missing"]
    )


PLAN = {"zone": "room2", "what": "hold", "span_s": 5.0, "why": "a look"}


def test_the_answers_are_as_recorded(brokers):
    first = brokers[0]
    planner = shown(first, "/zone/status")["planner"]
    holder = next(b for b in brokers if b.name == planner)
    other = next(b for b in brokers if b.name != planner)
    answers = fleet_answers(first)
    answers |= dry_run_answers(holder, other, planner)
    answers |= zone_command_answers(other, planner)
    answers |= lease_answers(first, holder, other)
    told = json.dumps(answers, indent=1, ensure_ascii=False) + "\n"
    assert json.loads(told) == json.loads(RECORDED.read_text())
    assert told == RECORDED.read_text()  # the order of keys, too


def fleet_answers(first):
    """Of peers, leases, tasks and the summary."""
    answers = {
        f"GET {path}": normal(shown(first, path))
        for path in ("/fleet/peers", "/fleet/leases", "/fleet/tasks", "/fleet/summary")
    }
    # Who holds a lease, and so where its task runs and which state it is in, differs from run to run.
    answers["GET /fleet/tasks"] = [t | {"running_under": "held or not"} for t in answers["GET /fleet/tasks"]]
    answers["GET /fleet/leases"] = [
        s | {"line": sorted(s["line"]), "state": s["state"] if s["lease"] == "restart" else "held or not"}
        for s in answers["GET /fleet/leases"]
    ]
    return answers


def dry_run_answers(holder, other, planner):
    """Of zones, and of commands that are only tried, at the planner and at another broker."""
    answers = {
        "GET /zone/status": normal(shown(other, "/zone/status")),
        "planner's rows of GET /zone/status": normal(shown(holder, "/zone/status"))["zones"],
        "planner, POST /zone/dry-run": call(holder, "POST", "/zone/dry-run", json.dumps(PLAN)),
    }
    leave = PLAN | {"what": "leave", "zone": "room1"}
    answers["planner, POST /zone/dry-run, leave"] = call(holder, "POST", "/zone/dry-run", json.dumps(leave))
    for name, body in {
        "bad": "{",
        "unknown": json.dumps(PLAN | {"zone": "x"}),
        "too long": json.dumps(PLAN | {"span_s": 1e9}),
        "other": json.dumps(PLAN),
    }.items():
        status, text = call(other, "POST", "/zone/dry-run", body)
        answers[f"another, POST /zone/dry-run, {name}"] = status, text.replace(planner, "broker")
    return answers


def zone_command_answers(other, planner):
    """Of a command that holds a zone."""
    status, text = call(other, "POST", "/zone/wish", json.dumps(PLAN))
    answers = {"another, POST /zone/wish": (status, text.replace(planner, "broker"))}
    assert until(lambda: any(z["by_hand"] for z in shown(other, "/zone/status")["zones"]), WAIT_S, 0.1)
    answers["GET /zone/status, held"] = normal(shown(other, "/zone/status"))["zones"]
    return answers


def lease_answers(first, holder, other):
    """Of leases that are released and turns that are asked for."""
    answers = {
        "POST /fleet/give-back, none": call(first, "POST", "/fleet/give-back", "x"),
        "POST /fleet/give-back, another's": call(other, "POST", "/fleet/give-back", "zones"),
        "POST /fleet/turn, none": call(first, "POST", "/fleet/turn", "zones"),
    }
    status, text = call(first, "POST", "/fleet/turn", "restart")
    answers["POST /fleet/turn"] = status, normal(json.loads(text))
    assert until(lambda: json.loads(call(first, "POST", "/fleet/turn", "restart")[1])["yours"], WAIT_S, 0.1)
    status, text = call(first, "POST", "/fleet/turn", "restart")
    answers["POST /fleet/turn, held"] = status, normal(json.loads(text))
    answers["POST /fleet/turn/over"] = [
        normal(json.loads(call(first, "POST", "/fleet/turn/over", "restart")[1]))
    ]
    answers["POST /fleet/give-back"] = call(holder, "POST", "/fleet/give-back", "zones")
    return answers
