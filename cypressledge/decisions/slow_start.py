"""Slow start: the budget of work that all brokers together send to a warming or ejected engine."""

from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.engines import Engine
from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.rank_hash import HASH_RANGE, rank_hash
from cypressledge.decisions.request import Request

FEW_REQUESTS = 8  # a budget for up to this many requests is small; a class with fewer answers is unknown
SAFETY_FACTOR = 0.6  # fraction of the budget that is used, as engine speed and spread of work are unknown
RECENT_SENDS_MAX = 400  # sends that are remembered for each engine


class SlowStart:
    """This broker's share of the budgets of engines that are warming up or ejected."""

    def __init__(self, context: DecisionContext, estimates: ClassEstimates) -> None:
        self._context = context
        self._estimates = estimates

    def restart(self, engine: Engine) -> None:
        """Begin a slow start now, because the engine's process has exited."""
        engine.warm_at = self._context.now + self._context.settings.slow_start_window

    def record_send(self, engine: Engine, request: Request) -> None:
        """Count an attempt that is sent to the engine; rejected attempts count as well."""
        work = self._estimates.work[request.class_index]
        engine.recent_sends.append((self._context.now, work))
        engine.recent_work += work
        if len(engine.recent_sends) > RECENT_SENDS_MAX:
            engine.recent_work -= engine.recent_sends.popleft()[1]

    def has_budget(self, engine: Engine, class_index: int) -> bool:
        """Return whether this broker's share of the engine's budget covers one more request of the class.

        A share of less than one request is used as the probability of sending one, so that all brokers
        together send about the budget. If the budget of all brokers covers at most `FEW_REQUESTS` requests
        of the class, a full share is required instead.
        """
        now = self._context.now
        if now >= engine.warm_at and not engine.ejected:
            return True
        settings = self._context.settings
        window = max(settings.overload_window, 1)
        work = self._work_to_count(class_index)
        _drop_sends_before(engine, now - window - settings.timer_resolution)
        capacity = settings.overload_multiple * settings.slow_start_capacity * engine.cores
        budget = capacity * window * SAFETY_FACTOR
        if work * FEW_REQUESTS < budget:
            # The hash is a new draw for each window; the windows of the brokers are staggered.
            window_number = (now + settings.broker_index * window // settings.broker_count) // window
            work *= rank_hash(settings.broker_index + window_number, engine.id) / HASH_RANGE
        return engine.recent_work + work <= budget / settings.broker_count

    def _work_to_count(self, class_index: int) -> float:
        """Return the work in µs that a request of the class counts as.

        It is the class's mean work. With few answers and no cost estimates, it is at least the work that its
        threads do within the latency objective.
        """
        estimates, class_settings = self._estimates, self._context.settings.classes[class_index]
        is_unknown = estimates.answer_counts[class_index] < FEW_REQUESTS and not estimates.has_cost_estimates
        allowed = is_unknown * class_settings.latency_objective * class_settings.threads
        return max(estimates.work[class_index], allowed)


def _drop_sends_before(engine: Engine, oldest: int) -> None:
    """Remove sends before the time `oldest`, µs, from the engine's recent sends and recent work."""
    sends = engine.recent_sends
    while sends and sends[0][0] < oldest:
        engine.recent_work -= sends.popleft()[1]
