"""The pace of the fleet and of each engine: slowdowns measured on recent answers, and answers a second."""

from cypressledge.decisions.engines import Engine, EngineRegistry
from cypressledge.decisions.estimates import LATENCY_RATIO_LIMIT, RUN_TIME_MIN, ClassEstimates
from cypressledge.decisions.units import EWMA_WEIGHT, MS, SECOND

CONTROL_PERIOD = 2_000 * MS  # sampling period of the PI loop, the bounds and the answer rate (design page)
OVERLOAD_SLOWDOWN = 1.5  # slowdown from which a bound binds
PERIOD_DECAY = 0.7  # weight that old answers keep from period to period in slowdowns
SLOWDOWN_MIN = 0.5  # least slowdown of one engine


class FleetPace:
    """How much longer answers take than their work would take by itself, over all engines."""

    def __init__(self, registry: EngineRegistry, estimates: ClassEstimates) -> None:
        self._registry = registry
        self._estimates = estimates
        self.slowdown = 1.0
        self.latency_sum = 0.0  # µs, faded
        self.run_time_sum = 0.0  # µs, faded
        self.answer_rate = 1.0  # answers a second, running mean
        self.answer_count = 0  # in this control period

    def record_answer(self, engine: Engine, latency: int, run_time: float) -> None:
        """An engine answered after `latency` µs a request whose work takes `run_time` µs by itself."""
        self.answer_count += 1
        for totals in (engine, self):
            totals.latency_sum += (
                min(latency, LATENCY_RATIO_LIMIT * run_time) - EWMA_WEIGHT * totals.latency_sum
            )
            totals.run_time_sum += run_time - EWMA_WEIGHT * totals.run_time_sum
        self._update(engine)

    def end_period(self) -> None:
        """Fade the answers of earlier periods, and update the answer rate."""
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
        """Work out the fleet's slowdown and an engine's.

        With few answers each is drawn to a prior, which weighs as much as one request of mean run time: 1.0
        for the fleet, the fleet's slowdown for the engine.
        """
        prior = max(self._estimates.mean_run_time, RUN_TIME_MIN)
        self.slowdown = (self.latency_sum + prior) / (self.run_time_sum + prior)
        slowdown = (engine.latency_sum + prior * self.slowdown) / (engine.run_time_sum + prior)
        engine.slowdown = max(slowdown, SLOWDOWN_MIN)
