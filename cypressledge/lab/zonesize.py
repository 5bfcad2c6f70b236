"""A lost zone at size: many brokers' decision modules in virtual time, off and on. Writes its plot only.

What runs is the program's own: `control.WorkloadManager`, and with the part on `fleet.zones.Zones` (evidence,
judgement, plan, binding) at every broker. What is modelled, and how:

- Time goes in steps of `STEP`; whatever is said takes one step to arrive, or is lost with `loss`.
- An engine shares its cores among what it runs, a thread a query. It starts cold (`StartCapacity` to
  whole, linearly, within `WarmWithin`) and falls over for the rest of the run when work of over
  `FallMultiple` times what it can do comes within `Fall`. A silent one takes all and says nothing; a
  reset one breaks what comes; a slow one does a tenth.
- The planner is one broker throughout, or the next one after it dies; membership and the lease are not
  modelled (they have their own laboratory): a successor acts `SUCCESSION` after the death.
- Arrivals are Poisson, of one class, uneven over brokers; clients wait `WAIT` and do not come again.
"""

import random
from collections import Counter, deque
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from multiprocessing import get_context

from tabulate import tabulate

from cypressledge.broker.request_ledger import DEADLINE_GRACE_US
from cypressledge.broker.requests import Attempt, Endpoint, Query, Request
from cypressledge.decisions import contract as c
from cypressledge.decisions.manager import WorkloadManager
from cypressledge.fleet.leases.participation import HeldLease
from cypressledge.fleet.zoneplan import Pace
from cypressledge.fleet.zones import Site, Zones

S = 1_000_000
STEP = 10_000  # µs
EPOCH = 1_000 * S
CORES, START, WARM, FALL, FALL_SPAN = 8, 0.31, 14 * S, 2.0, 2 * S
WORK = 300_000  # µs of a lookup
AIM, WAIT = 600_000, 3 * S  # µs: its aim, besides 1.5 times its work; how long its client waits
SUCCESSION = 3 * S
PLAN_EVERY = 100_000


@dataclass
class ModelEngine:
    """One engine."""

    number: int
    zone: int
    born: int = 0
    how: str = ""
    fallen: bool = False
    running: dict[tuple[int, int, int], float] = field(default_factory=dict)  # by attempt: work left, µs
    came: deque = field(default_factory=deque)
    work_came: float = 0.0

    def capacity(self, now: int) -> float:
        """Cores at the moment."""
        warm = min(1.0, START + (1 - START) * (now - self.born) / WARM) if self.born else 1.0
        return CORES * warm * (0.1 if self.how == "slow" else 1.0)

    def take(self, now: int, key: tuple[int, int, int]) -> bool:
        """A query comes; whether it is not refused."""
        if self.how == "reset" or self.fallen:
            return False
        if self.how != "silent":
            self.running[key] = WORK
            self.came.append(now)
            self.work_came += WORK
        return True

    def step(self, now: int) -> list[tuple[int, int, int]]:
        """Let a step pass; what has ended."""
        while self.came and now - self.came[0] > FALL_SPAN:
            self.came.popleft()
            self.work_came -= WORK
        cold = self.born and now - self.born < WARM
        if cold and not self.how and self.work_came > FALL * self.capacity(now) * FALL_SPAN:
            self.fallen = True
            self.running.clear()
        if self.how in ("silent", "reset") or not self.running:
            return []
        each = min(1.0, self.capacity(now) / len(self.running)) * STEP
        done = []
        for key in self.running:
            self.running[key] -= each
            if self.running[key] <= 0:
                done.append(key)
        for key in done:
            del self.running[key]
        return done


