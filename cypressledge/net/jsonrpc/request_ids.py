"""The JSON-RPC ids used on a connection: each may identify only one call."""

MAX_SKIPPED = 1024  # maximum number of remembered ids that were used out of order


class UsedRequestIds:
    """The ids that count as used: all up to `highest_contiguous`, and those in `out_of_order` beyond it."""

    def __init__(self) -> None:
        self.highest_contiguous = 0
        self.out_of_order: set[int] = set()

    def add(self, request_id: int) -> bool:
        """Mark an id as used; return False if it was used before."""
        if request_id <= self.highest_contiguous or request_id in self.out_of_order:
            return False
        self.out_of_order.add(request_id)
        if len(self.out_of_order) > MAX_SKIPPED:  # skipped ids below the lowest one now count as used
            self.highest_contiguous = min(self.out_of_order) - 1
        while self.highest_contiguous + 1 in self.out_of_order:
            self.highest_contiguous += 1
            self.out_of_order.remove(self.highest_contiguous)
        return True
