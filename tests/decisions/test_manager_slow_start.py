"""Slow start of engines that have just started: its budget, and the events that begin it."""

import pytest

from cypressledge.decisions.contract import Outcome
from tests.decisions.manager_driver import LOOKUP, SECOND, ManagerDriver, entry, settings

BUDGET = (
    2.0 * 0.3 * 8 * 2 * SECOND
)  # µs of work: overload multiple, slow start capacity, cores, overload window


def work_sent_to_starting_engine(broker_count):
    """Return the work in µs that one of `broker_count` brokers sends to an engine started a second ago."""
    driver = ManagerDriver(
        settings(LOOKUP, broker_count=broker_count), entries=[entry(1, started_at=99 * SECOND)]
    )
    for request in range(400):
        driver.arrive(request, cost=100_000)
        if driver.sends and driver.sends[-1].request == request:
            driver.end(request)
    return len(driver.sends) * 100_000


@pytest.mark.parametrize("broker_count", [1, 2, 4])
def test_a_starting_engine_gets_at_most_its_budget(broker_count):
    assert 0 < work_sent_to_starting_engine(broker_count) <= BUDGET / broker_count


def test_rejected_attempts_count_against_the_budget_of_a_starting_engine():
    driver = ManagerDriver(settings(LOOKUP, max_attempts=1000), entries=[entry(1, started_at=99 * SECOND)])
    driver.arrive(1, cost=1_000_000)
    for _ in range(200):
        if driver.manager.requests[1].engine:
            driver.end(1, Outcome.REJECTED)
    assert len(driver.sends) * 1_000_000 <= BUDGET


@pytest.mark.parametrize(("broker_count", "interval"), [(2, 20_000), (40, 100_000), (250, 200_000)])
def test_all_brokers_together_use_and_keep_the_slow_start_budget(broker_count, interval):
    """The work that all managers send to a starting engine is near the budget and never above it."""
    windows = 3
    work_sent = 0
    for broker_index in range(broker_count):
        driver = ManagerDriver(
            settings(LOOKUP, broker_count=broker_count, broker_index=broker_index, kind_cores=(8,)),
            entries=[entry(1, started_at=99 * SECOND)],
        )
        for request in range(windows * 2 * SECOND // interval):
            driver.arrive(request, cost=100_000)
            for open_request in list(driver.manager.engines[1].in_flight.values()):
                driver.end(open_request.id)
            driver.run(interval)
        work_sent += len(driver.sends) * 100_000
    assert 0.3 * BUDGET * windows <= work_sent <= BUDGET * windows


def test_a_failed_connection_begins_a_slow_start():
    driver = ManagerDriver(engines=2)
    driver.arrive(1)
    first = driver.engine_of(1)
    driver.end(1, Outcome.CONNECT_FAILED)
    assert driver.engine_of(1) != first
    assert driver.manager.engines[first].ejected
    assert driver.manager.engines[first].warm_at == driver.now + 10 * SECOND


def test_a_reset_with_other_attempts_in_flight_ejects_no_engine():
    driver = ManagerDriver(engines=1)
    driver.arrive(1)
    driver.arrive(2)
    driver.end(1, Outcome.RESET)
    assert not driver.manager.engines[1].ejected
    driver.end(2, Outcome.RESET)
    assert not driver.manager.engines[1].ejected  # the retry of request 1 is in flight


def test_resets_without_a_refused_connection_begin_no_slow_start():
    """The network may have reset the connections; an engine that answers again has not restarted."""
    driver = ManagerDriver(engines=1)
    for request in range(1, 3):
        driver.arrive(request, time_limit=30 * SECOND)
        driver.end(request, Outcome.RESET, final=True)
        assert driver.manager.engines[1].ejected == (request == 2)
    driver.arrive(3)
    driver.run(2 * SECOND)
    driver.end(3)
    assert not driver.manager.engines[1].ejected
    assert driver.manager.engines[1].warm_at == 0
