"""Load reports of engines, which cover the work of all brokers."""

from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.contract import AttemptEnded
from cypressledge.decisions.engines import Engine
from cypressledge.decisions.request import Request
from cypressledge.decisions.units import EWMA_WEIGHT

INITIAL_LOAD = 0.5  # threads per core; mean and spread before the first reports


class LoadReports:
    """Mean and spread of the reported loads, in threads per core."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.mean_load = INITIAL_LOAD
        self.load_spread = INITIAL_LOAD  # mean absolute deviation of a report from the mean
        self._latency_sum = 0.0  # µs; decayed sum of latencies
        self._thread_time_sum = 0.0  # µs; decayed sum of latency times threads

    def record_answer(self, engine: Engine, request: Request, ended: AttemptEnded) -> None:
        """Update an engine's load from the report in its answer, if there is one.

        The load is the busy fraction of its cores plus the threads per core beyond them.
        """
        threads = request.class_settings.threads
        self._latency_sum += ended.latency - EWMA_WEIGHT * self._latency_sum
        self._thread_time_sum += ended.latency * threads - EWMA_WEIGHT * self._thread_time_sum
        if not ended.load_report:
            return
        fields = self._context.settings.load_report_fields
        report = dict(zip(fields, ended.load_report, strict=False))
        load_per_query = self._thread_time_sum / max(self._latency_sum, 1.0) / engine.cores
        queued_load = load_per_query * report.get("queue", 0.0)
        excess_load = max(load_per_query * report.get("inflight", 0.0) - 1.0, 0.0)
        load = report.get("util", 0.0) + (queued_load + excess_load)
        engine.reported_load, engine.reported_at = load, self._context.now
        self.load_spread += EWMA_WEIGHT * (abs(load - self.mean_load) - self.load_spread)
        self.mean_load += EWMA_WEIGHT * (load - self.mean_load)
