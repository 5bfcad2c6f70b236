"""Affinity of table groups, their loads and this broker to engines, by ranks that are equal at every broker.

Brokers exchange no messages about affinity. Because their ranks are equal, they send the requests of a group
to the same few engines, where its tables are cached, and keep loads apart from the queries that they block.
"""

from collections.abc import Collection, Mapping
from math import ceil

from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.engines import Engine, EngineRegistry
from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.rank_hash import rank_hash
from cypressledge.decisions.request import Request
from cypressledge.decisions.units import EWMA_WEIGHT

REQUEST_COUNT_DECAY = 0.95  # factor on a group's request count at the end of each control period
REQUEST_COUNT_MIN = 0.1  # requests; a group with a lower count is dropped
GROUP_ENGINES_FACTOR = 1.5  # engines of a group over its traffic share of all engines, as its traffic varies
LOAD_ENGINES_FACTOR = 1.6  # engines for a group's loads over the number of its loads that run at once
LOAD_FREE_SHARE = 0.2  # fraction of the engines that a group's loads do not use
RUNNING_LOADS_WEIGHT = EWMA_WEIGHT / 2  # weight of one new count in the mean of this broker's running loads
MAX_CACHED_RANKS = 256  # orders of all engines that are kept
LOADS_AHEAD_SHARE = 0.75  # fraction of a load's latency objective that the loads ahead of it may take


class Affinity:
    """Engines that table groups, their loads and this broker prefer or avoid."""

    def __init__(self, context: DecisionContext, registry: EngineRegistry, estimates: ClassEstimates) -> None:
        self._context = context
        self._registry = registry
        self._estimates = estimates
        self._request_counts: dict[int, float] = {}  # by group; decayed in each control period
        self._ranks: dict[int, list[Engine]] = {}  # by token
        self._running_loads = 0.0  # running mean of the number of this broker's loads in flight

    def record_request(self, group: int) -> None:
        """Count a request of the group."""
        self._request_counts[group] = self._request_counts.get(group, 0.0) + 1.0

    def record_running_loads(self) -> None:
        """Update the mean number of this broker's running loads."""
        running = sum(sum(engine.loads_in_flight.values()) for engine in self._registry.ready)
        self._running_loads += RUNNING_LOADS_WEIGHT * (running - self._running_loads)

    def end_period(self) -> None:
        """Decay the request counts, and drop the groups of which nothing is left."""
        self._request_counts = {
            group: count * REQUEST_COUNT_DECAY
            for group, count in self._request_counts.items()
            if count > REQUEST_COUNT_MIN
        }
        for engine in self._registry.engines.values():
            forget_groups_without_loads(engine, self._context.now)

    def engines_changed(self) -> None:
        """Discard the cached ranks after a change of the registry."""
        self._ranks.clear()

    def ranked(self, token: int) -> list[Engine]:
        """Return the ready engines in the order for the token, which is equal at every broker."""
        ranks = self._ranks.get(token)
        if ranks is None:
            if len(self._ranks) >= MAX_CACHED_RANKS:  # there may be ever new groups
                self._ranks.clear()
            ranks = sorted(self._registry.ready, key=lambda engine: rank_hash(token, engine.id))
            self._ranks[token] = ranks
        return ranks

    def group_engines(self, group: int) -> list[Engine]:
        """Return the engines that all brokers prefer for a group; their number grows with its traffic."""
        ready_count = len(self._registry.ready)
        count = 1 + ceil(GROUP_ENGINES_FACTOR * self._traffic_fraction(group) * ready_count)
        return self.ranked(group)[:count]

    def load_engines(self, group: int) -> list[Engine]:
        """Return the engines that all brokers prefer for a group's loads, enough for their estimated number.

        This broker does not know the loads of other brokers, which block queries of their group as well.
        Queries of the group therefore prefer the other engines.
        """
        broker_count = self._context.settings.broker_count
        fraction = self._traffic_fraction(group)
        needed = ceil(LOAD_ENGINES_FACTOR * broker_count * self._running_loads * fraction)
        ready_count = len(self._registry.ready)
        first = max(ready_count - needed, ceil(LOAD_FREE_SHARE * ready_count))
        return self.ranked(group)[first:]

    def excluded_engines(self, request: Request) -> Collection[Engine]:
        """Return the engines that the request must not use; empty if no other engine is usable.

        A load must not use the engines that are kept free for the queries of its group. A query that loads
        block must not use engines where a load of its group runs. Otherwise, a group with loads at every
        engine nearly all the time would have its queries blocked wherever they are sent or moved.
        """
        ready, now = self._registry.ready, self._context.now
        group = request.table_group
        load_free_count = ceil(LOAD_FREE_SHARE * len(ready))
        load_free = set(self.ranked(group)[:load_free_count])
        others = [engine for engine in ready if engine not in load_free]
        alternatives: Collection[Engine]
        if request.class_settings.is_load:
            excluded, alternatives = load_free, others
        else:
            excluded = {engine for engine in others if blocks_queries(engine, group, now)}
            alternatives = load_free
        return excluded if any(_is_usable(engine, now) for engine in alternatives) else ()

    def load_would_start_soon(self, engine: Engine, load: Request) -> bool:
        """Return whether a load would start in time behind the loads of its group that run at an engine.

        Loads that wait at an engine run in order of arrival and occupy its capacity until they are late.
        Loads that wait at the broker are sent shortest first and occupy no capacity. Each of the other
        brokers is assumed to run as many loads at the engine as this one.
        """
        broker_count = self._context.settings.broker_count
        work, threads = self._estimates.work[load.class_index], load.class_settings.threads
        run_time_ahead = engine.loads_in_flight.get(load.table_group, 0) * broker_count * work / threads
        return run_time_ahead <= LOADS_AHEAD_SHARE * (load.objective_at - load.received_at)

    def preference_distances(self, preferred_count: int) -> Mapping[Engine, float]:
        """Return each engine's distance from the first `preferred_count` engines in this broker's order.

        The distance is 0.0 for the preferred engines and 1.0 for the next one; it grows by 1.0 with every
        `preferred_count` further ranks.
        """
        ranks = self.ranked(-1 - self._context.settings.broker_index)
        return {
            engine: (rank >= preferred_count) * (1.0 + (rank - preferred_count) / preferred_count)
            for rank, engine in enumerate(ranks)
        }

    def _traffic_fraction(self, group: int) -> float:
        return self._request_counts.get(group, 0.0) / max(sum(self._request_counts.values()), 1.0)


def forget_groups_without_loads(engine: Engine, now: int) -> None:
    """Drop what an engine's state says of groups that no load blocks any more."""
    engine.loads_in_flight = {group: count for group, count in engine.loads_in_flight.items() if count}
    engine.blocked_until = {group: until for group, until in engine.blocked_until.items() if until > now}


def blocks_queries(engine: Engine, group: int, now: int) -> bool:
    """Return whether a load of the group runs at the engine, as far as this broker knows."""
    return bool(engine.loads_in_flight.get(group, 0)) or engine.blocked_until.get(group, 0) > now


def _is_usable(engine: Engine, now: int) -> bool:
    return not engine.ejected and now >= max(engine.warm_at, engine.rejected_until)
