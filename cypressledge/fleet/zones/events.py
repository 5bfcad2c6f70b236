"""Names of the zone failover events that are logged and counted."""

from enum import StrEnum


class BrokerEvent(StrEnum):
    """Events of one broker; the values are logged."""

    PLANNER_STARTED = "planner_started"  # this broker took the lease and begins to plan
    PLAN_ACCEPTED = "plan_accepted"  # an accepted plan changed the shares of zones
    PEER_ISOLATED = "broker_isolated"  # a peer's attempts fail at engines that answer other brokers
    ZONES_EVACUATED = "zones_locally_evacuated"  # without a planner, by this broker's own observations
    COMMAND_RECEIVED = "zone_command"  # an operator's command arrived, to be forwarded to the planner


class ZoneEvent(StrEnum):
    """Events of the planner about one zone. Answers to dry runs contain the values: don't change them."""

    SUSPECT = "zone_suspect"
    LEAVING = "zone_leaving"
    OUT = "zone_out"
    RETURNING = "zone_returning"
    SERVING = "zone_serving"
    FULLY_EVACUATED = "zone_left_whole"  # a partly evacuated zone is lost and is evacuated fully
    EVACUATION_BLOCKED = "zone_kept"  # not evacuated: the others lack the capacity
    OVERRIDE_EXPIRED = "zone_hand_over"
    PRACTICE_ENDED = "zone_practice_over"
