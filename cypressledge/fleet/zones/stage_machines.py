"""Transitions of zones between stages, by findings, time and operators' overrides. No I/O.

Each zone has a state machine. It depends on the other zones' states, because a zone is evacuated only as far
as the others have the capacity for its load. Callers pass the time (µs).
"""

from collections.abc import Callable, Iterable
from copy import deepcopy
from typing import ClassVar

from cypressledge.fleet.zones.events import ZoneEvent
from cypressledge.fleet.zones.failover_plan import (
    FULL_SHARE,
    SECOND,
    SHARE_STEPS,
    FailoverPace,
    OperatorOverride,
    ZoneStage,
    ZoneState,
)
from cypressledge.fleet.zones.health import Verdict
from cypressledge.fleet.zones.planning_input import PlanningInput
from cypressledge.fleet.zones.recovery_ramp import recovery_share

MAX_DOUBLINGS = 16  # largest number of failed returns counted; bounds the shift that doubles the time out

LogZoneEvent = Callable[[ZoneEvent, str, str], None]  # arguments: the event, the zone and the reason
StageStep = Callable[["ZoneStageMachines", ZoneState, PlanningInput], None]


class ZoneStageMachines:
    """The state machines of all zones, by name.

    `utilization`: the fraction of all cores in use, as of the last step; `sheds_load`: requests are shed
    because the serving zones lack the capacity for the evacuated ones' load.
    """

    def __init__(self, zones: Iterable[str], pace: FailoverPace, now: int, log_event: LogZoneEvent) -> None:
        self.pace = pace
        self.log_event = log_event
        self.zones = {name: ZoneState(name, since=now) for name in zones}
        self.utilization = 1.0
        self.sheds_load = False

    def dry_run_copy(self, log_event: LogZoneEvent) -> "ZoneStageMachines":
        """Return a copy for a dry run, whose steps don't affect these zones."""
        dry_run_copy = ZoneStageMachines((), self.pace, 0, log_event)
        dry_run_copy.zones = deepcopy(self.zones)
        dry_run_copy.utilization = self.utilization
        dry_run_copy.sheds_load = self.sheds_load
        return dry_run_copy

    def step(self, inputs: PlanningInput) -> None:
        """Advance all zones by the time and the findings."""
        self.utilization = inputs.utilization()
        for zone in self.zones.values():
            self._record_finding(zone, inputs)
        for zone in self.zones.values():
            self._step_override(zone, inputs.now)
            if zone.override != OperatorOverride.HOLD:
                self._STAGE_STEPS[zone.stage](self, zone, inputs)
        if all(zone.stage is ZoneStage.SERVING for zone in self.zones.values()):
            self.sheds_load = False

    def bring_back(self, zone: ZoneState, now: int, reason: str) -> None:
        """Begin a zone's return by an operator's command: ends its override and skips the waiting time."""
        zone.override = OperatorOverride.NONE
        if zone.stage in (ZoneStage.OUT, ZoneStage.LEAVING):
            self._enter(zone, ZoneStage.RETURNING, now, reason)
            zone.bad_since = None
            self._begin_ramp(zone, now)

    def adopt(self, zone: ZoneState, now: int, reason: str) -> None:
        """Adopt the evacuation of a zone that brokers left while the planner was missing."""
        zone.share = 0
        zone.bad_since = None
        self._enter(zone, ZoneStage.OUT, now, reason)

    def _record_finding(self, zone: ZoneState, inputs: PlanningInput) -> None:
        """Record since when a zone has been bad. Insufficient data changes nothing."""
        finding = inputs.findings.get(zone.name)
        verdict = finding.verdict if finding else Verdict.INSUFFICIENT_DATA
        if verdict is Verdict.LOST or (
            verdict is Verdict.SLOW and inputs.is_slow_while_idle(zone.name, self.pace.idle_utilization)
        ):
            zone.bad_since = inputs.now if zone.bad_since is None else zone.bad_since
        elif verdict is not Verdict.INSUFFICIENT_DATA:
            zone.bad_since = None

    def _step_override(self, zone: ZoneState, now: int) -> None:
        """End an override once its time has passed, and a practice once another zone fails."""
        if zone.override != OperatorOverride.NONE and now >= zone.override_until:
            self.log_event(ZoneEvent.OVERRIDE_EXPIRED, zone.name, f"the time for {zone.override} has passed")
            zone.override = OperatorOverride.NONE
        if zone.override == OperatorOverride.PRACTICE and (failing := self._another_failing(zone)):
            self._end_practice(zone, f"{failing} fails")
            if zone.stage is not ZoneStage.SERVING:
                self.bring_back(zone, now, f"practice over: {failing} fails")

    def _another_failing(self, practising: ZoneState) -> str:
        """Return the name of another zone that fails, or an empty string."""
        failing = (ZoneStage.SUSPECT, ZoneStage.LEAVING, ZoneStage.OUT)
        for zone in self.zones.values():
            if zone is not practising and (zone.bad_since is not None or zone.stage in failing):
                return zone.name
        return ""

    def _end_practice(self, zone: ZoneState, reason: str) -> None:
        zone.override = OperatorOverride.NONE
        self.log_event(ZoneEvent.PRACTICE_ENDED, zone.name, reason)

    def _enter(self, zone: ZoneState, stage: ZoneStage, now: int, reason: str) -> None:
        zone.stage = stage
        zone.since = now
        zone.reason = reason
        self.log_event(ZoneEvent(f"zone_{stage.value}"), zone.name, reason)

    def _begin_ramp(self, zone: ZoneState, now: int) -> None:
        zone.share = max(zone.share, recovery_share(0, self.pace, self.utilization))
        zone.share_grew_at = now

    def _is_confirmed_bad(self, zone: ZoneState, now: int) -> bool:
        return zone.bad_since is not None and now - zone.bad_since >= self.pace.confirmation_time

    # One method per stage, called in each step while a zone is in that stage

    def _step_serving(self, zone: ZoneState, inputs: PlanningInput) -> None:
        zone.share = FULL_SHARE
        if inputs.now - zone.since > self.pace.forget_failed_returns_after:
            zone.failed_returns = 0
        if zone.is_kept_out:
            self._leave(zone, inputs, zone.reason)
        elif zone.bad_since is not None:
            self._enter(zone, ZoneStage.SUSPECT, inputs.now, inputs.findings[zone.name].reason)

    def _step_suspect(self, zone: ZoneState, inputs: PlanningInput) -> None:
        finding = inputs.findings.get(zone.name)
        if zone.is_kept_out:
            self._leave(zone, inputs, zone.reason)
        elif zone.bad_since is None:
            self._enter(zone, ZoneStage.SERVING, inputs.now, "the failures have ended")
        elif self._is_confirmed_bad(zone, inputs.now) and finding is not None:
            self._leave(zone, inputs, finding.reason)

    def _step_leaving(self, zone: ZoneState, inputs: PlanningInput) -> None:
        self._leave_rest_if_lost(zone, inputs)
        if inputs.now - zone.since >= self.pace.drain_time:
            self._enter(zone, ZoneStage.OUT, inputs.now, zone.reason)

    def _step_out(self, zone: ZoneState, inputs: PlanningInput) -> None:
        self._leave_rest_if_lost(zone, inputs)
        time_out = inputs.now - zone.since
        waited = time_out >= min(self.pace.min_time_out << zone.failed_returns, self.pace.max_time_out)
        if zone.is_kept_out or not waited:
            return
        reason = f"out for {time_out / SECOND:.0f} s, flaps {zone.failed_returns}"
        self._enter(zone, ZoneStage.RETURNING, inputs.now, reason)
        zone.bad_since = None
        self._begin_ramp(zone, inputs.now)

    def _step_returning(self, zone: ZoneState, inputs: PlanningInput) -> None:
        if zone.is_kept_out or self._is_confirmed_bad(zone, inputs.now):
            self._end_return(zone, inputs)
            return
        self._grow_share(zone, inputs)
        if zone.share >= FULL_SHARE:
            self._enter(zone, ZoneStage.SERVING, inputs.now, "back whole")

    def _end_return(self, zone: ZoneState, inputs: PlanningInput) -> None:
        """Take a returning zone out again, by an operator's override or because it failed again."""
        failed = not zone.is_kept_out
        zone.failed_returns = min(zone.failed_returns + failed, MAX_DOUBLINGS)
        zone.share = 0
        finding = inputs.findings.get(zone.name)
        failed_again = f"it failed again: {finding.reason if finding else zone.reason}"
        by_hand = zone.override != OperatorOverride.NONE
        self._enter(zone, ZoneStage.OUT, inputs.now, zone.reason if by_hand else failed_again)

    def _grow_share(self, zone: ZoneState, inputs: PlanningInput) -> None:
        """Grow a returning zone's share by at most one step.

        Partial failures pause the growth; it continues from the same share, one step at a time.
        """
        waited = inputs.now - zone.share_grew_at >= self.pace.share_step_interval
        if zone.bad_since is not None or inputs.is_strained(zone.name) or not waited:
            return
        target = recovery_share(inputs.now - zone.since, self.pace, self.utilization)
        if target > zone.share:
            zone.share = min(target, zone.share + -(-FULL_SHARE // SHARE_STEPS))
            zone.share_grew_at = inputs.now

    _STAGE_STEPS: ClassVar[dict[ZoneStage, StageStep]] = {
        ZoneStage.SERVING: _step_serving,
        ZoneStage.SUSPECT: _step_suspect,
        ZoneStage.LEAVING: _step_leaving,
        ZoneStage.OUT: _step_out,
        ZoneStage.RETURNING: _step_returning,
    }

    # Evacuation of zones

    def _leave(self, zone: ZoneState, inputs: PlanningInput, reason: str) -> None:
        """Evacuate a zone; only in part if it still serves and the others lack capacity for its load."""
        others = self._serving_others(zone)
        if not others:
            self._block_evacuation(zone, "no other zone serves whole: the last ones are not left")
            return
        remainder = inputs.share_to_keep(zone.name, others, self.pace.max_utilization, 0.0)
        if zone.override == OperatorOverride.PRACTICE and remainder:
            self._end_practice(zone, "the others can't bear its load")
            return
        self.sheds_load |= remainder > 0
        share = 0
        if remainder and not inputs.is_lost(zone.name):
            share = inputs.share_to_keep(zone.name, others, self.pace.max_utilization, inputs.over_quota)
        if share >= FULL_SHARE:
            self._block_evacuation(zone, "the other zones can't bear any of its load")
            return
        zone.share = share
        zone.blocked_reason = ""
        limits = f"{100 - share // 10}% of it: the others can't bear more; " if share else ""
        if remainder and inputs.over_quota > 0:
            limits += f"what is over its tenants' shares ({inputs.over_quota:.0%}) is refused first; "
        self._enter(zone, ZoneStage.LEAVING, inputs.now, limits + reason)

    def _serving_others(self, zone: ZoneState) -> list[str]:
        """Return the other zones that can take a zone's load."""
        return [
            other.name
            for other in self.zones.values()
            if other is not zone
            and other.share == FULL_SHARE
            and other.bad_since is None
            and not other.is_kept_out
        ]

    def _leave_rest_if_lost(self, zone: ZoneState, inputs: PlanningInput) -> None:
        """Evacuate the rest of a partly evacuated zone that is lost now."""
        if zone.share and inputs.is_lost(zone.name) and self._is_confirmed_bad(zone, inputs.now):
            zone.share = 0
            zone.reason = inputs.findings[zone.name].reason
            self.log_event(ZoneEvent.FULLY_EVACUATED, zone.name, zone.reason)

    def _block_evacuation(self, zone: ZoneState, reason: str) -> None:
        """Log once that a zone is not evacuated, with the reason."""
        if zone.blocked_reason != reason:
            zone.blocked_reason = reason
            self.log_event(ZoneEvent.EVACUATION_BLOCKED, zone.name, reason)
