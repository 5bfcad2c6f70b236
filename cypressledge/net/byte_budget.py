"""Limits on the bytes that all connections of the process hold together."""

from typing import Protocol


class BudgetHolder(Protocol):
    """A connection's part that holds bytes of a budget and can give them up."""

    @property
    def held_bytes(self) -> int:
        """The number of bytes held, by which holders are compared."""

    def give_up_bytes(self) -> None:
        """Release all held bytes, because other connections need them."""


class ByteBudget:
    """Limit on the bytes that all connections hold together, in addition to the limit of each connection."""

    def __init__(self, limit: int) -> None:
        self.limit, self.used = limit, 0
        self.holders: set[BudgetHolder] = set()  # those that may be told to give up their bytes

    def reserve(self, size: int) -> bool:
        """Reserve `size` bytes; return False, with nothing reserved, if they exceed the limit."""
        if self.used + size > self.limit:
            return False
        self.used += size
        return True

    def reserve_for(self, holder: BudgetHolder, size: int) -> bool:
        """Reserve `size` bytes; return False, with nothing reserved, if `holder` gave up its bytes instead.

        When the budget is exhausted, the holder with the most bytes gives up its own, whichever asks for
        more: a few that hold much must not cost the others their requests or answers."""
        while not self.reserve(size):
            largest = max(self.holders, key=lambda other: other.held_bytes, default=holder)
            if largest.held_bytes <= holder.held_bytes + size:
                largest = holder
            largest.give_up_bytes()
            if largest is holder:
                return False
        return True

    def release(self, size: int) -> None:
        """Return `size` reserved bytes."""
        self.used -= size
