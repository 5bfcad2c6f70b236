"""Interface of the decision logic: its settings, the events it handles and the actions it returns.

All times are integer microseconds of one monotonic clock, and all durations are integer microseconds. Engines
and requests are identified by opaque integers, table groups and ordering keys by hashes.
"""

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum


class Idempotency(IntEnum):
    """Whether a request of a class may safely be executed more than once."""

    IDEMPOTENT = 0
    WITH_KEY = 1  # engines drop duplicates with the same idempotency key within a time window
    NOT_IDEMPOTENT = 2


class DeduplicationScope(IntEnum):
    """The engines that drop a duplicate of a request that one of them has executed."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Outcome(IntEnum):
    """How an attempt ended; the values are the codes of the simulator's wire protocol."""

    OK = 0
    NOT_SENT = 249  # the attempt never left this broker
    CANCELLED = 250
    RESET = 251  # the connection broke; the engine may have executed the request
    CONNECT_FAILED = 252
    TIMEOUT = 253
    REJECTED = 254  # the engine has no free session
    ERROR = 255


NEVER_EXECUTED = frozenset((Outcome.NOT_SENT, Outcome.CONNECT_FAILED, Outcome.REJECTED))


class Reason(StrEnum):
    """Why a request ends without a result or an attempt is cancelled; used in logs and counters."""

    UNKNOWN = "unknown"
    SHUTTING_DOWN = "shutting-down"
    DEADLINE = "deadline"  # the attempt is still in flight at the client's deadline
    NO_CAPACITY = "no-capacity"  # the request waited for an engine until its deadline
    OBJECTIVE_MISSED = "objective-missed"  # can neither meet its latency objective nor be served late
    ATTEMPTS_USED = "attempts-used"
    NO_TIME = "no-time-for-retry"
    RETRY_BUDGET = "retry-budget"
    DEDUPLICATION_WINDOW_OVER = "deduplication-window-over"
    MAY_HAVE_EXECUTED = "may-have-executed"
    RUNAWAY = "runaway"  # the attempt would run far longer than a new one
    BEHIND_LOAD = "behind-load"
    ENGINE_SILENT = "engine-silent"
    RESPONSE_LOST = "response-lost"
    REQUEST_FINISHED = "request-finished"  # the client disconnected or has its final answer


class EngineListKind(IntEnum):
    """Kind of an update of the engine list."""

    DELTA = 0  # changed entries only
    FULL = 1
    CACHED = 2  # the list that the process started with
    FAILED = 3  # the list could not be fetched


class EngineState(IntEnum):
    """State of a listed engine."""

    REMOVED = 0
    DRAINING = 1
    READY = 2


class ProgressKind(IntEnum):
    """Kind of a progress notification of an attempt in flight."""

    PROGRESS = 1  # value: the fraction done, 0 to 1
    SPILLING = 2  # value: megabytes of memory that the attempt lacks
    WAITING = 3  # value: 1 for memory, WAITS_FOR_LOAD for a load


