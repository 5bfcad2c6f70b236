"""Zone failover at one broker: observes engines, follows the plan, and plans while it holds the lease.

Opens no sockets: messages go through the fleet's transport. Engines are closed where the core receives engine
lists, because every list passes there. Callers pass the time (µs of the clock that leases use).
"""

from collections.abc import Generator

from cypressledge.fleet.leases.lease import HeldLease
from cypressledge.fleet.messages import EngineObservations, FailoverPlan, PlanRequest, ZoneCommand
from cypressledge.fleet.operator_answers import ZonesAnswer
from cypressledge.fleet.zones import operator_commands
from cypressledge.fleet.zones.admission import ZoneAdmission
from cypressledge.fleet.zones.environment import FleetLinks, ZoneCore
from cypressledge.fleet.zones.events import BrokerEvent
from cypressledge.fleet.zones.failover_plan import FailoverPace
from cypressledge.fleet.zones.fleet_view import FleetView
from cypressledge.fleet.zones.health import assess
from cypressledge.fleet.zones.observer import ZoneObserver
from cypressledge.fleet.zones.plan_follower import PlanFollower
from cypressledge.fleet.zones.planner_duty import PlannerDuty
from cypressledge.fleet.zones.topology import SiteTopology

TICK_INTERVAL = 200_000  # µs between ticks, and between reports that contain failures or late answers
IDLE_REPORT_INTERVAL = 500_000  # µs between reports without failures or late answers
CANDIDATE_REPORT_INTERVAL = 1_000_000  # µs between reports to the next candidates for the planner's lease
MAX_START_WAIT = 1_500_000  # µs that a starting broker waits for a plan before it continues without one
START_PEERS = 5  # number of peers that a starting broker asks for the plan
PLANNER_STEP_S = 0.1  # s between steps of the planner

ZoneMessage = EngineObservations | FailoverPlan | PlanRequest | ZoneCommand


