"""The state of one request: it is owed an answer, or has an attempt in flight."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cypressledge.decisions.contract import ClassSettings, RequestReceived

if TYPE_CHECKING:
    from cypressledge.decisions.engines import Engine


@dataclass(frozen=True, slots=True)
class PossibleExecution:
    """An attempt that ended without an answer, or with an error: the engine may have executed it."""

    started_at: int  # µs
    engine: Engine


@dataclass(slots=True, eq=False)
class Request:
    """State of one request, compared by identity; times and spans are in µs."""

    id: int
    class_index: int
    class_settings: ClassSettings
    received_at: int
    deadline: int  # the client waits no longer
    key: int  # ordering or deduplication key; 0: none
    table_group: int  # the tables that the request reads or loads
    estimated_cost: int  # µs of work as the client or broker estimates it; 0: no estimate
    cost: float  # µs of work, corrected by what such requests turned out to cost
    run_time: float  # µs, the cost over the threads that it runs on
    memory_mb: float  # estimated; 0: no estimate
    subqueue_id: int  # row of the class's queue: its group where loads can block it, else 0
    objective_at: int  # end of the latency objective
    attempts: int = 0  # attempts started
    engine: Engine | None = None  # where an attempt runs
    sent_at: int = 0  # start of the last attempt
    last_activity_at: int = 0  # start of the attempt, or its last progress notification
    reserved_memory_mb: float = 0.0  # counted against the engine while the attempt runs
    resources: tuple[float, int] | None = None  # grant in MB and priority, as last set
    first_possible_execution: PossibleExecution | None = None
    avoided_engine: Engine | None = None  # engine of the last attempt that failed
    queued: bool = False  # it waits in its class's queue
    finished: bool = False  # nothing more is owed to the client
    cancelling: bool = False  # the attempt was cancelled; its AttemptEnded is still to arrive
    blocked: bool = False  # the attempt waits at the engine, by its last progress notification
    response_lost: bool = False  # the response to the attempt in flight will not arrive

    @property
    def last_attempt(self) -> int:
        """Number of the last attempt that was started; the first has 0, -1: none."""
        return self.attempts - 1


def new_request(received: RequestReceived, class_settings: ClassSettings, now: int, cost: float) -> Request:
    """The state of a request that arrives at `now`, with its corrected cost in µs of work."""
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
