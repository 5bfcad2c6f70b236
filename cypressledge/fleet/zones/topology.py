"""The topology of a site: zones of engines and brokers, regions of zones, and tenants' quotas."""

from dataclasses import dataclass

from cypressledge.decisions import contract as c


@dataclass(frozen=True, slots=True)
class SiteTopology:
    """Zones, regions and quotas of a site.

    `zones`: names of the zones, indexed by the zone numbers in engine lists; `broker_zones`: the zone of each
    broker; `region_of`: the region of each zone that is in one; `quotas`: each tenant's quota, requests per
    second over all brokers.
    """

    zones: tuple[str, ...]
    broker_zones: dict[str, str]
    region_of: dict[str, str]
    quotas: dict[str, float]

    def zone_of(self, entry: c.EngineListEntry) -> str:
        """Return the name of an engine's zone."""
        return self.zones[min(entry.zone, len(self.zones) - 1)]

    @property
    def regions(self) -> list[str]:
        """The names of all regions, sorted."""
        return sorted(set(self.region_of.values()))
