"""Limits on the threads and the memory that this broker has in flight, per engine and in total.

A bound is enforced under pressure only, that is, while answers take much longer than their run time or after
a rejection; without pressure, only a burst above the initial bound is limited. A bound grows while requests
wait for it and answers meet their objectives, and shrinks as latency grows.
"""

from typing import NamedTuple

from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.engines import THREADS_PER_CORE, Engine, EngineRegistry
from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.pace import OVERLOAD_SLOWDOWN, FleetPace
from cypressledge.decisions.request import Request
from cypressledge.decisions.units import MS

GROWTH_LIMIT = 3.0  # largest bound, as a multiple of the initial bound (design page)
SHRINK_FACTOR = 0.8  # factor on the bound at the end of a control period with slow answers
SHRINK_SLOWDOWN = 2.0  # slowdown above which the bound shrinks
GROWTH_SLOWDOWN = 1.4  # slowdown below which a bound may grow; short work meets its objective even when slow
GROWTH_MET_RATIO = 4  # met objectives per missed objective above which a bound may grow
BURST_MULTIPLE = 1.25  # multiple of the initial bound up to which a bound is not enforced without pressure
LARGE_QUERY_ALLOWANCE = 2.0  # largest queries by which the sum of bounds may be exceeded, as arrivals vary
REJECTION_PRESSURE = 2_000 * MS  # µs; time after a rejection during which the engine is under pressure
CAPACITY_PROBE_INTERVAL = 250 * MS  # µs; between attempts beyond the threads at the last rejection
SHORT_WORK_SHARE = 0.5  # fraction of the mean run time up to which a request counts as short
SHORT_WORK_ALLOWANCE = 0.3  # fraction of the initial bound by which short requests may exceed a bound
LARGE_QUERY_MEMORY_MAX = 0.25  # largest fraction of an engine's memory that one large query counts as
BOUND_MIN_DIVISOR = 2  # no bound shrinks below the initial bound divided by this
SMALLEST_QUERIES_MIN = 2.0  # queries with the fewest threads that every bound admits
MEMORY_NEEDS_MIN = 2.0  # multiple of a request's own memory need that every share of memory covers


class FleetLimits(NamedTuple):
    """Limits on what this broker may have in flight over all engines."""

    threads: float
    memory_mb: float  # 0: no engine's memory is known


