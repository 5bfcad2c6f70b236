"""Where engines and brokers of a site stand: zones, regions, and tenants' quotas."""

from dataclasses import dataclass

from cypressledge.decisions import contract as c


@dataclass(frozen=True, slots=True)
class SiteTopology:
    """The zones of engines by their numbers in the lists, the zone of each broker, the region of each zone
    that is in one, and each tenant's quota (requests a second over all brokers)."""

    zones: tuple[str, ...]
    broker_zones: dict[str, str]
    region_of: dict[str, str]
    quotas: dict[str, float]

    def zone_of(self, entry: c.EngineListEntry) -> str:
        """An engine's zone by name."""
        return self.zones[min(entry.zone, len(self.zones) - 1)]

    @property
    def regions(self) -> list[str]:
        """All regions, in order."""
        return sorted(set(self.region_of.values()))
