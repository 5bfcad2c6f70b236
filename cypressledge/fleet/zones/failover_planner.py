"""The failover plan as its planner keeps it: its number, what changes it, and handing it over. No I/O.

The planner runs under a lease and is stepped by its holder; all brokers follow the newest plan. What moves
zones from stage to stage is `stage_machines.py`'s. Callers pass the time (µs).
"""

from collections.abc import Mapping, Sequence

from cypressledge.fleet.messages import ZoneStatus
from cypressledge.fleet.zones.failover_plan import (
    FailoverPace,
    OperatorOverride,
    ZoneLoad,
    ZoneStage,
    ZoneState,
)
from cypressledge.fleet.zones.health import ZoneFinding
from cypressledge.fleet.zones.planning_input import PlanningInput
from cypressledge.fleet.zones.stage_machines import LogZoneEvent, ZoneStageMachines

MAX_REASON = 160  # characters of a reason in a plan: it has to fit into a datagram


class FailoverPlanner:
    """The plan for zones, or for regions in their place."""

    def __init__(self, zones: Sequence[str], pace: FailoverPace, now: int, log_event: LogZoneEvent) -> None:
        self.machines = ZoneStageMachines(zones, pace, now, log_event)
        self.number = 0  # of the plan: grows with each change
        self._last_key = self._key()

    @property
    def zones(self) -> Mapping[str, ZoneState]:
        """The zones by name, as they stand."""
        return self.machines.zones

    @property
    def sheds_load(self) -> bool:
        """Whether the others can't bear what has been left, so that requests are shed."""
        return self.machines.sheds_load

    def resume(self, number: int, statuses: list[ZoneStatus], sheds: bool, now: int) -> None:
        """Go on from another planner's plan, with its shares and ages: guards against a jump of shares when
        the planner changes."""
        self.number = max(self.number, number)
        self.machines.sheds_load = sheds
        for status in statuses:
            zone = self.zones.get(status.name)
            if zone is None:
                continue
            zone.stage = ZoneStage(status.stage)
            zone.share = status.share
            zone.since = now - status.age
            zone.failed_returns = status.flaps
            zone.reason = status.reason
            zone.override = status.operator_override
            zone.override_until = now + status.override_remaining
        self._last_key = self._key()

    def trial(self, log_event: LogZoneEvent) -> "FailoverPlanner":
        """A copy that can be stepped to see what would come of it; its events go to `log_event`."""
        trial = FailoverPlanner((), self.machines.pace, 0, log_event)
        trial.machines = self.machines.trial(log_event)
        trial.number = self.number
        trial._last_key = self._last_key
        return trial

    # Commands: of operators, and of brokers that acted without a planner

    def leave(self, name: str, now: int, until: int, reason: str, practice: bool = False) -> None:
        """Leave a zone by hand, up to a time. A practice ends where the others can't bear all of the zone's
        load, and as soon as anything else fails."""
        zone = self.zones[name]
        zone.override = OperatorOverride.PRACTICE if practice else OperatorOverride.OUT
        zone.override_until = until
        zone.blocked_reason = ""
        zone.reason = reason

    def hold(self, name: str, now: int, until: int, reason: str) -> None:
        """Keep a zone as it is by hand, up to a time."""
        zone = self.zones[name]
        zone.override = OperatorOverride.HOLD
        zone.override_until = until
        zone.reason = reason

    def bring_back(self, name: str, now: int, reason: str) -> None:
        """Return to a zone by hand: no override any more, and no waiting."""
        self.machines.bring_back(self.zones[name], now, reason)

    def adopt(self, name: str, now: int, reason: str) -> None:
        """Take on that brokers left a zone while there was no planner: it is out, and returns like any
        other."""
        self.machines.adopt(self.zones[name], now, reason)

    # The step

    def step(
        self,
        now: int,
        findings: Mapping[str, ZoneFinding],
        loads: Mapping[str, ZoneLoad],
        over_quota: float = 0.0,
    ) -> bool:
        """Let time and findings work; whether the plan has changed, also by commands since the last step."""
        self.machines.step(PlanningInput(now, findings, loads, over_quota))
        before, self._last_key = self._last_key, self._key()
        changed = self._last_key != before
        self.number += changed
        return changed

    def statuses(self, now: int) -> list[ZoneStatus]:
        """How all zones stand, for the plan."""
        return [self._status(zone, now) for zone in self.zones.values()]

    @staticmethod
    def _status(zone: ZoneState, now: int) -> ZoneStatus:
        override_left = max(0, zone.override_until - now) if zone.override != OperatorOverride.NONE else 0
        return ZoneStatus(
            zone.name,
            zone.stage.value,
            zone.share,
            now - zone.since,
            zone.failed_returns,
            zone.override,
            override_left,
            zone.reason[:MAX_REASON],
        )

    def _key(self) -> tuple:
        """What a change of makes a new plan."""
        return (self.sheds_load, *((zone.stage, zone.share, zone.override) for zone in self.zones.values()))