class ConcurrencyLimits:
    """Counts this broker's threads and memory in flight and checks requests against the limits."""

    def __init__(
        self,
        context: DecisionContext,
        registry: EngineRegistry,
        pace: FleetPace,
        estimates: ClassEstimates,
    ) -> None:
        self._context = context
        self._registry = registry
        self._pace = pace
        self._estimates = estimates
        self.threads = 0  # in flight, of all attempts
        self.reserved_memory_mb = 0.0  # of all attempts in flight
        self.configure()

    def configure(self) -> None:
        """Apply the context's settings: the fewest and the most threads of any class."""
        classes = self._context.settings.classes
        self._fewest_threads = min(class_settings.threads for class_settings in classes)
        self._most_threads = max(class_settings.threads for class_settings in classes)

    def reserve(self, engine: Engine, request: Request) -> None:
        """Count the threads and the expected memory of an attempt that starts."""
        now = self._context.now
        request.reserved_memory_mb = self._estimates.memory_to_reserve_mb(request)
        for totals in (engine, self):
            totals.threads += request.class_settings.threads
            totals.reserved_memory_mb += request.reserved_memory_mb
        if now < engine.rejected_until and engine.threads > engine.threads_at_rejection:
            engine.next_capacity_probe_at = now + CAPACITY_PROBE_INTERVAL

    def release(self, engine: Engine, request: Request) -> None:
        """Uncount the threads and the reserved memory of an attempt that has ended."""
        for totals in (engine, self):
            totals.threads -= request.class_settings.threads
            totals.reserved_memory_mb -= request.reserved_memory_mb

    def record_answer(self, engine: Engine, request: Request, latency_objective: float) -> None:
        """Record an answer's threads in flight, and whether it met the latency objective, µs."""
        threads = engine.threads + request.class_settings.threads
        engine.threads_at_rejection = max(engine.threads_at_rejection, threads)
        if self._context.now - request.received_at <= latency_objective:
            engine.objectives_met += 1
        else:
            engine.objectives_missed += 1

    def record_rejection(self, engine: Engine) -> None:
        """Limit the engine's threads for a while after it rejected an attempt for lack of capacity."""
        now = self._context.now
        engine.rejected_until = now + REJECTION_PRESSURE
        engine.next_capacity_probe_at = now + CAPACITY_PROBE_INTERVAL
        engine.threads_at_rejection = engine.threads
        engine.bound = max(min(engine.bound, engine.threads), engine.initial_bound / BOUND_MIN_DIVISOR)

    def end_period(self) -> None:
        """Adjust the bound of every engine and reset its counts of the control period.

        A bound grows by one thread if requests waited and answers met their objectives. It shrinks while
        answers are slow, and falls back towards the initial bound while no request waits.
        """
        for engine in self._registry.engines.values():
            self._adjust_bound(engine)
            engine.requests_waited, engine.objectives_met, engine.objectives_missed = False, 0, 0

    @staticmethod
    def _adjust_bound(engine: Engine) -> None:
        slowdown = max(engine.slowdown, engine.overdue_ratio)
        if slowdown > SHRINK_SLOWDOWN:
            engine.bound = max(engine.bound * SHRINK_FACTOR, engine.initial_bound / BOUND_MIN_DIVISOR)
        elif not engine.requests_waited:
            # No request waited: threads beyond the initial bound are returned one per period.
            engine.bound = max(engine.bound - 1, min(engine.bound, engine.initial_bound))
        elif (
            engine.objectives_met > GROWTH_MET_RATIO * engine.objectives_missed and slowdown < GROWTH_SLOWDOWN
        ):
            engine.bound = min(engine.bound + 1, GROWTH_LIMIT * engine.initial_bound)

    def short_work_allowance(self, request: Request) -> float:
        """Return the fraction of the initial bound by which the request may exceed a bound.

        It is 0 unless the request is short.
        """
        is_short = request.run_time <= SHORT_WORK_SHARE * self._estimates.mean_run_time
        return SHORT_WORK_ALLOWANCE if is_short else 0.0

    def engine_has_capacity(self, engine: Engine, request: Request, allowance: float) -> bool:
        """Return whether the engine has threads and memory left for the request.

        `allowance` is the result of `short_work_allowance`. From BURST_MULTIPLE initial bounds on, a bound is
        enforced without pressure too, because latency shows a sudden rise in traffic late. The drawback: it
        also limits a broker that suddenly carries most of the traffic.
        """
        now = self._context.now
        threads = engine.threads + request.class_settings.threads
        bound = self._enforced_bound(engine)
        # The rejections of an engine with few sessions would otherwise use up the retry budget.
        is_full = (
            now < engine.rejected_until
            and threads > engine.threads_at_rejection
            and now < engine.next_capacity_probe_at
        )
        limit = max(bound, SMALLEST_QUERIES_MIN * self._fewest_threads) + allowance * engine.initial_bound
        if is_full or threads > limit and engine.in_flight:
            engine.requests_waited = True
            return False
        if not engine.memory_mb or not engine.in_flight:
            return True
        needed = self._estimates.memory_to_reserve_mb(request)
        share = _memory_share(engine, bound, self._context.settings.broker_count)
        return engine.reserved_memory_mb + needed <= max(engine.memory_mb * share, MEMORY_NEEDS_MIN * needed)

    def fleet_has_capacity(self, request: Request, allowance: float) -> bool:
        """Return whether one more request is within the sums of the engines' bounds and memory shares.

        A broker's share of one engine may be smaller than a query and is then not enforced there; the sum of
        the shares is. One standard deviation of the other brokers' varying work is kept free. `allowance` is
        the result of `short_work_allowance`.
        """
        limits = self._fleet_limits()
        needed_threads = self.threads + request.class_settings.threads / 2  # rounded to the nearest query
        has_threads = (
            needed_threads <= limits.threads * (1.0 + allowance) + LARGE_QUERY_ALLOWANCE * self._most_threads
        )
        if not has_threads:
            for engine in self._registry.ready:
                engine.requests_waited = True
        has_memory = (
            not limits.memory_mb
            or request.run_time <= self._estimates.mean_run_time
            or self.reserved_memory_mb + self._estimates.memory_to_reserve_mb(request) <= limits.memory_mb
        )
        return not self.threads or has_threads and has_memory

    def _fleet_limits(self) -> FleetLimits:
        """Sum the engines' bounds and memory shares, less a standard deviation of other brokers' work."""
        threads = memory_mb = 0.0
        broker_count = self._context.settings.broker_count
        others_share = 1.0 - 1.0 / broker_count
        most_threads, weighted_memory_mb = self._most_threads, self._estimates.weighted_memory_mb
        for engine in self._registry.ready:
            bound = self._enforced_bound(engine)
            threads += bound * (1.0 - others_share * (most_threads / THREADS_PER_CORE / engine.cores) ** 0.5)
            if engine.memory_mb:
                memory_deviation = (
                    others_share * min(weighted_memory_mb / engine.memory_mb, LARGE_QUERY_MEMORY_MAX) ** 0.5
                )
                share = _memory_share(engine, bound, broker_count)
                memory_mb += engine.memory_mb * share * (1.0 - memory_deviation)
        return FleetLimits(threads, memory_mb)

    def _enforced_bound(self, engine: Engine) -> float:
        """Return the number of threads in flight that is enforced at the engine now."""
        bound = engine.bound
        if (
            engine.slowdown > OVERLOAD_SLOWDOWN
            or engine.overdue_ratio > OVERLOAD_SLOWDOWN
            or self._context.now < engine.rejected_until
        ):
            return bound
        burst = BURST_MULTIPLE * engine.initial_bound
        return burst if burst > bound else bound


def _memory_share(engine: Engine, bound: float, broker_count: int) -> float:
    """Return the fraction of the engine's memory that this broker may reserve; it follows the bound."""
    return min(1.0, bound / engine.initial_bound / broker_count)
