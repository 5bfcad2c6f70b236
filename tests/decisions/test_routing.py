"""Choice of an engine: filters and cost terms."""

from collections import Counter
from dataclasses import replace
from types import SimpleNamespace

import pytest

from cypressledge.decisions.affinity import Affinity
from cypressledge.decisions.contract import DeduplicationScope, Idempotency
from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.load_reports import LoadReports
from cypressledge.decisions.pace import FleetPace
from cypressledge.decisions.request import PossibleExecution
from cypressledge.decisions.routing import Router
from tests.decisions.parts import LOOKUP, SECOND, START, list_entry, make_context, make_registry, make_request

BLOCKED = replace(LOOKUP, blocked_by_loads=True)
LOAD = replace(LOOKUP, is_load=True, latency_objective=10 * SECOND)


class RoutingFixture:
    """A router over engines that all have capacity, except those in `full`."""

    def __init__(self, *classes, engines=(1, 2, 3), **changes):
        self.context = make_context(*(classes or (LOOKUP,)), **changes)
        self.registry = make_registry(self.context, *engines)
        self.estimates = ClassEstimates(self.context)
        self.affinity = Affinity(self.context, self.registry, self.estimates)
        self.pace = FleetPace(self.registry, self.estimates)
        self.reports = LoadReports(self.context)
        self.full, self.fleet_is_full = set(), False
        limits = SimpleNamespace(
            short_work_allowance=lambda request: 0.0,
            fleet_has_capacity=lambda request, allowance: not self.fleet_is_full,
        )
        admission = SimpleNamespace(admits=lambda engine, request, allowance: engine.id not in self.full)
        self.router = Router(
            self.context, self.registry, self.affinity, limits, admission, self.reports, self.pace
        )

    def engine(self, number):
        return self.registry.engines[number]

    def chosen(self, times=200, **fields):
        """Count how often each engine is chosen for a new request."""
        return self.chosen_for(make_request(self.context, **fields), times)

    def chosen_for(self, request, times=200):
        engines = (self.router.choose(request) for _ in range(times))
        return Counter(engine and engine.id for engine in engines)


def test_equal_engines_are_chosen_at_random():
    routing = RoutingFixture()
    for group in range(3):
        routing.affinity.record_request(group)
    routing.affinity.group_engines = lambda group: routing.registry.ready
    assert all(count > 40 for count in routing.chosen().values())
    assert len(routing.chosen()) == 3


def test_the_engine_with_the_fewest_own_threads_per_core_is_chosen():
    routing = RoutingFixture(engines=[list_entry(1), list_entry(2, kind=1)])  # eight and four cores
    routing.affinity.group_engines = lambda group: routing.registry.ready
    routing.engine(1).threads, routing.engine(2).threads = 3, 2
    assert routing.chosen() == {1: 200}
    routing.engine(1).threads, routing.engine(2).threads = 4, 1
    assert routing.chosen() == {2: 200}


def test_engines_without_capacity_are_not_chosen():
    routing = RoutingFixture()
    routing.full = {1, 3}
    assert routing.chosen() == {2: 200}
    routing.full = {1, 2, 3}
    assert routing.chosen() == {None: 200}


def test_without_fleet_capacity_no_engine_is_chosen_and_no_random_number_drawn():
    routing = RoutingFixture()
    routing.fleet_is_full = True
    before = routing.context.random.getstate()
    assert routing.chosen() == {None: 200}
    assert routing.context.random.getstate() == before


def test_only_required_kinds_and_zones_are_chosen():
    bound = replace(LOOKUP, required_kinds=frozenset((1,)), required_zones=frozenset((0,)))
    routing = RoutingFixture(
        bound, engines=[list_entry(1), list_entry(2, kind=1), list_entry(3, kind=1, zone=1)]
    )
    assert routing.chosen() == {2: 200}


def test_a_retry_with_a_key_stays_within_its_deduplication_scope():
    keyed = replace(LOOKUP, idempotency=Idempotency.WITH_KEY, deduplication_scope=DeduplicationScope.ZONE)
    routing = RoutingFixture(keyed, engines=[list_entry(1), list_entry(2, zone=1), list_entry(3)])
    request = make_request(routing.context)
    request.first_possible_execution = PossibleExecution(START, routing.engine(2))
    assert routing.chosen_for(request) == {2: 200}


def test_cost_grows_with_the_slowdown_relative_to_the_fleet():
    routing = RoutingFixture(engines=(1, 2))
    routing.affinity.group_engines = lambda group: routing.registry.ready
    routing.engine(1).threads, routing.engine(2).threads = 1, 3
    routing.engine(1).slowdown = 2.1  # two threads count as 4.2
    assert routing.chosen() == {2: 200}
    routing.pace.slowdown = 2.1
    assert routing.chosen() == {1: 200}


