"""Errors of the replicated log that its callers tell apart."""


class LogInvariantError(Exception):
    """A committed entry would be lost or changed, or one epoch has two leaders: the process has to stop."""


class NotLeaderError(Exception):
    """This replica is not the leader. `leader`: who is, as far as is known here; empty where it isn't."""

    def __init__(self, leader: str) -> None:
        super().__init__(f"the leader is {leader or 'not known'}")
        self.leader = leader


class VersionConflictError(Exception):
    """`keys` have changed since the version that a request was made on."""

    def __init__(self, keys: list[str]) -> None:
        super().__init__(f"changed meanwhile: {', '.join(keys)}")
        self.keys = keys
