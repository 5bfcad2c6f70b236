"""A manager is deterministic, and its state does not grow over time."""

from collections import deque
from enum import Enum

from cypressledge.decisions.contract import (
    ClassSettings,
    EngineListKind,
    EngineListReceived,
    EngineState,
    Outcome,
    Settings,
)
from tests.decisions.manager_driver import ORDERED, SECOND, ManagerDriver, entry, settings


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
