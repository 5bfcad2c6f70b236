"""Scheduling mechanism of the design, checked against values calculated by hand."""

import dataclasses
from types import SimpleNamespace

import pytest

from cypressledge.decisions.contract import (
    AttemptEnded,
    ClassSettings,
    EngineListKind,
    EngineListReceived,
    EngineState,
    Outcome,
    RequestReceived,
    SetAttemptResources,
    StartTimer,
    TimerFired,
)
from cypressledge.decisions.dispatch import Dispatcher
from cypressledge.decisions.request import new_request
from cypressledge.decisions.retries import RetryPolicy
from tests.decisions.manager_driver import LOOKUP, REPORT, SECOND, ManagerDriver, actions_of, entry, settings


def manager_after_period(means, count=10, classes=None):
    """Return a manager after a control period with these mean delays of its classes, in µs."""
    classes = classes or [ClassSettings(latency_objective=SECOND, deadline=20 * SECOND) for _ in means]
    driver = ManagerDriver(settings(*classes))
    manager = driver.manager
    end_period_with_delays(manager, means, count)
    return manager


def end_period_with_delays(manager, means, count=10):
    """End a control period in which each class had `count` requests with its mean delay, in µs."""
    manager.odds.delay_sums, manager.odds.sample_counts = [w * count for w in means], [count] * len(means)
    manager.odds_loop.end_period()


def test_initial_odds_are_equal():
    assert ManagerDriver().manager.odds.odds == [0.5, 0.5]


def test_first_step_of_the_loop():
    # e = 1/1 - 100/200 = 0.5; x = 1 + 0.42 * 0.5 - 0.1 * 0 = 1.21; P1 = 1 / 2.21
    manager = manager_after_period([100_000, 200_000])
    assert manager.odds.ratios == pytest.approx([1.21])
    assert manager.odds.odds == pytest.approx([1 / 2.21, 1.21 / 2.21])


def test_second_step_subtracts_the_previous_error():
    # e(2) = 1 - 300/200 = -0.5; x = 1.21 + 0.42 * -0.5 - 0.1 * 0.5 = 0.95
    manager = manager_after_period([100_000, 200_000])
    end_period_with_delays(manager, [300_000, 200_000])
    assert manager.odds.ratios == pytest.approx([0.95])


def test_references_follow_the_objectives():
    # objectives of 1 s and 4 s: the reference ratio is 0.25, so delays of 50 and 200 ms give no error
    classes = [
        ClassSettings(latency_objective=SECOND, deadline=20 * SECOND),
        ClassSettings(latency_objective=4 * SECOND, deadline=20 * SECOND),
    ]
    assert manager_after_period([50_000, 200_000], classes=classes).odds.ratios == pytest.approx([1.0])


def test_references_are_work_over_priority_weight():
    # equal objectives, work of 1 and 8, weights of 1 and 4: the reference ratio is 1 / 2
    classes = [
        ClassSettings(latency_objective=SECOND, deadline=20 * SECOND),
        ClassSettings(latency_objective=SECOND, deadline=20 * SECOND, priority_weight=4.0),
    ]
    manager = ManagerDriver(settings(*classes)).manager
    manager.estimates.work = [1000.0, 8000.0]
    end_period_with_delays(manager, [100_000, 200_000])
    assert manager.odds.ratios == pytest.approx([1.0])


def test_three_classes_are_controlled_by_two_neighbour_loops():
    # x1 = 1 + 0.42 * 0.5 = 1.21, x2 = 1 + 0.42 * (1 - 2) = 0.58: weights 1, 1.21, 0.7018
    manager = manager_after_period([100_000, 200_000, 100_000])
    assert manager.odds.odds == pytest.approx([w / 2.9118 for w in (1, 1.21, 0.7018)])
    assert sum(manager.odds.odds) == pytest.approx(1)


def test_few_samples_keep_the_ratio_and_are_not_dropped():
    manager = manager_after_period([0, 900_000], count=2)
    assert manager.odds.ratios == [1.0]
    assert manager.odds.sample_counts == [2, 2]


def test_zero_delays_keep_the_ratio():
    assert manager_after_period([0, 0]).odds.ratios == [1.0]


def test_odds_stay_positive_and_recover_after_long_saturation():
    manager = manager_after_period([0, 900_000])
    for _ in range(200):
        end_period_with_delays(manager, [0, 900_000])
    assert manager.odds.ratios == [16.0]
    assert all(p > 0 for p in manager.odds.odds)
    for _ in range(25):
        end_period_with_delays(manager, [900_000, 5_000])
    assert manager.odds.ratios[0] < 1


