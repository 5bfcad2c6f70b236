"""Routing: a request goes to the engine of lowest cost among those that admit it; ties are broken at random.

A cost is in threads per core: this broker's work in flight, plus penalties in the same unit.
"""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from cypressledge.decisions.affinity import Affinity
from cypressledge.decisions.concurrency_limits import ConcurrencyLimits
from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.contract import ClassSettings
from cypressledge.decisions.engine_admission import EngineAdmission
from cypressledge.decisions.engines import Engine, EngineRegistry
from cypressledge.decisions.load_reports import LoadReports
from cypressledge.decisions.pace import FleetPace
from cypressledge.decisions.request import Request
from cypressledge.decisions.retries import deduplicates
from cypressledge.decisions.units import MS

REPORT_WEIGHT = 2.0  # weight of the other brokers' reported load relative to this broker's own load
REPORT_HALF_LIFE = 2_000 * MS  # µs; age at which a report counts half, about the run time of expensive work
PREFERRED_ENGINES_MIN = 3  # fewest engines that a broker prefers
ANSWERS_PER_PREFERRED_ENGINE = 2  # answers per second for each further engine that a broker prefers
# Costs are in threads per core.
UNPREFERRED_ENGINE_COST = 1.0  # cost of the first engine that the broker does not prefer
UNCACHED_COST = 0.25  # cost of engines that are not among the group's engines, which cache its tables
BLOCKED_COST = 2.0  # cost of an engine for each load that blocks the group there
FAILED_COST = 2.0  # cost of an engine that just failed the request or rejects attempts
RESERVED_COST = 0.5  # cost of engines that another class requires, for classes without requirements
LOAD_ENGINE_COST = 2.0  # cost of the load engines of the group, for requests that loads block
NOT_LOAD_ENGINE_COST = 1.0  # cost of engines that are not load engines of the group, for loads
TIE_TOLERANCE = 1e-9  # largest difference of equal costs


@dataclass(slots=True)
class CostInputs:
    """Inputs of the engine costs that are the same for all engines, computed once for each choice."""

    request: Request
    threads: int  # threads that the request uses
    table_group: int
    now: int  # µs
    fleet_slowdown: float
    mean_load: float  # threads per core, of load reports
    load_spread: float  # threads per core, of load reports
    distances: Mapping[Engine, float]  # result of Affinity.preference_distances
    group_engines: Collection[Engine]  # engines without UNCACHED_COST
    load_engines: Collection[Engine]  # of the group, for loads and requests that loads block; else empty


