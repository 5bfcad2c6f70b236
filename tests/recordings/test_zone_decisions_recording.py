"""What the zones' decisions give for seeded inputs in virtual time, against digests in zone_decisions.json.

Each scenario feeds one module with a seeded stream and digests everything that comes out, by position: the
digests do not depend on the names of classes, fields or log events. Whatever names the
program here may follow a rename; the streams, and zone_decisions.json, may not change.
"""

import dataclasses
import enum
import json
import random
from collections import Counter
from hashlib import blake2b
from pathlib import Path
from types import SimpleNamespace

import msgspec
import pytest

from cypressledge.broker.requests import Attempt, Endpoint, Query, Request
from cypressledge.decisions.contract import EngineListEntry, EngineState, Outcome
from cypressledge.fleet.leases.participation import HeldLease
from cypressledge.fleet.messages import EngineObservation, EngineObservations, FailoverPlan, ZoneStatus
from cypressledge.fleet.zones.environment import FleetLinks
from cypressledge.fleet.zones.failover import ZoneFailover
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
from cypressledge.fleet.zones.observations import AttemptObservations
from cypressledge.fleet.zones.plan_follower import PlanFollower
from cypressledge.fleet.zones.recovery_ramp import recovery_share, usable_fraction
from cypressledge.fleet.zones.topology import SiteTopology

RECORDED = json.loads((Path(__file__).parent / "zone_decisions.json").read_text())
S = 1_000_000
ZONES = ("a", "b", "c")
ENGINES = {10 * i + n: z for i, z in enumerate(ZONES) for n in range(4)}
REGION = {"a": "north", "b": "north", "c": "south"}


def plain(value):
    """A value without any name of a class or a field in it."""
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, msgspec.Struct):
        return [plain(v) for v in msgspec.structs.astuple(value)]
    if dataclasses.is_dataclass(value):
        return [plain(getattr(value, f.name)) for f in dataclasses.fields(value)]
    if isinstance(value, dict):
        return [[plain(k), plain(v)] for k, v in value.items()]
    if isinstance(value, list | tuple):
        return [plain(v) for v in value]
    return value


class Recorder:
    """Digests outputs in their order; words that may be renamed are numbered as they first come."""

    def __init__(self):
        self.digest, self.count, self.words = blake2b(digest_size=16), 0, {}

    def add(self, *values):
        self.digest.update(json.dumps(plain(values)).encode())
        self.count += 1

    def event(self, name, *values):
        self.add(self.words.setdefault(name, len(self.words)), *values)

    def result(self):
        return {"outputs": self.count, "digest": self.digest.hexdigest()}


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
    observations, now, open_ = AttemptObservations(), 100 * S, {}
    outcomes = [o for o in Outcome if o is not Outcome.OK]
    for number in range(4_000):
        now += rng.randrange(20_000)
        expected = rng.choice((50_000, 100_000, 400_000))
        open_[f"q{number}"] = (rng.randrange(80), now, expected)
        for name in rng.sample(sorted(open_), min(len(open_), rng.randrange(3))):
            engine, began, expected = open_.pop(name)
            outcome = Outcome.OK if rng.random() < 0.6 else rng.choice(outcomes)
            observations.record_end(
                now, engine, name, outcome, now - began, expected, rng.randrange(300_000), rng.random() < 0.5
            )
        if number % 10 == 0:
            observations.record_open(
                now, [(name, e, now - began, expected) for name, (e, began, expected) in open_.items()]
            )
        if number % 25 == 0:
            out.add(observations.snapshot(now))
        if number == 2_000:
            now += 5 * S


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
    planner = FailoverPlanner(list(ZONES), FailoverPace(), 100 * S, out.event)
    now, moods, heavy = 100 * S, dict.fromkeys(ZONES, Verdict.HEALTHY), 4.0
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
            planner.leave(zone, now, now + rng.randrange(30 * S), "works", hand < 0.002)
        elif hand < 0.006:
            planner.hold(zone, now, now + rng.randrange(20 * S), "kept")
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
            planner.machines.use,
            planner.statuses(now),
            [usable_fraction(z, now, planner.machines.pace) for z in planner.zones.values()],
        )
        if number % 1_000 == 999:
            stood, heir = planner.statuses(now), FailoverPlanner(list(ZONES), FailoverPace(), 0, out.event)
            now += 700 * S
            heir.resume(planner.number, stood, planner.sheds_load, now)
            planner = heir
    for age in range(0, 20 * S, 500_000):
        out.add([recovery_share(age, FailoverPace(), use) for use in (0.4, 0.7, 1.0)])


