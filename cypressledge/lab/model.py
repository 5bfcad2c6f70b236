"""Runs the explorer over all its worlds and all mutants, side by side, and says what it found."""

import multiprocessing
import os
from collections.abc import Callable

from cypressledge.lab.guard_mutations import DEEP, MUTANTS, SUSPENDED, WORLDS
from cypressledge.lab.model_checker import Found, Made, explore

Job = tuple[str, str]  # kind (world, mutant) and name


def jobs(deep: bool = False) -> dict[Job, tuple]:
    """All walks by kind and name: the world and the classes under it."""
    worlds = WORLDS | (DEEP if deep else {})
    return (
        {("world", b.name): (b, Made()) for b in worlds.values()}
        | {("mutant", m.guard): (m.world, m.made) for m in MUTANTS if deep or not m.deep}
        | {("mutant", "a clock that goes on over a suspended machine"): (SUSPENDED, Made())}
    )


def _walk(job: tuple) -> Found:
    bounds, made, most = job
    return explore(bounds, made, most)


def walks(deep: bool = False, most: int = 1_000_000) -> dict[Job, Found]:
    """All of them, in as many processes as there are cores."""
    todo = jobs(deep)
    with multiprocessing.get_context("spawn").Pool(os.cpu_count()) as pool:
        found = pool.map(_walk, [(*job, most) for job in todo.values()], chunksize=1)
    return dict(zip(todo, found, strict=True))


def run(deep: bool, most: int, say: Callable[[str], None]) -> int:
    """Walk and tell; 1 where a world fails, or a mutant does not."""
    bad = states = 0
    for (kind, name), found in walks(deep, most).items():
        states += found.states
        whole = "" if found.whole else " (not whole)"
        if kind == "world":
            bad += bool(found.fault)
            say(
                f"world {name}: {found.states} states{whole}, {found.steps} steps, held in {found.held}: "
                f"{found.fault or 'no fault'}"
            )
        else:
            bad += not found.fault
            say(f"without {name}: {found.fault or 'NOTHING FOUND'} ({found.states} states)")
        for number, line in enumerate(found.trace, 1):
            say(f"    {number}. {line}")
    verdict = "FAILED" if bad else "no fault with all guards, one without any of them"
    say(f"model: states {states}, {verdict}")
    return 1 if bad else 0
