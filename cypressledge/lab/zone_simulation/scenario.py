"""One scenario of the model: its size, its load and the fault that happens in it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Scenario:
    """A scenario that can be played with zone failover off and on.

    `kind`: of fault; `load`: the work, as a part of all engines' cores; `loss`: the part of the messages
    between brokers that is lost.
    """

    seed: int
    kind: str
    brokers: int
    engines: int
    zones: int
    load: float = 0.55
    loss: float = 0.01
