"""The state that a control process keeps for one connected broker. No I/O; times in µs."""

from dataclasses import dataclass

from cypressledge.controlplane.messages import Op
from cypressledge.controlplane.state import DigestPosition, Position


@dataclass(slots=True)
class Subscription:
    """One connected broker. `applied`: the last position that it has reported."""

    connection: int
    name: str
    instance_id: int
    cluster_id: str
    applied: DigestPosition
    registration: Op | None
    heartbeat_at: int
    expected_position: DigestPosition | None = None  # after the message in flight; None: there is none
    is_snapshot_in_flight: bool = False
    answer_deadline: int = 0
    needs_snapshot: bool = False
    is_queued: bool = False
    rejected_snapshot: Position | None = None  # position of a snapshot that it did not apply
    rejection_reason: str = ""  # why its process has rejected a part of the state that it holds
    ahead_since: int | None = None
    is_ahead_reported: bool = False

    @property
    def is_busy(self) -> bool:
        """Whether a message is in flight or a snapshot is queued for it."""
        return self.expected_position is not None or self.is_queued

    def may_request_snapshot(self) -> bool:
        """Return whether the broker may request a snapshot: only as the answer to changes.

        Otherwise a broker could cause any number of messages to be sent.
        """
        return self.expected_position is not None and not self.is_snapshot_in_flight
