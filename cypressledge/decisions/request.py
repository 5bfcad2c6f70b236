"""State of one request, kept while it needs an answer or has an attempt in flight."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cypressledge.decisions.contract import ClassSettings, RequestReceived

if TYPE_CHECKING:
    from cypressledge.decisions.engines import Engine


@dataclass(frozen=True, slots=True)
class PossibleExecution:
    """An attempt that the engine may have executed: it ended with an error or without an answer."""

    started_at: int  # µs; time at which the attempt was sent
    engine: Engine


@dataclass(slots=True, eq=False)
class Request:
    """State of one request, compared by identity; times and durations are in µs."""

    id: int
    class_index: int
    class_settings: ClassSettings
    received_at: int
    deadline: int  # time at which the client gives up
    key: int  # ordering or deduplication key; 0: none
    table_group: int  # group of the tables that the request reads or loads
    estimated_cost: int  # µs; work as estimated by the client or broker; 0: no estimate
    cost: float  # µs; work, corrected by the actual work of such requests
    run_time: float  # µs; cost divided by the threads that the request uses
    memory_mb: float  # estimated need; 0: no estimate
    subqueue_id: int  # table group if loads can block the request or it is a load, else 0
    objective_at: int  # end of the latency objective
    attempts: int = 0  # number of attempts started
    engine: Engine | None = None  # engine of the attempt in flight
    sent_at: int = 0  # start of the last attempt
    last_activity_at: int = 0  # start of the attempt, or its last progress notification
    reserved_memory_mb: float = 0.0  # memory counted against the engine during the attempt
    resources: tuple[float, int] | None = None  # memory grant in MB and priority, as last set
    first_possible_execution: PossibleExecution | None = None
    avoided_engine: Engine | None = None  # engine of the last attempt that failed
    queued: bool = False  # whether the request waits in its class's queue
    finished: bool = False  # whether the client needs no further answer
    cancelling: bool = False  # whether the attempt was cancelled and its AttemptEnded has not arrived
    blocked: bool = False  # whether the attempt waits at the engine, by its last progress notification
    response_lost: bool = False  # whether the response to the attempt in flight counts as lost

    @property
    def last_attempt(self) -> int:
        """Number of the last attempt that was started; the first has 0; -1: no attempt yet."""
        return self.attempts - 1


def new_request(received: RequestReceived, class_settings: ClassSettings, now: int, cost: float) -> Request:
    """Return the state of a request that arrives at `now`, µs; `cost` is its corrected work in µs."""
    run_time = cost / class_settings.threads
    objective = class_settings.latency_objective + int(class_settings.latency_objective_stretch * run_time)
    has_subqueue = class_settings.blocked_by_loads or class_settings.is_load
    return Request(
        id=received.request,
        class_index=received.class_index,
        class_settings=class_settings,
        received_at=now,
        deadline=received.deadline,
        key=received.key,
        table_group=received.table_group,
        estimated_cost=received.cost,
        cost=cost,
        run_time=run_time,
        memory_mb=received.memory_mb,
        subqueue_id=received.table_group if has_subqueue else 0,
        objective_at=now + min(objective, class_settings.deadline),
    )
