"""Health of engines: outliers that are silent, answer errors or reset connections are ejected."""

from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.contract import Idempotency, Log, Outcome
from cypressledge.decisions.engines import Engine, EngineRegistry
from cypressledge.decisions.request import Request
from cypressledge.decisions.slow_start import SlowStart
from cypressledge.decisions.units import EWMA_WEIGHT, MS

MISSING_ANSWERS_LIMIT = 14.0  # missing answers from which an engine is ejected; work varies widely
MISSING_PER_ATTEMPT_MAX = 4.0  # most that one attempt adds to them, so that one long request ejects no engine
SILENCE_MIN = 400 * MS  # shortest silence that counts, and age from which attempts at an ejected engine move
RESPONSIVE_ENGINES_MIN = 3  # other engines that must have answered lately: else the silence may be everywhere
TRIAL_INTERVAL = 1_000 * MS  # between trial requests at an ejected engine
ERROR_LIMIT = 0.25  # part of an engine's answers that are errors, from which it is ejected
OTHERS_ERROR_MULTIPLE = 2.0  # of the other engines' mean error rate, that an outlier's is over besides
RESETS_BEFORE_EJECTION = 2  # resets with no answer between, and nothing in flight, that show it has ended


class HealthMonitor:
    """Ejects outliers, half of the engines at most, and readmits them with their first answer."""

    def __init__(self, context: DecisionContext, registry: EngineRegistry, slow_start: SlowStart) -> None:
        self._context = context
        self._registry = registry
        self._slow_start = slow_start

    def allows_trial(self, engine: Engine, request: Request) -> bool:
        """Whether the request may go to an ejected engine: as its only, repeatable, trial request."""
        if engine.in_flight or self._context.now < engine.next_trial_at:
            return False
        return request.class_settings.idempotency is not Idempotency.NOT_IDEMPOTENT

    def record_send(self, engine: Engine) -> None:
        """An attempt was sent: the trial request where the engine is ejected."""
        if engine.ejected:
            engine.next_trial_at = self._context.now + TRIAL_INTERVAL

    def record_answer(self, engine: Engine) -> None:
        """The engine answered: it is readmitted where it was ejected."""
        engine.error_rate += EWMA_WEIGHT * (0 - engine.error_rate)
        engine.last_activity_at, engine.consecutive_resets = self._context.now, 0
        if engine.ejected:
            engine.ejected, engine.error_rate = False, min(engine.error_rate, ERROR_LIMIT / 2)
            self._context.actions.append(Log(f"engine {engine.id:x} answers again"))

    def record_error(self, engine: Engine) -> None:
        """The engine answered an error.

        Guards against an engine that answers errors at once, and so has the fewest queries in flight and
        attracts the most. Errors at all engines are taken to be the queries' fault.
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
        """A connection to the engine was refused or reset.

        A process that has ended resets all its connections and refuses new ones: it is ejected until it
        answers, and begins a slow start where it refused one. Single resets are taken to be the network's
        fault.
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
        """Answers are missing at the engine, as a multiple of their expected latencies.

        Guards against an engine that takes work and answers nothing, whatever the reason. Expected latencies
        follow the answers of all engines, so that slowness everywhere ejects none, and others must have
        answered meanwhile. The price: an engine that is far slower than all others is ejected as well.
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
        """Whether at most half of the engines would be ejected with one more."""
        ready = self._registry.ready
        return 2 * (sum(engine.ejected for engine in ready) + 1) <= len(ready)

    def _eject(self, engine: Engine, observation: str) -> None:
        engine.ejected, engine.next_trial_at = True, self._context.now + TRIAL_INTERVAL
        self._context.actions.append(Log(f"engine {engine.id:x} {observation}"))
