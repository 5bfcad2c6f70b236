"""Walks the lease through all interleavings of a small world, for two holders or a shrinking token. No I/O.

The network is the set of all messages ever sent: each may be delivered at any time, again, in any order, or
never, so loss, delay, duplicates and reordering are all of its behaviours. Real time moves in ticks; each
process's clock moves by its own rate. Voters and requesters may restart, and brokers reload the voter sets,
at any moment, as often as the bounds say. Nothing else is bounded: states are kept with spans in place of
moments, so a walk ends when no new state is left. The world runs the program's own `Voter`,
`LeaseAcquisition` and `Electorate`.
"""

from collections import deque
from dataclasses import dataclass, field

from cypressledge.lab.lease_model.bounds import Bounds, Implementation
from cypressledge.lab.lease_model.steps import possible_steps
from cypressledge.lab.lease_model.world import NOTHING_HELD, World

Predecessors = dict[int, tuple[int | None, str]]  # by a state's hash: the state before, and the step from it


@dataclass
class WalkResult:
    """What a walk found: how many states and steps, and the trace of the first failure."""

    states: int
    steps: int
    fault: str = ""
    trace: list[str] = field(default_factory=list)
    is_complete: bool = True  # no state was left out
    held_states: int = 0  # in which somebody has held the lease: a walk without any means nothing


def walk(
    bounds: Bounds, implementation: Implementation | None = None, max_states: int = 1_000_000
) -> WalkResult:
    """Walk a world, nearest states first, until a failure or `max_states` states."""
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
    """Return the steps from the first state to this one."""
    steps = []
    while key is not None:
        key, text = predecessors[key]
        steps.append(text)
    return steps[-2::-1]
