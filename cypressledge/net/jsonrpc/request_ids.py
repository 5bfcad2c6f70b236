"""The JSON-RPC ids that a connection has used: each may name one call only."""

MAX_SKIPPED = 1024  # ids used out of order that a connection remembers


class UsedRequestIds:
    """All ids up to `floor`, and those `above` it."""

    def __init__(self) -> None:
        self.floor = 0
        self.above: set[int] = set()

    def add(self, request_id: int) -> bool:
        """Use an id; False if it was used before."""
        if request_id <= self.floor or request_id in self.above:
            return False
        self.above.add(request_id)
        if len(self.above) > MAX_SKIPPED:  # the skipped ids below the others count as used from now on
            self.floor = min(self.above) - 1
        while self.floor + 1 in self.above:
            self.floor += 1
            self.above.remove(self.floor)
        return True
