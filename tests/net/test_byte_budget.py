"""The budget of bytes that all connections share."""

from cypressledge.net.byte_budget import ByteBudget


class Holder:
    """A holder that counts how often it gave up its bytes."""

    def __init__(self, budget):
        self.budget, self.held_bytes, self.times_given_up = budget, 0, 0

    def reserve(self, size):
        is_reserved = self.budget.reserve_for(self, size)
        if is_reserved:
            self.held_bytes += size
            self.budget.holders.add(self)
        return is_reserved

    def give_up_bytes(self):
        self.times_given_up += 1
        self.budget.release(self.held_bytes)
        self.held_bytes = 0
        self.budget.holders.discard(self)


def test_a_budget_reserves_up_to_its_limit_or_nothing():
    budget = ByteBudget(10)
    assert budget.reserve(10)
    assert not budget.reserve(1)
    assert budget.used == 10
    budget.release(4)
    assert budget.reserve(4)


def test_the_largest_holder_gives_up_its_bytes_to_the_others():
    budget = ByteBudget(10)
    small, large = Holder(budget), Holder(budget)
    assert large.reserve(7)
    assert small.reserve(3)
    assert small.reserve(2)
    assert (large.times_given_up, small.times_given_up, budget.used) == (1, 0, 5)


def test_a_holder_that_would_become_the_largest_gives_up_its_own_bytes():
    budget = ByteBudget(10)
    first, second = Holder(budget), Holder(budget)
    assert first.reserve(6)
    assert second.reserve(4)
    assert not second.reserve(2)
    assert (first.times_given_up, second.times_given_up, budget.used) == (0, 1, 6)


def test_a_request_beyond_the_whole_budget_is_refused():
    budget = ByteBudget(10)
    assert not Holder(budget).reserve(11)
    assert budget.used == 0
