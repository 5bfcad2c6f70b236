"""The plan by which the fleet leaves zones and returns to them: one machine a zone. No I/O, told the time.

A planner, under a lease, steps it; all brokers follow the newest plan. Shares say which part of the brokers
an engine of a zone is open to: it is open to a broker when a stable hash of both is below the share, so the
fleet's sum follows the share without a word, and each broker meets few engines.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

from cypressledge.fleet.judge import Finding, Verdict
from cypressledge.fleet.messages import FailoverPlan, ZoneStatus

FULL = 1_000  # permille: a whole share
STEP = 16  # parts that a return goes in
S = 1_000_000
USE_LEAST = 0.4  # part of all cores that a return reckons with at the least: work may grow meanwhile
REJOIN = 2 * S  # µs that a broker keeps out of a zone it left alone, for the planner to take that on
AWAY = ("out", "practice")  # what operators want that keeps a zone empty


class Stage(Enum):
    """Where a zone is."""

    SERVING = "serving"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    OUT = "out"
    RETURNING = "returning"


@dataclass(frozen=True, slots=True)
class Pace:
    """How fast and how far. Times in µs. `start`: what a cold engine can do, part of what it can warm;
    `warm`: how long it takes to be warm; `margin`: of that, what a return asks of it; `bear`: how much of
    their cores the other zones may be asked for when a zone that still serves is left."""

    confirm: int = 300_000
    calm: int = 2 * S
    drain: int = 2 * S
    hold: int = 5 * S
    hold_most: int = 300 * S
    forget: int = 600 * S
    step: int = S // 2
    start: float = 0.31
    warm: int = 14 * S
    margin: float = 0.8
    bear: float = 0.9
    idle: float = 0.3  # of its cores that a zone may be doing for its lateness not to be its load's


@dataclass(frozen=True, slots=True)
class Load:
    """A zone's work and what it can do, in cores."""

    used: float
    cores: float


@dataclass(slots=True)
class Zone:
    """One zone's machine. `since`: when it came to its stage; `bad_since`, `fine_since`: how long the finding
    has been what it is; `flaps`: returns that failed, which double the time out."""

    name: str
    stage: Stage = Stage.SERVING
    share: int = FULL
    since: int = 0
    why: str = ""
    flaps: int = 0
    bad_since: int | None = None
    fine_since: int | None = None
    by_hand: str = ""  # out, practice, hold, or none
    hand_until: int = 0
    kept: str = ""  # why it was not left, as last said
    stepped: int = 0  # when its share last grew


