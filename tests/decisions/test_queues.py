"""Queues of the classes and their subqueues."""

from dataclasses import replace
from types import SimpleNamespace

import pytest

from cypressledge.decisions.contract import ClassSettings
from cypressledge.decisions.queues import ClassQueues
from tests.decisions.parts import LOOKUP, SECOND, make_context, make_request

LATE = replace(LOOKUP, late_priority_weight=0.4)
BLOCKED = replace(LOOKUP, blocked_by_loads=True)


class QueuesFixture:
    """The queue of one class, and the ids of the requests that it rejected."""

    def __init__(self, class_settings: ClassSettings = LOOKUP) -> None:
        self.context = make_context(class_settings)
        self.pace = SimpleNamespace(slowdown=1.0)
        self.queues = ClassQueues(self.context, self.pace)
        self.rejected = []

    def add(self, number, cost=100_000, table_group=0):
        request = make_request(self.context, number, cost=cost, table_group=table_group)
        self.queues.enqueue(request)
        return request

    def reject(self, request):
        request.queued = False
        self.rejected.append(request.id)

    def head(self, *blocked_subqueues):
        request = self.queues.head(0, set(blocked_subqueues), self.reject)
        return request and request.id


def test_shortest_first_then_in_order_of_queueing():
    queues = QueuesFixture()
    requests = [queues.add(number, cost) for number, cost in ((1, 300), (2, 100), (3, 100), (4, 200))]
    order = []
    while (number := queues.head()) is not None:
        order.append(number)
        requests[number - 1].queued = False
    assert order == [2, 3, 4, 1]


def test_late_requests_without_late_priority_weight_are_rejected():
    queues = QueuesFixture()
    queues.add(1)
    queues.context.now += SECOND
    assert queues.head() is None
    assert queues.rejected == [1]


def test_late_requests_with_late_priority_weight_come_after_those_on_time():
    queues = QueuesFixture(LATE)
    queues.add(1, cost=50_000)
    queues.context.now += SECOND
    queues.add(2, cost=400_000)
    assert queues.head() == 2
    assert queues.rejected == []
    queues.queues.head(0, set(), queues.reject).queued = False
    assert queues.head() == 1


@pytest.mark.parametrize(("slowdown", "served"), [(1.4, 1), (1.6, None)])
def test_late_requests_are_served_only_without_overload(slowdown, served):
    queues = QueuesFixture(LATE)
    queues.add(1)
    queues.pace.slowdown = slowdown
    queues.context.now += SECOND
    assert queues.head() == served
    assert queues.rejected == ([] if served else [1])


def test_late_requests_are_rejected_once_they_miss_their_deadline():
    queues = QueuesFixture(LATE)
    queues.add(1)
    queues.context.now += SECOND
    assert queues.head() == 1
    queues.context.now += 4 * SECOND
    assert queues.head() is None
    assert queues.rejected == [1]


def test_a_blocked_subqueue_does_not_block_others():
    queues = QueuesFixture(BLOCKED)
    queues.add(1, cost=100, table_group=7)
    queues.add(2, cost=200, table_group=8)
    assert queues.head() == 1
    assert queues.head(7) == 2
    assert queues.head(7, 8) is None


def test_requests_of_classes_that_loads_do_not_block_share_one_subqueue():
    queues = QueuesFixture()
    queues.add(1, table_group=7)
    assert queues.head(7) == 1
    assert queues.head(0) is None


def test_only_requests_without_an_attempt_count_as_waiting():
    queues = QueuesFixture()
    first, repeated, finished = queues.add(1), queues.add(2), queues.add(3)
    repeated.attempts = 1
    finished.queued = False
    assert list(queues.queues.waiting_for_first_attempt()) == [first]
