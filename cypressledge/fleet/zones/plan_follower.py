"""The newest plan that a broker knows, and its local evacuations while the planner is missing. No I/O.

Without a planner a broker may evacuate a zone locally if its own observations show the zone as lost. It
never returns to the zone without a plan. Callers pass the time (µs).
"""

from cypressledge.fleet.messages import FailoverPlan, ZoneStatus
from cypressledge.fleet.zones.failover_plan import FULL_SHARE, SECOND, is_engine_open
from cypressledge.fleet.zones.health import Verdict, ZoneFinding

PLANNER_TIMEOUT = 3 * SECOND  # µs without a plan after which a broker acts on its own observations
# µs that a broker stays out of a locally evacuated zone, so that the planner can adopt the evacuation
REJOIN_DELAY = 2 * SECOND


class PlanFollower:
    """The plan that one broker follows. `region_of`: the region of each zone that is in one."""

    def __init__(
        self, broker: str, region_of: dict[str, str] | None = None, planner_timeout: int = PLANNER_TIMEOUT
    ) -> None:
        self.broker = broker
        self.region_of = region_of or {}
        self.planner_timeout = planner_timeout
        self.plan: FailoverPlan | None = None
        self.statuses: dict[str, ZoneStatus] = {}  # by name, of zones and regions
        self.plan_received_at = 0
        self.planner_resumed_at = 0  # µs; when a plan arrived after the planner had been missing
        self.locally_evacuated: set[str] = set()  # zones evacuated by this broker's own observations
        self.rejected_plans = 0

    def accept(self, plan: FailoverPlan, now: int) -> bool:
        """Follow a plan unless it is older than the known one, or from another process under the same token.

        Return whether the plan was accepted.
        """
        known = self.plan
        if known is not None and (self.is_rival(plan, known) or self.is_older(plan, known)):
            self.rejected_plans += 1
            return False
        if self.planner_is_missing(now):
            self.planner_resumed_at = now
        self.plan = plan
        self.plan_received_at = now
        self.statuses = {status.name: status for status in (*plan.zones, *plan.regions)}
        # Keep local evacuations until the planner has received the reports on them, so that the brokers don't
        # all return to the zone at once.
        if now - self.planner_resumed_at >= REJOIN_DELAY:
            self.locally_evacuated = set()
        else:
            self.locally_evacuated &= {name for name, s in self.statuses.items() if s.share == FULL_SHARE}
        return True

    def is_rival(self, plan: FailoverPlan, known: FailoverPlan) -> bool:
        """Return whether a plan is from another process under the same token."""
        return plan.token == known.token and plan.instance_id != known.instance_id

    def is_older(self, plan: FailoverPlan, known: FailoverPlan) -> bool:
        """Return whether a plan is older than the known one, by its planner's token, then its number."""
        return (plan.token, plan.number) < (known.token, known.number)

    def planner_is_missing(self, now: int) -> bool:
        """Return whether no plan has arrived for so long that this broker acts on its own observations."""
        return now - self.plan_received_at >= self.planner_timeout

    def evacuate_lost_zones(self, now: int, own_findings: dict[str, ZoneFinding]) -> bool:
        """Without a planner, evacuate zones that this broker finds lost, if it finds another one healthy.

        Return whether it evacuated any.
        """
        if not self.planner_is_missing(now):
            return False
        open_zones = {z: f.verdict for z, f in own_findings.items() if z not in self.locally_evacuated}
        healthy = {zone for zone, verdict in open_zones.items() if verdict is Verdict.HEALTHY}
        lost = {zone for zone, verdict in open_zones.items() if verdict is Verdict.LOST}
        if not healthy or not lost:
            return False
        self.locally_evacuated |= lost
        return True

    def share(self, zone: str) -> int:
        """Return a zone's share at this broker, permille; at most its region's share."""
        if zone in self.locally_evacuated:
            return 0
        names = (zone, self.region_of.get(zone, ""))
        return min((s.share for name in names if (s := self.statuses.get(name))), default=FULL_SHARE)

    def is_open(self, engine: int, zone: str) -> bool:
        """Return whether this broker may send to an engine of a zone."""
        return is_engine_open(engine, self.broker, self.share(zone))
