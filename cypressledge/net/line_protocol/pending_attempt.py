"""State of an attempt on its connection, with the pages received of its result."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cypressledge.broker.requests import Attempt

if TYPE_CHECKING:
    from cypressledge.net.line_protocol.connection import EngineConnection

# µs in which the id of an attempt is not sent on its connection again: after a cancellation, and after an
# answer, which a duplicate may follow.
CANCELLED_ID_QUARANTINE = 60_000_000
ANSWERED_ID_QUARANTINE = 5_000_000


@dataclass(slots=True, eq=False)
class PendingAttempt:
    """One attempt that is assigned to a connection, until it ends there."""

    attempt: Attempt
    connection: "EngineConnection"
    query_id: bytes
    encoded_at: int = 0  # µs; when the remaining time in its command was computed
    sent: bool = False  # its command has been passed to the socket
    ended: bool = False  # no further message is expected
    has_run: bool = False  # the engine has reported progress
    pages: list[bytes | None] = field(default_factory=list)  # empty until the first page is received
    missing_pages: int = 0
    result_size: int = 0  # bytes
