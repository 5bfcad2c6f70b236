"""Queues of the classes: shortest first among requests that can meet their latency objective, then late ones.

The queue of a class of loads, or of a class that loads can block, has a subqueue for each table group, so
that a group without an available engine does not block the other groups of the class.
"""

from collections.abc import Callable, Container, Iterator
from heapq import heapify, heappop, heappush
from itertools import chain

from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.pace import OVERLOAD_SLOWDOWN, FleetPace
from cypressledge.decisions.request import Request

ENTRIES_BETWEEN_COMPACTIONS = 1024

Subqueue = list[tuple[float, int, Request]]  # heap of run time in µs, sequence number and request
Subqueues = dict[int, Subqueue]  # by subqueue id


class ClassQueues:
    """Requests that wait for an engine, by class and subqueue."""

    def __init__(self, context: DecisionContext, pace: FleetPace) -> None:
        self._context = context
        self._pace = pace
        class_count = len(context.settings.classes)
        self._on_time: list[Subqueues] = [{} for _ in range(class_count)]
        self._late: list[Subqueues] = [{} for _ in range(class_count)]
        self._sequence_number = 0  # number of the last request queued; equal run times keep this order

    def enqueue(self, request: Request) -> None:
        """Add the request to the queue of its class."""
        request.queued = True
        self._push(self._on_time, request)

    def waiting_for_first_attempt(self) -> Iterator[Request]:
        """Yield the queued requests that have had no attempt yet."""
        for subqueues in self._on_time + self._late:
            for _, _, request in chain.from_iterable(subqueues.values()):
                if request.queued and request.attempts == 0:
                    yield request

    def head(
        self, class_index: int, blocked_subqueues: Container[int], reject_late: Callable[[Request], None]
    ) -> Request | None:
        """Return the next request of a class outside the blocked subqueues.

        Requests that will miss their objective are queued for late service, or passed to `reject_late` if
        they can't be served late.
        """

        def postpone(request: Request) -> None:
            """Queue a request that will miss its objective for late service, or reject it."""
            if self._may_be_served_late(request):
                self._push(self._late, request)
            else:
                reject_late(request)

        head = None
        if subqueues := self._on_time[class_index]:
            head = self._head_of(subqueues, blocked_subqueues, self._can_meet_objective, postpone)
        if head is None and (subqueues := self._late[class_index]):
            head = self._head_of(subqueues, blocked_subqueues, self._can_meet_deadline, reject_late)
        return head

    @staticmethod
    def _head_of(
        subqueues: Subqueues,
        blocked_subqueues: Container[int],
        is_servable: Callable[[Request], bool],
        discard: Callable[[Request], None],
    ) -> Request | None:
        """Return the shortest head of the subqueues, after discarding heads that can't be served any more."""
        free = [subqueue_id for subqueue_id in subqueues if subqueue_id not in blocked_subqueues]
        for subqueue_id in free:
            _discard_unservable(subqueues, subqueue_id, is_servable, discard)
        if heads := [subqueues[subqueue_id][0] for subqueue_id in free if subqueue_id in subqueues]:
            return min(heads)[2]
        return None

    def _push(self, queues: list[Subqueues], request: Request) -> None:
        self._sequence_number += 1
        subqueue = queues[request.class_index].setdefault(request.subqueue_id, [])
        heappush(subqueue, (request.run_time, self._sequence_number, request))
        if len(subqueue) % ENTRIES_BETWEEN_COMPACTIONS == 0:
            _remove_ended(subqueue)

    def _can_meet_objective(self, request: Request) -> bool:
        return self._context.now + request.run_time <= request.objective_at

    def _can_meet_deadline(self, request: Request) -> bool:
        in_time = self._context.now + request.run_time <= request.deadline
        return in_time and self._pace.slowdown <= OVERLOAD_SLOWDOWN

    def _may_be_served_late(self, request: Request) -> bool:
        if not request.class_settings.late_priority_weight:
            return False
        in_time = self._context.now + request.run_time < request.deadline
        return in_time and self._pace.slowdown < OVERLOAD_SLOWDOWN


def _remove_ended(subqueue: Subqueue) -> None:
    """Remove the requests that no longer wait: withdrawn ones would else be held until they are the head."""
    subqueue[:] = [entry for entry in subqueue if entry[2].queued and entry[2].engine is None]
    heapify(subqueue)


def _discard_unservable(
    subqueues: Subqueues,
    subqueue_id: int,
    is_servable: Callable[[Request], bool],
    discard: Callable[[Request], None],
) -> None:
    """Remove requests at the head of the subqueue that no longer wait or can't be served in time any more.

    `discard` is called for those that still waited. An empty subqueue is deleted.
    """
    subqueue = subqueues[subqueue_id]
    while subqueue:
        request = subqueue[0][2]
        is_waiting = request.queued and request.engine is None
        if is_waiting and is_servable(request):
            return
        heappop(subqueue)
        if is_waiting:
            discard(request)
    del subqueues[subqueue_id]
