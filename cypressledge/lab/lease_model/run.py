"""The command `lab model`: explores all worlds and mutations in parallel, and prints the results."""

import multiprocessing
import os
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from cypressledge.lab.lease_model.bounds import Bounds, Implementation
from cypressledge.lab.lease_model.guard_mutations import DEEP_WORLDS, MUTATIONS, SUSPENDED_CLOCK, WORLDS
from cypressledge.lab.lease_model.model_checker import WalkResult, walk

SUSPENDED_GUARD = "a clock that goes on over a suspended machine"


class WalkName(NamedTuple):
    """The name of a walk; `kind` is `world` or `mutation`."""

    kind: str
    name: str


@dataclass(frozen=True, slots=True)
class Walk:
    """The input of a walk: a bounded world, and the lease classes that run in it."""

    bounds: Bounds
    implementation: Implementation


def named_walks(deep: bool = False) -> dict[WalkName, Walk]:
    """Return all walks by kind and name; `deep` includes the large ones."""
    worlds = WORLDS | (DEEP_WORLDS if deep else {})
    walks = {WalkName("world", bounds.name): Walk(bounds, Implementation()) for bounds in worlds.values()}
    for mutation in MUTATIONS:
        if deep or not mutation.is_deep:
            walks[WalkName("mutation", mutation.guard)] = Walk(mutation.world, mutation.implementation)
    walks[WalkName("mutation", SUSPENDED_GUARD)] = Walk(SUSPENDED_CLOCK, Implementation())
    return walks


def walk_all(deep: bool = False, max_states: int = 1_000_000) -> dict[WalkName, WalkResult]:
    """Run all walks in a pool with one process per core, and return their results."""
    walks = named_walks(deep)
    arguments = [(each.bounds, each.implementation, max_states) for each in walks.values()]
    with multiprocessing.get_context("spawn").Pool(os.cpu_count()) as pool:
        results = pool.starmap(walk, arguments, chunksize=1)
    return dict(zip(walks, results, strict=True))


def run(deep: bool, max_states: int, echo: Callable[[str], None]) -> int:
    """Run all walks and print the results; return 1 if a world has a fault or a mutation has none, else 0."""
    failures = states = 0
    for (kind, name), result in walk_all(deep, max_states).items():
        states += result.states
        if kind == "world":
            failures += bool(result.fault)
            echo(_world_summary(name, result))
        else:
            failures += not result.fault
            echo(f"without {name}: {result.fault or 'NOTHING FOUND'} ({result.states} states)")
        for number, step in enumerate(result.trace, 1):
            echo(f"    {number}. {step}")
    verdict = "FAILED" if failures else "no fault with all guards, one without any of them"
    echo(f"model: states {states}, {verdict}")
    return 1 if failures else 0


def _world_summary(name: str, result: WalkResult) -> str:
    incomplete = "" if result.is_complete else " (not complete)"
    return (
        f"world {name}: {result.states} states{incomplete}, {result.steps} steps, "
        f"held in {result.held_states}: {result.fault or 'no fault'}"
    )
