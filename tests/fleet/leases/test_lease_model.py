"""The lease in whole small worlds: never two holders; and every guard is seen to be needed."""

from functools import cache

import pytest

from cypressledge.lab.lease_model.run import named_walks, walk_all

FOUND = cache(walk_all)
ALL = named_walks()


@pytest.mark.parametrize("name", [n for kind, n in ALL if kind == "world"])
def test_no_two_holders_and_no_shrinking_token(name):
    found = FOUND()["world", name]
    print(f"{name}: {found.states} states, {found.steps} steps, held in {found.held_states}")
    assert not found.fault, "\n".join(found.trace)
    assert found.is_complete
    assert found.held_states > 100


@pytest.mark.parametrize("guard", [n for kind, n in ALL if kind == "mutation"])
def test_without_a_guard_the_walk_finds_the_fault(guard):
    found = FOUND()["mutation", guard]
    print(f"without {guard}: {found.fault}\n" + "\n".join(found.trace))
    assert found.fault
    assert found.trace
