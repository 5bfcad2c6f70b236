"""Registry of a listener's client connections, and the order of evictions."""

import unittest

import pytest

from cypressledge.net.connection_registry import (
    MAX_EXAMINED,
    NOT_EVICTABLE,
    RANK_IDLE,
    RANK_SILENT,
    RANK_UNUSED,
    ConnectionRegistry,
    eviction_priority,
)

NOW = 60_000_000  # µs


class EvictionCandidate(unittest.TestCase):
    def test_the_number_of_examined_connections_does_not_grow_with_the_clients(self):
        """Regression: each new client caused a search of all connections; thousands used a full core."""
        examined = []

        class Member:
            def __init__(self, number, priority, has_requested):
                self.number, self.priority, self.has_requested = number, priority, has_requested

            def eviction_priority(self, now):
                examined.append(self.number)
                return self.priority

        registry = ConnectionRegistry()
        busy = [Member(number, NOT_EVICTABLE, True) for number in range(MAX_EXAMINED)]
        idle = [Member(number, (2, number), True) for number in range(MAX_EXAMINED, 5_000)]
        for connection in busy + idle:
            registry.add(connection)
        assert registry.eviction_candidate(0) is None  # all of these are busy; the next examines others
        assert registry.eviction_candidate(0) is idle[0]
        silent = Member(5_000, (1, 0), False)
        registry.add(silent)
        assert registry.eviction_candidate(0) is silent
        assert len(examined) < 4 * MAX_EXAMINED


class StubConnection:
    """A connection with a given eviction priority."""

    def __init__(self, priority=NOT_EVICTABLE, has_requested=True):
        self.priority, self.has_requested = priority, has_requested

    def eviction_priority(self, now):
        return self.priority


def registry_of(*connections):
    registry = ConnectionRegistry()
    for connection in connections:
        registry.add(connection)
    return registry


def test_the_lowest_eviction_priority_is_closed_first():
    idle, silent, unused = (
        StubConnection((RANK_IDLE, 1)),
        StubConnection((RANK_SILENT, 9), has_requested=False),
        StubConnection((RANK_UNUSED, 5)),
    )
    registry = registry_of(StubConnection(), idle, silent, unused)
    for expected in (unused, silent, idle):
        assert registry.eviction_candidate(NOW) is expected
        registry.mark_closing(expected)
    assert registry.eviction_candidate(NOW) is None


def test_a_closing_connection_is_counted_separately_until_it_is_closed():
    closing, other = StubConnection(), StubConnection()
    registry = registry_of(closing, other)
    registry.mark_closing(closing)
    assert (list(registry), len(registry), registry.closing) == ([other], 1, {closing})
    registry.mark_active(closing)
    assert len(registry) == 1
    registry.discard(closing)
    assert registry.closing == set()


def test_connections_are_in_order_of_their_last_activity():
    """After its first request, a connection is listed after all those without a request."""
    first, second, third = (StubConnection(has_requested=False) for _ in range(3))
    registry = registry_of(first, second, third)
    registry.mark_active(first)
    assert list(registry) == [second, third, first]
    second.has_requested = True
    registry.mark_active(second)
    assert list(registry) == [third, first, second]


@pytest.mark.parametrize(
    ("connected_for", "inactive_for", "has_requested", "is_busy", "expected"),
    [
        (300_000, 300_000, False, False, NOT_EVICTABLE),
        (300_001, 0, False, False, (RANK_SILENT, NOW - 300_001)),
        (NOW, 4_500_001, True, True, NOT_EVICTABLE),
        (NOW, 99_999, True, False, NOT_EVICTABLE),
        (NOW, 100_000, True, False, (RANK_IDLE, NOW - 100_000)),
        (NOW, 4_500_000, True, False, (RANK_IDLE, NOW - 4_500_000)),
        (NOW, 4_500_001, True, False, (RANK_UNUSED, NOW - 4_500_001)),
    ],
)
def test_eviction_priority_by_age_and_activity(connected_for, inactive_for, has_requested, is_busy, expected):
    """Times in µs: silent after 300 ms, idle after 100 ms, no longer reused after 4.5 s."""
    priority = eviction_priority(NOW, NOW - connected_for, NOW - inactive_for, has_requested, is_busy)
    assert priority == expected
