"""Zone failover in a fleet of broker processes: all evacuate a lost zone once and return to it in steps."""

import json
import signal
import sys
import time
from itertools import pairwise

import pytest
from gevent import sleep, subprocess

from cypressledge.lab.processes import ROOT, until
from cypressledge.lab.udp_proxy import LinkConditions
from cypressledge.lab.zone_processes.testbed import ZONES, ZoneTestbed, ZoneTestbedOptions, logged_at

WAIT = 25
A, B, C = ZONES


@pytest.fixture
def bed(request):
    options = {"brokers": 5, "failover": True, "seed": 11, "rate": 0.5, "warm_s": 4.0, "hold_s": 2.0}
    made = ZoneTestbed(ZoneTestbedOptions(**options | getattr(request, "param", {})))
    try:
        yield made.start()
    finally:
        made.close()


def cli(bed, name, *args):
    done = subprocess.run(
        [sys.executable, "-m", "cypressledge", "zone", "--at", f"127.0.0.1:{bed[name].management}", *args],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        timeout=30,
    )
    return done.returncode, done.stdout.decode()


def wait_for_traffic(bed):
    """Wait until clients have had answers and all engines have received queries."""
    assert until(lambda: bed.load.counts["kept"] > 150, WAIT)
    assert until(lambda: all(len(e.received) >= 10 for e in bed.engines), WAIT)


def fail_zone(bed, zone, how):
    for engine in bed.engines_in(zone):
        engine.fail(how)
    return time.monotonic()


def repair_zone(bed, zone):
    for engine in bed.engines_in(zone):
        engine.repair()


def wait_until_evacuated(bed, zone, among=None):
    return until(lambda: all(s == 0 for s in bed.shares(zone, among)), WAIT, 0.05)


def log(bed):
    return "\n".join(b.words()[-1500:] for b in bed.brokers.all.values())


@pytest.mark.parametrize("how", ["silent", "reset"])
def test_all_brokers_evacuate_a_failed_zone_and_return_to_it_in_steps(bed, how):
    wait_for_traffic(bed)
    lost = fail_zone(bed, A, how)
    assert wait_until_evacuated(bed, A), log(bed)
    took = time.monotonic() - lost
    sleep(2.2)  # requests in flight and the grace time of drains are over by then
    quiet_since = time.monotonic()
    sleep(1.0)
    assert bed.last_received(A) < quiet_since, "something was sent into a zone that is out"
    assert took < 3, took
    kept = bed.load.counts["kept"]
    repair_zone(bed, A)
    assert until(lambda: all(s == 1 for s in bed.shares(A)), WAIT, 0.1), log(bed)
    assert bed.load.counts["kept"] > kept
    assert sum(e.overload_failures for e in bed.engines) == 0
    plan_shares = [e["shares"][A] for e in bed.events("plan_accepted") if e["broker"] == "n0"]
    increases = [b - a for a, b in pairwise(plan_shares) if b > a]
    assert len(increases) > 4, plan_shares
    assert max(increases[1:]) <= 63, plan_shares
    departures = bed.events("zone_leaving")
    assert {departure["zone"] for departure in departures} == {A}, departures


@pytest.mark.parametrize("how", ["cut", "blind"])
def test_a_cut_path_or_an_isolated_broker_evacuates_no_zone(bed, how):
    wait_for_traffic(bed)
    for engine in bed.engines:
        if how == "blind":
            engine.block({"n1"}, "reset")
        elif engine.zone == A:
            engine.block({"n1", "n4"}, "silent")  # the brokers of zone B
    received_before = len(bed.engines[0].received)
    sleep(5)
    assert len(bed.engines[0].received) > received_before
    assert not bed.events("zone_leaving", "zones_locally_evacuated"), log(bed)
    assert set(bed.shares(A)) == {1}
    if how == "blind":
        assert [e["peer"] for e in bed.events("broker_isolated")][:1] == ["n1"]


