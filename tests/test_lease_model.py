"""The lease in whole small worlds: never two holders; and every guard is seen to be needed."""

import multiprocessing
from functools import cache

import pytest

from cypressledge.lab.explore import Made, explore
from cypressledge.lab.mutants import MUTANTS, SUSPENDED, WORLDS

JOBS = ({("world", b.name): (b, Made()) for b in WORLDS.values()}
        | {("mutant", m.guard): (m.world, m.made) for m in MUTANTS}
        | {("world", "suspended"): (SUSPENDED, Made())})


def walk(job):
    return explore(*JOBS[job])


@cache
def walks():
    """All of them, side by side: this is minutes of one core."""
    with multiprocessing.get_context("spawn").Pool(8) as pool:
        return dict(zip(JOBS, pool.map(walk, JOBS, chunksize=1), strict=True))


@pytest.mark.parametrize("name", WORLDS)
def test_no_two_holders_and_no_shrinking_token(name):
    found = walks()["world", name]
    print(f"{name}: {found.states} states, {found.steps} steps, held in {found.held}")
    assert not found.fault, "\n".join(found.trace)
    assert found.whole and found.held > 100


@pytest.mark.parametrize("guard", [m.guard for m in MUTANTS])
def test_without_a_guard_the_walk_finds_the_fault(guard):
    found = walks()["mutant", guard]
    print(f"without {guard}: {found.fault}\n" + "\n".join(found.trace))
    assert found.fault and found.trace


def test_a_clock_that_stops_breaks_the_assumption():
    assert "two holders" in walks()["world", "suspended"].fault
