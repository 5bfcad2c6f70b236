"""Application of the failover plan at one broker: which engines are closed and which requests are shed."""

from collections.abc import Callable

from cypressledge.broker.requests import Query
from cypressledge.decisions import contract as c
from cypressledge.fleet.zones.load_shedding import TenantArrivals, is_shed
from cypressledge.fleet.zones.plan_follower import PlanFollower
from cypressledge.fleet.zones.topology import SiteTopology


class ZoneAdmission:
    """Admission checks that the broker core calls for engines and requests.

    `awaiting_plan`: this broker has just started and has not received a plan yet; all engines stay open
    meanwhile.
    """

    def __init__(self, topology: SiteTopology, follower: PlanFollower, now: Callable[[], int]) -> None:
        self.topology = topology
        self.follower = follower
        self.now = now
        self.arrivals = TenantArrivals()
        self.awaiting_plan = True
        self.shed_requests = 0

    def is_closed(self, entry: c.EngineListEntry) -> bool:
        """Return whether the plan closes an engine to this broker."""
        if self.awaiting_plan or not self.topology.zones:
            return False
        return not self.follower.is_open(entry.engine, self.topology.zone_of(entry))

    def admits(self, query: Query) -> bool:
        """Return whether a request is admitted. Counts it as an arrival, and as shed if it is rejected.

        The plan sheds part of the tenants' requests, those over quota first, while the serving zones lack
        the capacity for all of them.
        """
        self.arrivals.add(self.now(), query.tenant)
        part = self._shed_permille(query.tenant)
        if part and is_shed(query.id, part):
            self.shed_requests += 1
            return False
        return True

    def _shed_permille(self, tenant: str) -> int:
        """Return the permille of a tenant's requests to shed; 0 while the plan or its planner is missing."""
        plan = self.follower.plan
        if plan is None or self.follower.planner_is_missing(self.now()):
            return 0
        return plan.shed.get(tenant, 0)
