"""Where the failover plan takes effect at one broker: which engines are closed, and which requests are
shed."""

from collections.abc import Callable

from cypressledge.broker.requests import Query
from cypressledge.decisions import contract as c
from cypressledge.fleet.zones.load_shedding import TenantArrivals, is_shed
from cypressledge.fleet.zones.plan_follower import PlanFollower
from cypressledge.fleet.zones.topology import SiteTopology


class ZoneAdmission:
    """What the core asks about engines and requests. `awaiting_plan`: this broker has just started and knows
    no plan; until then it leaves all engines open."""

    def __init__(self, topology: SiteTopology, follower: PlanFollower, now: Callable[[], int]) -> None:
        self.topology = topology
        self.follower = follower
        self.now = now
        self.arrivals = TenantArrivals()
        self.awaiting_plan = True
        self.shed_requests = 0

    def is_closed(self, entry: c.EngineListEntry) -> bool:
        """Whether the plan closes an engine to this broker."""
        if self.awaiting_plan or not self.topology.zones:
            return False
        return not self.follower.is_open(entry.engine, self.topology.zone_of(entry))

    def admits(self, query: Query) -> bool:
        """Whether a request is admitted: what is over its tenant's quota is not, while the zones that serve
        can't bear all."""
        self.arrivals.add(self.now(), query.tenant)
        part = self._shed_permille(query.tenant)
        if part and is_shed(query.id, part):
            self.shed_requests += 1
            return False
        return True

    def _shed_permille(self, tenant: str) -> int:
        """Permille of a tenant's requests that the plan sheds; none by a plan whose planner is missing."""
        plan = self.follower.plan
        if plan is None or self.follower.planner_is_missing(self.now()):
            return 0
        return plan.shed.get(tenant, 0)