def test_delays_of_waiting_and_of_unserved_requests_count():
    driver = ManagerDriver(settings(REPORT, REPORT), entries=[entry(1, EngineState.DRAINING)])
    for request in range(8):
        driver.arrive(request, class_index=request % 2)
    driver.run(SECOND)
    manager = driver.manager
    manager.odds_loop.end_period()
    assert manager.odds.previous_errors == [0.0]  # equal delays: 1/1 - 1/1
    driver.run(19 * SECOND)
    assert manager.odds.sample_counts[0] >= 4 or manager.odds.delay_sums == [0.0, 0.0]
    assert not manager.requests


def test_draw_follows_the_odds_and_skips_an_empty_queue():
    driver = ManagerDriver(settings(REPORT, REPORT), entries=[entry(1, EngineState.DRAINING)])
    manager = driver.manager
    for request in range(2000):
        manager.lifecycle.receive(RequestReceived(request, request % 2, driver.now + 20 * SECOND, cost=1000))
    manager.odds.ratios, manager.odds.odds = [3.0], [0.25, 0.75]
    sent = []

    def start(request, engine):
        sent.append(request.class_index)
        request.queued = False

    router = SimpleNamespace(choose=lambda request: manager.engines[1])
    starter = SimpleNamespace(start=start)
    policy = RetryPolicy(manager.context, manager.retry_budget)
    Dispatcher(
        manager.context, manager.odds, manager.queues, router, manager.lifecycle, policy, starter
    ).dispatch()
    assert len(sent) == 2000
    assert sum(sent[:1000]) == pytest.approx(750, abs=50)
    assert sent[-200:] == [0] * 200


def test_initial_bound_is_the_share_of_two_threads_per_core():
    driver = ManagerDriver(settings(broker_count=1), entries=[entry(1), entry(2, kind=1)])
    assert [e.bound for e in driver.manager.registry.ready] == [16, 8]
    driver = ManagerDriver(settings(broker_count=4), entries=[entry(1), entry(2, kind=1)])
    assert [e.bound for e in driver.manager.registry.ready] == [4, 2]
    driver = ManagerDriver(settings(broker_count=8), entries=[entry(1), entry(2, kind=1)])
    assert [e.bound for e in driver.manager.registry.ready] == [2, 1]
    driver.manager.registry.ready[1].slowdown = driver.manager.pace.slowdown = 2.5
    has_capacity = driver.manager.limits.engine_has_capacity
    engine = driver.manager.registry.ready[1]
    # at least two lookups are admitted
    assert [has_capacity(engine, request_with_threads_in_flight(driver, n), 0.0) for n in (0, 1, 2)] == [
        True,
        True,
        False,
    ]


def request_with_threads_in_flight(driver, threads):
    """Return a new lookup; set the number of threads in flight at the second engine."""
    driver.manager.registry.ready[1].in_flight = dict.fromkeys(range(threads))
    driver.manager.registry.ready[1].threads = threads
    return new_request(RequestReceived(1, 0, driver.now + SECOND), LOOKUP, driver.now, 0.0)


def test_bound_grows_one_thread_per_period_to_three_times_and_shrinks_with_latency():
    driver = ManagerDriver()
    engine = driver.manager.registry.ready[0]
    for _ in range(100):
        engine.requests_waited, engine.objectives_met = True, 10
        driver.manager.housekeeping.end_period()
        assert engine.bound <= 48
    assert engine.bound == 48
    engine.requests_waited = engine.objectives_met = 0
    driver.manager.housekeeping.end_period()
    assert engine.bound == 47  # no request waited: one thread less per period, down to the initial bound
    for _ in range(60):
        driver.manager.housekeeping.end_period()
    assert engine.bound == 16
    engine.bound = 48
    for _ in range(3):
        engine.slowdown = 5.0
        driver.manager.housekeeping.end_period()
    assert engine.bound == pytest.approx(48 * 0.8**3)


def test_bound_is_enforced_under_pressure_or_when_exceeded_by_a_quarter():
    driver = ManagerDriver(settings(LOOKUP), engines=1)
    for request in range(30):
        driver.arrive(request)
    assert len(driver.sends) == 20  # 1.25 times 16
    driver = ManagerDriver(settings(LOOKUP), engines=1)
    driver.manager.registry.ready[0].slowdown = 2.5
    for request in range(30):
        driver.arrive(request)
    assert len(driver.sends) == 16


def test_memory_limits_attempts_in_flight():
    driver = ManagerDriver(
        settings(LOOKUP, kind_memory_mb=(1000.0, 1000.0), supports_memory_grants=True), engines=1
    )
    for request in range(30):
        driver.arrive(request, memory_mb=200.0)
    assert len(driver.sends) == 4  # 225 MB each, between the initial mean and the initial grant


