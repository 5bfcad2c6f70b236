"""The client connections of a listener, and which is closed first."""

import unittest

from cypressledge.net.connection_registry import EXAMINED, NOT_EVICTABLE, ConnectionRegistry


class EvictionCandidate(unittest.TestCase):
    def test_a_newcomer_costs_the_same_whatever_the_number_of_clients(self):
        """Each newcomer took a look at all connections: of many, that took a whole core."""
        looked = []

        class Member:
            def __init__(self, n, priority, has_requested):
                self.n, self.priority, self.has_requested = n, priority, has_requested

            def eviction_priority(self, now):
                looked.append(self.n)
                return self.priority

        registry = ConnectionRegistry()
        busy = [Member(n, NOT_EVICTABLE, True) for n in range(EXAMINED)]
        idle = [Member(n, (2, n), True) for n in range(EXAMINED, 5_000)]
        for connection in busy + idle:
            registry.add(connection)
        assert registry.eviction_candidate(0) is None  # all busy: the next finds others
        assert registry.eviction_candidate(0) is idle[0]
        quiet = Member(5_000, (1, 0), False)
        registry.add(quiet)
        assert registry.eviction_candidate(0) is quiet
        assert len(looked) < 4 * EXAMINED
