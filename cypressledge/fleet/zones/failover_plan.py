"""What planner, brokers and operators share of the failover plan: stages, shares, pace. No I/O.

A share says which part of the brokers an engine of a zone is open to: it is open to a broker when a stable
hash of both is below the share. So the fleet's sum follows the share without further messages, and each
broker meets few engines.
"""

from dataclasses import dataclass
from enum import Enum, StrEnum
from hashlib import blake2b

PERMILLE = 1_000
FULL_SHARE = PERMILLE  # a zone's share is in permille
SHARE_STEPS = 16  # steps that a zone's share grows in while it recovers
SECOND = 1_000_000  # µs


class ZoneStage(Enum):
    """Where a zone is between serving and out; the values are in plans."""

    SERVING = "serving"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    OUT = "out"
    RETURNING = "returning"


class OperatorOverride(StrEnum):
    """What operators want of a zone for a time; the values are in plans."""

    NONE = ""
    OUT = "out"
    PRACTICE = "practice"
    HOLD = "hold"


@dataclass(frozen=True, slots=True)
class FailoverPace:
    """How fast zones are left and returned to, and how far. Times in µs.

    `confirmation_time`: how long a zone has to be bad before it is left; `drain_time`: what is on its way has
    to end in; `min_time_out`: the least time out, doubled by each failed return up to `max_time_out`;
    `forget_failed_returns_after`: of serving; `share_step_interval`: the least time between two steps of a
    share; `cold_capacity`: what a cold engine can do, part of what it can when warm; `warm_up_time`: how long
    it takes to be warm; `safety_margin`: of what it can do, what a return asks of it; `max_utilization`: how
    much of their cores the other zones may be asked for when a zone that still serves is left;
    `idle_utilization`: of its cores that a zone may be using for its lateness not to be its load's.
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
    """A zone's work and what it can do, in cores."""

    used: float
    cores: float


@dataclass(slots=True)
class ZoneState:
    """One zone as the planner has it. Moments in µs; `since`: when it came to its stage; `bad_since`:
    from when on the finding on it has been bad; `failed_returns` double the time out; `override`: an
    `OperatorOverride`, or a later version's, which only expires."""

    name: str
    stage: ZoneStage = ZoneStage.SERVING
    share: int = FULL_SHARE
    since: int = 0
    reason: str = ""
    failed_returns: int = 0
    bad_since: int | None = None
    override: str = OperatorOverride.NONE
    override_until: int = 0
    blocked_reason: str = ""  # why it was not left, as last logged
    share_grew_at: int = 0

    @property
    def is_kept_out(self) -> bool:
        """Whether an operator wants the zone to be empty."""
        return self.override in (OperatorOverride.OUT, OperatorOverride.PRACTICE)


def share_threshold(engine: int, broker: str) -> int:
    """The share above which an engine is open to a broker, permille: 0 to 999, the same at all brokers."""
    digest = blake2b(f"{engine:x}\0{broker}".encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") * FULL_SHARE >> 32


def is_engine_open(engine: int, broker: str, share: int) -> bool:
    """Whether a broker may send to an engine of a zone with this share."""
    return share_threshold(engine, broker) < share
