"""Definitions of the failover plan for planner, brokers and operator calls: stages, shares, pace. No I/O.

A zone's share is the fraction of brokers that each of its engines is open to: an engine is open to a broker
if a stable hash of both is below the share. So the fleet's total traffic follows the share without further
messages, and each broker sends to few engines.
"""

from dataclasses import dataclass
from enum import Enum, StrEnum
from hashlib import blake2b

PERMILLE = 1_000
FULL_SHARE = PERMILLE  # permille; the share of a zone that is open to all brokers
SHARE_STEPS = 16  # number of equal steps in which a recovering zone's share grows
SECOND = 1_000_000  # µs


class ZoneStage(Enum):
    """The stage of a zone between serving and out; plans contain the values."""

    SERVING = "serving"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    OUT = "out"
    RETURNING = "returning"


class OperatorOverride(StrEnum):
    """A temporary state of a zone that an operator requested; plans contain the values."""

    NONE = ""
    OUT = "out"
    PRACTICE = "practice"
    HOLD = "hold"


@dataclass(frozen=True, slots=True)
class FailoverPace:
    """Times (µs) and fractions (0 to 1) that control how zones are evacuated and how they recover.

    - `confirmation_time`: how long a zone must be bad before it is evacuated
    - `drain_time`: time for requests in flight to end before an evacuated zone counts as out
    - `min_time_out`: minimum time out, doubled by each failed return up to `max_time_out`
    - `forget_failed_returns_after`: time of serving after which failed returns no longer count
    - `share_step_interval`: minimum time between two steps of a share
    - `cold_capacity`: capacity of a cold engine, as a fraction of its warm capacity
    - `warm_up_time`: time until an engine reaches its warm capacity
    - `safety_margin`: fraction of an engine's current capacity that a return uses
    - `max_utilization`: fraction of the other zones' cores that may be in use when a zone that still serves
      is evacuated
    - `idle_utilization`: fraction of its cores below which a slow zone's lateness is not caused by its load
    """

    confirmation_time: int = 300_000
    drain_time: int = 2 * SECOND
    min_time_out: int = 5 * SECOND
    max_time_out: int = 300 * SECOND
    forget_failed_returns_after: int = 600 * SECOND
    share_step_interval: int = SECOND // 2
    cold_capacity: float = 0.31
    warm_up_time: int = 14 * SECOND
    safety_margin: float = 0.8
    max_utilization: float = 0.9
    idle_utilization: float = 0.3


@dataclass(frozen=True, slots=True)
class ZoneLoad:
    """A zone's load and its capacity, both in cores."""

    used: float
    cores: float


@dataclass(slots=True)
class ZoneState:
    """The planner's state of one zone. Times in µs.

    `since`: when it entered its stage; `bad_since`: since when its findings have been bad, None if they are
    not; `failed_returns`: each doubles the time out; `override`: an `OperatorOverride`, or one of a later
    version, which has no effect here and only expires.
    """

    name: str
    stage: ZoneStage = ZoneStage.SERVING
    share: int = FULL_SHARE
    since: int = 0
    reason: str = ""
    failed_returns: int = 0
    bad_since: int | None = None
    override: str = OperatorOverride.NONE
    override_until: int = 0
    blocked_reason: str = ""  # why it was not evacuated, as last logged
    share_grew_at: int = 0

    @property
    def is_kept_out(self) -> bool:
        """Whether an operator's override keeps the zone evacuated."""
        return self.override in (OperatorOverride.OUT, OperatorOverride.PRACTICE)


def share_threshold(engine: int, broker: str) -> int:
    """Return the share above which an engine is open to a broker, permille: 0 to 999, the same everywhere."""
    digest = blake2b(f"{engine:x}\0{broker}".encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") * FULL_SHARE >> 32


def is_engine_open(engine: int, broker: str, share: int) -> bool:
    """Return whether a broker may send to an engine of a zone with this share."""
    return share_threshold(engine, broker) < share
