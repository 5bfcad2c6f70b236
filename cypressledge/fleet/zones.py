"""One broker's part in zone failover: evidence from the core, the plan under a lease, and where it binds.

No sockets of its own: messages go through the part's exchange, and what the plan closes is closed in
`Core._tell`, the one place that every list passes. Told the time in µs of the clock that leases use.
"""

from collections.abc import Callable, Generator
from copy import deepcopy

from cypressledge import contract as c
from cypressledge.core import Attempt, Core
from cypressledge.fleet.evidence import Evidence
from cypressledge.fleet.judge import Judgement, Told, judge
from cypressledge.fleet.keeper import Granted
from cypressledge.fleet.messages import Plan, PlanWanted, Sight, ZoneWish
from cypressledge.fleet.zoneplan import FULL, Follower, Load, Pace, Planner

EVERY = 250_000  # µs between looks at what is out, and between sights that say something new
IDLE_EVERY = 1_000_000  # µs between sights that say only that all is well
REPEAT = 1_000_000  # µs between sayings of an unchanged plan
STEP_S = 0.1  # seconds between steps of the planner
START_MOST = 1_500_000  # µs that a broker that starts waits for a plan before it goes without
CHANGING = 10_000_000  # µs after its birth that an engine's failures are taken for a release's


class Zones:
    """What one broker does about zones. `peers` gives the living, `line` the first in line for the lease."""

    def __init__(self, name: str, core: Core, zones: tuple[str, ...], broker_zone: dict[str, str], pace: Pace,
                 now: Callable[[], int], out: Callable[[str, object], None], peers: Callable[[], list[str]],
                 line: Callable[[], list[str]], told: Callable[..., None]) -> None:
        self.name, self.core, self.names, self.broker_zone = name, core, zones, broker_zone
        self.pace, self.now, self.out, self.peers, self.line, self.told = pace, now, out, peers, line, told
        self.evidence, self.follower = Evidence(), Follower(name)
        self.follower.heard = now()
        self.sights: dict[str, tuple[int, Sight]] = {}
        self.planner: Planner | None = None
        self.grant: Granted | None = None
        self.planner_name = ""
        self.noted: dict[Attempt, int] = {}
        self.due = self.sent_at = self.said_at = 0
        self.started, self.waiting = now(), True
        self.judgement = Judgement({}, {})
        self.last_said: dict[str, str] = {}
        core.observer, core.shut = self, self.shut

    # What the core tells

    def ended(self, attempt: Attempt, outcome: c.Outcome, latency: int) -> None:
        """An attempt has ended."""
        quiet = self.noted.pop(attempt, None) is None
        query = attempt.request.query
        self.evidence.ended(self.now(), attempt.place.id, attempt, outcome, latency, self._expected(query),
                            query.cost, quiet)

    def heard(self, attempt: Attempt) -> None:
        """An engine has said something of an attempt."""
        self.noted[attempt] = self.now()

    def _expected(self, query) -> int:
        """µs that a query should take on an engine that is not crowded."""
        return query.cost // max(1, self.core.settings.classes[query.cls].threads)

    def _look(self, now: int) -> None:
        """At the attempts that are out: which have been quiet for long."""
        clock, open_ = self.core.now(), []
        for request in self.core.requests.values():
            for attempt in request.attempts:
                if attempt.open:
                    quiet = clock - attempt.sent_at
                    if attempt in self.noted:
                        quiet = min(quiet, now - self.noted[attempt])
                    open_.append((attempt, attempt.place.id, quiet, self._expected(request.query)))
        self.evidence.out(now, open_)

    # Where it binds

    def shut(self, entry: c.Entry) -> bool:
        """Whether the plan closes an engine to this broker."""
        if self.waiting or not self.names:
            return False
        return not self.follower.opened(entry.engine, self._zone_of(entry))

    def _zone_of(self, entry: c.Entry) -> str:
        """An engine's zone by name."""
        return self.names[min(entry.zone, len(self.names) - 1)]

    # What peers tell

    def receive(self, sender: str, item: Sight | Plan | PlanWanted | ZoneWish) -> None:
        """A peer's message about zones."""
        now = self.now()
        if isinstance(item, Sight):
            self.sights[sender] = (now, item)
        elif isinstance(item, Plan):
            self._take(item, sender, now)
        elif isinstance(item, ZoneWish):
            if self.planner is not None:
                self._wish(item, now)
        elif self.follower.plan is not None:
            self.out(sender, self.follower.plan)

    def _take(self, plan: Plan, sender: str, now: int) -> None:
        before = self._shares()
        alone = set(self.follower.alone)
        if self.follower.take(plan, now):
            self.planner_name, self.waiting = sender, False
            if self._shares() != before:
                self.told("plan_taken", token=plan.token, number=plan.number, planner=sender,
                          shares=self._shares())
                self.core.retell()
            elif alone:
                self.core.retell()

    def _shares(self) -> dict[str, int]:
        return {z: self.follower.share(z) for z in self.names}

    # What time brings

    def tick(self, now: int) -> int:
        """Look, tell the planner, and act alone where there is none; the moment of the next tick."""
        if now < self.due:
            return self.due
        self.due = now + EVERY
        self._look(now)
        sight = self.evidence.sight(now)
        bad = any(e.refused or e.broken or e.silent or e.late for e in sight.engines)
        if now - self.sent_at >= (EVERY if bad else IDLE_EVERY):
            self.sent_at = now
            self.sights[self.name] = (now, sight)
            for peer in {self.planner_name, *self.line()} - {self.name, ""}:
                self.out(peer, sight)
        if self.waiting:
            self._wait_for_plan(now)
        own = self._judge([Told(self.name, self.broker_zone.get(self.name, ""), 0, sight)])
        if self.follower.see(now, own.zones):
            self.told("zones_left_alone", zones=sorted(self.follower.alone),
                      why="; ".join(own.zones[z].why for z in sorted(self.follower.alone)))
            self.core.retell()
        return self.due

    def _wait_for_plan(self, now: int) -> None:
        if now - self.started >= START_MOST:
            self.waiting = False
            return
        for peer in self.peers()[:5]:
            self.out(peer, PlanWanted())

    # The planner, under a lease

    def act(self, grant: Granted) -> Generator:
        """One step of the planner; begins where the newest plan stands."""
        now = self.now()
        if self.planner is None or self.grant is None or self.grant.token != grant.token:
            self.planner = Planner(list(self.names), self.pace, now, self._zone_told)
            if self.follower.plan is not None:
                self.planner.resume(self.follower.plan, self.follower.heard)
            self.grant, self.said_at = grant, 0
            self.told("planner", token=grant.token, number=self.planner.number)
        self.judgement = self._judge(self._all(now))
        yield None
        self._say_blind()
        changed = self.planner.step(now, self.judgement.zones, self.loads())
        if changed or now - self.said_at >= REPEAT:
            self.said_at = now
            plan = self.planner.plan(grant.token, grant.run, now)
            self._take(plan, self.name, now)
            for peer in self.peers():
                self.out(peer, plan)

    def step_down_from(self, lease: str) -> None:
        """A lease is gone; if it is the planner's, its plan is only the last one that this broker knows."""
        if self.grant is not None and self.grant.lease == lease:
            self.planner = self.grant = None

    def _all(self, now: int) -> list[Told]:
        return [Told(b, self.broker_zone.get(b, ""), now - at, sight)
                for b, (at, sight) in self.sights.items()]

    def _judge(self, told: list[Told]) -> Judgement:
        engines, changing, clock = {}, set(), self.core.now()
        for held in self.core.lists.values():
            for entry, _ in held:
                if self.names:
                    engines[entry.engine] = self._zone_of(entry)
                if entry.state is not c.State.READY or clock - entry.born < CHANGING:
                    changing.add(entry.engine)
        return judge(told, engines, frozenset(changing))

    def loads(self) -> dict[str, Load]:
        """Each zone's work and cores, as the sights and the lists say."""
        used = dict.fromkeys(self.names, 0.0)
        cores = dict.fromkeys(self.names, 0.0)
        zone_of = {}
        for held in self.core.lists.values():
            for entry, _ in held:
                zone = zone_of[entry.engine] = self._zone_of(entry)
                if entry.state is c.State.READY:
                    kinds = self.core.settings.kind_cores
                    cores[zone] += kinds[min(entry.kind, len(kinds) - 1)]
        now = self.now()
        for at, sight in self.sights.values():
            if now - at < 3_000_000:
                for seen in sight.engines:
                    if seen.engine in zone_of:
                        used[zone_of[seen.engine]] += seen.work / 2_000_000
        return {z: Load(used[z], cores[z]) for z in self.names}

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
        wish = ZoneWish(zone, what, span, why)
        if self.planner is not None:
            self._wish(wish, self.now())
            return self.name
        if self.planner_name:
            self.out(self.planner_name, wish)
        return self.planner_name

    def _wish(self, wish: ZoneWish, now: int, planner: Planner | None = None) -> None:
        planner = planner or self.planner
        if wish.zone not in planner.zones:
            return
        if wish.what == "leave":
            planner.leave(wish.zone, now, now + wish.span, f"by hand: {wish.why}")
        elif wish.what == "hold":
            planner.hold(wish.zone, now, now + wish.span, f"held by hand: {wish.why}")
        else:
            planner.back(wish.zone, now, f"by hand: {wish.why}")

    def dry_run(self, zone: str, what: str, span: int, why: str) -> list[str] | None:
        """What a wish would lead to now, step by step; None where this broker is not the planner."""
        if self.planner is None:
            return None
        said: list[str] = []
        told, self.planner.told = self.planner.told, lambda *args: None
        try:
            trial = deepcopy(self.planner)
        finally:
            self.planner.told = told
        trial.told = lambda event, name, words: said.append(f"{event} {name}: {words}")
        now = self.now()
        self._wish(ZoneWish(zone, what, span, why), now, trial)
        for after in range(0, min(span, 60_000_000) + 1, 500_000):
            trial.step(now + after, self.judgement.zones, self.loads())
        return said or ["nothing would change"]

    def show(self) -> dict:
        """How the zones stand here."""
        now, plan = self.now(), self.follower.plan
        rows = []
        for name in self.names:
            stands = next((z for z in plan.zones if z.name == name), None) if plan else None
            finding = self.judgement.zones.get(name) if self.planner else None
            rows.append({
                "zone": name, "stage": stands.stage if stands else "serving",
                "share": self.follower.share(name) / FULL, "alone": name in self.follower.alone,
                "flaps": stands.flaps if stands else 0, "by_hand": stands.by_hand if stands else "",
                "finding": finding.verdict.value if finding else "", "why": stands.why if stands else ""})
        return {"planner": self.planner_name, "token": plan.token if plan else 0,
                "number": plan.number if plan else 0, "heard_s": round((now - self.follower.heard) / 1e6, 2),
                "zones": rows}
