"""An engine as whoever lists it describes it: the configuration, a name server or the control plane."""

from dataclasses import dataclass

from cypressledge.decisions.contract import EngineState


@dataclass(frozen=True, slots=True)
class DiscoveredEngine:
    """One engine of a list."""

    name: str
    host: str
    port: int
    state: EngineState
    kind: str = ""
    zone: str = ""
    cell: int = 0
    started_at_ms: int = 0  # Unix time at which its process started, as listed; 0 is long ago
