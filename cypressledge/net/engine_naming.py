"""Converts lists of discovered engines for the engine registry and the decisions."""

from collections.abc import Iterable

from cypressledge.broker.core import BrokerCore
from cypressledge.broker.discovered_engine import DiscoveredEngine
from cypressledge.broker.engine_start_times import EngineStartTimes
from cypressledge.broker.requests import Endpoint, ListedEngine
from cypressledge.broker.stable_hash import stable_hash
from cypressledge.clock import monotonic_us, wall_offset_us
from cypressledge.decisions.contract import EngineListEntry, EngineListKind

# An engine may be taken for older than it is by 1/4 of the slow-start window; with a larger error a cold
# engine gets more than its share.
START_TIME_TOLERANCE_DIVISOR = 4


class EngineNaming:
    """Converts discovered engines to entries for the decisions; the settings number the kinds and zones."""

    def __init__(self, kinds: tuple[str, ...], zones: tuple[str, ...], wire: str) -> None:
        self.wire = wire
        self.published: tuple[EngineListKind, list[DiscoveredEngine]] | None = None  # the last list
        self.starts = EngineStartTimes(wall_offset_us())
        self._set_names(kinds, zones)

    def _set_names(self, kinds: tuple[str, ...], zones: tuple[str, ...]) -> None:
        self.kinds = {name: index for index, name in enumerate(kinds)}
        self.zones = {name: index for index, name in enumerate(zones)}

    def rename(self, core: BrokerCore, kinds: tuple[str, ...], zones: tuple[str, ...]) -> None:
        """Apply changed names of kinds and zones, and publish the last list anew with their new numbers."""
        before = self.kinds, self.zones
        self._set_names(kinds, zones)
        if self.published is not None and (self.kinds, self.zones) != before:
            self.publish(core, *self.published)

    def publish(self, core: BrokerCore, kind: EngineListKind, engines: Iterable[DiscoveredEngine]) -> None:
        """Publish a complete engine list to the core."""
        listed = list(engines)
        self.published = kind, listed
        start_times = {engine.name: engine.started_at_ms for engine in listed}
        self.starts.update(
            start_times, monotonic_us(), core.settings.slow_start_window // START_TIME_TOLERANCE_DIVISOR
        )
        core.engines.update_list(self.wire, kind, list(map(self._listed_engine, listed)))

    def _listed_engine(self, engine: DiscoveredEngine) -> ListedEngine:
        """Return an engine's entry for the decisions, with its endpoint."""
        number = stable_hash(engine.name)
        entry = EngineListEntry(
            number,
            engine.state,
            self.kinds.get(engine.kind, 0),
            self.zones.get(engine.zone, 0),
            engine.cell,
            self.starts.started_at(engine.name, engine.started_at_ms),
        )
        address = (engine.host, engine.port)
        return ListedEngine(entry, Endpoint(number, engine.name, address, self.wire, engine.started_at_ms))