def record_follower(out, rng):
    follower, now = PlanFollower("n1", REGION), 0
    for number in range(3_000):
        now += rng.choice((300_000, 700_000, 700_000, 4_000_000))
        if rng.random() < 0.5:
            rows = [
                ZoneStatus(
                    z,
                    rng.choice(("serving", "out", "returning")),
                    rng.choice((0, 500, 1000, 1000, 1000)),
                    rng.randrange(9 * S),
                    0,
                    "",
                    0,
                    "why",
                )
                for z in (*ZONES, "north", "south")
            ]
            plan = FailoverPlan(
                1 + number // 300 + (rng.random() < 0.002),
                1 + (rng.random() < 0.02),
                number - rng.randrange(2),
                rows[:3],
                rows[3:],
                {},
            )
            out.add(follower.accept(plan, now), follower.rejected_plans)
        own = {
            z: ZoneFinding(rng.choice((Verdict.HEALTHY, Verdict.LOST, Verdict.DEGRADED)), 0.5, "")
            for z in ZONES
        }
        out.add(
            follower.observe(now, own),
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


class FakeCore:
    """What a broker's part in zone failover needs of the broker's core."""

    def __init__(self, clock):
        self.clock, self.requests, self.retold = clock, {}, 0
        self.settings = SimpleNamespace(classes=[SimpleNamespace(threads=2)], kind_cores=(8, 4))
        self.manager = SimpleNamespace(latency_ratios=[1.0])
        self.observer = self.is_closed = self.admission_filter = None
        self.ledger = self.engines = self.loop = self  # one object stands for all of the core's parts
        self.engine_lists = {
            "one": [
                (EngineListEntry(e, EngineState.READY, e % 2, ZONES.index(z), 0, 0), None)
                for e, z in ENGINES.items()
            ]
        }

    def now(self):
        return self.clock.now

    def refresh(self):
        self.retold += 1


class Fleet:
    """Five brokers; each engine answers, or does as its zone does at the moment."""

    def __init__(self, out, rng):
        self.out, self.rng, self.now = out, rng, 1_000 * S
        self.names = [f"n{i}" for i in range(5)]
        self.cores = {n: FakeCore(self) for n in self.names}
        self.mail, self.mood, self.planner, self.token = [], dict.fromkeys(ZONES, "fine"), "n0", 1
        self.cut_off = ""  # a broker to whom everything fails
        self.places = {e: Endpoint(e, f"e{e}", ("", 0), "model") for e in ENGINES}
        self.numbers = Counter()
        site = SiteTopology(
            ZONES, {n: ZONES[i % 3] for i, n in enumerate(self.names)}, REGION, {"t0": 4.0, "t1": 4.0}
        )
        self.zones = {n: self._zones(n, site) for n in self.names}

    def _zones(self, name, site):
        others = [n for n in self.names if n != name]
        links = FleetLinks(
            lambda: self.now,
            lambda peer, item: self.mail.append((name, peer, item)),
            lambda: others,
            lambda: ["n0", "n1", "n2"],
            lambda event, **fields: self.out.event(event, *fields.values()),
        )
        return ZoneFailover(name, self.cores[name], site, FailoverPace(min_time_out=3 * S), links)

    def step(self):
        self.now += 50_000
        for name in self.names:
            self._requests(name, self.cores[name], self.zones[name])
            self.out.add(self.zones[name].tick(self.now))
        if self.planner and self.now % 100_000 == 0:
            grant = HeldLease("zones", "zones", self.token, 7, self.now + S)
            for asked in self.zones[self.planner].act(grant):
                self.out.add(asked)
        mail, self.mail = self.mail, []
        for sender, peer, item in sorted(mail, key=lambda m: m[:2]):  # one turn's peers have no order
            self.out.add(sender, peer, msgspec.msgpack.encode(item).hex())
            self.zones[peer].receive(sender, item)

    def _requests(self, name, core, zones):
        for _ in range(3):
            self.numbers[name] += 1
            query = Query(
                f"{name}.{self.numbers[name]}",
                0,
                "lookup",
                f"t{self.rng.randrange(3)}",
                b"",
                self.now + 3 * S,
                cost=100_000,
            )
            admitted = zones.admission.admits(query)
            opened = [e for e, _ in core.engines.engine_lists["one"] if not zones.admission.is_closed(e)]
            self.out.add(admitted, [e.engine for e in opened])
            if not admitted or not opened:
                continue
            request = Request(self.numbers[name], query, None)
            engine = self.rng.choice(opened).engine
            request.attempts.append(
                Attempt(request, 0, self.places[engine], self.now, query.deadline, self.now)
            )
            core.ledger.requests[request.number] = request
        for number, request in list(core.ledger.requests.items()):
            attempt = request.attempts[0]
            ended = self._outcome(name, ENGINES[attempt.endpoint.id], self.now - attempt.sent_at)
            if ended is not None:
                attempt.is_open = False
                zones.observer.attempt_ended(attempt, ended, self.now - attempt.sent_at)
                del core.ledger.requests[number]
            elif self.rng.random() < 0.1 and self.mood[ENGINES[attempt.endpoint.id]] == "slow":
                zones.observer.attempt_progressed(attempt)

    def _outcome(self, name, zone, age):
        mood = "reset" if name == self.cut_off else self.mood[zone]
        if mood == "reset":
            return Outcome.RESET
        if age > 2 * S:
            return Outcome.TIMEOUT
        if mood == "fine" or (mood == "slow" and age > S):
            return Outcome.OK if age > 80_000 else None
        return None


def record_fleet(out, rng):
    fleet = Fleet(out, rng)
    schedule = {
        100: lambda: fleet.mood.update(a="silent"),
        240: lambda: fleet.mood.update(a="fine"),
        300: lambda: setattr(fleet, "planner", ""),
        380: lambda: fleet.mood.update(b="reset"),
        480: lambda: (setattr(fleet, "planner", "n1"), setattr(fleet, "token", 2)),
        560: lambda: fleet.mood.update(b="fine"),
        700: lambda: out.add(
            fleet.zones["n1"].dry_run("a", "leave", 20 * S, "why"),
            fleet.zones["n1"].dry_run("south", "practice", 20 * S, "why"),
            fleet.zones["n2"].dry_run("a", "leave", 20 * S, "why"),
        ),
        710: lambda: out.add(fleet.zones["n2"].command("c", "practice", 8 * S, "the yearly one")),
        900: lambda: out.add(fleet.zones["n1"].command("north", "leave", 5 * S, "works")),
        960: lambda: out.add(fleet.zones["n4"].command("north", "return", 5 * S, "done")),
        1_000: lambda: out.add(fleet.zones["n1"].command("a", "hold", 5 * S, "kept")),
        860: lambda: setattr(fleet, "cut_off", "n3"),
        890: lambda: setattr(fleet, "cut_off", ""),
        1_040: lambda: fleet.zones["n1"].step_down_from("zones"),
        1_100: lambda: fleet.mood.update(a="slow", c="slow"),
    }
    for step in range(1_200):
        schedule.get(step, lambda: None)()
        fleet.step()
        if step % 10 == 0:
            for name in fleet.names:
                out.add(
                    fleet.zones[name].status(),
                    fleet.cores[name].retold,
                    fleet.zones[name].view.zone_loads(fleet.now),
                )


SCENARIOS = {
    "observations": record_observations,
    "health": record_health,
    "planner": record_planner,
    "follower": record_follower,
    "shedding": record_shedding,
    "fleet": record_fleet,
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_the_decisions_are_as_recorded(name):
    out = Recorder()
    SCENARIOS[name](out, random.Random(20_261_202))
    assert out.result() == RECORDED[name]
