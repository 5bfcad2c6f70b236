"""One connection to one engine: commands out, messages in, and the attempts between them."""

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
from cypressledge.net.receive_buffer import MIN_READ_SIZE, BufferLimitError, ReceiveBuffer
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

if TYPE_CHECKING:
    from cypressledge.net.line_protocol.transport import LineProtocolTransport

MESSAGE_TIMEOUT = 1.0  # seconds from the first byte of a message to its last
READ_TIMEOUT = 60.0  # seconds; waiting longer for a message is resumed, so the value does not matter
SEND_QUEUE_LIMIT = 4 << 20  # bytes
SEND_TIMEOUT = 10.0  # seconds that one send may take
MAX_ENCODING_AGE = 50_000  # µs from encoding a command to sending it; then it is encoded anew
LATE_CONNECT_WINDOW = 2.0  # seconds beyond its timeout in which a connection may still come up
LOST_ANSWER_INTERVALS = 1.7  # progress intervals without a message, from which an answer may be lost
ALIVE_INTERVALS = 0.8  # progress intervals within which the engine must have sent on another connection
# Errors of `connect` that say nothing about the engine.
LOCAL_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))


class CloseReason(StrEnum):
    """Why a connection has ended; or what its writer says."""

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
    """One connection to one engine."""

    def __init__(self, transport: "LineProtocolTransport", endpoint: Endpoint) -> None:
        self.transport, self.endpoint, self.core = transport, endpoint, transport.core
        self.pending: dict[bytes, PendingAttempt] = {}  # by query id
        self.unsent: list[PendingAttempt] = []  # they wait for the connection to come up
        self.quarantine: dict[bytes, int] = {}  # by query id: µs at which it may be sent here again
        self.quarantine_order: deque[bytes] = deque()
        self.last_used = monotonic_us()
        self.last_received_at = 0  # µs; 0: never
        self.silent_since = 0  # µs since which a message is owed; 0: none is
        self.message_began_at = 0  # µs, of a message that is not complete yet; 0: there is none
        self.sock: socket.socket | None = None  # once the connection is up, as is the writer
        self.writer: SocketWriter | None = None
        self.closed = False
        self.is_late = False  # not up in time
        self.may_be_closed = False  # bytes or the end have been received and not been read yet
        self.greenlet = spawn(self._run)

    # What the transport asks

    def accepts(self, query_id: bytes, endpoint: Endpoint) -> bool:
        """Whether one more attempt fits, and the id is not in quarantine.

        Guards against a late answer being taken for that of a repeat: an id cancelled here may still be
        answered, and an answered one a second time, so a repeat uses another connection."""
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
        """Guards against closing over what the engine sends at this moment: that would be a reset."""
        return self.sock is not None and has_unread_bytes(self.sock)

    def is_silent(self) -> bool:
        """Whether a message is overdue.

        Guards against a machine that vanished: its connections stay open without a message, also when it is
        back. An engine that was sent something would have reported progress by now; new work uses a new
        connection, which proves within the connect timeout whether anybody is there."""
        return 0 < self.silent_since < monotonic_us() - self.transport.silence_limit

    def has_lost_answer(self, engine_last_received_at: int) -> bool:
        """Whether an answer is lost, where this is when the engine last sent bytes on any connection.

        Guards against answers that never come: an engine that runs a query reports progress each interval.
        Only a connection that is silent while its engine sends on another one has lost something; an
        engine that is silent altogether is for the decisions to judge."""
        interval, now = self.transport.limits.progress_interval_us, monotonic_us()
        return (
            bool(self.pending)
            and 0 < self.silent_since < now - int(interval * LOST_ANSWER_INTERVALS)
            and interval > 0
            and engine_last_received_at > now - int(interval * ALIVE_INTERVALS)
        )

    # Commands

    def assign(self, attempt: Attempt, query_id: bytes) -> None:
        """Take the attempt; it is sent once the connection is up."""
        pending = attempt.transport_state = PendingAttempt(attempt, self, query_id)
        self.pending[query_id] = pending
        self.last_used = monotonic_us()
        if self.writer is None:
            self.unsent.append(pending)
        else:
            self._write_query(pending)

    def update_priority(self, pending: PendingAttempt) -> None:
        """Send a new priority, behind the query itself."""
        if self.writer is not None and not pending.pages:
            line = b"hurry %s %d\r\n" % (pending.query_id, pending.attempt.request.priority)
            self.writer.write(line, should_send=lambda: pending.sent and not pending.ended)

    def cancel(self, pending: PendingAttempt) -> None:
        """Nothing is wanted of the attempt any more."""
        if pending.ended:
            return
        self._remove_pending(pending, CANCELLED_ID_QUARANTINE)
        if pending.sent:
            self.write_command((b"shut " if pending.pages else b"never_mind ") + pending.query_id)

    def write_command(self, command: bytes) -> None:
        """Send one command, or several with line ends between them."""
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
        """Whether the command may still be sent, asked as its turn comes; if not, the attempt has ended.

        Guards against sends that a drain, a cancel, the client's leaving, the connection's end or a full
        socket overtook: what has not been sent yet and should not be any more never is, and the decisions are
        told that it never ran."""
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
        if now - pending.encoded_at > MAX_ENCODING_AGE:  # it names more time than the client has left
            self._write_query(pending)
            return False
        pending.sent = True
        self.core.counters.reply(pending.attempt.query.class_name, "dispatches")
        self.silent_since = self.silent_since or now
        return True

    def _may_be_closed_by_engine(self) -> bool:
        """Guards against sending on a connection that the engine has closed: its end has been received but
        not read yet. On one that was idle any byte may be that; nothing is sent before it is read."""
        was_idle = not any(pending.sent for pending in self.pending.values())
        if not self.may_be_closed and (has_unread_bytes if was_idle else peer_has_closed)(self.sock):
            self.core.counters.add("engine_close.before_send")
            self.may_be_closed = True
        return self.may_be_closed

    # How attempts and the connection end

    def _remove_pending(self, pending: PendingAttempt, quarantine: int = ANSWERED_ID_QUARANTINE) -> None:
        """The one place where an attempt ends here: its id is in quarantine for so many µs if it was sent."""
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
            self.silent_since = 0  # no message is owed for what was cancelled early

    def end(
        self,
        pending: PendingAttempt,
        outcome: Outcome,
        rows: bytes = b"",
        quarantine: int = ANSWERED_ID_QUARANTINE,
    ) -> None:
        """End an attempt here, and report how."""
        self._remove_pending(pending, quarantine)
        self.core.ledger.attempt_ended(pending.attempt, outcome, rows)

    def close(self, reason: str, outcome: Outcome = Outcome.RESET) -> None:
        """Close the connection; attempts that were sent end with `outcome`. `reason` may have a detail behind
        a colon."""
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

    # The connection's greenlet

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
        """Whether the connection is up, and still wanted."""
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
        """The connect timeout has passed: the attempts that wait have ended, also if it comes up late."""
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
        # It never grows: guards against clients that use up what all buffers may hold costing answers.
        buffer_size = MAX_LINE_SIZE + MAX_PAGE_SIZE
        buffer = ReceiveBuffer(buffer_size, initial_size=buffer_size + MIN_READ_SIZE)
        reason = str(CloseReason.CLOSED_BY_ENGINE)
        try:
            while receive(buffer, self.sock, self._read_timeout):
                self.last_received_at, self.may_be_closed = monotonic_us(), False
                while (message := take_message(buffer)) is not None:
                    handle_message(self, *message)
                    self.message_began_at = 0
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
        """Guards against answers that stop early: the rest of one that has begun must follow soon."""
        if self.message_began_at:
            return remaining_seconds(self.message_began_at, MESSAGE_TIMEOUT)
        return READ_TIMEOUT
