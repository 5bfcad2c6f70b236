"""The load that a zone may receive while its engines, started cold, warm up. No I/O.

Shares depend on the exact results of the float expressions here: don't rearrange them.
"""

from cypressledge.fleet.zones.failover_plan import (
    FULL_SHARE,
    SHARE_STEPS,
    FailoverPace,
    ZoneStage,
    ZoneState,
)

FULL_AFTER = 1.25  # multiple of the warm-up time after which the share is full, because warm-up times vary


def warm_fraction(age: int, pace: FailoverPace) -> float:
    """Return the capacity of an engine that started cold `age` µs ago, as a fraction of its warm capacity."""
    return min(1.0, pace.cold_capacity + (1 - pace.cold_capacity) * age / pace.warm_up_time)


def recovery_share(age: int, pace: FailoverPace, utilization: float = 1.0) -> int:
    """Return the share of a zone whose return began `age` µs ago, permille, in whole steps.

    The zone's load stays below the present capacity of its engines; the share is full once that capacity
    suffices for all of the zone's load. `utilization`: the fraction of all cores that the fleet's load takes;
    a full share takes at most that fraction of the zone's cores.
    """
    part = (
        min(1.0, pace.safety_margin * warm_fraction(age, pace) / utilization)
        if age < pace.warm_up_time * FULL_AFTER
        else 1.0
    )
    return int(part * SHARE_STEPS) * FULL_SHARE // SHARE_STEPS


def usable_fraction(zone: ZoneState, now: int, pace: FailoverPace) -> float:
    """Return the fraction of a zone's cores that can take load; while it returns, its present capacity."""
    if zone.stage in (ZoneStage.SERVING, ZoneStage.SUSPECT):
        return 1.0
    if zone.stage is ZoneStage.RETURNING:
        return warm_fraction(now - zone.since, pace)
    return zone.share / FULL_SHARE