@pytest.mark.parametrize("what", ["avoided", "rejecting"])
def test_an_engine_that_just_failed_is_chosen_last(what):
    routing = RoutingFixture()
    routing.affinity.group_engines = lambda group: routing.registry.ready
    request = make_request(routing.context)
    assert 1 in routing.chosen_for(request)
    if what == "avoided":
        request.avoided_engine = routing.engine(1)
    else:
        routing.engine(1).rejected_until = routing.context.now + 1
    assert 1 not in routing.chosen_for(request)
    routing.full = {2, 3}
    assert routing.chosen_for(request) == {1: 200}


def test_engines_that_another_class_requires_cost_more():
    bound = replace(LOOKUP, required_kinds=frozenset((1,)))
    routing = RoutingFixture(LOOKUP, bound, engines=[list_entry(1), list_entry(2, kind=1)])
    routing.affinity.group_engines = lambda group: routing.registry.ready
    assert routing.chosen() == {1: 200}
    routing.engine(1).threads = 5
    assert set(routing.chosen()) == {1, 2}  # costs of 6/8, and of 1/4 plus the reserve of 1/2
    routing.engine(1).threads = 0
    assert routing.chosen(class_index=1) == {2: 200}
    routing.context.settings = replace(routing.context.settings, classes=(LOOKUP, LOOKUP))
    routing.router.configure()
    routing.engine(1).threads = 3  # half a thread per core, as much as the former reserve
    assert routing.chosen() == {2: 200}


def test_the_engines_of_a_group_are_preferred():
    routing = RoutingFixture(engines=range(1, 11))
    routing.affinity.record_request(7)
    routing.affinity.record_request(8)
    assert set(routing.chosen(table_group=9)) == {routing.affinity.ranked(9)[0].id}


def test_a_broker_avoids_warm_engines_outside_its_preferred_ones():
    routing = RoutingFixture(engines=range(1, 11), broker_index=4, broker_count=20)
    routing.affinity.group_engines = lambda group: routing.registry.ready
    own = {engine.id for engine in routing.affinity.ranked(-5)[:3]}
    assert set(routing.chosen()) == own
    other = next(engine for engine in routing.registry.ready if engine.id not in own)
    other.warm_at = routing.context.now + 1
    assert set(routing.chosen()) == own | {other.id}


def test_engines_with_a_high_reported_load_are_avoided_while_the_report_is_fresh():
    routing = RoutingFixture(engines=(1, 2), broker_count=100)
    routing.affinity.group_engines = lambda group: routing.registry.ready
    routing.engine(1).reported_load, routing.engine(1).reported_at = 1.0, routing.context.now
    routing.engine(2).reported_load, routing.engine(2).reported_at = 0.5, routing.context.now
    assert routing.chosen() == {2: 200}
    routing.context.now += 60 * SECOND  # the older a report, the larger its random part
    assert min(routing.chosen().values()) > 60


def test_queries_avoid_engines_where_a_load_blocks_their_group():
    routing = RoutingFixture(BLOCKED)
    routing.affinity.group_engines = lambda group: routing.registry.ready
    routing.affinity.excluded_engines = lambda request: ()  # as if no other engine were usable
    routing.engine(1).blocked_until[7] = routing.context.now + 1
    routing.engine(2).loads_in_flight[7] = 1
    assert routing.chosen(table_group=7) == {3: 200}


def test_loads_and_queries_that_they_block_go_to_separate_engines():
    routing = RoutingFixture(BLOCKED, LOAD, engines=range(1, 6))
    routing.pace.answer_rate = 10.0  # enough for the broker to prefer all five
    ranks = routing.affinity.ranked(7)
    routing.affinity.load_engines = lambda group: ranks[3:]
    routing.affinity.group_engines = lambda group: routing.registry.ready
    loads = {engine.id for engine in ranks[3:]}
    assert set(routing.chosen(class_index=1, table_group=7)) == loads
    assert not set(routing.chosen(class_index=0, table_group=7)) & loads


def test_a_load_waits_if_the_loads_ahead_would_make_it_late():
    routing = RoutingFixture(BLOCKED, LOAD, engines=(1, 2))
    routing.estimates.work[1] = 8 * SECOND
    allowed = routing.affinity.ranked(7)[1]  # the first is kept free for the group's queries
    assert routing.chosen(class_index=1, table_group=7) == {allowed.id: 200}
    allowed.loads_in_flight[7] = 1
    assert routing.chosen(class_index=1, table_group=7) == {None: 200}
