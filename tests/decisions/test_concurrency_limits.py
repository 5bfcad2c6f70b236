"""Limits on threads and memory in flight."""

from dataclasses import replace

import pytest

from cypressledge.decisions.concurrency_limits import ConcurrencyLimits
from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.pace import FleetPace
from tests.decisions.parts import LOOKUP, SECOND, context, registry, request, sent

WIDE = replace(LOOKUP, threads=2)


class Limits:
    """The limits over a few engines of eight cores: an initial bound of sixteen threads each."""

    def __init__(self, *classes, engines=1, **changes):
        self.context = context(*(classes or (LOOKUP,)), **({"kind_cores": (8,)} | changes))
        self.registry = registry(self.context, *range(1, engines + 1))
        self.estimates = ClassEstimates(self.context)
        self.pace = FleetPace(self.registry, self.estimates)
        self.limits = ConcurrencyLimits(self.context, self.registry, self.pace, self.estimates)
        self.engine = self.registry.engines[1]
        self.number = 0

    def request(self, **what):
        self.number += 1
        return request(self.context, self.number, **what)

    def send(self, **what):
        made = sent(self.context, self.request(**what), self.engine)
        self.limits.reserve(self.engine, made)
        return made

    def fill(self, most=1_000, **what):
        """Send until the engine has no capacity; how many."""
        count = 0
        while count < most and self.limits.engine_has_capacity(self.engine, self.request(**what), 0.0):
            self.send(**what)
            count += 1
        return count


def test_without_pressure_the_bound_binds_past_a_burst():
    f = Limits()
    assert f.fill() == 20  # 1.25 times 16
    assert f.engine.queue_waited


@pytest.mark.parametrize("pressure", ["slowdown", "overdue_ratio"])
def test_under_pressure_the_bound_itself_binds(pressure):
    f = Limits()
    setattr(f.engine, pressure, 1.6)
    assert f.fill() == 16


def test_a_rejecting_engine_gets_no_more_than_it_had_and_one_attempt_past_it():
    f = Limits()
    for _ in range(5):
        f.send()
    f.limits.record_rejection(f.engine)
    assert not f.limits.engine_has_capacity(f.engine, f.request(), 0.0)
    f.context.now += 250_000
    assert f.fill() == 1
    f.context.now += 2 * SECOND
    assert f.limits.engine_has_capacity(f.engine, f.request(), 0.0)


def test_two_of_the_narrowest_requests_fit_however_small_the_bound():
    f = Limits(replace(LOOKUP, threads=100))
    assert f.fill() == 2


def test_an_empty_engine_takes_a_request_wider_than_its_bound():
    f = Limits(LOOKUP, replace(LOOKUP, threads=100))
    assert f.fill(class_index=1) == 1


def test_short_work_has_an_allowance():
    f = Limits()
    f.estimates.mean_run_time = 100_000.0
    assert f.limits.short_work_allowance(f.request(cost=50_000)) == 0.3
    assert f.limits.short_work_allowance(f.request(cost=50_001)) == 0.0
    f.fill()
    assert not f.limits.engine_has_capacity(f.engine, f.request(), 0.0)
    assert f.limits.engine_has_capacity(f.engine, f.request(), 0.3)


def test_memory_is_reserved_and_released():
    f = Limits(kind_memory_mb=(1_000.0,))
    assert f.fill(memory_mb=200.0) == 4  # 225 MB each: between the initial mean and the initial grant
    assert f.limits.reserved_memory_mb == f.engine.reserved_memory_mb == pytest.approx(900.0)
    f.limits.release(f.engine, f.engine.in_flight.pop(2))
    assert f.limits.threads == f.engine.threads == 3
    assert f.engine.reserved_memory_mb == pytest.approx(675.0)


def test_the_sum_of_bounds_limits_a_broker_whose_shares_are_under_a_query():
    f = Limits(engines=10, broker_count=250)
    count = 0
    while f.limits.fleet_has_capacity(f.request(), 0.0):
        f.send()
        count += 1
    assert count == 3  # ten engines of 16 threads by 250, 1.25 times, and two lookups for chance
    assert all(engine.queue_waited for engine in f.registry.ready)


def test_an_idle_broker_is_limited_by_nothing():
    f = Limits(engines=1, broker_count=100_000)
    assert f.limits.fleet_has_capacity(f.request(), 0.0)


def test_long_work_keeps_to_the_part_of_all_memory_and_short_work_does_not():
    f = Limits(engines=1, broker_count=10, kind_memory_mb=(10_000.0,))
    f.estimates.mean_run_time = 100_000.0
    f.send(memory_mb=800.0)
    assert not f.limits.fleet_has_capacity(f.request(cost=200_000, memory_mb=800.0), 0.0)
    assert f.limits.fleet_has_capacity(f.request(cost=100_000, memory_mb=800.0), 0.0)


def test_a_bound_grows_while_requests_wait_and_answers_meet_their_objectives():
    f = Limits()
    for _ in range(100):
        f.engine.queue_waited, f.engine.objectives_met, f.engine.objectives_missed = True, 5, 1
        f.limits.end_period()
    assert f.engine.bound == 48  # three times the initial one


@pytest.mark.parametrize(("met", "missed", "slowdown"), [(4, 1, 1.0), (5, 1, 1.4)])
def test_a_bound_stays_where_answers_miss_or_are_slow(met, missed, slowdown):
    f = Limits()
    f.engine.queue_waited, f.engine.slowdown = True, slowdown
    f.engine.objectives_met, f.engine.objectives_missed = met, missed
    f.limits.end_period()
    assert f.engine.bound == 16


def test_threads_that_nothing_waits_for_are_returned():
    f = Limits()
    f.engine.bound = 18.5
    for _ in range(5):
        f.limits.end_period()
    assert f.engine.bound == 16
    f.engine.bound = 9.0
    f.limits.end_period()
    assert f.engine.bound == 9.0


def test_a_bound_shrinks_while_answers_are_slow_to_half_of_the_initial_one():
    f = Limits()
    f.engine.slowdown = 2.1
    f.limits.end_period()
    assert f.engine.bound == pytest.approx(12.8)
    for _ in range(10):
        f.limits.end_period()
    assert f.engine.bound == 8


def test_answers_count_by_their_objective():
    f = Limits()
    made = f.request()
    f.context.now += SECOND
    f.limits.record_answer(f.engine, made, SECOND)
    f.context.now += 1
    f.limits.record_answer(f.engine, made, SECOND)
    assert (f.engine.objectives_met, f.engine.objectives_missed) == (1, 1)


def test_settings_that_change_are_taken():
    f = Limits()
    f.engine.slowdown = 3.0
    f.engine.bound = 1.0
    assert f.fill() == 2  # two lookups' worth at least
    f.context.settings = replace(f.context.settings, classes=(WIDE,))
    f.limits.configure()
    assert f.limits.engine_has_capacity(f.engine, f.request(), 0.0)
