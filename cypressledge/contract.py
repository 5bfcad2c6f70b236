"""The contract of the decision module: its settings, what it is told, and what it answers with.

Times and spans are integer microseconds. Engines, requests and groups are opaque values.
"""

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum


class Effect(IntEnum):
    """How safe it is to repeat a request of a class."""

    FREE = 0
    KEYED = 1
    UNSAFE = 2


class Group(IntEnum):
    """Which engines drop the repeats of a keyed request."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Outcome(IntEnum):
    """How an attempt ended, in the codes of the wire."""

    MOOT = 249
    CANCELLED = 250
    RESET = 251
    CONNECT_FAILED = 252
    TIMEOUT = 253
    FULL = 254
    ERROR = 255
    OK = 0


class Reason(StrEnum):
    """Why a request ends unserved, or an attempt is called off: for logs and counters."""

    UNKNOWN = "unknown"
    STOPPING = "broker-stopping"
    DEADLINE = "deadline"  # the attempt is still out as the client gives up
    NO_PLACE = "no-place"  # it waited for an engine until the client gives up
    LATE = "late"  # it would be answered after its aim, and that is worth nothing now
    ATTEMPTS_USED = "attempts-used"
    NO_TIME = "no-time-for-retry"
    RETRY_BUDGET = "retry-budget"
    WINDOW_OVER = "repeat-window-over"
    MAY_HAVE_RUN = "may-have-run"
    RUNAWAY = "runaway"
    BEHIND_LOAD = "behind-load"
    ENGINE_SILENT = "engine-silent"
    ANSWER_LOST = "answer-lost"
    REQUEST_OVER = "request-over"  # the client left, or has been answered


NEVER_RAN = frozenset((Outcome.MOOT, Outcome.CONNECT_FAILED, Outcome.FULL))


class ListKind(IntEnum):
    """What a piece of news about the engines holds."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class State(IntEnum):
    """State of a listed engine."""

    GONE = 0
    DRAINING = 1
    READY = 2


class NoteKind(IntEnum):
    """Subject of a note about a running attempt."""

    PROGRESS = 1
    SPILLS = 2
    WAITS = 3


WAITS_FOR_LOAD = 2.0


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """A request class, in contract order."""

    aim: int
    deadline: int
    worth: float = 1.0
    late_worth: float = 0.0
    aim_stretch: float = 0.0
    effect: Effect = Effect.FREE
    group: Group = Group.ALL
    window: int = 0
    in_order: bool = False
    threads: int = 1
    is_load: bool = False
    waits: bool = False
    only_kinds: frozenset[int] | None = None
    only_zones: frozenset[int] | None = None


@dataclass(frozen=True, slots=True)
class Settings:
    """What a workload manager is told at its start."""

    classes: tuple[ClassSettings, ...]
    kind_cores: tuple[int, ...]
    tick: int
    slot: int = 0
    peers: int = 1
    grants: bool = False
    priorities: bool = False
    tells_cost: bool = False
    kind_memory_mb: tuple[float, ...] = ()
    most_grant: float = 1.0
    may_cancel: bool = False
    max_attempts: int = 1
    list_on_request: bool = False
    start_capacity: float = 1.0
    warm_within: int = 0
    fall_multiple: float = 0.0
    fall_window: int = 0
    key_rest: int = 0
    report: tuple[str, ...] = ()
    retry_ratio: float | None = None
    retry_free: float = 0.0
    retry_window: int = 0
    send_wait: int = 0  # µs that a send may wait until it leaves; the ration counts when it does
    notes: int = 0  # µs between notes of what runs; 0: there are none

    def __post_init__(self) -> None:
        """Reject what no site can mean, naming the field."""
        fine = {
            "classes": len(self.classes) > 0
            and all(
                k.aim > 0 and k.deadline > 0 and k.threads > 0 and k.aim_stretch >= 0 for k in self.classes
            ),
            "kind_cores": len(self.kind_cores) > 0 and all(n > 0 for n in self.kind_cores),
            "kind_memory_mb": all(mb > 0 for mb in self.kind_memory_mb),
            "tick": self.tick > 0,
            "slot": self.slot >= 0,
            "peers": self.peers > 0,
            "max_attempts": self.max_attempts > 0,
            "start_capacity": 0 < self.start_capacity <= 1,
            "warm_within": self.warm_within >= 0,
            "fall_multiple": self.fall_multiple >= 0,
            "fall_window": self.fall_window >= 0,
            "key_rest": self.key_rest >= 0,
            "retry_ratio": self.retry_ratio is None or self.retry_ratio >= 0,
        }
        for name, good in fine.items():
            if not good:
                raise ValueError(f"setting {name} is out of range: {getattr(self, name)!r}")


@dataclass(frozen=True, slots=True)
class Entry:
    """One engine as a list names it."""

    engine: int
    state: State
    kind: int
    zone: int
    cell: int
    born: int


@dataclass(frozen=True, slots=True)
class EngineList:
    """News of the engines."""

    kind: ListKind
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request came in; it is owed one final answer before `due`."""

    request: int
    cls: int
    due: int
    key: int = 0
    cost: int = 0
    memory_mb: float = 0.0
    group: int = 0
    repeat: bool = False


@dataclass(frozen=True, slots=True)
class Ended:
    """An attempt ended. `final`: nothing more is owed for its request."""

    request: int
    attempt: int
    engine: int
    outcome: Outcome
    final: bool
    latency: int
    work: int = 0
    memory_mb: float = 0.0
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class Note:
    """News of a running attempt."""

    request: int
    attempt: int
    engine: int
    kind: NoteKind
    value: float


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """Nobody waits for the request any more."""

    request: int


@dataclass(frozen=True, slots=True)
class Stopping:
    """The process ends in a moment: whatever is open has to be answered now."""


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer asked for has run out."""

    token: int


@dataclass(frozen=True, slots=True)
class Probed:
    """A probe was answered."""

    engine: int
    outcome: Outcome
    latency: int
    report: tuple[float, ...] = ()


Event = EngineList | Arrival | Ended | Note | ClientLeft | Stopping | TimerFired | Probed


@dataclass(frozen=True, slots=True)
class Send:
    """Hand the request to an engine; the first send is attempt 0. Time-out 0: until the client quits."""

    request: int
    engine: int
    timeout: int = 0


@dataclass(frozen=True, slots=True)
class SetTerms:
    """Memory grant of further attempts (0: the engine's choice) and priority, at once."""

    request: int
    grant_mb: float
    priority: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for one attempt; its outcome still comes."""

    request: int
    attempt: int
    reason: Reason = field(default=Reason.UNKNOWN, compare=False)


@dataclass(frozen=True, slots=True)
class Refuse:
    """End the request; the client may safely come again."""

    request: int
    reason: Reason = field(default=Reason.UNKNOWN, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """End the request with an error; the client is not told whether it ran."""

    request: int
    reason: Reason = field(default=Reason.UNKNOWN, compare=False)


@dataclass(frozen=True, slots=True)
class Timer:
    """Ask for a TimerFired with this token after a span."""

    after: int
    token: int = 0


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for changes of the engine list."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators."""

    text: str = field(default="")


Action = Send | SetTerms | Cancel | Refuse | Fail | Timer | Subscribe | Log
