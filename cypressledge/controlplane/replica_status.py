"""What a replica tells of itself."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """For operators' calls and counters.

    `match`: by voter, the version known to be on its disk (-1: none known), while this is the leader.
    `leader_silence_ms`: since a leader was last heard from; -1: never.
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
