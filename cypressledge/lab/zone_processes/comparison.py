"""Plays random schedules, each with zone failover off and on, and compares the results."""

import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent

from cypressledge.fleet.zones.events import BrokerEvent
from cypressledge.lab.summary_statistics import mean
from cypressledge.lab.zone_processes.core_engine import CoreEngine
from cypressledge.lab.zone_processes.testbed import ZONES, ZoneTestbed, ZoneTestbedOptions, logged_at

FAILURES = ("silent", "reset", "slow")  # ways in which a whole zone fails
BROKERS = 10
RATE = 0.55  # load as a fraction of all engines' cores
SETTLE_S = 4  # s; normal operation before the zone fails

# The retry budget over all brokers: at most 3 retries per broker plus a tenth of the queries, in any 5 s.
BUDGET_WINDOW_S = 5
BUDGET_FLOOR = 3
BUDGET_RATIO = 0.1
WINDOW_SLACK_S = 0.5  # s; queries this long before the window count too: engines receive with a delay


@dataclass(frozen=True, slots=True)
class Schedule:
    """A schedule: how a zone fails, for how long, and how long the fleet is observed afterwards.

    `failure`: one of `FAILURES`, or cut, blind, release or none, in which no whole zone fails.
    """

    seed: int
    failure: str
    zone: str
    outage_s: float
    observation_s: float

    @property
    def is_zone_loss(self) -> bool:
        """Whether a whole zone fails."""
        return self.failure in FAILURES


@dataclass(slots=True)
class PlayResult:
    """The result of playing a schedule once."""

    last_send: float = 0.0  # s from the loss of the zone to the last new send into it
    departed_after_s: float | None = None  # s from the loss until all brokers had the plan that leaves it
    kept: float = 0.0  # percentage of the requests since the loss that were answered in time
    failed_engines: int = 0  # number of overload failures of engines
    retries: int = 0
    budget_violations: int = 0
    recovered_after_s: float | None = None  # s from the repair until the share was full
    false_departures: int = 0
    events: list[dict] = field(default_factory=list)


def play(schedule: Schedule, failover: bool) -> PlayResult:
    """Play a schedule: start a testbed, fail the zone, repair it, collect the result, end everything."""
    testbed = ZoneTestbed(ZoneTestbedOptions(BROKERS, failover, schedule.seed, RATE))
    result = PlayResult()
    zone = schedule.zone
    try:
        load = testbed.start().load
        gevent.sleep(SETTLE_S)
        before = Counter(load.counts)
        lost_at, lost_at_wall = time.monotonic(), time.time()
        _fail(schedule, testbed)
        if schedule.is_zone_loss:
            result.last_send = max(0.0, testbed.last_received(zone) - lost_at)
        for engine in testbed.engines:
            engine.repair(cold=schedule.is_zone_loss and engine.zone == zone)
        back_at_wall = time.time()
        gevent.sleep(schedule.observation_s)
        asked = load.counts["asked"] - before["asked"]
        result.kept = 100 * (load.counts["kept"] - before["kept"]) / max(1, asked)
        result.failed_engines = sum(engine.overload_failures for engine in testbed.engines)
        _check_retry_budget(result, testbed.engines)
        result.events = testbed.events(BrokerEvent.PLAN_ACCEPTED, "zone_leaving", BrokerEvent.ZONES_EVACUATED)
        _read_times(result, zone, lost_at_wall, back_at_wall)
        result.false_departures = _false_departures(schedule, result.events)
    finally:
        testbed.close()
    return result


def _fail(schedule: Schedule, testbed: ZoneTestbed) -> None:
    """Start the schedule's failure, and return when its outage is over."""
    lost = testbed.engines_in(schedule.zone)
    end = time.monotonic() + schedule.outage_s
    if schedule.is_zone_loss:
        for engine in lost:
            engine.fail(schedule.failure)
    elif schedule.failure == "cut":  # the path from the next zone's brokers to this one's engines
        next_zone = (ZONES.index(schedule.zone) + 1) % len(ZONES)
        cut_off = {name for number, name in enumerate(testbed.names) if number % len(ZONES) == next_zone}
        for engine in lost:
            engine.block(cut_off, "silent")
    elif schedule.failure == "blind":  # all paths from one broker
        for engine in testbed.engines:
            engine.block({testbed.names[1]}, "reset")
    elif schedule.failure == "release":
        for engine in lost:
            engine.fail("reset")
            gevent.sleep(schedule.outage_s / len(lost))
            engine.repair()
    gevent.sleep(max(0.0, end - time.monotonic()))


