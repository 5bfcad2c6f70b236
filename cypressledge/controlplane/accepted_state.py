"""Decides which states of the control plane a broker accepts. No I/O.

The accepted position never decreases: an update is rejected if its version is not above the broker's version,
if its epoch is below the broker's epoch, or if it belongs to another cluster. There is one exception: a
snapshot of the same version is accepted if its epoch is higher, or if its epoch is the same and the broker's
entries no longer match the broker's digest.

Two intact states of the same epoch and version but with different digests cannot both belong to the history.
A broker cannot determine which one does, so it keeps its state and counts and logs the difference. The next
version resolves it.
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
    """Callbacks for accepted states; see `SubscriberCallbacks`."""

    @property
    def changed(self) -> Callable[[FleetState, Change | None], str | None]:
        """Callback for each applied change or snapshot."""

    @property
    def message_applied(self) -> Callable[[], str | None] | None:
        """Callback for each message, once everything in it has been applied."""


class AcceptedState:
    """The state that a broker holds.

    `report(event, **fields)` counts and logs an event. `cluster_id` names the only cluster whose history is
    accepted; if it is empty, the first snapshot determines the cluster.
    """

    def __init__(
        self,
        counters: Counters,
        callbacks: StateCallbacks,
        report: Callable[..., None],
        cluster_id: str = "",
    ) -> None:
        self.state = FleetState()  # its cluster id is empty until a first snapshot is accepted
        self.rejection_reason = ""  # why a part of the state is not in force
        self._counters, self._callbacks, self._report = counters, callbacks, report
        self._only_cluster_id = cluster_id
        self._differing_version = -1  # the last version at which a heartbeat's digest differed

    def is_same_cluster(self, cluster_id: str) -> bool:
        """Return whether a cluster may be this broker's; one without an id has no history to send yet."""
        return not cluster_id or cluster_id == (self.state.cluster_id or self._only_cluster_id or cluster_id)

    def compare_digest(self, heartbeat: Heartbeat) -> None:
        """Report, once per version, that the control process has another state at the same version."""
        state = self.state
        if not state.cluster_id or heartbeat.version != state.version or heartbeat.digest == state.digest:
            return
        if self._differing_version != state.version:  # otherwise each heartbeat would write a log line
            self._differing_version = state.version
            self._report("digest_differs", epoch=heartbeat.epoch, version=heartbeat.version)

    # Changes

    def apply(self, changes: list[Change]) -> SnapshotRequest | None:
        """Apply the changes that follow the state, up to the first one that requires a snapshot instead.

        Returns the request for that snapshot, or None if there is no such change.
        """
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
        """Replace the state by the one restored from a snapshot, if the snapshot is accepted."""
        if self._is_newer(snapshot):
            before, self.state = self.state.position, state
            self._notify_changed(before, None)
            self._finish_message()

    def _is_newer(self, snapshot: Snapshot) -> bool:
        """Return whether a snapshot is accepted; see the module docstring for the rules."""
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

    # Callbacks and reports

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
