"""A manager is deterministic, and its state does not grow over time."""

import dataclasses
import gc
import tracemalloc
from collections import deque
from enum import Enum

from cypressledge.decisions import deadlines
from cypressledge.decisions.contract import (
    AttemptEnded,
    ClassSettings,
    ClientDisconnected,
    DeduplicationScope,
    EngineListKind,
    EngineListReceived,
    EngineState,
    Outcome,
    RequestReceived,
    Settings,
    StartAttempt,
)
from tests.decisions.manager_driver import ORDERED, SECOND, ManagerDriver, entry, settings, with_key


def test_the_same_events_produce_the_same_actions():
    one, two = ManagerDriver(seed=5), ManagerDriver(seed=5)
    for driver in (one, two):
        for request in range(50):
            driver.arrive(request, class_index=request % 2)
    assert one.actions == two.actions


def test_state_does_not_grow_over_time():
    driver = ManagerDriver(settings(ORDERED), entries=[entry(1)])
    for number in range(1, 200):
        driver.arrive(number, key=number, table_group=number)
        driver.end(number, Outcome.TIMEOUT)
        driver.handle(
            EngineListReceived(
                EngineListKind.DELTA,
                (entry(number, EngineState.REMOVED), entry(number + 1, started_at=driver.now)),
            )
        )
        driver.run(3 * SECOND)
        assert driver.attempts[number] == 0
    manager = driver.manager
    assert list(manager.engines) == [200]
    assert not manager.requests
    assert count_entries(manager) < 100  # mostly groups whose counts are still decaying


def count_entries(owner, seen=None):
    """Count the entries in all nested containers of the decision modules, except settings and enums."""
    seen = set() if seen is None else seen
    if id(owner) in seen:
        return 0
    seen.add(id(owner))
    if isinstance(owner, dict):
        return len(owner) + sum(count_entries(value, seen) for value in owner.values())
    if isinstance(owner, list | deque | set | tuple):
        return len(owner) + sum(count_entries(value, seen) for value in owner)
    is_state = type(owner).__module__.startswith("cypressledge.decisions")
    if is_state and not isinstance(owner, Settings | ClassSettings | Enum):
        names = getattr(type(owner), "__slots__", None) or vars(owner)
        return sum(count_entries(getattr(owner, name), seen) for name in names)
    return 0


def test_withdrawn_requests_under_ever_new_names_take_no_memory(monkeypatch):
    """Regression: what was kept for the deadline, the retry budget, the queue and the tables of each request
    that was withdrawn stayed for as long as the request would have waited, or for good."""
    keyed = dataclasses.replace(with_key(DeduplicationScope.ALL), deadline=600 * SECOND, is_load=True)
    site = settings(keyed, retry_budget_ratio=0.1, retry_budget_window=5 * SECOND)
    driver = ManagerDriver(site, engines=4)
    monkeypatch.setattr(deadlines, "MIN_LENGTH_TO_COMPACT", 1000, raising=False)
    sizes = []
    tracemalloc.start()
    try:
        for number in range(1, 6_001):
            driver.now += 10_000
            received = RequestReceived(number, 0, driver.now + 500 * SECOND, number, SECOND, 0.0, number)
            for action in driver.manager.handle(driver.now, [received]):
                if isinstance(action, StartAttempt):
                    end = AttemptEnded(number, 0, action.engine, Outcome.OK, True, 1000)
                    driver.manager.handle(driver.now, [end])
            driver.manager.handle(driver.now, [ClientDisconnected(number)])
            if number % 2_000 == 0:
                gc.collect()
                sizes.append(tracemalloc.get_traced_memory()[0])
    finally:
        tracemalloc.stop()
    assert sizes[-1] - sizes[0] < 512 << 10, sizes
