"""Admission check for sending a request to an engine: its health, slow start and concurrency limits."""

from cypressledge.decisions.concurrency_limits import ConcurrencyLimits
from cypressledge.decisions.engines import Engine
from cypressledge.decisions.health import HealthMonitor
from cypressledge.decisions.request import Request
from cypressledge.decisions.slow_start import SlowStart


class EngineAdmission:
    """Combines the checks of an engine whose results change with every attempt."""

    def __init__(self, health: HealthMonitor, slow_start: SlowStart, limits: ConcurrencyLimits) -> None:
        self._health = health
        self._slow_start = slow_start
        self._limits = limits

    def admits(self, engine: Engine, request: Request, allowance: float) -> bool:
        """Return whether the request may be sent to the engine; `allowance` as in `ConcurrencyLimits`.

        The order matters: the concurrency limits are checked last because they record that a request waited
        for them, which must count only if nothing else excludes the engine.
        """
        if engine.ejected and not self._health.allows_trial(engine, request):
            return False
        if not self._slow_start.has_budget(engine, request.class_index):
            return False
        return self._limits.engine_has_capacity(engine, request, allowance)

    def record_attempt(self, engine: Engine, request: Request) -> None:
        """Count an attempt that starts at the engine in all three checks."""
        self._limits.reserve(engine, request)
        self._slow_start.record_send(engine, request)
        self._health.record_send(engine)
