"""Engines that groups, loads and brokers prefer, by ranks that are equal at every broker."""

from dataclasses import replace

import pytest

from cypressledge.decisions.affinity import Affinity, blocks_queries
from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.rank_hash import rank_hash
from tests.decisions.parts import LOOKUP, SECOND, make_context, make_registry, make_request

BLOCKED = replace(LOOKUP, blocked_by_loads=True)
LOAD = replace(LOOKUP, is_load=True, latency_objective=4 * SECOND, threads=2)


class AffinityFixture:
    """The affinity of one broker, by default over ten engines."""

    def __init__(self, engines=10, **changes):
        self.context = make_context(BLOCKED, LOAD, **changes)
        self.registry = make_registry(self.context, *range(1, engines + 1))
        self.estimates = ClassEstimates(self.context)
        self.affinity = Affinity(self.context, self.registry, self.estimates)

    def requests(self, count, group):
        for _ in range(count):
            self.affinity.record_request(group)


def test_hashes_have_64_bits_and_differ_by_token_and_engine():
    hashes = {rank_hash(token, engine) for token in range(-20, 20) for engine in range(1, 40)}
    assert len(hashes) == 40 * 39
    assert all(0 <= value < 2**64 for value in hashes)


def test_hashes_equal_those_of_earlier_versions():
    """Brokers of different versions that run at the same time must agree on the ranks."""
    assert rank_hash(9, 7) == 4821312879723589565
    assert rank_hash(-1, 0xABCDEF) == 4881784664114867176


def test_ranks_are_the_same_at_every_broker_and_differ_by_group():
    one, other = (
        AffinityFixture(broker_index=0, broker_count=3),
        AffinityFixture(broker_index=2, broker_count=3),
    )
    for group in range(20):
        assert [e.id for e in one.affinity.ranked(group)] == [e.id for e in other.affinity.ranked(group)]
    assert len({tuple(e.id for e in one.affinity.ranked(group)) for group in range(20)}) > 10


def test_ranks_follow_the_registry_after_a_change():
    broker = AffinityFixture()
    before = broker.affinity.ranked(1)
    broker.registry.ready = broker.registry.ready[:5]
    assert broker.affinity.ranked(1) is before
    broker.affinity.engines_changed()
    assert len(broker.affinity.ranked(1)) == 5


def test_a_group_prefers_engines_in_proportion_to_its_traffic():
    broker = AffinityFixture()
    broker.requests(90, group=1)
    broker.requests(10, group=2)
    assert len(broker.affinity.group_engines(1)) == 10  # 1 + 13.5, limited to ten
    assert broker.affinity.group_engines(2) == broker.affinity.ranked(2)[:3]  # 1 + 1.5, rounded up
    assert broker.affinity.group_engines(3) == broker.affinity.ranked(3)[:1]


def test_request_counts_decay_and_are_dropped():
    broker = AffinityFixture()
    broker.requests(1, group=1)
    for _ in range(45):
        broker.affinity.end_period()
    broker.requests(1, group=2)
    assert len(broker.affinity.group_engines(1)) == 1 + 2  # group 1 still has about 0.1 of the traffic
    broker.affinity.end_period()
    assert len(broker.affinity.group_engines(1)) == 1


def test_load_engines_grow_with_running_loads_and_exclude_the_first_fifth():
    broker = AffinityFixture()
    broker.requests(1, group=1)
    assert broker.affinity.load_engines(1) == []
    broker.registry.ready[0].loads_in_flight[1] = 1
    for _ in range(1_000):
        broker.affinity.record_running_loads()
    assert broker.affinity.load_engines(1) == broker.affinity.ranked(1)[-2:]  # 1.6, rounded up
    broker.registry.ready[0].loads_in_flight[1] = 100
    for _ in range(1_000):
        broker.affinity.record_running_loads()
    assert broker.affinity.load_engines(1) == broker.affinity.ranked(1)[2:]


def test_loads_are_excluded_from_the_first_fifth_while_another_engine_is_usable():
    broker = AffinityFixture()
    load = make_request(broker.context, class_index=1, table_group=1)
    assert set(broker.affinity.excluded_engines(load)) == set(broker.affinity.ranked(1)[:2])
    for engine in broker.affinity.ranked(1)[2:]:
        engine.ejected = True
    assert not broker.affinity.excluded_engines(load)


def test_queries_are_excluded_where_a_load_blocks_them_while_the_first_fifth_is_usable():
    broker = AffinityFixture()
    query, ranks = make_request(broker.context, table_group=1), broker.affinity.ranked(1)
    assert not broker.affinity.excluded_engines(query)
    ranks[0].loads_in_flight[1] = ranks[4].loads_in_flight[1] = 1
    ranks[5].blocked_until[1] = broker.context.now + 1
    ranks[6].blocked_until[1] = broker.context.now
    assert set(broker.affinity.excluded_engines(query)) == {ranks[4], ranks[5]}
    ranks[0].warm_at = ranks[1].rejected_until = broker.context.now + 1
    assert not broker.affinity.excluded_engines(query)


def test_a_load_blocks_queries_of_its_own_group_only():
    broker = AffinityFixture()
    engine = broker.registry.ready[0]
    engine.loads_in_flight[1] = 1
    assert blocks_queries(engine, 1, broker.context.now)
    assert not blocks_queries(engine, 2, broker.context.now)


@pytest.mark.parametrize(("work", "soon"), [(6 * SECOND, True), (6 * SECOND + 2, False)])
def test_a_load_starts_soon_if_loads_ahead_leave_it_a_quarter_of_its_objective(work, soon):
    broker = AffinityFixture()
    broker.estimates.work[1] = work  # µs on two threads; loads ahead may take 3/4 of 4 s
    engine = broker.registry.ready[0]
    engine.loads_in_flight[1] = 1
    assert (
        broker.affinity.load_would_start_soon(
            engine, make_request(broker.context, class_index=1, table_group=1)
        )
        is soon
    )
    assert broker.affinity.load_would_start_soon(
        engine, make_request(broker.context, class_index=1, table_group=2)
    )


def test_other_brokers_are_assumed_to_run_as_many_loads():
    broker = AffinityFixture(broker_count=2)
    broker.estimates.work[1] = 4 * SECOND
    broker.registry.ready[0].loads_in_flight[1] = 1
    load = make_request(broker.context, class_index=1, table_group=1)
    assert not broker.affinity.load_would_start_soon(broker.registry.ready[0], load)


def test_distances_grow_past_the_preferred_engines_of_the_broker():
    broker = AffinityFixture(broker_index=3, broker_count=5)
    distances = broker.affinity.preference_distances(4)
    ranks = broker.affinity.ranked(-4)
    assert [distances[engine] for engine in ranks] == [0, 0, 0, 0, 1.0, 1.25, 1.5, 1.75, 2.0, 2.25]