class Router:
    """Chooses the engine that a request is sent to."""

    def __init__(
        self,
        context: DecisionContext,
        registry: EngineRegistry,
        affinity: Affinity,
        limits: ConcurrencyLimits,
        admission: EngineAdmission,
        load_reports: LoadReports,
        pace: FleetPace,
    ) -> None:
        self._context = context
        self._registry = registry
        self._affinity = affinity
        self._limits = limits
        self._admission = admission
        self._load_reports = load_reports
        self._pace = pace
        self._random = context.random.random
        self.configure()

    def configure(self) -> None:
        """Apply the context's settings: required kinds and zones, and the weight of load reports."""
        settings = self._context.settings
        self._reserved_kinds = frozenset().union(*(c.required_kinds or () for c in settings.classes))
        self._reserved_zones = frozenset().union(*(c.required_zones or () for c in settings.classes))
        self._reserves_engines = bool(self._reserved_kinds or self._reserved_zones)
        self._report_weight = REPORT_WEIGHT * (1.0 - 1.0 / settings.broker_count)

    def choose(self, request: Request) -> Engine | None:
        """Return the candidate with capacity and the lowest cost; None without any."""
        allowance = self._limits.short_work_allowance(request)
        if not self._limits.fleet_has_capacity(request, allowance):
            return None
        inputs = self._cost_inputs(request)
        admits = self._admission.admits
        lowest_cost = 0.0
        ties: list[Engine] = []
        for engine in self._candidates(request):
            if not admits(engine, request, allowance):
                continue
            cost = self._cost(engine, inputs)
            if not ties or cost < lowest_cost - TIE_TOLERANCE:
                lowest_cost, ties = cost, [engine]
            elif cost < lowest_cost + TIE_TOLERANCE:
                ties.append(engine)
        return self._context.random.choice(ties) if ties else None

    def _candidates(self, request: Request) -> Sequence[Engine]:
        """Return the engines that the rules on kinds, zones, retries and loads allow for the request."""
        class_settings = request.class_settings
        engines = self._registry.ready
        if (kinds := class_settings.required_kinds) is not None:
            engines = [engine for engine in engines if engine.kind in kinds]
        if (zones := class_settings.required_zones) is not None:
            engines = [engine for engine in engines if engine.zone in zones]
        if (execution := request.first_possible_execution) is not None:
            first = execution.engine
            engines = [engine for engine in engines if deduplicates(class_settings, first, engine)]
        if class_settings.is_load or class_settings.blocked_by_loads:
            excluded = self._affinity.excluded_engines(request)
            engines = [engine for engine in engines if engine not in excluded]
        if class_settings.is_load:
            would_start_soon = self._affinity.load_would_start_soon
            engines = [engine for engine in engines if would_start_soon(engine, request)]
        return engines

    def _cost_inputs(self, request: Request) -> CostInputs:
        affinity, class_settings, group = self._affinity, request.class_settings, request.table_group
        is_load = class_settings.is_load
        has_load_engines = is_load or class_settings.blocked_by_loads
        return CostInputs(
            request=request,
            threads=class_settings.threads,
            table_group=group,
            now=self._context.now,
            fleet_slowdown=self._pace.slowdown,
            mean_load=self._load_reports.mean_load,
            load_spread=self._load_reports.load_spread,
            distances=affinity.preference_distances(self._preferred_count()),
            group_engines=self._registry.ready if is_load else affinity.group_engines(group),
            load_engines=affinity.load_engines(group) if has_load_engines else (),
        )

    def _preferred_count(self) -> int:
        """Return how many engines this broker prefers, which grows with its rate of answers."""
        return PREFERRED_ENGINES_MIN + int(self._pace.answer_rate / ANSWERS_PER_PREFERRED_ENGINE)

    # Cost terms in threads per core, in the order in which they are added.

    def _cost(self, engine: Engine, inputs: CostInputs) -> float:
        request = inputs.request
        class_settings = request.class_settings
        cost = _in_flight_cost(engine, inputs)
        cost += self._reported_load_cost(engine, inputs)
        cost += _affinity_cost(engine, inputs)
        if class_settings.blocked_by_loads or class_settings.is_load:
            cost += _blocked_cost(engine, inputs)
            cost += _load_placement_cost(engine, inputs)
        if engine is request.avoided_engine or inputs.now < engine.rejected_until:
            cost += FAILED_COST
        if self._reserves_engines and self._is_reserved(engine, class_settings):
            cost += RESERVED_COST
        return cost

    def _reported_load_cost(self, engine: Engine, inputs: CostInputs) -> float:
        """Return the cost of the other brokers' load, as the engine last reported it.

        The older the report, the more of it is replaced by a random value, so that the brokers do not all
        choose the engine with the lowest old report.
        """
        freshness = 1.0 / (1.0 + (inputs.now - engine.reported_at) / REPORT_HALF_LIFE)
        deviation = 2.0 * self._random() - 1.0
        random_part = (1.0 - freshness) * inputs.load_spread * deviation * (engine.reported_at > 0)
        return self._report_weight * (freshness * (engine.reported_load - inputs.mean_load) + random_part)

    def _is_reserved(self, engine: Engine, class_settings: ClassSettings) -> bool:
        """Return whether another class requires the engine's kind or zone and this class requires none."""
        if class_settings.required_kinds is not None or class_settings.required_zones is not None:
            return False
        return engine.kind in self._reserved_kinds or engine.zone in self._reserved_zones


def _in_flight_cost(engine: Engine, inputs: CostInputs) -> float:
    """Return this broker's threads per core including the request, times the engine's relative slowdown."""
    load = (engine.threads + inputs.threads) / engine.cores
    relative_slowdown = engine.slowdown / inputs.fleet_slowdown
    return load * (relative_slowdown if relative_slowdown > 1.0 else 1.0)


def _affinity_cost(engine: Engine, inputs: CostInputs) -> float:
    """Return the penalty on engines outside the group's and on warm engines that aren't preferred."""
    is_uncached = engine not in inputs.group_engines
    is_warm = inputs.now >= engine.warm_at
    return is_uncached * UNCACHED_COST + is_warm * UNPREFERRED_ENGINE_COST * inputs.distances[engine]


def _blocked_cost(engine: Engine, inputs: CostInputs) -> float:
    """Return the penalty on an engine where loads block the group."""
    is_blocked = engine.blocked_until.get(inputs.table_group, 0) > inputs.now
    return BLOCKED_COST * max(engine.loads_in_flight.get(inputs.table_group, 0), is_blocked)


def _load_placement_cost(engine: Engine, inputs: CostInputs) -> float:
    """Return the penalty that separates loads from the queries that they block."""
    is_load_engine = engine in inputs.load_engines
    if inputs.request.class_settings.is_load:
        return (not is_load_engine) * NOT_LOAD_ENGINE_COST
    return is_load_engine * LOAD_ENGINE_COST
