"""Zones as a fleet, with several processes of the program: left once, by all, and come back to slowly."""

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


def busy(bed):
    """Wait until all brokers have answers from all engines: there is something to lose."""
    assert until(lambda: bed.load.counts["kept"] > 150, WAIT)
    assert until(lambda: all(len(e.received) >= 10 for e in bed.engines), WAIT)


def lose(bed, zone, how):
    for engine in bed.engines_in(zone):
        engine.fail(how)
    return time.monotonic()


def repair(bed, zone):
    for engine in bed.engines_in(zone):
        engine.repair()


def left(bed, zone, among=None):
    return until(lambda: all(s == 0 for s in bed.shares(zone, among)), WAIT, 0.05)


def log(bed):
    return "\n".join(b.words()[-1500:] for b in bed.brokers.all.values())


@pytest.mark.parametrize("how", ["silent", "reset"])
def test_a_zone_that_fails_is_left_by_all_at_once_and_come_back_to_whole(bed, how):
    busy(bed)
    lost = lose(bed, A, how)
    assert left(bed, A), log(bed)
    took = time.monotonic() - lost
    sleep(2.2)  # what was on its way, and the drains' grace, is over
    quiet = time.monotonic()
    sleep(1.0)
    assert bed.last_received(A) < quiet, "something was sent into a zone that is out"
    assert took < 3, took
    kept = bed.load.counts["kept"]
    repair(bed, A)
    assert until(lambda: all(s == 1 for s in bed.shares(A)), WAIT, 0.1), log(bed)
    assert bed.load.counts["kept"] > kept
    assert sum(e.overload_failures for e in bed.engines) == 0
    grew = [e["shares"][A] for e in bed.events("plan_accepted") if e["broker"] == "n0"]
    ups = [b - a for a, b in pairwise(grew) if b > a]
    assert len(ups) > 4, grew
    assert max(ups[1:]) <= 63, grew
    departures = bed.events("zone_leaving")
    assert {departure["zone"] for departure in departures} == {A}, departures


@pytest.mark.parametrize("how", ["cut", "blind"])
def test_a_cut_path_and_a_broker_that_is_broken_itself_move_nobody(bed, how):
    busy(bed)
    for engine in bed.engines:
        if how == "blind":
            engine.block({"n1"}, "reset")
        elif engine.zone == A:
            engine.block({"n1", "n4"}, "silent")  # those in the next zone
    tries = len(bed.engines[0].received)
    sleep(5)
    assert len(bed.engines[0].received) > tries
    assert not bed.events("zone_leaving", "zones_locally_evacuated"), log(bed)
    assert set(bed.shares(A)) == {1}
    if how == "blind":
        assert [e["peer"] for e in bed.events("broker_isolated")][:1] == ["n1"]


@pytest.mark.parametrize("bed", [{"brokers": 7, "warm_s": 12.0}], indirect=True)
def test_planner_and_two_more_killed_in_the_return_nothing_jumps(bed):
    busy(bed)
    lose(bed, A, "silent")
    assert left(bed, A), log(bed)
    repair(bed, A)
    assert until(lambda: all(0.2 < (s or 0) < 1 for s in bed.shares(A)), WAIT), log(bed)
    first = bed.planner()
    dead = [first, *[n for n in ("n5", "n6", "n4") if n != first][:2]]
    before = max(bed.shares(A))
    for name in dead:
        bed[name].kill()
    alive = [n for n in bed.names if n not in dead]
    assert until(lambda: bed.planner(excluded=first), WAIT), log(bed)
    assert min(s for s in bed.shares(A, alive)) >= before - 1e-9, "the successor took the share back"
    assert until(lambda: all(s == 1 for s in bed.shares(A, alive)), WAIT, 0.1), log(bed)
    for name in alive:
        grew = [e["shares"][A] for e in bed.events("plan_accepted") if e["broker"] == name]
        assert all(b - a <= 63 for a, b in pairwise(grew[2:])), grew
    tokens = [e["token"] for e in bed.events("planner_started")]
    assert len(tokens) >= 2
    assert tokens == sorted(set(tokens))
    assert sum(e.overload_failures for e in bed.engines) == 0


REGIONS = [{"name": "north", "zones": [A, B]}, {"name": "south", "zones": [C]}]


