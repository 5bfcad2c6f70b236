"""Model checking of the lease in small worlds: there are never two holders, and each guard is necessary."""

from functools import cache

import pytest

from cypressledge.lab.lease_model.run import named_walks, walk_all

walk_results = cache(walk_all)
WALKS = named_walks()


@pytest.mark.parametrize("name", [n for kind, n in WALKS if kind == "world"])
def test_no_state_has_two_holders_or_a_decreasing_token(name):
    found = walk_results()["world", name]
    print(f"{name}: {found.states} states, {found.steps} steps, held in {found.held_states}")
    assert not found.fault, "\n".join(found.trace)
    assert found.is_complete
    assert found.held_states > 100


@pytest.mark.parametrize("guard", [n for kind, n in WALKS if kind == "mutation"])
def test_model_checker_finds_the_fault_of_each_removed_guard(guard):
    found = walk_results()["mutation", guard]
    print(f"without {guard}: {found.fault}\n" + "\n".join(found.trace))
    assert found.fault
    assert found.trace
