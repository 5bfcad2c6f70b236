"""What a broker holds of its requests: the query, its attempts, and what fronts and links offer for them.

No wire is known here, and no clock is read.
"""

import re
from dataclasses import dataclass, field
from typing import Protocol

from cypressledge.decisions import contract as c

CLIENT_KEY = re.compile(r"[!-+\--~]{1,128}\Z", re.A)  # no commas or blanks: it may stand in a list
MAX_SEND_DELAY = (
    500_000  # µs from its decision in which an attempt leaves, or never does: the module's margin
)


@dataclass(slots=True)
class Query:
    """What a client asks, whatever wire it came by. `due`: µs of the monotonic clock when it stops
    waiting."""

    id: str
    class_index: int
    class_name: str
    tenant: str
    statement: bytes
    deadline: int
    key: str = ""
    cost: int = 0
    memory_mb: float = 0.0
    table_group: int = 0
    is_client_retry: bool = False


@dataclass(frozen=True, slots=True)
class EngineFault:
    """Why an engine's answer is no result. `final`: the statement itself is at fault, no engine helps."""

    text: str
    code: int = 0
    status: int = 500
    final: bool = False


DEADLINE_FAULT = EngineFault("not answered in time", 159, 408)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Where an engine listens and which link speaks to it."""

    id: int
    name: str
    address: tuple[str, int]
    wire: str
    started_at_ms: int = (
        0  # ms; a process that starts anew under its id is another place: old connections are dead
    )


class ReplyHandler(Protocol):
    """What a front offers for one taken request; none of these may block."""

    supports_streaming: bool

    def complete(self, rows: bytes) -> None:
        """All rows (behind those of `part`, if any)."""

    def send_rows(self, rows: bytes) -> None:
        """The next rows of an answer that has begun; only where it `streams`."""

    def wait_until_drained(self) -> bool:
        """Called by a link's greenlet: wait, a second at most, for the client to read; whether it did."""

    def reject(self, after: int) -> None:
        """Trying again is harmless, best after so many µs."""

    def fail(self, fault: EngineFault) -> None:
        """It may have run; an answer that has begun is left visibly broken."""


class EngineTransport(Protocol):
    """What a wire to the engines offers; none of these may block."""

    def send(self, attempt: "Attempt") -> None:
        """Carry the attempt to its engine."""

    def cancel(self, attempt: "Attempt") -> None:
        """Give it up; nothing is reported of it any more."""

    def update_resources(self, attempt: "Attempt") -> None:
        """Its priority has changed."""


@dataclass(slots=True, eq=False)
class Request:
    """One line of the ledger."""

    number: int
    query: Query
    reply: ReplyHandler
    attempts: list["Attempt"] = field(default_factory=list)
    grant_mb: float = 0.0
    priority: int = 1
    open_attempts: int = 0
    is_concluded: bool = False
    client_left: bool = False
    streaming_attempt: "Attempt | None" = None
    last_fault: EngineFault | None = None


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request to one engine. `carrier` belongs to the link."""

    request: Request
    number: int
    endpoint: Endpoint
    sent_at: int
    deadline: int
    decided_at: int  # the module's time of the decision, on which windows and budgets were judged
    is_open: bool = True
    outcome: c.Outcome | None = None
    transport_state: object = None
    connections_tried: int = 0  # connections it was put on in vain
    unread_bytes: int = 0  # bytes of rows on their way to the core

    @property
    def is_wanted(self) -> bool:
        """Whether anybody still waits for it."""
        return self.is_open and not (self.request.is_concluded or self.request.client_left)

    def may_be_sent(self, now: int) -> bool:
        """Whether it is still wanted, and as fresh as the module took it to be when it judged window and
        budget. Guards against connections that come up late, and processes that stood still meanwhile."""
        return self.is_wanted and now - self.decided_at <= MAX_SEND_DELAY

    @property
    def query(self) -> Query:
        """The query it carries."""
        return self.request.query


class AttemptObserver(Protocol):
    """Whoever is told how attempts go; none of these may block."""

    def attempt_progressed(self, attempt: Attempt) -> None:
        """The engine has said something of an attempt."""

    def attempt_ended(self, attempt: Attempt, outcome: c.Outcome, latency: int) -> None:
        """An attempt has ended, after so many µs."""
