"""Processor time and message sizes of the zone planner and the fleet's summary, by brokers and engines."""

import gc
import random
import time
from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial
from types import SimpleNamespace
from typing import Any

from cypressledge.broker.requests import Endpoint, ListedEngine
from cypressledge.broker.stable_hash import stable_hash
from cypressledge.fleet.leases.lease import HeldLease
from cypressledge.fleet.messages import (
    VERSION,
    EngineObservation,
    EngineObservations,
    Envelope,
    decode,
    encode,
)
from cypressledge.fleet.zones.environment import FleetLinks
from cypressledge.fleet.zones.failover import ZoneFailover
from cypressledge.fleet.zones.failover_plan import FailoverPace
from cypressledge.fleet.zones.topology import SiteTopology
from cypressledge.lab.results import Fact, Slope, Source
from cypressledge.lab.scaling.measuring import (
    ENGINE_COUNTS,
    SECOND_US,
    ZONE_REGIONS,
    ZONES,
    CurveFamily,
    Findings,
    Points,
    cpu_ms,
    engine_entries,
)
from cypressledge.lab.scaling.summary_costs import SummaryCost, broker_metrics, datagram_bytes, summary_cost

ROLE = "planner"
LEASE = HeldLease("zones", "zones", 1, 1, 200 * SECOND_US)  # the planner's lease
OBSERVED_ENGINES = 64  # maximum number of engines in one message of observations
RECEIVED = 200  # messages of observations received in one timed call


def observations_of(engines: list[int], bad: frozenset[int]) -> EngineObservations:
    """Return a broker's observations of the first `OBSERVED_ENGINES` engines; those in `bad` only fail."""
    observations = [_observation(engine, engine in bad) for engine in engines[:OBSERVED_ENGINES]]
    return EngineObservations(observations, {"sahel": 1_000}, [])


def _observation(engine: int, is_bad: bool) -> EngineObservation:
    """Return a broker's observation of one engine: failures only if it is bad, else answers only."""
    if is_bad:
        return EngineObservation(engine, 0, 0, 0, 3, 1, 0, 4, 900)
    return EngineObservation(engine, 40, 0, 0, 0, 0, 400_000, 0, 12)


@dataclass(frozen=True, slots=True)
class PlannerWithObservations:
    """A planner that has received each broker's observations, and the items that it has sent."""

    zones: ZoneFailover
    sent: list[object]

    def run(self) -> None:
        """Run all steps of the planner once."""
        for _ in self.zones.act(LEASE):
            pass


def planner_with_observations(
    brokers: int, engines: int, zone_lost: bool, seed: int
) -> PlannerWithObservations:
    """Return a planner that has received each broker's observations; the broker core is a fake.

    `zone_lost`: whether all engines of one zone fail; otherwise all engines answer.
    """
    names = [f"n{i:03d}" for i in range(brokers)]
    entries = engine_entries(engines)
    core = SimpleNamespace(
        settings=SimpleNamespace(kind_cores=(8, 16)),
        loop=SimpleNamespace(now=lambda: 100 * SECOND_US),
        ledger=SimpleNamespace(requests={}),
        engines=SimpleNamespace(
            refresh=lambda: None,
            engine_lists={
                "lines": [ListedEngine(e, Endpoint(e.engine, "", ("", 0), "lines")) for e in entries]
            },
        ),
    )
    sent: list[object] = []
    site = SiteTopology(ZONES, {n: ZONES[i % 4] for i, n in enumerate(names)}, ZONE_REGIONS, {})
    links = FleetLinks(
        now=lambda: 100 * SECOND_US,
        send=lambda peer, item: sent.append(item),
        living_peers=lambda: names[1:],
        likely_planners=lambda: names[:1],
        log_event=lambda event, **fields: None,
    )
    zones = ZoneFailover(names[0], core, site, FailoverPace(), links)
    bad = frozenset(e.engine for e in entries if e.zone == 0) if zone_lost else frozenset()
    rng = random.Random(seed)
    for name in names:
        used = rng.sample([e.engine for e in entries], min(OBSERVED_ENGINES, engines))
        zones.receive(name, observations_of(used, bad))
    return PlannerWithObservations(zones, sent)


@dataclass(frozen=True, slots=True)
class PlannerRun:
    """Processor time (ms) of one run of the planner and of its longest step, during which requests wait."""

    total_ms: float
    longest_step_ms: float


def planner_run(brokers: int, engines: int, zone_lost: bool, seed: int) -> PlannerRun:
    """Measure the second run of a planner, after an unmeasured first one."""
    planner = planner_with_observations(brokers, engines, zone_lost, seed)
    planner.run()
    gc.collect()
    steps: list[int] = []  # ns
    began = time.thread_time_ns()
    for _ in planner.zones.act(LEASE):
        steps.append(time.thread_time_ns() - began)
        began = time.thread_time_ns()
    steps.append(time.thread_time_ns() - began)
    return PlannerRun(sum(steps) / 1e6, max(steps) / 1e6)