class ModelBroker:
    """One broker: the module, a ledger as small as it gets, and what `Zones` needs of a core."""

    def __init__(self, world: "World", number: int) -> None:
        self.world, self.number, self.name = world, number, f"n{number}"
        self.settings = world.settings(number)
        self.ledger = self.engines = self.loop = self  # one object stands for all of the core's parts
        self.manager = WorkloadManager(self.settings, world.seed * 1_000 + number)
        self.requests: dict[int, Request] = {}
        self.engine_lists: dict[str, list] = {}
        self.observer = self.is_closed = self.admission_filter = None
        self.events: list = []
        self.timers: list[tuple[int, int]] = []
        self.next = 0
        self.zones: Zones | None = None
        self.alive = True

    def now(self) -> int:
        """The module's time."""
        return self.world.now

    def refresh(self) -> None:
        """Tell the module which engines there are, and which are closed."""
        entries = []
        for entry, _ in self.engine_lists["model"]:
            closed = self.is_closed is not None and self.is_closed(entry)
            entries.append(
                c.EngineListEntry(entry.engine, c.EngineState.DRAINING, *self._rest(entry))
                if closed
                else entry
            )
        self.events.append(c.EngineListReceived(c.EngineListKind.FULL, tuple(entries)))

    @staticmethod
    def _rest(entry: c.EngineListEntry) -> tuple:
        return entry.kind, entry.zone, entry.cell, entry.started_at

    def arrive(self) -> None:
        """A client asks."""
        self.next += 1
        query = Query(f"{self.name}.{self.next}", 0, "lookup", "sahel", b"", self.world.now + WAIT, cost=WORK)
        self.world.counts["asked"] += 1
        if self.admission_filter is not None and not self.admission_filter(query):
            return
        self.requests[self.next] = Request(self.next, query, None)
        self.events.append(c.RequestReceived(self.next, 0, query.deadline, 0, WORK))

    def step(self) -> None:
        """Hand the module what came, and do what it says."""
        now = self.world.now
        if self.zones is not None:
            self.zones.tick(now)
        due = [token for at, token in self.timers if at <= now]
        if due:
            self.timers = [t for t in self.timers if t[0] > now]
            self.events += [c.TimerFired(token) for token in due]
        if not self.events:
            return
        events, self.events = self.events, []
        for action in self.manager.handle(now, events):
            self._do(action, now)

    def _do(self, action: c.Action, now: int) -> None:
        if isinstance(action, c.StartAttempt):
            request = self.requests[action.request]
            attempt = Attempt(
                request,
                len(request.attempts),
                self.world.places[action.engine],
                now,
                request.query.deadline,
                now,
            )
            request.attempts.append(attempt)
            self.world.send(self, attempt)
        elif isinstance(action, c.StartTimer):
            self.timers.append((now + action.after, action.token))
        elif isinstance(action, c.CancelAttempt):
            self.end(action.request, action.attempt, c.Outcome.CANCELLED)
        elif isinstance(action, c.RejectRequest | c.FailRequest):
            self._over(self.requests[action.request])

    def end(self, number: int, hop: int, outcome: c.Outcome) -> None:
        """An attempt has ended."""
        request = self.requests.get(number)
        if request is None or not request.attempts[hop].is_open:
            return
        now, attempt = self.world.now, request.attempts[hop]
        attempt.is_open = False
        latency = now - attempt.sent_at
        if outcome is c.Outcome.OK and not request.is_concluded:
            self.world.served(request.query, now)
            request.is_concluded = True
        if self.observer is not None:
            self.observer.attempt_ended(attempt, outcome, latency)
        self.events.append(
            c.AttemptEnded(number, hop, attempt.endpoint.id, outcome, request.is_concluded, latency)
        )
        self._forget(request)

    def _over(self, request: Request) -> None:
        request.is_concluded = True
        self._forget(request)

    def _forget(self, request: Request) -> None:
        if request.is_concluded and not any(a.is_open for a in request.attempts):
            self.requests.pop(request.number, None)

    def overdue(self, now: int) -> None:
        """Clients that have waited long enough are gone."""
        for request in [
            r
            for r in self.requests.values()
            if now > r.query.deadline + DEADLINE_GRACE_US and not r.is_concluded
        ]:
            for attempt in request.attempts:
                if attempt.is_open:
                    self.end(request.number, attempt.number, c.Outcome.TIMEOUT)
            if not request.is_concluded:
                self.events.append(c.ClientDisconnected(request.number))
                self._over(request)


@dataclass
class Told:
    """What came of one run."""

    kept: float = 0.0
    last_send: float = 0.0  # s after the loss
    in_force: float | None = None  # s from the decision to leave, until all have its plan
    left_at: float | None = None  # s from the loss
    whole_at: float | None = None  # s from the return, until the share is whole
    fallen: int = 0
    false: int = 0
    curve: list[tuple[float, ...]] = field(default_factory=list)  # s, share, load over capacity, kept