def _false_departures(schedule: Schedule, events: list[dict]) -> int:
    """Return how often brokers left a healthy zone."""
    departures = [event for event in events if event["event"] != BrokerEvent.PLAN_ACCEPTED]
    if not schedule.is_zone_loss:
        return len(departures)
    return sum(schedule.zone not in event.get("zone", event.get("zones", "")) for event in departures)


def _read_times(result: PlayResult, zone: str, lost_at: float, back_at: float) -> None:
    """Set when all brokers had accepted the plan that leaves the zone, and when its share was full again."""
    left_at: dict[str, float] = {}
    for event in result.events:
        if event["event"] != BrokerEvent.PLAN_ACCEPTED:
            continue
        share, at = event["shares"].get(zone), logged_at(event)
        if share == 0:
            left_at.setdefault(event["broker"], at - lost_at)
        elif share == 1000 and at > back_at:
            result.recovered_after_s = at - back_at
    if len(left_at) == BROKERS:
        result.departed_after_s = max(left_at.values())


def _check_retry_budget(result: PlayResult, engines: list[CoreEngine]) -> None:
    """Count the retries (attempts after a query's first) and those beyond the budget of all brokers."""
    received = sorted(
        (query.received_at, query.broker, query.name) for engine in engines for query in engine.received
    )
    seen: set[str] = set()
    firsts: list[float] = []
    retries: list[float] = []
    for at, _, name in received:
        query = name.partition(".")[0]
        (retries if query in seen else firsts).append(at)
        seen.add(query)
    result.retries = len(retries)
    for at in retries:
        in_window = sum(at - BUDGET_WINDOW_S <= other <= at for other in retries)
        queries = sum(at - BUDGET_WINDOW_S - WINDOW_SLACK_S <= other <= at for other in firsts)
        result.budget_violations += in_window > BUDGET_FLOOR * BROKERS + BUDGET_RATIO * queries + 1


def describe(schedule: Schedule, failover: bool, result: PlayResult) -> str:
    """Return a line of text about one result."""
    left = "" if result.departed_after_s is None else f", left by all after {result.departed_after_s:.2f} s"
    back = "" if result.recovered_after_s is None else f", whole again after {result.recovered_after_s:.1f} s"
    return (
        f"seed {schedule.seed} {'on ' if failover else 'off'}: {schedule.zone} {schedule.failure} for "
        f"{schedule.outage_s:.1f} s: last send into it {result.last_send:.2f} s{left}, "
        f"kept {result.kept:.1f}%, fallen over {result.failed_engines}, further attempts {result.retries}, "
        f"false departures {result.false_departures}{back}"
    )


def draw_schedule(seed: int, failure: str) -> Schedule:
    """Return the schedule of a seed; `failure`: the failure to use, or empty to draw one."""
    rng = random.Random(seed)
    failure = failure or rng.choice(FAILURES)
    zone = rng.choice(ZONES)
    outage_s, observation_s = rng.uniform(6, 9), rng.uniform(20, 22)
    return Schedule(seed, failure, zone, outage_s, observation_s)


def run(seed: int, runs: int, kind: str, echo: Callable[[str], None]) -> int:
    """Play `runs` schedules, each with zone failover off and on; return the exit code.

    1: the retry budget was exceeded, or brokers left a healthy zone. 3: a zone was meant to fail, but with
    failover off no query was sent into it, so that nothing was lost.
    """
    results_off: list[PlayResult] = []
    results_on: list[PlayResult] = []
    for number in range(seed, seed + runs):
        schedule = draw_schedule(number, kind)
        results_off.append(play(schedule, False))
        results_on.append(play(schedule, True))
        echo(describe(schedule, False, results_off[-1]))
        echo(describe(schedule, True, results_on[-1]))
    violations = sum(result.budget_violations for result in results_off + results_on)
    false_departures = sum(result.false_departures for result in results_on)
    echo(
        f"zones: seeds {runs}, last send into the lost zone off {_last_send(results_off):.2f} s / "
        f"on {_last_send(results_on):.2f} s, "
        f"worth kept off {_mean_kept(results_off):.1f}% / on {_mean_kept(results_on):.1f}%, "
        f"engines fallen over off {_failed_engines(results_off)} / on {_failed_engines(results_on)}, "
        f"ration broken {violations}, false departures {false_departures}"
    )
    if violations or false_departures:
        return 1
    was_to_lose = not kind or kind in FAILURES
    return 3 if was_to_lose and not any(result.last_send for result in results_off) else 0


def _last_send(results: list[PlayResult]) -> float:
    return max(result.last_send for result in results)


def _failed_engines(results: list[PlayResult]) -> int:
    return sum(result.failed_engines for result in results)


def _mean_kept(results: list[PlayResult]) -> float:
    return mean([result.kept for result in results])
