"""What the modules of the decisions share: settings, current time, random source and actions."""

from dataclasses import dataclass, field
from random import Random

from cypressledge.decisions.contract import Action, Settings


@dataclass(slots=True, eq=False)
class DecisionContext:
    """The inputs and outputs of one call of the decisions; no clock is read."""

    settings: Settings
    random: Random
    now: int = 0  # µs, time of the events that are handled
    actions: list[Action] = field(default_factory=list)  # what is to be done, in order