class World:
    """So many brokers and engines, one schedule."""

    def __init__(
        self, seed: int, brokers: int, engines: int, zones: int, load: float, on: bool, loss: float = 0.01
    ) -> None:
        self.seed, self.on, self.loss, self.zone_count = seed, on, loss, zones
        self.random = random.Random(seed)
        self.now = EPOCH
        self.counts: Counter[str] = Counter()
        self.zone_names = tuple(f"z{i}" for i in range(zones))
        self.engines = [ModelEngine(i + 1, i % zones) for i in range(engines)]
        self.places = {e.number: Endpoint(e.number, f"e{e.number}", ("", 0), "model") for e in self.engines}
        self.by_number = {e.number: e for e in self.engines}
        self.brokers_count = brokers
        self.brokers = [ModelBroker(self, i) for i in range(brokers)]
        self.weights = [self.random.uniform(0.4, 2.0) for _ in self.brokers]
        self.rate = load * engines * CORES / (WORK / S)
        self.mail: list[tuple[int, object]] = []  # what arrives with the next step: (broker, call)
        self.blocked: set[tuple[int, int]] = set()  # paths that fail: (broker, zone)
        self.lost_zone, self.lost_at, self.back_at = -1, None, None
        self.said: list[tuple[int, str, str]] = []
        self.plan_taken: dict[int, int] = {}
        self.planner, self.plan_from, self.token = 0, 0, 1
        self.result = Told()
        for broker in self.brokers:
            self._join(broker)

    def settings(self, number: int) -> c.Settings:
        """The site, as each module is told."""
        return c.Settings(
            classes=(c.ClassSettings(AIM, WAIT, latency_objective_stretch=1.5, late_priority_weight=0.1),),
            kind_cores=(CORES,),
            timer_resolution=STEP,
            broker_index=number,
            broker_count=self.brokers_count,
            supports_cancel=True,
            max_attempts=3,
            slow_start_capacity=START,
            slow_start_window=WARM,
            overload_multiple=FALL,
            overload_window=FALL_SPAN,
            retry_budget_ratio=0.1,
            retry_budget_floor=3.0,
            retry_budget_window=5 * S,
        )

    def _join(self, broker: ModelBroker) -> None:
        if self.on:
            self._zones(broker)
        broker.engine_lists["model"] = [
            (c.EngineListEntry(e.number, c.EngineState.READY, 0, e.zone, 0, 0), self.places[e.number])
            for e in self.engines
        ]
        broker.refresh()

    def _zones(self, broker: ModelBroker) -> None:
        names = [f"n{i}" for i in range(self.brokers_count)]
        places = {name: self.zone_names[i % self.zone_count] for i, name in enumerate(names)}
        site, number = Site(self.zone_names, places, {}, {}), broker.number

        def out(peer: str, item: object) -> None:
            if self.random.random() >= self.loss:
                self.mail.append((int(peer[1:]), (f"n{number}", item)))

        def told(event: str, **what) -> None:
            self.said.append((self.now, event, what.get("zone", what.get("zones", ""))))
            if event == "plan_taken" and what["shares"].get(self._lost_name()) == 0:
                self.plan_taken.setdefault(number, self.now)

        peers = [name for name in names if name != broker.name]
        broker.zones = Zones(
            broker.name,
            broker,
            site,
            Pace(start=START, warm=WARM),
            self.time,
            out,
            lambda: [p for p in peers if self.brokers[int(p[1:])].alive],
            lambda: [f"n{self.planner}"],
            told,
        )
        broker.zones.waiting = False
        broker.zones.planner_name = f"n{self.planner}"

    def time(self) -> int:
        """µs."""
        return self.now

    def _lost_name(self) -> str:
        return self.zone_names[self.lost_zone] if self.lost_zone >= 0 else ""

    # What happens

    def send(self, broker: ModelBroker, attempt: Attempt) -> None:
        """An attempt leaves a broker."""
        engine = self.by_number[attempt.endpoint.id]
        if self.lost_at is not None and engine.zone == self.lost_zone and self.back_at is None:
            self.result.last_send = (self.now - self.lost_at) / S
        if (broker.number, engine.zone) in self.blocked:
            return
        if not engine.take(self.now, (broker.number, attempt.request.number, attempt.number)):
            self.mail.append((broker.number, (attempt.request.number, attempt.number, c.Outcome.RESET)))

    def served(self, query: Query, now: int) -> None:
        """A client has its answer."""
        arrived = query.deadline - WAIT
        in_time = now - arrived <= AIM + 1.5 * WORK
        self.counts["kept" if in_time else "late"] += 1

    def lose(self, zone: int, how: str) -> None:
        """A zone's engines all fail."""
        self.lost_zone, self.lost_at = zone, self.now
        for engine in self._of(zone):
            engine.how = how
            if how != "slow":
                engine.running.clear()

    def back(self) -> None:
        """They are back, cold."""
        self.back_at = self.now
        for engine in self._of(self.lost_zone):
            engine.how, engine.born = "", self.now
            engine.came.clear()
            engine.work_came = 0.0
            engine.running.clear()

    def kill_planner(self) -> None:
        """The planner dies; the next one acts after a while."""
        self.brokers[self.planner].alive = False
        self.planner, self.plan_from, self.token = self.planner + 1, self.now + SUCCESSION, self.token + 1

    def _of(self, zone: int) -> list[ModelEngine]:
        return [e for e in self.engines if e.zone == zone]

    # Time

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds * S / STEP)):
            self.now += STEP
            self._step()

    def _step(self) -> None:
        mail, self.mail = self.mail, []
        for number, what in mail:
            broker = self.brokers[number]
            if len(what) == 3:
                broker.end(*what)
            elif broker.alive and broker.zones is not None:
                broker.zones.receive(*what)
        for engine in self.engines:
            for number, request, hop in engine.step(self.now):
                self.brokers[number].end(request, hop, c.Outcome.OK)
        self._arrivals()
        if self.on and self.now >= self.plan_from and self.now % PLAN_EVERY == 0:
            for _ in self.brokers[self.planner].zones.act(
                HeldLease("zones", "zones", self.token, self.token, self.now + S)
            ):
                pass
        late = self.now % 100_000 == 0
        for broker in self.brokers:
            if broker.alive:
                if late:
                    broker.overdue(self.now)
                broker.step()
        if self.now % 250_000 == 0:
            self._note()

    def _arrivals(self) -> None:
        mean = self.rate * STEP / S
        count = int(mean) + (self.random.random() < mean - int(mean))
        alive = [b for b in self.brokers if b.alive]
        for broker in self.random.choices(alive, [self.weights[b.number] for b in alive], k=count):
            broker.arrive()

    def _note(self) -> None:
        zone = max(self.lost_zone, 0)
        engines = self._of(zone)
        used = sum(min(len(e.running), e.capacity(self.now)) for e in engines)
        can = sum(e.capacity(self.now) for e in engines)
        name = self.zone_names[zone]
        shares = [b.zones.follower.share(name) / 1000 for b in self.brokers if b.zones and b.alive]
        kept = self.counts["kept"] / max(1, self.counts["asked"])
        share = sum(shares) / len(shares) if shares else 1.0
        self.result.curve.append(((self.now - EPOCH) / S, share, used / can, kept))


