"""One connection to one engine: sends commands, reads messages and tracks the attempts."""

import errno
from collections import deque
from enum import StrEnum
from typing import TYPE_CHECKING

from gevent import Timeout, socket, spawn, spawn_later

from cypressledge.broker.event_log import EventKind
from cypressledge.broker.requests import Attempt, Endpoint
from cypressledge.clock import monotonic_us
from cypressledge.decisions.contract import Outcome
from cypressledge.net.line_protocol.answers import handle_message
from cypressledge.net.line_protocol.messages import (
    MAX_LINE_SIZE,
    MAX_PAGE_SIZE,
    MalformedMessageError,
    take_message,
)
from cypressledge.net.line_protocol.pending_attempt import (
    ANSWERED_ID_QUARANTINE,
    CANCELLED_ID_QUARANTINE,
    PendingAttempt,
)
from cypressledge.net.receive_buffer import BufferLimitError, ReceiveBuffer
from cypressledge.net.socket_io import (
    IdleTimeoutError,
    close_socket,
    connect,
    has_unread_bytes,
    peer_has_closed,
    receive,
    remaining_seconds,
)
from cypressledge.net.socket_writer import SocketWriter
from cypressledge.net.time_slice import TimeSlice

if TYPE_CHECKING:
    from cypressledge.net.line_protocol.transport import LineProtocolTransport

MESSAGE_TIMEOUT = 1.0  # seconds from the first byte of a message to its last
READ_TIMEOUT = 60.0  # seconds; the wait for a message is resumed after it, so the value does not matter
SEND_QUEUE_LIMIT = 4 << 20  # bytes per connection
SEND_TIMEOUT = 10.0  # seconds; maximum duration of one send
MAX_ENCODING_AGE = 50_000  # µs; an older command is encoded anew before it is sent, with the time then left
LATE_CONNECT_WINDOW = 2.0  # seconds after the connect timeout in which a connection may still be established
LOST_ANSWER_INTERVALS = 1.7  # progress intervals without a message after which an answer may be lost
ALIVE_INTERVALS = 0.8  # progress intervals within which the engine must have sent on another connection
# Errors of `connect` that say nothing about the engine.
LOCAL_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))


class CloseReason(StrEnum):
    """Why a connection was closed; a send failure is described by the text of the `SocketWriter`."""

    ANSWER_LOST = "answer lost"
    CLOSED_BY_ENGINE = "closed by engine"
    CONNECT_FAILED = "connect failed"
    CONNECT_TIMEOUT = "connect timeout"
    EVICTED = "evicted"
    IDLE = "idle"
    MALFORMED_MESSAGE = "malformed message"
    NO_DESCRIPTOR = "no descriptor"
    RESET_BY_ENGINE = "reset by engine"
    RESET_ON_CONNECT = "reset on connect"
    TRUNCATED_MESSAGE = "truncated message"


