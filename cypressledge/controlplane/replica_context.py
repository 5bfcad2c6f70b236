"""What the parts of one replica share: its name and voters, the time, its role, and the ways out."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from cypressledge.controlplane.messages import Change, Message, Op, Snapshot

NEVER = -(1 << 62)  # µs: a moment before all others
HEARTBEAT_INTERVAL_US = 500_000  # between a leader's heartbeats, and repeats of a candidate's requests


class Role(StrEnum):
    """Raft's roles; the values are the words of operators' calls and events."""

    FOLLOWER = "standby"
    CANDIDATE = "recovering"
    LEADER = "primary"


@dataclass(frozen=True, slots=True)
class ReplicaIdentity:
    """Who a replica is, and the names of all voters, its own among them."""

    name: str
    instance_id: int
    voters: tuple[str, ...]


CommitHandler = Callable[[list[Change] | None, Snapshot | None], None]


@dataclass(frozen=True, slots=True)
class ReplicaHandlers:
    """The ways out of a replica; none may call back into it.

    `on_commit(changes, None)` or `on_commit(None, snapshot)` is called as versions become committed here, at
    the start too.
    """

    send: Callable[[str, Message], None]  # to a peer
    on_commit: CommitHandler
    report: Callable[..., None]  # an event by name, with its fields


@dataclass(frozen=True, slots=True)
class FirstVersion:
    """Permission to start a new replicated log, should a majority be empty: its name and first changes."""

    cluster_id: str
    ops: list[Op]


@dataclass(slots=True)
class ReplicaContext:
    """Shared by the parts of one replica, which alone change what is not fixed at the start.

    `send(peer, message)` and `report(event, **fields)` must not call back into the replica. `now` is µs on
    the process's own clock, set at each call from outside.
    """

    name: str
    instance_id: int
    voters: tuple[str, ...]
    send: Callable[[str, Message], None]
    report: Callable[..., None]
    now: int
    role: Role = Role.FOLLOWER
    leader: str = ""  # the last one known; empty: none
    first_version: FirstVersion | None = None
    peers: tuple[str, ...] = field(init=False)

    def __post_init__(self) -> None:
        self.peers = tuple(voter for voter in self.voters if voter != self.name)

    def is_majority(self, count: int) -> bool:
        """Guards against two halves of the voters that have nobody in common."""
        return count > len(self.voters) // 2
