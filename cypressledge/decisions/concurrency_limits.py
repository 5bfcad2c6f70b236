"""Limits on the threads and the memory that this broker has in flight, at each engine and in all.

The limits bind under pressure only: answers that take much longer than their work, or a rejection. A limit
grows while requests wait for it and answers meet their objectives, and shrinks as latency grows.
"""

from typing import NamedTuple

from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.engines import THREADS_PER_CORE, Engine, EngineRegistry
from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.pace import OVERLOAD_SLOWDOWN, FleetPace
from cypressledge.decisions.request import Request
from cypressledge.decisions.units import MS

GROWTH_LIMIT = 3.0  # multiple of its initial bound that a bound grows to (design page)
SHRINK_FACTOR = 0.8  # on the bound in a period whose answers are slow
SHRINK_SLOWDOWN = 2.0  # slowdown from which the bound shrinks
GROWTH_SLOWDOWN = 1.4  # slowdown under which it may grow: short work meets its objective longest
GROWTH_MET_RATIO = 4  # answers that meet their objective for each that misses it, from which a bound may grow
BURST_MULTIPLE = 1.25  # of the initial bound, from which a bound binds without pressure
LARGE_QUERY_ALLOWANCE = 2.0  # widest queries by which the sum of bounds may be exceeded, as arrivals scatter
REJECTION_PRESSURE = 2_000 * MS  # a rejection counts as pressure this long
CAPACITY_PROBE_INTERVAL = 250 * MS  # between attempts beyond the threads an engine had when it last rejected
SHORT_WORK_SHARE = 0.5  # of the mean run time, up to which work is short
SHORT_WORK_ALLOWANCE = 0.3  # part of the initial bound that short work may exceed a bound by
LARGE_QUERY_MEMORY_MAX = 0.25  # part of an engine's memory that one large query counts as, at most
BOUND_MIN_DIVISOR = 2  # of the initial bound: no bound shrinks below what it gives
SMALLEST_QUERIES_MIN = 2.0  # narrowest queries that every bound has space for
MEMORY_NEEDS_MIN = 2.0  # multiples of a request's own need that every share of memory has space for


class FleetLimits(NamedTuple):
    """What this broker may have in flight over all engines."""

    threads: float
    memory_mb: float  # 0: no engine's memory is known


class ConcurrencyLimits:
    """Threads and memory in flight of this broker, and whether one more request keeps within the limits."""

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
        """Take the context's settings."""
        classes = self._context.settings.classes
        self._fewest_threads = min(class_settings.threads for class_settings in classes)
        self._most_threads = max(class_settings.threads for class_settings in classes)

    def reserve(self, engine: Engine, request: Request) -> None:
        """Count an attempt that starts, with the memory it is expected to take."""
        now = self._context.now
        request.reserved_memory_mb = self._estimates.memory_to_reserve_mb(request)
        for totals in (engine, self):
            totals.threads += request.class_settings.threads
            totals.reserved_memory_mb += request.reserved_memory_mb
        if now < engine.rejected_until and engine.threads > engine.threads_at_rejection:
            engine.next_capacity_probe_at = now + CAPACITY_PROBE_INTERVAL

    def release(self, engine: Engine, request: Request) -> None:
        """The attempt has ended."""
        for totals in (engine, self):
            totals.threads -= request.class_settings.threads
            totals.reserved_memory_mb -= request.reserved_memory_mb

    def record_answer(self, engine: Engine, request: Request, latency_objective: float) -> None:
        """The engine answered under the threads in flight; count whether it met the latency objective, µs."""
        threads = engine.threads + request.class_settings.threads
        engine.threads_at_rejection = max(engine.threads_at_rejection, threads)
        if self._context.now - request.received_at <= latency_objective:
            engine.objectives_met += 1
        else:
            engine.objectives_missed += 1

    def record_rejection(self, engine: Engine) -> None:
        """The engine rejected an attempt for lack of capacity: its threads are limited for a while."""
        now = self._context.now
        engine.rejected_until = now + REJECTION_PRESSURE
        engine.next_capacity_probe_at = now + CAPACITY_PROBE_INTERVAL
        engine.threads_at_rejection = engine.threads
        engine.bound = max(min(engine.bound, engine.threads), engine.initial_bound / BOUND_MIN_DIVISOR)

    def end_period(self) -> None:
        """Grow bounds by a thread where requests wait and answers meet objectives; shrink the others."""
        for engine in self._registry.engines.values():
            self._adjust_bound(engine)
            engine.requests_waited, engine.objectives_met, engine.objectives_missed = False, 0, 0

    @staticmethod
    def _adjust_bound(engine: Engine) -> None:
        slowdown = max(engine.slowdown, engine.overdue_ratio)
        if slowdown > SHRINK_SLOWDOWN:
            engine.bound = max(engine.bound * SHRINK_FACTOR, engine.initial_bound / BOUND_MIN_DIVISOR)
        elif not engine.requests_waited:
            # No request waits for the threads beyond the initial bound: they are returned one by one.
            engine.bound = max(engine.bound - 1, min(engine.bound, engine.initial_bound))
        elif (
            engine.objectives_met > GROWTH_MET_RATIO * engine.objectives_missed and slowdown < GROWTH_SLOWDOWN
        ):
            engine.bound = min(engine.bound + 1, GROWTH_LIMIT * engine.initial_bound)

    def short_work_allowance(self, request: Request) -> float:
        """Part of the initial bound by which the request may exceed a bound; 0 but for short work."""
        is_short = request.run_time <= SHORT_WORK_SHARE * self._estimates.mean_run_time
        return SHORT_WORK_ALLOWANCE if is_short else 0.0

    def engine_has_capacity(self, engine: Engine, request: Request, allowance: float) -> bool:
        """Whether the engine has threads and memory left for the request, with its allowance for short work.

        Guards against sudden traffic, which latency shows late: from BURST_MULTIPLE initial bounds on a bound
        binds without pressure. The price: it also limits a broker that suddenly carries most of the traffic.
        """
        now = self._context.now
        threads = engine.threads + request.class_settings.threads
        bound = self._enforced_bound(engine)
        # Guards against an engine of few sessions, whose rejections would use up the retry budget.
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
        """Whether this broker's work stays within the sum of the engines' bounds, and its part of all memory.

        A broker's share of one engine may be less than a query, and then limits nothing there; the sum of the
        shares does. The work of other brokers scatters, so a standard deviation of it stays free.
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
        """Sum the engines' bounds and memory shares, less a standard deviation of the others' work."""
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
        """Threads in flight at which the engine's bound binds now."""
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
    """Part of the engine's memory that this broker may have reserved: it grows and shrinks with the bound."""
    return min(1.0, bound / engine.initial_bound / broker_count)
