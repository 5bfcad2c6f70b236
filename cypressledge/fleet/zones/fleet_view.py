"""One broker's collection of all brokers' observations and engine lists: the input of health and planner."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from cypressledge.decisions import contract as c
from cypressledge.fleet.messages import EngineObservations
from cypressledge.fleet.zones.environment import ZoneCore
from cypressledge.fleet.zones.failover_plan import SECOND, ZoneLoad
from cypressledge.fleet.zones.health import MAX_AGE, BrokerObservations
from cypressledge.fleet.zones.observations import WINDOW, WINDOW_COUNT
from cypressledge.fleet.zones.topology import SiteTopology

RELEASE_SPAN = 10 * SECOND  # µs after an engine's start in which its failures are attributed to a release
OBSERVED_SPAN = WINDOW * WINDOW_COUNT  # µs; time span that observations cover


@dataclass(frozen=True, slots=True)
class ReceivedObservations:
    """A broker's newest observations, and when they arrived (µs)."""

    received_at: int
    observed: EngineObservations


class AssessmentInput(NamedTuple):
    """The arguments of `health.assess`, for zones or for regions treated as zones."""

    reports: list[BrokerObservations]
    engine_zones: dict[int, str]
    changing: frozenset[int]


class FleetView:
    """The newest observations of all brokers, including this one."""

    def __init__(self, core: ZoneCore, topology: SiteTopology) -> None:
        self.core = core
        self.topology = topology
        self.received: dict[str, ReceivedObservations] = {}

    def record(self, broker: str, observed: EngineObservations, now: int) -> None:
        """Store a broker's newest observations, received at `now` (µs)."""
        self.received[broker] = ReceivedObservations(now, observed)

    def report(self, broker: str, observed: EngineObservations, age: int = 0) -> BrokerObservations:
        """Return a broker's observations with its zone and their age (µs)."""
        return BrokerObservations(broker, self.topology.broker_zones.get(broker, ""), age, observed)

    def reports(self, now: int) -> list[BrokerObservations]:
        """Return all brokers' observations with their ages."""
        return [
            self.report(broker, received.observed, now - received.received_at)
            for broker, received in self.received.items()
        ]

    def zone_input(self, reports: list[BrokerObservations]) -> AssessmentInput:
        """Return the input for an assessment by zone."""
        engine_zones = {}
        for entry in self._entries():
            zone = self.topology.zone_of(entry) if self.topology.zones else ""
            if zone:
                engine_zones[entry.engine] = zone
        return AssessmentInput(reports, engine_zones, self._changing())

    def region_input(self, reports: list[BrokerObservations]) -> AssessmentInput:
        """Return the input for an assessment by region; zones without a region are left out."""
        region_of = self.topology.region_of
        reports = [
            BrokerObservations(r.broker, region_of.get(r.zone, r.zone), r.age, r.observed) for r in reports
        ]
        engine_regions = {}
        for entry in self._entries():
            zone = self.topology.zone_of(entry) if self.topology.zones else ""
            if zone in region_of:
                engine_regions[entry.engine] = region_of[zone]
        return AssessmentInput(reports, engine_regions, self._changing())

    def tenant_counts(self, now: int) -> Mapping[str, int]:
        """Return the requests at all brokers by tenant, in the time span that observations cover."""
        total: Counter[str] = Counter()
        for observed in self._fresh(now):
            total.update(observed.requests_by_tenant)
        return total

    def work_per_answer(self, now: int) -> float | None:
        """Return the mean processor time per answer, s; None if there were no answers."""
        fresh = self._fresh(now)
        answers = sum(engine.succeeded + engine.late for observed in fresh for engine in observed.engines)
        if not answers:
            return None
        return sum(engine.cpu_time for observed in fresh for engine in observed.engines) / answers / 1e6

    def zone_loads(self, now: int) -> Mapping[str, ZoneLoad]:
        """Return load and cores by zone, from the observations and the engine lists."""
        used = dict.fromkeys(self.topology.zones, 0.0)
        cores = dict.fromkeys(self.topology.zones, 0.0)
        kind_cores = self.core.settings.kind_cores
        zone_of = {}
        for entry in self._entries():
            zone = zone_of[entry.engine] = self.topology.zone_of(entry)
            if entry.state is c.EngineState.READY:
                cores[zone] += kind_cores[min(entry.kind, len(kind_cores) - 1)]
        for observed in self._fresh(now):
            for engine in observed.engines:
                if engine.engine in zone_of:
                    used[zone_of[engine.engine]] += engine.cpu_time / OBSERVED_SPAN
        return {zone: ZoneLoad(used[zone], cores[zone]) for zone in self.topology.zones}

    def region_loads(self, zone_loads: Mapping[str, ZoneLoad]) -> Mapping[str, ZoneLoad]:
        """Return load and cores by region, as sums over its zones."""
        total: dict[str, ZoneLoad] = {}
        for zone, load in zone_loads.items():
            region = self.topology.region_of.get(zone)
            if region:
                so_far = total.get(region, ZoneLoad(0.0, 0.0))
                total[region] = ZoneLoad(so_far.used + load.used, so_far.cores + load.cores)
        return total

    def _fresh(self, now: int) -> list[EngineObservations]:
        return [r.observed for r in self.received.values() if now - r.received_at < MAX_AGE]

    def _entries(self) -> list[c.EngineListEntry]:
        """Return the entries of all engine lists."""
        return [engine.entry for listed in self.core.engines.engine_lists.values() for engine in listed]

    def _changing(self) -> frozenset[int]:
        """Return the engines that are not ready, such as draining ones, or have just started."""
        core_now = self.core.loop.now()
        return frozenset(
            entry.engine
            for entry in self._entries()
            if entry.state is not c.EngineState.READY
            or (entry.started_at and core_now - entry.started_at < RELEASE_SPAN)
        )
