"""Outcomes of attempts and their effects on the request, its engine and the estimates."""

from dataclasses import dataclass

from cypressledge.decisions.concurrency_limits import ConcurrencyLimits
from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.contract import NEVER_EXECUTED, AttemptEnded, Idempotency, Outcome
from cypressledge.decisions.engines import Engine, EngineRegistry
from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.health import HealthMonitor
from cypressledge.decisions.lifecycle import RequestLifecycle
from cypressledge.decisions.load_reports import LoadReports
from cypressledge.decisions.lost_responses import LostResponses
from cypressledge.decisions.pace import FleetPace
from cypressledge.decisions.request import PossibleExecution, Request
from cypressledge.decisions.retries import RetryPolicy, window_end


@dataclass(frozen=True, slots=True)
class OutcomeObservers:
    """Components that are updated with the outcomes of attempts."""

    estimates: ClassEstimates
    pace: FleetPace
    limits: ConcurrencyLimits
    health: HealthMonitor
    load_reports: LoadReports
    lost_responses: LostResponses


class AttemptOutcomes:
    """Handles the events that report the ends of attempts."""

    def __init__(
        self,
        context: DecisionContext,
        registry: EngineRegistry,
        lifecycle: RequestLifecycle,
        retry_policy: RetryPolicy,
        observers: OutcomeObservers,
    ) -> None:
        self._context = context
        self._registry = registry
        self._lifecycle = lifecycle
        self._retry_policy = retry_policy
        self._observers = observers

    def attempt_ended(self, ended: AttemptEnded) -> None:
        """Release an attempt's capacity, update the observers, then retry or end its request.

        Events of former attempts and of attempts at unknown engines are ignored.
        """
        engine = self._registry.engines.get(ended.engine)
        if engine is None:
            return
        request = engine.in_flight.get(ended.request)
        if request is None or request.last_attempt != ended.attempt:
            return
        self._release(engine, request)
        self._update_observers(engine, request, ended)
        request.engine, request.cancelling = None, False
        if ended.outcome not in NEVER_EXECUTED and request.first_possible_execution is None:
            request.first_possible_execution = PossibleExecution(request.sent_at, engine)
        self._lifecycle.key_order.record_end(request, ended.outcome)
        if request.finished:
            self._lifecycle.remove(request)
        elif ended.final:
            self._lifecycle.finish(request)
        else:
            self._retry(request, engine)

    def _release(self, engine: Engine, request: Request) -> None:
        del engine.in_flight[request.id]
        self._observers.limits.release(engine, request)
        if request.class_settings.is_load:
            engine.loads_in_flight[request.table_group] -= 1

    def _retry(self, request: Request, failed_engine: Engine) -> None:
        """Queue the request for another attempt, or give it up."""
        reason = self._retry_policy.reason_against_retry(request)
        if reason is not None:
            self._lifecycle.give_up(request, reason)
            return
        request.avoided_engine = failed_engine
        class_settings, execution = request.class_settings, request.first_possible_execution
        wait_until = None
        if class_settings.idempotency is Idempotency.WITH_KEY and execution is not None:
            wait_until = window_end(class_settings, execution)
        self._lifecycle.retry(request, wait_until)

    def _update_observers(self, engine: Engine, request: Request, ended: AttemptEnded) -> None:
        """Update the estimates and the engine's slowdown, limits and health with an outcome."""
        outcome, observers = ended.outcome, self._observers
        if outcome is Outcome.OK:
            self._record_answer(engine, request, ended)
        elif outcome is Outcome.ERROR:
            observers.health.record_error(engine)
        elif outcome is Outcome.REJECTED:
            observers.limits.record_rejection(engine)
        elif outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            observers.health.record_connection_failure(engine, outcome)

    def _record_answer(self, engine: Engine, request: Request, ended: AttemptEnded) -> None:
        observers, class_settings = self._observers, request.class_settings
        if class_settings.blocked_by_loads:
            # The request was executed, so no load blocks its group any more.
            engine.blocked_until.pop(request.table_group, None)
        observers.lost_responses.record_answer()
        observers.health.record_answer(engine)
        run_time = observers.estimates.record_answer(request, ended)
        observers.pace.record_answer(engine, ended.latency, run_time)
        observers.load_reports.record_answer(engine, request, ended)
        stretch = class_settings.latency_objective_stretch * run_time
        observers.limits.record_answer(engine, request, class_settings.latency_objective + stretch)