class ZoneFailover:
    """Zone failover at one broker: observer, plan follower, and the planner while it holds the lease."""

    def __init__(
        self, broker: str, core: ZoneCore, topology: SiteTopology, pace: FailoverPace, links: FleetLinks
    ) -> None:
        self.broker = broker
        self.core = core
        self.topology = topology
        self.links = links
        self.started_at = links.now()
        self.follower = PlanFollower(broker, topology.region_of)
        self.follower.plan_received_at = self.started_at
        self.observer = ZoneObserver(core, links.now)
        self.admission = ZoneAdmission(topology, self.follower, links.now)
        self.view = FleetView(core, topology)
        self.duty = PlannerDuty(self.view, pace, self.follower, links, self._publish)
        self.planner_name = ""  # sender of the plan accepted last
        self.next_tick = 0
        self.reported_at = 0
        self.reported_to_candidates_at = 0
        core.ledger.observer = self.observer
        core.engines.is_closed = self.admission.is_closed
        core.ledger.admission_filter = self.admission.admits

    def receive(self, sender: str, message: ZoneMessage) -> None:
        """Handle a peer's message about zones."""
        now = self.links.now()
        if isinstance(message, EngineObservations):
            self.view.record(sender, message, now)
        elif isinstance(message, FailoverPlan):
            self._accept(message, sender, now)
        elif isinstance(message, ZoneCommand):
            self._apply(message, now)
        elif self.follower.plan is not None:
            self.links.send(sender, self.follower.plan)

    def tick(self, now: int) -> int:
        """Observe, report to the planner, and evacuate lost zones locally if the planner is missing.

        Return the time of the next tick (µs).
        """
        if now < self.next_tick:
            return self.next_tick
        self.next_tick = now + TICK_INTERVAL
        engines = self.observer.snapshot(now)
        requests_by_tenant = dict(self.admission.arrivals.counts(now))
        observed = EngineObservations(engines, requests_by_tenant, sorted(self.follower.locally_evacuated))
        self._report(observed, now)
        if self.admission.awaiting_plan:
            self._request_plan(now)
        self._act_without_planner(observed, now)
        return self.next_tick

    def act(self, grant: HeldLease) -> Generator[None, None, None]:
        """Run one step of the planner under its lease, as a generator that yields between short parts."""
        return self.duty.act(grant)

    def step_down_from(self, lease: str) -> None:
        """Stop planning if the lost lease is the planner's."""
        self.duty.step_down_from(lease)

    def command(self, zone: str, action: str, duration: int, reason: str) -> str:
        """Apply an operator's command, valid for `duration` µs, or forward it to the planner.

        Return the planner's name, or an empty string if no planner is known.
        """
        command = ZoneCommand(zone, action, duration, reason)
        if self.duty.term is not None:
            self._apply(command, self.links.now())
            return self.broker
        if self.planner_name:
            self.links.send(self.planner_name, command)
        return self.planner_name

    def dry_run(self, zone: str, action: str, duration: int, reason: str) -> list[str] | None:
        """Return the events that a command would cause now, one line per event.

        None if this broker is not the planner.
        """
        return operator_commands.dry_run(
            self.duty, ZoneCommand(zone, action, duration, reason), self.links.now()
        )

    def status(self) -> ZonesAnswer:
        """Return the state of the zones as this broker sees it, for operators."""
        plan = self.follower.plan
        heard_s = (self.links.now() - self.follower.plan_received_at) / 1e6
        return ZonesAnswer(
            planner=self.planner_name,
            token=plan.token if plan else 0,
            number=plan.number if plan else 0,
            heard_s=round(heard_s, 2),
            shed_permille=plan.shed if plan else {},
            shed_here=self.admission.shed_requests,
            zones=operator_commands.zone_rows(self.duty),
        )

    def _apply(self, command: ZoneCommand, now: int) -> None:
        if self.duty.term is not None:
            operator_commands.apply_command(self.duty.term.planner_of(command.zone), command, now)

    def _publish(self, plan: FailoverPlan, now: int) -> None:
        self._accept(plan, self.broker, now)

    def _accept(self, plan: FailoverPlan, sender: str, now: int) -> None:
        """Follow a plan unless it is outdated, and refresh the engine lists if it opens or closes engines."""
        shares_before = self._shares()
        had_local_evacuations = bool(self.follower.locally_evacuated)
        if not self.follower.accept(plan, now):
            return
        self.planner_name = sender
        self.admission.awaiting_plan = False
        shares = self._shares()
        if shares != shares_before:
            self.links.log_event(
                BrokerEvent.PLAN_ACCEPTED, token=plan.token, number=plan.number, planner=sender, shares=shares
            )
            self.core.engines.refresh()
        elif had_local_evacuations:
            self.core.engines.refresh()

    def _shares(self) -> dict[str, int]:
        return {zone: self.follower.share(zone) for zone in self.topology.zones}

    def _report(self, observed: EngineObservations, now: int) -> None:
        """Send this broker's observations to the planner, and less often to its possible successors."""
        shows_faults = any(engine.consecutive_failures or engine.late for engine in observed.engines)
        if now - self.reported_at < (TICK_INTERVAL if shows_faults else IDLE_REPORT_INTERVAL):
            return
        self.reported_at = now
        self.view.record(self.broker, observed, now)
        recipients = {self.planner_name}
        if now - self.reported_to_candidates_at >= CANDIDATE_REPORT_INTERVAL:
            self.reported_to_candidates_at = now
            recipients |= set(self.links.likely_planners())
        for peer in recipients - {self.broker, ""}:
            self.links.send(peer, observed)

    def _request_plan(self, now: int) -> None:
        if now - self.started_at >= MAX_START_WAIT:
            self.admission.awaiting_plan = False
            return
        for peer in self.links.living_peers()[:START_PEERS]:
            self.links.send(peer, PlanRequest())

    def _act_without_planner(self, observed: EngineObservations, now: int) -> None:
        own = assess(*self.view.zone_input([self.view.report(self.broker, observed)]))
        if not self.follower.evacuate_lost_zones(now, own.zones):
            return
        left = sorted(self.follower.locally_evacuated)
        self.links.log_event(
            BrokerEvent.ZONES_EVACUATED, zones=left, why="; ".join(own.zones[zone].reason for zone in left)
        )
        self.core.engines.refresh()
