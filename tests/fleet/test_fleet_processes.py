"""Fleets of broker processes with network and process faults, and the imports of `run` without a fleet."""

import json
import signal
import sys
import time

import gevent
import pytest
from gevent import socket as gsocket
from gevent import subprocess

from cypressledge.fleet.messages import VERSION, Envelope, VoteRequest, encode
from cypressledge.fleet.settings import read_fleet_settings
from cypressledge.lab.demo import ask
from cypressledge.lab.lease_faults.protected_resource import ProtectedResource
from cypressledge.lab.processes import ROOT, Brokers, until
from cypressledge.lab.site import free_udp_ports
from cypressledge.lab.udp_proxy import LinkConditions, UdpProxies
from tests.fakes.command_line import run

TERM = 1.2
WAIT = 20


class Fleet:
    """A fleet of broker processes with a UDP proxy between each two, and a resource that a task acts on."""

    def __init__(self, count=3, voters=3, steps=2, places=1):
        self.names = [f"n{i}" for i in range(count)]
        self.ports = free_udp_ports(self.names)
        self.relays, self.resource, self.brokers = UdpProxies(self.ports, 1), ProtectedResource(), Brokers()
        self.voters = [{"version": 1, "names": self.names[:voters]}]
        self.lease_and_task_settings = {
            "leases": [
                {"name": "ledger"},
                {"name": "summary"},
                {"name": "restart", "places": places, "wanted": True},
            ],
            "tasks": [
                {
                    "kind": "call",
                    "lease": "ledger",
                    "at": self.resource.address,
                    "every_s": 0.05,
                    "longest_s": TERM / 2,
                    "steps": steps,
                    "step_s": 0.05,
                },
                {"kind": "summary", "lease": "summary", "every_s": 0.3, "longest_s": 0.59},
            ],
        }
        for name in self.names:
            self.brokers.add(name, self.settings(name)).start()

    def settings(self, name):
        return {
            "peers": [
                {
                    "name": p,
                    "address": f"127.0.0.1:{self.ports[p]}" if p == name else self.relays.address(name, p),
                }
                for p in self.names
            ],
            "voters": self.voters,
            "term_s": TERM,
            "ping_s": 0.2,
            "grace_s": 1.0,
            **self.lease_and_task_settings,
        }

    def __getitem__(self, name):
        return self.brokers.all[name]

    def first_accepted_act(self, after=0, excluding=""):
        """Return the first accepted act after a time, by another broker than `excluding`; None if none."""
        return next(
            (w for w in self.resource.writes if w.accepted and w.at > after and w.holder != excluding), None
        )

    def wait_for_act(self, after=0, excluding="", seconds=WAIT):
        got = until(lambda: self.first_accepted_act(after, excluding), seconds, 0.005)
        assert got, "\n".join(b.words()[-2000:] for b in self.brokers.all.values())
        return got

    def last_write(self):
        return self.resource.writes[-1]

    def events(self, name, event):
        return [e for e in self[name].events() if e["event"] == event]

    def cli(self, name, *args):
        code, out, err = run("fleet", "--at", f"127.0.0.1:{self[name].management}", *args, timeout_s=120)
        return code, out + err

    def end(self):
        self.brokers.end()
        self.relays.close()
        self.resource.close()


@pytest.fixture
def fleet(request):
    made = Fleet(**getattr(request, "param", {}))
    yield made
    made.end()


def tokens_never_decrease(writes):
    tokens = [w.token for w in writes if w.accepted]
    return tokens == sorted(tokens)


def test_lease_of_a_killed_holder_is_taken_over(fleet):
    first = fleet.wait_for_act()
    fleet[first.holder].kill()
    killed = fleet.last_write().at
    second = fleet.wait_for_act(killed, excluding=first.holder)
    assert second.token > first.token
    assert (second.at - killed) / 1e6 < 3 * TERM
    assert tokens_never_decrease(fleet.resource.writes)


