"""Types that describe a lease at a participating broker: its slots, a held lease and the lease's events."""

from dataclasses import dataclass
from enum import StrEnum

from cypressledge.fleet.leases.candidate_order import CANDIDATES


class LeaseEvent(StrEnum):
    """An event of a lease at this broker. The values are written to the log (`lease_…`) and the counters."""

    ACQUIRED = "acquired"
    LOST = "lost"
    RELEASED = "released"
    ACQUISITION_FAILED = "acquisition_failed"
    VOTE_REJECTED = "vote_rejected"


@dataclass(frozen=True, slots=True)
class LeaseSlot:
    """A lease that one broker at a time can hold: a simple lease, or one slot of a counted lease (`group/0`,
    `group/1`, …). `term` in µs. An `on_demand` lease is acquired only by brokers that request its group."""

    lease: str
    group: str
    term: int
    on_demand: bool
    candidates: int = CANDIDATES  # more for a counted lease: holders of another slot can't take this one


@dataclass(frozen=True, slots=True)
class HeldLease:
    """A held lease, with the data that work under it needs. `expires_at`: µs on the clock that leases use."""

    lease: str
    group: str
    token: int
    instance_id: int
    expires_at: int


def lease_slots(name: str, count: int, term: int, on_demand: bool) -> list[LeaseSlot]:
    """Return the slots of a lease, `term` in µs. A lease with one slot has the lease's own name."""
    if count == 1:
        return [LeaseSlot(name, name, term, on_demand)]
    return [LeaseSlot(f"{name}/{i}", name, term, on_demand, CANDIDATES + count - 1) for i in range(count)]
