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
from cypressledge.fleet.messages import Plan, ZoneStands

FULL = 1_000  # permille: a whole share
STEP = 16  # parts that a return goes in
S = 1_000_000


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

    confirm: int = 400_000
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
    by_hand: str = ""  # out, hold, or none
    hand_until: int = 0
    stepped: int = 0  # when its share last grew


def opening(engine: int, broker: str) -> int:
    """The share from which on an engine is open to a broker, permille: 0 to 999, the same everywhere."""
    digest = blake2b(f"{engine:x}\0{broker}".encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") * FULL >> 32


def is_open(engine: int, broker: str, share: int) -> bool:
    """Whether a broker may send to an engine of a zone with this share."""
    return opening(engine, broker) < share


def ramp(age: int, pace: Pace) -> int:
    """The share of a zone that came back `age` µs ago, permille: under what its engines can do by then, in
    steps, full once that is all of the work there is."""
    can = min(1.0, pace.start + (1 - pace.start) * age / pace.warm)
    part = pace.margin * can if age < pace.warm * 1.25 else 1.0
    return int(part * STEP) * FULL // STEP


class Planner:
    """All zones' machines. `told` gets (event, zone, why)."""

    def __init__(self, zones: list[str], pace: Pace, now: int, told: Callable[[str, str, str], None]) -> None:
        self.pace, self.told = pace, told
        self.zones = {z: Zone(z, since=now) for z in zones}
        self.number = 0

    # Taking over, and being told

    def resume(self, plan: Plan, now: int) -> None:
        """Go on from another planner's plan: shares and ages as they stand, so that nothing jumps."""
        self.number = max(self.number, plan.number)
        for stands in plan.zones:
            if stands.name in self.zones:
                zone = self.zones[stands.name]
                zone.stage, zone.share = Stage(stands.stage), stands.share
                zone.since, zone.flaps, zone.why = now - stands.age, stands.flaps, stands.why
                zone.by_hand, zone.hand_until = stands.by_hand, now + stands.hand_left

    def leave(self, name: str, now: int, until: int, why: str) -> None:
        """An operator wants a zone left, up to a time."""
        self.zones[name].by_hand, self.zones[name].hand_until = "out", until
        self.zones[name].why = why

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
            zone.share = max(zone.share, ramp(0, self.pace))

    # The step

    def step(self, now: int, findings: dict[str, Finding], loads: dict[str, Load]) -> bool:
        """Let time and findings work; whether the plan has changed."""
        before = self._key()
        for zone in self.zones.values():
            self._note(zone, findings, now, loads)
        for zone in self.zones.values():
            if zone.by_hand and now >= zone.hand_until:
                self.told("zone_hand_over", zone.name, f"the time for {zone.by_hand} has passed")
                zone.by_hand = ""
            if zone.by_hand != "hold":
                getattr(self, "_" + zone.stage.value)(zone, findings.get(zone.name), now, loads)
        changed = self._key() != before
        self.number += changed
        return changed

    def _key(self) -> tuple:
        return tuple((z.stage, z.share, z.by_hand) for z in self.zones.values())

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
        if zone.by_hand == "out":
            self._leave(zone, finding, now, loads, zone.why)
        elif zone.bad_since is not None:
            self._go(zone, Stage.SUSPECT, now, finding.why)

    def _suspect(self, zone: Zone, finding: Finding | None, now: int, loads: dict[str, Load]) -> None:
        if zone.by_hand == "out":
            self._leave(zone, finding, now, loads, zone.why)
        elif zone.bad_since is None:
            self._go(zone, Stage.SERVING, now, "the failures have ended")
        elif now - zone.bad_since >= self.pace.confirm and finding is not None:
            self._leave(zone, finding, now, loads, finding.why)

    def _leave(self, zone: Zone, finding: Finding | None, now: int, loads: dict[str, Load],
               why: str) -> None:
        lost = finding is not None and finding.verdict is Verdict.LOST
        others = [z for z in self.zones.values() if z is not zone and z.share == FULL
                  and z.bad_since is None and z.by_hand != "out"]
        if not others:
            if zone.why != "floor":
                self.told("zone_kept", zone.name, "no other zone serves whole: the last ones are not left")
            zone.why = "floor"
            return
        share = 0 if lost else self._rest(zone, others, loads)
        if share >= FULL:
            if not zone.why.startswith("kept"):
                self.told("zone_kept", zone.name, "the other zones can't bear any of its load")
            zone.why = "kept: the other zones can't bear any of its load"
            return
        zone.share = share
        part = f"{100 - share // 10}% of it: the others can't bear more; " if share else ""
        self._go(zone, Stage.LEAVING, now, part + why)

    def _rest(self, zone: Zone, others: list[Zone], loads: dict[str, Load]) -> int:
        """What of a zone that still serves has to stay, permille, for the others to bear the rest."""
        own = loads.get(zone.name, Load(0.0, 1.0))
        spare = sum(max(0.0, self.pace.bear * loads[z.name].cores - loads[z.name].used)
                    for z in others if z.name in loads)
        if own.used <= 0:
            return 0
        stays = max(0.0, 1 - spare / own.used)
        return -(-int(stays * FULL) * STEP // FULL) * FULL // STEP if stays else 0

    def _leaving(self, zone: Zone, finding: Finding | None, now: int, loads: dict[str, Load]) -> None:
        if now - zone.since >= self.pace.drain:
            self._go(zone, Stage.OUT, now, zone.why)

    def _out(self, zone: Zone, finding: Finding | None, now: int, loads: dict[str, Load]) -> None:
        waited = now - zone.since >= min(self.pace.hold << zone.flaps, self.pace.hold_most)
        if zone.by_hand != "out" and waited:
            out = (now - zone.since) / S
            self._go(zone, Stage.RETURNING, now, f"out for {out:.0f} s, flaps {zone.flaps}")
            zone.bad_since = zone.fine_since = None
            zone.share, zone.stepped = max(zone.share, ramp(0, self.pace)), now

    def _returning(self, zone: Zone, finding: Finding | None, now: int, loads: dict[str, Load]) -> None:
        failed = zone.bad_since is not None and now - zone.bad_since >= self.pace.confirm
        if zone.by_hand == "out" or failed:
            zone.flaps = min(zone.flaps + (zone.by_hand != "out"), 16)
            zone.share = 0
            again = f"it failed again: {finding.why if finding else zone.why}"
            self._go(zone, Stage.OUT, now, zone.why if zone.by_hand else again)
            return
        strained = finding is not None and finding.verdict in (Verdict.PART, Verdict.CUT)
        if zone.bad_since is None and not strained and now - zone.stepped >= self.pace.step:
            # Strain halts the return where it is; after it, it goes on a part at a time.
            goal = ramp(now - zone.since, self.pace)
            if goal > zone.share:
                zone.share, zone.stepped = min(goal, zone.share + -(-FULL // STEP)), now
        if zone.share >= FULL:
            self._go(zone, Stage.SERVING, now, "back whole")

    # The plan

    def plan(self, token: int, run: int, now: int) -> Plan:
        """What brokers are to follow."""
        return Plan(token, run, self.number, [
            ZoneStands(z.name, z.stage.value, z.share, now - z.since, z.flaps, z.by_hand,
                       max(0, z.hand_until - now) if z.by_hand else 0, z.why[:160])
            for z in self.zones.values()])


class Follower:
    """The newest plan a broker knows, and what it does alone while there is no planner."""

    def __init__(self, broker: str, alone_after: int = 3 * S) -> None:
        self.broker, self.alone_after = broker, alone_after
        self.plan: Plan | None = None
        self.heard = 0
        self.alone: set[str] = set()  # zones left on own evidence
        self.turned_down = 0

    def take(self, plan: Plan, now: int) -> bool:
        """Take a plan unless it is an older one; whether it was taken."""
        old = self.plan
        twin = old is not None and plan.token == old.token and plan.run != old.run
        if twin or (old is not None and (plan.token, plan.number) < (old.token, old.number)):
            self.turned_down += 1
            return False
        self.plan, self.heard = plan, now
        self.alone.clear()
        return True

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
        """This zone's share here, permille."""
        if zone in self.alone:
            return 0
        stands = next((z for z in self.plan.zones if z.name == zone), None) if self.plan else None
        return FULL if stands is None else stands.share

    def opened(self, engine: int, zone: str) -> bool:
        """Whether this broker may send to an engine."""
        return is_open(engine, self.broker, self.share(zone))
