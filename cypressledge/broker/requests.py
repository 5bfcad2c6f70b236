"""Requests, their attempts, and what frontends and transports offer for them.

No protocol is known here, and no clock is read. All times are µs of the monotonic clock.
"""

import re
from dataclasses import dataclass, field
from typing import Protocol

from cypressledge.decisions import contract as c

CLIENT_KEY = re.compile(r"[!-+\--~]{1,128}\Z", re.A)  # no commas or blanks: it may stand in a list
MAX_SEND_DELAY = 500_000  # µs from its decision in which an attempt is sent, or never: the module's margin


@dataclass(slots=True)
class Query:
    """What a client asks, whatever protocol it came by."""

    id: str
    class_index: int
    class_name: str
    tenant: str
    statement: bytes
    deadline: int  # when the client stops waiting
    key: str = ""  # by which engines drop duplicates, and by which ordered classes run in turn
    cost: int = 0  # estimated µs of work; 0: not known
    memory_mb: float = 0.0  # estimated need; 0: not known
    table_group: int = 0
    is_client_retry: bool = False


@dataclass(frozen=True, slots=True)
class EngineFault:
    """Why an engine's answer is no result, as the client is told it."""

    text: str
    code: int = 0  # in ClickHouse's numbers; 0: none
    status: int = 500  # of HTTP
    final: bool = False  # the statement itself is at fault, no engine helps


DEADLINE_FAULT = EngineFault("not answered in time", 159, 408)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Where an engine listens, and which transport speaks to it.

    A process that starts anew under its id is another endpoint: connections to the old one are dead."""

    id: int
    name: str
    address: tuple[str, int]
    wire: str  # the name of the transport
    started_at_ms: int = 0  # Unix time as its list gives it; 0: long ago


@dataclass(frozen=True, slots=True)
class ListedEngine:
    """One engine of a list: what the decisions are told of it, and where it listens."""

    entry: c.EngineListEntry
    endpoint: Endpoint


class ReplyHandler(Protocol):
    """What a frontend offers for one request; none of the methods but `wait_until_drained` may block.

    One of `complete`, `reject` and `fail` is called, once."""

    supports_streaming: bool

    def complete(self, rows: bytes) -> None:
        """Answer with these rows, or end the answer with them if some were sent before."""

    def send_rows(self, rows: bytes) -> None:
        """Send the next rows of an answer that isn't complete; only where streaming is supported."""

    def wait_until_drained(self) -> bool:
        """Wait, a second at most, until the client has read what was sent; whether it has.

        Called by a transport's greenlet, so that engines are read no faster than clients read."""

    def reject(self, retry_after: int) -> None:
        """Answer that trying again is harmless, best after so many µs."""

    def fail(self, fault: EngineFault) -> None:
        """Answer that it may have run; an answer that has begun is left visibly broken."""


class EngineTransport(Protocol):
    """What carries attempts to engines over one protocol; none of the methods may block."""

    def send(self, attempt: "Attempt") -> None:
        """Carry the attempt to its engine, and report on it to the ledger."""

    def cancel(self, attempt: "Attempt") -> None:
        """Call the attempt off at its engine; nothing is reported of it any more."""

    def update_resources(self, attempt: "Attempt") -> None:
        """Pass on the request's changed priority, if the protocol can."""


@dataclass(slots=True, eq=False)
class Request:
    """One entry of the ledger: a query, its attempts and its one final answer."""

    number: int
    query: Query
    reply: ReplyHandler
    attempts: list["Attempt"] = field(default_factory=list)
    grant_mb: float = 0.0  # memory for further attempts; 0: the engine's choice
    priority: int = 1
    open_attempts: int = 0
    is_concluded: bool = False  # no answer is owed any more
    client_disconnected: bool = False
    streaming_attempt: "Attempt | None" = None  # whose rows have begun to go out: the answer is its alone
    last_fault: EngineFault | None = None


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request to one engine."""

    request: Request
    number: int  # among the request's attempts, from 0
    endpoint: Endpoint
    sent_at: int  # when the transport was handed it
    deadline: int  # its own time-out, or the client's deadline
    decided_at: int  # the module's time of the decision, on which windows and budgets were judged
    is_open: bool = True  # its end hasn't been reported
    outcome: c.Outcome | None = None
    transport_state: object = None  # what the transport keeps of it
    connections_tried: int = 0  # on which it was put in vain
    unread_bytes: int = 0  # of rows on their way to the event loop

    @property
    def is_awaited(self) -> bool:
        """Whether anybody still waits for it."""
        return self.is_open and not (self.request.is_concluded or self.request.client_disconnected)

    def may_be_sent(self, now: int) -> bool:
        """Whether it is still wanted, and as fresh as the module took it to be when it judged its limits.

        Guards against connections that come up late, and processes that stood still meanwhile."""
        return self.is_awaited and now - self.decided_at <= MAX_SEND_DELAY

    @property
    def query(self) -> Query:
        """The query it carries."""
        return self.request.query


class AttemptObserver(Protocol):
    """Observes how attempts go; none of the methods may block."""

    def attempt_progressed(self, attempt: Attempt) -> None:
        """The engine has reported progress."""

    def attempt_ended(self, attempt: Attempt, outcome: c.Outcome, latency: int) -> None:
        """An attempt has ended, so many µs after it was sent."""