@pytest.mark.parametrize("bed", [{"regions": REGIONS}], indirect=True)
def test_two_zones_of_three_two_seconds_apart_and_half_of_the_brokers_restarted(bed):
    busy(bed)
    lose(bed, A, "silent")
    assert left(bed, A), log(bed)
    planner = bed.planner()
    new = [n for n in bed.names if n != planner][:2]
    for name in new:
        bed[name].kill()
        bed[name].start()
    lose(bed, B, "reset")
    assert left(bed, B, [n for n in bed.names if n not in new]), log(bed)
    assert until(lambda: all(bed.shares(z, new) == [0, 0] for z in (A, B)), WAIT), log(bed)
    assert set(bed.shares(C)) == {1}
    assert until(lambda: bed.events("region_leaving"), WAIT), log(bed)
    assert {e["region"] for e in bed.events("region_leaving")} == {"north"}
    assert bed.zone_row(bed.names[0], "south")["share"] == 1
    sleep(1.0)  # trials of the old processes are over
    quiet, kept = time.monotonic(), bed.load.counts["kept"] + bed.load.counts["late"]
    assert until(lambda: bed.load.counts["kept"] + bed.load.counts["late"] > kept + 50, WAIT)
    assert max(bed.last_received(A), bed.last_received(B)) < quiet
    for name in new:  # before it had the plan a new process sent nothing: it knew none of the zones as out
        started = [e for e in bed[name].events() if e["event"] == "fleet_joined"][-1]
        got = next(
            e
            for e in bed[name].events()
            if e["event"] == "plan_accepted" and logged_at(e) >= logged_at(started)
        )
        assert got["shares"][A] == 0
        assert logged_at(got) - logged_at(started) < 1.5


@pytest.mark.parametrize("bed", [{"proxied": True}], indirect=True)
def test_without_the_exchange_brokers_leave_alone_and_do_not_return_alone(bed):
    busy(bed)
    for pair in bed.proxies.paths:
        bed.proxies.paths[pair] = LinkConditions(cut=True)
    sleep(0.5)
    lose(bed, A, "reset")
    assert until(lambda: all(s == 0 for s in bed.shares(A)), WAIT), log(bed)
    alone = [e for e in bed.events("zones_locally_evacuated") if A in e["zones"]]
    assert {e["broker"] for e in alone} >= set(bed.names) - {bed.planner()} - {
        e["broker"] for e in bed.events("plan_accepted") if e["shares"][A] == 0
    }
    repair(bed, A)
    sleep(3)
    assert set(bed.shares(A)) == {0}
    kept = bed.load.counts["kept"]
    assert until(lambda: bed.load.counts["kept"] > kept + 50, WAIT)  # cut off, it keeps serving
    bed.proxies.heal()
    assert until(lambda: all(s == 1 for s in bed.shares(A)), 2 * WAIT, 0.1), log(bed)
    assert sum(e.overload_failures for e in bed.engines) == 0
    for name in bed.names:  # not all at once, though the planner itself never had the zone out
        grew = [e["shares"][A] for e in bed.events("plan_accepted") if e["broker"] == name]
        ups = [b - a for a, b in zip([0, *grew], grew, strict=False) if b > a]
        assert len(ups) > 4, grew
        assert max(ups) <= 563, grew


@pytest.mark.parametrize("bed", [{"rate": 0.8}], indirect=True)
def test_by_hand_a_zone_the_others_cannot_do_without_is_left_in_part_and_practice_is_given_up(bed):
    busy(bed)
    assert until(lambda: bed.planner(), WAIT)
    sleep(2)  # the planner has two seconds of loads
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
def test_a_zone_that_falls_again_on_its_way_back_stays_out_for_longer(bed):
    busy(bed)
    lose(bed, A, "silent")
    assert left(bed, A), log(bed)
    repair(bed, A)
    assert until(lambda: all((s or 0) > 0.3 for s in bed.shares(A)), WAIT), log(bed)
    lose(bed, A, "reset")
    assert left(bed, A), log(bed)
    assert until(lambda: bed.zone_row("n0", A).get("flaps") == 1, WAIT)
    repair(bed, A)
    assert until(lambda: all(s == 1 for s in bed.shares(A)), 2 * WAIT, 0.1), log(bed)
    gone = [logged_at(e) for e in bed.events("zone_leaving", "zone_out") if e["zone"] == A]
    back = [logged_at(e) for e in bed.events("zone_returning") if e["zone"] == A]
    assert back[1] - gone[-1] > 1.6 * (back[0] - gone[1])
    bed["n0"].signal(signal.SIGTERM)
    assert until(lambda: not bed["n0"].running(), WAIT)