def opening(engine: int, broker: str) -> int:
    """The share from which on an engine is open to a broker, permille: 0 to 999, the same everywhere."""
    digest = blake2b(f"{engine:x}\0{broker}".encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") * FULL >> 32


def is_open(engine: int, broker: str, share: int) -> bool:
    """Whether a broker may send to an engine of a zone with this share."""
    return opening(engine, broker) < share


def warmth(age: int, pace: Pace) -> float:
    """What an engine can do that came back cold `age` µs ago, part of what it can warm."""
    return min(1.0, pace.start + (1 - pace.start) * age / pace.warm)


def ramp(age: int, pace: Pace, use: float = 1.0) -> int:
    """The share of a zone that came back `age` µs ago, permille: under what its engines can do by then, in
    steps, full once that is all of the work there is. `use`: the part of all cores that the fleet's work
    takes; a whole share is no more than that of the zone."""
    part = min(1.0, pace.margin * warmth(age, pace) / use) if age < pace.warm * 1.25 else 1.0
    return int(part * STEP) * FULL // STEP


def able(zone: Zone, now: int, pace: Pace) -> float:
    """The part of a zone's cores that work can be given to: of one that returns, what is warm."""
    if zone.stage in (Stage.SERVING, Stage.SUSPECT):
        return 1.0
    if zone.stage is Stage.RETURNING:
        return warmth(now - zone.since, pace)
    return zone.share / FULL


class Planner:
    """All zones' machines. `told` gets (event, zone, why)."""

    def __init__(self, zones: list[str], pace: Pace, now: int, told: Callable[[str, str, str], None]) -> None:
        self.pace, self.told = pace, told
        self.zones = {z: Zone(z, since=now) for z in zones}
        self.number = 0
        self.over = 0.0  # part of all work that is over its tenants' shares
        self.use = 1.0  # part of all cores that the work takes
        self.short = False  # the others can't bear what has been left: that part is refused
        self.told_key = self._key()

    # Taking over, and being told

    def resume(self, number: int, stand: list[ZoneStatus], short: bool, now: int) -> None:
        """Go on from another planner's plan: shares and ages as they stand, so that nothing jumps."""
        self.number, self.short = max(self.number, number), short
        for stands in stand:
            if stands.name in self.zones:
                zone = self.zones[stands.name]
                zone.stage, zone.share = Stage(stands.stage), stands.share
                zone.since, zone.flaps, zone.why = now - stands.age, stands.flaps, stands.reason
                zone.by_hand, zone.hand_until = stands.operator_override, now + stands.override_remaining
        self.told_key = self._key()

    def leave(self, name: str, now: int, until: int, why: str, practice: bool = False) -> None:
        """An operator wants a zone left, up to a time. A practice is given up where the others can't bear it
        whole, and as soon as anything else fails."""
        zone = self.zones[name]
        zone.by_hand, zone.hand_until, zone.kept = "practice" if practice else "out", until, ""
        zone.why = why

    def hold(self, name: str, now: int, until: int, why: str) -> None:
        """An operator wants a zone to stay as it is, up to a time."""
        self.zones[name].by_hand, self.zones[name].hand_until = "hold", until
        self.zones[name].why = why

    def back(self, name: str, now: int, why: str) -> None:
        """An operator wants a zone back: nothing by hand any more, and no waiting."""
        zone = self.zones[name]
        zone.by_hand = ""
        if zone.stage in (Stage.OUT, Stage.LEAVING):
            self._go(zone, Stage.RETURNING, now, why)
            zone.bad_since, zone.stepped = None, now
            zone.share = max(zone.share, ramp(0, self.pace, self.use))

    def adopt(self, name: str, now: int, why: str) -> None:
        """Brokers have left a zone while there was no planner: it is out, and comes back like any other."""
        zone = self.zones[name]
        zone.share, zone.bad_since = 0, None
        self._go(zone, Stage.OUT, now, why)

    # The step

    def step(self, now: int, findings: dict[str, Finding], loads: dict[str, Load], over: float = 0.0) -> bool:
        """Let time and findings work; whether the plan has changed."""
        self.over = over
        used, cores = (sum(getattr(load, of) for load in loads.values()) for of in ("used", "cores"))
        self.use = min(1.0, max(USE_LEAST, used / cores)) if cores else 1.0
        for zone in self.zones.values():
            self._note(zone, findings, now, loads)
        for zone in self.zones.values():
            if zone.by_hand and now >= zone.hand_until:
                self.told("zone_hand_over", zone.name, f"the time for {zone.by_hand} has passed")
                zone.by_hand = ""
            if zone.by_hand == "practice" and (bad := self._trouble(zone)):
                self._end_practice(zone, f"{bad} fails")
                if zone.stage is not Stage.SERVING:
                    self.back(zone.name, now, f"practice over: {bad} fails")
            if zone.by_hand != "hold":
                getattr(self, "_" + zone.stage.value)(zone, findings.get(zone.name), now, loads)
        if all(z.stage is Stage.SERVING for z in self.zones.values()):
            self.short = False
        before, self.told_key = self.told_key, self._key()
        changed = self.told_key != before  # by hand and what was adopted since the last step as well
        self.number += changed
        return changed

    def _trouble(self, practising: Zone) -> str:
        """Another zone that fails, if one does."""
        return next(
            (
                z.name
                for z in self.zones.values()
                if z is not practising
                and (z.bad_since is not None or z.stage in (Stage.SUSPECT, Stage.LEAVING, Stage.OUT))
            ),
            "",
        )

    def _key(self) -> tuple:
        return (self.short, *((z.stage, z.share, z.by_hand) for z in self.zones.values()))

    def _idle(self, zone: Zone, findings: dict[str, Finding], loads: dict[str, Load]) -> bool:
        """Whether a zone is slow for another reason than its work: it does little, and another is fine."""
        load = loads.get(zone.name, Load(0.0, 0.0))
        others = any(f.verdict is Verdict.FINE for z, f in findings.items() if z != zone.name)
        return others and load.used < self.pace.idle * load.cores

    def _note(self, zone: Zone, findings: dict[str, Finding], now: int, loads: dict[str, Load]) -> None:
        finding = findings.get(zone.name)
        verdict = finding.verdict if finding else Verdict.FEW
        if verdict is Verdict.LOST or (verdict is Verdict.SLOW and self._idle(zone, findings, loads)):
            zone.bad_since = now if zone.bad_since is None else zone.bad_since
            zone.fine_since = None
        elif verdict is not Verdict.FEW:
            zone.fine_since = now if zone.fine_since is None else zone.fine_since
            zone.bad_since = None

    def _go(self, zone: Zone, stage: Stage, now: int, why: str) -> None:
        zone.stage, zone.since, zone.why = stage, now, why
        self.told(f"zone_{stage.value}", zone.name, why)

    def _serving(self, zone: Zone, finding: Finding | None, now: int, loads: dict[str, Load]) -> None:
        zone.share = FULL
        if now - zone.since > self.pace.forget:
            zone.flaps = 0
        if zone.by_hand in AWAY:
            self._leave(zone, finding, now, loads, zone.why)
        elif zone.bad_since is not None:
            self._go(zone, Stage.SUSPECT, now, finding.why)

    def _suspect(self, zone: Zone, finding: Finding | None, now: int, loads: dict[str, Load]) -> None:
        if zone.by_hand in AWAY:
            self._leave(zone, finding, now, loads, zone.why)
        elif zone.bad_since is None:
            self._go(zone, Stage.SERVING, now, "the failures have ended")
        elif now - zone.bad_since >= self.pace.confirm and finding is not None:
            self._leave(zone, finding, now, loads, finding.why)

    def _leave(self, zone: Zone, finding: Finding | None, now: int, loads: dict[str, Load], why: str) -> None:
        lost = finding is not None and finding.verdict is Verdict.LOST
        others = [
            z
            for z in self.zones.values()
            if z is not zone and z.share == FULL and z.bad_since is None and z.by_hand not in AWAY
        ]
        if not others:
            self._keep(zone, "no other zone serves whole: the last ones are not left")
            return
        rest = self._rest(zone, others, loads, 0.0)
        if zone.by_hand == "practice" and rest:
            self._end_practice(zone, "the others can't bear its load")
            return
        self.short |= rest > 0
        share = 0 if lost else self._rest(zone, others, loads, self.over) if rest else 0
        if share >= FULL:
            self._keep(zone, "the other zones can't bear any of its load")
            return
        zone.share, zone.kept = share, ""
        part = f"{100 - share // 10}% of it: the others can't bear more; " if share else ""
        if rest and self.over > 0:
            part += f"what is over its tenants' shares ({self.over:.0%}) is refused first; "
        self._go(zone, Stage.LEAVING, now, part + why)

    def _keep(self, zone: Zone, why: str) -> None:
        """A zone is not left after all; said once."""
        if zone.kept != why:
            zone.kept = why
            self.told("zone_kept", zone.name, why)

    def _end_practice(self, zone: Zone, why: str) -> None:
        zone.by_hand = ""
        self.told("zone_practice_over", zone.name, why)

    def _rest(self, zone: Zone, others: list[Zone], loads: dict[str, Load], over: float) -> int:
        """What of a zone that still serves has to stay, permille, for the others to bear the rest. `over`:
        the part of all work that is refused first."""
        own = loads.get(zone.name, Load(0.0, 1.0)).used * (1 - over)
        spare = sum(
            max(0.0, self.pace.bear * loads[z.name].cores - loads[z.name].used * (1 - over))
            for z in others
            if z.name in loads
        )
        if own <= 0:
            return 0
        stays = max(0.0, 1 - spare / own)
        return -(-int(stays * FULL) * STEP // FULL) * FULL // STEP if stays else 0

    def _leaving(self, zone: Zone, finding: Finding | None, now: int, loads: dict[str, Load]) -> None:
        self._whole(zone, finding, now)
        if now - zone.since >= self.pace.drain:
            self._go(zone, Stage.OUT, now, zone.why)

    def _whole(self, zone: Zone, finding: Finding | None, now: int) -> None:
        """What was left in part, and is lost now, is left whole."""
        lost = finding is not None and finding.verdict is Verdict.LOST and zone.bad_since is not None
        if zone.share and lost and now - zone.bad_since >= self.pace.confirm:
            zone.share, zone.why = 0, finding.why
            self.told("zone_left_whole", zone.name, finding.why)

    def _out(self, zone: Zone, finding: Finding | None, now: int, loads: dict[str, Load]) -> None:
        self._whole(zone, finding, now)
        waited = now - zone.since >= min(self.pace.hold << zone.flaps, self.pace.hold_most)
        if zone.by_hand not in AWAY and waited:
            out = (now - zone.since) / S
            self._go(zone, Stage.RETURNING, now, f"out for {out:.0f} s, flaps {zone.flaps}")
            zone.bad_since = zone.fine_since = None
            zone.share, zone.stepped = max(zone.share, ramp(0, self.pace, self.use)), now

    def _returning(self, zone: Zone, finding: Finding | None, now: int, loads: dict[str, Load]) -> None:
        failed = zone.bad_since is not None and now - zone.bad_since >= self.pace.confirm
        if zone.by_hand in AWAY or failed:
            zone.flaps = min(zone.flaps + (zone.by_hand not in AWAY), 16)
            zone.share = 0
            again = f"it failed again: {finding.why if finding else zone.why}"
            self._go(zone, Stage.OUT, now, zone.why if zone.by_hand else again)
            return
        strained = finding is not None and finding.verdict in (Verdict.PART, Verdict.CUT)
        if zone.bad_since is None and not strained and now - zone.stepped >= self.pace.step:
            # Strain halts the return where it is; after it, it goes on a part at a time.
            goal = ramp(now - zone.since, self.pace, self.use)
            if goal > zone.share:
                zone.share, zone.stepped = min(goal, zone.share + -(-FULL // STEP)), now
        if zone.share >= FULL:
            self._go(zone, Stage.SERVING, now, "back whole")

    # The plan

    def stands(self, now: int) -> list[ZoneStatus]:
        """How all zones stand."""
        return [
            ZoneStatus(
                z.name,
                z.stage.value,
                z.share,
                now - z.since,
                z.flaps,
                z.by_hand,
                max(0, z.hand_until - now) if z.by_hand else 0,
                z.why[:160],
            )
            for z in self.zones.values()
        ]


class Follower:
    """The newest plan a broker knows, and what it does alone while there is no planner. `region`: of each
    zone that is in one."""

    def __init__(self, broker: str, region: dict[str, str] | None = None, alone_after: int = 3 * S) -> None:
        self.broker, self.region, self.alone_after = broker, region or {}, alone_after
        self.plan: FailoverPlan | None = None
        self.stands: dict[str, ZoneStatus] = {}
        self.heard = self.back = 0  # when a plan came last; when the last time without a planner ended
        self.alone: set[str] = set()  # zones left on own evidence
        self.turned_down = 0

    def take(self, plan: FailoverPlan, now: int) -> bool:
        """Take a plan unless it is an older one; whether it was taken."""
        old = self.plan
        twin = old is not None and plan.token == old.token and plan.instance_id != old.instance_id
        if twin or (old is not None and self.older(plan, old)):
            self.turned_down += 1
            return False
        if self.deserted(now):
            self.back = now
        self.plan, self.heard = plan, now
        self.stands = {z.name: z for z in (*plan.zones, *plan.regions)}
        # Guards against a return all at once: the planner hears what was left before its word on it counts.
        told = now - self.back >= REJOIN
        kept = {z for z in self.stands if self.stands[z].share == FULL}
        self.alone = set() if told else self.alone & kept
        return True

    def older(self, plan: FailoverPlan, known: FailoverPlan) -> bool:
        """Whether a plan is older than the one known: its planner's token, then its number."""
        return (plan.token, plan.number) < (known.token, known.number)

    def deserted(self, now: int) -> bool:
        """Whether no planner has been heard for so long that strong evidence of one's own counts."""
        return now - self.heard >= self.alone_after

    def see(self, now: int, own: dict[str, Finding]) -> bool:
        """What this broker sees by itself. Without a planner it may leave a zone; it never returns alone."""
        if not self.deserted(now):
            return False
        serving = {z for z, f in own.items() if f.verdict is Verdict.FINE} - self.alone
        lost = {z for z, f in own.items() if f.verdict is Verdict.LOST} - self.alone
        if not serving or not lost:
            return False
        self.alone |= lost
        return True

    def share(self, zone: str) -> int:
        """This zone's share here, permille: no more than its region's."""
        if zone in self.alone:
            return 0
        shares = [s.share for name in (zone, self.region.get(zone, "")) if (s := self.stands.get(name))]
        return min(shares, default=FULL)

    def opened(self, engine: int, zone: str) -> bool:
        """Whether this broker may send to an engine."""
        return is_open(engine, self.broker, self.share(zone))
