"""The tasks of the broker that holds the planner's lease: it assesses the fleet, steps the planners, and
publishes the plan."""

from collections.abc import Callable, Generator, Mapping
from dataclasses import dataclass

from cypressledge.fleet.leases.lease import HeldLease
from cypressledge.fleet.messages import FailoverPlan
from cypressledge.fleet.zones.environment import FleetLinks
from cypressledge.fleet.zones.events import BrokerEvent, ZoneEvent
from cypressledge.fleet.zones.failover_plan import FULL_SHARE, FailoverPace, ZoneLoad, ZoneStage
from cypressledge.fleet.zones.failover_planner import FailoverPlanner
from cypressledge.fleet.zones.fleet_view import FleetView
from cypressledge.fleet.zones.health import MAX_AGE, BrokerObservations, FleetHealth, assess_in_steps
from cypressledge.fleet.zones.load_shedding import (
    COUNT_SECONDS,
    over_quota,
    over_quota_fraction,
    shed_permille_by_tenant,
)
from cypressledge.fleet.zones.plan_follower import PlanFollower
from cypressledge.fleet.zones.recovery_ramp import usable_fraction

REPEAT_INTERVAL = 1_000_000  # µs between transmissions of an unchanged plan
# µs to the next transmission after the first and the second one; shorter, because a datagram may get lost
INITIAL_REPEAT_INTERVALS = {1: 100_000, 2: 200_000}
MIN_EVACUATED_BROKERS = 2  # local evacuations of a zone that the planner requires to adopt them


class NotPlanningError(AttributeError):
    """The planner's lease was lost during a step.

    It is an `AttributeError` because callers got one before this class existed.
    """


@dataclass(slots=True)
class PlannerTerm:
    """The planners of zones and of regions, under one grant of the lease."""

    grant: HeldLease
    zones: FailoverPlanner
    regions: FailoverPlanner

    @property
    def number(self) -> int:
        """The number of the plan."""
        return self.zones.number + self.regions.number

    @property
    def sheds_load(self) -> bool:
        """Whether requests are shed because the serving zones or regions lack capacity."""
        return self.zones.sheds_load or self.regions.sheds_load

    def planner_of(self, name: str) -> FailoverPlanner:
        """Return the planner of the zone or region with this name."""
        return self.regions if name in self.regions.zones else self.zones


@dataclass(frozen=True, slots=True)
class FleetLoad:
    """Loads by zone, and the fraction of all requests that is over its tenant's quota, 0 to 1."""

    zones: Mapping[str, ZoneLoad]
    over_quota: float


