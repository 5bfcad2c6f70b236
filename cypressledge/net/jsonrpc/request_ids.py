"""The JSON-RPC ids that a connection has used: each may name one call only."""

MAX_SKIPPED = 1024  # ids used out of order that a connection remembers


class UsedRequestIds:
    """All ids up to `highest_contiguous`, and those `out_of_order` it."""

    def __init__(self) -> None:
        self.highest_contiguous = 0
        self.out_of_order: set[int] = set()

    def add(self, request_id: int) -> bool:
        """Use an id; False if it was used before."""
        if request_id <= self.highest_contiguous or request_id in self.out_of_order:
            return False
        self.out_of_order.add(request_id)
        if len(self.out_of_order) > MAX_SKIPPED:  # the skipped ids below the others count as used from now on
            self.highest_contiguous = min(self.out_of_order) - 1
        while self.highest_contiguous + 1 in self.out_of_order:
            self.highest_contiguous += 1
            self.out_of_order.remove(self.highest_contiguous)
        return True
