"""One broker's part in zone failover: evidence from the core, the plan under a lease, and where it binds.

No sockets of its own: messages go through the part's exchange, and what the plan closes is closed in
`EngineRegistry._publish`, the one place that every list passes. Told the time in µs of the leases' clock.
"""

from collections import Counter
from collections.abc import Callable, Generator
from copy import deepcopy
from dataclasses import dataclass

from cypressledge.broker.core import BrokerCore
from cypressledge.broker.requests import Attempt, Query
from cypressledge.decisions import contract as c
from cypressledge.fleet.evidence import Evidence
from cypressledge.fleet.judge import FADE, Judgement, Told, judge, judging
from cypressledge.fleet.leases.participation import HeldLease
from cypressledge.fleet.messages import EngineObservations, FailoverPlan, PlanRequest, ZoneCommand
from cypressledge.fleet.shed import SPAN_S, Arrivals, is_shed, over_part, over_shares, refused
from cypressledge.fleet.zoneplan import FULL, Follower, Load, Pace, Planner, Stage, able

EVERY = 200_000  # µs between looks at what is out, and between sights that say something new
IDLE_EVERY = 500_000  # µs between sights that say only that all is well
LINE_EVERY = 1_000_000  # µs between those to the planner's likely followers
REPEAT = 1_000_000  # µs between sayings of an unchanged plan
AGAIN = {1: 100_000, 2: 200_000}  # µs after the first saying and the second: a datagram may get lost
STEP_S = 0.1  # seconds between steps of the planner
START_MOST = 1_500_000  # µs that a broker that starts waits for a plan before it goes without
CROWDED = 4.0  # the most that crowding lengthens what is expected
DRY_MOST = 120_000_000  # µs that a dry run looks ahead
STEP_EACH = 100_000  # µs between its steps
CHANGING = 10_000_000  # µs after its birth that an engine's failures are taken for a release's


@dataclass(frozen=True, slots=True)
class Site:
    """Where things stand: the zones of engines, the zone of each broker, the region of each zone, and each
    tenant's share (requests a second over all brokers)."""

    zones: tuple[str, ...]
    broker_zone: dict[str, str]
    region: dict[str, str]
    quotas: dict[str, float]

    def zone_of(self, entry: c.EngineListEntry) -> str:
        """An engine's zone by name."""
        return self.zones[min(entry.zone, len(self.zones) - 1)]

    @property
    def regions(self) -> list[str]:
        """All regions."""
        return sorted(set(self.region.values()))


