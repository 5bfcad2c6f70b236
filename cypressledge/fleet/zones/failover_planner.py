"""The planner's copy of the failover plan: its number, its changes, and resuming another planner's. No I/O.

The holder of the planner's lease steps the planner; all brokers follow the newest plan. The transitions of
zones between stages are in `stage_machines.py`. Callers pass the time (µs).
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

MAX_REASON = 160  # characters of a reason in a plan; a plan must fit into a datagram


class FailoverPlanner:
    """The planner for a set of zones, or for a set of regions treated as zones."""

    def __init__(self, zones: Sequence[str], pace: FailoverPace, now: int, log_event: LogZoneEvent) -> None:
        self.machines = ZoneStageMachines(zones, pace, now, log_event)
        self.number = 0  # number of the plan; increases with each change
        self._last_key = self._key()

    @property
    def zones(self) -> Mapping[str, ZoneState]:
        """The current states of the zones, by name."""
        return self.machines.zones

    @property
    def sheds_load(self) -> bool:
        """Whether requests are shed because the serving zones lack capacity for the evacuated ones' load."""
        return self.machines.sheds_load

    def resume(self, number: int, statuses: list[ZoneStatus], sheds: bool, now: int) -> None:
        """Continue another planner's plan, with its shares and ages, so that shares don't jump when the
        planner changes."""
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

    def dry_run_copy(self, log_event: LogZoneEvent) -> "FailoverPlanner":
        """Return a copy for a dry run, whose steps don't affect the plan; its events go to `log_event`."""
        dry_run_copy = FailoverPlanner((), self.machines.pace, 0, log_event)
        dry_run_copy.machines = self.machines.dry_run_copy(log_event)
        dry_run_copy.number = self.number
        dry_run_copy._last_key = self._last_key
        return dry_run_copy

    # Commands of operators, and adoption of evacuations that brokers made without a planner

    def leave(self, name: str, now: int, until: int, reason: str, practice: bool = False) -> None:
        """Evacuate a zone by an operator's command, until the time `until`. A practice ends if the others
        lack the capacity for all of the zone's load, and as soon as another zone fails."""
        zone = self.zones[name]
        zone.override = OperatorOverride.PRACTICE if practice else OperatorOverride.OUT
        zone.override_until = until
        zone.blocked_reason = ""
        zone.reason = reason

    def hold(self, name: str, now: int, until: int, reason: str) -> None:
        """Keep a zone's stage and share by an operator's command, until the time `until`."""
        zone = self.zones[name]
        zone.override = OperatorOverride.HOLD
        zone.override_until = until
        zone.reason = reason

    def bring_back(self, name: str, now: int, reason: str) -> None:
        """Begin a zone's return by an operator's command: ends its override and skips the waiting time."""
        self.machines.bring_back(self.zones[name], now, reason)

    def adopt(self, name: str, now: int, reason: str) -> None:
        """Adopt the evacuation of a zone that brokers left while the planner was missing: the zone is out
        and returns like any other."""
        self.machines.adopt(self.zones[name], now, reason)

    def step(
        self,
        now: int,
        findings: Mapping[str, ZoneFinding],
        loads: Mapping[str, ZoneLoad],
        over_quota: float = 0.0,
    ) -> bool:
        """Advance all zones by the time and the findings.

        Return whether the plan has changed, also by commands since the last step.
        """
        self.machines.step(PlanningInput(now, findings, loads, over_quota))
        before, self._last_key = self._last_key, self._key()
        changed = self._last_key != before
        self.number += changed
        return changed

    def statuses(self, now: int) -> list[ZoneStatus]:
        """Return the statuses of all zones for the plan message."""
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
        """Return the values whose change makes a new plan."""
        return (self.sheds_load, *((zone.stage, zone.share, zone.override) for zone in self.zones.values()))