class EngineConnection:
    """One connection to one engine, with the attempts that are assigned to it."""

    def __init__(self, transport: "LineProtocolTransport", endpoint: Endpoint) -> None:
        self.transport, self.endpoint, self.core = transport, endpoint, transport.core
        self.pending: dict[bytes, PendingAttempt] = {}  # by query id
        self.unsent: list[PendingAttempt] = []  # waiting for the connection to be established
        self.quarantine: dict[bytes, int] = {}  # by query id: µs from which it may be sent here again
        self.quarantine_order: deque[bytes] = deque()
        self.last_used = monotonic_us()
        self.last_received_at = 0  # µs; 0: never
        self.silent_since = 0  # µs; since when a message is expected, 0 if none is
        self.message_began_at = 0  # µs; first byte of an incomplete message, 0 if there is none
        self.sock: socket.socket | None = None  # set, like the writer, once the connection is established
        self.writer: SocketWriter | None = None
        self.closed = False
        self.is_late = False  # not established in time
        self.may_be_closed = False  # bytes, or the end of the stream, have been received but not read yet
        self.greenlet = spawn(self._run)

    # Checks for the transport

    def accepts(self, query_id: bytes, endpoint: Endpoint) -> bool:
        """Return whether one more attempt can be assigned: there is room, and its id is not in quarantine.

        An id cancelled on this connection may still be answered, and an answered one a second time. A retry
        uses another connection, so that a late answer is not taken for the answer to the retry."""
        now = monotonic_us()
        while self.quarantine_order and self.quarantine[self.quarantine_order[0]] < now:
            del self.quarantine[self.quarantine_order.popleft()]
        unusable = self.closed or self.is_late or self.may_be_closed or self.is_silent()
        return (
            not unusable
            and endpoint == self.endpoint
            and len(self.pending) < self.transport.limits.max_streams
            and query_id not in self.pending
            and self.quarantine.get(query_id, 0) < now
        )

    def has_unread_bytes(self) -> bool:
        """Return whether bytes of the engine are unread; closing the socket with unread bytes resets it."""
        return self.sock is not None and has_unread_bytes(self.sock)

    def is_silent(self) -> bool:
        """Return whether a message is overdue.

        The connections of a machine that disappeared stay open without a message, also after it is back. An
        engine that was sent a query would have reported progress by now. New work uses a new connection,
        which shows within the connect timeout whether the engine is reachable."""
        return 0 < self.silent_since < monotonic_us() - self.transport.silence_limit

    def has_lost_answer(self, engine_last_received_at: int) -> bool:
        """Return whether an answer on this connection is lost.

        `engine_last_received_at`: µs, monotonic; when the engine last sent bytes on any connection.

        An engine that runs a query reports progress in each interval. A connection that is silent while its
        engine sends on another one has lost a message; whether an engine that is silent on all connections
        has failed is left to the decisions."""
        interval, now = self.transport.limits.progress_interval_us, monotonic_us()
        return (
            bool(self.pending)
            and 0 < self.silent_since < now - int(interval * LOST_ANSWER_INTERVALS)
            and interval > 0
            and engine_last_received_at > now - int(interval * ALIVE_INTERVALS)
        )

    # Commands to the engine

    def assign(self, attempt: Attempt, query_id: bytes) -> None:
        """Accept the attempt, and send it once the connection is established."""
        pending = attempt.transport_state = PendingAttempt(attempt, self, query_id)
        self.pending[query_id] = pending
        self.last_used = monotonic_us()
        if self.writer is None:
            self.unsent.append(pending)
        else:
            self._write_query(pending)

    def update_priority(self, pending: PendingAttempt) -> None:
        """Send the attempt's new priority, after the query itself."""
        if self.writer is not None and not pending.pages:
            line = b"hurry %s %d\r\n" % (pending.query_id, pending.attempt.request.priority)
            self.writer.write(line, should_send=lambda: pending.sent and not pending.ended)

    def cancel(self, pending: PendingAttempt) -> None:
        """Cancel the attempt; if it was sent, its engine is notified."""
        if pending.ended:
            return
        self._remove_pending(pending, CANCELLED_ID_QUARANTINE)
        if pending.sent:
            self.write_command((b"shut " if pending.pages else b"never_mind ") + pending.query_id)

    def write_command(self, command: bytes) -> None:
        """Send one command, or several separated by line ends."""
        if self.writer is not None:
            self.writer.write(command, b"\r\n")

    def _write_query(self, pending: PendingAttempt) -> None:
        attempt, query = pending.attempt, pending.attempt.query
        pending.encoded_at = monotonic_us()
        remaining_ms = max((attempt.deadline - pending.encoded_at) // 1000, 1)
        fields = [f"c={query.class_name}", f"w={remaining_ms}", f"order={attempt.request.priority}"]
        if query.key:
            fields.append(f"i={query.key}")
        if attempt.request.grant_mb >= 1:
            fields.append(f"heap={round(attempt.request.grant_mb)}")
        size = len(query.statement)
        head = b"want %s %s %d\r\n" % (pending.query_id, ",".join(fields).encode(), size)
        assert self.writer is not None
        self.writer.write(head, query.statement, b"\r\n", should_send=lambda: self._may_send(pending))

    def _may_send(self, pending: PendingAttempt) -> bool:
        """Return whether a query may still be sent; called just before the send.

        Meanwhile the engine may have been drained, the attempt cancelled, the client disconnected, or the
        connection closed or blocked by a full socket. Then the query is not sent: the attempt ends as never
        executed, is reassigned, or is encoded anew."""
        if pending.ended:
            return False
        attempt, now = pending.attempt, monotonic_us()
        if not attempt.may_be_sent(now) or self.endpoint.id not in self.core.engines.ready_endpoints:
            self._remove_pending(pending)
            self.core.counters.add("attempts.not_sent")
            self.core.ledger.attempt_ended(attempt, Outcome.NOT_SENT)
            return False
        if not self.core.engines.is_current(self.endpoint) or self._may_be_closed_by_engine():
            self._remove_pending(pending)
            self.transport.reassign(attempt, Outcome.NOT_SENT)
            return False
        if now - pending.encoded_at > MAX_ENCODING_AGE:  # it states more time than the client has left
            self._write_query(pending)
            return False
        pending.sent = True
        self.core.counters.reply(pending.attempt.query.class_name, "dispatches")
        self.silent_since = self.silent_since or now
        return True

    def _may_be_closed_by_engine(self) -> bool:
        """Return whether the engine may have closed the connection; its end may be received but not read yet.

        On an idle connection any unread bytes may mean a close, so nothing is sent before they are read."""
        was_idle = not any(pending.sent for pending in self.pending.values())
        if not self.may_be_closed and (has_unread_bytes if was_idle else peer_has_closed)(self.sock):
            self.core.counters.add("engine_close.before_send")
            self.may_be_closed = True
        return self.may_be_closed

    # End of attempts and of the connection

    def _remove_pending(self, pending: PendingAttempt, quarantine: int = ANSWERED_ID_QUARANTINE) -> None:
        """Remove an attempt from the connection; if it was sent, its id is in quarantine for that many µs.

        All attempts of a connection end here."""
        pending.ended = True
        query_id = pending.query_id
        if self.pending.get(query_id) is pending:
            del self.pending[query_id]
            if pending.sent:
                if query_id not in self.quarantine:
                    self.quarantine_order.append(query_id)
                self.quarantine[query_id] = monotonic_us() + quarantine
        self.last_used = monotonic_us()
        if not self.pending and not self.is_silent():
            self.silent_since = 0  # no message is expected after an early cancellation

    def end(
        self,
        pending: PendingAttempt,
        outcome: Outcome,
        rows: bytes = b"",
        quarantine: int = ANSWERED_ID_QUARANTINE,
    ) -> None:
        """Remove an attempt from the connection, and report its outcome to the ledger."""
        self._remove_pending(pending, quarantine)
        self.core.ledger.attempt_ended(pending.attempt, outcome, rows)

    def close(self, reason: str, outcome: Outcome = Outcome.RESET) -> None:
        """Close the connection; attempts that were sent end with `outcome`.

        `reason` may have a detail after a colon."""
        if self.closed:
            return
        self.closed = True
        self._log_close(reason)
        self.transport.discard(self)
        for pending in list(self.pending.values()):
            if pending.sent or outcome is not Outcome.RESET:
                self.end(pending, outcome)
            else:
                self._remove_pending(pending)
                self.transport.reassign(pending.attempt, Outcome.NOT_SENT)
        if self.writer is not None:
            self.writer.close()
        if self.sock is not None:
            close_socket(self.sock)
        else:
            self.greenlet.kill(block=False)  # still connecting

    def _log_close(self, reason: str) -> None:
        cause, _, detail = reason.partition(":")
        cause = cause.replace(" ", "_")
        self.core.counters.add(f"engine_close.{cause}")
        self.core.event_log.write(
            EventKind.ENGINE_CLOSED,
            engine=self.endpoint.name,
            reason=cause,
            open=len(self.pending),
            unused_ms=(monotonic_us() - self.last_used) // 1000,
            detail=repr(detail.strip()),
        )

    # Greenlet of the connection

    def _run(self) -> None:
        if not self._connect():
            return
        self.core.counters.add("engine_connects_late" if self.is_late else "engine_connects")
        self.transport.connect_timeouts.pop(self.endpoint.id, None)
        self.is_late, self.last_used = False, monotonic_us()
        self.writer = SocketWriter(self.sock, SEND_QUEUE_LIMIT, SEND_TIMEOUT, self.close)
        for pending in self.unsent:
            self._write_query(pending)
        self.unsent.clear()
        self._read()

    def _connect(self) -> bool:
        """Connect to the engine; return whether the connection is established and not closed meanwhile."""
        timeout = self.transport.limits.connect_timeout_s
        overdue = spawn_later(timeout, self._handle_connect_overdue)
        try:
            with Timeout(timeout + LATE_CONNECT_WINDOW):
                self.sock = connect(self.endpoint.address)
        except ConnectionResetError:
            self.close(CloseReason.RESET_ON_CONNECT)
            return False
        except Timeout:
            self.close(CloseReason.CONNECT_TIMEOUT, Outcome.CONNECT_FAILED)
            return False
        except OSError as err:
            if err.errno in LOCAL_ERRORS:
                self.close(CloseReason.NO_DESCRIPTOR, Outcome.NOT_SENT)
            else:
                self.close(CloseReason.CONNECT_FAILED, Outcome.CONNECT_FAILED)
            return False
        finally:
            overdue.kill(block=False)
        if self.closed:
            close_socket(self.sock)
        return not self.closed

    def _handle_connect_overdue(self) -> None:
        """Remove the waiting attempts after the connect timeout, although the connection may come up late."""
        if self.closed or self.sock is not None:
            return
        self.is_late = True
        self.core.counters.add("engine_connects_overdue")
        self.unsent.clear()
        waiting = list(self.pending.values())
        for pending in waiting:
            self._remove_pending(pending)
        self.transport.handle_connect_timeout(self, [pending.attempt for pending in waiting])

    def _read(self) -> None:
        # Nothing is charged to the budget of all buffers: clients that exhaust it must not cost answers.
        max_message_size = MAX_LINE_SIZE + MAX_PAGE_SIZE
        buffer = ReceiveBuffer(max_message_size, read_size=max_message_size, uncharged_size=max_message_size)
        reason, time_slice = str(CloseReason.CLOSED_BY_ENGINE), TimeSlice()
        try:
            while receive(buffer, self.sock, self._read_timeout):
                self.last_received_at, self.may_be_closed = monotonic_us(), False
                time_slice.begin()
                while not self.closed and (message := take_message(buffer)) is not None:
                    handle_message(self, *message)
                    self.message_began_at = 0
                    time_slice.end_if_over()
                self.message_began_at = (self.message_began_at or self.last_received_at) if len(buffer) else 0
                self.silent_since = self.last_received_at if self.pending else 0
        except OSError as err:
            reason = f"{CloseReason.RESET_BY_ENGINE}: {err}"
        except IdleTimeoutError:
            reason = CloseReason.TRUNCATED_MESSAGE
        except (MalformedMessageError, BufferLimitError) as err:
            reason = f"{CloseReason.MALFORMED_MESSAGE}: {err}"
        self.close(reason)

    def _read_timeout(self) -> float:
        """Return the seconds to wait for bytes; the rest of a message that has begun must follow soon."""
        if self.message_began_at:
            return remaining_seconds(self.message_began_at, MESSAGE_TIMEOUT)
        return READ_TIMEOUT
