"""How far a voter's log is, as the leader knows."""

from dataclasses import dataclass

from cypressledge.controlplane.replica_context import NEVER


@dataclass(slots=True)
class PeerProgress:
    """How far one voter is. Versions of -1: none known, nothing in flight."""

    next_version: int  # the version that the next AppendEntries begins after
    match_version: int = -1  # on its disk and equal to the leader's log, as it said
    notified_commit: int = -1  # the newest commit it has been notified of
    in_flight_end: int = -1  # the last version of what is in flight
    resend_at: int = NEVER  # µs, when that is sent again
    joining: bool = False

    def sent(self, end_version: int, resend_at: int) -> None:
        """Entries or a snapshot up to a version are in flight."""
        self.in_flight_end, self.resend_at = end_version, resend_at

    def acknowledged(self, version: int, joining: bool) -> None:
        """The voter has everything up to a version on its disk; one that joins may have lost what it had."""
        self.joining = joining
        self.match_version = version if joining else max(version, self.match_version)
        self.next_version = max(version, self.next_version)
        if version >= self.in_flight_end:
            self.in_flight_end = -1

    def go_back(self, version: int) -> None:
        """The voter has no such entry as the last one sent follows."""
        self.next_version, self.in_flight_end = version, -1
