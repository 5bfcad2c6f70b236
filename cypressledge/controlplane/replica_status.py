"""The status that a replica reports."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """Status of a replica, for operator calls and counters.

    `match` maps each voter to the version known to be on its disk (-1 if none is known); it is filled while
    this replica is the leader. `leader_silence_ms` is the time since the last contact with a leader, -1 if
    there has been none.
    """

    role: str
    epoch: int
    last: int
    commit: int
    match: dict[str, int]
    leader_silence_ms: int
    leader: str
    cluster_id: str
    joining: bool
