"""How much a zone may be asked for while its engines, started cold, warm up. No I/O.

Float expressions here decide shares: they stay as they are written.
"""

from cypressledge.fleet.zones.failover_plan import (
    FULL_SHARE,
    SHARE_STEPS,
    FailoverPace,
    ZoneStage,
    ZoneState,
)

FULL_AFTER = 1.25  # times the warm-up after which the share is full: measured warm-ups scatter


def warm_fraction(age: int, pace: FailoverPace) -> float:
    """What an engine can do that came back cold `age` µs ago, part of what it can when warm."""
    return min(1.0, pace.cold_capacity + (1 - pace.cold_capacity) * age / pace.warm_up_time)


def recovery_share(age: int, pace: FailoverPace, utilization: float = 1.0) -> int:
    """The share of a zone that came back `age` µs ago, permille: under what its engines can do by then, in
    steps, full once that is all of the work there is. `utilization`: the part of all cores that the fleet's
    work takes; a full share is no more than that of the zone."""
    part = (
        min(1.0, pace.safety_margin * warm_fraction(age, pace) / utilization)
        if age < pace.warm_up_time * FULL_AFTER
        else 1.0
    )
    return int(part * SHARE_STEPS) * FULL_SHARE // SHARE_STEPS


def usable_fraction(zone: ZoneState, now: int, pace: FailoverPace) -> float:
    """The part of a zone's cores that work can be given to: of one that returns, what is warm."""
    if zone.stage in (ZoneStage.SERVING, ZoneStage.SUSPECT):
        return 1.0
    if zone.stage is ZoneStage.RETURNING:
        return warm_fraction(now - zone.since, pace)
    return zone.share / FULL_SHARE
