"""An engine as its source describes it: the configuration, a name server or the control plane."""

from dataclasses import dataclass

from cypressledge.decisions.contract import EngineState


@dataclass(frozen=True, slots=True)
class DiscoveredEngine:
    """One entry of an engine list."""

    name: str
    host: str
    port: int
    state: EngineState
    kind: str = ""
    zone: str = ""
    cell: int = 0
    started_at_ms: int = 0  # ms, Unix time; start of the engine's process as listed; 0: long ago