SCHEDULES = ("silent", "reset", "slow", "cut", "blind", "release", "planner")
LOSSES = ("silent", "reset", "slow", "planner")


def play(seed: int, brokers: int, engines: int, zones: int, kind: str, on: bool, load: float = 0.55) -> Told:
    """One schedule: 5 s as usual, a fault for some, then the return."""
    world = World(seed, brokers, engines, zones, load, on)
    rng = random.Random(seed)
    zone = rng.randrange(zones)
    out_s, back_s = rng.uniform(6, 9), 24.0
    world.run(5)
    before = Counter(world.counts)
    if kind in LOSSES:
        world.lose(zone, "silent" if kind == "planner" else kind)
    elif kind == "cut":
        world.blocked = {(b, zone) for b in range(brokers) if b % zones == (zone + 1) % zones}
    elif kind == "blind":
        world.blocked = {(1, z) for z in range(zones)}
    if kind == "release":
        _release(world, zone, out_s)
    elif kind == "planner":
        world.run(0.5)
        world.kill_planner()
        world.run(out_s - 0.5)
    else:
        world.run(out_s)
    world.blocked = set()
    if kind in LOSSES:
        world.back()
    if kind == "planner":
        world.run(back_s / 4)
        world.kill_planner()
        world.run(back_s * 3 / 4)
    else:
        world.run(back_s)
    return _sum_up(world, before, kind)


def _release(world: World, zone: int, seconds: float) -> None:
    """One engine after the other is away for a moment, and back cold."""
    engines = world._of(zone)
    for engine in engines:
        engine.how = "reset"
        engine.running.clear()
        world.run(seconds / len(engines))
        engine.how, engine.born = "", world.now