class PlannerDuty:
    """The work of the holder of the planner's lease. `publish(plan, now)` applies a plan at this broker."""

    def __init__(
        self,
        view: FleetView,
        pace: FailoverPace,
        follower: PlanFollower,
        links: FleetLinks,
        publish: Callable[[FailoverPlan, int], None],
    ) -> None:
        self.view = view
        self.topology = view.topology
        self.pace = pace
        self.follower = follower
        self.links = links
        self.publish = publish
        self.term: PlannerTerm | None = None
        self.zone_health = FleetHealth({}, {})
        self.region_health = FleetHealth({}, {})
        self.logged_isolated: dict[str, str] = {}
        self.sent_at = 0  # µs; when the plan was last sent
        self.times_sent = 0  # transmissions of the plan since it last changed

    def act(self, grant: HeldLease) -> Generator[None, None, None]:
        """Run one step of the planner, yielding between short parts.

        Raises `NotPlanningError` if the lease was lost between two parts.
        """
        now = self.links.now()
        if self.term is None or self.term.grant.token != grant.token:
            self._begin_term(grant, now)
        reports = self.view.reports(now)
        self.zone_health = yield from assess_in_steps(*self.view.zone_input(reports))
        if self.topology.region_of:
            self.region_health = yield from assess_in_steps(*self.view.region_input(reports))
        yield None
        now = self.links.now()
        self._log_isolated()
        term = self.term
        if term is None:  # stepped down between two parts: stop planning
            raise NotPlanningError
        self._adopt(term.zones, reports, now)
        self._plan(term, grant, now)

    def step_down_from(self, lease: str) -> None:
        """Stop planning if the lost lease is the planner's."""
        if self.term is not None and self.term.grant.lease == lease:
            self.term = None

    def fleet_load(self, now: int) -> FleetLoad:
        """Return the load of all zones, from the reports that this broker has."""
        counts = self.view.tenant_counts(now)
        over = over_quota(counts, self.topology.quotas)
        return FleetLoad(self.view.zone_loads(now), over_quota_fraction(counts, over))

    def _begin_term(self, grant: HeldLease, now: int) -> None:
        """Start planning, from the newest plan that this broker knows."""
        zones = FailoverPlanner(list(self.topology.zones), self.pace, now, self._log_zone_event)
        regions = FailoverPlanner(self.topology.regions, self.pace, now, self._log_region_event)
        known = self.follower.plan
        if known is not None:
            received_at = self.follower.plan_received_at
            zones.resume(known.number, known.zones, bool(known.shed), received_at)
            regions.resume(0, known.regions, False, received_at)
        self.term = PlannerTerm(grant, zones, regions)
        self.sent_at = 0
        self.links.log_event(BrokerEvent.PLANNER_STARTED, token=grant.token, number=zones.number)

    def _adopt(self, planner: FailoverPlanner, reports: list[BrokerObservations], now: int) -> None:
        """Adopt a zone's local evacuations if at least half of the brokers made them.

        Otherwise all these brokers would return to the zone at once.
        """
        fresh = [report for report in reports if report.age < MAX_AGE]
        for name, zone in planner.zones.items():
            evacuated_brokers = sum(name in report.observed.locally_evacuated_zones for report in fresh)
            another_serves = any(z.share == FULL_SHARE for z in planner.zones.values() if z is not zone)
            enough = evacuated_brokers >= max(MIN_EVACUATED_BROKERS, len(fresh) / 2)
            if zone.stage is ZoneStage.SERVING and another_serves and enough:
                planner.adopt(
                    name, now, f"{evacuated_brokers} of {len(fresh)} brokers left it without a planner"
                )

    def _plan(self, term: PlannerTerm, grant: HeldLease, now: int) -> None:
        """Step both planners, and send the plan if it changed or a retransmission is due."""
        load = self.fleet_load(now)
        loads = load.zones
        over = 0.0 if term.sheds_load else load.over_quota  # the loads don't contain what is already shed
        changed = term.zones.step(now, self.zone_health.zones, loads, over)
        if self.topology.region_of:
            region_loads = self.view.region_loads(loads)
            changed |= term.regions.step(now, self.region_health.zones, region_loads, over)
        if changed:
            self.times_sent = 0
        interval = INITIAL_REPEAT_INTERVALS.get(self.times_sent, REPEAT_INTERVAL)
        if changed or now - self.sent_at >= interval:
            self._send_plan(term, grant, loads, now)

    def _send_plan(
        self, term: PlannerTerm, grant: HeldLease, loads: Mapping[str, ZoneLoad], now: int
    ) -> None:
        self.sent_at = now
        self.times_sent += 1
        zones, regions = term.zones.statuses(now), term.regions.statuses(now)
        plan = FailoverPlan(
            grant.token,
            grant.instance_id,
            term.number,
            zones,
            regions,
            dict(self._shed_permille_by_tenant(term, loads, now)),
        )
        self.publish(plan, now)
        for peer in self.links.living_peers():
            self.links.send(peer, plan)

    def _shed_permille_by_tenant(
        self, term: PlannerTerm, loads: Mapping[str, ZoneLoad], now: int
    ) -> Mapping[str, int]:
        counts = self.view.tenant_counts(now)
        over = over_quota(counts, self.topology.quotas)
        return shed_permille_by_tenant(counts, over, self._excess_fraction(term, counts, loads, now))

    def _excess_fraction(
        self, term: PlannerTerm, counts: Mapping[str, int], loads: Mapping[str, ZoneLoad], now: int
    ) -> float:
        """Return the fraction of the offered load that exceeds the zones' capacity while one is out, 0 to 1.

        The offered load includes requests that are shed. Without shedding, the decision modules would put
        more and more requests onto the few remaining engines, and nearly all answers would be late.
        """
        serving = (ZoneStage.SERVING, ZoneStage.SUSPECT)
        states = (*term.zones.zones.values(), *term.regions.zones.values())
        work_per_answer = self.view.work_per_answer(now)
        if all(zone.stage in serving for zone in states) or work_per_answer is None:
            return 0.0
        offered_load = sum(counts.values()) / COUNT_SECONDS * work_per_answer
        usable = sum(load.cores * self._usable_fraction(term, zone, now) for zone, load in loads.items())
        usable_capacity = usable * self.pace.max_utilization
        return max(0.0, 1 - usable_capacity / offered_load) if offered_load else 0.0

    def _usable_fraction(self, term: PlannerTerm, zone_name: str, now: int) -> float:
        """Return the usable fraction of a zone's cores; at most that of its region."""
        zone = term.zones.zones[zone_name]
        region = term.regions.zones.get(self.topology.region_of.get(zone_name, ""))
        states = [state for state in (zone, region) if state is not None]
        return min(usable_fraction(state, now, self.pace) for state in states)

    def _log_isolated(self) -> None:
        """Log each isolated broker once, when it becomes isolated."""
        for broker, reason in self.zone_health.isolated.items():
            if broker not in self.logged_isolated:
                self.links.log_event(BrokerEvent.PEER_ISOLATED, peer=broker, why=reason)
        self.logged_isolated = dict(self.zone_health.isolated)

    def _token(self) -> int:
        return self.term.grant.token if self.term else 0

    def _log_zone_event(self, event: ZoneEvent, zone: str, reason: str) -> None:
        self.links.log_event(event, zone=zone, why=reason, token=self._token())

    def _log_region_event(self, event: ZoneEvent, region: str, reason: str) -> None:
        self.links.log_event(
            event.replace("zone_", "region_"), region=region, why=reason, token=self._token()
        )
