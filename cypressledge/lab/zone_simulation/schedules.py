"""Schedules of faults, played in the simulated world, and their results."""

import random
from collections import Counter
from dataclasses import dataclass

from cypressledge.fleet.zones.events import BrokerEvent
from cypressledge.lab.zone_simulation.engine import SECOND
from cypressledge.lab.zone_simulation.scenario import Scenario
from cypressledge.lab.zone_simulation.world import PlayResult, World

SCHEDULES = ("silent", "reset", "slow", "cut", "blind", "release", "planner")
ZONE_LOSS_KINDS = ("silent", "reset", "slow", "planner")  # schedules in which a whole zone fails
BEFORE_S = 5  # s; normal operation before the fault
AFTER_S = 24.0  # s; simulated time after the fault
PLANNER_KILL_DELAY_S = 0.5  # s; from the loss of the zone to the kill of the planner


@dataclass(frozen=True, slots=True)
class Comparison:
    """The results of one scenario with zone failover off and on."""

    scenario: Scenario
    off: PlayResult
    on: PlayResult


def play_both(scenario: Scenario) -> Comparison:
    """Play a scenario with zone failover off and on, and return both results."""
    return Comparison(scenario, off=play(scenario, failover=False), on=play(scenario, failover=True))


def play(scenario: Scenario, failover: bool) -> PlayResult:
    """Play a scenario: 5 s of normal operation, a fault of 6 to 9 s, then the recovery."""
    kind = scenario.kind
    world = World(scenario, failover)
    rng = random.Random(scenario.seed)
    zone = rng.randrange(scenario.zones)
    outage_s = rng.uniform(6, 9)
    world.run(BEFORE_S)
    before = Counter(world.counts)
    _play_fault(world, kind, zone, outage_s)
    world.blocked = set()
    if kind in ZONE_LOSS_KINDS:
        world.restart_zone()
    if kind == "planner":
        world.run(AFTER_S / 4)
        world.kill_planner()
        world.run(AFTER_S * 3 / 4)
    else:
        world.run(AFTER_S)
    return _collect_result(world, before, kind)


def _play_fault(world: World, kind: str, zone: int, outage_s: float) -> None:
    """Start the fault of a schedule, and simulate `outage_s` seconds."""
    zones = len(world.zone_names)
    if kind in ZONE_LOSS_KINDS:
        world.fail_zone(zone, "silent" if kind == "planner" else kind)
    elif kind == "cut":  # the paths from the next zone's brokers to this zone's engines
        world.blocked = {
            (broker, zone) for broker in range(len(world.brokers)) if broker % zones == (zone + 1) % zones
        }
    elif kind == "blind":  # all paths from one broker
        world.blocked = {(1, each) for each in range(zones)}
    if kind == "release":
        _release(world, zone, outage_s)
    elif kind == "planner":
        world.run(PLANNER_KILL_DELAY_S)
        world.kill_planner()
        world.run(outage_s - PLANNER_KILL_DELAY_S)
    else:
        world.run(outage_s)


def _release(world: World, zone: int, seconds: float) -> None:
    """Restart the zone's engines one after the other; each is down for a while, and starts cold."""
    engines = world.engines_in(zone)
    for engine in engines:
        engine.fail("reset")
        world.run(seconds / len(engines))
        engine.failure = ""
        engine.started_at = world.now


def _collect_result(world: World, before: Counter[str], kind: str) -> PlayResult:
    result = world.result
    asked = world.counts["asked"] - before["asked"]
    result.kept = 100 * (world.counts["kept"] - before["kept"]) / max(1, asked)
    result.failed_engines = sum(engine.overload_failed for engine in world.engines)
    result.false_departures = _false_departures(world, kind)
    result.recovered_after_s = _recovered_after(world)
    decided = next(iter(_times(world, "zone_leaving")), None)
    if decided is not None and world.lost_at is not None and world.plan_taken_at:
        result.departed_after_s = (decided - world.lost_at) / SECOND
        result.in_force_after_s = (max(world.plan_taken_at.values()) - decided) / SECOND
    return result


def _false_departures(world: World, kind: str) -> int:
    """Return how often brokers left a healthy zone."""
    departures = [e for e in world.events if e.event in ("zone_leaving", BrokerEvent.ZONES_EVACUATED)]
    if kind not in ZONE_LOSS_KINDS:
        return len(departures)
    return sum(event.zones != [world.lost_zone_name()] for event in departures)


def _recovered_after(world: World) -> float | None:
    """Return the seconds from the restart of the zone until its share was full; None if it never was."""
    if world.back_at is None:
        return None
    times = (at for at in _times(world, "zone_serving") if at > world.back_at)
    first = next(times, None)
    return None if first is None else (first - world.back_at) / SECOND


def _times(world: World, event: str) -> list[int]:
    """Return the times at which an event of the lost zone was logged, virtual µs."""
    return [e.at for e in world.events if e.event == event and e.zones == [world.lost_zone_name()]]
