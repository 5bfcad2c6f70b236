"""Explores all interleavings of a small world, and looks for two lease holders or a decreasing token. No I/O.

The network is the set of all messages ever sent. Each may be delivered at any time, repeatedly, in any
order, or never, which covers loss, delay, duplication and reordering. Real time advances in ticks; each
process's clock advances at its own rate. Voters and requesters may restart, and brokers may reload the voter
sets, at any moment, as often as the bounds allow. Nothing else is bounded: states hold durations instead of
points in time, so that a walk ends when no new state is left. The world runs the production classes `Voter`,
`LeaseAcquisition` and `Electorate`.
"""

from collections import deque
from dataclasses import dataclass, field

from cypressledge.lab.lease_model.bounds import Bounds, Implementation
from cypressledge.lab.lease_model.steps import possible_steps
from cypressledge.lab.lease_model.world import NOTHING_HELD, World

Predecessors = dict[
    int, tuple[int | None, str]
]  # hash of a state -> hash of its predecessor, text of the step


@dataclass
class WalkResult:
    """The result of a walk: numbers of states and steps, and the first fault with its trace."""

    states: int
    steps: int
    fault: str = ""
    trace: list[str] = field(default_factory=list)
    is_complete: bool = True  # every reachable state was explored
    held_states: int = 0  # states after the lease was first held; a walk that has none proves nothing


def walk(
    bounds: Bounds, implementation: Implementation | None = None, max_states: int = 1_000_000
) -> WalkResult:
    """Explore a world breadth-first until the first fault, or until `max_states` states are known."""
    implementation = implementation or Implementation()
    first = World(bounds, implementation)
    predecessors: Predecessors = {hash(first.key()): (None, "")}
    queue = deque([first])
    result = WalkResult(1, 0)
    while queue:
        world = queue.popleft()
        before = hash(world.key())
        for step in possible_steps(world, bounds, implementation):
            successor = world.copy()
            step.change(successor)
            result.steps += 1
            fault = successor.check()
            key = hash(successor.key())
            if key in predecessors and not fault:
                continue
            predecessors[key] = (before, step.text)
            result.states += 1
            result.held_states += successor.highest_held != NOTHING_HELD
            if fault:
                result.fault = fault
                result.trace = _trace(predecessors, key)
                return result
            if len(predecessors) >= max_states:
                result.is_complete = False
                return result
            queue.append(successor)
    return result


def _trace(predecessors: Predecessors, key: int | None) -> list[str]:
    """Return the texts of the steps from the initial state to the state `key`."""
    steps = []
    while key is not None:
        key, text = predecessors[key]
        steps.append(text)
    return steps[-2::-1]
