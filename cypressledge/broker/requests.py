"""Requests and their attempts, and the interfaces of frontends and transports.

The module is independent of any wire protocol and reads no clock. All times are in µs of the monotonic clock.
"""

import re
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Protocol

from cypressledge.decisions import contract as c

CLIENT_KEY = re.compile(r"[!-+\--~]{1,128}\Z", re.A)  # no commas or blanks, so that it can be part of a list
# µs; an attempt is sent within this time after its decision, or never. The margins of the module include it.
MAX_SEND_DELAY = 500_000


class Repeats(Enum):
    """Who may repeat a query that may have been executed."""

    AS_ITS_CLASS = auto()  # the broker and the client, as the query's class allows
    BY_BROKER = auto()  # as its class allows, but only the broker: the client does not know the key
    NOBODY = auto()  # whatever its class allows: it may write, and engines do not recognise a repeat


def _is_never_closed() -> bool:
    """Return False, for a query that was not received on a connection."""
    return False


@dataclass(slots=True)
class Query:
    """A client's query, independent of the protocol by which it was received."""

    id: str
    class_index: int
    class_name: str
    tenant: str
    statement: bytes
    deadline: int  # time at which the client stops waiting
    key: str = ""  # idempotency key for engines, and ordering key in ordered classes
    cost: int = 0  # µs; estimated work; 0: unknown
    memory_mb: float = 0.0  # MB; estimated memory; 0: unknown
    table_group: int = 0
    is_client_retry: bool = False
    repeats: Repeats = Repeats.AS_ITS_CLASS
    # Returns whether the client has closed its connection, also if that has not been read from it yet.
    client_has_closed: Callable[[], bool] = _is_never_closed


@dataclass(frozen=True, slots=True)
class EngineFault:
    """An engine's error as it is reported to the client."""

    text: str
    code: int = 0  # ClickHouse error code; 0: none
    status: int = 500  # HTTP status
    final: bool = False  # the statement itself is invalid, so that it fails at every engine


DEADLINE_FAULT = EngineFault("not answered in time", 159, 408)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """The address of an engine process, and the wire protocol that it speaks.

    A restarted process with the same id is another endpoint: connections to the old one are unusable."""

    id: int
    name: str
    address: tuple[str, int]
    wire: str  # name of the wire protocol, which selects the transport
    started_at_ms: int = 0  # ms, Unix time; start of the process as listed; 0: long ago


@dataclass(frozen=True, slots=True)
class ListedEngine:
    """One entry of an engine list: the entry for the decision module, and the engine's endpoint."""

    entry: c.EngineListEntry
    endpoint: Endpoint


class ReplyHandler(Protocol):
    """Sends the answer to one request; implemented by frontends. Only `wait_until_drained` may block.

    Exactly one of `complete`, `reject` and `fail` is called, once."""

    supports_streaming: bool

    def complete(self, rows: bytes) -> None:
        """Answer with these rows, or complete the answer with them if rows were sent before."""

    def send_rows(self, rows: bytes) -> None:
        """Send the next rows of an incomplete answer; called only if streaming is supported."""

    def wait_until_drained(self) -> bool:
        """Wait up to one second until the client has read the rows sent so far; return whether it has.

        Called on a transport's greenlet, so that engines are not read faster than clients read."""

    def reject(self, retry_after: int) -> None:
        """Answer that the client may safely retry the query, preferably after `retry_after` µs."""

    def fail(self, fault: EngineFault) -> None:
        """Answer that the query failed and may have been executed; a partial answer is visibly truncated."""


class EngineTransport(Protocol):
    """Sends attempts to engines over one wire protocol; none of the methods may block."""

    def send(self, attempt: "Attempt") -> None:
        """Send the attempt to its engine, and report its progress and its end to the ledger."""

    def cancel(self, attempt: "Attempt") -> None:
        """Cancel the attempt at its engine, and report nothing further about it."""

    def update_resources(self, attempt: "Attempt") -> None:
        """Send the request's changed priority to the engine, if the protocol supports it."""


@dataclass(slots=True, eq=False)
class Request:
    """One entry of the ledger: a query, its attempts and the handler of its final answer."""

    number: int
    query: Query
    reply: ReplyHandler
    attempts: list["Attempt"] = field(default_factory=list)
    grant_mb: float = 0.0  # MB; memory granted to further attempts; 0: chosen by the engine
    priority: int = 1
    open_attempts: int = 0
    is_concluded: bool = False  # the request has been answered, or needs no answer
    client_disconnected: bool = False
    streaming_attempt: "Attempt | None" = None  # rows of this attempt were sent: only it completes the answer
    last_fault: EngineFault | None = None  # of the last attempt that may have been executed

    @property
    def may_be_rejected(self) -> bool:
        """Whether the client may be told that a repeat is harmless, if the class of its query allows that."""
        if self.streaming_attempt is not None:
            return False
        if self.query.repeats is Repeats.AS_ITS_CLASS:
            return True
        return not any(attempt.may_have_been_executed for attempt in self.attempts)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to execute a request at one engine."""

    request: Request
    number: int  # position among the request's attempts, from 0
    endpoint: Endpoint
    sent_at: int  # time at which the attempt was passed to the transport
    deadline: int  # the attempt's own time-out or the client's deadline, whichever is earlier
    decided_at: int  # time of the module's decision, for which it checked time windows and budgets
    is_open: bool = True  # the end of the attempt has not been reported
    outcome: c.Outcome | None = None
    transport_state: object = None  # data of the transport about this attempt
    connections_tried: int = 0  # connections that failed before the attempt was sent on them
    unread_bytes: int = 0  # bytes of rows that are posted to the event loop and not handled yet

    @property
    def is_awaited(self) -> bool:
        """Whether the attempt is open and a client still waits for the answer."""
        return self.is_open and not (self.request.is_concluded or self.request.client_disconnected)

    @property
    def may_have_been_executed(self) -> bool:
        """Whether an engine may have executed the attempt; so it is while its end has not been reported."""
        return self.outcome not in c.NEVER_EXECUTED

    @property
    def is_last_allowed(self) -> bool:
        """Whether no attempt may follow: this one may have been executed, and nobody may repeat the query."""
        return self.query.repeats is Repeats.NOBODY and self.may_have_been_executed

    def may_be_sent(self, now: int) -> bool:
        """Return whether the attempt is still awaited and its decision is not too old at `now`.

        The socket is asked as well: the close of a client may not have been read yet.
        The module checked its limits for the time of the decision. A connection that is established late or a
        suspended process could delay the send beyond the time for which that check is valid."""
        is_recent = now - self.decided_at <= MAX_SEND_DELAY
        return is_recent and self.is_awaited and not self.query.client_has_closed()

    @property
    def query(self) -> Query:
        """The query of the attempt's request."""
        return self.request.query


class AttemptObserver(Protocol):
    """Receives the progress and the outcomes of attempts; none of the methods may block."""

    def attempt_progressed(self, attempt: Attempt) -> None:
        """Handle a progress notification that an engine has sent for the attempt."""

    def attempt_ended(self, attempt: Attempt, outcome: c.Outcome, latency: int) -> None:
        """Handle the end of an attempt; `latency` is the time in µs since the attempt was sent."""
