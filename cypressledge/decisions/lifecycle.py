"""Lifecycle of requests, from their arrival to their final answer."""

from cypressledge.decisions.affinity import Affinity
from cypressledge.decisions.attempts import AttemptControl
from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.contract import (
    ClientDisconnected,
    DeduplicationScope,
    FailRequest,
    Idempotency,
    Reason,
    RejectRequest,
    RequestReceived,
)
from cypressledge.decisions.deadlines import DEADLINE_MARGIN, DeadlineQueue
from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.odds import OddsController
from cypressledge.decisions.ordering import KeyOrder
from cypressledge.decisions.queues import ClassQueues
from cypressledge.decisions.request import Request, new_request
from cypressledge.decisions.retries import RetryBudget


class RequestLifecycle:
    """Holds the requests that need an answer or have an attempt in flight, and ends them."""

    def __init__(
        self,
        context: DecisionContext,
        estimates: ClassEstimates,
        affinity: Affinity,
        retry_budget: RetryBudget,
        attempts: AttemptControl,
        odds: OddsController,
        queues: ClassQueues,
    ) -> None:
        self._context = context
        self._estimates = estimates
        self._affinity = affinity
        self._retry_budget = retry_budget
        self._attempts = attempts
        self._odds = odds
        self._queues = queues
        self.requests: dict[int, Request] = {}
        self.key_order = KeyOrder(context)
        self._deadlines = DeadlineQueue()

    def receive(self, received: RequestReceived) -> None:
        """Add a new request, and queue it unless it waits for an earlier request with its ordering key."""
        class_settings = self._context.settings.classes[received.class_index]
        cost = self._estimates.corrected_cost(received)
        request = new_request(received, class_settings, self._context.now, cost)
        self._estimates.record_request(request)
        self.requests[request.id] = request
        self._affinity.record_request(request.table_group)
        self._retry_budget.record_request()
        self._deadlines.schedule(request.deadline - DEADLINE_MARGIN, request.id)
        if not self.key_order.applies_to(request):
            self._queues.enqueue(request)
        elif self.key_order.join(request):
            self._queue_first_of_key(request)

    def client_disconnected(self, event: ClientDisconnected) -> None:
        """Finish the request of a client that disconnected; it gets no answer."""
        request = self.requests.get(event.request)
        if request is None or request.finished:
            return
        if not request.attempts:
            self._retry_budget.withdraw_request(request.received_at)
        self.finish(request)

    def give_up(self, request: Request, reason: Reason) -> None:
        """End the request without a result: reject it if the client may safely retry it, else fail it."""
        if self._client_may_retry(request):
            self._context.actions.append(RejectRequest(request.id, reason))
        else:
            self._context.actions.append(FailRequest(request.id, reason))
        self.finish(request)

    @staticmethod
    def _client_may_retry(request: Request) -> bool:
        """Return whether a retry by the client is safe: no harmful second execution is possible."""
        class_settings = request.class_settings
        if class_settings.idempotency is Idempotency.IDEMPOTENT:
            return True
        if request.engine is not None:
            return False
        return request.first_possible_execution is None or (
            class_settings.idempotency is Idempotency.WITH_KEY
            and class_settings.deduplication_scope is DeduplicationScope.ALL
        )

    def retry(self, request: Request, wait_until: int | None) -> None:
        """Queue the request for another attempt; it is given up if it still waits at `wait_until`, µs."""
        if wait_until is not None:
            self._deadlines.schedule(wait_until, request.id)
        self._queues.enqueue(request)

    def reject_late(self, request: Request) -> None:
        """Give up a request that can't be answered in time."""
        self.give_up(request, Reason.OBJECTIVE_MISSED)

    def finish(self, request: Request) -> None:
        """Mark the request as finished; remove it, or cancel its attempt in flight if that is allowed.

        Until it ends, an attempt in flight occupies capacity and blocks the request's ordering key.
        """
        if request.attempts == 0:
            self._odds.record_delay(request.class_index, self._context.now - request.received_at)
        request.finished, request.queued = True, False
        if request.engine is None:
            self.remove(request)
            return
        may_cancel = self._context.settings.supports_cancel and not request.cancelling
        if may_cancel and request.class_settings.idempotency is not Idempotency.NOT_IDEMPOTENT:
            self._attempts.cancel(request, Reason.REQUEST_FINISHED)

    def remove(self, request: Request) -> None:
        """Remove a finished request without an attempt in flight; queue the next request of its key."""
        del self.requests[request.id]
        self._deadlines.compact(self.requests)
        if self.key_order.applies_to(request) and (following := self.key_order.leave(request)):
            self._queue_first_of_key(following)

    def expire(self) -> None:
        """Give up requests that are due; queue requests whose key's cooldown has ended."""
        now = self._context.now
        for request_id in self._deadlines.expired(now):
            request = self.requests.get(request_id)
            if request is None or request.finished:
                continue
            if request.queued or now >= request.deadline - DEADLINE_MARGIN:
                self.give_up(request, self._reason_expired(request))
        for request_id in self.key_order.cooldowns.expired(now):
            request = self.requests.get(request_id)
            if request and self._waits_for_key(request):
                self._queue_first_of_key(request)

    def shutdown_started(self) -> None:
        """Give up all open requests because the process is shutting down."""
        for request in list(self.requests.values()):
            if not request.finished:
                self.give_up(request, Reason.SHUTTING_DOWN)

    def next_due_at(self) -> int | None:
        """Return the next time, µs, at which a request is due or a key's cooldown ends; None without any."""
        due_times = (self._deadlines.next_due_at(), self.key_order.cooldowns.next_due_at())
        return min((due_at for due_at in due_times if due_at is not None), default=None)

    def _queue_first_of_key(self, request: Request) -> None:
        if self.key_order.may_start(request):
            self._queues.enqueue(request)

    def _waits_for_key(self, request: Request) -> bool:
        if request.finished or request.queued or request.engine is not None:
            return False
        return self.key_order.is_first(request)

    def _reason_expired(self, request: Request) -> Reason:
        """Return the reason for giving up a request that is due."""
        if not request.queued:
            return Reason.DEADLINE
        is_due = self._context.now >= request.deadline - DEADLINE_MARGIN
        return Reason.NO_CAPACITY if is_due else Reason.DEDUPLICATION_WINDOW_OVER
