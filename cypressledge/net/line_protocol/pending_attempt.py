"""An attempt on its connection, and the pages of its result that have been received."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cypressledge.broker.requests import Attempt

if TYPE_CHECKING:
    from cypressledge.net.line_protocol.connection import EngineConnection

CANCELLED_ID_QUARANTINE = 60_000_000  # µs in which a cancelled attempt's id is not sent here again
ANSWERED_ID_QUARANTINE = 5_000_000  # µs for the id of an answered one: a second answer may follow


@dataclass(slots=True, eq=False)
class PendingAttempt:
    """One attempt on its connection, until it has ended there."""

    attempt: Attempt
    connection: "EngineConnection"
    query_id: bytes
    encoded_at: int = 0  # µs; the deadline that its command names was right then
    sent: bool = False  # its command has been handed to the socket
    ended: bool = False  # nothing is expected of it any more
    has_run: bool = False  # the engine has reported progress
    pages: list[bytes | None] = field(default_factory=list)  # empty until the first one has come
    missing_pages: int = 0
    result_size: int = 0  # bytes
