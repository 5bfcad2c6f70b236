"""What the modules of the decisions share: settings, the present moment, random source and actions."""

from dataclasses import dataclass, field
from random import Random

from cypressledge.decisions.contract import Action, Settings


@dataclass(slots=True, eq=False)
class DecisionContext:
    """The inputs and outputs of one call of the decisions; the time is told, never read."""

    settings: Settings
    random: Random
    now: int = 0  # µs, the moment of the events that are handled
    actions: list[Action] = field(default_factory=list)  # what is to be done, in order
