"""The planner of zones and the fleet's summary: processor time and bytes against brokers and engines."""

import gc
import random
import time
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

from cypressledge.broker.requests import Endpoint, ListedEngine
from cypressledge.broker.stable_hash import stable_hash
from cypressledge.fleet.leases.participation import HeldLease
from cypressledge.fleet.messages import (
    VERSION,
    BrokerMetrics,
    EngineObservation,
    EngineObservations,
    Envelope,
    decode,
    encode,
)
from cypressledge.fleet.tasks.fleet_summary import MAX_ENGINES, SummaryRound
from cypressledge.fleet.zones.environment import FleetLinks
from cypressledge.fleet.zones.failover import ZoneFailover
from cypressledge.fleet.zones.failover_plan import FailoverPace
from cypressledge.fleet.zones.topology import SiteTopology
from cypressledge.lab.results import Fact, Slope, Source, slope
from cypressledge.lab.scaling.measuring import (
    ENGINE_COUNTS,
    HEADER_BYTES,
    SECOND_US,
    ZONE_REGIONS,
    ZONES,
    Findings,
    Points,
    cpu_ms,
    engine_entries,
    median_cpu_ms,
)

OBSERVED_ENGINES = 64  # that one message of observations names at most
RECEIVED = 200  # messages of observations, measured together


def observations_of(engines: list[int], bad: frozenset[int]) -> EngineObservations:
    """Return what a broker reports of the engines it used, as many as one message names at most."""

    def observation(engine: int) -> EngineObservation:
        if engine in bad:
            return EngineObservation(engine, 0, 0, 0, 3, 1, 0, 4, 900)
        return EngineObservation(engine, 40, 0, 0, 0, 0, 400_000, 0, 12)

    return EngineObservations([observation(e) for e in engines[:OBSERVED_ENGINES]], {"sahel": 1_000}, [])


def planner_with_observations(
    brokers: int, engines: int, lost: bool, seed: int
) -> tuple[ZoneFailover, list[tuple[str, object]]]:
    """Return a planner that has each broker's observations, and what it sends; the core is a fake.

    `lost`: a zone is lost, else all is well.
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
    sent: list[tuple[str, object]] = []
    site = SiteTopology(ZONES, {n: ZONES[i % 4] for i, n in enumerate(names)}, ZONE_REGIONS, {})
    links = FleetLinks(
        now=lambda: 100 * SECOND_US,
        send=lambda peer, item: sent.append((peer, item)),
        living_peers=lambda: names[1:],
        likely_planners=lambda: names[:1],
        log_event=lambda event, **fields: None,
    )
    zones = ZoneFailover(names[0], core, site, FailoverPace(), links)
    bad = frozenset(e.engine for e in entries if e.zone == 0) if lost else frozenset()
    rng = random.Random(seed)
    for name in names:
        used = rng.sample([e.engine for e in entries], min(OBSERVED_ENGINES, engines))
        zones.receive(name, observations_of(used, bad))
    return zones, sent


@dataclass(frozen=True, slots=True)
class PlannerRun:
    """Processor time of one run of the planner, and of its longest step, in which requests wait; ms."""

    total_ms: float
    longest_step_ms: float


def planner_run(brokers: int, engines: int, lost: bool, seed: int) -> PlannerRun:
    """Measure the second run of a planner."""
    zones, _ = planner_with_observations(brokers, engines, lost, seed)
    lease = HeldLease("zones", "zones", 1, 1, 200 * SECOND_US)
    for _ in zones.act(lease):
        pass
    gc.collect()
    steps: list[int] = []  # ns
    began = time.thread_time_ns()
    for _ in zones.act(lease):
        steps.append(time.thread_time_ns() - began)
        began = time.thread_time_ns()
    steps.append(time.thread_time_ns() - began)
    return PlannerRun(sum(steps) / 1e6, max(steps) / 1e6)


def datagram_bytes(*items: Any) -> int:
    """Return the bytes of a datagram that carries the items, headers counted."""
    return len(encode(Envelope(VERSION, "n000", "n001", 1 << 61, 3, 1, 1, list(items)))) + HEADER_BYTES


def broker_metrics(engines: int, avoided: int) -> BrokerMetrics:
    """Return a broker's metrics with so many engines avoided, `MAX_ENGINES` at most."""
    classes = {name: [40_000_000, 12_000, 3_000, 41_000_000] for name in ("lookup", "report", "order-load")}
    return BrokerMetrics(
        7,
        classes,
        [f"s-{stable_hash(f's-{i}', 4):08x}" for i in range(min(avoided, MAX_ENGINES))],
        engines,
        60,
    )