def _sum_up(world: World, before: Counter, kind: str) -> Told:
    told, name = world.result, world._lost_name()
    asked = world.counts["asked"] - before["asked"]
    told.kept = 100 * (world.counts["kept"] - before["kept"]) / max(1, asked)
    told.fallen = sum(e.fallen for e in world.engines)
    left = [(at, z) for at, event, z in world.said if event in ("zone_leaving", "zones_left_alone")]
    told.false = sum(1 for _, z in left if kind not in LOSSES or (z != name and z != [name]))
    whole = [at for at, event, z in world.said if event == "zone_serving" and z == name]
    if world.back_at is not None and any(at > world.back_at for at in whole):
        told.whole_at = (next(at for at in whole if at > world.back_at) - world.back_at) / S
    decided = next((at for at, event, z in world.said if event == "zone_leaving" and z == name), None)
    if decided is not None and world.plan_taken:
        told.left_at = (decided - world.lost_at) / S
        told.in_force = (max(world.plan_taken.values()) - decided) / S
    return told


# Many schedules


@dataclass(frozen=True)
class Job:
    """One schedule to be played off and on."""

    seed: int
    brokers: int
    engines: int
    zones: int
    kind: str
    load: float


def both(job: Job) -> tuple[Job, Told, Told]:
    """Play it off and on."""
    off, on = (
        play(job.seed, job.brokers, job.engines, job.zones, job.kind, way, job.load) for way in (False, True)
    )
    return job, off, on


def _row(kind: str, done: list[tuple[Job, Told, Told]]) -> list:
    offs, ons = [d[1] for d in done], [d[2] for d in done]

    def most(of, halves):
        return max((v for h in halves if (v := of(h)) is not None), default=None)

    def mean(of, halves):
        return sum(map(of, halves)) / len(halves)

    return [
        kind,
        len(done),
        most(lambda t: t.last_send, offs),
        most(lambda t: t.last_send, ons),
        most(lambda t: t.in_force, ons),
        mean(lambda t: t.kept, offs),
        mean(lambda t: t.kept, ons),
        sum(t.fallen for t in offs),
        sum(t.fallen for t in ons),
        most(lambda t: t.whole_at, ons),
        sum(t.false for t in ons),
    ]


def run(
    brokers: int,
    engines: int,
    zones: int,
    kind: str,
    seed: int,
    runs: int,
    load: float,
    workers: int,
    plot: str,
    say: Callable[[str], None],
) -> int:
    """Play so many seeds of each kind; a table, and a plot of the first. 1: an engine fell over with the part
    on, or a zone was left for nothing."""
    kinds = tuple(k.strip() for k in kind.split(",")) if kind else SCHEDULES
    jobs = [
        Job(n, brokers, engines, zones or 2 + n % 5, k, load) for k in kinds for n in range(seed, seed + runs)
    ]
    done: dict[str, list] = {k: [] for k in kinds}
    with ProcessPoolExecutor(workers, mp_context=get_context("spawn")) as pool:
        for job, off, on in pool.map(both, jobs):
            done[job.kind].append((job, off, on))
    rows = [_row(k, found) for k, found in done.items()]
    say(
        tabulate(
            rows,
            floatfmt=".2f",
            missingval="-",
            headers=[
                "kind",
                "seeds",
                "last send off, s",
                "on",
                "plan in force, s",
                "kept off, %",
                "on",
                "fallen off",
                "on",
                "whole again, s",
                "false departures",
            ],
        )
    )
    fallen, false = sum(r[8] for r in rows), sum(r[10] for r in rows)
    say(
        f"{brokers} brokers, {engines} engines, {zones or '2 to 6'} zones, load {load:g} of the cores, seeds "
        f"{seed} to {seed + runs - 1}: engines fallen over on {fallen}, false departures {false}"
    )
    if plot:
        draw(done[kinds[0]][0], plot)
        say(f"drawn: {plot}")
    return 1 if fallen or false else 0


def draw(done: tuple[Job, Told, Told], path: str) -> None:
    """The zone's share, its load over what it can do, and what was kept so far, over time; off and on."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    job, off, on = done
    figure, axes = pyplot.subplots(3, 1, sharex=True, figsize=(8, 8))
    titles = ("share", "load / capacity", "kept so far")
    for column, (axis, title) in enumerate(zip(axes, titles, strict=True)):
        for told, name in ((off, "off"), (on, "on")):
            axis.plot([p[0] for p in told.curve], [p[column + 1] for p in told.curve], label=name)
        axis.set_ylabel(title)
        axis.legend()
    axes[0].set_title(
        f"{job.kind}, seed {job.seed}: {job.brokers} brokers, {job.engines} engines, " f"{job.zones} zones"
    )
    axes[-1].set_xlabel("s")
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