def test_holder_stopped_for_longer_than_its_term_is_fenced(fleet):
    first = fleet.wait_for_act()
    gate = fleet.resource.gate(first.holder)
    assert gate.arrived.wait(WAIT)  # an act has passed the holder's own check and waits at the resource
    fleet[first.holder].signal(signal.SIGSTOP)
    second = fleet.wait_for_act(fleet.last_write().at, excluding=first.holder)
    gate.opened.set()
    late = until(
        lambda: next(
            (w for w in fleet.resource.writes if w.holder == first.holder and w.at > second.at), None
        ),
        WAIT,
    )
    assert late.token < second.token
    assert not late.accepted
    fleet[first.holder].signal(signal.SIGCONT)
    assert until(lambda: fleet.events(first.holder, "lease_lost"), WAIT)
    assert tokens_never_decrease(fleet.resource.writes)


def test_lease_is_handed_over_within_a_term_of_sigterm(fleet):
    first = fleet.wait_for_act()
    gevent.sleep(TERM)  # until all brokers have received messages from each other
    began = time.monotonic()
    fleet[first.holder].signal(signal.SIGTERM)
    released = until(lambda: fleet.events(first.holder, "lease_released"), WAIT, 0.005)
    second = fleet.wait_for_act(fleet.last_write().at, excluding=first.holder)
    assert released
    assert second.token > first.token
    assert time.monotonic() - began < TERM


def test_operators_release_a_lease_and_read_peers_leases_tasks_and_summary(fleet):
    first = fleet.wait_for_act()
    until(lambda: len(json.loads(fleet.cli(first.holder, "peers", "--json")[1])) == 3, WAIT)
    assert until(lambda: all(p["state"] == "alive" for p in ask(fleet[first.holder], "/fleet/peers")), WAIT)
    rows = json.loads(fleet.cli(first.holder, "leases", "--json")[1])
    assert next(r for r in rows if r["lease"] == "ledger")["holder"] == first.holder
    other = next(n for n in fleet.names if n != first.holder)
    assert fleet.cli(other, "release", "ledger") == (1, "Error: not held here\n")
    assert fleet.cli(other, "release", "nothing") == (1, "Error: no such lease\n")
    code, words = fleet.cli(first.holder, "give-back", "ledger")  # the former, hidden name of `release`
    assert (code, words) == (0, "ledger given back\n")
    fleet.wait_for_act(fleet.last_write().at, excluding=first.holder)
    code, words = fleet.cli(other, "tasks")
    assert code == 0
    assert "summary" in words
    assert "call" in words
    assert until(lambda: fleet.cli(other, "summary")[1].startswith("summed up by"), WAIT)
    assert until(lambda: ask(fleet[other], "/fleet/summary")["brokers"] == 3, WAIT)
    fleet[first.holder].kill()
    assert until(lambda: ask(fleet[other], "/fleet/summary")["missing"] == [first.holder], WAIT)
    gevent.sleep(2 * TERM)  # it stays missing long after its peers consider it gone
    assert ask(fleet[other], "/fleet/summary")["missing"] == [first.holder]


def test_holder_that_receives_no_votes_stops_though_it_reaches_the_resource(fleet):
    first = fleet.wait_for_act()
    for pair in fleet.relays.paths:  # a one-way partition: the voters' answers do not reach the holder
        if pair[1] == first.holder:
            fleet.relays.paths[pair] = LinkConditions(cut=True)
    second = fleet.wait_for_act(fleet.last_write().at, excluding=first.holder)
    assert second.token > first.token
    assert until(lambda: fleet.events(first.holder, "lease_lost"), WAIT)
    fleet.relays.heal()
    assert tokens_never_decrease(fleet.resource.writes)


def test_majority_restarted_within_a_term_makes_no_second_holder(fleet):
    first = fleet.wait_for_act()
    for name in [n for n in fleet.names if n != first.holder]:
        fleet[name].kill()
        fleet[name].start()
    restarted = fleet.last_write().at
    # Other brokers must not act within a term: the restarted voters are in quarantine until the votes that
    # they granted before have expired.
    after = fleet.wait_for_act(restarted + round((TERM + 0.5) * 1e6))
    assert after.token >= first.token
    assert tokens_never_decrease(fleet.resource.writes)
    others = [w for w in fleet.resource.writes if w.holder != first.holder and w.accepted]
    assert all(w.at >= restarted + TERM * 0.9e6 for w in others)


