"""Periodic inspection of the attempts in flight for overdue work, lost responses and silent engines."""

from cypressledge.decisions.attempt_resources import AttemptResources
from cypressledge.decisions.attempts import AttemptControl
from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.contract import Reason
from cypressledge.decisions.engines import Engine, EngineRegistry
from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.health import MISSING_PER_ATTEMPT_MAX, SILENCE_MIN, HealthMonitor
from cypressledge.decisions.lost_responses import LostResponses
from cypressledge.decisions.units import MS

INSPECTION_INTERVAL = 100 * MS  # µs; short compared with the shortest latency objectives


class Inspection:
    """Inspects all attempts in flight, engine by engine."""

    def __init__(
        self,
        context: DecisionContext,
        registry: EngineRegistry,
        estimates: ClassEstimates,
        resources: AttemptResources,
        health: HealthMonitor,
        lost_responses: LostResponses,
        attempts: AttemptControl,
    ) -> None:
        self._context = context
        self._registry = registry
        self._estimates = estimates
        self._resources = resources
        self._health = health
        self._lost_responses = lost_responses
        self._attempts = attempts

    def run(self) -> None:
        """Inspect the attempts of every ready engine."""
        for engine in self._registry.ready:
            if not engine.in_flight:
                engine.overdue_ratio = 1.0
                continue
            missing_answers = self._inspect_attempts(engine)
            self._health.record_silence(engine, missing_answers)
            if engine.ejected:
                self._move_from_ejected(engine)

    def _inspect_attempts(self, engine: Engine) -> float:
        """Update an engine's overdue ratio and its attempts' priorities; return its missing answers.

        Each attempt adds the engine's silence since the attempt started, as a multiple of the attempt's
        expected latency.
        """
        now = self._context.now
        age_sum, missing = 0.0, 0.0
        run_time_sum = 1.0  # µs; not 0, since it is a divisor
        missing_by_group: dict[int, float] = {}
        for request in list(engine.in_flight.values()):
            if self._lost_responses.check(engine, request):
                continue
            age = now - request.sent_at
            age_sum += max(age, request.run_time)
            run_time_sum += request.run_time
            silence = min(age, now - engine.last_activity_at)
            multiple = min(silence / self._estimates.expected_latency(request), MISSING_PER_ATTEMPT_MAX)
            if request.class_settings.blocked_by_loads:
                # One load may block all attempts of its group, so they count once.
                group = request.table_group
                missing_by_group[group] = max(missing_by_group.get(group, 0.0), multiple)
            else:
                missing += multiple
            self._resources.update(request)
        engine.overdue_ratio = age_sum / run_time_sum
        return missing + sum(missing_by_group.values())

    def _move_from_ejected(self, engine: Engine) -> None:
        for request in list(engine.in_flight.values()):
            if self._context.now - request.sent_at > SILENCE_MIN and not request.finished:
                self._attempts.move(request, Reason.ENGINE_SILENT)
