"""Engines as this broker knows them, and the registry of those in the engine list."""

from collections import deque
from dataclasses import dataclass, field

from cypressledge.decisions.context import DecisionContext
from cypressledge.decisions.contract import EngineListEntry, EngineListKind, EngineListReceived, EngineState
from cypressledge.decisions.request import Request

THREADS_PER_CORE = 2.0  # threads per core of the initial concurrency bound (design page)


@dataclass(slots=True, eq=False)
class Engine:
    """State of one engine, compared by identity; times and durations are in µs.

    The fields are in one flat object because routing reads most of them for every request. The comments name
    the modules that change each group of fields.
    """

    # Entry in the engine list (EngineRegistry).
    id: int
    started_at: int  # start of its process; 0: unknown, taken as long ago
    state: EngineState
    kind: int
    zone: int
    cell: int
    cores: int
    memory_mb: float  # 0: not known

    # Bound on the threads in flight (concurrency_limits).
    initial_bound: float  # threads; this broker's share of the engine's initial bound
    bound: float  # threads that this broker may have in flight at the engine under pressure
    objectives_met: int = 0  # answers that met their latency objective in this control period
    objectives_missed: int = 0  # answers that missed it in this control period
    requests_waited: bool = False  # whether a request waited for a thread limit in this period

    # Work in flight (dispatch, outcomes, concurrency_limits).
    in_flight: dict[int, Request] = field(default_factory=dict)  # requests with an attempt here, by id
    threads: int = 0  # threads of the attempts in flight
    reserved_memory_mb: float = 0.0  # memory reserved for the attempts in flight

    # Slowdown (pace, inspection; the registry resets the slowdown of a restarted engine).
    slowdown: float = 1.0  # latency over run time of recent answers
    overdue_ratio: float = 1.0  # age over run time of the attempts in flight
    latency_sum: float = 0.0  # µs; decayed sum of the latencies of recent answers
    run_time_sum: float = 0.0  # µs; decayed sum of the run times of the same answers

    # Health (health, progress; the registry readmits a restarted engine).
    last_activity_at: int = 0  # time of the last answer or progress notification
    ejected: bool = False  # whether it gets only single trial requests
    next_trial_at: int = 0  # earliest time of the next trial request
    error_rate: float = 0.0  # errors as a fraction of its answers, running mean
    consecutive_resets: int = 0  # broken or refused connections since the last answer

    # Rejections (concurrency_limits).
    rejected_until: int = 0  # end of the pressure that its last rejection causes
    threads_at_rejection: int = 0  # threads in flight at its last rejection, or the most at an answer since
    next_capacity_probe_at: int = 0  # earliest time of the next attempt beyond threads_at_rejection

    # Slow start (slow_start, and the registry from the engine's start).
    warm_at: int = 0  # end of the slow start
    recent_sends: deque[tuple[int, float]] = field(default_factory=deque)  # time and work, both in µs
    recent_work: float = 0.0  # µs; sum of the work of recent sends

    # Load reports (load_reports).
    reported_load: float = 0.0  # threads per core, by its last load report
    reported_at: int = 0  # time of its last load report; 0: none yet

    # Loads that lock table groups (dispatch, outcomes, progress).
    loads_in_flight: dict[int, int] = field(default_factory=dict)  # number of this broker's loads, by group
    blocked_until: dict[int, int] = field(default_factory=dict)  # by group; assumed end of a block by a load


class EngineRegistry:
    """All known engines by id, and the ready ones in order of their ids."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.engines: dict[int, Engine] = {}
        self.ready: list[Engine] = []

    def update(self, received: EngineListReceived) -> None:
        """Apply an engine list; removed engines stay registered while they have attempts in flight."""
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
