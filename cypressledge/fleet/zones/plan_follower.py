"""The newest plan that a broker knows, and what the broker does while there is no planner. No I/O.

Without a planner a broker may leave a zone on strong evidence of its own; it never returns by itself. Callers
pass the time (µs).
"""

from cypressledge.fleet.messages import FailoverPlan, ZoneStatus
from cypressledge.fleet.zones.failover_plan import FULL_SHARE, SECOND, is_engine_open
from cypressledge.fleet.zones.health import Verdict, ZoneFinding

PLANNER_TIMEOUT = 3 * SECOND  # µs without a plan after which a broker acts on evidence of its own
REJOIN_DELAY = (
    2 * SECOND
)  # µs that a broker stays out of a zone it left by itself, for the planner to adopt it


class PlanFollower:
    """One broker's plan. `region_of`: the region of each zone that is in one."""

    def __init__(
        self, broker: str, region_of: dict[str, str] | None = None, planner_timeout: int = PLANNER_TIMEOUT
    ) -> None:
        self.broker = broker
        self.region_of = region_of or {}
        self.planner_timeout = planner_timeout
        self.plan: FailoverPlan | None = None
        self.statuses: dict[str, ZoneStatus] = {}  # of zones and regions
        self.plan_received_at = 0
        self.planner_back_at = 0  # when the last time without a planner ended
        self.locally_evacuated: set[str] = set()  # zones left on evidence of this broker's own
        self.rejected_plans = 0

    def accept(self, plan: FailoverPlan, now: int) -> bool:
        """Take a plan over unless it is an older one, or a second planner's under the same token; whether it
        was taken."""
        known = self.plan
        if known is not None and (self.is_rival(plan, known) or self.is_older(plan, known)):
            self.rejected_plans += 1
            return False
        if self.planner_is_missing(now):
            self.planner_back_at = now
        self.plan = plan
        self.plan_received_at = now
        self.statuses = {status.name: status for status in (*plan.zones, *plan.regions)}
        # Guards against a return all at once: the planner hears what was left before its plan on it counts.
        if now - self.planner_back_at >= REJOIN_DELAY:
            self.locally_evacuated = set()
        else:
            self.locally_evacuated &= {name for name, s in self.statuses.items() if s.share == FULL_SHARE}
        return True

    def is_rival(self, plan: FailoverPlan, known: FailoverPlan) -> bool:
        """Whether a plan is of another process under the same token."""
        return plan.token == known.token and plan.instance_id != known.instance_id

    def is_older(self, plan: FailoverPlan, known: FailoverPlan) -> bool:
        """Whether a plan is older than the one known: its planner's token, then its number."""
        return (plan.token, plan.number) < (known.token, known.number)

    def planner_is_missing(self, now: int) -> bool:
        """Whether no plan has come for so long that strong evidence of this broker's own counts."""
        return now - self.plan_received_at >= self.planner_timeout

    def observe(self, now: int, own_findings: dict[str, ZoneFinding]) -> bool:
        """Without a planner, leave zones that are lost as far as this broker sees, while another is healthy;
        whether it left any."""
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
        """This zone's share at this broker, permille: no more than its region's."""
        if zone in self.locally_evacuated:
            return 0
        names = (zone, self.region_of.get(zone, ""))
        return min((s.share for name in names if (s := self.statuses.get(name))), default=FULL_SHARE)

    def is_open(self, engine: int, zone: str) -> bool:
        """Whether this broker may send to an engine."""
        return is_engine_open(engine, self.broker, self.share(zone))
