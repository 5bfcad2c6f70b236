"""Slowdowns of the fleet and of each engine, computed from recent answers, and the rate of answers."""

from cypressledge.decisions.engines import Engine, EngineRegistry
from cypressledge.decisions.estimates import LATENCY_RATIO_LIMIT, RUN_TIME_MIN, ClassEstimates
from cypressledge.decisions.units import EWMA_WEIGHT, MS, SECOND

CONTROL_PERIOD = 2_000 * MS  # µs; sampling period of the PI loop, bounds and answer rate (design page)
OVERLOAD_SLOWDOWN = 1.5  # slowdown above which bounds are enforced and late requests are not served
PERIOD_DECAY = 0.7  # factor on the sums of old answers at the end of each control period
SLOWDOWN_MIN = 0.5  # smallest slowdown of one engine


class FleetPace:
    """Slowdown of the fleet: the latency of answers over the run time of their work, over all engines."""

    def __init__(self, registry: EngineRegistry, estimates: ClassEstimates) -> None:
        self._registry = registry
        self._estimates = estimates
        self.slowdown = 1.0
        self.latency_sum = 0.0  # µs; decayed sum of the latencies of recent answers
        self.run_time_sum = 0.0  # µs; decayed sum of the run times of the same answers
        self.answer_rate = 1.0  # answers per second, running mean
        self.answer_count = 0  # answers in this control period

    def record_answer(self, engine: Engine, latency: int, run_time: float) -> None:
        """Record an answer after `latency` µs; the work takes `run_time` µs on an idle engine."""
        self.answer_count += 1
        for totals in (engine, self):
            totals.latency_sum += (
                min(latency, LATENCY_RATIO_LIMIT * run_time) - EWMA_WEIGHT * totals.latency_sum
            )
            totals.run_time_sum += run_time - EWMA_WEIGHT * totals.run_time_sum
        self._update(engine)

    def end_period(self) -> None:
        """Decay the sums of earlier answers, and update the answer rate."""
        self.answer_rate = (self.answer_rate + self.answer_count * SECOND / CONTROL_PERIOD) / 2
        self.answer_count = 0
        self.latency_sum, self.run_time_sum = (
            self.latency_sum * PERIOD_DECAY,
            self.run_time_sum * PERIOD_DECAY,
        )
        for engine in self._registry.engines.values():
            engine.latency_sum, engine.run_time_sum = (
                engine.latency_sum * PERIOD_DECAY,
                engine.run_time_sum * PERIOD_DECAY,
            )
            self._update(engine)

    def _update(self, engine: Engine) -> None:
        """Compute the slowdowns of the fleet and of an engine.

        Each is averaged with a prior that has the weight of one request of mean run time, which dominates
        while there are few answers: 1.0 for the fleet, and the fleet's slowdown for the engine.
        """
        prior = max(self._estimates.mean_run_time, RUN_TIME_MIN)
        self.slowdown = (self.latency_sum + prior) / (self.run_time_sum + prior)
        slowdown = (engine.latency_sum + prior * self.slowdown) / (engine.run_time_sum + prior)
        engine.slowdown = max(slowdown, SLOWDOWN_MIN)
