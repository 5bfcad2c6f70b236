"""The input of one step of a failover planner: findings, loads, and values derived from them. No I/O."""

from collections.abc import Mapping
from dataclasses import dataclass

from cypressledge.fleet.zones.failover_plan import FULL_SHARE, SHARE_STEPS, ZoneLoad
from cypressledge.fleet.zones.health import Verdict, ZoneFinding

# fraction of all cores that a return assumes to be in use at least, because the load may grow meanwhile
MIN_UTILIZATION = 0.4


@dataclass(frozen=True, slots=True)
class PlanningInput:
    """The input of one step, at `now` (µs); findings and loads by zone. `over_quota`: the fraction of the
    load that is over its tenants' quotas, 0 to 1."""

    now: int
    findings: Mapping[str, ZoneFinding]
    loads: Mapping[str, ZoneLoad]
    over_quota: float

    def is_lost(self, zone: str) -> bool:
        """Return whether the verdict on a zone is `LOST`."""
        finding = self.findings.get(zone)
        return finding is not None and finding.verdict is Verdict.LOST

    def is_strained(self, zone: str) -> bool:
        """Return whether a zone fails in part, or for some brokers only."""
        finding = self.findings.get(zone)
        return finding is not None and finding.verdict in (Verdict.DEGRADED, Verdict.PATH_CUT)

    def is_slow_while_idle(self, zone: str, idle_utilization: float) -> bool:
        """Return whether load can't explain why a zone is slow: it uses less than `idle_utilization` of its
        cores, and another zone is healthy."""
        load = self.loads.get(zone, ZoneLoad(0.0, 0.0))
        another_healthy = any(
            finding.verdict is Verdict.HEALTHY for name, finding in self.findings.items() if name != zone
        )
        return another_healthy and load.used < idle_utilization * load.cores

    def utilization(self) -> float:
        """Return the fraction of all cores in use, at least `MIN_UTILIZATION`; 1 if no cores are known."""
        used = sum(load.used for load in self.loads.values())
        cores = sum(load.cores for load in self.loads.values())
        return min(1.0, max(MIN_UTILIZATION, used / cores)) if cores else 1.0

    def share_to_keep(self, zone: str, others: list[str], max_utilization: float, over_quota: float) -> int:
        """Return the share that a zone must keep, permille, for the others to take the rest of its load.

        The others use at most `max_utilization` of their cores. The share is rounded up to a whole step.
        `over_quota`: the fraction of the load that is shed first.
        """
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
