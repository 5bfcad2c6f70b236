"""The replication progress of one voter, as known to the leader."""

from dataclasses import dataclass

from cypressledge.controlplane.replica_context import NEVER


@dataclass(slots=True)
class PeerProgress:
    """The replication progress of one voter. A version of -1 means none known or nothing in flight."""

    next_version: int  # the version that the entries of the next AppendEntries follow
    match_version: int = -1  # newest version that the voter reported to be on disk and equal to the leader's
    notified_commit: int = -1  # newest committed version that the voter has been notified of
    in_flight_end: int = -1  # last version of the message in flight
    resend_at: int = NEVER  # µs; time at which the message in flight is sent again
    joining: bool = False

    def sent(self, end_version: int, resend_at: int) -> None:
        """Record that entries or a snapshot up to a version are in flight."""
        self.in_flight_end, self.resend_at = end_version, resend_at

    def acknowledged(self, version: int, joining: bool) -> None:
        """Record that the voter has everything up to a version on its disk.

        The version of a joining voter may be lower than before, because it may have lost entries.
        """
        self.joining = joining
        self.match_version = version if joining else max(version, self.match_version)
        self.next_version = max(version, self.next_version)
        if version >= self.in_flight_end:
            self.in_flight_end = -1

    def go_back(self, version: int) -> None:
        """Continue after an earlier version, because the voter lacks the entry before those last sent."""
        self.next_version, self.in_flight_end = version, -1