@pytest.mark.parametrize("bed", [{"brokers": 7, "warm_s": 12.0}], indirect=True)
def test_shares_do_not_jump_when_the_planner_and_two_brokers_are_killed_during_a_return(bed):
    wait_for_traffic(bed)
    fail_zone(bed, A, "silent")
    assert wait_until_evacuated(bed, A), log(bed)
    repair_zone(bed, A)
    assert until(lambda: all(0.2 < (s or 0) < 1 for s in bed.shares(A)), WAIT), log(bed)
    first = bed.planner()
    killed = [first, *[n for n in ("n5", "n6", "n4") if n != first][:2]]
    before = max(bed.shares(A))
    for name in killed:
        bed[name].kill()
    alive = [n for n in bed.names if n not in killed]
    assert until(lambda: bed.planner(excluded=first), WAIT), log(bed)
    assert min(s for s in bed.shares(A, alive)) >= before - 1e-9, "the successor lowered the share"
    assert until(lambda: all(s == 1 for s in bed.shares(A, alive)), WAIT, 0.1), log(bed)
    for name in alive:
        plan_shares = [e["shares"][A] for e in bed.events("plan_accepted") if e["broker"] == name]
        assert all(b - a <= 63 for a, b in pairwise(plan_shares[2:])), plan_shares
    tokens = [e["token"] for e in bed.events("planner_started")]
    assert len(tokens) >= 2
    assert tokens == sorted(set(tokens))
    assert sum(e.overload_failures for e in bed.engines) == 0


REGIONS = [{"name": "north", "zones": [A, B]}, {"name": "south", "zones": [C]}]


@pytest.mark.parametrize("bed", [{"regions": REGIONS}], indirect=True)
def test_two_of_three_zones_are_lost_while_two_brokers_restart(bed):
    wait_for_traffic(bed)
    fail_zone(bed, A, "silent")
    assert wait_until_evacuated(bed, A), log(bed)
    planner = bed.planner()
    restarted = [n for n in bed.names if n != planner][:2]
    for name in restarted:
        bed[name].kill()
        bed[name].start()
    fail_zone(bed, B, "reset")
    assert wait_until_evacuated(bed, B, [n for n in bed.names if n not in restarted]), log(bed)
    assert until(lambda: all(bed.shares(z, restarted) == [0, 0] for z in (A, B)), WAIT), log(bed)
    assert set(bed.shares(C)) == {1}
    assert until(lambda: bed.events("region_leaving"), WAIT), log(bed)
    assert {e["region"] for e in bed.events("region_leaving")} == {"north"}
    assert bed.zone_row(bed.names[0], "south")["share"] == 1
    sleep(1.0)  # attempts of the killed processes are over
    quiet_since, kept = time.monotonic(), bed.load.counts["kept"] + bed.load.counts["late"]
    assert until(lambda: bed.load.counts["kept"] + bed.load.counts["late"] > kept + 50, WAIT)
    assert max(bed.last_received(A), bed.last_received(B)) < quiet_since
    # A restarted process sends nothing before it receives the plan: until then it knows no zone as out.
    for name in restarted:
        started = [e for e in bed[name].events() if e["event"] == "fleet_joined"][-1]
        first_plan = next(
            e
            for e in bed[name].events()
            if e["event"] == "plan_accepted" and logged_at(e) >= logged_at(started)
        )
        assert first_plan["shares"][A] == 0
        assert logged_at(first_plan) - logged_at(started) < 1.5


