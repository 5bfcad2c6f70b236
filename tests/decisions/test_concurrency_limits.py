"""Limits on threads and memory in flight."""

from dataclasses import replace

import pytest

from cypressledge.decisions.concurrency_limits import ConcurrencyLimits
from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.pace import FleetPace
from tests.decisions.parts import LOOKUP, SECOND, make_context, make_registry, make_request, start_attempt

WIDE = replace(LOOKUP, threads=2)


class LimitedFleet:
    """Engines of eight cores with an initial bound of sixteen threads each, and the limits over them."""

    def __init__(self, *classes, engines=1, **changes):
        self.context = make_context(*(classes or (LOOKUP,)), **({"kind_cores": (8,)} | changes))
        self.registry = make_registry(self.context, *range(1, engines + 1))
        self.estimates = ClassEstimates(self.context)
        self.pace = FleetPace(self.registry, self.estimates)
        self.limits = ConcurrencyLimits(self.context, self.registry, self.pace, self.estimates)
        self.engine = self.registry.engines[1]
        self.number = 0

    def request(self, **fields):
        self.number += 1
        return make_request(self.context, self.number, **fields)

    def send(self, **fields):
        request = start_attempt(self.context, self.request(**fields), self.engine)
        self.limits.reserve(self.engine, request)
        return request

    def fill(self, limit=1_000, **fields):
        """Send requests until the engine has no capacity; return their number."""
        count = 0
        while count < limit and self.limits.engine_has_capacity(self.engine, self.request(**fields), 0.0):
            self.send(**fields)
            count += 1
        return count


def test_without_pressure_the_burst_limit_is_enforced():
    fleet = LimitedFleet()
    assert fleet.fill() == 20  # 1.25 times 16
    assert fleet.engine.requests_waited


@pytest.mark.parametrize("pressure", ["slowdown", "overdue_ratio"])
def test_under_pressure_the_bound_itself_is_enforced(pressure):
    fleet = LimitedFleet()
    setattr(fleet.engine, pressure, 1.6)
    assert fleet.fill() == 16


def test_a_rejecting_engine_keeps_its_threads_and_gets_one_probe_per_interval():
    fleet = LimitedFleet()
    for _ in range(5):
        fleet.send()
    fleet.limits.record_rejection(fleet.engine)
    assert not fleet.limits.engine_has_capacity(fleet.engine, fleet.request(), 0.0)
    fleet.context.now += 250_000
    assert fleet.fill() == 1
    fleet.context.now += 2 * SECOND
    assert fleet.limits.engine_has_capacity(fleet.engine, fleet.request(), 0.0)


def test_two_of_the_smallest_requests_fit_however_small_the_bound():
    fleet = LimitedFleet(replace(LOOKUP, threads=100))
    assert fleet.fill() == 2


def test_an_idle_engine_admits_a_request_larger_than_its_bound():
    fleet = LimitedFleet(LOOKUP, replace(LOOKUP, threads=100))
    assert fleet.fill(class_index=1) == 1


def test_short_requests_have_an_allowance():
    fleet = LimitedFleet()
    fleet.estimates.mean_run_time = 100_000.0
    assert fleet.limits.short_work_allowance(fleet.request(cost=50_000)) == 0.3
    assert fleet.limits.short_work_allowance(fleet.request(cost=50_001)) == 0.0
    fleet.fill()
    assert not fleet.limits.engine_has_capacity(fleet.engine, fleet.request(), 0.0)
    assert fleet.limits.engine_has_capacity(fleet.engine, fleet.request(), 0.3)


def test_memory_is_reserved_and_released():
    fleet = LimitedFleet(kind_memory_mb=(1_000.0,))
    assert fleet.fill(memory_mb=200.0) == 4  # 225 MB each, between initial mean and grant
    assert fleet.limits.reserved_memory_mb == fleet.engine.reserved_memory_mb == pytest.approx(900.0)
    fleet.limits.release(fleet.engine, fleet.engine.in_flight.pop(2))
    assert fleet.limits.threads == fleet.engine.threads == 3
    assert fleet.engine.reserved_memory_mb == pytest.approx(675.0)