def observations_us() -> float:
    """Return the processor time (µs) to decode and process one message of observations of 64 engines."""
    zones = planner_with_observations(2, OBSERVED_ENGINES, False, 1).zones
    observations = observations_of([stable_hash(f"s-{i}") for i in range(OBSERVED_ENGINES)], frozenset())
    raw = encode(Envelope(VERSION, "n001", "n000", 1 << 61, 3, 1, 1, [observations]))
    return cpu_ms(partial(_receive_repeatedly, zones, raw)) * 1000 / RECEIVED


def _receive_repeatedly(zones: ZoneFailover, raw: bytes) -> None:
    """Decode the same datagram `RECEIVED` times and pass its observations to the planner."""
    for _ in range(RECEIVED):
        received: Any = decode(raw).items[0]
        zones.receive("n001", received)


@dataclass(frozen=True, slots=True)
class PlannerCosts:
    """Costs of the planner and the summary, by the number of brokers.

    `zone_lost_by_engines`: ms of a run with a zone lost, by the number of engines, with `largest_fleet`
    brokers.
    """

    healthy: dict[int, PlannerRun]
    zone_lost: dict[int, PlannerRun]
    summaries: dict[int, SummaryCost]
    largest_fleet: int
    zone_lost_by_engines: Points


def measure_planner(quick: bool, seed: int) -> PlannerCosts:
    """Measure a planner's run and the summary by the number of brokers, with 490 engines.

    `quick`: measure few and small points.
    """
    sizes = (20, 60, 120) if quick else (60, 120, 200, 320, 460)
    engines = 60 if quick else 490
    engine_counts = (12, 60) if quick else ENGINE_COUNTS
    return PlannerCosts(
        healthy={size: planner_run(size, engines, False, seed) for size in sizes},
        zone_lost={size: planner_run(size, engines, True, seed) for size in sizes},
        summaries={size: summary_cost(size, engines) for size in sizes},
        largest_fleet=sizes[-1],
        zone_lost_by_engines=[
            (count, planner_run(sizes[-1], count, True, seed).total_ms) for count in engine_counts
        ],
    )


def planner_costs(quick: bool, seed: int, source: Source) -> Findings:
    """Run `measure_planner` and return its results as slopes and facts."""
    costs = measure_planner(quick, seed)
    slopes = [*_run_curves(costs, source), *_message_curves(costs.summaries, source)]
    return Findings(slopes, _facts(seed, source))


def _run_curves(costs: PlannerCosts, source: Source) -> Iterator[Slope]:
    by_brokers = CurveFamily(ROLE, "brokers", source)
    by_engines = CurveFamily(ROLE, "engines", source)
    healthy = [(size, run.total_ms) for size, run in costs.healthy.items()]
    yield by_brokers.curve("planner_well_ms", "one act of the planner, all well", "ms", healthy)
    zone_lost = [(size, run.total_ms) for size, run in costs.zone_lost.items()]
    yield by_brokers.curve("planner_lost_ms", "one act of the planner, a zone lost", "ms", zone_lost)
    longest = [(size, run.longest_step_ms) for size, run in costs.zone_lost.items()]
    yield by_brokers.curve("planner_longest_ms", "its longest step", "ms", longest)
    what = f"one act, a zone lost, {costs.largest_fleet} brokers"
    yield by_engines.curve("planner_engines_ms", what, "ms", costs.zone_lost_by_engines)


def _message_curves(summaries: dict[int, SummaryCost], source: Source) -> Iterator[Slope]:
    by_named_engines = CurveFamily(ROLE, "engines it names", source)
    yield by_named_engines.curve("sight_bytes", "one broker's sight", "bytes", _observations_bytes())
    by_brokers = CurveFamily(ROLE, "brokers", source)
    times = [(size, summary.ms) for size, summary in summaries.items()]
    yield by_brokers.curve("summary_ms", "one summary added up, a quarter missing", "ms", times)
    sizes = [(size, summary.size) for size, summary in summaries.items()]
    what = "one summary, a quarter missing, a quarter of the engines avoided"
    yield by_brokers.curve("summary_bytes", what, "bytes", sizes)


def _observations_bytes() -> list[tuple[int, int]]:
    """Return the size (bytes) of one broker's observations, by the number of engines in them."""
    points = []
    for count in (12, 36, OBSERVED_ENGINES):
        engines = [stable_hash(f"s-{i}") for i in range(count)]
        points.append((count, datagram_bytes(observations_of(engines, frozenset()))))
    return points


def _facts(seed: int, source: Source) -> list[Fact]:
    planner = planner_with_observations(4, 60, True, seed)
    planner.run()
    plan_bytes = datagram_bytes(planner.sent[0])
    metrics_bytes = datagram_bytes(broker_metrics(490, 122))
    return [
        Fact("plan_bytes", "one plan of 4 zones and 2 regions", plan_bytes, "bytes", source),
        Fact("figures_bytes", "one broker's figures, 122 engines avoided", metrics_bytes, "bytes", source),
        Fact("sight_us", "a sight of 64 engines decoded and taken", observations_us(), "µs", source),
    ]
