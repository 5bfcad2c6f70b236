"""What a voter keeps durably: the protocol that a disk implements, what it returns, and its error."""

from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from cypressledge.controlplane.messages import Change, Snapshot


class StorageError(Exception):
    """The storage did not take or return something: it is full or damaged."""


class PromisedEpoch(NamedTuple):
    """The epoch promised last, and to which process instance (0: to whoever leads that epoch)."""

    epoch: int
    instance_id: int


NOTHING_PROMISED = PromisedEpoch(0, 0)


@dataclass(frozen=True, slots=True)
class StoredLog:
    """All that is stored. `base`: none before there is any history; `changes` follow it without a gap."""

    base: Snapshot | None = None
    changes: list[Change] = field(default_factory=list)
    commit: int = 0
    promised: tuple[int, int] = NOTHING_PROMISED
    joining: bool = False


class LogStorage(Protocol):
    """Durable storage of one replica.

    Each call is durable when it returns, completely or not at all, and raises `StorageError`.
    """

    @property
    def needs_compaction(self) -> bool:
        """Whether it holds so many changes that `compact` is due."""

    def load(self) -> StoredLog:
        """Everything that is stored."""

    def promise(self, epoch: int, instance_id: int) -> None:
        """Store which epoch was promised, and to which instance (0: to whoever leads that epoch)."""

    def append(self, changes: list[Change]) -> None:
        """Store changes that follow the last one."""

    def truncate(self, after_version: int) -> None:
        """Drop the changes after a version."""

    def commit(self, version: int) -> None:
        """Store that everything up to this version is known to be committed."""

    def install(self, snapshot: Snapshot) -> None:
        """Replace all history by a committed snapshot."""

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the changes up to a snapshot's version by the snapshot; later ones stay."""

    def joined(self) -> None:
        """Store that this replica counts in majorities again."""
