"""A scenario of the simulation: its size, its load and its fault."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Scenario:
    """A scenario that can be played with zone failover off and on.

    `kind`: the kind of fault; `load`: work as a fraction of all engines' cores; `loss`: the fraction of the
    messages between brokers that is lost.
    """

    seed: int
    kind: str
    brokers: int
    engines: int
    zones: int
    load: float = 0.55
    loss: float = 0.01
