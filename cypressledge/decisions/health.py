"""Health of engines: outliers that are silent, answer with errors or reset connections are ejected."""

from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.contract import Idempotency, Log, Outcome
from cypressledge.decisions.engines import Engine, EngineRegistry
from cypressledge.decisions.request import Request
from cypressledge.decisions.slow_start import SlowStart
from cypressledge.decisions.units import EWMA_WEIGHT, MS

MISSING_ANSWERS_LIMIT = 14.0  # missing answers above which an engine is ejected; high, as work varies widely
MISSING_PER_ATTEMPT_MAX = 4.0  # limit per attempt, so that one long request ejects no engine
SILENCE_MIN = 400 * MS  # µs; shortest silence that counts; older attempts are moved from an ejected engine
RESPONSIVE_ENGINES_MIN = 3  # other engines that must have been active lately; else all may be silent
TRIAL_INTERVAL = 1_000 * MS  # µs; time between trial requests at an ejected engine
ERROR_LIMIT = 0.25  # error rate above which an engine is ejected if other engines have no errors
OTHERS_ERROR_MULTIPLE = 2.0  # multiple of the other engines' mean error rate that is added to ERROR_LIMIT
RESETS_BEFORE_EJECTION = 2  # resets without an answer between, with none in flight, that show a process exit


class HealthMonitor:
    """Ejects outliers, up to half of the ready engines, and readmits each with its first answer.

    The limit of one half does not apply to engines that break their connections.
    """

    def __init__(self, context: DecisionContext, registry: EngineRegistry, slow_start: SlowStart) -> None:
        self._context = context
        self._registry = registry
        self._slow_start = slow_start

    def allows_trial(self, engine: Engine, request: Request) -> bool:
        """Return whether the request may be sent to an ejected engine as a trial request.

        A trial request must be due, must be the only one in flight there, and must be safe to repeat.
        """
        if engine.in_flight or self._context.now < engine.next_trial_at:
            return False
        return request.class_settings.idempotency is not Idempotency.NOT_IDEMPOTENT

    def record_send(self, engine: Engine) -> None:
        """Schedule the next trial after an attempt was sent to an ejected engine."""
        if engine.ejected:
            engine.next_trial_at = self._context.now + TRIAL_INTERVAL

    def record_answer(self, engine: Engine) -> None:
        """Record an answer of the engine; readmit it if it was ejected."""
        engine.error_rate += EWMA_WEIGHT * (0 - engine.error_rate)
        engine.last_activity_at, engine.consecutive_resets = self._context.now, 0
        if engine.ejected:
            engine.ejected, engine.error_rate = False, min(engine.error_rate, ERROR_LIMIT / 2)
            self._context.actions.append(Log(f"engine {engine.id:x} answers again"))

    def record_error(self, engine: Engine) -> None:
        """Record an error of the engine; eject it if its error rate is far above that of the others.

        An engine that answers every query with an immediate error has the fewest queries in flight and would
        attract the most. Errors at all engines are attributed to the queries.
        """
        engine.error_rate += EWMA_WEIGHT * (1 - engine.error_rate)
        ready = self._registry.ready
        mean_error_rate = sum(other.error_rate for other in ready if other is not engine) / max(
            len(ready) - 1, 1
        )
        if (
            engine.error_rate > ERROR_LIMIT + OTHERS_ERROR_MULTIPLE * mean_error_rate
            and not engine.ejected
            and self._may_eject()
        ):
            self._eject(engine, "answers errors where others do not: ejected")

    def record_connection_failure(self, engine: Engine, outcome: Outcome) -> None:
        """Record a refused or reset connection; eject the engine if its process seems to have exited.

        When a process exits, its connections are reset and new ones are refused. The engine is ejected until
        it answers; after a refused connection it begins a slow start. Single resets are attributed to the
        network.
        """
        engine.consecutive_resets += 1
        if outcome is Outcome.CONNECT_FAILED:
            self._slow_start.restart(engine)
        elif engine.in_flight or engine.consecutive_resets < RESETS_BEFORE_EJECTION:
            return
        if engine.ejected:
            engine.next_trial_at = self._context.now + TRIAL_INTERVAL
        else:
            self._eject(engine, "broke its connections: ejected until it answers")

    def record_silence(self, engine: Engine, missing_answers: float) -> None:
        """Eject the engine if it is silent while many answers are missing and other engines are active.

        `missing_answers` is the sum of the silences of its attempts, each as a multiple of the attempt's
        expected latency. The rule ejects an engine that accepts work but does not answer, for any reason.
        Expected latencies follow the answers of all engines, so that slowness of all engines ejects none. The
        drawback: an engine that is far slower than all others is ejected as well.
        """
        active_since = self._context.now - SILENCE_MIN
        if (
            missing_answers <= MISSING_ANSWERS_LIMIT
            or engine.ejected
            or engine.last_activity_at >= active_since
        ):
            return
        ready = self._registry.ready
        responsive_count = sum(other.last_activity_at > active_since for other in ready)
        if responsive_count >= min(RESPONSIVE_ENGINES_MIN, len(ready) - 1) > 0 and self._may_eject():
            self._eject(engine, "is silent while others answer: ejected")

    def _may_eject(self) -> bool:
        """Return whether at most half of the ready engines would be ejected after one more ejection."""
        ready = self._registry.ready
        return 2 * (sum(engine.ejected for engine in ready) + 1) <= len(ready)

    def _eject(self, engine: Engine, observation: str) -> None:
        engine.ejected, engine.next_trial_at = True, self._context.now + TRIAL_INTERVAL
        self._context.actions.append(Log(f"engine {engine.id:x} {observation}"))
