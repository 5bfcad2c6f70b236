"""Seeded streams through each module of the zones' decisions."""

from cypressledge.decisions.contract import Outcome
from cypressledge.fleet.messages import EngineObservation, EngineObservations, FailoverPlan, ZoneStatus
from cypressledge.fleet.zones.failover_plan import (
    FailoverPace,
    ZoneLoad,
    is_engine_open,
)
from cypressledge.fleet.zones.failover_planner import FailoverPlanner
from cypressledge.fleet.zones.health import BrokerObservations, Verdict, ZoneFinding, assess
from cypressledge.fleet.zones.load_shedding import (
    TenantArrivals,
    is_shed,
    over_quota,
    over_quota_fraction,
    shed_permille_by_tenant,
)
from cypressledge.fleet.zones.observations import AttemptObservations, EndedAttempt
from cypressledge.fleet.zones.plan_follower import PlanFollower
from cypressledge.fleet.zones.recovery_ramp import recovery_share, usable_fraction
from tests.recordings.zone_decisions_recorder import ENGINES, REGION, SECOND_US, ZONES


def observations(rng, seen):
    """What one broker's engines look like: some fine, some failing, some late, some not tried."""
    mood = {z: rng.choice(("fine", "fine", "lost", "late", "part")) for z in ZONES}
    if rng.random() < 0.1:
        mood = dict.fromkeys(ZONES, "lost")
    rows = []
    for engine, zone in ENGINES.items():
        if rng.random() < 0.15:
            continue
        bad = mood[zone] == "lost" or (mood[zone] == "part" and engine % 10 < 2)
        late = mood[zone] == "late"
        rows.append(
            seen(
                engine,
                0 if bad else rng.randrange(5),
                rng.randrange(5) if late else 0,
                rng.randrange(3) if bad else 0,
                rng.randrange(3) if bad else 0,
                rng.randrange(3) if bad else 0,
                rng.randrange(400_000),
                rng.randrange(5) if bad else 0,
                rng.choice((-1, 50, 399, 400, 900)),
            )
        )
    return rows


def record_observations(out, rng):
    observations, now, open_ = AttemptObservations(), 100 * SECOND_US, {}
    outcomes = [o for o in Outcome if o is not Outcome.OK]
    for number in range(4_000):
        now += rng.randrange(20_000)
        expected = rng.choice((50_000, 100_000, 400_000))
        open_[f"q{number}"] = (rng.randrange(80), now, expected)
        for name in rng.sample(sorted(open_), min(len(open_), rng.randrange(3))):
            engine, began, expected = open_.pop(name)
            outcome = Outcome.OK if rng.random() < 0.6 else rng.choice(outcomes)
            cpu_time, silent = rng.randrange(300_000), rng.random() < 0.5
            ended = EndedAttempt(name, engine, outcome, now - began, expected, cpu_time, silent)
            observations.record_end(now, ended)
        if number % 10 == 0:
            observations.record_open(
                now, [(name, e, now - began, expected) for name, (e, began, expected) in open_.items()]
            )
        if number % 25 == 0:
            out.add(observations.snapshot(now))
        if number == 2_000:
            now += 5 * SECOND_US


def record_health(out, rng):
    for _ in range(600):
        told = [
            BrokerObservations(
                f"n{i}",
                ZONES[i % 3],
                rng.choice((0, 100_000, 600_000, 800_000, 2_900_000, 3_000_000)),
                EngineObservations(observations(rng, EngineObservation)),
            )
            for i in range(rng.randrange(12))
        ]
        changing = frozenset(rng.sample(sorted(ENGINES), rng.randrange(6)))
        found = assess(told, ENGINES, changing)
        out.add(found.zones, found.isolated)


