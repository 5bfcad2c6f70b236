"""What one step of a failover planner goes by: findings, loads, and what follows from them. No I/O."""

from collections.abc import Mapping
from dataclasses import dataclass

from cypressledge.fleet.zones.failover_plan import FULL_SHARE, SHARE_STEPS, ZoneLoad
from cypressledge.fleet.zones.health import Verdict, ZoneFinding

MIN_UTILIZATION = 0.4  # part of all cores that a return reckons with at the least: work may grow meanwhile


@dataclass(frozen=True, slots=True)
class PlanningInput:
    """The input of one step, at `now` (µs); findings and loads by zone. `over_quota`: the part of all work
    that is over its tenants' quotas, 0 to 1."""

    now: int
    findings: Mapping[str, ZoneFinding]
    loads: Mapping[str, ZoneLoad]
    over_quota: float

    def is_lost(self, zone: str) -> bool:
        """Whether a zone is found lost."""
        finding = self.findings.get(zone)
        return finding is not None and finding.verdict is Verdict.LOST

    def is_strained(self, zone: str) -> bool:
        """Whether a zone fails in part, or for some brokers."""
        finding = self.findings.get(zone)
        return finding is not None and finding.verdict in (Verdict.DEGRADED, Verdict.PATH_CUT)

    def is_slow_while_idle(self, zone: str, idle_utilization: float) -> bool:
        """Whether a zone would be slow for another reason than its load: it does less than `idle_utilization`
        of its cores, and another zone is healthy."""
        load = self.loads.get(zone, ZoneLoad(0.0, 0.0))
        another_healthy = any(
            finding.verdict is Verdict.HEALTHY for name, finding in self.findings.items() if name != zone
        )
        return another_healthy and load.used < idle_utilization * load.cores

    def utilization(self) -> float:
        """The part of all cores that the work takes."""
        used = sum(load.used for load in self.loads.values())
        cores = sum(load.cores for load in self.loads.values())
        return min(1.0, max(MIN_UTILIZATION, used / cores)) if cores else 1.0

    def share_to_keep(self, zone: str, others: list[str], max_utilization: float, over_quota: float) -> int:
        """What of a zone that still serves has to stay, permille in steps, for the others to bear the rest
        with `max_utilization` of their cores. `over_quota`: the part of all work that is shed first."""
        own = self.loads.get(zone, ZoneLoad(0.0, 1.0)).used * (1 - over_quota)
        spare = sum(
            max(0.0, max_utilization * self.loads[other].cores - self.loads[other].used * (1 - over_quota))
            for other in others
            if other in self.loads
        )
        if own <= 0:
            return 0
        remainder = max(0.0, 1 - spare / own)
        if not remainder:
            return 0
        steps = -(-int(remainder * FULL_SHARE) * SHARE_STEPS // FULL_SHARE)  # rounded up
        return steps * FULL_SHARE // SHARE_STEPS
