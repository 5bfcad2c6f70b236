"""Placement of requests by the engine list and by the kinds and zones that a class requires."""

import dataclasses

import pytest

from cypressledge.decisions.contract import (
    EngineListKind,
    EngineListReceived,
    EngineState,
    Outcome,
    StartAttempt,
)
from tests.decisions.manager_driver import (
    LOOKUP,
    SECOND,
    ManagerDriver,
    actions_of,
    entry,
    final_answers,
    settings,
)


@pytest.mark.parametrize(
    "update",
    [
        EngineListReceived(EngineListKind.DELTA, (entry(1, EngineState.DRAINING),)),
        EngineListReceived(EngineListKind.DELTA, (entry(1, EngineState.REMOVED),)),
        EngineListReceived(EngineListKind.FULL, (entry(2),)),
    ],
)
def test_draining_and_removed_engines_get_no_further_attempt(update):
    driver = ManagerDriver(engines=2)
    driver.handle(update)
    for request in range(20):
        driver.arrive(request)
    assert {s.engine for s in driver.sends} == {2}


def test_a_failed_update_keeps_the_list():
    driver = ManagerDriver(engines=2)
    driver.handle(EngineListReceived(EngineListKind.FAILED))
    assert actions_of(StartAttempt, driver.arrive(1))


def test_a_class_with_required_kinds_and_zones_uses_no_other_engine():
    bound = dataclasses.replace(LOOKUP, required_kinds=frozenset((1,)), required_zones=frozenset((0,)))
    driver = ManagerDriver(settings(bound), entries=[entry(1), entry(2, kind=1), entry(3, kind=1, zone=1)])
    driver.arrive(1)
    driver.end(1, Outcome.RESET)
    driver.end(1, Outcome.REJECTED)
    assert {s.engine for s in driver.sends} <= {2}
    driver.handle(EngineListReceived(EngineListKind.DELTA, (entry(2, EngineState.REMOVED, kind=1),)))
    assert not actions_of(StartAttempt, driver.arrive(2))
    assert len(final_answers(driver.run(5 * SECOND))) >= 1


def test_the_sum_of_bounds_limits_a_broker_whose_shares_are_smaller_than_a_query():
    driver = ManagerDriver(settings(LOOKUP, broker_count=250), engines=10)
    for request in range(60):
        driver.arrive(request)
    assert len(driver.sends) == 3  # ten engines of 16 threads over 250 brokers, times 1.25, plus two lookups
