"""The contract of the decisions: the settings, the events they are given and the actions they answer with.

All times are integer microseconds of one monotonic clock, all spans integer microseconds. Engines and
requests are identified by opaque integers, table groups and ordering keys by hashes.
"""

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum


class Idempotency(IntEnum):
    """How safe it is to execute a request of a class more than once."""

    IDEMPOTENT = 0
    WITH_KEY = 1  # engines drop a duplicate of the same idempotency key within a window
    NOT_IDEMPOTENT = 2


class DeduplicationScope(IntEnum):
    """Which engines drop a duplicate of a request that one of them has executed."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Outcome(IntEnum):
    """How an attempt ended, in the codes of the simulator's wire."""

    OK = 0
    NOT_SENT = 249  # it never left this broker
    CANCELLED = 250
    RESET = 251  # the connection broke; the engine may have executed it
    CONNECT_FAILED = 252
    TIMEOUT = 253
    REJECTED = 254  # the engine has no free session
    ERROR = 255


NEVER_EXECUTED = frozenset((Outcome.NOT_SENT, Outcome.CONNECT_FAILED, Outcome.REJECTED))


class Reason(StrEnum):
    """Why a request ends without a result, or an attempt is cancelled: for logs and counters."""

    UNKNOWN = "unknown"
    SHUTTING_DOWN = "shutting-down"
    DEADLINE = "deadline"  # the attempt is still in flight at the client's deadline
    NO_CAPACITY = "no-capacity"  # it waited for an engine until its deadline
    OBJECTIVE_MISSED = "objective-missed"  # past its latency objective, and of no value any more
    ATTEMPTS_USED = "attempts-used"
    NO_TIME = "no-time-for-retry"
    RETRY_BUDGET = "retry-budget"
    DEDUPLICATION_WINDOW_OVER = "deduplication-window-over"
    MAY_HAVE_EXECUTED = "may-have-executed"
    RUNAWAY = "runaway"  # it runs far longer than a fresh attempt would
    BEHIND_LOAD = "behind-load"
    ENGINE_SILENT = "engine-silent"
    RESPONSE_LOST = "response-lost"
    REQUEST_FINISHED = "request-finished"  # the client disconnected, or has its answer


class EngineListKind(IntEnum):
    """What an update of the engine list holds."""

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
    """What a progress notification of an attempt in flight reports."""

    PROGRESS = 1  # value: the part done, 0 to 1
    SPILLING = 2  # value: megabytes of memory missing
    WAITING = 3  # value: 1 for memory, WAITS_FOR_LOAD for a load


WAITS_FOR_LOAD = 2.0


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """A class of requests, in the order of the settings."""

    latency_objective: int  # µs; what is answered later is worth late_priority_weight
    deadline: int  # µs after which clients of this class give up
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    latency_objective_stretch: float = 0.0  # the objective grows by this multiple of the run time
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: int = 0  # µs for which engines drop duplicates
    ordered: bool = False  # requests of one ordering key run one after the other
    threads: int = 1  # that a request runs on at an engine
    is_load: bool = False  # it locks its table group at its engine until it ends
    blocked_by_loads: bool = False  # it is blocked while a load locks its table group
    required_kinds: frozenset[int] | None = None  # engine kinds that may run it; None: all
    required_zones: frozenset[int] | None = None


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a workload manager.

    Raises ValueError, naming the field, for a value out of range.
    """

    classes: tuple[ClassSettings, ...]
    kind_cores: tuple[int, ...]  # cores of an engine, by kind
    timer_resolution: int  # µs between two rounds of decisions
    broker_index: int = 0  # number of this broker among broker_count
    broker_count: int = 1
    supports_memory_grants: bool = False
    supports_priorities: bool = False
    reports_cost: bool = False  # answers report the work and the memory that a request took
    kind_memory_mb: tuple[float, ...] = ()
    max_memory_grant: float = 1.0  # part of an engine's memory
    supports_cancel: bool = False
    max_attempts: int = 1
    list_on_request: bool = False  # the engine list is sent only to who subscribes
    slow_start_capacity: float = 1.0  # part of its capacity that an engine has at its start
    slow_start_window: int = 0  # µs until it has all of it
    overload_multiple: float = 0.0  # of its capacity, under which a starting engine fails in overload_window
    overload_window: int = 0  # µs
    ordering_key_cooldown: int = 0  # µs after an attempt of unknown end before the key's next request
    load_report_fields: tuple[str, ...] = ()
    retry_budget_ratio: float | None = None  # retries per request taken in the window; None: no budget
    retry_budget_floor: float = 0.0  # retries allowed in any window
    retry_budget_window: int = 0  # µs
    max_send_delay: int = 0  # µs between a decision and the send; the budget counts at the send
    progress_interval: int = 0  # µs between progress notifications; 0: there are none

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
    """One engine as a list names it."""

    engine: int
    state: EngineState
    kind: int
    zone: int
    cell: int
    started_at: int  # µs; 0: long ago


@dataclass(frozen=True, slots=True)
class EngineListReceived:
    """The engine list, or changes of it, arrived."""

    kind: EngineListKind
    entries: tuple[EngineListEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A request arrived; it is owed one final answer before `deadline`."""

    request: int
    class_index: int
    deadline: int
    key: int = 0  # ordering key; 0: none
    cost: int = 0  # estimated µs of work of all its threads; 0: not known
    memory_mb: float = 0.0  # estimated need; 0: not known
    table_group: int = 0  # the group of tables that it reads or writes
    is_client_retry: bool = False


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended. `final`: nothing more is owed for its request."""

    request: int
    attempt: int
    engine: int
    outcome: Outcome
    final: bool
    latency: int
    work: int = 0  # µs of work that it took; 0: not reported
    memory_mb: float = 0.0  # that it needed; 0: not reported
    load_report: tuple[float, ...] = ()  # in the order of Settings.load_report_fields


@dataclass(frozen=True, slots=True)
class AttemptProgress:
    """A progress notification of an attempt in flight."""

    request: int
    attempt: int
    engine: int
    kind: ProgressKind
    value: float


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of the request disconnected."""

    request: int


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The process is shutting down: every open request has to be answered now."""


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that was started ran out."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """A health check was answered."""

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
    """Send the request to an engine; its first attempt is number 0."""

    request: int
    engine: int
    timeout: int = 0  # µs; 0: until the client's deadline


@dataclass(frozen=True, slots=True)
class SetAttemptResources:
    """Memory grant of later attempts (0: the engine's choice), and priority, at once."""

    request: int
    grant_mb: float
    priority: int  # 0 to 3, the highest


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for one attempt; its AttemptEnded is still to arrive."""

    request: int
    attempt: int
    reason: Reason = field(default=Reason.UNKNOWN, compare=False)


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """End the request; the client may safely retry it."""

    request: int
    reason: Reason = field(default=Reason.UNKNOWN, compare=False)


@dataclass(frozen=True, slots=True)
class FailRequest:
    """End the request with an error; the client is not told whether it was executed."""

    request: int
    reason: Reason = field(default=Reason.UNKNOWN, compare=False)


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Ask for a TimerFired with this token after a span."""

    after: int
    token: int = 0


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for updates of the engine list."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators."""

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
