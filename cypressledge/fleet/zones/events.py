"""The events of zone failover, as they are logged and counted."""

from enum import StrEnum


class BrokerEvent(StrEnum):
    """What a broker does about zones."""

    PLANNER_STARTED = "planner_started"  # it plans from here on
    PLAN_ACCEPTED = "plan_accepted"  # it follows other shares
    PEER_ISOLATED = "broker_isolated"  # all fails from a peer at engines that answer others
    ZONES_EVACUATED = "zones_locally_evacuated"  # without a planner, on evidence of its own
    COMMAND_RECEIVED = "zone_command"  # an operator's, to be forwarded to the planner


class ZoneEvent(StrEnum):
    """What the planner does about one zone. The values stay: answers to dry runs have them."""

    SUSPECT = "zone_suspect"
    LEAVING = "zone_leaving"
    OUT = "zone_out"
    RETURNING = "zone_returning"
    SERVING = "zone_serving"
    FULLY_EVACUATED = "zone_left_whole"  # it was left in part, and is lost now
    EVACUATION_BLOCKED = "zone_kept"  # it is not left: the others could not take its load on
    OVERRIDE_EXPIRED = "zone_hand_over"
    PRACTICE_ENDED = "zone_practice_over"
