"""Durable storage of a voter: the storage protocol, the data that it returns, and its error."""

from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from cypressledge.controlplane.messages import Change, Snapshot


class StorageError(Exception):
    """The storage could not write or read something: it is full or damaged."""


class PromisedEpoch(NamedTuple):
    """The epoch promised last and the process instance it was promised to (0: any leader of that epoch)."""

    epoch: int
    instance_id: int


NOTHING_PROMISED = PromisedEpoch(0, 0)


@dataclass(frozen=True, slots=True)
class StoredLog:
    """Everything that a voter stores.

    `base` is None until there is a history; `changes` follow it without a gap.
    """

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
        """Whether so many changes are stored that `compact` is due."""

    def load(self) -> StoredLog:
        """Return everything that is stored."""

    def promise(self, epoch: int, instance_id: int) -> None:
        """Store the promised epoch and the instance it is promised to (0: any leader of that epoch)."""

    def append(self, changes: list[Change]) -> None:
        """Store changes that follow the last stored one."""

    def truncate(self, after_version: int) -> None:
        """Drop the changes after a version."""

    def commit(self, version: int) -> None:
        """Store that everything up to this version is known to be committed."""

    def install(self, snapshot: Snapshot) -> None:
        """Replace the complete history by a committed snapshot."""

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the changes up to a snapshot's version by the snapshot; keep later changes."""

    def joined(self) -> None:
        """Store that this replica counts in majorities again."""