def record_planner(out, rng):
    planner = FailoverPlanner(list(ZONES), FailoverPace(), 100 * SECOND_US, out.event)
    now, moods, heavy = 100 * SECOND_US, dict.fromkeys(ZONES, Verdict.HEALTHY), 4.0
    for number in range(6_000):
        now += 100_000
        if rng.random() < 0.02:
            heavy = rng.choice((4.0, 12.0, 22.0, 25.0, 31.0))
        if rng.random() < 0.03:
            moods[rng.choice(ZONES)] = rng.choice(list(Verdict))
        if rng.random() < 0.03:
            moods = dict.fromkeys(ZONES, Verdict.HEALTHY)
        zone, hand = rng.choice(ZONES), rng.random()
        if hand < 0.004:
            planner.leave(zone, now, now + rng.randrange(30 * SECOND_US), "works", hand < 0.002)
        elif hand < 0.006:
            planner.hold(zone, now, now + rng.randrange(20 * SECOND_US), "kept")
        elif hand < 0.008:
            planner.bring_back(zone, now, "done")
        elif hand < 0.009:
            planner.adopt(zone, now, "left alone")
        findings = {
            z: ZoneFinding(moods[z], rng.random(), f"finding {number}") for z in ZONES if rng.random() < 0.98
        }
        loads = {z: ZoneLoad(heavy * rng.uniform(0.8, 1.2), 32.0) for z in ZONES}
        changed = planner.step(now, findings, loads, rng.choice((0.0, 0.0, 0.1)))
        out.add(
            changed,
            planner.number,
            planner.sheds_load,
            planner.machines.utilization,
            planner.statuses(now),
            [usable_fraction(z, now, planner.machines.pace) for z in planner.zones.values()],
        )
        if number % 1_000 == 999:
            stood, heir = planner.statuses(now), FailoverPlanner(list(ZONES), FailoverPace(), 0, out.event)
            now += 700 * SECOND_US
            heir.resume(planner.number, stood, planner.sheds_load, now)
            planner = heir
    for age in range(0, 20 * SECOND_US, 500_000):
        out.add([recovery_share(age, FailoverPace(), use) for use in (0.4, 0.7, 1.0)])


def random_plan(rng, number):
    """A plan as the planner sends it; a few come late or are numbered anew."""
    rows = [
        ZoneStatus(
            z,
            rng.choice(("serving", "out", "returning")),
            rng.choice((0, 500, 1000, 1000, 1000)),
            rng.randrange(9 * SECOND_US),
            0,
            "",
            0,
            "why",
        )
        for z in (*ZONES, "north", "south")
    ]
    return FailoverPlan(
        1 + number // 300 + (rng.random() < 0.002),
        1 + (rng.random() < 0.02),
        number - rng.randrange(2),
        rows[:3],
        rows[3:],
        {},
    )


def record_follower(out, rng):
    follower, now = PlanFollower("n1", REGION), 0
    for number in range(3_000):
        now += rng.choice((300_000, 700_000, 700_000, 4_000_000))
        if rng.random() < 0.5:
            plan = random_plan(rng, number)
            out.add(follower.accept(plan, now), follower.rejected_plans)
        own = {
            z: ZoneFinding(rng.choice((Verdict.HEALTHY, Verdict.LOST, Verdict.DEGRADED)), 0.5, "")
            for z in ZONES
        }
        out.add(
            follower.evacuate_lost_zones(now, own),
            sorted(follower.locally_evacuated),
            [follower.share(z) for z in ZONES],
            [follower.is_open(e, z) for e, z in ENGINES.items()],
            follower.planner_is_missing(now),
        )
    for engine in range(50):
        out.add(
            [is_engine_open(engine, f"n{b}", share) for b in range(20) for share in (0, 63, 500, 937, 1000)]
        )


def record_shedding(out, rng):
    arrivals, now = TenantArrivals(), 0
    tenants = [f"t{i}" for i in range(40)]
    for number in range(3_000):
        now += rng.randrange(15_000)
        arrivals.add(now, rng.choice(tenants[: rng.randrange(1, 41)]))
        if number % 20 == 0:
            counts = arrivals.counts(now)
            over = over_quota(counts, {t: rng.uniform(0, 20) for t in tenants[:30]})
            excess = rng.choice((0.0, 0.01, 0.1, 0.4, 1.0))
            out.add(
                counts, over, over_quota_fraction(counts, over), shed_permille_by_tenant(counts, over, excess)
            )
    out.add([is_shed(f"q{i}", part) for i in range(2_000) for part in (0, 20, 500, 1000)])
