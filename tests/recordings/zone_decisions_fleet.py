"""A fleet of five brokers in virtual time, whose engines do as their zone does at the moment."""

from collections import Counter
from types import SimpleNamespace

import msgspec

from cypressledge.broker.requests import Attempt, Endpoint, ListedEngine, Query, Request
from cypressledge.decisions.contract import EngineListEntry, EngineState, Outcome
from cypressledge.fleet.leases.lease import HeldLease
from cypressledge.fleet.zones.environment import FleetLinks
from cypressledge.fleet.zones.failover import ZoneFailover
from cypressledge.fleet.zones.failover_plan import (
    FailoverPace,
)
from cypressledge.fleet.zones.topology import SiteTopology
from tests.recordings.zone_decisions_recorder import ENGINES, REGION, SECOND_US, ZONES


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
                ListedEngine(EngineListEntry(e, EngineState.READY, e % 2, ZONES.index(z), 0, 0), None)
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
        self.out, self.rng, self.now = out, rng, 1_000 * SECOND_US
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
        return ZoneFailover(name, self.cores[name], site, FailoverPace(min_time_out=3 * SECOND_US), links)

    def step(self):
        self.now += 50_000
        for name in self.names:
            self._requests(name, self.cores[name], self.zones[name])
            self.out.add(self.zones[name].tick(self.now))
        if self.planner and self.now % 100_000 == 0:
            grant = HeldLease("zones", "zones", self.token, 7, self.now + SECOND_US)
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
                self.now + 3 * SECOND_US,
                cost=100_000,
            )
            admitted = zones.admission.admits(query)
            entries = [listed.entry for listed in core.engines.engine_lists["one"]]
            opened = [e for e in entries if not zones.admission.is_closed(e)]
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
        if age > 2 * SECOND_US:
            return Outcome.TIMEOUT
        if mood == "fine" or (mood == "slow" and age > SECOND_US):
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
            fleet.zones["n1"].dry_run("a", "leave", 20 * SECOND_US, "why"),
            fleet.zones["n1"].dry_run("south", "practice", 20 * SECOND_US, "why"),
            fleet.zones["n2"].dry_run("a", "leave", 20 * SECOND_US, "why"),
        ),
        710: lambda: out.add(fleet.zones["n2"].command("c", "practice", 8 * SECOND_US, "the yearly one")),
        900: lambda: out.add(fleet.zones["n1"].command("north", "leave", 5 * SECOND_US, "works")),
        960: lambda: out.add(fleet.zones["n4"].command("north", "return", 5 * SECOND_US, "done")),
        1_000: lambda: out.add(fleet.zones["n1"].command("a", "hold", 5 * SECOND_US, "kept")),
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
                    msgspec.to_builtins(fleet.zones[name].status()),
                    fleet.cores[name].retold,
                    fleet.zones[name].view.zone_loads(fleet.now),
                )
