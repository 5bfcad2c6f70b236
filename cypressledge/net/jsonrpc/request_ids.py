"""The JSON-RPC ids used on a connection: each may identify only one call."""

MAX_SKIPPED = 1024  # maximum number of remembered ids that were used out of order


class UsedRequestIds:
    """The ids that count as used: all up to `used_up_to`, and those in `out_of_order` beyond it."""

    def __init__(self) -> None:
        self.used_up_to = 0
        self.out_of_order: set[int] = set()

    def add(self, request_id: int) -> bool:
        """Mark an id as used; return False if it was used before."""
        if request_id <= self.used_up_to or request_id in self.out_of_order:
            return False
        self.out_of_order.add(request_id)
        if len(self.out_of_order) > MAX_SKIPPED:  # skipped ids below the lowest one now count as used
            self.used_up_to = min(self.out_of_order) - 1
        while self.used_up_to + 1 in self.out_of_order:
            self.used_up_to += 1
            self.out_of_order.remove(self.used_up_to)
        return True