@pytest.mark.parametrize("bed", [{"proxied": True}], indirect=True)
def test_brokers_without_a_fleet_network_evacuate_locally_and_return_only_by_a_plan(bed):
    wait_for_traffic(bed)
    for pair in bed.proxies.paths:
        bed.proxies.paths[pair] = LinkConditions(cut=True)
    sleep(0.5)
    fail_zone(bed, A, "reset")
    assert until(lambda: all(s == 0 for s in bed.shares(A)), WAIT), log(bed)
    local_evacuations = [e for e in bed.events("zones_locally_evacuated") if A in e["zones"]]
    assert {e["broker"] for e in local_evacuations} >= set(bed.names) - {bed.planner()} - {
        e["broker"] for e in bed.events("plan_accepted") if e["shares"][A] == 0
    }
    repair_zone(bed, A)
    sleep(3)
    assert set(bed.shares(A)) == {0}
    kept = bed.load.counts["kept"]
    # brokers without a fleet network keep serving
    assert until(lambda: bed.load.counts["kept"] > kept + 50, WAIT)
    bed.proxies.heal()
    assert until(lambda: all(s == 1 for s in bed.shares(A)), 2 * WAIT, 0.1), log(bed)
    assert sum(e.overload_failures for e in bed.engines) == 0
    for name in bed.names:  # in steps, although the zone was never out in the planner's own plan
        plan_shares = [e["shares"][A] for e in bed.events("plan_accepted") if e["broker"] == name]
        increases = [b - a for a, b in zip([0, *plan_shares], plan_shares, strict=False) if b > a]
        assert len(increases) > 4, plan_shares
        assert max(increases) <= 563, plan_shares


@pytest.mark.parametrize("bed", [{"rate": 0.8}], indirect=True)
def test_operators_evacuate_a_needed_zone_only_in_part_and_a_practice_of_it_ends(bed):
    wait_for_traffic(bed)
    assert until(lambda: bed.planner(), WAIT)
    sleep(2)  # observations cover 2 s: the planner then has full loads
    planner = bed.planner()
    other = next(n for n in bed.names if n != planner)
    code, words = cli(bed, other, "leave", A, "--reason", "a mistake", "--dry-run")
    assert code == 1
    assert planner in words
    code, words = cli(bed, planner, "leave", A, "--reason", "a mistake", "--dry-run")
    assert code == 0, words
    assert "zone_leaving" in words, words
    assert "can't bear more" in words, words
    assert set(bed.shares(A)) == {1}
    code, words = cli(bed, other, "practice", A, "--reason", "the yearly one")
    assert code == 0, words
    assert planner in words, words
    assert until(lambda: bed.events("zone_practice_over"), WAIT), log(bed)
    assert set(bed.shares(A)) == {1}
    code, words = cli(bed, other, "leave", A, "--reason", "a mistake", "--for", "5")
    assert code == 0, log(bed)
    assert until(lambda: all(0 < s < 1 for s in bed.shares(A)), WAIT), log(bed)
    status = json.loads(cli(bed, other, "status", "--json")[1])
    assert "can't bear more" in next(z["why"] for z in status["zones"] if z["zone"] == A)
    assert until(lambda: all(s == 1 for s in bed.shares(A)), WAIT, 0.1), log(bed)
    assert bed.events("zone_hand_over")


@pytest.mark.parametrize("bed", [{"warm_s": 10.0}], indirect=True)
def test_a_zone_that_fails_during_its_return_stays_out_longer(bed):
    wait_for_traffic(bed)
    fail_zone(bed, A, "silent")
    assert wait_until_evacuated(bed, A), log(bed)
    repair_zone(bed, A)
    assert until(lambda: all((s or 0) > 0.3 for s in bed.shares(A)), WAIT), log(bed)
    fail_zone(bed, A, "reset")
    assert wait_until_evacuated(bed, A), log(bed)
    assert until(lambda: bed.zone_row("n0", A).get("flaps") == 1, WAIT)
    repair_zone(bed, A)
    assert until(lambda: all(s == 1 for s in bed.shares(A)), 2 * WAIT, 0.1), log(bed)
    evacuated_at = [logged_at(e) for e in bed.events("zone_leaving", "zone_out") if e["zone"] == A]
    returned_at = [logged_at(e) for e in bed.events("zone_returning") if e["zone"] == A]
    assert returned_at[1] - evacuated_at[-1] > 1.6 * (returned_at[0] - evacuated_at[1])
    bed["n0"].signal(signal.SIGTERM)
    assert until(lambda: not bed["n0"].running(), WAIT)
