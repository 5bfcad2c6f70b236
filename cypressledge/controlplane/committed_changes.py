"""What the replica has committed, brought into the history that brokers and operators are served from."""

from cypressledge.controlplane.activity_record import ActivityRecord
from cypressledge.controlplane.change_history import ChangeHistory
from cypressledge.controlplane.inbox import Inbox
from cypressledge.controlplane.messages import Change, Snapshot


class CommittedChanges:
    """Applies committed versions to a history, and remembers that brokers are to get them."""

    def __init__(self, history: ChangeHistory, record: ActivityRecord, inbox: Inbox) -> None:
        self._history, self._record, self._inbox = history, record, inbox
        self._has_unpublished = False

    def apply(self, changes: list[Change] | None, snapshot: Snapshot | None) -> None:
        """Take changes, or a snapshot in place of all before. In the owner's greenlet."""
        if snapshot is not None:
            self._history.reset(snapshot)
            self._record_version(snapshot)
        for change in changes or ():
            self._history.apply(change)
            self._record_version(change)
        self._has_unpublished = True

    def apply_from_other_greenlet(self, changes: list[Change] | None, snapshot: Snapshot | None) -> None:
        """As `apply`, from another greenlet than the owner's."""
        self.apply(changes, snapshot)
        self._inbox.wake()

    def take_unpublished(self) -> bool:
        """Whether something was committed since the last call."""
        had_unpublished, self._has_unpublished = self._has_unpublished, False
        return had_unpublished

    def _record_version(self, committed: Change | Snapshot) -> None:
        """Each version by itself: a checker compares with it what brokers had in force."""
        self._record.write(
            "committed",
            epoch=committed.epoch,
            version=committed.version,
            digest=committed.digest.hex(),
            request=getattr(committed, "request_id", ""),
        )