def test_the_sum_of_bounds_limits_a_broker_whose_shares_are_smaller_than_a_query():
    fleet = LimitedFleet(engines=10, broker_count=250)
    count = 0
    while fleet.limits.fleet_has_capacity(fleet.request(), 0.0):
        fleet.send()
        count += 1
    assert count == 3  # ten engines of 16 threads over 250 brokers, times 1.25, plus two lookups
    assert all(engine.requests_waited for engine in fleet.registry.ready)


def test_an_idle_broker_may_always_send_a_request():
    fleet = LimitedFleet(engines=1, broker_count=100_000)
    assert fleet.limits.fleet_has_capacity(fleet.request(), 0.0)


def test_the_fleet_memory_limit_applies_to_long_requests_only():
    fleet = LimitedFleet(engines=1, broker_count=10, kind_memory_mb=(10_000.0,))
    fleet.estimates.mean_run_time = 100_000.0
    fleet.send(memory_mb=800.0)
    assert not fleet.limits.fleet_has_capacity(fleet.request(cost=200_000, memory_mb=800.0), 0.0)
    assert fleet.limits.fleet_has_capacity(fleet.request(cost=100_000, memory_mb=800.0), 0.0)


def test_a_bound_grows_while_requests_wait_and_answers_meet_their_objectives():
    fleet = LimitedFleet()
    for _ in range(100):
        fleet.engine.requests_waited, fleet.engine.objectives_met, fleet.engine.objectives_missed = True, 5, 1
        fleet.limits.end_period()
    assert fleet.engine.bound == 48  # three times the initial bound


@pytest.mark.parametrize(("met", "missed", "slowdown"), [(4, 1, 1.0), (5, 1, 1.4)])
def test_a_bound_stays_where_answers_miss_or_are_slow(met, missed, slowdown):
    fleet = LimitedFleet()
    fleet.engine.requests_waited, fleet.engine.slowdown = True, slowdown
    fleet.engine.objectives_met, fleet.engine.objectives_missed = met, missed
    fleet.limits.end_period()
    assert fleet.engine.bound == 16


def test_a_bound_returns_to_its_initial_value_while_no_request_waits():
    fleet = LimitedFleet()
    fleet.engine.bound = 18.5
    for _ in range(5):
        fleet.limits.end_period()
    assert fleet.engine.bound == 16
    fleet.engine.bound = 9.0
    fleet.limits.end_period()
    assert fleet.engine.bound == 9.0


def test_a_bound_shrinks_while_answers_are_slow_to_half_of_the_initial_one():
    fleet = LimitedFleet()
    fleet.engine.slowdown = 2.1
    fleet.limits.end_period()
    assert fleet.engine.bound == pytest.approx(12.8)
    for _ in range(10):
        fleet.limits.end_period()
    assert fleet.engine.bound == 8


def test_answers_are_counted_as_meeting_or_missing_their_objective():
    fleet = LimitedFleet()
    request = fleet.request()
    fleet.context.now += SECOND
    fleet.limits.record_answer(fleet.engine, request, SECOND)
    fleet.context.now += 1
    fleet.limits.record_answer(fleet.engine, request, SECOND)
    assert (fleet.engine.objectives_met, fleet.engine.objectives_missed) == (1, 1)


def test_changed_settings_are_applied():
    fleet = LimitedFleet()
    fleet.engine.slowdown = 3.0
    fleet.engine.bound = 1.0
    assert fleet.fill() == 2  # at least two lookups are admitted
    fleet.context.settings = replace(fleet.context.settings, classes=(WIDE,))
    fleet.limits.configure()
    assert fleet.limits.engine_has_capacity(fleet.engine, fleet.request(), 0.0)