class Zones:
    """What one broker does about zones. `peers` gives the living, `line` the first in line for the lease."""

    def __init__(
        self,
        name: str,
        core: BrokerCore,
        site: Site,
        pace: Pace,
        now: Callable[[], int],
        out: Callable[[str, object], None],
        peers: Callable[[], list[str]],
        line: Callable[[], list[str]],
        told: Callable[..., None],
    ) -> None:
        self.name, self.core, self.names, self.site, self.pace = name, core, site.zones, site, pace
        self.now, self.out, self.peers, self.line, self.told = now, out, peers, line, told
        self.evidence, self.arrivals = Evidence(), Arrivals()
        self.follower = Follower(name, site.region)
        self.follower.heard = now()
        self.sights: dict[str, tuple[int, EngineObservations]] = {}
        self.planner: Planner | None = None
        self.regions: Planner | None = None
        self.grant: HeldLease | None = None
        self.planner_name = ""
        self.noted: dict[Attempt, int] = {}
        self.due = self.sent_at = self.said_at = self.told_line = 0
        self.started, self.waiting = now(), True
        self.judgement = self.of_regions = Judgement({}, {})
        self.last_said: dict[str, str] = {}
        self.shed = self.said = 0
        core.ledger.observer, core.engines.is_closed, core.ledger.admission_filter = (
            self,
            self.shut,
            self.admit,
        )

    # What the core tells

    def attempt_ended(self, attempt: Attempt, outcome: c.Outcome, latency: int) -> None:
        """An attempt has ended."""
        quiet = self.noted.pop(attempt, None) is None
        query = attempt.request.query
        self.evidence.ended(
            self.now(),
            attempt.endpoint.id,
            attempt,
            outcome,
            latency,
            self._expected(query),
            query.cost,
            quiet,
        )

    def attempt_progressed(self, attempt: Attempt) -> None:
        """An engine has said something of an attempt."""
        self.noted[attempt] = self.now()

    def _expected(self, query) -> int:
        """µs that a query should take as engines answer its class now: if all are crowded, none is lost."""
        run = query.cost / max(1, self.core.settings.classes[query.class_index].threads)
        return int(run * min(max(self.core.loop.manager.latency_ratios[query.class_index], 1.0), CROWDED))

    def _look(self, now: int) -> None:
        """At the attempts that are out: which have been quiet for long."""
        clock, open_ = self.core.loop.now(), []
        for request in self.core.ledger.requests.values():
            for attempt in request.attempts:
                if attempt.is_open:
                    quiet = clock - attempt.sent_at
                    if attempt in self.noted:
                        quiet = min(quiet, now - self.noted[attempt])
                    open_.append((attempt, attempt.endpoint.id, quiet, self._expected(request.query)))
        self.evidence.out(now, open_)

    # Where it binds

    def shut(self, entry: c.EngineListEntry) -> bool:
        """Whether the plan closes an engine to this broker."""
        if self.waiting or not self.names:
            return False
        return not self.follower.opened(entry.engine, self.site.zone_of(entry))

    def admit(self, query: Query) -> bool:
        """Whether a request is let in: what is over its tenant's share is not, while the zones that serve
        can't bear all."""
        self.arrivals.add(self.now(), query.tenant)
        plan = self.follower.plan
        part = (
            plan.shed.get(query.tenant, 0)
            if plan is not None and not self.follower.deserted(self.now())
            else 0
        )
        if part and is_shed(query.id, part):
            self.shed += 1
            return False
        return True

    # What peers tell

    def receive(
        self, sender: str, item: EngineObservations | FailoverPlan | PlanRequest | ZoneCommand
    ) -> None:
        """A peer's message about zones."""
        now = self.now()
        if isinstance(item, EngineObservations):
            self.sights[sender] = (now, item)
        elif isinstance(item, FailoverPlan):
            self._take(item, sender, now)
        elif isinstance(item, ZoneCommand):
            if self.planner is not None:
                self._wish(item, now)
        elif self.follower.plan is not None:
            self.out(sender, self.follower.plan)

    def _take(self, plan: FailoverPlan, sender: str, now: int) -> None:
        before = self._shares()
        alone = set(self.follower.alone)
        if self.follower.take(plan, now):
            self.planner_name, self.waiting = sender, False
            if self._shares() != before:
                self.told(
                    "plan_taken", token=plan.token, number=plan.number, planner=sender, shares=self._shares()
                )
                self.core.engines.refresh()
            elif alone:
                self.core.engines.refresh()

    def _shares(self) -> dict[str, int]:
        return {z: self.follower.share(z) for z in self.names}

    # What time brings

    def tick(self, now: int) -> int:
        """Look, tell the planner, and act alone where there is none; the moment of the next tick."""
        if now < self.due:
            return self.due
        self.due = now + EVERY
        self._look(now)
        sight = EngineObservations(
            self.evidence.sight(now), self.arrivals.counts(now), sorted(self.follower.alone)
        )
        bad = any(e.consecutive_failures or e.late for e in sight.engines)
        if now - self.sent_at >= (EVERY if bad else IDLE_EVERY):
            self.sent_at = now
            self.sights[self.name] = (now, sight)
            to = {self.planner_name}
            if now - self.told_line >= LINE_EVERY:  # who may follow the planner knows roughly how things are
                self.told_line = now
                to |= set(self.line())
            for peer in to - {self.name, ""}:
                self.out(peer, sight)
        if self.waiting:
            self._wait_for_plan(now)
        own = judge(*self._views([self._own(sight)]))
        if self.follower.see(now, own.zones):
            self.told(
                "zones_left_alone",
                zones=sorted(self.follower.alone),
                why="; ".join(own.zones[z].why for z in sorted(self.follower.alone)),
            )
            self.core.engines.refresh()
        return self.due

    def _own(self, sight: EngineObservations) -> Told:
        return Told(self.name, self.site.broker_zone.get(self.name, ""), 0, sight)

    def _wait_for_plan(self, now: int) -> None:
        if now - self.started >= START_MOST:
            self.waiting = False
            return
        for peer in self.peers()[:5]:
            self.out(peer, PlanRequest())

    # The planner, under a lease

    def act(self, grant: HeldLease) -> Generator:
        """One step of the planner; begins where the newest plan stands."""
        now = self.now()
        if self.planner is None or self.grant is None or self.grant.token != grant.token:
            self._take_over(grant, now)
        told = self._all(now)
        self.judgement = yield from judging(*self._views(told))
        if self.site.region:
            self.of_regions = yield from judging(*self._views(told, self.site.region))
        yield None
        now = self.now()
        self._say_blind()
        self._adopt(told, now)
        counts, loads = self._counts(now), self.loads()
        over = over_shares(counts, self.site.quotas)
        short = self.planner.short or self.regions.short
        part = 0.0 if short else over_part(counts, over)  # what is refused is not in the loads
        changed = self.planner.step(now, self.judgement.zones, loads, part)
        if self.site.region:
            changed |= self.regions.step(now, self.of_regions.zones, self._summed(loads), part)
        self.said = 0 if changed else self.said
        if changed or now - self.said_at >= AGAIN.get(self.said, REPEAT):
            self.said_at, self.said = now, self.said + 1
            shed = refused(counts, over, self._excess(counts, loads, now))
            plan = FailoverPlan(
                grant.token,
                grant.instance_id,
                self.planner.number + self.regions.number,
                self.planner.stands(now),
                self.regions.stands(now),
                shed,
            )
            self._take(plan, self.name, now)
            for peer in self.peers():
                self.out(peer, plan)

    def _adopt(self, told: list[Told], now: int) -> None:
        """Take on what most brokers left by themselves, so that they do not come back all at once."""
        fresh = [t for t in told if t.age < FADE]
        for name, zone in self.planner.zones.items():
            alone = sum(name in t.sight.locally_evacuated_zones for t in fresh)
            others = any(z.share == FULL for z in self.planner.zones.values() if z is not zone)
            if zone.stage is Stage.SERVING and others and alone >= max(2, len(fresh) / 2):
                self.planner.adopt(name, now, f"{alone} of {len(fresh)} brokers left it without a planner")

    def _take_over(self, grant: HeldLease, now: int) -> None:
        """Begin to plan, from where the newest plan stands."""
        self.planner = Planner(list(self.names), self.pace, now, self._zone_told)
        self.regions = Planner(self.site.regions, self.pace, now, self._region_told)
        if (known := self.follower.plan) is not None:
            heard = self.follower.heard
            self.planner.resume(known.number, known.zones, bool(known.shed), heard)
            self.regions.resume(0, known.regions, False, heard)
        self.grant, self.said_at = grant, 0
        self.told("planner", token=grant.token, number=self.planner.number)

    def _excess(self, counts: dict[str, int], loads: dict[str, Load], now: int) -> float:
        """The part of all work that comes, refused or not, which zones can't bear while one is away: 0 to 1.

        Without it a module that sees few engines lets ever more onto each, and nearly all is late."""
        away = [
            z
            for p in (self.planner, self.regions)
            for z in p.zones.values()
            if z.stage not in (Stage.SERVING, Stage.SUSPECT)
        ]
        fresh = [s for at, s in self.sights.values() if now - at < FADE]
        answers = sum(e.succeeded + e.late for s in fresh for e in s.engines)
        if not away or not answers:
            return 0.0
        each = sum(e.cpu_time for s in fresh for e in s.engines) / answers / 1e6
        comes = sum(counts.values()) / SPAN_S * each
        bears = sum(load.cores * self._can(zone, now) for zone, load in loads.items()) * self.pace.bear
        return max(0.0, 1 - bears / comes) if comes else 0.0

    def _can(self, name: str, now: int) -> float:
        """The part of a zone's cores that may be reckoned with."""
        zone, region = self.planner.zones[name], self.regions.zones.get(self.site.region.get(name, ""))
        return min(able(z, now, self.pace) for z in (zone, region) if z is not None)

    def _counts(self, now: int) -> dict[str, int]:
        """Requests of each tenant at all brokers, in the time that sights cover."""
        total: Counter[str] = Counter()
        for at, sight in self.sights.values():
            if now - at < FADE:
                total.update(sight.requests_by_tenant)
        return total

    def step_down_from(self, lease: str) -> None:
        """A lease is gone; if it is the planner's, its plan is only the last one that this broker knows."""
        if self.grant is not None and self.grant.lease == lease:
            self.planner = self.regions = self.grant = None

    def _all(self, now: int) -> list[Told]:
        return [
            Told(b, self.site.broker_zone.get(b, ""), now - at, sight)
            for b, (at, sight) in self.sights.items()
        ]

    def _views(self, told: list[Told], region: dict[str, str] | None = None) -> tuple:
        """What is to be judged: all zones; or all regions, of zones that are in one."""
        engines, changing, clock = {}, set(), self.core.loop.now()
        if region:
            told = [Told(t.broker, region.get(t.zone, t.zone), t.age, t.sight) for t in told]
        for held in self.core.engines.engine_lists.values():
            for entry, _ in held:
                zone = self.site.zone_of(entry) if self.names else ""
                if zone and not region:
                    engines[entry.engine] = zone
                elif region and zone in region:
                    engines[entry.engine] = region[zone]
                if (
                    entry.state is not c.EngineState.READY
                    or entry.started_at
                    and clock - entry.started_at < CHANGING
                ):
                    changing.add(entry.engine)
        return told, engines, frozenset(changing)

    def loads(self) -> dict[str, Load]:
        """Each zone's work and cores, as the sights and the lists say."""
        used = dict.fromkeys(self.names, 0.0)
        cores = dict.fromkeys(self.names, 0.0)
        zone_of = {}
        for held in self.core.engines.engine_lists.values():
            for entry, _ in held:
                zone = zone_of[entry.engine] = self.site.zone_of(entry)
                if entry.state is c.EngineState.READY:
                    kinds = self.core.settings.kind_cores
                    cores[zone] += kinds[min(entry.kind, len(kinds) - 1)]
        now = self.now()
        for at, sight in self.sights.values():
            if now - at < 3_000_000:
                for seen in sight.engines:
                    if seen.engine in zone_of:
                        used[zone_of[seen.engine]] += seen.cpu_time / 2_000_000
        return {z: Load(used[z], cores[z]) for z in self.names}

    def _summed(self, loads: dict[str, Load]) -> dict[str, Load]:
        """The regions' loads, out of their zones'."""
        total: dict[str, Load] = {}
        for zone, load in loads.items():
            if region := self.site.region.get(zone):
                was = total.get(region, Load(0.0, 0.0))
                total[region] = Load(was.used + load.used, was.cores + load.cores)
        return total

    def _region_told(self, event: str, region: str, why: str) -> None:
        self.told(
            event.replace("zone_", "region_"),
            region=region,
            why=why,
            token=self.grant.token if self.grant else 0,
        )

    def _zone_told(self, event: str, zone: str, why: str) -> None:
        self.told(event, zone=zone, why=why, token=self.grant.token if self.grant else 0)

    def _say_blind(self) -> None:
        for broker, why in self.judgement.blind.items():
            if broker not in self.last_said:
                self.told("broker_blind", peer=broker, why=why)
        self.last_said = dict(self.judgement.blind)

    # Operators

    def wish(self, zone: str, what: str, span: int, why: str) -> str:
        """An operator's wish; where it went."""
        wish = ZoneCommand(zone, what, span, why)
        if self.planner is not None:
            self._wish(wish, self.now())
            return self.name
        if self.planner_name:
            self.out(self.planner_name, wish)
        return self.planner_name

    def _wish(self, wish: ZoneCommand, now: int, planner: Planner | None = None) -> None:
        planner = planner or self._planner_of(wish.zone)
        if wish.zone not in planner.zones:
            return
        if wish.action in ("leave", "practice"):
            why = f"{'practice' if wish.action == 'practice' else 'by hand'}: {wish.reason}"
            planner.leave(wish.zone, now, now + wish.duration, why, wish.action == "practice")
        elif wish.action == "hold":
            planner.hold(wish.zone, now, now + wish.duration, f"held by hand: {wish.reason}")
        else:
            planner.back(wish.zone, now, f"by hand: {wish.reason}")

    def _planner_of(self, name: str) -> Planner:
        return self.regions if name in self.regions.zones else self.planner

    def dry_run(self, zone: str, what: str, span: int, why: str) -> list[str] | None:
        """What a wish would lead to now, step by step; None where this broker is not the planner."""
        if self.planner is None:
            return None
        said: list[str] = []
        whole = self._planner_of(zone)
        told, whole.told = whole.told, lambda *args: None
        try:
            trial = deepcopy(whole)
        finally:
            whole.told = told
        now, at = self.now(), 0
        trial.told = lambda event, name, words: said.append(f"after {at / 1e6:g} s: {event} {name}: {words}")
        self._wish(ZoneCommand(zone, what, span, why), now, trial)
        counts, loads = self._counts(now), self.loads()
        part = over_part(counts, over_shares(counts, self.site.quotas))
        found = self.judgement
        if whole is self.regions:
            loads, found = self._summed(loads), self.of_regions
        for at in range(0, min(span, DRY_MOST) + 1, STEP_EACH):
            trial.step(now + at, found.zones, loads, part)
        return said or ["nothing would change"]

    def show(self) -> dict:
        """How the zones stand here."""
        now, plan = self.now(), self.follower.plan
        rows = []
        for name in (*self.names, *self.site.regions):
            stands = self.follower.stands.get(name)
            found = self.of_regions if name in self.site.regions else self.judgement
            finding = found.zones.get(name) if self.planner else None
            rows.append(
                {
                    "zone": name,
                    "region": self.site.region.get(name, ""),
                    "stage": stands.stage if stands else Stage.SERVING.value,
                    "share": (self.follower.share(name)) / FULL,
                    "alone": name in self.follower.alone,
                    "flaps": stands.flaps if stands else 0,
                    "by_hand": stands.operator_override if stands else "",
                    "finding": finding.verdict.value if finding else "",
                    "why": stands.reason if stands else "",
                }
            )
        return {
            "planner": self.planner_name,
            "token": plan.token if plan else 0,
            "number": plan.number if plan else 0,
            "heard_s": round((now - self.follower.heard) / 1e6, 2),
            "shed": plan.shed if plan else {},
            "shed_here": self.shed,
            "zones": rows,
        }
