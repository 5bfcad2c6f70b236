"""The pace of the fleet and of each engine: slowdowns as answers tell them, and answers a second."""

from cypressledge.decisions.engines import Engine, EngineRegistry
from cypressledge.decisions.estimates import ClassEstimates
from cypressledge.decisions.units import EWMA, MS, SECOND

CONTROL_PERIOD = 2_000 * MS  # sampling period of the PI loop, the bounds and the answer rate (design page)
OVERLOAD_SLOWDOWN = 1.5  # slowdown over the work's own time from which a bound binds
FADE = 0.7  # weight that old answers keep from period to period in slowdowns
LATENCY_LIMIT = 20.0  # multiple of the run time as which a longer latency counts
SLOWDOWN_MIN = 0.5  # of one engine


class FleetPace:
    """How much longer answers take than the work's own time, over the whole fleet."""

    def __init__(self, registry: EngineRegistry, estimates: ClassEstimates) -> None:
        self._registry = registry
        self._estimates = estimates
        self.slowdown = 1.0
        self.latency_sum = 0.0  # µs, faded
        self.run_time_sum = 0.0  # µs, faded
        self.answer_rate = 1.0  # answers a second, running mean
        self.answer_count = 0  # in this period

    def record_answer(self, engine: Engine, latency: int, run_time: float) -> None:
        """An engine answered after this latency what runs this long by itself, both in µs."""
        self.answer_count += 1
        for pool in (engine, self):
            pool.latency_sum += min(latency, LATENCY_LIMIT * run_time) - EWMA * pool.latency_sum
            pool.run_time_sum += run_time - EWMA * pool.run_time_sum
        self._update(engine)

    def end_period(self) -> None:
        """Fade what answers of the period before told."""
        self.answer_rate = (self.answer_rate + self.answer_count * SECOND / CONTROL_PERIOD) / 2
        self.answer_count = 0
        self.latency_sum, self.run_time_sum = self.latency_sum * FADE, self.run_time_sum * FADE
        for engine in self._registry.engines.values():
            engine.latency_sum, engine.run_time_sum = engine.latency_sum * FADE, engine.run_time_sum * FADE
            self._update(engine)

    def _update(self, engine: Engine) -> None:
        """Slowdowns: an engine's answers beside one at the pace of all, those beside one without delay."""
        one = max(self._estimates.mean_run_time, 1.0)
        self.slowdown = (self.latency_sum + one) / (self.run_time_sum + one)
        slowdown = (engine.latency_sum + one * self.slowdown) / (engine.run_time_sum + one)
        engine.slowdown = max(slowdown, SLOWDOWN_MIN)