WAITS_FOR_LOAD = 2.0  # value of a WAITING notification whose attempt waits for a load


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """Settings of one class of requests."""

    latency_objective: int  # µs; requests answered later have late_priority_weight
    deadline: int  # µs; time after which clients of this class give up
    priority_weight: float = 1.0  # weight of requests answered within the latency objective
    late_priority_weight: float = 0.0  # weight of requests answered later
    latency_objective_stretch: float = 0.0  # multiple of the run time that is added to the objective
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: int = 0  # µs; time during which engines drop duplicates
    ordered: bool = False  # whether requests with the same ordering key run one after the other
    threads: int = 1  # threads that a request uses at an engine
    is_load: bool = False  # whether requests lock their table group at their engine until they end
    blocked_by_loads: bool = False  # whether requests are blocked while a load locks their table group
    required_kinds: frozenset[int] | None = None  # engine kinds that may run the requests; None: all
    required_zones: frozenset[int] | None = None  # zones whose engines may run the requests; None: all


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a workload manager.

    Raises `ValueError` with the field's name for a value out of range.
    """

    classes: tuple[ClassSettings, ...]  # indexed by class_index
    kind_cores: tuple[int, ...]  # cores of an engine, by kind
    timer_resolution: int  # µs; time between two rounds of decisions
    broker_index: int = 0  # index of this broker, below broker_count
    broker_count: int = 1  # brokers that share the engines
    supports_memory_grants: bool = False  # whether engines accept memory grants
    supports_priorities: bool = False  # whether engines accept priorities
    reports_cost: bool = False  # whether answers report the work and the memory that a request took
    kind_memory_mb: tuple[float, ...] = ()  # memory of an engine, by kind; empty: not known
    max_memory_grant: float = 1.0  # fraction of an engine's memory
    supports_cancel: bool = False  # whether engines can cancel attempts
    max_attempts: int = 1  # attempts of a request, including the first
    list_on_request: bool = False  # whether the engine list is sent to subscribers only
    slow_start_capacity: float = 1.0  # fraction of its capacity that an engine has when it starts
    slow_start_window: int = 0  # µs; time until a started engine has its full capacity
    # Multiple of its capacity; a starting engine fails under that much work within overload_window.
    overload_multiple: float = 0.0
    overload_window: int = 0  # µs
    ordering_key_cooldown: int = 0  # µs; time between an uncertain outcome and the key's next request
    load_report_fields: tuple[str, ...] = ()  # names of the values in a load report, in order
    retry_budget_ratio: float | None = None  # retries per request received in the window; None: no budget
    retry_budget_floor: float = 0.0  # retries allowed in any window
    retry_budget_window: int = 0  # µs
    max_send_delay: int = 0  # µs; longest time from a decision to the send, at which the budget counts
    progress_interval: int = 0  # µs; time between progress notifications; 0: there are none

    def __post_init__(self) -> None:
        valid = {
            "classes": len(self.classes) > 0
            and all(
                class_settings.latency_objective > 0
                and class_settings.deadline > 0
                and class_settings.threads > 0
                and class_settings.latency_objective_stretch >= 0
                for class_settings in self.classes
            ),
            "kind_cores": len(self.kind_cores) > 0 and all(cores > 0 for cores in self.kind_cores),
            "kind_memory_mb": all(memory_mb > 0 for memory_mb in self.kind_memory_mb),
            "timer_resolution": self.timer_resolution > 0,
            "broker_index": self.broker_index >= 0,
            "broker_count": self.broker_count > 0,
            "max_attempts": self.max_attempts > 0,
            "slow_start_capacity": 0 < self.slow_start_capacity <= 1,
            "slow_start_window": self.slow_start_window >= 0,
            "overload_multiple": self.overload_multiple >= 0,
            "overload_window": self.overload_window >= 0,
            "ordering_key_cooldown": self.ordering_key_cooldown >= 0,
            "retry_budget_ratio": self.retry_budget_ratio is None or self.retry_budget_ratio >= 0,
        }
        for name, is_valid in valid.items():
            if not is_valid:
                raise ValueError(f"setting {name} is out of range: {getattr(self, name)!r}")


@dataclass(frozen=True, slots=True)
class EngineListEntry:
    """Entry of one engine in an engine list."""

    engine: int
    state: EngineState
    kind: int
    zone: int
    cell: int
    started_at: int  # µs; start of the engine's process; 0: unknown, taken as long ago


@dataclass(frozen=True, slots=True)
class EngineListReceived:
    """Event: the engine list or changes of it were received."""

    kind: EngineListKind
    entries: tuple[EngineListEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """Event: a request was received; it must get exactly one final answer before `deadline`."""

    request: int
    class_index: int
    deadline: int  # µs; time at which the client gives up
    key: int = 0  # ordering key; 0: none
    cost: int = 0  # µs; estimated work of all its threads; 0: not known
    memory_mb: float = 0.0  # estimated need; 0: not known
    table_group: int = 0  # the group of tables that it reads or writes
    is_client_retry: bool = False


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Event: an attempt ended. `final`: its request needs no further answer."""

    request: int
    attempt: int
    engine: int
    outcome: Outcome
    final: bool
    latency: int  # µs
    work: int = 0  # µs; work that the attempt took; 0: not reported
    memory_mb: float = 0.0  # memory that the attempt needed; 0: not reported
    load_report: tuple[float, ...] = ()  # in the order of Settings.load_report_fields


@dataclass(frozen=True, slots=True)
class AttemptProgress:
    """Event: a progress notification of an attempt in flight was received."""

    request: int
    attempt: int
    engine: int
    kind: ProgressKind
    value: float  # its meaning depends on `kind`


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """Event: the client of the request disconnected."""

    request: int


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """Event: the process is shutting down; every open request must be answered now."""


@dataclass(frozen=True, slots=True)
class TimerFired:
    """Event: the timer that was started with this token fired."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """Event: a health check of an engine ended."""

    engine: int
    outcome: Outcome
    latency: int
    load_report: tuple[float, ...] = ()


Event = (
    EngineListReceived
    | RequestReceived
    | AttemptEnded
    | AttemptProgress
    | ClientDisconnected
    | ShutdownStarted
    | TimerFired
    | HealthCheckEnded
)


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Action: send the request to an engine. A request's attempts are numbered from 0."""

    request: int
    engine: int
    timeout: int = 0  # µs; 0: until the client's deadline


@dataclass(frozen=True, slots=True)
class SetAttemptResources:
    """Action: set the memory grant of later attempts, and the priority with immediate effect."""

    request: int
    grant_mb: float  # 0: the engine decides
    priority: int  # 0 to 3; 3 is the highest


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Action: cancel one attempt; its `AttemptEnded` event still follows."""

    request: int
    attempt: int
    reason: Reason = field(default=Reason.UNKNOWN, compare=False)


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Action: reject the request; the client may safely retry it."""

    request: int
    reason: Reason = field(default=Reason.UNKNOWN, compare=False)


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Action: end the request with an error that doesn't tell whether the request was executed."""

    request: int
    reason: Reason = field(default=Reason.UNKNOWN, compare=False)


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Action: start a timer, which causes a `TimerFired` event with this token."""

    after: int  # µs; duration until the timer fires
    token: int = 0


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Action: subscribe to updates of the engine list."""


@dataclass(frozen=True, slots=True)
class Log:
    """Action: write a log line for the operators."""

    text: str = ""


Action = (
    StartAttempt
    | SetAttemptResources
    | CancelAttempt
    | RejectRequest
    | FailRequest
    | StartTimer
    | Subscribe
    | Log
)