def test_waiting_for_memory_does_not_grow_the_bound():
    driver = ManagerDriver(settings(LOOKUP, kind_memory_mb=(1000.0, 1000.0)), engines=1)
    for request in range(30):
        driver.arrive(request, memory_mb=200.0)
    driver.end(0)
    driver.manager.housekeeping.end_period()
    assert driver.manager.registry.ready[0].bound == 16


def test_a_rejection_makes_the_bound_apply():
    driver = ManagerDriver(engines=1)
    for request in range(20):
        driver.arrive(request)
    driver.end(19, Outcome.REJECTED)
    assert driver.manager.registry.ready[0].bound == 16
    assert driver.manager.requests[19].queued


def test_the_engine_with_fewest_own_threads_is_chosen_and_ties_are_random():
    firsts = set()
    for seed in range(20):
        driver = ManagerDriver(seed=seed)
        driver.arrive(1)
        firsts.add(driver.sends[0].engine)
        driver.arrive(2, table_group=1)
        driver.arrive(3, table_group=2)
        assert {s.engine for s in driver.sends} == {1, 2, 3}
    assert firsts == {1, 2, 3}


def test_unrestricted_classes_leave_capacity_on_engines_that_another_class_requires():
    bound = dataclasses.replace(REPORT, required_kinds=frozenset((0,)))
    driver = ManagerDriver(settings(LOOKUP, bound), entries=[entry(1), entry(2, kind=1)])
    for request in range(6):
        driver.arrive(request)
    assert [s.engine for s in driver.sends].count(2) == 3  # reserve of 0.5 threads per core on 4 cores
    driver = ManagerDriver(settings(LOOKUP), entries=[entry(1), entry(2, kind=1)])
    for request in range(6):
        driver.arrive(request)
    assert [s.engine for s in driver.sends].count(2) == 2


def test_shortest_first_within_a_class():
    driver = ManagerDriver(engines=1, entries=[entry(1, EngineState.DRAINING)])
    for request, cost in enumerate((300_000, 100_000, 200_000)):
        driver.arrive(request, cost=cost)
    driver.handle(EngineListReceived(EngineListKind.DELTA, (entry(1),)))
    assert [s.request for s in driver.sends] == [1, 2, 0]


def test_grants_follow_the_memory_that_answers_report():
    driver = ManagerDriver(settings(dataclasses.replace(LOOKUP), supports_memory_grants=True))
    for request in range(300):
        driver.arrive(request, memory_mb=100.0)
        driver.end(request, memory=300.0)
    driver.arrive(999, memory_mb=100.0)
    assert 270 <= actions_of(SetAttemptResources, driver.actions)[-1].grant_mb <= 330


def test_no_resources_are_set_where_they_are_not_supported():
    driver = ManagerDriver()
    driver.arrive(1, memory_mb=100.0)
    assert not actions_of(SetAttemptResources, driver.actions)


def test_short_requests_do_not_wait_for_memory_that_long_ones_reserve():
    driver = ManagerDriver(
        settings(LOOKUP, REPORT, broker_count=100, kind_memory_mb=(16_000.0, 8_000.0)), engines=10
    )
    driver.arrive(8, cost=100_000)
    driver.end(8)
    driver.sends.clear()
    for request in range(3):
        driver.arrive(request, class_index=1, cost=3 * SECOND, memory_mb=1500.0)
    assert len(driver.sends) == 1  # ten engines of 16 GB over 100 brokers: one long query fills the share
    driver.arrive(9, cost=100_000, memory_mb=200.0)
    assert driver.sends[-1].request == 9


def test_load_reports_divert_requests_from_a_busy_engine():
    driver = ManagerDriver(
        settings(LOOKUP, broker_count=100, load_report_fields=("util", "inflight")), engines=2
    )
    for request in range(200):
        driver.arrive(request)
        engine = driver.engine_of(request)
        driver.handle(
            AttemptEnded(
                request,
                0,
                engine,
                Outcome.OK,
                True,
                100_000,
                100_000,
                0.0,
                (1.0, 24.0) if engine == 1 else (0.4, 3.0),
            ),
            after=300_000,
        )
    late = [s.engine for s in driver.sends[50:]]
    assert late.count(2) > 3 * late.count(1)


def test_an_idle_manager_starts_no_timer():
    driver = ManagerDriver()
    assert actions_of(StartTimer, driver.arrive(1))
    assert not actions_of(StartTimer, driver.end(1))
    assert not actions_of(StartTimer, driver.handle(TimerFired(0), after=SECOND))
