"""What a lease is to the broker that takes part in it: its slots, what is held, and what happens to it."""

from dataclasses import dataclass
from enum import StrEnum

from cypressledge.fleet.leases.candidate_order import CANDIDATES


class LeaseEvent(StrEnum):
    """What has happened to a lease at this broker. Values as in the log (`lease_…`) and the counters."""

    ACQUIRED = "acquired"
    LOST = "lost"
    RELEASED = "released"
    ACQUISITION_FAILED = "acquisition_failed"
    VOTE_REJECTED = "vote_rejected"


@dataclass(frozen=True, slots=True)
class LeaseSlot:
    """One thing to be held: a lease, or one slot of a counted lease (`group/0`, `group/1`, …). One that is
    `on_demand` is acquired only by brokers that request it."""

    lease: str
    group: str
    term: int
    on_demand: bool
    candidates: int = CANDIDATES  # that stand by: those that hold another slot of the group can't take it


@dataclass(frozen=True, slots=True)
class HeldLease:
    """A lease that is held, with what acts under it need. `expires_at` is on the clock that leases use."""

    lease: str
    group: str
    token: int
    instance_id: int
    expires_at: int


def lease_slots(name: str, count: int, term: int, on_demand: bool) -> list[LeaseSlot]:
    """The slots of a lease; one that is not counted is its own only slot."""
    if count == 1:
        return [LeaseSlot(name, name, term, on_demand)]
    return [LeaseSlot(f"{name}/{i}", name, term, on_demand, CANDIDATES + count - 1) for i in range(count)]