@dataclass(frozen=True, slots=True)
class SummaryCost:
    """Processor time of one summary, and the bytes of its datagram."""

    ms: float
    size: int


def summary_cost(brokers: int, engines: int) -> SummaryCost:
    """Measure a summary of all brokers but a quarter (a zone that is gone)."""
    names = [f"n{i:03d}" for i in range(brokers)]
    merge = SummaryRound(7, 1 << 61, names[0])
    for name in names[brokers // 4 :]:
        merge.add(name, broker_metrics(engines, engines // 4))
    ms = median_cpu_ms(lambda: merge.summary(names), 3)
    return SummaryCost(ms, datagram_bytes(merge.summary(names)))


def observations_us() -> float:
    """Return the µs to decode observations of 64 engines and take them."""
    zones, _ = planner_with_observations(2, OBSERVED_ENGINES, False, 1)
    observations = observations_of([stable_hash(f"s-{i}") for i in range(OBSERVED_ENGINES)], frozenset())
    raw = encode(Envelope(VERSION, "n001", "n000", 1 << 61, 3, 1, 1, [observations]))

    def receive_repeatedly() -> None:
        for _ in range(RECEIVED):
            received: Any = decode(raw).items[0]
            zones.receive("n001", received)

    return cpu_ms(receive_repeatedly) * 1000 / RECEIVED


def planner_costs(quick: bool, seed: int, source: Source) -> Findings:
    """Measure the planner's run and the summary against brokers before 490 engines; `quick`: small points."""
    sizes = (20, 60, 120) if quick else (60, 120, 200, 320, 460)
    engines = 60 if quick else 490
    well = {size: planner_run(size, engines, False, seed) for size in sizes}
    lost = {size: planner_run(size, engines, True, seed) for size in sizes}
    summaries = {size: summary_cost(size, engines) for size in sizes}
    engine_counts = (12, 60) if quick else ENGINE_COUNTS
    by_engines = [(count, planner_run(sizes[-1], count, True, seed).total_ms) for count in engine_counts]

    def curve(name: str, what: str, unit: str, points: Points, x: str = "brokers") -> Slope:
        return slope(name, "planner", what, unit, x, points, source)

    slopes = [
        curve(
            "planner_well_ms",
            "one act of the planner, all well",
            "ms",
            [(size, run.total_ms) for size, run in well.items()],
        ),
        curve(
            "planner_lost_ms",
            "one act of the planner, a zone lost",
            "ms",
            [(size, run.total_ms) for size, run in lost.items()],
        ),
        curve(
            "planner_longest_ms",
            "its longest step",
            "ms",
            [(size, run.longest_step_ms) for size, run in lost.items()],
        ),
        curve(
            "planner_engines_ms", f"one act, a zone lost, {sizes[-1]} brokers", "ms", by_engines, "engines"
        ),
        curve("sight_bytes", "one broker's sight", "bytes", _observations_bytes(), "engines it names"),
        curve(
            "summary_ms",
            "one summary added up, a quarter missing",
            "ms",
            [(size, summary.ms) for size, summary in summaries.items()],
        ),
        curve(
            "summary_bytes",
            "one summary, a quarter missing, a quarter of the engines avoided",
            "bytes",
            [(size, summary.size) for size, summary in summaries.items()],
        ),
    ]
    return Findings(slopes, _facts(seed, source))


def _observations_bytes() -> list[tuple[int, int]]:
    """Return the size of one broker's observations, by the engines they name."""
    points = []
    for count in (12, 36, OBSERVED_ENGINES):
        engines = [stable_hash(f"s-{i}") for i in range(count)]
        points.append((count, datagram_bytes(observations_of(engines, frozenset()))))
    return points


def _facts(seed: int, source: Source) -> list[Fact]:
    zones, sent = planner_with_observations(4, 60, True, seed)
    for _ in zones.act(HeldLease("zones", "zones", 1, 1, 200 * SECOND_US)):
        pass
    plan_bytes = datagram_bytes(sent[0][1])
    metrics_bytes = datagram_bytes(broker_metrics(490, 122))
    return [
        Fact("plan_bytes", "one plan of 4 zones and 2 regions", plan_bytes, "bytes", source),
        Fact("figures_bytes", "one broker's figures, 122 engines avoided", metrics_bytes, "bytes", source),
        Fact("sight_us", "a sight of 64 engines decoded and taken", observations_us(), "µs", source),
    ]