@pytest.mark.parametrize("fleet", [{"count": 5, "voters": 3}], indirect=True)
def test_voters_change_one_at_a_time_by_sighup(fleet):
    fleet.wait_for_act()
    v2 = {"version": 2, "names": ["n0", "n1", "n2", "n3"]}
    v3 = {"version": 3, "names": ["n1", "n2", "n3"]}

    def reload_voters(voters, event, who=fleet.names):
        fleet.voters = voters
        for name in who:
            before = len(fleet.events(name, event))
            fleet[name].fleet_file.write_text(json.dumps(fleet.settings(name)))  # JSON is YAML
            fleet[name].signal(signal.SIGHUP)
            assert until(lambda n=name, b=before: len(fleet.events(n, event)) > b, WAIT), fleet[name].words()

    reload_voters([fleet.voters[0], v2 | {"names": ["n0", "n3", "n4"]}], "fleet_reload_refused", ["n0"])
    reload_voters([fleet.voters[0], v2], "fleet_reloaded")
    reload_voters([fleet.voters[0], v2, v3], "fleet_reload_refused", ["n1"])  # version 2 has not settled
    assert "not settled" in fleet.events("n1", "fleet_reload_refused")[-1]["why"]
    gevent.sleep(1.0 + 2 * TERM)  # the grace, and the longest term after it
    reload_voters([v2, v3], "fleet_reloaded")
    fleet.wait_for_act(fleet.last_write().at)
    fleet["n0"].kill()
    fleet["n4"].kill()
    fleet.wait_for_act(fleet.last_write().at + round(2 * TERM * 1e6))  # by votes of two of n1, n2, n3
    assert tokens_never_decrease(fleet.resource.writes)


def test_restart_turns_are_granted_one_at_a_time(fleet):
    fleet.wait_for_act()
    gevent.sleep(TERM)
    assert fleet.cli("n0", "restart-turn", "--wait", "10")[0] == 0
    code, words = fleet.cli("n1", "restart-turn", "--wait", "0.5")
    assert code == 1
    assert "no turn within" in words
    assert fleet["n0"].leave() == 0
    code, words = fleet.cli("n1", "restart-turn", "--wait", "2")  # n0 is missing until it is back
    assert code == 1
    assert "missing: n0" in words
    fleet["n0"].start()
    assert fleet.cli("n1", "restart-turn", "--wait", "15")[0] == 0
    assert fleet.cli("n1", "restart-turn", "--over") == (0, "over\n")


def test_invalid_datagrams_are_counted_and_change_nothing(fleet):
    first = fleet.wait_for_act()
    target = ("127.0.0.1", fleet.ports[first.holder])
    sock = gsocket.socket(gsocket.AF_INET, gsocket.SOCK_DGRAM)
    good = Envelope(VERSION, "nobody", first.holder, 1, 1, 1, 1, [VoteRequest("ledger", 9, 9, 1 << 60, 1, 1)])
    for raw in (
        b"\xc1",
        b"",
        b"y" * 9_000,
        encode(good),
        encode(Envelope(VERSION + 1, *[getattr(good, f) for f in good.__struct_fields__[1:]])),
    ):
        sock.sendto(raw, target)
    for number in range(6_000):  # slow enough that the system's receive buffer does not drop most of them
        sock.sendto(b"flood", target)
        gevent.sleep(0.002 if number % 50 == 0 else 0)
    sock.close()
    fleet.wait_for_act(fleet.last_write().at)
    fleet[first.holder].signal(signal.SIGUSR1)
    line = until(
        lambda: next((w for w in fleet[first.holder].words().splitlines() if "counters (asked)" in w), None),
        WAIT,
    )
    counts = dict(pair.split("=") for pair in line.split() if "=" in pair)
    for name in ("bad_garbled", "bad_large", "bad_version", "misdirected", "flooded"):
        assert int(counts[f"fleet.{name}"]) >= 1, line
    assert not fleet.events(first.holder, "lease_lost")


