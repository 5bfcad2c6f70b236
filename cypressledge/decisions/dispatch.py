"""Dispatch: weighted draws select the class that gets free capacity, and attempts are started."""

from cypressledge.decisions.attempt_resources import AttemptResources
from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.contract import Reason, StartAttempt
from cypressledge.decisions.engine_admission import EngineAdmission
from cypressledge.decisions.engines import Engine
from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.lifecycle import RequestLifecycle
from cypressledge.decisions.odds import OddsController
from cypressledge.decisions.queues import ClassQueues
from cypressledge.decisions.request import Request
from cypressledge.decisions.retries import RetryBudget, RetryPolicy
from cypressledge.decisions.routing import Router

BLOCKED_SUBQUEUES_MAX = 3  # subqueues without an engine after which their class is skipped, to save time


class AttemptStarter:
    """Starts attempts and notifies the components that count them."""

    def __init__(
        self,
        context: DecisionContext,
        odds: OddsController,
        retry_budget: RetryBudget,
        estimates: ClassEstimates,
        admission: EngineAdmission,
        resources: AttemptResources,
    ) -> None:
        self._context = context
        self._odds = odds
        self._retry_budget = retry_budget
        self._estimates = estimates
        self._admission = admission
        self._resources = resources

    def start(self, request: Request, engine: Engine) -> None:
        """Start the request's next attempt at the engine."""
        now = self._context.now
        if request.attempts == 0:
            self._odds.record_delay(request.class_index, now - request.received_at)
        else:
            self._retry_budget.record_retry()
        request.attempts += 1
        request.engine, request.sent_at, request.last_activity_at = engine, now, now
        request.queued = request.blocked = request.response_lost = False
        engine.in_flight[request.id] = request
        if request.class_settings.is_load:
            loads = engine.loads_in_flight
            loads[request.table_group] = loads.get(request.table_group, 0) + 1
        self._admission.record_attempt(engine, request)
        self._estimates.record_attempt(request)
        self._resources.update(request)
        self._context.actions.append(StartAttempt(request.id, engine.id))


class Dispatcher:
    """Draws classes and starts attempts until no queued request has an available engine."""

    def __init__(
        self,
        context: DecisionContext,
        odds: OddsController,
        queues: ClassQueues,
        router: Router,
        lifecycle: RequestLifecycle,
        retry_policy: RetryPolicy,
        starter: AttemptStarter,
    ) -> None:
        self._context = context
        self._odds = odds
        self._queues = queues
        self._router = router
        self._lifecycle = lifecycle
        self._retry_policy = retry_policy
        self._starter = starter
        self._class_count = len(context.settings.classes)

    def dispatch(self) -> None:
        """Start attempts until every class is blocked or empty."""
        blocked: list[set[int]] = [set() for _ in range(self._class_count)]
        while (request := self._draw(blocked)) is not None:
            engine = self._router.choose(request)
            if engine is None:
                # Skip this subqueue only: other groups of the class may have an available engine.
                blocked[request.class_index].add(request.subqueue_id)
            elif (reason := self._reason_against(request)) is not None:
                self._lifecycle.give_up(request, reason)
            else:
                self._starter.start(request, engine)

    def _draw(self, blocked: list[set[int]]) -> Request | None:
        reject_late = self._lifecycle.reject_late
        heads = [
            None
            if len(subqueues) >= BLOCKED_SUBQUEUES_MAX
            else self._queues.head(class_index, subqueues, reject_late)
            for class_index, subqueues in enumerate(blocked)
        ]
        return self._odds.draw(heads, self._context.random)

    def _reason_against(self, request: Request) -> Reason | None:
        return self._retry_policy.reason_against_sending(request) if request.attempts else None
