"""Engines as this broker knows them, and the registry of those in the engine list."""

from collections import deque
from dataclasses import dataclass, field

from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.contract import EngineListEntry, EngineListKind, EngineListReceived, EngineState
from cypressledge.decisions.request import Request

THREADS_PER_CORE = 2.0  # threads a core of the initial concurrency bound (design page)


@dataclass(slots=True, eq=False)
class Engine:
    """State of one engine, compared by identity; times and spans are in µs.

    One flat object, since routing reads most of its fields for every request. The comments name the modules
    that change each group of fields.
    """

    # The engine list (EngineRegistry).
    id: int
    started_at: int  # of its process; 0: unknown, and long ago
    state: EngineState
    kind: int
    zone: int
    cell: int
    cores: int
    memory_mb: float  # 0: not known

    # Bound on the threads in flight (concurrency_limits).
    initial_bound: float  # threads: this broker's share of the bound that all start with
    bound: float  # threads that this broker may have in flight there under pressure
    objectives_met: int = 0  # answers of this control period
    objectives_missed: int = 0
    requests_waited: bool = False  # a request waited for the bound in this control period

    # Work in flight (dispatch, outcomes, concurrency_limits).
    in_flight: dict[int, Request] = field(default_factory=dict)  # attempts without an outcome, by request
    threads: int = 0  # of the attempts in flight
    reserved_memory_mb: float = 0.0  # of the attempts in flight

    # Pace (pace, inspection; the registry resets the slowdown of a restarted engine).
    slowdown: float = 1.0  # latency over run time of recent answers
    overdue_ratio: float = 1.0  # age over run time of the attempts in flight
    latency_sum: float = 0.0  # µs, faded: latencies of recent answers
    run_time_sum: float = 0.0  # µs, faded: run times of the same answers

    # Health (health, progress; the registry readmits a restarted engine).
    last_activity_at: int = 0  # last answer or progress notification
    ejected: bool = False  # only single trial requests go there
    next_trial_at: int = 0
    error_rate: float = 0.0  # running mean
    consecutive_resets: int = 0

    # Rejections (concurrency_limits).
    rejected_until: int = 0  # a rejection counts as pressure until then
    threads_at_rejection: int = 0  # in flight when it last rejected, or more that it has answered under since
    next_capacity_probe_at: int = 0  # next attempt beyond those threads

    # Slow start (slow_start, and the registry from the engine's start).
    warm_at: int = 0  # end of the slow start
    recent_sends: deque[tuple[int, float]] = field(default_factory=deque)  # time and work, both in µs
    recent_work: float = 0.0  # µs, sum of the work of recent sends

    # Load reports (load_reports).
    reported_load: float = 0.0  # threads a core, by its last load report
    reported_at: int = 0

    # Loads that lock table groups (dispatch, outcomes, progress).
    loads_in_flight: dict[int, int] = field(default_factory=dict)  # by group: this broker's own loads
    blocked_until: dict[int, int] = field(default_factory=dict)  # by group: a load was reported there


class EngineRegistry:
    """All known engines by id, and those that take requests in order of their ids."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.engines: dict[int, Engine] = {}
        self.ready: list[Engine] = []

    def update(self, received: EngineListReceived) -> None:
        """Apply an engine list; removed engines stay known while attempts are in flight there."""
        for entry in received.entries:
            self._update_entry(entry)
        if received.kind is not EngineListKind.DELTA:
            listed = {entry.engine for entry in received.entries}
            for engine in self.engines.values():
                if engine.id not in listed:
                    engine.state = EngineState.REMOVED
        self.engines = {
            engine_id: engine
            for engine_id, engine in self.engines.items()
            if engine.state is not EngineState.REMOVED or engine.in_flight
        }
        self.ready = [
            self.engines[engine_id]
            for engine_id in sorted(self.engines)
            if self.engines[engine_id].state is EngineState.READY
        ]

    def _update_entry(self, entry: EngineListEntry) -> None:
        engine = self.engines.get(entry.engine)
        if engine is None:
            engine = self.engines[entry.engine] = self._new_engine(entry)
        elif entry.started_at > engine.started_at:
            engine.slowdown, engine.ejected = 1.0, False
        engine.state, engine.started_at = entry.state, entry.started_at
        engine.kind, engine.zone = entry.kind, entry.zone
        if entry.started_at:
            engine.warm_at = max(engine.warm_at, entry.started_at + self._context.settings.slow_start_window)

    def _new_engine(self, entry: EngineListEntry) -> Engine:
        settings = self._context.settings
        cores = settings.kind_cores[entry.kind]
        memory_mb = settings.kind_memory_mb[entry.kind] if settings.kind_memory_mb else 0.0
        bound = THREADS_PER_CORE * cores / settings.broker_count
        return Engine(
            id=entry.engine,
            started_at=entry.started_at,
            state=entry.state,
            kind=entry.kind,
            zone=entry.zone,
            cell=entry.cell,
            cores=cores,
            memory_mb=memory_mb,
            initial_bound=bound,
            bound=bound,
        )