@pytest.mark.parametrize("name", ["x0", "same"])
def test_a_broker_of_another_fleet_at_the_address_of_a_gone_one_is_not_taken_for_it(fleet, name, tmp_path):
    """It has a name of its own, or that of the broker that has gone; both fleets have a lease of this name.

    The lease here stays with its holder.
    """
    first = fleet.wait_for_act()
    gone = next(n for n in fleet.names if n != first.holder)
    fleet[gone].kill()
    name = gone if name == "same" else name
    others = [{"name": f"y{number}", "address": f"127.0.0.1:{port}"} for number, port in enumerate((9, 19))]
    settings = fleet.settings(gone) | {
        "peers": [{"name": name, "address": f"127.0.0.1:{fleet.ports[gone]}"}, *others],
        "voters": [{"version": 1, "names": [name, "y0", "y1"]}],
    }
    brokers = Brokers(str(tmp_path))
    try:
        brokers.add(name, settings).start()
        assert until(brokers.all[name].listening, WAIT)
        replaced_at = fleet.last_write().at
        gevent.sleep(3 * TERM)  # as long as a voter needs to vote again after its start, and more
        fleet.wait_for_act(fleet.last_write().at)
        holders = {w.holder for w in fleet.resource.writes if w.accepted and w.at > replaced_at}
        assert holders == {first.holder}
        assert tokens_never_decrease(fleet.resource.writes)
        assert not fleet.events(first.holder, "lease_lost")
    finally:
        brokers.end()


def test_invalid_file_is_one_line_and_exit_2(tmp_path):
    brokers = Brokers(str(tmp_path))
    broker = brokers.add("n1", {"peers": [], "voters": []})
    broker.start()
    assert broker.process.wait(WAIT) == 2
    assert broker.words().splitlines() == [
        f"cypressledge: {broker.fleet_file}: 0 peers; expected 1 to 1000: 460 brokers, as many that replace "
        "them during a deployment, and control machines"
    ]


def test_run_imports_nothing_of_the_fleet(tmp_path):
    """The deployment (`deploy/balancer.toml`) starts `run` without the fleet's options. It must not import
    the packages of the fleet, the control plane, `lab` or the hosted service, nor their libraries."""
    brokers = Brokers(str(tmp_path))
    broker = brokers.add("n1", {})
    code = (
        "import os, sys; from cypressledge.broker_process.process import assemble; assemble([], os.environ); "
        "print(*sorted(sys.modules))"
    )
    done = subprocess.run(
        [sys.executable, "-O", "-c", code],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        env={"ROUTER_CONFIG": str(broker.config_file), "PATH": ""},
        timeout=WAIT,
    )
    modules = done.stdout.decode().split()
    assert "cypressledge.broker.core" in modules
    unwanted = (
        "cypressledge.fleet",
        "cypressledge.controlplane",
        "cypressledge.lab",
        "cypressledge.cli",
        "cypressledge.service",
        "cypressledge.net.clickhouse",
        "cypressledge.net.admin_api",
        "cypressledge.net.dns_sd",
        "tomllib",
        "msgspec",
        "yaml",
        "structlog",
        "click",
        "tabulate",
        "sqlite3",
    )
    assert [m for m in modules if m.startswith(unwanted)] == []


def lab(*args):
    code, out, err = run("lab", *args, timeout_s=120)
    print(out + err)
    return code, out.splitlines()


@pytest.mark.parametrize("seed", ["11", "21"])
def test_random_faults_never_make_two_holders(seed):
    code, lines = lab(
        "leases", "--brokers", "5", "--voters", "3", "--seed", seed, "--seconds", "10", "--term", "1"
    )
    assert code == 0
    assert ", overlaps 0, stale acts accepted 0, " in lines[-1]


def test_lab_leases_reports_a_stopped_holder_without_a_fence():
    code, lines = lab(
        "leases",
        "--brokers",
        "5",
        "--voters",
        "3",
        "--seed",
        "5",
        "--seconds",
        "8",
        "--term",
        "1",
        "--no-fence",
        "--only",
        "stop in an act",
    )
    assert code == 1
    assert ", overlaps 0," not in lines[-1]


def test_demo_command_works():
    code, lines = lab("demo", "--seconds", "3")
    assert code == 0
    assert any("has followed after" in line for line in lines)
    assert "lookups served" in lines[-1]


def test_shipped_fleet_file_is_valid():
    assert read_fleet_settings(str(ROOT / "deploy" / "fleet.yaml")).voter_sets == {1: ("n1", "n2", "n3")}
