"""State shared by the parts of one replica: its name and voters, the time, its role and its callbacks."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from cypressledge.controlplane.messages import Change, Message, Op, Snapshot

NEVER = -(1 << 62)  # µs; earlier than any other time
HEARTBEAT_INTERVAL_US = 500_000  # µs; time between a leader's heartbeats and between a candidate's retries


class Role(StrEnum):
    """Raft's roles; the values are the names that operator calls and events use."""

    FOLLOWER = "standby"
    CANDIDATE = "recovering"
    LEADER = "primary"


@dataclass(frozen=True, slots=True)
class ReplicaIdentity:
    """A replica's name and process instance, and the names of all voters including its own."""

    name: str
    instance_id: int
    voters: tuple[str, ...]


CommitHandler = Callable[[list[Change] | None, Snapshot | None], None]


@dataclass(frozen=True, slots=True)
class ReplicaHandlers:
    """Callbacks of a replica; none of them may call back into it.

    `on_commit(changes, None)` or `on_commit(None, snapshot)` is called when versions become committed here,
    also during construction.
    """

    send: Callable[[str, Message], None]  # sends a message to a peer
    on_commit: CommitHandler
    report: Callable[..., None]  # reports an event by name, with its fields


@dataclass(frozen=True, slots=True)
class FirstVersion:
    """Permission to start a new replicated log if a majority is empty: its identity and first operations."""

    cluster_id: str
    ops: list[Op]


@dataclass(slots=True)
class ReplicaContext:
    """State shared by the parts of one replica; only they modify its variable fields.

    `send(peer, message)` and `report(event, **fields)` must not call back into the replica. `now` is in µs on
    the process's own clock and is set by each external call.
    """

    name: str
    instance_id: int
    voters: tuple[str, ...]
    send: Callable[[str, Message], None]
    report: Callable[..., None]
    now: int
    role: Role = Role.FOLLOWER
    leader: str = ""  # name of the last known leader; empty if there is none
    first_version: FirstVersion | None = None
    peers: tuple[str, ...] = field(init=False)

    def __post_init__(self) -> None:
        self.peers = tuple(voter for voter in self.voters if voter != self.name)

    def is_majority(self, count: int) -> bool:
        """Return whether `count` voters are a majority; any two majorities share at least one voter."""
        return count > len(self.voters) // 2
