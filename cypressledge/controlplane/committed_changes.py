"""Transfer of committed changes from the replica to the history that serves brokers and operators."""

from cypressledge.controlplane.activity_record import ActivityRecord
from cypressledge.controlplane.change_history import ChangeHistory
from cypressledge.controlplane.inbox import Inbox
from cypressledge.controlplane.messages import Change, Snapshot


class CommittedChanges:
    """Applies committed versions to a history and records that they have to be published to brokers."""

    def __init__(self, history: ChangeHistory, record: ActivityRecord, inbox: Inbox) -> None:
        self._history, self._record, self._inbox = history, record, inbox
        self._has_unpublished = False

    def apply(self, changes: list[Change] | None, snapshot: Snapshot | None) -> None:
        """Apply changes, or a snapshot that replaces all earlier ones.

        Called in the process's main greenlet.
        """
        if snapshot is not None:
            self._history.reset(snapshot)
            self._record_version(snapshot)
        for change in changes or ():
            self._history.apply(change)
            self._record_version(change)
        self._has_unpublished = True

    def apply_from_other_greenlet(self, changes: list[Change] | None, snapshot: Snapshot | None) -> None:
        """Do the same as `apply`, called in another greenlet than the process's main one."""
        self.apply(changes, snapshot)
        self._inbox.wake()

    def take_unpublished(self) -> bool:
        """Return whether something was committed since the last call."""
        had_unpublished, self._has_unpublished = self._has_unpublished, False
        return had_unpublished

    def _record_version(self, committed: Change | Snapshot) -> None:
        """Write a version to the activity record, which a checker compares with what brokers applied."""
        self._record.write(
            "committed",
            epoch=committed.epoch,
            version=committed.version,
            digest=committed.digest.hex(),
            request=getattr(committed, "request_id", ""),
        )
