"""Which states of the control plane a broker accepts. No I/O.

What is accepted only goes on: no version at or below the own one, no epoch below the own one, no other
history. One exception: at the same version, a snapshot of a higher epoch, or, where the broker's own entries
no longer sum to its digest, one of the same epoch. Two sound states of one epoch and version can't both be of
the history; who is right can't be known here, so the broker keeps what it has, counts and logs it, and the
next version ends it.
"""

from collections.abc import Callable
from typing import Protocol

from cypressledge.broker.metrics import Counters
from cypressledge.controlplane.messages import (
    Change,
    Heartbeat,
    Snapshot,
    SnapshotRequest,
    to_printable_line,
)
from cypressledge.controlplane.state import FleetState, Position
from cypressledge.controlplane.state_values import StateError


class StateCallbacks(Protocol):
    """What is called as a state is accepted; see `SubscriberCallbacks`."""

    @property
    def changed(self) -> Callable[[FleetState, Change | None], str | None]:
        """After each change, or a snapshot."""

    @property
    def message_applied(self) -> Callable[[], str | None] | None:
        """Once all that a message brought is taken."""


class AcceptedState:
    """The state that a broker holds. `report(event, **fields)` is to count and log; `cluster_id`: of the only
    history to be accepted; empty: that of the first snapshot."""

    def __init__(
        self,
        counters: Counters,
        callbacks: StateCallbacks,
        report: Callable[..., None],
        cluster_id: str = "",
    ) -> None:
        self.state = FleetState()  # of no cluster while nothing is held
        self.rejection_reason = ""  # why some of it is not in force
        self._counters, self._callbacks, self._report = counters, callbacks, report
        self._only_cluster_id = cluster_id
        self._differing_version = -1  # at which a heartbeat's digest differed

    def is_same_cluster(self, cluster_id: str) -> bool:
        """Whether a history may be ours; one that has no id yet has nothing to send."""
        return not cluster_id or cluster_id == (self.state.cluster_id or self._only_cluster_id or cluster_id)

    def compare_digest(self, heartbeat: Heartbeat) -> None:
        """Report, once a version, that the control process has another state at the version held."""
        state = self.state
        if not state.cluster_id or heartbeat.version != state.version or heartbeat.digest == state.digest:
            return
        if self._differing_version != state.version:  # guards against a log line a second
            self._differing_version = state.version
            self._report("digest_differs", epoch=heartbeat.epoch, version=heartbeat.version)

    # Changes

    def apply(self, changes: list[Change]) -> SnapshotRequest | None:
        """Take what follows, up to where a snapshot is needed instead, if anywhere."""
        version_before = self.state.version
        request = self._apply_all(changes)
        if self.state.version > version_before:
            self._finish_message()
        return request

    def _apply_all(self, changes: list[Change]) -> SnapshotRequest | None:
        for change in changes:
            if not self.state.cluster_id or change.version > self.state.version + 1:
                self._report("version_gap", version=change.version, own=self.state.version)
                return SnapshotRequest("gap")
            if change.version <= self.state.version or change.epoch < self.state.epoch:
                self._reject(change.epoch, change.version)
                continue
            before = self.state.position
            try:
                self.state.apply(change)
            except StateError as err:
                self._report("change_digest_differs", version=change.version, why=str(err))
                return SnapshotRequest("digest")
            self._notify_changed(before, change)
        return None

    # Snapshots

    def replace(self, snapshot: Snapshot, state: FleetState) -> None:
        """Take a snapshot and the state restored from it, if that is to be taken."""
        if self._is_newer(snapshot):
            before, self.state = self.state.position, state
            self._notify_changed(before, None)
            self._finish_message()

    def _is_newer(self, snapshot: Snapshot) -> bool:
        """Whether a snapshot is to be taken: see the head of this file."""
        own = self.state
        if not own.cluster_id:
            return True
        if snapshot.version < own.version or snapshot.epoch < own.epoch:
            self._reject(snapshot.epoch, snapshot.version)
            return False
        if snapshot.version > own.version:
            return True
        if snapshot.digest != own.digest:
            self._report("digest_differs", epoch=snapshot.epoch, version=snapshot.version)
        if snapshot.epoch > own.epoch:
            return True
        if not own.digest_matches():
            self._report("state_corrupted", version=own.version)
            return True
        self._reject(snapshot.epoch, snapshot.version)
        return False

    # What others are told

    def _notify_changed(self, before: Position, change: Change | None) -> None:
        after = self.state.position
        has_not_gone_back = after.epoch >= before.epoch and after.version >= before.version
        self._counters.invariant(has_not_gone_back, "never_back")
        self._counters.add("snapshots_applied" if change is None else "changes_applied")
        self.rejection_reason = to_printable_line(self._callbacks.changed(self.state, change) or "")

    def _finish_message(self) -> None:
        if self._callbacks.message_applied is not None:
            self.rejection_reason = to_printable_line(self._callbacks.message_applied() or "")

    def _reject(self, epoch: int, version: int) -> None:
        self._report("update_rejected", epoch=epoch, version=version, own=self.state.position)
