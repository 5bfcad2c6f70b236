"""What a control process knows of one connected broker. No I/O; times in µs."""

from dataclasses import dataclass

from cypressledge.controlplane.messages import Op
from cypressledge.controlplane.state import DigestPosition, Position


@dataclass(slots=True)
class Subscription:
    """One connected broker. `applied`: the position that it has answered with last."""

    connection: int
    name: str
    instance_id: int
    cluster_id: str
    applied: DigestPosition
    registration: Op | None
    heartbeat_at: int
    expected_position: DigestPosition | None = None  # what it holds once it has taken the message in flight
    is_snapshot_in_flight: bool = False
    answer_deadline: int = 0
    needs_snapshot: bool = False
    is_queued: bool = False
    rejected_snapshot: Position | None = None  # our position of a snapshot that it did not take
    rejection_reason: str = ""  # why its process has rejected some of what it holds
    ahead_since: int | None = None
    is_ahead_reported: bool = False

    @property
    def is_busy(self) -> bool:
        """Whether a message is in flight, or a snapshot is to follow."""
        return self.expected_position is not None or self.is_queued

    def may_request_snapshot(self) -> bool:
        """Only in answer to changes. Guards against a broker that claims leave for many messages."""
        return self.expected_position is not None and not self.is_snapshot_in_flight
