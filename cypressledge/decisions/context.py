"""State that the modules of the decision logic share: settings, current time, random source and actions."""

from dataclasses import dataclass, field
from random import Random

from cypressledge.decisions.contract import Action, Settings


@dataclass(slots=True, eq=False)
class DecisionContext:
    """Inputs and outputs of one call of `WorkloadManager.handle`; no clock is read."""

    settings: Settings
    random: Random
    now: int = 0  # µs; time of the events being handled
    actions: list[Action] = field(default_factory=list)  # actions to execute, in order
