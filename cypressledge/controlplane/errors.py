"""Errors of the replicated log that callers handle separately."""


class LogInvariantError(Exception):
    """A committed entry would be lost or changed, or one epoch has two leaders: the process must stop."""


class NotLeaderError(Exception):
    """This replica is not the leader. `leader` is the name of the last known leader, empty if unknown."""

    def __init__(self, leader: str) -> None:
        super().__init__(f"the leader is {leader or 'not known'}")
        self.leader = leader


class VersionConflictError(Exception):
    """`keys` have changed since the version that a request was based on."""

    def __init__(self, keys: list[str]) -> None:
        super().__init__(f"changed meanwhile: {', '.join(keys)}")
        self.keys = keys
