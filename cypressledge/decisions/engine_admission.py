"""Whether an engine may be sent a request now: its health, its slow start and its concurrency limits."""

from cypressledge.decisions.concurrency_limits import ConcurrencyLimits
from cypressledge.decisions.engines import Engine
from cypressledge.decisions.health import HealthMonitor
from cypressledge.decisions.request import Request
from cypressledge.decisions.slow_start import SlowStart


class EngineAdmission:
    """Combines the limits of an engine that change with every attempt."""

    def __init__(self, health: HealthMonitor, slow_start: SlowStart, limits: ConcurrencyLimits) -> None:
        self._health = health
        self._slow_start = slow_start
        self._limits = limits

    def admits(self, engine: Engine, request: Request, allowance: float) -> bool:
        """Whether the engine may be sent the request; `allowance` as in `ConcurrencyLimits`.

        The order matters: the limits come last, as they mark an engine that only they keep a request from.
        """
        if engine.ejected and not self._health.allows_trial(engine, request):
            return False
        if not self._slow_start.has_budget(engine, request.class_index):
            return False
        return self._limits.engine_has_capacity(engine, request, allowance)

    def record_attempt(self, engine: Engine, request: Request) -> None:
        """An attempt starts: count it."""
        self._limits.reserve(engine, request)
        self._slow_start.record_send(engine, request)
        self._health.record_send(engine)
